"""Log lines of a request: one for each attempt, one for its end."""

from __future__ import annotations

from enum import Enum

from ..observability.log import Decision


class Result(Enum):
    """How an attempt at an endpoint ended; values are logged and counted."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    """The endpoint reported that it did not run the request."""
    UNREACHABLE = "unreachable"
    """Nothing was sent: no connection in time, or the endpoint is leaving."""
    FAILED = "failed"
    """The endpoint answered with a status other than success."""
    INVALID = "spoiled"
    """The answer was incomplete, too large, encoded, unsigned or for another
    request."""
    CALLER_LEFT = "caller_left"
    TIMED_OUT = "time_up"


class AttemptEnded(Decision, frozen=True, tag="attempt", kw_only=True):
    """One attempt at one endpoint, and the figures behind its choice.

    Attributes
    ----------
    predicted_ms, speed_factor, running, unread_tokens, backlog_tokens, \
held_tokens, runner_up, candidates
        See `Choice`; ``unread_tokens`` are its ``prefill_tokens``.
    limited, paused, full, cold : int
        Endpoints left out because of their rate limits, because they want a pause,
        because they are brittle and have no room, and because they are cold and bear
        no more requests.
    barred : int
        Endpoints left out because of their region, or because their data centre is
        evacuated.
    rank : int
        Priority sent to the endpoint.
    heard, members : int
        Number of reachable instances and of all known ones, this one included.
    left_ms : int
        Time from the end of the attempt to the request's deadline.
    took_ms : int
        Time from the choice to the end of the attempt.
    first_ms : int or None
        Time from the choice to the first byte of the answer.
    status : int
        Status in the head of the endpoint's answer; 0 if none arrived.
    events : int
        Whole events of a stream that arrived.
    longest_gap_ms : int
        Longest pause between two of them.
    foreign : int
        Answers that the endpoint sent and that belong to other requests, or may.
    parts : tuple of str
        Fingerprints of the prompt's parts that other requests may share, if the
        answer broke off.
    """

    request: str
    attempt: int
    endpoint: str
    service: str
    predicted_ms: float
    running: int
    unread_tokens: int
    backlog_tokens: int
    held_tokens: int
    rank: int
    runner_up: str
    candidates: int
    limited: int
    paused: int
    full: int
    heard: int
    members: int
    left_ms: int
    took_ms: int
    first_ms: int | None
    result: str
    detail: str = ""
    status: int = 0
    events: int = 0
    barred: int = 0
    longest_gap_ms: int = 0
    speed_factor: float = 1.0
    parts: tuple[str, ...] = ()
    cold: int = 0
    foreign: int = 0


class PeerAttemptEnded(Decision, frozen=True, tag="peer_attempt", kw_only=True):
    """A request that another instance was asked to serve, and why.

    Attributes
    ----------
    peer : str
        The other instance.
    helpers : int
        Instances that could have been asked instead, this one included.
    lost, known : int
        Lost links to ready endpoints of the service, and all of these endpoints.
    is_cut_off : bool
        Whether all links are presumed lost.
    digest_age_ms : int
        Age of what is known of the other instance.
    foreign : int
        See `AttemptEnded`.
    outcome : str
        What the other instance said itself; empty if an endpoint answered.
    """

    request: str
    peer: str
    service: str
    helpers: int
    lost: int
    known: int
    is_cut_off: bool
    digest_age_ms: int
    left_ms: int
    took_ms: int
    first_ms: int | None
    result: str
    outcome: str
    detail: str = ""
    status: int = 0
    foreign: int = 0


class RequestEnded(Decision, frozen=True, tag="request", kw_only=True):
    """How a request ended for its caller.

    Attributes
    ----------
    status : int
        Status of the answer; 0 if the connection ended without one.
    configuration : int
        Version in force when the request arrived; 0 if there was none.
    configuration_age_ms : int
        Time since the configuration now in force was applied.
    may_have_run : bool
        Whether an endpoint may have started the request.
    rank : int
        Priority; 0 is the most urgent.
    spent_ms : int
        Time for which the caller had presumably waited before, see `WaitLimits`.
    share_factor : float
        Factor on the longest wait by the customer's share, see `FairShares`.
    has_precedence : bool
        Whether the caller was taken for one that returns at the time that it was told.
    is_return_kept : bool or None
        Whether there will be capacity for a refused caller at its retry time; None if
        that was not computed.
    is_from_peer : bool
        Whether another instance asked for it, which has a line of its own for it.
    connection_age_ms, earlier_requests, idle_ms, receive_ms
        How it arrived, see `Arrival`.
    queued_ms : int
        Time from its arrival until it was handled, behind others on its connection.
    stopping_for_ms : int or None
        Time from the start of this instance's stop to the handling of the request,
        negative if it was handled before; None if no stop has begun.
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
    rank: int
    spent_ms: int
    share_factor: float
    has_precedence: bool
    is_return_kept: bool | None
    is_from_peer: bool
    configuration: int
    configuration_age_ms: int
    connection_age_ms: int
    earlier_requests: int
    idle_ms: int | None
    receive_ms: int
    queued_ms: int
    stopping_for_ms: int | None
