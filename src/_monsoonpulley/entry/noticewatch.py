"""Watches for reclaim notices of this instance and of endpoints."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..clock import Clock
from ..errors import Failure
from ..external.cloud import Cloud, ReclaimNotice
from ..observability.metrics import Metrics

POLL_INTERVAL_MS = 1_000

OnNotice = Callable[[ReclaimNotice], None]


class NoticeWatch:
    """Polls reclaim notices and passes each on once.

    Parameters
    ----------
    cloud : Cloud
        Where notices are published.
    on_notice : callable
        Called with each new notice.
    clock, rng, metrics
        Of the instance; ``rng`` spreads the polls.
    """

    def __init__(
        self,
        cloud: Cloud,
        on_notice: OnNotice,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ):
        self._cloud = cloud
        self._on_notice = on_notice
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._last_notices: set[ReclaimNotice] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            jitter = self._rng.uniform(0.9, 1.1)
            await self._clock.sleep_ms(POLL_INTERVAL_MS * jitter)

    async def poll(self) -> None:
        """Ask the platform once."""
        notices = await self._cloud.notices()
        if isinstance(notices, Failure):
            self._metrics.incr("notices.poll_failed")
            return
        for notice in notices:
            if notice not in self._last_notices:
                self._on_notice(notice)
        self._last_notices = set(notices)
