"""Handler of ``/v1/chat/completions``, ``/v1/completions`` and ``/v1/streams``."""

from __future__ import annotations

import msgspec
from starlette.requests import Request
from starlette.types import Receive, Scope, Send

from ..clock import Clock
from ..config.document import ServiceKind
from ..endpoints.tokens import block_hashes, prompt_words
from ..entry.lifecycle import Lifecycle
from ..errors import Failure, Reason
from ..ids import ClassId, CustomerId, RequestId
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..outcome import Outcome
from ..requests.admissiongate import AdmissionGate
from ..requests.context import RequestContext
from ..requests.generation import Connect, Generation
from ..requests.placement import Placement
from ..requests.streams import StreamPosition, Streams, parse_position
from ..requests.streamstate import StreamState
from .authorization import ClassAccess, Refusal, RequestAuthorizer
from .body import no_room, read_body
from .formats import formats
from .generationcall import CallRecorder, GenerationCall, ResponseOptions
from .generationrequest import (
    GenerationBody,
    GenerationFields,
    parse_generation,
    parsed_bytes,
    requested_class_id,
    words_bytes,
)
from .headers import CLASS_HEADER, POSITION_HEADER
from .requestholding import holding_of


class GenerationHandler:
    """Serves new and resumed generations.

    Parameters
    ----------
    authorizer : RequestAuthorizer
        Authenticates and authorizes requests.
    gate : AdmissionGate
        Admits requests in fair order.
    placement : Placement
        Chooses engines.
    connect : callable
        Returns an engine's client.
    streams : Streams
        Generations that run on this instance, and stored ones to resume.
    lifecycle, clock, log, metrics
        Lifecycle, clock, log and metrics of the instance.
    """

    def __init__(
        self,
        authorizer: RequestAuthorizer,
        gate: AdmissionGate,
        placement: Placement,
        connect: Connect,
        streams: Streams,
        lifecycle: Lifecycle,
        clock: Clock,
        log: Log,
        metrics: Metrics,
    ):
        self._authorizer = authorizer
        self._gate = gate
        self._placement = placement
        self._connect = connect
        self._streams = streams
        self._lifecycle = lifecycle
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; it counts as in progress until its response is sent."""
        with self._lifecycle.track_request():
            request = Request(scope, receive)
            position = _requested_position(request)
            if isinstance(position, StreamPosition):
                await self._resume(request, position, send)
                return
            request_id = self._authorizer.new_request_id()
            prepared: GenerationCall | Refusal
            if isinstance(position, Failure):
                prepared = Refusal(position, request_id)
            else:
                prepared = await self._new_call(request, request_id)
            await self._serve(prepared, scope, receive, send)

    async def _resume(
        self, request: Request, position: StreamPosition, send: Send
    ) -> None:
        request_id = position.request_id
        scope, receive = request.scope, request.receive
        failure = self._streams.claim(request_id)
        if failure is not None:
            await self._serve(_resume_refusal(failure, position), scope, receive, send)
            return
        prepared: GenerationCall | Refusal | None = None
        try:
            prepared = await self._resumed_call(request, position)
            await self._serve(prepared, scope, receive, send)
        finally:
            if not isinstance(prepared, GenerationCall) or not prepared.is_entered:
                self._streams.release_claim(request_id)

    async def _serve(
        self,
        call: GenerationCall | Refusal,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        if isinstance(call, Refusal):
            self._log_refusal(call)
            await call.response()(scope, receive, send)
            return
        refusal = await self._lifecycle.run_until_end(
            self._gate.admit(call.context), self._authorizer.leaving_failure
        )
        if refusal is not None:
            response = call.refuse(refusal)
            await response(scope, receive, send)
            return
        self._streams.register(call.running_stream)
        try:
            response = await call.respond()
            await response(scope, receive, send)
        finally:
            state = await call.close()
            self._gate.release(call.context, call.used_tokens)
            await self._streams.unregister(call.running_stream, state)

    async def _new_call(
        self, request: Request, request_id: RequestId
    ) -> GenerationCall | Refusal:
        customer = self._authorizer.authenticate(request)
        if isinstance(customer, Failure):
            return Refusal(customer, request_id)
        # The class, which may allow less, is in the body.
        max_bytes = self._authorizer.max_body_bytes(customer)
        raw_body = await read_body(request, max_bytes)
        if isinstance(raw_body, Failure):
            return Refusal(raw_body, request_id)
        holding, analysis_bytes = holding_of(request), words_bytes(raw_body)
        if not holding.try_add(parsed_bytes(raw_body) + analysis_bytes):
            return Refusal(no_room(), request_id)
        try:
            return self._parse_call(request, customer, raw_body, request_id)
        finally:
            holding.release(analysis_bytes)

    def _parse_call(
        self,
        request: Request,
        customer: CustomerId,
        raw_body: bytes,
        request_id: RequestId,
    ) -> GenerationCall | Refusal:
        path = request.url.path
        body = parse_generation(raw_body, path)
        if isinstance(body, Failure):
            return Refusal(body, request_id)
        class_id = requested_class_id(body, request.headers.get(CLASS_HEADER))
        access = self._authorizer.authorize(customer, class_id)
        if isinstance(access, Failure):
            return Refusal(access, request_id, class_id)
        failure = _check_class(access, len(raw_body))
        failure = failure or self._authorizer.check_start(access, request_id)
        if failure is not None:
            return Refusal(failure, request_id, class_id)
        state = StreamState(
            request_id=request_id,
            customer=customer,
            class_id=class_id,
            path=path,
            body=body.json_object,
            created_s=self._clock.wall_ms() // 1000,
            texts=(),
            attempts=0,
        )
        options = ResponseOptions(
            stream=body.fields.stream, includes_usage=body.fields.includes_usage
        )
        return self._make_call(access, state, body, options)

    async def _resumed_call(
        self, request: Request, position: StreamPosition
    ) -> GenerationCall | Refusal:
        customer = self._authorizer.authenticate(request)
        if isinstance(customer, Failure):
            return _resume_refusal(customer, position)
        state = await self._streams.find(position.request_id, customer)
        if isinstance(state, Failure):
            return _resume_refusal(state, position)
        failure = _check_position(request, position, state)
        if failure is not None:
            return _resume_refusal(failure, position, state.class_id)
        access = self._authorizer.authorize(customer, state.class_id)
        if isinstance(access, Failure):
            return _resume_refusal(access, position, state.class_id)
        fields = msgspec.convert(state.body, GenerationFields)
        options = ResponseOptions(
            stream=True,
            includes_usage=fields.includes_usage,
            first_offset=position.offset + 1,
        )
        body = GenerationBody(fields, state.body)
        return self._make_call(access, state, body, options)

    def _make_call(
        self,
        access: ClassAccess,
        state: StreamState,
        body: GenerationBody,
        options: ResponseOptions,
    ) -> GenerationCall:
        words = prompt_words(body.json_object)
        context = RequestContext(
            request_id=state.request_id,
            customer=access.customer,
            class_id=access.class_id,
            request_class=access.request_class,
            received_ms=self._clock.now_ms(),
            path=state.path,
            prompt_tokens=len(words),
            max_tokens=body.fields.token_limit,
            prefix_blocks=block_hashes(words),
            stream=options.stream,
            content=body.json_object,
        )
        engine_body = {**body.json_object, "model": access.request_class.service}
        generation = Generation(
            context,
            engine_body,
            self._placement,
            self._connect,
            self._clock,
            state.texts,
            state.attempts,
        )
        writer = formats.get(state.path)(
            state.request_id, access.class_id, state.created_s
        )
        recorder = CallRecorder(context, self._clock, self._log, self._metrics)
        return GenerationCall(state, generation, options, writer, recorder)

    def _log_refusal(self, refusal: Refusal) -> None:
        self._metrics.incr(f"requests.refused.{refusal.failure.reason.value}")
        self._log.event(
            "request_refused",
            request_id=refusal.request_id,
            class_id=refusal.class_id,
            failure=refusal.failure,
        )


def _resume_refusal(
    failure: Failure, position: StreamPosition, class_id: ClassId = ClassId("")
) -> Refusal:
    return Refusal(failure, position.request_id, class_id, Outcome.UNKNOWN)


def _requested_position(request: Request) -> StreamPosition | Failure | None:
    """Return the position to resume from, or ``None`` for a new request."""
    if request.method == "HEAD":
        detail = "HEAD is not supported on streams"
        return Failure(Reason.BAD_REQUEST, "streams.position", "", detail)
    path_id = request.path_params.get("request_id")
    value = request.headers.get(POSITION_HEADER)
    if value is None:
        return None if path_id is None else StreamPosition(RequestId(path_id))
    position = parse_position(value)
    if isinstance(position, Failure) or path_id in (None, position.request_id):
        return position
    detail = "the Last-Event-ID header and the path name different streams"
    return Failure(Reason.BAD_REQUEST, "streams.position", "", detail)


def _check_position(
    request: Request, position: StreamPosition, state: StreamState
) -> Failure | None:
    """Return a failure if the stream has no such position or another path."""
    if request.method == "POST" and request.url.path != state.path:
        detail = f"the stream was started at {state.path}"
        return Failure(Reason.BAD_REQUEST, "streams.position", "", detail)
    if position.offset < state.next_offset:
        return None
    detail = f"the stream has only {state.next_offset} events so far, from offset 0"
    return Failure(Reason.BAD_REQUEST, "streams.position", "", detail)


def _check_class(access: ClassAccess, body_bytes: int) -> Failure | None:
    """Return a failure if the class serves no models or the body is too large."""
    if access.service.kind is not ServiceKind.MODEL:
        detail = f"class {access.class_id!r} is not served by a model"
        return Failure(Reason.BAD_REQUEST, "gateway.admit", "", detail)
    max_bytes = access.request_class.max_body_bytes
    if body_bytes > max_bytes:
        detail = f"the request body exceeds the limit of {max_bytes} bytes"
        return Failure(Reason.BODY_TOO_LARGE, "gateway.body", "", detail)
    return None
