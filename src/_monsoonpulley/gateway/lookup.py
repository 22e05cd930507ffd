"""``GET /v1/requests/ID``: state and answer of requests that run at most once."""

from __future__ import annotations

import base64

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..endpoints.service import ServiceAnswer
from ..errors import Failure, Reason
from ..ids import RequestId
from ..journal.journal import Journal
from ..journal.record import JournalRecord, State
from ..outcome import Outcome
from .authorization import Refusal, RequestAuthorizer
from .problem import problem_response, response_headers

OUTCOME_BY_STATE = {
    State.DONE: Outcome.DONE,
    State.NOT_RUN: Outcome.NOT_RUN,
    State.UNKNOWN: Outcome.UNKNOWN,
}
"""Outcome by terminal state; a request in progress has none yet."""


class AnswerBody(msgspec.Struct, frozen=True):
    """A recorded answer; a body that is not UTF-8 is written in base64."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str | None = None
    body_base64: str | None = None


class RequestState(msgspec.Struct, frozen=True, kw_only=True):
    """State of a request; ``outcome`` is ``None`` while it is in progress."""

    request_id: str
    class_id: str = msgspec.field(name="class")
    state: str
    outcome: str | None
    accepted_wall_ms: int
    answer: AnswerBody | None = None
    failure: Failure | None = None


class LookupHandler:
    """Serves the state of requests from the journal."""

    def __init__(self, authorizer: RequestAuthorizer, journal: Journal):
        self._authorizer = authorizer
        self._journal = journal

    async def handle(self, request: Request) -> Response:
        """Return the state of a request; customers see only their own."""
        request_id = RequestId(request.path_params["request_id"])
        customer = self._authorizer.authenticate(request)
        if isinstance(customer, Failure):
            return Refusal(customer, request_id).response()
        record = await self._journal.find(request_id)
        if isinstance(record, Failure):
            return problem_response(record, Outcome.UNKNOWN, request_id)
        if record is None or record.customer != customer:
            detail = "this customer has no accepted request with this id"
            failure = Failure(Reason.NOT_FOUND, "gateway.lookup", "", detail)
            return problem_response(failure, Outcome.UNKNOWN, request_id)
        return await self._state_response(record)

    async def _state_response(self, record: JournalRecord) -> Response:
        answer: ServiceAnswer | Failure | None = None
        if record.state is State.DONE:
            answer = await self._journal.read_answer(record)
            if isinstance(answer, Failure):
                return problem_response(
                    answer, Outcome.DONE, record.request_id, record.class_id
                )
        outcome = OUTCOME_BY_STATE.get(record.state)
        body = RequestState(
            request_id=record.request_id,
            class_id=record.class_id,
            state=record.state.value,
            outcome=outcome.value if outcome else None,
            accepted_wall_ms=record.accepted_wall_ms,
            answer=_answer_body(answer) if answer else None,
            failure=record.failure,
        )
        headers = response_headers(record.request_id, record.class_id, outcome)
        content = msgspec.json.encode(body)
        return Response(content, 200, headers, media_type="application/json")


def _answer_body(answer: ServiceAnswer) -> AnswerBody:
    try:
        text = answer.body.decode()
    except UnicodeDecodeError:
        encoded = base64.b64encode(answer.body).decode()
        return AnswerBody(answer.status, answer.headers, body_base64=encoded)
    return AnswerBody(answer.status, answer.headers, body=text)
