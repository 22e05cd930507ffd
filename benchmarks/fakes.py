"""Fake engines and arrivals for `benchmarks.policy` and `benchmarks.overflow`.

An engine prefills in chunks by priority, then decodes in a batch whose time per
token grows with its size. Its prompt cache evicts the least recently used blocks.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict

from _monsoonpulley.endpoints.engine import CacheEvent, CacheEventKind, LoadReport

ENGINE_COUNT, ENTRY_COUNT, SESSIONS_PER_CUSTOMER = 10, 7, 12
RUN_MS, DRAIN_MS = 60_000, 20_000
PREFILL_TOKENS_PER_MS = 8.0
MAX_RUNNING = 24
CACHE_BLOCKS = 8_000
MAX_PROMPT_BLOCKS = 750
CHUNK_TOKENS = 2_048
RECLAIM_NOTICE_MS = 8_000
WAVE_START_MS, WAVE_ENGINE_COUNT, REPLACEMENT_START_MS = 20_000, 4, 45_000
CUSTOMER_WEIGHTS = {
    "large-1": 6,
    "large-2": 4,
    "small-1": 1,
    "small-2": 1,
    "small-3": 1,
}
CLASSES = {
    # name: (weight, target_ms, stream, new tokens, mean output tokens, in a session)
    "tag": (50, 1_500, False, 160, 8, False),
    "quick": (35, 4_000, False, 112, 60, True),
    "report": (15, 8_000, True, 512, 300, True),
}
RATE_PER_S = {"steady": 26.0, "bursty": 12.0, "wave": 22.0, "flood": 12.0}
FLOOD_START_MS, FLOOD_END_MS, FLOOD_RATE_PER_S = 20_000, 35_000, 160
BURST_INTERVAL_MS, BURST_DURATION_MS, REQUESTS_PER_BURST = 5_000, 300, 90


class Job:
    """A simulated request."""

    def __init__(self, number, arrival_ms, customer, class_name, blocks, rng):
        _, self.target_ms, self.stream, _, mean_output_tokens, _ = CLASSES[class_name]
        self.id, self.arrival_ms, self.customer, self.class_name = (
            f"r{number}",
            arrival_ms,
            customer,
            class_name,
        )
        self.blocks, self.output_tokens = (
            blocks,
            max(1, round(mean_output_tokens * rng.uniform(0.5, 1.5))),
        )
        self.max_tokens = 2 * mean_output_tokens
        self.priority, self.attempt, self.tried_ids = 0, 0, ()
        self.entry_index = rng.randrange(ENTRY_COUNT)
        self.first_token_ms = self.completed_ms = self.decode_start_ms = None
        self.generated_tokens, self.tokens_to_prefill = 0, None

    @property
    def prompt_tokens(self):
        """Prompt tokens, plus those generated on engines that were reclaimed."""
        return 16 * len(self.blocks) + self.generated_tokens


def make_jobs(scenario: str, seed: int) -> list[Job]:
    """Return the requests of a scenario; they depend on the seed alone."""
    rng = random.Random(seed)
    block_numbers = itertools.count(1)

    def blocks(tokens):
        return tuple(
            next(block_numbers) * 0x9E3779B97F4A7C15 % 2**64 for _ in range(tokens)
        )

    system = {c: blocks(10) for c in CUSTOMER_WEIGHTS}
    sessions = {
        c: [
            system[c] + blocks(rng.randrange(150, 450))
            for _ in range(SESSIONS_PER_CUSTOMER)
        ]
        for c in CUSTOMER_WEIGHTS
    }
    times, at_ms = [], 0.0
    while at_ms < RUN_MS:
        at_ms += rng.expovariate(RATE_PER_S[scenario] / 1_000)
        times.append(
            (at_ms, rng.choices(list(CUSTOMER_WEIGHTS), CUSTOMER_WEIGHTS.values())[0])
        )
    if scenario == "bursty":
        for start in range(2_000, RUN_MS, BURST_INTERVAL_MS):
            burst_customer = rng.choices(
                list(CUSTOMER_WEIGHTS), CUSTOMER_WEIGHTS.values()
            )[0]
            for _ in range(REQUESTS_PER_BURST):
                times.append(
                    (start + rng.uniform(0, BURST_DURATION_MS), burst_customer)
                )
    if scenario == "flood":
        step_ms = 1_000 / FLOOD_RATE_PER_S
        for number in range(int((FLOOD_END_MS - FLOOD_START_MS) / step_ms)):
            times.append((FLOOD_START_MS + number * step_ms, "large-1"))
    jobs = []
    names, weights = list(CLASSES), [c[0] for c in CLASSES.values()]
    for number, (at_ms, customer) in enumerate(sorted(times)):
        name = rng.choices(names, weights)[0]
        _, _, _, tokens, _, in_session = CLASSES[name]
        prefix, session_index = system[customer], rng.randrange(SESSIONS_PER_CUSTOMER)
        if in_session:
            prefix = sessions[customer][session_index]
        prompt = prefix + blocks(tokens // 16)
        if name == "report" and len(prompt) < MAX_PROMPT_BLOCKS:
            sessions[customer][session_index] = prompt
        jobs.append(Job(number, round(at_ms), customer, name, prompt, rng))
    return jobs


class Engine:
    """A fake engine that prefills in chunks by priority and decodes in a batch."""

    def __init__(self, sim, name):
        self.sim, self.name, self.is_alive = sim, name, True
        self.prefill_queue, self.decoding_jobs, self.prefilling_job = [], {}, None
        self.cache, self.events, self.submission_numbers = (
            OrderedDict(),
            [],
            itertools.count(),
        )

    def submit(self, job):
        """Queue a job, or send it elsewhere if this engine has terminated."""
        if not self.is_alive:
            self.sim.retry_elsewhere(job, self.name)
            return
        heapq.heappush(
            self.prefill_queue, (job.priority, next(self.submission_numbers), job)
        )
        self.start_next_prefill()

    def start_next_prefill(self):
        """Start the next prefill chunk if the batch has room."""
        has_room = len(self.decoding_jobs) < MAX_RUNNING
        if (
            not self.is_alive
            or self.prefilling_job
            or not self.prefill_queue
            or not has_room
        ):
            return
        _, submission_number, job = heapq.heappop(self.prefill_queue)
        if job.tokens_to_prefill is None:
            job.tokens_to_prefill = self.uncached_tokens(job)
        self.prefilling_job = job
        chunk = min(CHUNK_TOKENS, job.tokens_to_prefill)
        job.tokens_to_prefill -= chunk
        chunk_ms = max(1, chunk / PREFILL_TOKENS_PER_MS)
        self.sim.schedule_after(
            chunk_ms, self.finish_prefill_chunk, job, submission_number
        )

    def uncached_tokens(self, job):
        """Return the tokens to prefill, and count those computed before."""
        cached = 0
        while cached < len(job.blocks) and job.blocks[cached] in self.cache:
            cached += 1
        recomputed = sum(b in self.sim.computed_blocks for b in job.blocks[cached:])
        self.sim.recomputed_tokens += 16 * recomputed + job.generated_tokens
        return job.prompt_tokens - 16 * cached

    def finish_prefill_chunk(self, job, submission_number):
        """Queue the job's next chunk, or move the job to the decoding batch."""
        if not self.is_alive:
            return
        self.prefilling_job = None
        if job.tokens_to_prefill > 0:
            heapq.heappush(self.prefill_queue, (job.priority, submission_number, job))
            self.start_next_prefill()
            return
        self.sim.computed_blocks.update(job.blocks)
        self.store_blocks(job.blocks)
        self.decoding_jobs[job.id] = job
        job.decode_start_ms = self.sim.now_ms
        if job.first_token_ms is None:
            job.first_token_ms = self.sim.now_ms
        self.sim.routers[job.entry_index].record_token(
            f"{job.id}.{job.attempt}", job.decode_start_ms
        )
        self.sim.schedule_after(
            (job.output_tokens - job.generated_tokens) * self.ms_per_token(),
            self.finish_job,
            job,
        )
        self.start_next_prefill()

    def ms_per_token(self):
        """Return milliseconds per token at the current batch size."""
        return 12 + 0.8 * len(self.decoding_jobs)

    def store_blocks(self, blocks):
        """Cache blocks and record the cache events."""
        added = tuple(b for b in blocks if b not in self.cache)
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        evicted = []
        while len(self.cache) > CACHE_BLOCKS:
            evicted.append(self.cache.popitem(last=False)[0])
        for kind, changed in (("stored", added), ("removed", tuple(evicted))):
            if changed:
                seq = len(self.events) + 1
                self.events.append(CacheEvent(seq, CacheEventKind(kind), changed))

    def finish_job(self, job):
        """Report a job as complete and free its place in the batch."""
        if self.is_alive and self.decoding_jobs.pop(job.id, None):
            self.sim.handle_completion(job)
            self.start_next_prefill()

    def build_report(self):
        """Return a load report."""
        tokens = sum(job.prompt_tokens for _, _, job in self.prefill_queue)
        tokens_per_s = PREFILL_TOKENS_PER_MS * 1_000
        count, queue = len(self.decoding_jobs), len(self.prefill_queue)
        return LoadReport(
            self.sim.now_ms,
            count,
            queue,
            tokens,
            0.5,
            tokens_per_s,
            self.ms_per_token(),
            24,
        )

    def terminate(self):
        """Terminate the engine; its jobs continue on other engines."""
        self.is_alive = False
        jobs = [
            *self.decoding_jobs.values(),
            *(job for _, _, job in self.prefill_queue),
        ]
        for job in self.decoding_jobs.values():
            elapsed_ms = self.sim.now_ms - job.decode_start_ms
            job.generated_tokens = min(
                job.output_tokens - 1,
                job.generated_tokens + int(elapsed_ms / self.ms_per_token()),
            )
        if self.prefilling_job:
            jobs.append(self.prefilling_job)
        for job in jobs:
            job.tokens_to_prefill = None
            self.sim.retry_elsewhere(job, self.name)
