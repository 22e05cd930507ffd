"""One generation on its way to its caller, whole or as a stream."""

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
from .formats import DONE_EVENT, Format, event
from .problem import problem, problem_response, response_headers

Item = Token | Finished | GenerationFailed


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
        self._is_over = False

    def first_token(self) -> None:
        """Note that the first token goes out now."""
        if self._first_ms is None:
            self._first_ms = self._clock.now_ms() - self.context.received_ms
            self._metrics.timing("generation.first_token", self._first_ms)

    def ended(
        self, outcome: Outcome, failure: Failure | None, generation: Generation
    ) -> None:
        """Note the outcome, once."""
        if self._is_over:
            return
        self._is_over = True
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


class Delivery(msgspec.Struct, frozen=True, kw_only=True):
    """What the caller wants to get.

    Attributes
    ----------
    stream : bool
        Events, or the whole answer at once.
    includes_usage : bool
        Whether a stream ends with an event about usage.
    first_offset : int
        Offset of the first event to send.
    """

    stream: bool
    includes_usage: bool
    first_offset: int = 0


class GenerationCall:
    """One generation on its way to its caller.

    Parameters
    ----------
    state : StreamState
        The generation when the call began.
    generation : Generation
        Generates what is left of it.
    delivery : Delivery
        What the caller wants to get.
    writer : Format
        Writes the body.
    ending : Ending
        Hears how the call ended.
    """

    def __init__(
        self,
        state: StreamState,
        generation: Generation,
        delivery: Delivery,
        writer: Format,
        ending: Ending,
    ):
        self.running = RunningStream(
            ending.context, generation, is_stored=state.is_stored
        )
        self._state = state
        self._generation = generation
        self._delivery = delivery
        self._writer = writer
        self._ending = ending
        self._items = generation.run()
        self._finished = state.finished
        self._stopped: Failure | None = None
        self._is_settled = False

    @property
    def context(self) -> RequestContext:
        """The request as routing sees it."""
        return self._ending.context

    @property
    def is_entered(self) -> bool:
        """Whether the call was admitted."""
        return self.running.is_registered

    @property
    def used_tokens(self) -> int:
        """Tokens that the request cost so far."""
        return self.context.prompt_tokens + self._generation.assembler.next_offset

    async def respond(self) -> Response:
        """Return the response that the caller asked for."""
        if not self._delivery.stream:
            return await self._whole()
        if self._has_replay():
            return self._event_stream(None)
        return await self._stream()

    def refused(self, failure: Failure) -> Response:
        """Return the response to a request that was not admitted."""
        self._is_settled = True
        context = self.context
        outcome = Outcome.UNKNOWN if self._state.attempts else Outcome.NOT_RUN
        self._ending.ended(outcome, failure, self._generation)
        return problem_response(failure, outcome, context.request_id, context.class_id)

    async def close(self) -> StreamState | None:
        """End the call; return the state if its caller has not got all of it."""
        await self._items.aclose()
        if self._is_settled:
            return None
        failure = self._stopped or Failure(
            Reason.CANCELLED, "gateway.stream", "", "the caller went away"
        )
        self._ending.ended(Outcome.UNKNOWN, failure, self._generation)
        return msgspec.structs.replace(
            self._state,
            texts=tuple(self._generation.assembler.texts_from(0)),
            attempts=self._generation.attempts,
            finished=self._finished,
        )

    def _has_replay(self) -> bool:
        known = len(self._state.texts)
        return self._finished is not None or self._delivery.first_offset < known

    async def _whole(self) -> Response:
        """Return the whole answer in one response."""
        item = await self._unless_stopped(self._last_item())
        if isinstance(item, Finished):
            return self._answer(item)
        return self._failed(item)

    async def _last_item(self) -> Item:
        async for item in self._items:
            if type(item) is not Token:
                return item
            self._ending.first_token()
        raise RuntimeError("a generation ended without an end")

    async def _stream(self) -> Response:
        """Return a streaming response, or an error if no token ever came."""
        first = await self._unless_stopped(anext(self._items))
        if isinstance(first, GenerationFailed):
            return self._failed(first)
        return self._event_stream(first)

    async def _unless_stopped(self, work: Coroutine[Any, Any, Item]) -> Item:
        """Return the result of ``work``, or a failure if the call is stopped."""
        task = asyncio.ensure_future(work)

        def stop(failure: Failure) -> None:
            self._stopped = failure
            task.cancel()

        self.running.stop = stop
        try:
            return await task
        except asyncio.CancelledError:
            if self._stopped is None or not task.cancelled():
                raise
            return GenerationFailed(self._stopped, Outcome.UNKNOWN)
        finally:
            self.running.stop = None
            task.cancel()

    def _event_stream(self, first: Item | None) -> Response:
        context = self.context
        headers = response_headers(context.request_id, context.class_id, None)
        response = EventStream(self._events(first), headers)

        def stop(failure: Failure) -> None:
            self._stopped = failure
            response.stop()

        self.running.stop = stop
        return response

    def _failed(self, failed: GenerationFailed) -> Response:
        context = self.context
        self._is_settled = self._stopped is None and not self._state.texts
        self._ending.ended(failed.outcome, failed.failure, self._generation)
        return problem_response(
            failed.failure, failed.outcome, context.request_id, context.class_id
        )

    def _answer(self, finished: Finished) -> Response:
        context = self.context
        self._is_settled = True
        texts = self._generation.assembler.texts_from(0)
        content = self._writer.whole(texts, finished)
        headers = response_headers(context.request_id, context.class_id, Outcome.DONE)
        self._ending.ended(Outcome.DONE, None, self._generation)
        return Response(content, 200, headers, media_type="application/json")

    async def _events(self, first: Item | None) -> AsyncGenerator[bytes, None]:
        """Yield the events after the caller's place, and then the end."""
        token_event = self._writer.token_event
        self._ending.first_token()
        for offset in range(self._delivery.first_offset, len(self._state.texts)):
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
        yield self._end(last)
        self._is_settled = isinstance(last, Finished)

    def _end(self, item: Finished | GenerationFailed) -> bytes:
        """Return the events that end the stream."""
        if isinstance(item, Finished):
            self._finished = item
            self._ending.ended(Outcome.DONE, None, self._generation)
            parts = [self._writer.finish_event(item)]
            if self._delivery.includes_usage:
                parts.append(self._writer.usage_event(item))
            return b"".join((*parts, DONE_EVENT))
        self._ending.ended(item.outcome, item.failure, self._generation)
        context = self.context
        return event(
            problem(item.failure, item.outcome, context.request_id, context.class_id)
        )
