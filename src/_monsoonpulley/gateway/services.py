"""Handler of ``/services/CLASS/PATH``: requests forwarded to plain services.

Requests that may be retried go directly to an endpoint. Requests that may run at
most once go through the journal and need an ``Idempotency-Key``.
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
from ..requests.context import DEADLINE_FACTOR, RequestContext
from ..requests.passthrough import (
    PassThrough,
    PassThroughResult,
    ServiceAttempts,
    call_idempotent,
)
from ..requests.placement import Placement
from .authorization import ClassAccess, Refusal, RequestAuthorizer, read_class_body
from .headers import (
    IDEMPOTENCY_HEADER,
    forwarded_request_headers,
    forwarded_response_headers,
    parse_idempotency_key,
)
from .problem import problem_response, response_headers

REPEATED_HEADER = "x-repeated"
"""Response header: ``true`` if the answer is that of an earlier submission."""

KEY_STATE_HEADER = "x-key-state"
"""Response header: ``closed`` if the outcome is final for the key. If ``open``, the
outcome is that of this submission only: an earlier one with the same key may have
run, and a later one may run."""


class ServiceHandler:
    """Serves requests to plain services.

    Parameters
    ----------
    authorizer : RequestAuthorizer
        Authenticates and authorizes requests.
    gate : AdmissionGate
        Admits idempotent requests in fair order.
    placement : Placement
        Chooses endpoints.
    attempts : ServiceAttempts
        Sends the attempts of idempotent requests.
    journal : Journal
        Runs requests that may run at most once.
    lifecycle, clock, log, metrics
        Lifecycle, clock, log and metrics of the instance.
    """

    def __init__(
        self,
        authorizer: RequestAuthorizer,
        gate: AdmissionGate,
        placement: Placement,
        attempts: ServiceAttempts,
        journal: Journal,
        lifecycle: Lifecycle,
        clock: Clock,
        log: Log,
        metrics: Metrics,
    ):
        self._authorizer = authorizer
        self._gate = gate
        self._placement = placement
        self._attempts = attempts
        self._journal = journal
        self._lifecycle = lifecycle
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; it counts as in progress until its response is sent."""
        with self._lifecycle.track_request():
            response = await self._respond(Request(scope, receive))
            await response(scope, receive, send)

    async def _respond(self, request: Request) -> Response:
        request_id = self._authorizer.new_request_id()
        prepared = await self._prepare(request, request_id)
        if isinstance(prepared, Refusal):
            response = self._refuse(prepared)
            if IDEMPOTENCY_HEADER in request.headers:
                response.headers[KEY_STATE_HEADER] = "open"
            return response
        if prepared.key is not None:
            return await self._run_at_most_once(prepared, prepared.key)
        return await self._run_idempotent(prepared, request_id)

    async def _prepare(
        self, request: Request, request_id: RequestId
    ) -> PreparedCall | Refusal:
        class_id = ClassId(request.path_params["class_id"])
        customer = self._authorizer.authenticate(request)
        if isinstance(customer, Failure):
            return Refusal(customer, request_id, class_id)
        access = self._authorizer.authorize(customer, class_id)
        if isinstance(access, Failure):
            return Refusal(access, request_id, class_id)
        key = _required_key(request, access)
        if isinstance(key, Failure):
            return Refusal(key, request_id, class_id)
        body = await read_class_body(request, access, request_id)
        if isinstance(body, Refusal):
            return body
        failure = self._authorizer.check_start(access, request_id)
        if failure is not None:
            return Refusal(failure, request_id, class_id)
        call = PassThrough(
            method=request.method,
            path=_endpoint_path(request),
            headers=forwarded_request_headers(request.headers.raw),
            body=body,
        )
        return PreparedCall(access, call, key, self._clock.now_ms())

    async def _run_idempotent(
        self, prepared: PreparedCall, request_id: RequestId
    ) -> Response:
        context = prepared.context(request_id)
        result = await self._call_when_admitted(context, prepared.call)
        self._record_end(context, result)
        return _response(result, request_id, context.class_id)

    async def _call_when_admitted(
        self, context: RequestContext, call: PassThrough
    ) -> PassThroughResult:
        leaving_failure = self._authorizer.leaving_failure
        run_until_end = self._lifecycle.run_until_end
        refusal = await run_until_end(self._gate.admit(context), leaving_failure)
        if refusal is not None:
            return PassThroughResult(Outcome.NOT_RUN, None, refusal)
        try:
            return await run_until_end(
                call_idempotent(
                    context, call, self._placement, self._attempts, self._clock
                ),
                lambda: PassThroughResult(Outcome.UNKNOWN, None, leaving_failure()),
            )
        finally:
            self._gate.release(context)

    async def _run_at_most_once(
        self, prepared: PreparedCall, key: IdempotencyKey
    ) -> Response:
        access = prepared.access
        request_id = request_id_for(access.customer, access.class_id, key)
        context = prepared.context(request_id)
        submission_result = await self._journal.submit(prepared.submission(key))
        result = PassThroughResult(
            submission_result.outcome,
            submission_result.answer,
            submission_result.failure,
        )
        self._record_end(context, result, submission_result)
        response = _response(result, request_id, context.class_id)
        if submission_result.repeated:
            response.headers[REPEATED_HEADER] = "true"
        is_closed = (
            submission_result.key_closed or submission_result.outcome is Outcome.DONE
        )
        response.headers[KEY_STATE_HEADER] = "closed" if is_closed else "open"
        return response

    def _refuse(self, refusal: Refusal) -> Response:
        self._metrics.incr(f"requests.refused.{refusal.failure.reason.value}")
        self._log.event(
            "request_refused",
            request_id=refusal.request_id,
            class_id=refusal.class_id,
            failure=refusal.failure,
        )
        return refusal.response()

    def _record_end(
        self,
        context: RequestContext,
        result: PassThroughResult,
        submission_result: SubmissionResult | None = None,
    ) -> None:
        total_ms = self._clock.now_ms() - context.received_ms
        self._metrics.timing("service.total", total_ms)
        self._metrics.incr(f"requests.{result.outcome.value}")
        self._log.event(
            "request_ended",
            request_id=context.request_id,
            customer=context.customer,
            class_id=context.class_id,
            outcome=result.outcome,
            failure=result.failure,
            status=result.answer.status if result.answer else None,
            attempts=result.attempts,
            repeated=submission_result.repeated if submission_result else False,
            total_ms=total_ms,
            target_ms=context.request_class.answer_within_ms,
        )


