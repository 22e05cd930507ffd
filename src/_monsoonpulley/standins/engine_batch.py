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
class Run:
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
    max_new: int
    draw: float = 0.0
    cached: int = 0
    prefill_left: int = 0
    generated: int = 0
    started: bool = False
    state: int = field(default=0)

    def generate_word(self) -> str:
        """Add the next word and return it."""
        if not self.generated:
            self.state = text_state(self.words)
        word = next_word(self.state)
        self.state = text_state((word,), self.state)
        self.words.append(word)
        self.generated += 1
        return word

    @property
    def is_done(self) -> bool:
        """Whether all tokens are generated."""
        return self.generated >= self.max_new


class StepPlan(msgspec.Struct):
    """One step of the batch: its duration and who takes part."""

    duration_ms: float
    prefill: list[tuple[Run, int]]
    decode: list[Run]


class Batch:
    """Priority queue and running batch.

    Lower priorities run first; within one priority, in order of arrival.
    """

    def __init__(self, profile: EngineProfile):
        self._profile = profile
        self._queue: list[tuple[int, int, Run]] = []
        self._arrivals = 0
        self.running: list[Run] = []

    @property
    def waiting(self) -> list[Run]:
        """Requests queued before the batch, in no set order."""
        return [run for _, _, run in self._queue]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return not self._queue and not self.running

    def kv_blocks(self) -> int:
        """Return the KV blocks that the running requests occupy."""
        return sum(self._blocks_of(run) for run in self.running)

    def submit(self, run: Run) -> None:
        """Queue a request."""
        self._arrivals += 1
        heapq.heappush(self._queue, (run.call.priority, self._arrivals, run))

    def admit(self) -> Run | None:
        """Move the first queued request into the batch if there is room."""
        if not self._queue or len(self.running) >= self._profile.max_running:
            return None
        run = self._queue[0][2]
        blocks = self.kv_blocks() + self._blocks_of(run)
        if self.running and blocks > self._profile.kv_blocks:
            return None
        heapq.heappop(self._queue)
        run.started = True
        self.running.append(run)
        return run

    def plan(self) -> StepPlan:
        """Return what the next step does and how long it takes."""
        decode = [run for run in self.running if not run.prefill_left]
        budget = self._profile.prefill_chunk_tokens
        prefill = []
        for run in self.running:
            if run.prefill_left and budget:
                tokens = min(run.prefill_left, budget)
                budget -= tokens
                prefill.append((run, tokens))
        return StepPlan(self._duration_ms(prefill, decode), prefill, decode)

    def apply(self, plan: StepPlan) -> list[Run]:
        """Finish a step; return the requests that now get a token."""
        running = set(map(id, self.running))
        ready = [run for run in plan.decode if id(run) in running]
        for run, tokens in plan.prefill:
            run.prefill_left -= tokens
            if not run.prefill_left and id(run) in running:
                ready.append(run)
        return ready

    def remove(self, run: Run) -> None:
        """Remove a request from the queue or the batch, if it is there."""
        if run in self.running:
            self.running.remove(run)
            return
        self._queue = [entry for entry in self._queue if entry[2] is not run]
        heapq.heapify(self._queue)

    def find(self, attempt: AttemptId) -> Run | None:
        """Return the attempt's request, queued or running."""
        for run in (*self.running, *self.waiting):
            if run.call.attempt_id == attempt:
                return run
        return None

    def cancel(self, attempt: AttemptId) -> CancelOutcome:
        """Remove an attempt and return whether it had started."""
        run = self.find(attempt)
        if run is None:
            return CancelOutcome.UNKNOWN
        self.remove(run)
        return CancelOutcome.STOPPED if run.started else CancelOutcome.NOT_STARTED

    def clear(self) -> None:
        """Remove all requests."""
        self._queue.clear()
        self.running.clear()

    def _blocks_of(self, run: Run) -> int:
        tokens = run.prompt_tokens + run.max_new
        return -(-tokens // self._profile.block_tokens)

    def _duration_ms(self, prefill: list[tuple[Run, int]], decode: list[Run]) -> float:
        tokens = sum(count for _, count in prefill)
        duration_ms = 1000 * tokens / self._profile.prefill_tokens_per_s
        if decode or not tokens:
            duration_ms += self._profile.decode_base_ms
            duration_ms += self._profile.decode_ms_per_running * len(decode)
        return duration_ms
