"""Generations: one answer, made by one or more attempts.

The text of an attempt whose engine was lost is kept, and the next attempt
continues after it. Therefore only attempts that delivered no new tokens count
against the class's limit of retries and the retry budget.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable

import msgspec

from ..clock import Clock
from ..endpoints.engine import EngineCall, EngineClient, Finished, Token
from ..endpoints.tokens import block_hashes, prompt_words
from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId, EndpointId, attempt_id
from ..outcome import Outcome
from .assembler import StreamAssembler
from .attempt import (
    AttemptProgress,
    caller_left_failure,
    moved_failure,
    not_listed_failure,
    truncated_failure,
)
from .context import RequestContext
from .placement import PlacedAttempt, Placement, Retry, may_have_run

Connect = Callable[[EndpointId], EngineClient | None]

MAX_FREE_RETRIES = 16
"""Most failed attempts of a request that don't count; it bounds amplification."""

MAX_ENGINE_WAIT_MS = 30_000
"""Longest wait for another engine of a stream whose engine was lost."""

ENGINE_RETRY_MS = 1_000
"""Longest time between two searches for another engine."""

TOKEN_LIMIT_FIELDS = ("max_completion_tokens", "max_tokens")
"""Fields of the request's body that limit its tokens."""


class GenerationFailed(msgspec.Struct, frozen=True):
    """The end of a generation that failed and is not retried.

    ``outcome`` is ``NOT_RUN`` if no engine can have run any of it.
    """

    failure: Failure
    outcome: Outcome


class Switch(msgspec.Struct, frozen=True):
    """A planned change of engine that takes effect at the next token.

    Attributes
    ----------
    placed : PlacedAttempt or None
        Where to continue; ``None`` to choose it when the change takes effect.
    number : int
        Number of the attempt that continues there; 0 without ``placed``.
    """

    placed: PlacedAttempt | None = None
    number: int = 0


