"""Quality of routing policies on small fakes: ``python -m benchmarks.policy``.

Ten fake engines with prompt caches serve five customers through seven entry
instances. Load reports arrive late, cache events late and with gaps. Each policy
gets the same arrivals. The table has the share of answers within target by class,
the cost of 1,000 of them in engine-hours, recomputed tokens, and the
lowest ratio of a customer's tokens within target to its max-min fair share.
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
    DRAIN_MS,
    ENGINE_COUNT,
    ENTRY_COUNT,
    RATE_PER_S,
    RECLAIM_NOTICE_MS,
    REPLACEMENT_START_MS,
    RUN_MS,
    WAVE_ENGINE_COUNT,
    WAVE_START_MS,
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
SCAN_VARIANTS = {"full-scan": ("full-scan", True), "two-choices": ("two-choices", True)}
DOCUMENT = Document(services={"model": Service(kind=ServiceKind.MODEL)})


class Simulation:
    """A run of one policy on one scenario."""

    def __init__(self, scenario, variant, seed):
        policy, self.has_admission = variant
        self.rng, self.now_ms, self.queue = random.Random(seed + 1), 0, []
        self.event_numbers, self.computed_blocks, self.recomputed_tokens = (
            itertools.count(),
            set(),
            0,
        )
        self.refused_count, self.engine_ms, self.rules = 0, 0, Counter()
        self.routers = [
            Router.from_config(DOCUMENT, "a", random.Random(seed * 100 + i), policy)
            for i in range(ENTRY_COUNT)
        ]
        self.jobs = make_jobs(scenario, seed)
        self.queued_jobs, self.engines, self.members = {}, {}, []
        for number in range(ENGINE_COUNT):
            self.add_engine(f"w{number}")
        for router in self.routers:
            router.set_peer_count(ENTRY_COUNT - 1)
        for job in self.jobs:
            self.schedule_at(job.arrival_ms, self.handle_arrival, job)
        if scenario == "wave":
            for number in range(WAVE_ENGINE_COUNT):
                self.schedule_at(
                    WAVE_START_MS + 300 * number, self.announce_reclaim, f"w{number}"
                )
                self.schedule_at(
                    REPLACEMENT_START_MS + 500 * number, self.add_engine, f"n{number}"
                )

    def schedule_at(self, at_ms, call, *args):
        """Schedule a call at a time of the simulation."""
        heapq.heappush(self.queue, (round(at_ms), next(self.event_numbers), call, args))

    def schedule_after(self, delay_ms, call, *args):
        """Schedule a call after a delay."""
        self.schedule_at(self.now_ms + delay_ms, call, *args)

    def run(self):
        """Run all scheduled calls up to the end of the drain time."""
        while self.queue and self.queue[0][0] <= RUN_MS + DRAIN_MS:
            self.now_ms, _, call, args = heapq.heappop(self.queue)
            call(*args)
        return self

    def add_engine(self, name):
        """Add an engine that publishes load reports and cache events."""
        self.engines[name] = engine = Engine(self, name)
        self.members.append(Member(name, Role.ENDPOINT, "a", name, "", "model", "v1"))
        for router in self.routers:
            router.apply_members(self.members, self.now_ms)
        self.publish(engine)

    def publish(self, engine):
        """Send a load report and cache events to each entry instance, with a delay."""
        if not engine.is_alive:
            return
        self.engine_ms += 1_000 if self.now_ms < RUN_MS else 0
        report = engine.build_report()
        for index in range(ENTRY_COUNT):
            self.schedule_after(
                self.rng.uniform(200, 1_000), self.deliver, index, engine, report
            )
        self.schedule_after(1_000, self.publish, engine)

    def deliver(self, index, engine, report):
        """Apply a report and the cache events since the last; skip some at times."""
        router = self.routers[index]
        router.apply_load(engine.name, report, self.now_ms)
        router.update_slots()
        last_seq = router.prefixes.last_seq(engine.name)
        if self.rng.random() < 0.03:
            last_seq += 2
        elif router.prefixes.has_gap(engine.name):
            last_seq = router.prefixes.resync_seq(engine.name)
        router.apply_cache_events(engine.name, engine.events[last_seq:])

    def announce_reclaim(self, name):
        """Announce that an engine is being reclaimed."""
        for router in self.routers:
            self.schedule_after(
                self.rng.uniform(50, 500), router.mark_leaving, name, self.now_ms
            )
        self.schedule_after(RECLAIM_NOTICE_MS, self.engines[name].terminate)

    def build_route_request(self, job):
        """Return the request that the router gets for a job."""
        remaining_ms = job.arrival_ms + job.target_ms - self.now_ms
        return RouteRequest(
            request_id=job.id,
            service="model",
            target_ms=max(0, remaining_ms),
            stream=job.stream,
            prompt_tokens=job.prompt_tokens,
            max_tokens=job.max_tokens,
            prefix_blocks=job.blocks,
            tried=job.tried_ids,
        )

    def handle_arrival(self, job):
        """Route a job; admit it first if the variant has admission."""
        router, route_request = (
            self.routers[job.entry_index],
            self.build_route_request(job),
        )
        decision = router.choose(route_request, self.now_ms)
        if isinstance(decision, Failure):
            self.refused_count += 1
            return
        if not self.has_admission:
            self.send(job, route_request, decision)
            return
        result = router.admit(
            route_request, decision, job.customer, job.class_name, self.now_ms
        )
        self.rules[result.rule] += 1
        if isinstance(result, Admit):
            self.send(job, route_request, decision)
        elif isinstance(result, Refuse):
            self.refused_count += 1
        else:
            self.queued_jobs[job.id] = job
            expiry_ms = router.admission.next_expiry_ms()
            self.schedule_at(expiry_ms, self.dispatch_queued, job.entry_index)

    def dispatch_queued(self, index):
        """Send the queued jobs that admission has admitted."""
        for result in self.routers[index].admission.pop_decisions(self.now_ms):
            job = self.queued_jobs.pop(result.request_id)
            self.rules[result.rule] += 1
            if isinstance(result, Refuse):
                self.refused_count += 1
                continue
            route_request = self.build_route_request(job)
            self.send(
                job,
                route_request,
                self.routers[index].choose(route_request, self.now_ms),
            )

    def send(self, job, route_request, decision):
        """Send an attempt to the chosen engine."""
        job.attempt += 1
        router = self.routers[job.entry_index]
        router.record_attempt_start(
            f"{job.id}.{job.attempt}", route_request, decision, self.now_ms
        )
        if self.has_admission:
            slack_ms = (
                route_request.target_ms - decision.predicted_ms + decision.queue_ms
            )
            wall_ms = 1_780_000_000_000 + self.now_ms
            job.priority = engine_priority(wall_ms, slack_ms)
        self.schedule_after(1, self.engines[decision.chosen].submit, job)

    def retry_elsewhere(self, job, engine_name):
        """Retry on another engine with the prompt and the tokens generated so far."""
        router = self.routers[job.entry_index]
        failure = Failure("lost", "sim", engine_name)
        router.record_attempt_end(f"{job.id}.{job.attempt}", self.now_ms, failure)
        job.tried_ids = (*job.tried_ids, engine_name)
        route_request = self.build_route_request(job)
        decision = router.choose(route_request, self.now_ms)
        if not isinstance(decision, Failure):
            self.send(job, route_request, decision)

    def handle_completion(self, job):
        """Record a complete answer and free its slot."""
        job.completed_ms = self.now_ms
        router = self.routers[job.entry_index]
        attempt = f"{job.id}.{job.attempt}"
        router.record_attempt_end(attempt, self.now_ms, output_tokens=job.output_tokens)
        router.admission.release("model", job.id, self.now_ms)
        self.dispatch_queued(job.entry_index)


def is_within_target(job: Job) -> bool:
    end_ms = job.first_token_ms if job.stream else job.completed_ms
    is_complete = job.completed_ms is not None
    return is_complete and end_ms - job.arrival_ms <= job.target_ms


def fair_shares(demands: dict[str, float], total: float) -> dict[str, float]:
    """Return the max-min fair shares of ``total`` for the demands."""
    shares, remaining = {}, dict(demands)
    while remaining:
        equal_share = (total - sum(shares.values())) / len(remaining)
        satisfied = [c for c, demand in remaining.items() if demand <= equal_share]
        for customer in satisfied or list(remaining):
            shares[customer] = min(remaining.pop(customer), equal_share)
    return shares


def summarize(sim: Simulation) -> list[str]:
    share, good_tokens, demands = [], defaultdict(float), defaultdict(float)
    for name in CLASSES:
        jobs = [job for job in sim.jobs if job.class_name == name]
        share.append(sum(map(is_within_target, jobs)) / len(jobs))
    good = [job for job in sim.jobs if is_within_target(job)]
    for job in sim.jobs:
        demands[job.customer] += job.prompt_tokens + job.output_tokens
    for job in good:
        good_tokens[job.customer] += job.prompt_tokens + job.output_tokens
    fair = fair_shares(demands, sum(good_tokens.values()))
    worst = min(good_tokens[c] / fair[c] for c in fair)
    cost = sim.engine_ms / 3_600_000 / max(1, len(good)) * 1_000
    cells = [f"{s:.3f}" for s in (len(good) / len(sim.jobs), *share)]
    return [*cells, f"{cost:.4f}", f"{sim.recomputed_tokens}", f"{worst:.2f}"]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenario", choices=RATE_PER_S, action="append")
    parser.add_argument("--scans", action="store_true", help="compare engine sampling")
    parser.add_argument("--trace", action="store_true", help="print admission rules")
    options = parser.parse_args()
    variants = (
        {"product": VARIANTS["product"], **SCAN_VARIANTS} if options.scans else VARIANTS
    )
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
                print("   ", dict(sim.rules), "refused", sim.refused_count)


if __name__ == "__main__":
    main()
