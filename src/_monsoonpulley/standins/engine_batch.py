"""Continuous batching of an engine stand-in, as pure state and steps."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

import msgspec

from ..endpoints.engine import CancelOutcome, EngineCall
from ..ids import AttemptId
from .engine_profile import EngineProfile
from .generated_text import next_word, text_state


@dataclass(slots=True, eq=False)
class GenerationRun:
    """One attempt in an engine.

    Attributes
    ----------
    words : list of str
        Prompt, text so far and what was generated since.
    prompt_tokens : int
        Tokens of the prompt and of the text so far.
    max_new : int
        Tokens still to generate.
    cached : int
        Tokens that needed no prefill.
    prefill_left : int
        Tokens still to prefill.
    draw : float
        Random number of the attempt, 0 to 1, for faults by share.
    """

    call: EngineCall
    words: list[str]
    prompt_tokens: int
    max_new_tokens: int
    draw: float = 0.0
    cached_tokens: int = 0
    tokens_to_prefill: int = 0
    generated_tokens: int = 0
    is_started: bool = False
    state: int = field(default=0)

    def generate_word(self) -> str:
        """Add the next word and return it."""
        if not self.generated_tokens:
            self.state = text_state(self.words)
        word = next_word(self.state)
        self.state = text_state((word,), self.state)
        self.words.append(word)
        self.generated_tokens += 1
        return word

    @property
    def is_done(self) -> bool:
        """Whether all tokens are generated."""
        return self.generated_tokens >= self.max_new_tokens


class StepPlan(msgspec.Struct):
    """One step of the batch: its duration and who takes part."""

    duration_ms: float
    prefill: list[tuple[GenerationRun, int]]
    decode: list[GenerationRun]


class Batch:
    """Priority queue and running batch.

    Lower priorities run first; within one priority, in order of arrival.
    """

    def __init__(self, profile: EngineProfile):
        self._profile = profile
        self._queue: list[tuple[int, int, GenerationRun]] = []
        self._arrival_count = 0
        self.running: list[GenerationRun] = []

    @property
    def waiting(self) -> list[GenerationRun]:
        """Requests queued before the batch, in no set order."""
        return [run for _, _, run in self._queue]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return not self._queue and not self.running

    def used_kv_blocks(self) -> int:
        """Return the KV blocks that the running requests occupy."""
        return sum(self._kv_blocks_of(run) for run in self.running)

    def submit(self, run: GenerationRun) -> None:
        """Queue a request."""
        self._arrival_count += 1
        heapq.heappush(self._queue, (run.call.priority, self._arrival_count, run))

    def admit(self) -> GenerationRun | None:
        """Move the first queued request into the batch if there is room."""
        if not self._queue or len(self.running) >= self._profile.max_running:
            return None
        run = self._queue[0][2]
        blocks = self.used_kv_blocks() + self._kv_blocks_of(run)
        if self.running and blocks > self._profile.kv_blocks:
            return None
        heapq.heappop(self._queue)
        run.is_started = True
        self.running.append(run)
        return run

    def plan_step(self) -> StepPlan:
        """Return what the next step does and how long it takes."""
        decode = [run for run in self.running if not run.tokens_to_prefill]
        budget = self._profile.prefill_chunk_tokens
        prefill = []
        for run in self.running:
            if run.tokens_to_prefill and budget:
                tokens = min(run.tokens_to_prefill, budget)
                budget -= tokens
                prefill.append((run, tokens))
        return StepPlan(self._duration_ms(prefill, decode), prefill, decode)

    def finish_step(self, plan: StepPlan) -> list[GenerationRun]:
        """Finish a step; return the requests that now get a token."""
        running = set(map(id, self.running))
        ready = [run for run in plan.decode if id(run) in running]
        for run, tokens in plan.prefill:
            run.tokens_to_prefill -= tokens
            if not run.tokens_to_prefill and id(run) in running:
                ready.append(run)
        return ready

    def remove(self, run: GenerationRun) -> None:
        """Take a request out of the queue or the batch, if it is there."""
        if run in self.running:
            self.running.remove(run)
            return
        self._queue = [entry for entry in self._queue if entry[2] is not run]
        heapq.heapify(self._queue)

    def find(self, attempt: AttemptId) -> GenerationRun | None:
        """Return the attempt's request, queued or running."""
        for run in (*self.running, *self.waiting):
            if run.call.attempt_id == attempt:
                return run
        return None

    def cancel(self, attempt: AttemptId) -> CancelOutcome:
        """Take out an attempt and say whether it had started."""
        run = self.find(attempt)
        if run is None:
            return CancelOutcome.UNKNOWN
        self.remove(run)
        return CancelOutcome.STOPPED if run.is_started else CancelOutcome.NOT_STARTED

    def clear(self) -> None:
        """Drop everything."""
        self._queue.clear()
        self.running.clear()

    def _kv_blocks_of(self, run: GenerationRun) -> int:
        tokens = run.prompt_tokens + run.max_new_tokens
        return -(-tokens // self._profile.block_tokens)

    def _duration_ms(
        self, prefill: list[tuple[GenerationRun, int]], decode: list[GenerationRun]
    ) -> float:
        tokens = sum(count for _, count in prefill)
        duration_ms = 1000 * tokens / self._profile.prefill_tokens_per_s
        if decode or not tokens:
            duration_ms += self._profile.decode_base_ms
            duration_ms += self._profile.decode_ms_per_running * len(decode)
        return duration_ms
