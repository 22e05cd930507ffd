"""Errors as values: what went wrong, at which step, at which peer.

Functions that can fail for reasons outside the program return
``Result | Failure`` and callers test with ``isinstance(x, Failure)``.
Exceptions are left for faults of the program and for wrong settings.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class Reason(Enum):
    """Why a step failed."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    KEY_MISSING = "key_missing"
    KEY_REUSED = "key_reused"
    OVERLOADED = "overloaded"
    TARGET_UNREACHABLE = "target_unreachable"
    NO_ENDPOINT = "no_endpoint"
    RETRIES_SPENT = "retries_spent"
    SHUTTING_DOWN = "shutting_down"
    UNAVAILABLE = "unavailable"
    """The peer can't be reached or declined; nothing took effect."""
    IN_DOUBT = "in_doubt"
    """No answer came; the step may have taken effect, now or later."""
    TIMEOUT = "timeout"
    PEER_ERROR = "peer_error"
    PROTOCOL = "protocol"
    CONFLICT = "conflict"
    FENCED = "fenced"
    CANCELLED = "cancelled"
    INVALID = "invalid"
    INTERNAL = "internal"


class Delivery(Enum):
    """What is known about whether a call reached its endpoint."""

    NOT_SENT = "not_sent"
    """No byte of the request left: the endpoint can't have run it."""
    REFUSED = "refused"
    """The endpoint itself said that it did not run the request."""
    MAYBE = "maybe"
    """Bytes were sent and no final answer came: it may have run."""


class Failure(msgspec.Struct, frozen=True):
    """A step that did not succeed.

    Attributes
    ----------
    reason : Reason
        Why.
    step : str
        Dotted name of the step, such as ``table.commit``.
    peer : str
        The instance, endpoint or platform service at which it arose; empty
        for the process itself.
    detail : str
        What to do about it or what was seen, for people.
    delivery : Delivery or None
        For calls to endpoints, whether the request may have run.
    retry_after_ms : int or None
        When a caller may usefully ask again.
    """

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""
    delivery: Delivery | None = None
    retry_after_ms: int | None = None

    def __str__(self) -> str:
        at = f" at {self.peer}" if self.peer else ""
        detail = f": {self.detail}" if self.detail else ""
        return f"{self.step}{at}: {self.reason.value}{detail}"


class SettingsError(ValueError):
    """A settings or configuration file that can't be used; its text says why."""
