"""Quality of routing policies on small fakes: ``python -m benchmarks.policy``.

Ten fake engines with prefix caches, lagging reports and late cache events
with gaps serve five customers through seven daemons. Each policy sees the
same arrivals. The table has the share of answers within target by class, cost
per 1,000 of them in worker-hours, recomputed prompt tokens, and the worst
customer's tokens within target against its max-min fair share.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import Counter, OrderedDict, defaultdict

from _monsoonpulley.config.document import Document, Service, ServiceKind
from _monsoonpulley.endpoints.engine import CacheEvent, CacheEventKind, LoadReport
from _monsoonpulley.errors import Failure
from _monsoonpulley.platform.livelist import Member, Role
from _monsoonpulley.routing.admission import Admit, Refuse
from _monsoonpulley.routing.policies import RouteRequest
from _monsoonpulley.routing.priority import engine_priority
from _monsoonpulley.routing.router import Router

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
VARIANTS = {
    "product": ("predicted-completion", True),
    "round-robin": ("round-robin", True),
    "least-outstanding": ("least-outstanding", True),
    "round-robin, bare": ("round-robin", False),
    "least-outstanding, bare": ("least-outstanding", False),
}
SCANS = {"full-scan": ("full-scan", True), "two-choices": ("two-choices", True)}
DOCUMENT = Document(services={"model": Service(kind=ServiceKind.MODEL)})


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
        self.sim.routers[job.daemon].progressed(
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


class Simulation:
    """One policy on one scenario."""

    def __init__(self, scenario, variant, seed):
        policy, self.managed = variant
        self.rng, self.now_ms, self.queue = random.Random(seed + 1), 0, []
        self.count, self.computed, self.recomputed = itertools.count(), set(), 0
        self.refused, self.worker_ms, self.rules = 0, 0, Counter()
        self.routers = [
            Router.from_config(DOCUMENT, "a", random.Random(seed * 100 + i), policy)
            for i in range(DAEMONS)
        ]
        self.jobs = make_jobs(scenario, seed)
        self.waiting, self.engines, self.members = {}, {}, []
        for number in range(WORKERS):
            self.join(f"w{number}")
        for router in self.routers:
            router.set_peers(DAEMONS - 1)
        for job in self.jobs:
            self.at(job.at_ms, self.arrive, job)
        if scenario == "wave":
            for number in range(WAVE_WORKERS):
                self.at(WAVE_MS + 300 * number, self.leave, f"w{number}")
                self.at(RETURN_MS + 500 * number, self.join, f"n{number}")

    def at(self, at_ms, call, *args):
        """Call at a time."""
        heapq.heappush(self.queue, (round(at_ms), next(self.count), call, args))

    def after(self, delay_ms, call, *args):
        """Call after a delay."""
        self.at(self.now_ms + delay_ms, call, *args)

    def run(self):
        """Run to the end."""
        while self.queue and self.queue[0][0] <= RUN_MS + DRAIN_MS:
            self.now_ms, _, call, args = heapq.heappop(self.queue)
            call(*args)
        return self

    def join(self, name):
        """Add a worker that publishes reports and cache events."""
        self.engines[name] = engine = Engine(self, name)
        self.members.append(Member(name, Role.ENDPOINT, "a", name, "", "model", "v1"))
        for router in self.routers:
            router.apply_members(self.members, self.now_ms)
        self.publish(engine)

    def publish(self, engine):
        """Send a report and events to each daemon, late and with gaps."""
        if not engine.alive:
            return
        self.worker_ms += 1_000 if self.now_ms < RUN_MS else 0
        report = engine.report()
        for index in range(DAEMONS):
            self.after(
                self.rng.uniform(200, 1_000), self.deliver, index, engine, report
            )
        self.after(1_000, self.publish, engine)

    def deliver(self, index, engine, report):
        """Take in a report and, but for a gap, the events since."""
        router = self.routers[index]
        router.apply_load(engine.name, report, self.now_ms)
        router.update_slots()
        after = router.prefixes.last_seq(engine.name)
        if self.rng.random() < 0.03:
            after += 2
        elif router.prefixes.is_stale(engine.name):
            after = router.prefixes.resync_seq(engine.name)
        router.apply_cache_events(engine.name, engine.events[after:])

    def leave(self, name):
        """Give notice of a reclaim."""
        for router in self.routers:
            self.after(
                self.rng.uniform(50, 500), router.mark_leaving, name, self.now_ms
            )
        self.after(NOTICE_MS, self.engines[name].die)

    def ask(self, job):
        """Return what the router is asked."""
        left_ms = job.at_ms + job.target_ms - self.now_ms
        return RouteRequest(
            request_id=job.id,
            service="model",
            target_ms=max(0, left_ms),
            stream=job.stream,
            prompt_tokens=job.prompt_tokens,
            max_tokens=job.max_tokens,
            prefix_blocks=job.blocks,
            tried=job.tried,
        )

    def arrive(self, job):
        """Route, and admit if the policy has admission."""
        router, asked = self.routers[job.daemon], self.ask(job)
        decision = router.choose(asked, self.now_ms)
        if isinstance(decision, Failure):
            self.refused += 1
            return
        if not self.managed:
            self.send(job, asked, decision)
            return
        result = router.admit(asked, decision, job.customer, job.name, self.now_ms)
        self.rules[result.rule] += 1
        if isinstance(result, Admit):
            self.send(job, asked, decision)
        elif isinstance(result, Refuse):
            self.refused += 1
        else:
            self.waiting[job.id] = job
            expiry = router.admission.next_expiry_ms()
            self.at(expiry, self.pump, job.daemon)

    def pump(self, index):
        """Send what has got its turn."""
        for ready in self.routers[index].admission.next_ready(self.now_ms):
            job = self.waiting.pop(ready.request_id)
            self.rules[ready.rule] += 1
            if isinstance(ready, Refuse):
                self.refused += 1
                continue
            asked = self.ask(job)
            self.send(job, asked, self.routers[index].choose(asked, self.now_ms))

    def send(self, job, asked, decision):
        """Send an attempt to its worker."""
        job.attempt += 1
        router = self.routers[job.daemon]
        router.started(f"{job.id}.{job.attempt}", asked, decision, self.now_ms)
        if self.managed:
            slack = asked.target_ms - decision.predicted_ms + decision.queue_ms
            wall_ms = 1_780_000_000_000 + self.now_ms
            job.priority = engine_priority(wall_ms, slack)
        self.after(1, self.engines[decision.chosen].submit, job)

    def lost(self, job, worker):
        """Go on elsewhere with prompt and tokens so far."""
        router = self.routers[job.daemon]
        failure = Failure("lost", "sim", worker)
        router.finished(f"{job.id}.{job.attempt}", self.now_ms, failure)
        job.tried = (*job.tried, worker)
        asked = self.ask(job)
        decision = router.choose(asked, self.now_ms)
        if not isinstance(decision, Failure):
            self.send(job, asked, decision)

    def done(self, job):
        """Take note of a whole answer."""
        job.done_ms = self.now_ms
        router = self.routers[job.daemon]
        attempt = f"{job.id}.{job.attempt}"
        router.finished(attempt, self.now_ms, output_tokens=job.output)
        router.admission.release("model", job.id, self.now_ms)
        self.pump(job.daemon)


def is_good(job: Job) -> bool:
    ended = job.first_ms if job.stream else job.done_ms
    whole = job.done_ms is not None
    return whole and ended - job.at_ms <= job.target_ms


def fair_shares(demands: dict[str, float], total: float) -> dict[str, float]:
    """Return the max-min fair split of ``total`` over the demands."""
    shares, left = {}, dict(demands)
    while left:
        even = (total - sum(shares.values())) / len(left)
        small = [c for c, demand in left.items() if demand <= even]
        for customer in small or list(left):
            shares[customer] = min(left.pop(customer), even)
    return shares


def summarize(sim: Simulation) -> list[str]:
    share, good_tokens, demands = [], defaultdict(float), defaultdict(float)
    for name in CLASSES:
        jobs = [job for job in sim.jobs if job.name == name]
        share.append(sum(map(is_good, jobs)) / len(jobs))
    good = [job for job in sim.jobs if is_good(job)]
    for job in sim.jobs:
        demands[job.customer] += job.prompt_tokens + job.output
    for job in good:
        good_tokens[job.customer] += job.prompt_tokens + job.output
    fair = fair_shares(demands, sum(good_tokens.values()))
    worst = min(good_tokens[c] / fair[c] for c in fair)
    cost = sim.worker_ms / 3_600_000 / max(1, len(good)) * 1_000
    cells = [f"{s:.3f}" for s in (len(good) / len(sim.jobs), *share)]
    return [*cells, f"{cost:.4f}", f"{sim.recomputed}", f"{worst:.2f}"]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenario", choices=RATE_PER_S, action="append")
    parser.add_argument("--scans", action="store_true", help="compare ways to sample")
    parser.add_argument("--trace", action="store_true", help="print admission rules")
    options = parser.parse_args()
    variants = {"product": VARIANTS["product"], **SCANS} if options.scans else VARIANTS
    print(
        f"{'scenario':<9}{'policy':<25}{'all':>7}{'tag':>7}{'quick':>7}{'report':>7}"
        f"{'cost':>9}{'recomputed':>12}{'worst':>7}"
    )
    for scenario in options.scenario or RATE_PER_S:
        for name, variant in variants.items():
            sim = Simulation(scenario, variant, options.seed).run()
            cells = summarize(sim)
            widths = (7, 7, 7, 7, 9, 12, 7)
            line = "".join(f"{c:>{w}}" for c, w in zip(cells, widths, strict=True))
            print(f"{scenario:<9}{name:<25}{line}", flush=True)
            if options.trace:
                print("   ", dict(sim.rules), "refused", sim.refused)


if __name__ == "__main__":
    main()
