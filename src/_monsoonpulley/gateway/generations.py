"""``/v1/chat/completions``, ``/v1/completions`` and ``/v1/streams``."""

from __future__ import annotations

import msgspec
from starlette.requests import Request
from starlette.types import Receive, Scope, Send

from ..clock import Clock
from ..config.document import ServiceKind
from ..endpoints.tokens import block_hashes, prompt_words
from ..entry.lifecycle import Lifecycle
from ..errors import Failure, Reason
from ..ids import ClassId, RequestId
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..outcome import Outcome
from ..requests.admissiongate import AdmissionGate
from ..requests.context import RequestContext
from ..requests.generation import Connect, Generation
from ..requests.placement import Placement
from ..requests.streams import StreamPosition, Streams, parse_position
from ..requests.streamstate import StreamState
from .body import read_body
from .formats import formats
from .generationcall import Delivery, Ending, GenerationCall
from .generationrequest import (
    GenerationBody,
    GenerationFields,
    class_of,
    parse_generation,
)
from .headers import CLASS_HEADER, POSITION_HEADER
from .intake import Intake, Reception, Refusal

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest body before the class, which may allow less, is known."""


class GenerationHandler:
    """Serves generations, new ones and those that are continued.

    Parameters
    ----------
    reception : Reception
        Admits requests.
    gate : AdmissionGate
        Lets requests go in fair order.
    placement : Placement
        Chooses engines.
    connect : callable
        Returns an engine's client.
    streams : Streams
        Knows the generations of this instance.
    lifecycle, clock, log, metrics
        Of the instance.
    """

    def __init__(
        self,
        reception: Reception,
        gate: AdmissionGate,
        placement: Placement,
        connect: Connect,
        streams: Streams,
        lifecycle: Lifecycle,
        clock: Clock,
        log: Log,
        metrics: Metrics,
    ):
        self._reception = reception
        self._gate = gate
        self._placement = placement
        self._connect = connect
        self._streams = streams
        self._lifecycle = lifecycle
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; it counts as in progress until all is sent."""
        with self._lifecycle.request():
            request = Request(scope, receive)
            position = _position(request)
            if isinstance(position, StreamPosition):
                await self._continue(request, position, send)
                return
            request_id = self._reception.new_request_id()
            prepared: GenerationCall | Refusal
            if isinstance(position, Failure):
                prepared = Refusal(position, request_id)
            else:
                prepared = await self._new_call(request, request_id)
            await self._serve(prepared, scope, receive, send)

    async def _continue(
        self, request: Request, position: StreamPosition, send: Send
    ) -> None:
        request_id = position.request_id
        scope, receive = request.scope, request.receive
        fault = self._streams.claim(request_id)
        if fault is not None:
            await self._serve(_unresumed(fault, position), scope, receive, send)
            return
        prepared: GenerationCall | Refusal | None = None
        try:
            prepared = await self._continued_call(request, position)
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
        refusal = await self._gate.admit(call.context)
        if refusal is not None:
            response = call.refused(refusal)
            await response(scope, receive, send)
            return
        self._streams.register(call.running)
        try:
            response = await call.respond()
            await response(scope, receive, send)
        finally:
            state = await call.close()
            self._gate.release(call.context, call.used_tokens)
            await self._streams.unregister(call.running, state)

    async def _new_call(
        self, request: Request, request_id: RequestId
    ) -> GenerationCall | Refusal:
        customer = self._reception.customer(request)
        if isinstance(customer, Failure):
            return Refusal(customer, request_id)
        raw = await read_body(request, MAX_BODY_BYTES)
        if isinstance(raw, Failure):
            return Refusal(raw, request_id)
        path = request.url.path
        body = parse_generation(raw, path)
        if isinstance(body, Failure):
            return Refusal(body, request_id)
        class_id = class_of(body, request.headers.get(CLASS_HEADER))
        intake = self._reception.admit(customer, class_id)
        if isinstance(intake, Failure):
            return Refusal(intake, request_id, class_id)
        fault = _check_fit(intake, len(raw))
        if fault is not None:
            return Refusal(fault, request_id, class_id)
        state = StreamState(
            request_id=request_id,
            customer=customer,
            class_id=class_id,
            path=path,
            body=body.whole,
            created_s=self._clock.wall_ms() // 1000,
            texts=(),
            attempts=0,
        )
        delivery = Delivery(
            stream=body.fields.stream, includes_usage=body.fields.includes_usage
        )
        return self._call(intake, state, body, delivery)

    async def _continued_call(
        self, request: Request, position: StreamPosition
    ) -> GenerationCall | Refusal:
        customer = self._reception.customer(request)
        if isinstance(customer, Failure):
            return _unresumed(customer, position)
        state = await self._streams.find(position.request_id, customer)
        if isinstance(state, Failure):
            return _unresumed(state, position)
        fault = _check_position(request, position, state)
        if fault is not None:
            return _unresumed(fault, position, state.class_id)
        intake = self._reception.admit(customer, state.class_id)
        if isinstance(intake, Failure):
            return _unresumed(intake, position, state.class_id)
        fields = msgspec.convert(state.body, GenerationFields)
        delivery = Delivery(
            stream=True,
            includes_usage=fields.includes_usage,
            first_offset=position.offset + 1,
        )
        body = GenerationBody(fields, state.body)
        return self._call(intake, state, body, delivery)

    def _call(
        self,
        intake: Intake,
        state: StreamState,
        body: GenerationBody,
        delivery: Delivery,
    ) -> GenerationCall:
        words = prompt_words(body.whole)
        context = RequestContext(
            request_id=state.request_id,
            customer=intake.customer,
            class_id=intake.class_id,
            request_class=intake.request_class,
            received_ms=self._clock.now_ms(),
            path=state.path,
            prompt_tokens=len(words),
            max_tokens=body.fields.token_limit,
            prefix_blocks=block_hashes(words),
            stream=delivery.stream,
        )
        whole = {**body.whole, "model": intake.request_class.service}
        generation = Generation(
            context,
            whole,
            self._placement,
            self._connect,
            self._clock,
            state.texts,
            state.attempts,
        )
        writer = formats.get(state.path)(
            state.request_id, intake.class_id, state.created_s
        )
        ending = Ending(context, self._clock, self._log, self._metrics)
        return GenerationCall(state, generation, delivery, writer, ending)

    def _log_refusal(self, refusal: Refusal) -> None:
        self._metrics.incr(f"requests.refused.{refusal.failure.reason.value}")
        self._log.event(
            "request_refused",
            request_id=refusal.request_id,
            class_id=refusal.class_id,
            failure=refusal.failure,
        )


