"""Times of one attempt, and the failures that it can end with."""

from __future__ import annotations

from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from ..ids import EndpointId
from .placement import AttemptEnd


class AttemptProgress:
    """Measures the times of one attempt and counts its tokens."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._first_token_ms: int | None = None
        self.token_count = 0

    def record_token(self) -> None:
        """Count a token."""
        self.token_count += 1
        if self._first_token_ms is None:
            self._first_token_ms = self._clock.now_ms()

    def finish(self, failure: Failure | None) -> AttemptEnd:
        """Return the attempt's end with its times and tokens up to now."""
        now_ms = self._clock.now_ms()
        first_ms = now_ms if self._first_token_ms is None else self._first_token_ms
        return AttemptEnd(
            failure=failure,
            first_answer_ms=first_ms - self._started_ms,
            total_ms=now_ms - self._started_ms,
            tokens=self.token_count,
        )


def not_listed_failure(endpoint: EndpointId, step: str = "engine.connect") -> Failure:
    """Return the failure of an attempt at an endpoint that is no longer listed."""
    return Failure(
        Reason.UNAVAILABLE,
        step,
        endpoint,
        "the endpoint is no longer listed",
        Delivery.NOT_SENT,
    )


def moved_failure(endpoint: EndpointId) -> Failure:
    """Return the failure of an attempt whose generation was moved by a plan."""
    return Failure(
        Reason.CANCELLED,
        "engine.generate",
        endpoint,
        "the generation continues at another endpoint",
        Delivery.MAYBE,
    )


def truncated_failure(endpoint: EndpointId) -> Failure:
    """Return the failure of a stream that ended before its finish event."""
    return Failure(
        Reason.PROTOCOL,
        "engine.generate",
        endpoint,
        "the stream ended before its finish event",
        Delivery.MAYBE,
    )


def caller_left_failure(endpoint: EndpointId, step: str = "engine.generate") -> Failure:
    """Return the failure of an attempt whose caller disconnected."""
    return Failure(
        Reason.CANCELLED,
        step,
        endpoint,
        "the caller disconnected",
        Delivery.MAYBE,
    )
