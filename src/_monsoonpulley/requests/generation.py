"""Generations: one answer from as many attempts as its class allows."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing

import msgspec

from ..clock import Clock
from ..endpoints.engine import EngineCall, EngineClient, Finished, Token
from ..errors import Delivery, Failure, Reason
from ..ids import EndpointId, attempt_id
from ..outcome import Outcome
from .assembler import StreamAssembler
from .context import RequestContext
from .placement import AttemptEnd, Placed, Placement, Retry, may_have_run

Connect = Callable[[EndpointId], EngineClient | None]


class GenerationFailed(msgspec.Struct, frozen=True):
    """The generation was given up.

    ``outcome`` is ``NOT_RUN`` if no engine can have run any of it.
    """

    failure: Failure
    outcome: Outcome


class Generation:
    """One generation in progress.

    Parameters
    ----------
    context : RequestContext
        The request.
    body : dict
        The caller's JSON body.
    placement : Placement
        Chooses endpoints and decides on retries.
    connect : callable
        Returns the client of an endpoint, ``None`` if it is gone.
    clock : Clock
        Times the attempts.
    """

    def __init__(
        self,
        context: RequestContext,
        body: dict,
        placement: Placement,
        connect: Connect,
        clock: Clock,
    ):
        self._context = context
        self._body = body
        self._placement = placement
        self._connect = connect
        self._clock = clock
        self._tried: set[EndpointId] = set()
        self._maybe_ran = False
        self.attempts = 0
        self.assembler = StreamAssembler()

    async def run(self) -> AsyncGenerator[Token | Finished | GenerationFailed, None]:
        """Yield each token once and in order, then how the generation ended."""
        while True:
            placed = self._placement.choose(self._context, frozenset(self._tried))
            if isinstance(placed, Failure):
                yield self._give_up(placed)
                return
            failure: Failure | None = None
            async with aclosing(self._attempt(placed)) as items:
                async for item in items:
                    if isinstance(item, Failure):
                        failure = item
                        break
                    yield item
            if failure is None:
                return
            retry = self._after_failure(placed, failure)
            if isinstance(retry, GenerationFailed):
                yield retry
                return
            if retry.wait_ms:
                await self._clock.sleep_ms(retry.wait_ms)

    async def _attempt(
        self, placed: Placed
    ) -> AsyncGenerator[Token | Finished | Failure, None]:
        """Run one attempt; it ends with ``Finished`` or a ``Failure``."""
        self.attempts += 1
        attempt = attempt_id(self._context.request_id, self.attempts)
        self.assembler.begin_attempt(attempt)
        client = self._connect(placed.endpoint)
        if client is None:
            yield _gone(placed.endpoint)
            return
        self._placement.started(self._context, placed, attempt)
        progress = _Progress(self._clock)
        end: Failure | None = _abandoned(placed.endpoint)
        try:
            call = self._call(placed)
            async with aclosing(client.generate(call)) as items:
                async for item in items:
                    end = item if isinstance(item, Failure) else end
                    if isinstance(item, Finished):
                        end = self._check_complete(item, placed.endpoint)
                        yield end or item
                        return
                    if isinstance(item, Failure):
                        yield item
                        return
                    progress.note_token()
                    self._placement.progressed(attempt, progress.tokens)
                    for token in self.assembler.accept(item):
                        yield token
            end = _cut_short(placed.endpoint)
            yield end
        finally:
            result = progress.end(end)
            self._placement.ended(self._context, placed, attempt, result)

    def _call(self, placed: Placed) -> EngineCall:
        left_ms = self._context.deadline_ms - self._clock.now_ms()
        return EngineCall(
            request_id=self._context.request_id,
            attempt_id=attempt_id(self._context.request_id, self.attempts),
            path=self._context.path,
            body=self._body,
            text_so_far=self.assembler.text,
            tokens_so_far=self.assembler.next_offset,
            priority=placed.priority,
            first_token_timeout_ms=max(left_ms, 1),
        )

    def _check_complete(
        self, finished: Finished, endpoint: EndpointId
    ) -> Failure | None:
        if self.assembler.is_complete(finished.completion_tokens):
            return None
        missing = finished.completion_tokens - self.assembler.next_offset
        return Failure(
            Reason.PROTOCOL,
            "engine.generate",
            endpoint,
            f"the stream ended with {missing} tokens missing",
            Delivery.MAYBE,
        )

    def _after_failure(
        self, placed: Placed, failure: Failure
    ) -> Retry | GenerationFailed:
        self._tried.add(placed.endpoint)
        self._maybe_ran = self._maybe_ran or may_have_run(failure)
        retry = self._placement.may_retry(self._context, self.attempts, failure)
        if isinstance(retry, Failure):
            return self._give_up(retry)
        return retry

    def _give_up(self, failure: Failure) -> GenerationFailed:
        outcome = Outcome.UNKNOWN if self._maybe_ran else Outcome.NOT_RUN
        return GenerationFailed(failure, outcome)


class _Progress:
    """Times one attempt and counts its tokens."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._first_ms: int | None = None
        self.tokens = 0

    def note_token(self) -> None:
        self.tokens += 1
        if self._first_ms is None:
            self._first_ms = self._clock.now_ms()

    def end(self, failure: Failure | None) -> AttemptEnd:
        now_ms = self._clock.now_ms()
        first_ms = now_ms if self._first_ms is None else self._first_ms
        return AttemptEnd(
            failure=failure,
            first_answer_ms=first_ms - self._started_ms,
            total_ms=now_ms - self._started_ms,
            tokens=self.tokens,
        )


def _gone(endpoint: EndpointId) -> Failure:
    return Failure(
        Reason.UNAVAILABLE,
        "engine.connect",
        endpoint,
        "the endpoint is no longer listed",
        Delivery.NOT_SENT,
    )


def _cut_short(endpoint: EndpointId) -> Failure:
    return Failure(
        Reason.PROTOCOL,
        "engine.generate",
        endpoint,
        "the stream ended without a finish",
        Delivery.MAYBE,
    )


def _abandoned(endpoint: EndpointId) -> Failure:
    return Failure(
        Reason.CANCELLED,
        "engine.generate",
        endpoint,
        "the caller went away",
        Delivery.MAYBE,
    )
