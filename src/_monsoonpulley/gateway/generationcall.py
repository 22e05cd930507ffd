"""Delivery of one generation to its caller, whole or as a stream."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Coroutine
from typing import Any

import msgspec
from starlette.responses import Response

from ..clock import Clock
from ..endpoints.engine import Finished, Token
from ..errors import Failure, Reason
from ..ids import AttemptId
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..outcome import Outcome
from ..requests.context import RequestContext
from ..requests.generation import Generation, GenerationFailed
from ..requests.streams import RunningStream
from ..requests.streamstate import StreamState
from .eventstream import EventStream
from .formats import DONE_EVENT, Format, sse_event
from .problem import make_problem, problem_response, response_headers

Item = Token | Finished | GenerationFailed


class CallRecorder:
    """Records the first token and the outcome of a call in log and metrics."""

    def __init__(
        self, context: RequestContext, clock: Clock, log: Log, metrics: Metrics
    ):
        self.context = context
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._first_token_ms: int | None = None
        self._is_recorded = False

    def record_first_token(self) -> None:
        """Record the time to the first token, on the first call only."""
        if self._first_token_ms is None:
            self._first_token_ms = self._clock.now_ms() - self.context.received_ms
            self._metrics.timing("generation.first_token", self._first_token_ms)

    def record_end(
        self, outcome: Outcome, failure: Failure | None, generation: Generation
    ) -> None:
        """Record the outcome, on the first call only."""
        if self._is_recorded:
            return
        self._is_recorded = True
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
            first_token_ms=self._first_token_ms,
            total_ms=total_ms,
            target_ms=self.context.request_class.answer_within_ms,
        )


class ResponseOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Form in which the caller asked for the answer.

    Attributes
    ----------
    stream : bool
        Whether to stream events rather than send the whole answer at once.
    includes_usage : bool
        Whether a stream ends with an event of token counts.
    first_offset : int
        Offset of the first event to send.
    """

    stream: bool
    includes_usage: bool
    first_offset: int = 0


