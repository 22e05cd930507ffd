"""Pools of endpoints that may get requests, and traffic statistics of services."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

import msgspec

from ..ids import EndpointId

RATE_WINDOW_MS = 2_000
MEAN_OUTPUT_REQUESTS = 20


class PooledEndpoint(Protocol):
    """The part of an endpoint that a pool uses."""

    @property
    def id(self) -> EndpointId:
        """Return the endpoint's id."""
        ...


E = TypeVar("E", bound=PooledEndpoint)


class Pool(Generic[E]):
    """The LIVE endpoints of a version in a data centre; O(1) add and discard."""

    def __init__(self) -> None:
        self.endpoints: list[E] = []
        self._index: dict[EndpointId, int] = {}

    def add(self, endpoint: E) -> None:
        """Add an endpoint if it is not in the pool."""
        if endpoint.id not in self._index:
            self._index[endpoint.id] = len(self.endpoints)
            self.endpoints.append(endpoint)

    def contains(self, endpoint: EndpointId) -> bool:
        """Return whether the endpoint is in the pool."""
        return endpoint in self._index

    def discard(self, endpoint: EndpointId) -> None:
        """Remove an endpoint if it is in the pool."""
        index = self._index.pop(endpoint, None)
        if index is None:
            return
        last = self.endpoints.pop()
        if last.id != endpoint:
            self.endpoints[index] = last
            self._index[last.id] = index


class ServiceTraffic(msgspec.Struct):
    """Own traffic to a service: a decayed count and moving averages."""

    decayed_requests: float = 0.0
    last_request_ms: int = 0
    mean_prompt_tokens: float = 0.0
    mean_output_tokens: float = 1.0
    output_count: int = 0

    def requests_per_ms(self, now_ms: int) -> float:
        """Return this instance's recent request rate."""
        decay = max(0.0, 1.0 - (now_ms - self.last_request_ms) / (4 * RATE_WINDOW_MS))
        return self.decayed_requests * decay / RATE_WINDOW_MS

    def record_request(self, prompt_tokens: int, now_ms: int) -> None:
        """Record that a request is being sent."""
        gap_ms = max(0, now_ms - self.last_request_ms)
        decay = max(0.0, 1.0 - gap_ms / RATE_WINDOW_MS)
        self.decayed_requests = self.decayed_requests * decay + 1.0
        self.last_request_ms = now_ms
        self.mean_prompt_tokens += 0.1 * (prompt_tokens - self.mean_prompt_tokens)

    def record_output(self, output_tokens: int) -> None:
        """Update the mean answer length, which is 1 token before any answer.

        So no request is refused for an answer length that was never observed.
        """
        self.output_count = min(self.output_count + 1, MEAN_OUTPUT_REQUESTS)
        self.mean_output_tokens += (
            output_tokens - self.mean_output_tokens
        ) / self.output_count
