"""State and steps of an engine stand-in, without I/O and tasks."""

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
from .engine_batch import Batch, Run, StepPlan
from .engine_cache import CacheEventFeed, PrefixCache
from .engine_counters import ComputedBlocks, EngineCounters
from .engine_faults import EngineFaults
from .engine_kv import Imports, KvState
from .engine_profile import BadEffect, BadVersion, EngineProfile
from .engine_reports import LaggingReports
from .engine_streams import StreamItem


class EngineCore:
    """Batch, cache, version and counters of one engine.

    Parameters
    ----------
    endpoint_id : EndpointId
        Its name, the ``peer`` of failures.
    version : VersionId
        Version loaded at the start.
    clock : Clock
        Gives the time of reports, events and version ages.
    rng : random.Random
        Draws event delays, losses and faults by share.
    profile : EngineProfile
        Performance and habits.
    computed : ComputedBlocks
        Shared by a fleet's engines to count recomputed tokens.
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
        self.imports = Imports()
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
            profile.events_kept,
        )
        self._reports = LaggingReports(clock, profile)
        self._version_loaded_ms = clock.now_ms()
        self._version_requests = 0
        self._step_ms = profile.decode_base_ms + profile.decode_ms_per_running

    def submit(self, call: EngineCall) -> None:
        """Queue a call."""
        words = prompt_words(call.body) + call.text_so_far.split()
        max_new = max(0, max_new_tokens(call.body) - call.tokens_so_far)
        run = Run(call, words, len(words), max_new, draw=self._rng.random())
        self.batch.submit(run)
        self._record_load()

    def cancel(self, attempt: AttemptId) -> CancelOutcome:
        """Remove an attempt and return whether it had started."""
        run = self.batch.find(attempt)
        outcome = self.batch.cancel(attempt)
        if run is not None and run.started:
            self._keep_blocks(run)
            self._leave_strays(run)
        self._record_load()
        return outcome

    def begin_step(self) -> tuple[StepPlan, list[tuple[AttemptId, StreamItem]]]:
        """Admit requests and plan a step; also return failures of bad versions."""
        self._admit()
        failures = self._fail_bad_runs()
        plan = self.batch.plan()
        plan.duration_ms *= self._slow_factor()
        self._step_ms = plan.duration_ms
        return plan, failures

    def end_step(self, plan: StepPlan) -> list[tuple[AttemptId, StreamItem]]:
        """Finish a step and return what it gives to streams."""
        items: list[tuple[AttemptId, StreamItem]] = []
        for run in self.batch.apply(plan):
            for item in self._advance(run):
                items.append((run.call.attempt_id, item))
        self._record_load()
        return items

    def export_state(self, attempt: AttemptId) -> KvState | None:
        """Return the KV cache of an attempt that has been prefilled."""
        run = self.batch.find(attempt)
        if run is None or not run.started or run.prefill_left:
            return None
        return KvState.from_words(run.words, self.profile.kv_bytes_per_token)

    def load(self) -> LoadReport:
        """Return the load as it was ``report_lag_ms`` ago."""
        return self._reports.newest()

    def cache_events(self, after_seq: int) -> tuple[CacheEvent, ...]:
        """Return the events after ``after_seq`` that can be seen by now."""
        return self._feed.after(after_seq, self._clock.now_ms())

    def apply_order(self, order: Order) -> None:
        """Apply the effect of an order."""
        if order.kind is OrderKind.LOAD_VERSION:
            self.version = order.version
            self._version_loaded_ms = self._clock.now_ms()
            self._version_requests = 0
        elif order.kind is OrderKind.LOAD_ADAPTER:
            self.adapters.append(order.argument)
        else:
            self.role = order.argument

    def clear(self) -> None:
        """Clear all state that a process holds in memory."""
        for run in self.batch.running:
            self._count_blocks(run)
        self.batch.clear()
        self._cache.clear()
        self.imports.clear()
        self._feed.add(CacheEventKind.CLEARED, (), self._clock.now_ms())
        self._record_load()

    def broken_stream(self) -> Failure:
        """Return the failure of a stream whose engine broke."""
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

    def _look_up_prefix(self, run: Run) -> None:
        block_tokens = self.profile.block_tokens
        hashes = block_hashes(run.words, block_tokens)
        cached = self._cache.cached_blocks(hashes) * block_tokens
        imported = self.imports.pop_tokens(run.call.attempt_id, run.words)
        # Without an import the last token is computed, to start the answer.
        spared = imported if imported else min(cached, len(run.words) - 1)
        run.cached = max(0, spared)
        run.prefill_left = run.prompt_tokens - run.cached
        self.counters.cached_tokens += run.cached
        self.counters.prefilled_tokens += run.prefill_left
        known = self._computed.count(hashes, run.cached // block_tokens)
        recomputed = min(known * block_tokens, run.prefill_left)
        self.counters.recomputed_prompt_tokens += recomputed

    def _advance(self, run: Run) -> list[StreamItem]:
        items: list[StreamItem] = []
        if self.faults.is_hung(run.generated):
            return items
        if not run.generated:
            self._store_blocks(run)
        if not run.is_done:
            items.append(self._token(run))
        if run.is_done:
            items.append(self._finish(run))
        return items

    def _token(self, run: Run) -> Token:
        offset = run.call.tokens_so_far + run.generated
        is_chat_start = "messages" in run.call.body and offset == 0
        word = run.generate_word()
        self.counters.generated_tokens += 1
        text = word if is_chat_start else f" {word}"
        return Token(run.call.attempt_id, offset, text)

    def _finish(self, run: Run) -> Finished:
        self.batch.remove(run)
        self._store_blocks(run)
        so_far = run.call.tokens_so_far
        return Finished(
            run.call.attempt_id,
            "length",
            prompt_tokens=run.prompt_tokens - so_far,
            completion_tokens=so_far + run.generated,
            cached_tokens=run.cached,
        )

    def _leave_strays(self, run: Run) -> None:
        strays = self.faults.strays
        if strays is None:
            return
        count = min(self.faults.stray_count, run.max_new - run.generated)
        tokens = [self._token(run) for _ in range(count)]
        strays.put(run.call.request_id, tokens)

    def _keep_blocks(self, run: Run) -> None:
        """Cache what a stopped request had computed."""
        if not run.prefill_left:
            self._store_blocks(run)

    def _store_blocks(self, run: Run) -> None:
        hashes = self._count_blocks(run)
        stored, removed = self._cache.store(hashes)
        now_ms = self._clock.now_ms()
        if stored:
            self._feed.add(CacheEventKind.STORED, stored, now_ms)
        if removed:
            self._feed.add(CacheEventKind.REMOVED, removed, now_ms)

    def _count_blocks(self, run: Run) -> tuple[int, ...]:
        """Note the computed blocks for the fleet's count of recomputation."""
        computed = run.words[: len(run.words) - run.prefill_left]
        hashes = block_hashes(computed, self.profile.block_tokens)
        self._computed.add(hashes)
        return hashes

    def _bad(self, effect: BadEffect) -> BadVersion | None:
        bad = self.profile.bad_versions.get(self.version)
        if bad is None or bad.effect is not effect:
            return None
        age_ms = self._clock.now_ms() - self._version_loaded_ms
        running = len(self.batch.running)
        is_active = bad.is_active(age_ms, self._version_requests, running)
        return bad if is_active else None

    def _fail_bad_runs(self) -> list[tuple[AttemptId, StreamItem]]:
        bad = self._bad(BadEffect.FAIL)
        failed: list[tuple[AttemptId, StreamItem]] = []
        if bad is None:
            return failed
        for run in list(self.batch.running):
            if bad.affects(run.call.path, run.draw):
                self.batch.remove(run)
                failed.append((run.call.attempt_id, self.broken_stream()))
        return failed

    def _slow_factor(self) -> float:
        bad = self._bad(BadEffect.SLOW)
        if bad is None:
            return 1.0
        runs = self.batch.running
        is_affected = any(bad.affects(run.call.path, run.draw) for run in runs)
        return bad.slow_factor if is_affected else 1.0

    def _record_load(self) -> None:
        self._reports.record(self.batch, self._step_ms)
