"""What is written about a request: one line for it, one for each attempt."""

from __future__ import annotations

from enum import Enum

from ..observability.log import Decision


class Result(Enum):
    """How an attempt at an endpoint ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    """The endpoint said that it did not run the request."""
    UNREACHABLE = "unreachable"
    """No byte was sent."""
    FAILED = "failed"
    """The endpoint answered with a failure of its own."""
    INVALID = "spoiled"
    """The answer was incomplete, unsigned or not ours."""
    CALLER_LEFT = "caller_left"
    TIMED_OUT = "time_up"


class AttemptEnded(Decision, frozen=True, tag="attempt", kw_only=True):
    """One try at one endpoint, with what its choice rested on.

    Attributes
    ----------
    predicted_ms, running, unread_tokens, runner_up, candidates
        See `Choice`.
    heard, members : int
        Instances whose load was known, and all there may be.
    took_ms : int
        From the choice to the end.
    first_ms : int or None
        From the choice to the answer's first byte.
    """

    request: str
    attempt: int
    endpoint: str
    service: str
    predicted_ms: float
    running: int
    unread_tokens: int
    runner_up: str
    candidates: int
    heard: int
    members: int
    left_ms: int
    took_ms: int
    first_ms: int | None
    result: str
    detail: str = ""


class RequestEnded(Decision, frozen=True, tag="request", kw_only=True):
    """How a request ended for its caller.

    Attributes
    ----------
    status : int
        Of the answer; 0 if the connection ended without one.
    configuration, configuration_age_ms : int
        Version in force when it came, and for how long.
    may_have_run : bool
        Whether an endpoint may have begun it.
    """

    request: str
    route: str
    kind: str
    customer: str
    service: str
    status: int
    detail: str
    may_have_run: bool
    attempts: int
    took_ms: int
    first_ms: int | None
    retry_after_ms: int | None
    configuration: int
    configuration_age_ms: int
