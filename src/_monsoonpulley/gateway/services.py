"""``/services/CLASS/PATH``: requests that pass through to plain services.

Classes that may be repeated go straight to an endpoint; classes that may run
at most once go through the journal and need an ``Idempotency-Key``.
"""

from __future__ import annotations

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from ..clock import Clock
from ..config.document import ServiceKind
from ..entry.lifecycle import Lifecycle
from ..errors import Failure, Reason
from ..ids import ClassId, IdempotencyKey, RequestId
from ..journal.journal import Journal
from ..journal.record import request_id_for
from ..journal.submission import Submission, SubmissionResult
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..outcome import Outcome
from ..requests.admissiongate import AdmissionGate
from ..requests.context import GIVE_UP_TARGETS, RequestContext
from ..requests.passthrough import (
    Answered,
    PassThrough,
    ServiceAttempts,
    call_idempotent,
)
from ..requests.placement import Placement
from .headers import IDEMPOTENCY_HEADER, answer_headers, end_to_end, idempotency_key
from .intake import Intake, Reception, Refusal, intake_body
from .problem import problem_response, response_headers

REPEATED_HEADER = "x-repeated"
"""Set to ``true`` where the answer is that of an earlier submission."""

KEY_STATE_HEADER = "x-key-state"
"""``closed`` where the outcome is final for the key. With ``open`` it speaks of
this submission only: an earlier one with the key may have run, and a later one
may run."""


