"""Health of endpoints, from the results of this instance's own attempts.

Detects endpoints that fail some requests, turn slow or stop answering while
their health check still passes: failures add to a weight that decays, and
response times are compared with the predicted ones.
"""

from __future__ import annotations

import msgspec

from ..ids import EndpointId

FAILURE_HALF_LIFE_MS = 4_000
"""Half-life of a failure's weight; short, so that an endpoint is soon tried again:
faults last seconds."""

AVOID_FAILURE_WEIGHT = 3.0
"""Failure weight from which an endpoint is used only if all others are as bad."""

LATENCY_SMOOTHING = 0.2
"""Weight of the newest answer in the moving average of the excess time."""

ANSWER_FAILURE_FACTOR = 0.8
"""Factor on the failure weight after an answer; three answers in a row halve it."""

EXCESS_HALF_LIFE_MS = 3_000
"""Half-life of the excess time of an endpoint that gets no requests."""


class _Health(msgspec.Struct):
    failure_weight: float = 0.0
    failure_updated_ms: int = 0
    excess_ms: float = 0.0
    excess_updated_ms: int = 0


class EndpointHealth:
    """Failure weight and excess time of each endpoint."""

    def __init__(self) -> None:
        self._health: dict[EndpointId, _Health] = {}

    def record_failure(
        self, endpoint: EndpointId, now_ms: int, weight: float = 1.0
    ) -> None:
        """Record a failure; use a higher weight for one that is sure to last."""
        health = self._health.setdefault(endpoint, _Health())
        health.failure_weight = self._decayed_failure_weight(health, now_ms) + weight
        health.failure_updated_ms = now_ms

    def record_answer(
        self, endpoint: EndpointId, excess_ms: float, now_ms: int
    ) -> None:
        """Record an answer that took ``excess_ms`` longer than predicted."""
        health = self._health.setdefault(endpoint, _Health())
        previous_ms = self.excess_ms(endpoint, now_ms)
        health.excess_ms = previous_ms + LATENCY_SMOOTHING * (excess_ms - previous_ms)
        health.excess_updated_ms = now_ms
        health.failure_weight = (
            self._decayed_failure_weight(health, now_ms) * ANSWER_FAILURE_FACTOR
        )
        health.failure_updated_ms = now_ms

    def failure_weight(self, endpoint: EndpointId, now_ms: int) -> float:
        """Return the decayed weight of an endpoint's recent failures."""
        health = self._health.get(endpoint)
        return 0.0 if health is None else self._decayed_failure_weight(health, now_ms)

    def excess_ms(self, endpoint: EndpointId, now_ms: int) -> float:
        """Return how much longer than predicted the endpoint takes on average."""
        health = self._health.get(endpoint)
        if health is None:
            return 0.0
        age_ms = now_ms - health.excess_updated_ms
        return health.excess_ms * 0.5 ** (age_ms / EXCESS_HALF_LIFE_MS)

    def is_avoided(self, endpoint: EndpointId, now_ms: int) -> bool:
        """Return whether to use the endpoint only if there is no better one."""
        return self.failure_weight(endpoint, now_ms) >= AVOID_FAILURE_WEIGHT

    def remove(self, endpoint: EndpointId) -> None:
        """Remove the state of an endpoint that no longer exists."""
        self._health.pop(endpoint, None)

    @staticmethod
    def _decayed_failure_weight(health: _Health, now_ms: int) -> float:
        age_ms = max(0, now_ms - health.failure_updated_ms)
        return health.failure_weight * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