def _unresumed(
    failure: Failure, position: StreamPosition, class_id: ClassId = ClassId("")
) -> Refusal:
    return Refusal(failure, position.request_id, class_id, Outcome.UNKNOWN)


def _position(request: Request) -> StreamPosition | Failure | None:
    """Return the place from which to continue, ``None`` for a new request."""
    if request.method == "HEAD":
        detail = "HEAD is not supported here"
        return Failure(Reason.BAD_REQUEST, "streams.position", "", detail)
    named = request.path_params.get("request_id")
    value = request.headers.get(POSITION_HEADER)
    if value is None:
        return None if named is None else StreamPosition(RequestId(named))
    position = parse_position(value)
    if isinstance(position, Failure) or named in (None, position.request_id):
        return position
    detail = "Last-Event-ID names another stream than the path"
    return Failure(Reason.BAD_REQUEST, "streams.position", "", detail)


def _check_position(
    request: Request, position: StreamPosition, state: StreamState
) -> Failure | None:
    """Return why a stream can't be continued from this place on this path."""
    if request.method == "POST" and request.url.path != state.path:
        detail = f"the stream belongs to {state.path}"
        return Failure(Reason.BAD_REQUEST, "streams.position", "", detail)
    if position.offset < state.next_offset:
        return None
    detail = f"the stream has {state.next_offset} events so far, from offset 0"
    return Failure(Reason.BAD_REQUEST, "streams.position", "", detail)


def _check_fit(intake: Intake, body_bytes: int) -> Failure | None:
    """Return why the class does not fit this path or body."""
    if intake.service.kind is not ServiceKind.MODEL:
        detail = f"the class {intake.class_id!r} is not served by a model"
        return Failure(Reason.BAD_REQUEST, "gateway.admit", "", detail)
    max_bytes = intake.request_class.max_body_bytes
    if body_bytes > max_bytes:
        detail = f"the body is larger than the class's {max_bytes} bytes"
        return Failure(Reason.BODY_TOO_LARGE, "gateway.body", "", detail)
    return None
