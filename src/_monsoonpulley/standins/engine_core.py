"""State and steps of an engine stand-in, without I/O or tasks."""

from __future__ import annotations

import random

from ..clock import Clock
from ..endpoints.engine import (
    CacheEvent,
    CacheEventKind,
    CancelOutcome,
    EngineCall,
    Finished,
    LoadReport,
    Order,
    OrderKind,
    Token,
)
from ..endpoints.tokens import block_hashes, max_new_tokens, prompt_words
from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId, EndpointId, VersionId
from .engine_batch import Batch, GenerationRun, StepPlan
from .engine_cache import CacheEventFeed, PrefixCache
from .engine_counters import ComputedBlocks, EngineCounters
from .engine_faults import EngineFaults
from .engine_kv import ImportedKvCaches, KvState
from .engine_profile import BadEffect, BadVersion, EngineProfile
from .engine_reports import LaggingLoadReports
from .engine_streams import StreamItem


class EngineCore:
    """Batch, prefix cache, version and counters of one engine.

    Parameters
    ----------
    endpoint_id : EndpointId
        Identifier of the engine, given as ``peer`` in failures.
    version : VersionId
        Version loaded at the start.
    clock : Clock
        Time of reports and events, and age of the version.
    rng : random.Random
        Source of event delays, event losses and random faults.
    profile : EngineProfile
        Performance and behaviour.
    computed : ComputedBlocks
        Shared by the engines of a fleet to count recomputed tokens.
    """

    def __init__(
        self,
        endpoint_id: EndpointId,
        version: VersionId,
        clock: Clock,
        rng: random.Random,
        profile: EngineProfile,
        computed: ComputedBlocks,
    ):
        self.endpoint_id = endpoint_id
        self.version = version
        self.profile = profile
        self.counters = EngineCounters()
        self.faults = EngineFaults()
        self.batch = Batch(profile)
        self.imports = ImportedKvCaches()
        self.adapters: list[str] = []
        self.role = ""
        self._clock = clock
        self._rng = rng
        self._computed = computed
        self._cache = PrefixCache(profile.kv_blocks)
        self._feed = CacheEventFeed(
            rng,
            profile.event_delay_ms,
            profile.event_drop_probability,
            profile.max_kept_events,
        )
        self._reports = LaggingLoadReports(clock, profile)
        self._version_loaded_ms = clock.now_ms()
        self._version_requests = 0
        self._step_ms = profile.decode_base_ms + profile.decode_ms_per_running

    def submit(self, call: EngineCall) -> None:
        """Queue a call."""
        words = prompt_words(call.body) + call.text_so_far.split()
        max_new = max(0, max_new_tokens(call.body) - call.tokens_so_far)
        run = GenerationRun(call, words, len(words), max_new, draw=self._rng.random())
        self.batch.submit(run)
        self._record_load()

    def cancel(self, attempt: AttemptId) -> CancelOutcome:
        """Remove an attempt and return whether it had started."""
        run = self.batch.find(attempt)
        outcome = self.batch.cancel(attempt)
        if run is not None and run.is_started:
            self._store_computed_blocks(run)
            self._keep_late_tokens(run)
        self._record_load()
        return outcome

    def start_step(self) -> tuple[StepPlan, list[tuple[AttemptId, StreamItem]]]:
        """Admit queued calls; return the step's plan and failures of a bad version."""
        self._admit()
        failures = self._fail_bad_runs()
        plan = self.batch.plan_step()
        plan.duration_ms *= self._slow_factor()
        self._step_ms = plan.duration_ms
        return plan, failures

    def finish_step(self, plan: StepPlan) -> list[tuple[AttemptId, StreamItem]]:
        """Apply a finished step and return the items for the streams."""
        items: list[tuple[AttemptId, StreamItem]] = []
        for run in self.batch.finish_step(plan):
            for item in self._advance(run):
                items.append((run.call.attempt_id, item))
        self._record_load()
        return items

    def export_kv_state(self, attempt: AttemptId) -> KvState | None:
        """Return the KV cache of an attempt; ``None`` before the end of its prefill."""
        run = self.batch.find(attempt)
        if run is None or not run.is_started or run.tokens_to_prefill:
            return None
        return KvState.from_words(run.words, self.profile.kv_bytes_per_token)

    def load(self) -> LoadReport:
        """Return the load as it was ``report_lag_ms`` ago."""
        return self._reports.lagged_report()

    def cache_events(self, after_seq: int) -> tuple[CacheEvent, ...]:
        """Return the events after ``after_seq`` that are visible by now."""
        return self._feed.events_after(after_seq, self._clock.now_ms())

    def execute_order(self, order: Order) -> None:
        """Apply an order."""
        if order.kind is OrderKind.LOAD_VERSION:
            self.version = order.version
            self._version_loaded_ms = self._clock.now_ms()
            self._version_requests = 0
        elif order.kind is OrderKind.LOAD_ADAPTER:
            self.adapters.append(order.argument)
        else:
            self.role = order.argument

    def clear(self) -> None:
        """Drop the state that a process loses when it crashes."""
        for run in self.batch.running:
            self._record_computed_blocks(run)
        self.batch.clear()
        self._cache.clear()
        self.imports.clear()
        self._feed.add(CacheEventKind.CLEARED, (), self._clock.now_ms())
        self._record_load()

    def broken_stream_failure(self) -> Failure:
        """Return the failure that ends a stream when the engine breaks."""
        return Failure(
            Reason.PEER_ERROR,
            "engine.generate",
            peer=self.endpoint_id,
            delivery=Delivery.MAYBE,
        )

    def _admit(self) -> None:
        while (run := self.batch.admit()) is not None:
            self.counters.executions[run.call.request_id] += 1
            self._version_requests += 1
            self._look_up_prefix(run)
        self._record_load()

    def _look_up_prefix(self, run: GenerationRun) -> None:
        block_tokens = self.profile.block_tokens
        hashes = block_hashes(run.words, block_tokens)
        cached = self._cache.count_cached_blocks(hashes) * block_tokens
        imported = self.imports.consume(run.call.attempt_id, run.words)
        # Only an import has the last token's result; else that token is recomputed.
        reused = imported if imported else min(cached, len(run.words) - 1)
        run.cached_tokens = max(0, reused)
        run.tokens_to_prefill = run.prompt_tokens - run.cached_tokens
        self.counters.cached_tokens += run.cached_tokens
        self.counters.prefilled_tokens += run.tokens_to_prefill
        computed_before = self._computed.count_computed(
            hashes, run.cached_tokens // block_tokens
        )
        recomputed = min(computed_before * block_tokens, run.tokens_to_prefill)
        self.counters.recomputed_prompt_tokens += recomputed

    def _advance(self, run: GenerationRun) -> list[StreamItem]:
        items: list[StreamItem] = []
        if self.faults.hangs(run.generated_tokens):
            return items
        if not run.generated_tokens:
            self._store_blocks(run)
        if not run.is_done:
            items.append(self._generate_token(run))
        if run.is_done:
            items.append(self._finish(run))
        return items

    def _generate_token(self, run: GenerationRun) -> Token:
        offset = run.call.tokens_so_far + run.generated_tokens
        is_chat_start = "messages" in run.call.body and offset == 0
        word = run.generate_word()
        self.counters.generated_tokens += 1
        text = word if is_chat_start else f" {word}"
        return Token(run.call.attempt_id, offset, text)

    def _finish(self, run: GenerationRun) -> Finished:
        self.batch.remove(run)
        self._store_blocks(run)
        so_far = run.call.tokens_so_far
        return Finished(
            run.call.attempt_id,
            "length",
            prompt_tokens=run.prompt_tokens - so_far,
            completion_tokens=so_far + run.generated_tokens,
            cached_tokens=run.cached_tokens,
        )

    def _keep_late_tokens(self, run: GenerationRun) -> None:
        late_tokens = self.faults.late_tokens
        if late_tokens is None:
            return
        count = min(
            self.faults.late_token_count, run.max_new_tokens - run.generated_tokens
        )
        tokens = [self._generate_token(run) for _ in range(count)]
        late_tokens.add(run.call.request_id, tokens)

    def _store_computed_blocks(self, run: GenerationRun) -> None:
        """Cache the blocks of a stopped run whose prefill was complete."""
        if not run.tokens_to_prefill:
            self._store_blocks(run)

    def _store_blocks(self, run: GenerationRun) -> None:
        hashes = self._record_computed_blocks(run)
        stored, removed = self._cache.store(hashes)
        now_ms = self._clock.now_ms()
        if stored:
            self._feed.add(CacheEventKind.STORED, stored, now_ms)
        if removed:
            self._feed.add(CacheEventKind.REMOVED, removed, now_ms)

    def _record_computed_blocks(self, run: GenerationRun) -> tuple[int, ...]:
        """Record and return the computed blocks, shared with the fleet's engines."""
        computed = run.words[: len(run.words) - run.tokens_to_prefill]
        hashes = block_hashes(computed, self.profile.block_tokens)
        self._computed.add(hashes)
        return hashes

    def _active_bad_version(self, effect: BadEffect) -> BadVersion | None:
        bad = self.profile.bad_versions.get(self.version)
        if bad is None or bad.effect is not effect:
            return None
        age_ms = self._clock.now_ms() - self._version_loaded_ms
        running = len(self.batch.running)
        is_active = bad.is_active(age_ms, self._version_requests, running)
        return bad if is_active else None

    def _fail_bad_runs(self) -> list[tuple[AttemptId, StreamItem]]:
        bad = self._active_bad_version(BadEffect.FAIL)
        failed: list[tuple[AttemptId, StreamItem]] = []
        if bad is None:
            return failed
        for run in list(self.batch.running):
            if bad.affects(run.call.path, run.draw):
                self.batch.remove(run)
                failed.append((run.call.attempt_id, self.broken_stream_failure()))
        return failed

    def _slow_factor(self) -> float:
        bad = self._active_bad_version(BadEffect.SLOW)
        if bad is None:
            return 1.0
        runs = self.batch.running
        is_affected = any(bad.affects(run.call.path, run.draw) for run in runs)
        return bad.slow_factor if is_affected else 1.0

    def _record_load(self) -> None:
        self._reports.record(self.batch, self._step_ms)
