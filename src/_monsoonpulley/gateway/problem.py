"""Error responses in the format of the OpenAI API, with additional fields."""

from __future__ import annotations

import math

import msgspec
from starlette.responses import Response

from ..errors import Failure, Reason
from ..ids import ClassId, RequestId
from ..outcome import Outcome
from .headers import CLASS_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.CONFLICT: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.INVALID: 422,
    Reason.OVERLOADED: 429,
    Reason.TARGET_UNREACHABLE: 429,
    Reason.INTERNAL: 500,
}
"""HTTP status by reason; for other reasons the outcome decides."""

PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
"""Statuses that promise callers that the request has not run and never will."""

ERROR_TYPE_BY_STATUS = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}
"""``error.type`` by status, as in the OpenAI API."""

DEFAULT_RETRY_AFTER_MS = 1_000
"""Retry time sent where the failure itself gives none."""


class ErrorObject(msgspec.Struct, frozen=True):
    """The ``error`` object of the OpenAI API."""

    message: str
    type: str
    code: str
    param: str | None = None


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an error response; ``class_id`` is written as ``class``."""

    error: ErrorObject
    request_id: str
    class_id: str = msgspec.field(name="class")
    outcome: str
    reason: str
    step: str
    peer: str
    retry_after_ms: int | None = None


def status_of(failure: Failure, outcome: Outcome) -> int:
    """Return the HTTP status of a failure."""
    status = STATUS_BY_REASON.get(failure.reason, 503)
    if status in PROMISES_NOT_RUN and outcome is not Outcome.NOT_RUN:
        return 504
    return status


def make_problem(
    failure: Failure, outcome: Outcome, request_id: RequestId, class_id: ClassId
) -> Problem:
    """Return the error body of a failure."""
    status = status_of(failure, outcome)
    default = "invalid_request_error" if status < 500 else "server_error"
    error = ErrorObject(
        message=str(failure),
        type=ERROR_TYPE_BY_STATUS.get(status, default),
        code=failure.reason.value,
    )
    return Problem(
        error=error,
        request_id=request_id,
        class_id=class_id,
        outcome=outcome.value,
        reason=failure.reason.value,
        step=failure.step,
        peer=failure.peer,
        retry_after_ms=failure.retry_after_ms,
    )


def problem_response(
    failure: Failure,
    outcome: Outcome,
    request_id: RequestId = RequestId(""),
    class_id: ClassId = ClassId(""),
) -> Response:
    """Return the HTTP response to a failed request."""
    status = status_of(failure, outcome)
    headers = response_headers(request_id, class_id, outcome)
    if status in (429, 503) or failure.retry_after_ms is not None:
        wait_ms = failure.retry_after_ms or DEFAULT_RETRY_AFTER_MS
        headers["retry-after"] = str(math.ceil(wait_ms / 1000))
        headers["retry-after-ms"] = str(wait_ms)
    if failure.reason is Reason.SHUTTING_DOWN:
        headers["connection"] = "close"
    if status == 401:
        headers["www-authenticate"] = "Bearer"
    body = msgspec.json.encode(make_problem(failure, outcome, request_id, class_id))
    return Response(body, status, headers, media_type="application/json")


def response_headers(
    request_id: RequestId, class_id: ClassId, outcome: Outcome | None
) -> dict[str, str]:
    """Return the headers of every response; streams have no outcome header."""
    headers = {REQUEST_ID_HEADER: request_id, CLASS_HEADER: class_id}
    if outcome is not None:
        headers[OUTCOME_HEADER] = outcome.value
    return headers
