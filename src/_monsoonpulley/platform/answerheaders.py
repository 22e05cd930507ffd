"""Answer headers: read from endpoints, forwarded to callers or set here."""

from __future__ import annotations

import email.utils
import math
from enum import Enum

from ..errors import MALFORMED_ERRORS, Failure, Reason
from ..wire.events import AnswerHead, HeaderList
from . import names

_NOT_EXECUTED = names.NOT_EXECUTED.lower()
_SEAL = names.SEAL.lower()
_REQUEST_ID = names.REQUEST_ID.lower()
_LEAVING = names.LEAVING.lower()
_RATE_LIMIT = names.RATE_LIMIT.lower()
_BRITTLE = names.BRITTLE.lower()
_PEER_OUTCOME = names.PEER_OUTCOME.lower()

_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        _PEER_OUTCOME,
    )
)
"""Headers that apply to one connection only; not forwarded."""

PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
"""Statuses of our own answers that promise that the request has not run."""

MISDIRECTED_STATUS = 421
"""Sent by an endpoint that is not the expected one and did not run the request."""

REFUSED_STATUS = 503
"""The only status whose ``Retry-After`` asks for a pause."""

EVENT_STREAM_TYPE = b"text/event-stream"


MAX_RETRY_AFTER_S = 86_400
"""Longer retry times count as a day; those of endpoints are limited further."""


class PeerOutcome(Enum):
    """What an answer says that another instance has written itself."""

    NOT_RUN = b"not_run"
    """The request has not run; another instance would presumably say the same."""
    NO_LINK = b"no_link"
    """The request has not run, and another instance may serve it: this one reaches no
    endpoint either, or it stops."""
    FINAL = b"final"
    """Any other answer."""


def read_peer_outcome(head: AnswerHead) -> PeerOutcome | None:
    """Return what another instance says; None if an endpoint wrote the answer."""
    value = head.fields.get(_PEER_OUTCOME)
    if value is None:
        return None
    try:
        return PeerOutcome(value)
    except ValueError:
        return PeerOutcome.FINAL


def was_not_run(head: AnswerHead) -> bool:
    """Return whether the endpoint reports that it did not run the request."""
    return _NOT_EXECUTED in head.fields or head.status == MISDIRECTED_STATUS


def is_success(head: AnswerHead) -> bool:
    """Return whether the answer has a success status."""
    return 200 <= head.status < 300


def is_sealed(head: AnswerHead, request_id: bytes) -> bool:
    """Return whether a success has a seal, this request's id and a plain body.

    Only such a success counts as complete.
    """
    return (
        _SEAL in head.fields
        and head.fields.get(_REQUEST_ID) == request_id
        and b"content-encoding" not in head.fields
    )


def is_event_stream(head: AnswerHead) -> bool:
    """Return whether the body is a stream of events."""
    return head.fields.get(b"content-type", b"").lower().startswith(EVENT_STREAM_TYPE)


def is_from_endpoint(head: AnswerHead) -> bool:
    """Return whether the endpoint that was expected wrote this answer itself."""
    is_marked = _SEAL in head.fields or _NOT_EXECUTED in head.fields
    return is_marked and head.status != MISDIRECTED_STATUS


def says_leaving(head: AnswerHead) -> bool:
    """Return whether the endpoint says that it leaves.

    A success without a seal may be spoiled and is not believed: it would take an
    endpoint out for good. Any other answer is forwarded to the caller, 421 excepted,
    which another endpoint has written.
    """
    if head.fields.get(_LEAVING, b"").strip() != b"1":
        return False
    is_forwarded = not is_success(head) and head.status != MISDIRECTED_STATUS
    return is_from_endpoint(head) or is_forwarded


def read_rate_limit(head: AnswerHead) -> float | Failure | None:
    """Return the requests a second that the endpoint takes, None if it names no limit.

    Returns
    -------
    float or Failure or None
        `Reason.INVALID` if the value is no finite number or negative.
    """
    return _read_rate(head, _RATE_LIMIT, "answer.rate_limit")


