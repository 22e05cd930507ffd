"""``/v1/chat/completions`` and ``/v1/completions``."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from contextlib import aclosing

from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from ..clock import Clock
from ..config.document import ServiceKind
from ..endpoints.engine import Finished, Token
from ..endpoints.tokens import block_hashes, prompt_words
from ..errors import Failure, Reason
from ..ids import ClassId, RequestId
from ..lifecycle import Lifecycle
from ..log import Log
from ..metrics import Metrics
from ..outcome import Outcome
from ..requests.admissiongate import AdmissionGate
from ..requests.context import RequestContext
from ..requests.generation import Connect, Generation, GenerationFailed
from ..requests.placement import Placement
from .body import read_body
from .eventstream import EventStream
from .formats import DONE_EVENT, Format, event, formats
from .generationrequest import GenerationBody, class_of, parse_generation
from .headers import CLASS_HEADER
from .intake import Intake, Reception, Refusal
from .problem import problem, problem_response, response_headers

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest body before the class, which may allow less, is known."""


class GenerationHandler:
    """Serves generations.

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
    lifecycle, clock, log, metrics
        Of the instance.
    """

    def __init__(
        self,
        reception: Reception,
        gate: AdmissionGate,
        placement: Placement,
        connect: Connect,
        lifecycle: Lifecycle,
        clock: Clock,
        log: Log,
        metrics: Metrics,
    ):
        self._reception = reception
        self._gate = gate
        self._placement = placement
        self._connect = connect
        self._lifecycle = lifecycle
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; it counts as in progress until all is sent."""
        with self._lifecycle.request():
            request_id = self._reception.new_request_id()
            prepared = await self._prepare(Request(scope, receive), request_id)
            if isinstance(prepared, Refusal):
                self._log_refusal(prepared)
                await prepared.response()(scope, receive, send)
                return
            await self._serve(prepared, scope, receive, send)

    async def _serve(
        self, call: GenerationCall, scope: Scope, receive: Receive, send: Send
    ) -> None:
        refusal = await self._gate.admit(call.context)
        if refusal is not None:
            response = call.refused(refusal)
            await response(scope, receive, send)
            return
        try:
            response = await call.respond()
            await response(scope, receive, send)
        finally:
            self._gate.release(call.context, call.used_tokens)

    async def _prepare(
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
        return self._call(intake, body, request_id, path)

    def _call(
        self, intake: Intake, body: GenerationBody, request_id: RequestId, path: str
    ) -> GenerationCall:
        words = prompt_words(body.whole)
        context = RequestContext(
            request_id=request_id,
            customer=intake.customer,
            class_id=intake.class_id,
            request_class=intake.request_class,
            received_ms=self._clock.now_ms(),
            path=path,
            prompt_tokens=len(words),
            max_tokens=body.fields.token_limit,
            prefix_blocks=block_hashes(words),
            stream=body.fields.stream,
        )
        whole = {**body.whole, "model": intake.request_class.service}
        generation = Generation(
            context, whole, self._placement, self._connect, self._clock
        )
        created_s = self._clock.wall_ms() // 1000
        writer = formats.get(path)(request_id, intake.class_id, created_s)
        ending = Ending(context, self._clock, self._log, self._metrics)
        return GenerationCall(generation, body, writer, ending)

    def _log_refusal(self, refusal: Refusal) -> None:
        self._metrics.incr(f"requests.refused.{refusal.failure.reason.value}")
        self._log.event(
            "request_refused",
            request_id=refusal.request_id,
            class_id=refusal.class_id,
            failure=refusal.failure,
        )


class Ending:
    """Logs and counts how a generation ended."""

    def __init__(
        self, context: RequestContext, clock: Clock, log: Log, metrics: Metrics
    ):
        self.context = context
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._first_ms: int | None = None

    def first_token(self) -> None:
        """Note that the first token goes out now."""
        if self._first_ms is None:
            self._first_ms = self._clock.now_ms() - self.context.received_ms
            self._metrics.timing("generation.first_token", self._first_ms)

    def ended(
        self, outcome: Outcome, failure: Failure | None, generation: Generation
    ) -> None:
        """Note the outcome."""
        total_ms = self._clock.now_ms() - self.context.received_ms
        self._metrics.timing("generation.total", total_ms)
        self._metrics.incr(f"requests.{outcome.value}")
        self._log.event(
            "request_ended",
            request_id=self.context.request_id,
            customer=self.context.customer,
            class_id=self.context.class_id,
            outcome=outcome,
            failure=failure,
            attempts=generation.attempts,
            tokens=generation.assembler.next_offset,
            first_token_ms=self._first_ms,
            total_ms=total_ms,
            target_ms=self.context.request_class.answer_within_ms,
        )


class GenerationCall:
    """One generation on its way to its caller."""

    def __init__(
        self,
        generation: Generation,
        body: GenerationBody,
        writer: Format,
        ending: Ending,
    ):
        self.body = body
        self._generation = generation
        self._writer = writer
        self._ending = ending

    @property
    def context(self) -> RequestContext:
        """The request as routing sees it."""
        return self._ending.context

    @property
    def used_tokens(self) -> int:
        """Tokens that the request cost so far."""
        return self.context.prompt_tokens + self._generation.assembler.next_offset

    async def respond(self) -> Response:
        """Return the response that the caller asked for."""
        if self.body.fields.stream:
            return await self._stream()
        return await self._whole()

    def refused(self, failure: Failure) -> Response:
        """Return the response to a request that was not admitted."""
        context = self._ending.context
        self._ending.ended(Outcome.NOT_RUN, failure, self._generation)
        return problem_response(
            failure, Outcome.NOT_RUN, context.request_id, context.class_id
        )

    async def _whole(self) -> Response:
        """Return the whole answer in one response."""
        context = self._ending.context
        async with aclosing(self._generation.run()) as items:
            async for item in items:
                if isinstance(item, Token):
                    self._ending.first_token()
                elif isinstance(item, Finished):
                    return self._answer(item)
                else:
                    self._ending.ended(item.outcome, item.failure, self._generation)
                    return _failed_response(item, context.request_id, context.class_id)
        raise RuntimeError("a generation ended without an end")

    async def _stream(self) -> Response:
        """Return a streaming response, or an error if no token ever came."""
        context = self._ending.context
        items = self._generation.run()
        first = await anext(items)
        if isinstance(first, GenerationFailed):
            self._ending.ended(first.outcome, first.failure, self._generation)
            return _failed_response(first, context.request_id, context.class_id)
        headers = response_headers(context.request_id, context.class_id, None)
        return EventStream(self._events(first, items), headers)

    def _answer(self, finished: Finished) -> Response:
        context = self._ending.context
        texts = self._generation.assembler.texts_from(0)
        content = self._writer.whole(texts, finished)
        headers = response_headers(context.request_id, context.class_id, Outcome.DONE)
        self._ending.ended(Outcome.DONE, None, self._generation)
        return Response(content, 200, headers, media_type="application/json")

    async def _events(
        self,
        first: Token | Finished,
        items: AsyncGenerator[Token | Finished | GenerationFailed, None],
    ) -> AsyncGenerator[bytes, None]:
        self._ending.first_token()
        ended = False
        try:
            async with aclosing(items):
                item = first
                while True:
                    ended = not isinstance(item, Token)
                    for part in self._event(item):
                        yield part
                    if ended:
                        return
                    item = await anext(items)
        finally:
            if not ended:
                self._vanished()

    def _event(self, item: Token | Finished | GenerationFailed) -> list[bytes]:
        if isinstance(item, Token):
            return [self._writer.token_event(item)]
        if isinstance(item, Finished):
            self._ending.ended(Outcome.DONE, None, self._generation)
            parts = [self._writer.finish_event(item)]
            if self.body.fields.includes_usage:
                parts.append(self._writer.usage_event(item))
            return [*parts, DONE_EVENT]
        self._ending.ended(item.outcome, item.failure, self._generation)
        context = self._ending.context
        return [
            event(
                problem(
                    item.failure, item.outcome, context.request_id, context.class_id
                )
            )
        ]

    def _vanished(self) -> None:
        failure = Failure(
            Reason.CANCELLED, "gateway.stream", "", "the caller went away"
        )
        self._ending.ended(Outcome.UNKNOWN, failure, self._generation)


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


def _failed_response(
    failed: GenerationFailed, request_id: RequestId, class_id: ClassId
) -> Response:
    return problem_response(failed.failure, failed.outcome, request_id, class_id)
