"""Keeps the revision in force on an instance up to date.

An applied revision is in force everywhere within `MAX_PROPAGATION_MS`, even if
no peer announces it: the slow poll alone ensures that. In the worst case a
revision is applied right after a poll read the table, and the next poll fails
late:

================================================  =========
longest wait for the slow poll, since that read    7,200 ms
longest delay of it by the tick                    1,200 ms
that poll: slow scan, then the head times out      3,000 ms
wait for the retry, and its tick                   2,400 ms
the retry: slow scan and slow read of the head     3,000 ms
sum                                               16,800 ms
================================================  =========

This holds while the table answers within `WatchTimes.call_timeout_ms`. If the
table is slower, the time-out grows with each failure, so that polls succeed
later.
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
from .inforce import RevisionDecision, RevisionInForce, Source, Verdict
from .store import ConfigStore

T = TypeVar("T")

MAX_PROPAGATION_MS = 19_000

OnChange = Callable[[Revision], None]


class WatchTimes(msgspec.Struct, frozen=True):
    """Times of a watcher, in milliseconds.

    Attributes
    ----------
    tick_interval_ms : int
        Mean interval of fast polls, and of checks whether a slow one is due.
    slow_interval_ms : int
        Mean interval of slow polls, which every instance makes.
    retry_interval_ms : int
        Mean wait after a poll failed; it doubles up to ``slow_interval_ms``.
    call_timeout_ms : int
        Time-out of one call to the table. It doubles with each failed poll
        up to ``max_call_timeout_ms``.
    join_timeout_ms : int
        How long a joining instance waits for the table before it is ready
        with the highest revision of its peers.
    jitter : float
        Fraction by which waits vary around their mean.
    """

    tick_interval_ms: int = 1_000
    slow_interval_ms: int = 6_000
    retry_interval_ms: int = 1_000
    call_timeout_ms: int = 1_500
    max_call_timeout_ms: int = 6_000
    join_timeout_ms: int = 5_000
    jitter: float = 0.2

    def worst_case_ms(self) -> int:
        """Return the longest time until a poll finds a revision (see the module)."""
        max_factor = 1 + self.jitter
        waits_ms = max_factor * (
            self.slow_interval_ms + self.retry_interval_ms + 2 * self.tick_interval_ms
        )
        return round(waits_ms) + 4 * self.call_timeout_ms


class PollSchedule:
    """Decides when to poll next, at times that the calling code gives.

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
        self._is_fast_allowed = True
        self._retry_interval_ms = times.retry_interval_ms
        self.call_timeout_ms = times.call_timeout_ms

    def jittered_ms(self, mean_ms: int) -> int:
        """Return a random wait around ``mean_ms``."""
        spread = self._times.jitter * (2 * self._rng.random() - 1)
        return round(mean_ms * (1 + spread))

    def jittered_tick_ms(self) -> int:
        """Return how long to wait before the next check."""
        return self.jittered_ms(self._times.tick_interval_ms)

    def is_due(
        self, now_ms: int, *, is_fast_poller: bool, has_higher_number: bool
    ) -> bool:
        """Return whether to poll now.

        ``is_fast_poller`` says that this instance is a fast poller,
        ``has_higher_number`` that a peer has a higher number.
        """
        if self._due_ms is None or now_ms >= self._due_ms:
            return True
        return (is_fast_poller or has_higher_number) and self._is_fast_allowed

    def record_success(self, now_ms: int) -> None:
        """Schedule the next slow poll; ``now_ms`` is when the last one started."""
        self._retry_interval_ms = self._times.retry_interval_ms
        self.call_timeout_ms = self._times.call_timeout_ms
        self._is_fast_allowed = True
        self._due_ms = now_ms + self.jittered_ms(self._times.slow_interval_ms)

    def record_news(self) -> None:
        """Allow one fast poll although the table failed: a peer has read from it."""
        self._is_fast_allowed = True

    def record_failure(self, now_ms: int) -> None:
        """Schedule a retry, and no fast polls while the table fails."""
        self._is_fast_allowed = False
        self._due_ms = now_ms + self.jittered_ms(self._retry_interval_ms)
        self._retry_interval_ms = min(
            2 * self._retry_interval_ms, self._times.slow_interval_ms
        )
        self.call_timeout_ms = min(
            2 * self.call_timeout_ms, self._times.max_call_timeout_ms
        )


