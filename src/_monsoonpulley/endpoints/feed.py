"""Polls the load reports and cache events of engines."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from ..clock import Clock
from ..errors import Failure
from ..ids import EndpointId
from ..observability.metrics import Metrics
from .engine import CacheEvent, EngineClient, LoadReport

MIN_POLL_INTERVAL_MS = 500
POLL_MS_PER_ENGINE = 300
"""Lower bound of the poll interval per engine: an instance that reports on many
engines polls each less often, so that its control traffic stays bounded."""
POLL_TIMEOUT_MS = 2_000
MAX_CONCURRENT_POLLS = 16


def poll_interval_ms(engine_count: int) -> int:
    """Return the time between polls of each of ``engine_count`` engines."""
    return max(MIN_POLL_INTERVAL_MS, POLL_MS_PER_ENGINE * engine_count)


class FeedSink(Protocol):
    """Receiver of the reports of engines."""

    def apply_load(
        self, endpoint: EndpointId, report: LoadReport, now_ms: int, wall_ms: int
    ) -> None:
        """Apply a load report; ``wall_ms`` is the current wall time."""
        ...

    def apply_cache_events(
        self, endpoint: EndpointId, events: tuple[CacheEvent, ...]
    ) -> None:
        """Apply cache events, which come in order of ``seq``."""
        ...


class EngineFeed:
    """Poller of the engines that this instance reports on.

    Parameters
    ----------
    engines : callable
        Returns the clients of the engines to poll, by endpoint.
    sink : FeedSink
        Receives the reports.
    clock, rng, metrics
        Of the instance; ``rng`` gives the jitter of the interval.
    """

    def __init__(
        self,
        engines: Callable[[], dict[EndpointId, EngineClient]],
        sink: FeedSink,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ):
        self._engines = engines
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._last_seq: dict[EndpointId, int] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            jitter = self._rng.uniform(0.9, 1.1)
            wait_ms = poll_interval_ms(len(self._engines()))
            await self._clock.sleep_ms(wait_ms * jitter)

    async def poll(self) -> None:
        """Poll every engine once, a bounded number at a time."""
        engines = self._engines()
        self._evict_unlisted(engines)
        slots = asyncio.Semaphore(MAX_CONCURRENT_POLLS)

        async def poll_one(endpoint: EndpointId, engine: EngineClient) -> None:
            async with slots:
                await self._try_poll_engine(endpoint, engine)

        await asyncio.gather(*(poll_one(*item) for item in engines.items()))

    async def _try_poll_engine(
        self, endpoint: EndpointId, engine: EngineClient
    ) -> None:
        """Poll an engine; an error over it is counted, and the others are polled."""
        try:
            await self._poll_engine(endpoint, engine)
        except Exception:
            self._metrics.incr("feed.error")

    async def _poll_engine(self, endpoint: EndpointId, engine: EngineClient) -> None:
        try:
            async with asyncio.timeout(POLL_TIMEOUT_MS / 1000):
                report = await engine.load_report()
                events = await engine.cache_events(self._last_seq.get(endpoint, 0))
        except TimeoutError:
            self._metrics.incr("feed.timeout")
            return
        if isinstance(report, Failure):
            self._metrics.incr("feed.load_failed")
        else:
            now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
            self._sink.apply_load(endpoint, report, now_ms, wall_ms)
        if isinstance(events, Failure):
            self._metrics.incr("feed.cache_events_failed")
        elif events:
            self._last_seq[endpoint] = max(event.seq for event in events)
            self._sink.apply_cache_events(endpoint, events)

    def _evict_unlisted(self, engines: Iterable[EndpointId]) -> None:
        for endpoint in set(self._last_seq) - set(engines):
            del self._last_seq[endpoint]
