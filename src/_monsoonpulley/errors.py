"""Errors as values, with their reason, step and peer.

Functions that can fail for reasons outside the program return
``Result | Failure``, and the calling code tests ``isinstance(x, Failure)``.
Exceptions are for bugs and for wrong settings.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class Reason(Enum):
    """Reason for which a step failed."""

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
    QUARANTINED = "quarantined"
    """Requests like this one crash endpoints."""
    RETRIES_SPENT = "retries_spent"
    SHUTTING_DOWN = "shutting_down"
    UNAVAILABLE = "unavailable"
    """The peer was unreachable or refused; nothing took effect."""
    NOT_LISTENING = "not_listening"
    """The peer's machine answered that nothing listens at the address."""
    IN_DOUBT = "in_doubt"
    """No answer arrived; the step may have taken effect, or may do so later."""
    TIMEOUT = "timeout"
    PEER_ERROR = "peer_error"
    PROTOCOL = "protocol"
    CONFLICT = "conflict"
    FENCED = "fenced"
    CANCELLED = "cancelled"
    INVALID = "invalid"
    INTERNAL = "internal"


class Delivery(Enum):
    """Whether a call reached its endpoint, as far as known."""

    NOT_SENT = "not_sent"
    """No byte of the request was sent: the endpoint can't have run it."""
    REFUSED = "refused"
    """The endpoint answered that it did not run the request."""
    MAYBE = "maybe"
    """Bytes were sent and no final answer arrived: it may have run."""


class Failure(msgspec.Struct, frozen=True):
    """A step that did not succeed.

    Attributes
    ----------
    reason : Reason
        Why it failed.
    step : str
        Dotted name of the step, such as ``table.commit``.
    peer : str
        The instance, endpoint or platform service at which it failed; empty
        for this process.
    detail : str
        What was observed or what to do, for people to read.
    delivery : Delivery or None
        For calls to endpoints, whether the request may have run.
    retry_after_ms : int or None
        Time after which a retry may succeed.
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


MALFORMED_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)
"""What decoding raises for input of any kind: invalid, nested too deeply, or with
numbers or texts that can't be represented."""

MAX_ERROR_CHARS = 200
"""Limits how much of invalid input is quoted in a failure."""


def describe_error(error: Exception) -> str:
    """Return an error's message, which may quote its input, for a failure's detail."""
    return f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS]


class SettingsError(ValueError):
    """A settings or configuration file is invalid; the message says why."""
