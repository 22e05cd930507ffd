"""Polling of the platform's reclaim notices."""

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
    """Polls reclaim notices and reports each new one.

    Parameters
    ----------
    cloud : Cloud
        Platform service that publishes the notices.
    on_notice : callable
        Called with each new notice.
    clock, rng, metrics
        Clock, randomness and metrics of the instance; ``rng`` adds jitter to
        the poll interval.
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
        """Read the notices once and report those that the last read did not have."""
        notices = await self._cloud.notices()
        if isinstance(notices, Failure):
            self._metrics.incr("notices.poll_failed")
            return
        for notice in notices:
            if notice not in self._last_notices:
                self._on_notice(notice)
        self._last_notices = set(notices)
