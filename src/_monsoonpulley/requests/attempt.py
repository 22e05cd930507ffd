"""One attempt of a generation: its times, and how it can end."""

from __future__ import annotations

from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from ..ids import EndpointId
from .placement import AttemptEnd


class Progress:
    """Times one attempt and counts its tokens."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._first_ms: int | None = None
        self.tokens = 0

    def note_token(self) -> None:
        """Count a token."""
        self.tokens += 1
        if self._first_ms is None:
            self._first_ms = self._clock.now_ms()

    def end(self, failure: Failure | None) -> AttemptEnd:
        """Return how the attempt ended."""
        now_ms = self._clock.now_ms()
        first_ms = now_ms if self._first_ms is None else self._first_ms
        return AttemptEnd(
            failure=failure,
            first_answer_ms=first_ms - self._started_ms,
            total_ms=now_ms - self._started_ms,
            tokens=self.tokens,
        )


def gone(endpoint: EndpointId, step: str = "engine.connect") -> Failure:
    """Return the failure of an attempt whose endpoint is not listed."""
    return Failure(
        Reason.UNAVAILABLE,
        step,
        endpoint,
        "the endpoint is no longer listed",
        Delivery.NOT_SENT,
    )


def moved(endpoint: EndpointId) -> Failure:
    """Return how an attempt ends that goes on elsewhere by plan."""
    return Failure(
        Reason.CANCELLED,
        "engine.generate",
        endpoint,
        "the generation goes on elsewhere",
        Delivery.MAYBE,
    )


def cut_short(endpoint: EndpointId) -> Failure:
    """Return the failure of a stream that ended without a finish."""
    return Failure(
        Reason.PROTOCOL,
        "engine.generate",
        endpoint,
        "the stream ended without a finish",
        Delivery.MAYBE,
    )


def abandoned(endpoint: EndpointId, step: str = "engine.generate") -> Failure:
    """Return how an attempt ends whose caller went away."""
    return Failure(
        Reason.CANCELLED,
        step,
        endpoint,
        "the caller went away",
        Delivery.MAYBE,
    )
