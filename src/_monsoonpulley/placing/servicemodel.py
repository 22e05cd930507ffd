"""Model of a plain service's endpoints, learned from their answers."""

from __future__ import annotations

from .sharedsums import SharedSums

PRIOR_SERVICE_MS = 80.0
"""Service time assumed before there are answers."""

PRIOR_WEIGHT = 5.0
"""Number of answers that have as much weight as the prior."""

SLOWDOWN_SHARE = 0.2
"""Slowdown of a request on an endpoint with all slots in use. Makes the less loaded
endpoint preferred."""

MAX_FACTOR = 5.0
"""An answer that took longer than its prediction by this factor counts as this long:
faulty endpoints give such answers."""


class ServiceModel:
    """Predicted times at the endpoints of one plain service."""

    def __init__(self) -> None:
        # Sums over answers of 1 and of service times.
        self.sums = SharedSums(2)

    def record_answer(
        self, running_count: int, slots: int, took_ms: float, now_ms: int
    ) -> None:
        """Record a complete answer.

        Parameters
        ----------
        running_count : int
            Other requests in progress at the endpoint when it was sent.
        slots : int
            Requests that the endpoint processes at once.
        took_ms : float
            Time from sending the request to the complete answer.
        now_ms : int
            Monotonic time.
        """
        alone_ms = took_ms / load_factor(running_count, slots)
        alone_ms = min(alone_ms, MAX_FACTOR * self.service_ms())
        self.sums.add((1.0, alone_ms), 1.0, now_ms)

    def predict_answer_ms(self, running_count: int, slots: int) -> float:
        """Return the predicted time to the answer of a request sent now."""
        return self.service_ms() * load_factor(running_count, slots)

    def service_ms(self) -> float:
        """Return the mean service time on an idle endpoint."""
        count, total_ms = self.sums.totals()
        total_ms += PRIOR_WEIGHT * PRIOR_SERVICE_MS
        return total_ms / (count + PRIOR_WEIGHT)


def load_factor(running_count: int, slots: int) -> float:
    """Return the time at an endpoint with this load, relative to an idle one."""
    queued = max(0, running_count + 1 - slots)
    return 1 + (SLOWDOWN_SHARE * running_count + queued) / slots