class Generation:
    """One generation in progress.

    Parameters
    ----------
    context : RequestContext
        The request.
    body : dict
        The JSON body for engines.
    placement : Placement
        Chooses endpoints and decides on retries.
    connect : callable
        Returns the client of an endpoint, ``None`` if it is no longer listed.
    clock : Clock
        Times the attempts.
    texts : tuple of str
        Texts of the tokens that were generated earlier.
    attempts : int
        Attempts that were made earlier.

    Attributes
    ----------
    attempts : int
        Highest attempt number used or reserved so far.
    placed : PlacedAttempt or None
        Where the current attempt runs; ``None`` while none runs.
    assembler : StreamAssembler
        The text so far.
    """

    def __init__(
        self,
        context: RequestContext,
        body: dict,
        placement: Placement,
        connect: Connect,
        clock: Clock,
        texts: tuple[str, ...] = (),
        attempts: int = 0,
    ):
        self._context = context
        self._body = body
        self._placement = placement
        self._connect = connect
        self._clock = clock
        self._tried_ids: set[EndpointId] = set()
        self._may_have_run = attempts > 0
        self._fruitless_attempts = 0
        self._free_retries = 0
        self._switch: Switch | None = None
        self._engine_lost_ms: int | None = None
        self._attempt_number = attempts
        self._attempt_start_offset = 0
        self.attempts = attempts
        self.placed: PlacedAttempt | None = None
        self.assembler = StreamAssembler(texts)

    @property
    def attempt(self) -> AttemptId:
        """Id of the newest attempt."""
        return attempt_id(self._context.request_id, self._attempt_number)

    @property
    def tried_ids(self) -> frozenset[EndpointId]:
        """Endpoints of earlier attempts, which are not chosen again."""
        return frozenset(self._tried_ids)

    def reserve_attempt(self) -> int:
        """Reserve and return the next attempt number."""
        self.attempts += 1
        return self.attempts

    def switch(self, attempt: AttemptId, switch: Switch) -> bool:
        """Request a change of engine; return ``False`` if ``attempt`` is over."""
        if not self.is_running(attempt):
            return False
        self._switch = switch
        return True

    def is_running(self, attempt: AttemptId) -> bool:
        """Return whether ``attempt`` is running now."""
        return self.placed is not None and attempt == self.attempt

    @property
    def has_progress(self) -> bool:
        """Whether the newest attempt has delivered tokens."""
        return self.assembler.next_offset > self._attempt_start_offset

    def resumed_context(self) -> RequestContext:
        """Return the request for what is left to generate.

        A stream's target applies to its first token, so that time starts anew
        at each engine that continues the stream.
        """
        generated_count = self.assembler.next_offset
        context = self._context
        if not generated_count:
            return context
        words = prompt_words(self._body) + self.assembler.text.split()
        received_ms = self._clock.now_ms() if context.stream else context.received_ms
        return msgspec.structs.replace(
            context,
            received_ms=received_ms,
            prompt_tokens=context.prompt_tokens + generated_count,
            max_tokens=max(1, context.max_tokens - generated_count),
            prefix_blocks=block_hashes(words),
        )

    async def run(self) -> AsyncGenerator[Token | Finished | GenerationFailed, None]:
        """Yield each token once and in order, then the end of the generation."""
        while True:
            complete = self._finish_at_token_limit()
            if complete is not None:
                yield complete
                return
            context = self.resumed_context()
            placed = self._place_attempt(context)
            if isinstance(placed, Failure):
                wait_ms = self._engine_wait_ms(placed)
                if wait_ms is None:
                    yield self._give_up(placed)
                    return
                await self._clock.sleep_ms(wait_ms)
                continue
            client = self._connect(placed.endpoint)
            progress = AttemptProgress(self._clock)
            finished: Finished | None = None
            if client is None:
                failure = not_listed_failure(placed.endpoint)
            else:
                attempt = self.attempt
                call = self._build_call(placed, context)
                end: Failure | None = caller_left_failure(placed.endpoint)
                self._placement.record_start(context, placed, attempt)
                self.placed = placed
                items = client.generate(call)
                try:
                    failure = truncated_failure(placed.endpoint)
                    async for item in items:
                        if type(item) is Token:
                            progress.record_token()
                            self._placement.record_progress(
                                attempt, progress.token_count
                            )
                            for token in self.assembler.accept(item):
                                yield token
                            if self._switch is None:
                                continue
                            failure = moved_failure(placed.endpoint)
                        elif isinstance(item, Failure):
                            failure = item
                        else:
                            failure = self._missing_tokens_failure(
                                item, placed.endpoint
                            )
                            finished = item
                        break
                    end = failure
                finally:
                    self.placed = None
                    await items.aclose()
                    self._placement.record_end(
                        context, placed, attempt, progress.finish(end)
                    )
            if failure is None:
                yield finished
                return
            retry = self._after_failure(context, placed, failure)
            if isinstance(retry, GenerationFailed):
                yield retry
                return
            if retry.wait_ms:
                await self._clock.sleep_ms(retry.wait_ms)

    def _finish_at_token_limit(self) -> Finished | None:
        """Return the end of an answer that has reached its token limit, else ``None``.

        The engine may be lost after the last token but before the finish event.
        """
        generated_count = self.assembler.next_offset
        if not generated_count or generated_count < self._context.max_tokens:
            return None
        if not any(
            isinstance(self._body.get(name), int) for name in TOKEN_LIMIT_FIELDS
        ):
            return None
        return Finished(
            self.attempt, "length", self._context.prompt_tokens, generated_count
        )

    def _place_attempt(self, context: RequestContext) -> PlacedAttempt | Failure:
        """Choose an endpoint for the next attempt, and start the attempt there."""
        switch, self._switch = self._switch, None
        if switch is not None and switch.placed is not None:
            if self._connect(switch.placed.endpoint) is not None:
                self._start_attempt(switch.number)
                return switch.placed
        placed = self._placement.choose(context, frozenset(self._tried_ids))
        if not isinstance(placed, Failure):
            self._start_attempt(self.reserve_attempt())
        return placed

    def _engine_wait_ms(self, failure: Failure) -> int | None:
        """Return how long to wait for an engine; ``None`` to give up.

        A request without any text is refused at once, so that its caller can
        try another instance. With text it waits, since breakers may close and
        new engines may start.
        """
        lost_ms = self._engine_lost_ms
        if failure.reason is Reason.QUARANTINED:
            return None
        if lost_ms is None or failure.retry_after_ms is None:
            return None
        now_ms = self._clock.now_ms()
        until_ms = min(lost_ms + MAX_ENGINE_WAIT_MS, self.resumed_context().deadline_ms)
        wait_ms = min(failure.retry_after_ms, ENGINE_RETRY_MS)
        return wait_ms if now_ms + wait_ms <= until_ms else None

    def _start_attempt(self, number: int) -> None:
        self._attempt_number = number
        self._attempt_start_offset = self.assembler.next_offset
        self.assembler.start_attempt(self.attempt)

    def _build_call(self, placed: PlacedAttempt, context: RequestContext) -> EngineCall:
        remaining_ms = context.deadline_ms - self._clock.now_ms()
        return EngineCall(
            request_id=self._context.request_id,
            attempt_id=self.attempt,
            path=self._context.path,
            body=self._body,
            text_so_far=self.assembler.text,
            tokens_so_far=self.assembler.next_offset,
            priority=placed.priority,
            first_token_timeout_ms=max(remaining_ms, 1),
        )

    def _missing_tokens_failure(
        self, finished: Finished, endpoint: EndpointId
    ) -> Failure | None:
        if self.assembler.is_complete(finished.completion_tokens):
            return None
        missing = finished.completion_tokens - self.assembler.next_offset
        return Failure(
            Reason.PROTOCOL,
            "engine.generate",
            endpoint,
            f"the stream ended with {missing} of {finished.completion_tokens} tokens"
            " missing",
            Delivery.MAYBE,
        )

    def _after_failure(
        self, context: RequestContext, placed: PlacedAttempt, failure: Failure
    ) -> Retry | GenerationFailed:
        self._tried_ids.add(placed.endpoint)
        if self.assembler.next_offset:
            self._engine_lost_ms = self._clock.now_ms()
        self._may_have_run = self._may_have_run or may_have_run(failure)
        if self._switch is not None:
            return Retry(0)
        if self._is_free_retry(failure) and self._free_retries < MAX_FREE_RETRIES:
            self._free_retries += 1
            return Retry(0)
        self._fruitless_attempts += 1
        retry = self._placement.may_retry(
            context, placed, self._fruitless_attempts, failure
        )
        if isinstance(retry, Failure):
            return self._give_up(retry)
        return retry

    def _is_free_retry(self, failure: Failure) -> bool:
        """Return whether a retry counts neither as a retry nor against the budget.

        That holds if the failed attempt delivered new tokens. If there is text
        to lose, it also holds if nothing was sent, since no engine was loaded.
        """
        generated_count = self.assembler.next_offset
        unsent = failure.delivery is Delivery.NOT_SENT
        return generated_count > self._attempt_start_offset or (
            generated_count > 0 and unsent
        )

    def _give_up(self, failure: Failure) -> GenerationFailed:
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        return GenerationFailed(failure, outcome)