class ServiceHandler:
    """Serves pass-through requests.

    Parameters
    ----------
    reception : Reception
        Admits requests.
    gate : AdmissionGate
        Lets idempotent requests go in fair order.
    placement : Placement
        Chooses endpoints.
    attempts : ServiceAttempts
        Makes the attempts of idempotent calls.
    journal : Journal
        Runs what may run at most once.
    lifecycle, clock, log, metrics
        Of the instance.
    """

    def __init__(
        self,
        reception: Reception,
        gate: AdmissionGate,
        placement: Placement,
        attempts: ServiceAttempts,
        journal: Journal,
        lifecycle: Lifecycle,
        clock: Clock,
        log: Log,
        metrics: Metrics,
    ):
        self._reception = reception
        self._gate = gate
        self._placement = placement
        self._attempts = attempts
        self._journal = journal
        self._lifecycle = lifecycle
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; it counts as in progress until all is sent."""
        with self._lifecycle.request():
            response = await self._respond(Request(scope, receive))
            await response(scope, receive, send)

    async def _respond(self, request: Request) -> Response:
        request_id = self._reception.new_request_id()
        prepared = await self._prepare(request, request_id)
        if isinstance(prepared, Refusal):
            response = self._refused(prepared)
            if IDEMPOTENCY_HEADER in request.headers:
                response.headers[KEY_STATE_HEADER] = "open"
            return response
        if prepared.key is not None:
            return await self._run_once(prepared, prepared.key)
        return await self._run_idempotent(prepared, request_id)

    async def _prepare(
        self, request: Request, request_id: RequestId
    ) -> PreparedCall | Refusal:
        class_id = ClassId(request.path_params["class_id"])
        customer = self._reception.customer(request)
        if isinstance(customer, Failure):
            return Refusal(customer, request_id, class_id)
        intake = self._reception.admit(customer, class_id)
        if isinstance(intake, Failure):
            return Refusal(intake, request_id, class_id)
        key = _required_key(request, intake)
        if isinstance(key, Failure):
            return Refusal(key, request_id, class_id)
        body = await intake_body(request, intake, request_id)
        if isinstance(body, Refusal):
            return body
        call = PassThrough(
            method=request.method,
            path=_endpoint_path(request),
            headers=end_to_end(request.headers.raw),
            body=body,
        )
        return PreparedCall(intake, call, key, self._clock.now_ms())

    async def _run_idempotent(
        self, prepared: PreparedCall, request_id: RequestId
    ) -> Response:
        context = prepared.context(request_id)
        answered = await self._admitted_call(context, prepared.call)
        self._ended(context, answered)
        return _response(answered, request_id, context.class_id)

    async def _admitted_call(
        self, context: RequestContext, call: PassThrough
    ) -> Answered:
        refusal = await self._gate.admit(context)
        if refusal is not None:
            return Answered(Outcome.NOT_RUN, None, refusal)
        try:
            return await call_idempotent(
                context, call, self._placement, self._attempts, self._clock
            )
        finally:
            self._gate.release(context)

    async def _run_once(self, prepared: PreparedCall, key: IdempotencyKey) -> Response:
        intake = prepared.intake
        request_id = request_id_for(intake.customer, intake.class_id, key)
        context = prepared.context(request_id)
        settled = await self._journal.submit(prepared.submission(key))
        answered = Answered(settled.outcome, settled.answer, settled.failure)
        self._ended(context, answered, settled)
        response = _response(answered, request_id, context.class_id)
        if settled.repeated:
            response.headers[REPEATED_HEADER] = "true"
        closed = settled.key_closed or settled.outcome is Outcome.DONE
        response.headers[KEY_STATE_HEADER] = "closed" if closed else "open"
        return response

    def _refused(self, refusal: Refusal) -> Response:
        self._metrics.incr(f"requests.refused.{refusal.failure.reason.value}")
        self._log.event(
            "request_refused",
            request_id=refusal.request_id,
            class_id=refusal.class_id,
            failure=refusal.failure,
        )
        return refusal.response()

    def _ended(
        self,
        context: RequestContext,
        answered: Answered,
        settled: SubmissionResult | None = None,
    ) -> None:
        total_ms = self._clock.now_ms() - context.received_ms
        self._metrics.timing("service.total", total_ms)
        self._metrics.incr(f"requests.{answered.outcome.value}")
        self._log.event(
            "request_ended",
            request_id=context.request_id,
            customer=context.customer,
            class_id=context.class_id,
            outcome=answered.outcome,
            failure=answered.failure,
            status=answered.answer.status if answered.answer else None,
            attempts=answered.attempts,
            repeated=settled.repeated if settled else False,
            total_ms=total_ms,
            target_ms=context.request_class.answer_within_ms,
        )


class PreparedCall(msgspec.Struct, frozen=True):
    """A pass-through request that may begin.

    ``key`` is set where the class allows no repeat.
    """

    intake: Intake
    call: PassThrough
    key: IdempotencyKey | None
    received_ms: int

    def context(self, request_id: RequestId) -> RequestContext:
        """Return the request as routing sees it."""
        return RequestContext(
            request_id=request_id,
            customer=self.intake.customer,
            class_id=self.intake.class_id,
            request_class=self.intake.request_class,
            received_ms=self.received_ms,
            path=self.call.path.partition("?")[0],
        )

    def submission(self, key: IdempotencyKey) -> Submission:
        """Return the request as the journal takes it."""
        request_class = self.intake.request_class
        return Submission(
            customer=self.intake.customer,
            class_id=self.intake.class_id,
            key=key,
            method=self.call.method,
            path=self.call.path,
            headers=self.call.headers,
            body=self.call.body,
            timeout_ms=request_class.answer_within_ms * GIVE_UP_TARGETS,
            retention_ms=request_class.retention_s * 1000,
        )


def _required_key(request: Request, intake: Intake) -> IdempotencyKey | Failure | None:
    """Return the key, ``None`` for classes that may be repeated."""
    if intake.service.kind is not ServiceKind.PLAIN:
        detail = f"the class {intake.class_id!r} is served by a model; use /v1"
        return Failure(Reason.BAD_REQUEST, "gateway.admit", "", detail)
    if intake.request_class.repeats > 0:
        return None
    key = idempotency_key(request.headers.get(IDEMPOTENCY_HEADER))
    if key is not None:
        return key
    detail = (
        f"the class {intake.class_id!r} runs at most once; send a fresh "
        "Idempotency-Key header with each new piece of work"
    )
    return Failure(Reason.KEY_MISSING, "gateway.admit", "", detail)


def _endpoint_path(request: Request) -> str:
    """Return the path and query string at the endpoint, still encoded."""
    raw_path = request.scope.get("raw_path") or request.url.path.encode()
    path = raw_path.decode("latin-1").partition("?")[0]
    rest = "/" + path.split("/", 3)[3] if path.count("/") > 2 else "/"
    query = request.url.query
    return f"{rest}?{query}" if query else rest


def _response(answered: Answered, request_id: RequestId, class_id: ClassId) -> Response:
    if answered.answer is None:
        failure = answered.failure or _no_answer()
        return problem_response(failure, answered.outcome, request_id, class_id)
    answer = answered.answer
    response = Response(answer.body, answer.status)
    for name, value in answer_headers(answer.headers):
        response.headers.append(name, value)
    response.headers.update(response_headers(request_id, class_id, answered.outcome))
    return response


def _no_answer() -> Failure:
    detail = "no answer was recorded"
    return Failure(Reason.INTERNAL, "gateway.respond", "", detail)