def read_bearable_refusals(head: AnswerHead) -> float | Failure | None:
    """Return the refusals a second that the endpoint bears, None if it is not brittle.

    Returns
    -------
    float or Failure or None
        `Reason.INVALID` if the value is no finite number or negative.
    """
    return _read_rate(head, _BRITTLE, "answer.brittle")


def _read_rate(head: AnswerHead, name: bytes, step: str) -> float | Failure | None:
    text = head.fields.get(name)
    if text is None:
        return None
    try:
        per_s = float(text)
    except ValueError:
        per_s = math.nan
    if not math.isfinite(per_s) or per_s < 0:
        return Failure(Reason.INVALID, step, detail=f"no rate: {text[:40]!r}")
    return per_s


def read_pause_ms(head: AnswerHead, wall_ms: int) -> int | Failure | None:
    """Return for how long the endpoint wants no requests of this instance.

    Parameters
    ----------
    head : AnswerHead
        Its answer; only a 503 asks for a pause.
    wall_ms : int
        Wall time, in case the pause is given by its end.

    Returns
    -------
    int or Failure or None
        None if it asks for none, `Reason.INVALID` if the value is neither a number of
        seconds, fractions included, nor a date.
    """
    text = head.fields.get(b"retry-after")
    if text is None or head.status != REFUSED_STATUS:
        return None
    pause_ms = _seconds_to_ms(text)
    if pause_ms is None:
        pause_ms = _ms_until_date(text, wall_ms)
    if pause_ms is None:
        detail = f"no retry time: {text[:40]!r}"
        return Failure(Reason.INVALID, "answer.retry_after", detail=detail)
    return pause_ms


def read_retry_after_ms(head: AnswerHead) -> int | None:
    """Return the retry time that another instance gives in seconds, if any."""
    text = head.fields.get(b"retry-after")
    return None if text is None else _seconds_to_ms(text)


def _seconds_to_ms(text: bytes) -> int | None:
    try:
        pause_s = float(text)
    except ValueError:
        return None
    if not math.isfinite(pause_s) or pause_s < 0:
        return None
    return math.ceil(min(pause_s, MAX_RETRY_AFTER_S) * 1000)


def _ms_until_date(text: bytes, wall_ms: int) -> int | None:
    try:
        end = email.utils.parsedate_to_datetime(text.decode("latin-1"))
        end_wall_ms = round(end.timestamp() * 1000)
    except MALFORMED_ERRORS:
        return None
    return max(0, end_wall_ms - wall_ms)


def headers_for_caller(head: AnswerHead) -> HeaderList:
    """Return the headers to forward to the caller, unchanged and in order."""
    return [(n, v) for n, v in head.headers if n.lower() not in _CONNECTION_HEADERS]


def without_status_headers(headers: HeaderList) -> HeaderList:
    """Return the headers of an endpoint's failure that gets another status here.

    Its seal is for its own status, and its retry time for a request that has not run.
    """
    dropped = (_SEAL, b"retry-after")
    return [(n, v) for n, v in headers if n.lower() not in dropped]


def local_answer_headers(
    request_id: bytes,
    retry_after_ms: int | None = None,
    outcome: PeerOutcome | None = None,
) -> HeaderList:
    """Return the headers of an answer that this instance generates itself.

    Parameters
    ----------
    request_id : bytes
        Returned to the caller if not empty.
    retry_after_ms : int or None
        Time after which the caller may retry; None sets no header.
    outcome : PeerOutcome or None
        For another instance; None if the answer goes to the caller.
    """
    headers: HeaderList = []
    if request_id:
        headers.append((names.REQUEST_ID, request_id))
    if retry_after_ms is not None:
        headers.append((b"Retry-After", b"%.2f" % (retry_after_ms / 1000)))
    if outcome is not None:
        headers.append((names.PEER_OUTCOME, outcome.value))
    return headers
