"""Pools of endpoints that may get work, and traffic counters of services."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

import msgspec

from ..ids import EndpointId

RATE_WINDOW_MS = 2_000
MEAN_OUTPUT_REQUESTS = 20


class PooledEndpoint(Protocol):
    """What a pool needs to know of an endpoint."""

    @property
    def id(self) -> EndpointId:
        """Return the endpoint's id."""
        ...


E = TypeVar("E", bound=PooledEndpoint)


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

    def contains(self, endpoint: EndpointId) -> bool:
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
    last_request_ms: int = 0
    mean_prompt_tokens: float = 0.0
    mean_output_tokens: float = 1.0
    output_count: int = 0

    def requests_per_ms(self, now_ms: int) -> float:
        """Return this daemon's own rate of late."""
        decay = max(0.0, 1.0 - (now_ms - self.last_request_ms) / (4 * RATE_WINDOW_MS))
        return self.decayed_requests * decay / RATE_WINDOW_MS

    def record_request(self, prompt_tokens: int, now_ms: int) -> None:
        """Count one request sent."""
        gap_ms = max(0, now_ms - self.last_request_ms)
        decay = max(0.0, 1.0 - gap_ms / RATE_WINDOW_MS)
        self.decayed_requests = self.decayed_requests * decay + 1.0
        self.last_request_ms = now_ms
        self.mean_prompt_tokens += 0.1 * (prompt_tokens - self.mean_prompt_tokens)

    def observe_output(self, output_tokens: int) -> None:
        """Move the mean length of answers; without one, answers are short.

        So nothing is refused for the length of answers never seen.
        """
        self.output_count = min(self.output_count + 1, MEAN_OUTPUT_REQUESTS)
        self.mean_output_tokens += (
            output_tokens - self.mean_output_tokens
        ) / self.output_count
