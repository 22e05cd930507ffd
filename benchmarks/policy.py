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
from collections import Counter, defaultdict

from _monsoonpulley.config.document import Document, Service, ServiceKind
from _monsoonpulley.errors import Failure
from _monsoonpulley.external.livelist import Member, Role
from _monsoonpulley.routing.admission import Admit, Refuse
from _monsoonpulley.routing.policies import RouteRequest
from _monsoonpulley.routing.priority import engine_priority
from _monsoonpulley.routing.router import Router

from .fakes import (
    CLASSES,
    DAEMONS,
    DRAIN_MS,
    NOTICE_MS,
    RATE_PER_S,
    RETURN_MS,
    RUN_MS,
    WAVE_MS,
    WAVE_WORKERS,
    WORKERS,
    Engine,
    Job,
    make_jobs,
)

VARIANTS = {
    "product": ("predicted-completion", True),
    "round-robin": ("round-robin", True),
    "least-outstanding": ("least-outstanding", True),
    "round-robin, bare": ("round-robin", False),
    "least-outstanding, bare": ("least-outstanding", False),
}
SCANS = {"full-scan": ("full-scan", True), "two-choices": ("two-choices", True)}
DOCUMENT = Document(services={"model": Service(kind=ServiceKind.MODEL)})


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
            router.set_peer_count(DAEMONS - 1)
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
        elif router.prefixes.has_gap(engine.name):
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
        for ready in self.routers[index].admission.pop_decisions(self.now_ms):
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
        router.record_attempt_start(
            f"{job.id}.{job.attempt}", asked, decision, self.now_ms
        )
        if self.managed:
            slack = asked.target_ms - decision.predicted_ms + decision.queue_ms
            wall_ms = 1_780_000_000_000 + self.now_ms
            job.priority = engine_priority(wall_ms, slack)
        self.after(1, self.engines[decision.chosen].submit, job)

    def lost(self, job, worker):
        """Go on elsewhere with prompt and tokens so far."""
        router = self.routers[job.daemon]
        failure = Failure("lost", "sim", worker)
        router.record_attempt_end(f"{job.id}.{job.attempt}", self.now_ms, failure)
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
        router.record_attempt_end(attempt, self.now_ms, output_tokens=job.output)
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