class GenerationCall:
    """A generation and its response to the caller.

    Parameters
    ----------
    state : StreamState
        State of the generation when the call started.
    generation : Generation
        Generates the remaining tokens.
    options : ResponseOptions
        Form in which the caller asked for the answer.
    writer : Format
        Encodes the body.
    recorder : CallRecorder
        Records the first token and the outcome.
    """

    def __init__(
        self,
        state: StreamState,
        generation: Generation,
        options: ResponseOptions,
        writer: Format,
        recorder: CallRecorder,
    ):
        self.running_stream = RunningStream(
            recorder.context, generation, is_stored=state.is_stored
        )
        self._state = state
        self._generation = generation
        self._options = options
        self._writer = writer
        self._recorder = recorder
        self._items = generation.run()
        self._finished = state.finished
        self._stop_failure: Failure | None = None
        self._is_settled = False

    @property
    def context(self) -> RequestContext:
        """The request as routing sees it."""
        return self._recorder.context

    @property
    def is_entered(self) -> bool:
        """Whether the call has been admitted."""
        return self.running_stream.is_registered

    @property
    def used_tokens(self) -> int:
        """Prompt tokens and tokens generated so far."""
        return self.context.prompt_tokens + self._generation.assembler.next_offset

    async def respond(self) -> Response:
        """Return the response in the form that the caller asked for."""
        if not self._options.stream:
            return await self._respond_whole()
        if self._has_stored_events():
            return self._stream_response(None)
        return await self._respond_stream()

    def refuse(self, failure: Failure) -> Response:
        """Return the response to a request that was not admitted."""
        self._is_settled = True
        context = self.context
        outcome = Outcome.UNKNOWN if self._state.attempts else Outcome.NOT_RUN
        self._recorder.record_end(outcome, failure, self._generation)
        return problem_response(failure, outcome, context.request_id, context.class_id)

    async def close(self) -> StreamState | None:
        """End the call; return its state if the caller may still resume it."""
        await self._items.aclose()
        if self._is_settled:
            return None
        failure = self._stop_failure or Failure(
            Reason.CANCELLED, "gateway.stream", "", "the caller went away"
        )
        self._recorder.record_end(Outcome.UNKNOWN, failure, self._generation)
        return msgspec.structs.replace(
            self._state,
            texts=tuple(self._generation.assembler.texts_from(0)),
            attempts=self._generation.attempts,
            finished=self._finished,
        )

    def _has_stored_events(self) -> bool:
        stored_count = len(self._state.texts)
        return self._finished is not None or self._options.first_offset < stored_count

    async def _respond_whole(self) -> Response:
        """Return one response with the whole answer."""
        item = await self._run_until_stopped(self._last_item())
        if isinstance(item, Finished):
            return self._whole_response(item)
        return self._failure_response(item)

    async def _last_item(self) -> Item:
        async for item in self._items:
            if type(item) is not Token:
                return item
            self._recorder.record_first_token()
        raise RuntimeError("the generation yielded neither a finish nor a failure")

    async def _respond_stream(self) -> Response:
        """Return a streaming response, or an error if it fails before any token."""
        first = await self._run_until_stopped(anext(self._items))
        if isinstance(first, GenerationFailed):
            return self._failure_response(first)
        return self._stream_response(first)

    async def _run_until_stopped(self, work: Coroutine[Any, Any, Item]) -> Item:
        """Return the result of ``work``, or a failure if the call is stopped first."""
        task = asyncio.ensure_future(work)

        def stop(failure: Failure) -> None:
            self._stop_failure = failure
            task.cancel()

        self.running_stream.stop = stop
        try:
            return await task
        except asyncio.CancelledError:
            if self._stop_failure is None or not task.cancelled():
                raise
            return GenerationFailed(self._stop_failure, Outcome.UNKNOWN)
        finally:
            self.running_stream.stop = None
            task.cancel()

    def _stream_response(self, first: Item | None) -> Response:
        context = self.context
        headers = response_headers(context.request_id, context.class_id, None)
        response = EventStream(self._events(first), headers)

        def stop(failure: Failure) -> None:
            self._stop_failure = failure
            response.stop()

        self.running_stream.stop = stop
        return response

    def _failure_response(self, failed: GenerationFailed) -> Response:
        context = self.context
        self._is_settled = self._stop_failure is None and not self._state.texts
        self._recorder.record_end(failed.outcome, failed.failure, self._generation)
        return problem_response(
            failed.failure, failed.outcome, context.request_id, context.class_id
        )

    def _whole_response(self, finished: Finished) -> Response:
        context = self.context
        self._is_settled = True
        texts = self._generation.assembler.texts_from(0)
        content = self._writer.whole_body(texts, finished)
        headers = response_headers(context.request_id, context.class_id, Outcome.DONE)
        self._recorder.record_end(Outcome.DONE, None, self._generation)
        return Response(content, 200, headers, media_type="application/json")

    async def _events(self, first: Item | None) -> AsyncGenerator[bytes, None]:
        """Yield the events from the caller's position on, then those of the end."""
        token_event = self._writer.token_event
        self._recorder.record_first_token()
        for offset in range(self._options.first_offset, len(self._state.texts)):
            text = self._state.texts[offset]
            yield token_event(Token(AttemptId(""), offset, text))
        last: Item | None = self._finished or first
        if type(last) is Token:
            yield token_event(last)
            last = None
        if last is None:
            async for item in self._items:
                if type(item) is not Token:
                    last = item
                    break
                yield token_event(item)
        yield self._end_events(last)
        self._is_settled = isinstance(last, Finished)

    def _end_events(self, item: Finished | GenerationFailed) -> bytes:
        """Return the events that end the stream."""
        if isinstance(item, Finished):
            self._finished = item
            self._recorder.record_end(Outcome.DONE, None, self._generation)
            parts = [self._writer.finish_event(item)]
            if self._options.includes_usage:
                parts.append(self._writer.usage_event(item))
            return b"".join((*parts, DONE_EVENT))
        self._recorder.record_end(item.outcome, item.failure, self._generation)
        context = self.context
        return sse_event(
            make_problem(
                item.failure, item.outcome, context.request_id, context.class_id
            )
        )