class PreparedCall(msgspec.Struct, frozen=True):
    """A request to a plain service that may start.

    ``key`` is set if the class allows no retries.
    """

    access: ClassAccess
    call: PassThrough
    key: IdempotencyKey | None
    received_ms: int

    def context(self, request_id: RequestId) -> RequestContext:
        """Return the request as routing sees it."""
        return RequestContext(
            request_id=request_id,
            customer=self.access.customer,
            class_id=self.access.class_id,
            request_class=self.access.request_class,
            received_ms=self.received_ms,
            path=self.call.path.partition("?")[0],
            content=self.call.body,
        )

    def submission(self, key: IdempotencyKey) -> Submission:
        """Return the request as the journal accepts it."""
        request_class = self.access.request_class
        return Submission(
            customer=self.access.customer,
            class_id=self.access.class_id,
            key=key,
            method=self.call.method,
            path=self.call.path,
            headers=self.call.headers,
            body=self.call.body,
            timeout_ms=request_class.answer_within_ms * DEADLINE_FACTOR,
            retention_ms=request_class.retention_s * 1000,
        )


def _required_key(
    request: Request, access: ClassAccess
) -> IdempotencyKey | Failure | None:
    """Return the key, or ``None`` for classes that may be retried."""
    if access.service.kind is not ServiceKind.PLAIN:
        detail = f"class {access.class_id!r} is served by a model; use /v1"
        return Failure(Reason.BAD_REQUEST, "gateway.admit", "", detail)
    if access.request_class.repeats > 0:
        return None
    key = parse_idempotency_key(request.headers.get(IDEMPOTENCY_HEADER))
    if key is not None:
        return key
    detail = (
        f"class {access.class_id!r} runs at most once; send an Idempotency-Key "
        "header, with a new key for each new request"
    )
    return Failure(Reason.KEY_MISSING, "gateway.admit", "", detail)


def _endpoint_path(request: Request) -> str:
    """Return the path and query string for the endpoint, still percent-encoded."""
    raw_path = request.scope.get("raw_path") or request.url.path.encode()
    path = raw_path.decode("latin-1").partition("?")[0]
    rest = "/" + path.split("/", 3)[3] if path.count("/") > 2 else "/"
    query = request.url.query
    return f"{rest}?{query}" if query else rest


def _response(
    result: PassThroughResult, request_id: RequestId, class_id: ClassId
) -> Response:
    if result.answer is None:
        failure = result.failure or _no_answer()
        return problem_response(failure, result.outcome, request_id, class_id)
    answer = result.answer
    response = Response(answer.body, answer.status)
    for name, value in forwarded_response_headers(answer.headers):
        response.headers.append(name, value)
    response.headers.update(response_headers(request_id, class_id, result.outcome))
    return response


def _no_answer() -> Failure:
    detail = "the request ended with neither an answer nor a failure"
    return Failure(Reason.INTERNAL, "gateway.respond", "", detail)
