"""Fake engines and arrivals for `benchmarks.policy`.

An engine prefills in chunks by priority, then decodes in a batch that slows
as it fills. Its cache forgets the blocks used longest ago.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict

from _monsoonpulley.endpoints.engine import CacheEvent, CacheEventKind, LoadReport

WORKERS, DAEMONS, SESSIONS = 10, 7, 12
RUN_MS, DRAIN_MS = 60_000, 20_000
PREFILL_TOKENS_PER_MS = 8.0
MAX_RUNNING = 24
CACHE_BLOCKS = 8_000
MAX_PROMPT_BLOCKS = 750
CHUNK_TOKENS = 2_048
NOTICE_MS = 8_000
WAVE_MS, WAVE_WORKERS, RETURN_MS = 20_000, 4, 45_000
CUSTOMERS = {"large-1": 6, "large-2": 4, "small-1": 1, "small-2": 1, "small-3": 1}
CLASSES = {
    # name: (weight, target_ms, stream, new tokens, output tokens, in a session)
    "tag": (50, 1_500, False, 160, 8, False),
    "quick": (35, 4_000, False, 112, 60, True),
    "report": (15, 8_000, True, 512, 300, True),
}
RATE_PER_S = {"steady": 26.0, "bursty": 12.0, "wave": 22.0, "flood": 12.0}
FLOOD_MS, FLOOD_END_MS, FLOOD_PER_S = 20_000, 35_000, 160
BURST_EVERY_MS, BURST_MS, BURST_REQUESTS = 5_000, 300, 90


class Job:
    """A request on its way."""

    def __init__(self, number, at_ms, customer, name, blocks, rng):
        _, self.target_ms, self.stream, _, output, _ = CLASSES[name]
        self.id, self.at_ms, self.customer, self.name = (
            f"r{number}",
            at_ms,
            customer,
            name,
        )
        self.blocks, self.output = blocks, max(1, round(output * rng.uniform(0.5, 1.5)))
        self.max_tokens = 2 * output
        self.priority, self.attempt, self.tried = 0, 0, ()
        self.daemon = rng.randrange(DAEMONS)
        self.first_ms = self.done_ms = self.joined_ms = None
        self.made, self.left_tokens = 0, None

    @property
    def prompt_tokens(self):
        """Prompt tokens, with what was generated before a worker left."""
        return 16 * len(self.blocks) + self.made


def make_jobs(scenario: str, seed: int) -> list[Job]:
    """Return the arrivals of a scenario, the same for each policy."""
    rng = random.Random(seed)
    block = itertools.count(1)

    def blocks(tokens):
        return tuple(next(block) * 0x9E3779B97F4A7C15 % 2**64 for _ in range(tokens))

    system = {c: blocks(10) for c in CUSTOMERS}
    sessions = {
        c: [system[c] + blocks(rng.randrange(150, 450)) for _ in range(SESSIONS)]
        for c in CUSTOMERS
    }
    times, at_ms = [], 0.0
    while at_ms < RUN_MS:
        at_ms += rng.expovariate(RATE_PER_S[scenario] / 1_000)
        times.append((at_ms, rng.choices(list(CUSTOMERS), CUSTOMERS.values())[0]))
    if scenario == "bursty":
        for start in range(2_000, RUN_MS, BURST_EVERY_MS):
            who = rng.choices(list(CUSTOMERS), CUSTOMERS.values())[0]
            for _ in range(BURST_REQUESTS):
                times.append((start + rng.uniform(0, BURST_MS), who))
    if scenario == "flood":
        step_ms = 1_000 / FLOOD_PER_S
        for number in range(int((FLOOD_END_MS - FLOOD_MS) / step_ms)):
            times.append((FLOOD_MS + number * step_ms, "large-1"))
    jobs = []
    names, weights = list(CLASSES), [c[0] for c in CLASSES.values()]
    for number, (at_ms, customer) in enumerate(sorted(times)):
        name = rng.choices(names, weights)[0]
        _, _, _, tokens, _, in_session = CLASSES[name]
        prefix, which = system[customer], rng.randrange(SESSIONS)
        if in_session:
            prefix = sessions[customer][which]
        prompt = prefix + blocks(tokens // 16)
        if name == "report" and len(prompt) < MAX_PROMPT_BLOCKS:
            sessions[customer][which] = prompt
        jobs.append(Job(number, round(at_ms), customer, name, prompt, rng))
    return jobs


class Engine:
    """A fake worker: prefill in chunks by priority, then a batch of decodes."""

    def __init__(self, sim, name):
        self.sim, self.name, self.alive = sim, name, True
        self.waiting, self.running, self.prefilling = [], {}, None
        self.cache, self.events, self.order = OrderedDict(), [], itertools.count()

    def submit(self, job):
        """Take in a job."""
        if not self.alive:
            self.sim.lost(job, self.name)
            return
        heapq.heappush(self.waiting, (job.priority, next(self.order), job))
        self.pump()

    def pump(self):
        """Begin the next prefill if there is room."""
        room = len(self.running) < MAX_RUNNING
        if not self.alive or self.prefilling or not self.waiting or not room:
            return
        _, order, job = heapq.heappop(self.waiting)
        if job.left_tokens is None:
            job.left_tokens = self.uncached_tokens(job)
        self.prefilling = job
        chunk = min(CHUNK_TOKENS, job.left_tokens)
        job.left_tokens -= chunk
        took_ms = max(1, chunk / PREFILL_TOKENS_PER_MS)
        self.sim.after(took_ms, self.prefilled, job, order)

    def uncached_tokens(self, job):
        """Return what to prefill, and count what was computed before."""
        cached = 0
        while cached < len(job.blocks) and job.blocks[cached] in self.cache:
            cached += 1
        seen = sum(b in self.sim.computed for b in job.blocks[cached:])
        self.sim.recomputed += 16 * seen + job.made
        return job.prompt_tokens - 16 * cached

    def prefilled(self, job, order):
        """Go on with the most urgent chunk, or move the job to the batch."""
        if not self.alive:
            return
        self.prefilling = None
        if job.left_tokens > 0:
            heapq.heappush(self.waiting, (job.priority, order, job))
            self.pump()
            return
        self.sim.computed.update(job.blocks)
        self.store(job.blocks)
        self.running[job.id] = job
        job.joined_ms = self.sim.now_ms
        if job.first_ms is None:
            job.first_ms = self.sim.now_ms
        self.sim.routers[job.daemon].record_token(
            f"{job.id}.{job.attempt}", job.joined_ms
        )
        self.sim.after((job.output - job.made) * self.token_ms(), self.ended, job)
        self.pump()

    def token_ms(self):
        """Return milliseconds per token at the present batch."""
        return 12 + 0.8 * len(self.running)

    def store(self, blocks):
        """Cache blocks and note the events."""
        fresh = tuple(b for b in blocks if b not in self.cache)
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        gone = []
        while len(self.cache) > CACHE_BLOCKS:
            gone.append(self.cache.popitem(last=False)[0])
        for kind, changed in (("stored", fresh), ("removed", tuple(gone))):
            if changed:
                seq = len(self.events) + 1
                self.events.append(CacheEvent(seq, CacheEventKind(kind), changed))

    def ended(self, job):
        """Finish a job."""
        if self.alive and self.running.pop(job.id, None):
            self.sim.done(job)
            self.pump()

    def report(self):
        """Return the load."""
        tokens = sum(job.prompt_tokens for _, _, job in self.waiting)
        speed = PREFILL_TOKENS_PER_MS * 1_000
        count, queue = len(self.running), len(self.waiting)
        return LoadReport(
            self.sim.now_ms, count, queue, tokens, 0.5, speed, self.token_ms(), 24
        )

    def die(self):
        """Leave: what is in progress goes on elsewhere."""
        self.alive = False
        jobs = [*self.running.values(), *(job for _, _, job in self.waiting)]
        for job in self.running.values():
            took = self.sim.now_ms - job.joined_ms
            job.made = min(job.output - 1, job.made + int(took / self.token_ms()))
        if self.prefilling:
            jobs.append(self.prefilling)
        for job in jobs:
            job.left_tokens = None
            self.sim.lost(job, self.name)