class ConfigWatcher:
    """Polls the table and adopts revisions from the table and from peers.

    Parameters
    ----------
    store : ConfigStore
        Where revisions are read.
    clock : Clock
        Time of the running loop.
    rng : random.Random
        Draws the jitter.
    log : Log
        Gets each decision, except about a revision already in force.
    is_fast_poller : callable
        Whether this instance is one of its data centre's few fast pollers.
    times : WatchTimes
        Intervals.
    metrics : Metrics
        Counts polls, failures and clashes; shows the number in force.
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
        self._in_force = RevisionInForce()
        self._highest_peer_number = 0
        self._has_table_answered = False
        self._callbacks: list[OnChange] = []
        self._ready = asyncio.Event()
        self._join_deadline_ms = 0

    @property
    def revision(self) -> Revision | None:
        """The revision in force, or ``None`` before the first."""
        return self._in_force.revision

    @property
    def number(self) -> int:
        """The number in force, 0 before the first revision."""
        return self._in_force.number

    def on_change(self, callback: OnChange) -> None:
        """Call ``callback`` with each revision that comes into force."""
        self._callbacks.append(callback)

    def offer(self, revision: Revision) -> RevisionDecision:
        """Adopt a revision from a peer if its number is higher."""
        return self._offer(revision, Source.PEER)

    def record_peer_number(self, number: int) -> None:
        """Record that a peer has this number; if it is higher, poll soon."""
        if number > self._highest_peer_number:
            self._highest_peer_number = number
            self._schedule.record_news()

    async def wait_ready(self) -> None:
        """Wait until the table has answered, or peers are used instead.

        If the table doesn't answer within `WatchTimes.join_timeout_ms`, the
        highest revision that peers offered is enough. An instance with neither
        isn't ready.
        """
        await self._ready.wait()

    @property
    def is_ready(self) -> bool:
        """Whether `wait_ready` returns at once."""
        return self._ready.is_set()

    async def run(self) -> None:
        """Poll until cancelled."""
        self._join_deadline_ms = self._clock.now_ms() + self._times.join_timeout_ms
        while True:
            await self._poll_if_due()
            self._update_ready()
            await self._clock.sleep_ms(self._schedule.jittered_tick_ms())

    async def _poll_if_due(self) -> None:
        now_ms = self._clock.now_ms()
        is_fast_poller = self._is_fast_poller()
        has_higher_number = self._highest_peer_number > self.number
        if not self._schedule.is_due(
            now_ms, is_fast_poller=is_fast_poller, has_higher_number=has_higher_number
        ):
            return
        failure = await self.poll()
        if failure is None:
            self._schedule.record_success(now_ms)
            return
        self._schedule.record_failure(self._clock.now_ms())
        self._metrics.incr("config.poll_failed")
        self._log.event("config_poll_failed", failure=str(failure), number=self.number)

    async def poll(self) -> Failure | None:
        """Read a higher revision from the table, if there is one."""
        self._metrics.incr("config.poll")
        if self.revision is not None:
            next_revisions = await self._call_table(self._store.read_next(self.number))
            if isinstance(next_revisions, Failure):
                return next_revisions
            if len(next_revisions) < 2:
                self._has_table_answered = True
                for revision in next_revisions:
                    self._offer(revision, Source.TABLE)
                return None
        head = await self._call_table(self._store.read_head())
        if isinstance(head, Failure):
            return head
        self._has_table_answered = True
        if head is not None:
            self._offer(head, Source.TABLE)
        return None

    async def _call_table(self, call: Coroutine[Any, Any, T]) -> T | Failure:
        call_timeout_ms = self._schedule.call_timeout_ms
        try:
            async with asyncio.timeout(call_timeout_ms / 1000):
                return await call
        except TimeoutError:
            detail = f"no answer in {call_timeout_ms} ms"
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

    def _update_ready(self) -> None:
        is_late = self._clock.now_ms() >= self._join_deadline_ms
        if self._has_table_answered or (is_late and self.revision is not None):
            self._ready.set()
