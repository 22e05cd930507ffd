"""Polls the platform's live list and passes it to subscribers."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..clock import Clock
from ..errors import Failure
from ..external.livelist import LiveList, Member
from ..observability.log import Log
from ..observability.metrics import Metrics

MIN_REFRESH_INTERVAL_MS = 2_000
REFRESH_MS_PER_MEMBER = 40
"""Each refresh returns the whole list, so a long list is polled less often.
Digests announce leaving members meanwhile; only new members are noticed later."""

MembersCallback = Callable[[tuple[Member, ...]], None]


def refresh_interval_ms(member_count: int) -> int:
    """Return the time between refreshes of a list of ``member_count`` members."""
    return max(MIN_REFRESH_INTERVAL_MS, REFRESH_MS_PER_MEMBER * member_count)


class Roster:
    """The latest live list from the platform.

    While the platform is unreachable, the last list stays in use.

    Parameters
    ----------
    livelist : LiveList
        The platform's list.
    clock, rng, log, metrics
        Of the instance; ``rng`` gives the jitter of the interval.
    """

    def __init__(
        self,
        livelist: LiveList,
        clock: Clock,
        rng: random.Random,
        log: Log,
        metrics: Metrics,
    ):
        self._livelist = livelist
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._callbacks: list[MembersCallback] = []
        self._is_failing = False
        self._refused_count = 0
        self.members: tuple[Member, ...] = ()
        self.last_refresh_ms: int | None = None

    def subscribe(self, callback: MembersCallback) -> None:
        """Call ``callback`` with each list received."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Refresh until cancelled."""
        while True:
            await self.refresh()
            jitter = self._rng.uniform(0.9, 1.1)
            wait_ms = refresh_interval_ms(len(self.members))
            await self._clock.sleep_ms(wait_ms * jitter)

    async def refresh(self) -> None:
        """Poll the platform once."""
        members = await self._livelist.members()
        if isinstance(members, Failure):
            self._metrics.incr("roster.refresh_failed")
            if not self._is_failing:
                self._log.event("roster_refresh_failed", failure=members)
            self._is_failing = True
            return
        self._is_failing = False
        self._record_refused(self._livelist.refused_count)
        self.members = members
        self.last_refresh_ms = self._clock.now_ms()
        for callback in self._callbacks:
            callback(members)

    def _record_refused(self, count: int) -> None:
        """Record how many entries can't be used; a change is logged."""
        self._metrics.gauge("roster.refused_entries", count)
        if count != self._refused_count:
            self._log.event("roster_entries_refused", count=count)
        self._refused_count = count
