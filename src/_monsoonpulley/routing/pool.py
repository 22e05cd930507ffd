"""Pools of endpoints that may get work, and traffic counters of services."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

import msgspec

from ..ids import EndpointId

RATE_WINDOW_MS = 2_000
MEAN_OUTPUT_REQUESTS = 20


class Pooled(Protocol):
    """What a pool needs to know of an endpoint."""

    @property
    def id(self) -> EndpointId:
        """Return the endpoint's id."""
        ...


E = TypeVar("E", bound=Pooled)


class Pool(Generic[E]):
    """The LIVE endpoints of one version in one data centre, in O(1) steps."""

    def __init__(self) -> None:
        self.endpoints: list[E] = []
        self._index: dict[EndpointId, int] = {}

    def add(self, endpoint: E) -> None:
        """Add an endpoint; nothing happens if it is there."""
        if endpoint.id not in self._index:
            self._index[endpoint.id] = len(self.endpoints)
            self.endpoints.append(endpoint)

    def holds(self, endpoint: EndpointId) -> bool:
        """Return whether the endpoint is in the pool."""
        return endpoint in self._index

    def discard(self, endpoint: EndpointId) -> None:
        """Remove an endpoint, if it is there."""
        index = self._index.pop(endpoint, None)
        if index is None:
            return
        last = self.endpoints.pop()
        if last.id != endpoint:
            self.endpoints[index] = last
            self._index[last.id] = index


class ServiceTraffic(msgspec.Struct):
    """Own traffic of a service: a decayed count and moving averages."""

    decayed_requests: float = 0.0
    counted_ms: int = 0
    prompt_tokens: float = 0.0
    output_tokens: float = 1.0
    outputs: int = 0

    def requests_per_ms(self, now_ms: int) -> float:
        """Return this daemon's own rate of late."""
        faded = max(0.0, 1.0 - (now_ms - self.counted_ms) / (4 * RATE_WINDOW_MS))
        return self.decayed_requests * faded / RATE_WINDOW_MS

    def count(self, prompt_tokens: int, now_ms: int) -> None:
        """Count one request sent."""
        gap_ms = max(0, now_ms - self.counted_ms)
        kept = max(0.0, 1.0 - gap_ms / RATE_WINDOW_MS)
        self.decayed_requests = self.decayed_requests * kept + 1.0
        self.counted_ms = now_ms
        self.prompt_tokens += 0.1 * (prompt_tokens - self.prompt_tokens)

    def observe_output(self, output_tokens: int) -> None:
        """Move the mean length of answers; without one, answers are short.

        So nothing is refused for the length of answers never seen.
        """
        self.outputs = min(self.outputs + 1, MEAN_OUTPUT_REQUESTS)
        self.output_tokens += (output_tokens - self.output_tokens) / self.outputs
