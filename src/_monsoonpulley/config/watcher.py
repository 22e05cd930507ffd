"""Keeps the revision in force on an instance up to date.

An accepted revision is in force everywhere within `IN_FORCE_WITHIN_MS`, also
when no peer speaks of it. The slow poll carries that alone. In the worst case a
revision is applied right after a poll looked, and the next poll fails late:

================================================  =========
longest wait for the slow poll, from that look     7,200 ms
longest tick by which it is late                   1,200 ms
that poll: slow look, then the head times out      3,000 ms
wait for the retry, and its tick                   2,400 ms
the retry: slow look and slow read of the head     3,000 ms
sum                                               16,800 ms
================================================  =========

It holds while the table answers within `WatchTimes.call_ms`. When the table is
slower than that the time-out grows with each failure, so that polls still
succeed, later.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..observability.log import Log
from ..observability.metrics import Metrics, NoMetrics
from .document import Revision
from .inforce import InForce, RevisionDecision, Source, Verdict
from .store import ConfigStore

T = TypeVar("T")

IN_FORCE_WITHIN_MS = 19_000

OnChange = Callable[[Revision], None]


class WatchTimes(msgspec.Struct, frozen=True):
    """Times of a watcher, in milliseconds.

    Attributes
    ----------
    tick_ms : int
        Mean interval of the fast poll, and of looking if the slow one is due.
    slow_ms : int
        Mean interval of the poll by every instance.
    retry_ms : int
        Mean wait after a poll failed; it doubles up to ``slow_ms``.
    call_ms : int
        Time-out of one call to the table. It doubles with each failed poll
        up to ``call_max_ms``.
    join_ms : int
        How long a joining instance waits for the table before it takes the
        highest revision of its peers.
    jitter : float
        Share by which waits vary around their mean.
    """

    tick_ms: int = 1_000
    slow_ms: int = 6_000
    retry_ms: int = 1_000
    call_ms: int = 1_500
    call_max_ms: int = 6_000
    join_ms: int = 5_000
    jitter: float = 0.2

    def worst_case_ms(self) -> int:
        """Return the longest time until a revision is found, see above."""
        longest = 1 + self.jitter
        waits_ms = longest * (self.slow_ms + self.retry_ms + 2 * self.tick_ms)
        return round(waits_ms) + 4 * self.call_ms


class PollSchedule:
    """When to poll next: pure, on the caller's time.

    Parameters
    ----------
    times : WatchTimes
        Intervals.
    rng : random.Random
        Draws the jitter.
    """

    def __init__(self, times: WatchTimes, rng: random.Random):
        self._times = times
        self._rng = rng
        self._due_ms: int | None = None
        self._fast_allowed = True
        self._retry_ms = times.retry_ms
        self.call_ms = times.call_ms

    def jittered_ms(self, mean_ms: int) -> int:
        """Return a wait around its mean."""
        spread = self._times.jitter * (2 * self._rng.random() - 1)
        return round(mean_ms * (1 + spread))

    def tick_ms(self) -> int:
        """Return how long to wait before looking again."""
        return self.jittered_ms(self._times.tick_ms)

    def is_due(self, now_ms: int, *, fast: bool, news: bool) -> bool:
        """Whether to poll now.

        ``fast`` says that this instance is a fast poller, ``news`` that a peer
        has a higher number.
        """
        if self._due_ms is None or now_ms >= self._due_ms:
            return True
        return (fast or news) and self._fast_allowed

    def succeeded(self, now_ms: int) -> None:
        """Plan the next slow poll; ``now_ms`` is when the poll started."""
        self._retry_ms = self._times.retry_ms
        self.call_ms = self._times.call_ms
        self._fast_allowed = True
        self._due_ms = now_ms + self.jittered_ms(self._times.slow_ms)

    def failed(self, now_ms: int) -> None:
        """Plan a retry; an ailing table gets no fast polls."""
        self._fast_allowed = False
        self._due_ms = now_ms + self.jittered_ms(self._retry_ms)
        self._retry_ms = min(2 * self._retry_ms, self._times.slow_ms)
        self.call_ms = min(2 * self.call_ms, self._times.call_max_ms)


class ConfigWatcher:
    """Polls the table and takes revisions from peers.

    Parameters
    ----------
    store : ConfigStore
        Where revisions are read.
    clock : Clock
        Time of the running loop.
    rng : random.Random
        Draws the jitter.
    log : Log
        Gets each decision, except that a revision already in force was seen.
    is_fast_poller : callable
        Whether this instance is one of its data centre's few fast pollers.
    times : WatchTimes
        Intervals.
    metrics : Metrics
        Counts polls, failures and clashes.
    """

    def __init__(
        self,
        store: ConfigStore,
        clock: Clock,
        rng: random.Random,
        log: Log,
        is_fast_poller: Callable[[], bool],
        *,
        times: WatchTimes | None = None,
        metrics: Metrics | None = None,
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._is_fast_poller = is_fast_poller
        self._times = times or WatchTimes()
        self._schedule = PollSchedule(self._times, rng)
        self._metrics = metrics or NoMetrics()
        self._in_force = InForce()
        self._noticed_number = 0
        self._table_answered = False
        self._callbacks: list[OnChange] = []
        self._ready = asyncio.Event()
        self._join_deadline_ms = 0

    @property
    def revision(self) -> Revision | None:
        """The revision in force, ``None`` before the first."""
        return self._in_force.revision

    @property
    def number(self) -> int:
        """The number in force, 0 for none."""
        return self._in_force.number

    def on_change(self, callback: OnChange) -> None:
        """Call ``callback`` with each revision that comes into force."""
        self._callbacks.append(callback)

    def offer(self, revision: Revision) -> RevisionDecision:
        """Take a revision learnt from a peer, if it is higher."""
        return self._offer(revision, Source.PEER)

    def notice(self, number: int) -> None:
        """Note that a peer has this number; a higher one is soon polled for."""
        self._noticed_number = max(self._noticed_number, number)

    async def wait_ready(self) -> None:
        """Wait until the table answered, or peers stand in for it.

        With the table away for `WatchTimes.join_ms`, the highest revision that
        peers offered counts. An instance with neither isn't ready.
        """
        await self._ready.wait()

    @property
    def is_ready(self) -> bool:
        """Whether `wait_ready` would return at once."""
        return self._ready.is_set()

    async def run(self) -> None:
        """Poll until cancelled."""
        self._join_deadline_ms = self._clock.now_ms() + self._times.join_ms
        while True:
            await self._poll_if_due()
            self._check_ready()
            await self._clock.sleep_ms(self._schedule.tick_ms())

    async def _poll_if_due(self) -> None:
        now_ms = self._clock.now_ms()
        fast = self._is_fast_poller()
        news = self._noticed_number > self.number
        if not self._schedule.is_due(now_ms, fast=fast, news=news):
            return
        failure = await self.poll()
        if failure is None:
            self._schedule.succeeded(now_ms)
            return
        self._schedule.failed(self._clock.now_ms())
        self._metrics.incr("config.poll_failed")
        self._log.event("config_poll_failed", failure=str(failure), number=self.number)

    async def poll(self) -> Failure | None:
        """Look for a higher revision in the table once."""
        self._metrics.incr("config.poll")
        if self.revision is not None:
            following = await self._call(self._store.next_after(self.number))
            if isinstance(following, Failure):
                return following
            if len(following) < 2:
                self._table_answered = True
                for revision in following:
                    self._offer(revision, Source.TABLE)
                return None
        head = await self._call(self._store.head())
        if isinstance(head, Failure):
            return head
        self._table_answered = True
        if head is not None:
            self._offer(head, Source.TABLE)
        return None

    async def _call(self, call: Coroutine[Any, Any, T]) -> T | Failure:
        call_ms = self._schedule.call_ms
        try:
            async with asyncio.timeout(call_ms / 1000):
                return await call
        except TimeoutError:
            detail = f"no answer in {call_ms} ms"
            return Failure(Reason.TIMEOUT, "config.poll", "table", detail)

    def _offer(self, revision: Revision, source: Source) -> RevisionDecision:
        now_ms = self._clock.now_ms()
        decision = self._in_force.offer(revision, source, now_ms)
        if decision.verdict is not Verdict.SAME:
            self._log.decision(decision)
        if decision.verdict is Verdict.CLASHES:
            self._metrics.incr("config.revision_clash")
        if decision.verdict is Verdict.ADOPTED:
            self._metrics.gauge("config.number", revision.number)
            for callback in self._callbacks:
                callback(revision)
        return decision

    def _check_ready(self) -> None:
        late = self._clock.now_ms() >= self._join_deadline_ms
        if self._table_answered or (late and self.revision is not None):
            self._ready.set()
