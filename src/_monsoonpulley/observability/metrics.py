"""Counters, gauges and timers, sent to ``statsd`` over UDP."""

from __future__ import annotations

from typing import Protocol


class Metrics(Protocol):
    """Interface for recording metrics."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
        ...

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""
        ...

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""
        ...


class NoMetrics:
    """Metrics that are discarded, for use without a ``statsd`` address."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Do nothing."""

    def timing(self, stat: str, delta: float) -> None:
        """Do nothing."""

    def gauge(self, stat: str, value: float) -> None:
        """Do nothing."""


def create_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Return metrics that go to ``statsd``, or `NoMetrics` if ``host`` is empty."""
    if not host:
        return NoMetrics()
    import statsd

    return statsd.StatsClient(host, port, prefix=prefix)
