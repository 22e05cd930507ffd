"""Rules for the choice between data centres: ``python -m benchmarks.overflow``.

Ten fake engines in four data centres of unequal size and price serve five
customers through seven daemons; 55% of the demand arrives at a data centre
with two workers. Inside a data centre load reports and cache events arrive
late and with gaps, between data centres only the mean load of a service does.
Each rule sees the same arrivals. The table has means over the seeds.
"""

from __future__ import annotations

import argparse
import itertools
import random
from collections import Counter

from _monsoonpulley.endpoints.engine import LoadReport
from _monsoonpulley.external.livelist import Member, Role
from _monsoonpulley.routing.overflow import (
    BacklogDifference,
    LeastPredicted,
    LocalFirst,
    Prices,
)
from _monsoonpulley.routing.router import Router

from .fakes import (
    NOTICE_MS,
    PREFILL_TOKENS_PER_MS,
    RUN_MS,
    Engine,
    make_jobs,
)
from .policy import DOCUMENT, Simulation, is_good

WORKERS = {"a": 4, "b": 3, "c": 2, "d": 1}
DAEMON_ZONES = ("a", "a", "b", "b", "c", "c", "d")
DEMAND = {"a": 0.15, "b": 0.15, "c": 0.55, "d": 0.15}
PRICES = Prices({"a": 1.2, "b": 1.0, "c": 0.8, "d": 0.6}, 0.0005)
SESSION_BLOCK = 10
CONNECT_TIMEOUT_MS = 1_000
DETECT_MS = 2_000
CUT_ZONE, CUT_MS, HEAL_MS = "c", 20_000, 40_000
LOST_ZONE, LOST_MS, RETURN_MS = "a", 20_000, 45_000
# name: rates of arrivals in `fakes`
SCENARIOS = {
    "steady": "steady",
    "bursty": "bursty",
    "reclaimed": "wave",
    "cut off": "steady",
}
RULES = {
    "local-first, whole target": lambda: LocalFirst(1.0),
    "local-first, 0.5 of target": lambda: LocalFirst(0.5),
    "local-first, 0.25 of target": lambda: LocalFirst(0.25),
    "least-predicted": LeastPredicted,
    "backlog-difference V=0": lambda: BacklogDifference(0.0),
    "backlog-difference V=0.1": lambda: BacklogDifference(0.1),
    "backlog-difference V=1": lambda: BacklogDifference(1.0),
    "backlog-difference V=10": lambda: BacklogDifference(10.0),
    "backlog-difference V=100": lambda: BacklogDifference(100.0),
}


class ZoneEngine(Engine):
    """A fake worker in a data centre that adds up its prefill time."""

    def __init__(self, sim, name, zone):
        super().__init__(sim, name)
        self.zone, self.prefill_ms = zone, 0.0

    def uncached_tokens(self, job):
        """Count the prefill of a job as it begins."""
        tokens = super().uncached_tokens(job)
        self.prefill_ms += tokens / PREFILL_TOKENS_PER_MS
        return tokens


class ZonesSimulation(Simulation):
    """One rule on one scenario in four data centres."""

    def __init__(self, scenario, rule, seed):
        self.managed = True
        self.rng, self.now_ms, self.queue = random.Random(seed + 1), 0, []
        self.count, self.computed, self.recomputed = itertools.count(), set(), 0
        self.refused, self.rules = 0, Counter()
        self.paid, self.sent, self.sent_elsewhere, self.moved = 0.0, 0, 0, 0
        self.cut, self.lost_zones = frozenset(), set()
        self.routers = [
            Router(zone, random.Random(seed * 100 + i), overflow=rule(), prices=PRICES)
            for i, zone in enumerate(DAEMON_ZONES)
        ]
        for router in self.routers:
            router.reconfigure(DOCUMENT)
            router.set_peer_count(DAEMON_ZONES.count(router.zone) - 1)
        self.waiting, self.engines, self.members = {}, {}, []
        for zone, workers in WORKERS.items():
            for number in range(workers):
                self.join_zone(f"{zone}{number}", zone)
        self.jobs = make_jobs(SCENARIOS[scenario], seed)
        for job in self.jobs:
            # A session's callers stay near one data centre.
            placing = random.Random(job.blocks[SESSION_BLOCK])
            zone = placing.choices(list(DEMAND), DEMAND.values())[0]
            job.daemon = self.daemon_in(zone, self.rng)
            self.at(job.at_ms, self.arrive_at, job)
        for zone in WORKERS:
            self.summarize_zone(zone)
        if scenario == "reclaimed":
            self.at(LOST_MS, self.lose_zone)
            self.at(RETURN_MS, self.regain_zone)
        if scenario == "cut off":
            self.at(CUT_MS, self.set_cut, frozenset({CUT_ZONE}))
            self.at(HEAL_MS, self.set_cut, frozenset())

    def daemon_in(self, zone, rng):
        """Return a daemon of the data centre."""
        return rng.choice([i for i, z in enumerate(DAEMON_ZONES) if z == zone])

    def is_cut(self, one, other):
        """Return whether two data centres can't reach each other."""
        return one != other and bool({one, other} & self.cut)

    def join_zone(self, name, zone):
        """Add a worker."""
        self.engines[name] = engine = ZoneEngine(self, name, zone)
        member = Member(name, Role.ENDPOINT, zone, name, "", "model", "v1")
        self.members.append(member)
        for router in self.routers:
            router.apply_members(self.members, self.now_ms)
        self.publish(engine)

    def publish(self, engine):
        """Send a report and events within the data centre, and pay."""
        if not engine.alive:
            return
        if self.now_ms < RUN_MS:
            self.paid += PRICES.machine_price_per_hour[engine.zone] / 3_600
        report = engine.report()
        for index, zone in enumerate(DAEMON_ZONES):
            if zone == engine.zone:
                delay_ms = self.rng.uniform(200, 1_000)
                self.after(delay_ms, self.deliver, index, engine, report)
        self.after(1_000, self.publish, engine)

    def summarize_zone(self, zone):
        """Send the mean load of the data centre to the others."""
        engines = [e for e in self.engines.values() if e.zone == zone and e.alive]
        if engines:
            report = mean_report([e.report() for e in engines])
            names = [engine.name for engine in engines]
            for index, other in enumerate(DAEMON_ZONES):
                if other != zone and not self.is_cut(zone, other):
                    delay_ms = self.rng.uniform(400, 1_500)
                    self.after(delay_ms, self.hear, index, names, report)
        self.after(1_000, self.summarize_zone, zone)

    def hear(self, index, names, report):
        """Take in the mean load for each worker of another data centre."""
        for name in names:
            self.routers[index].apply_load(name, report, self.now_ms)
        self.routers[index].update_slots()

    def set_cut(self, zones):
        """Cut data centres off; daemons notice later."""
        self.cut = zones
        for index, own in enumerate(DAEMON_ZONES):
            others = {zone for zone in WORKERS if self.is_cut(own, zone)}
            router = self.routers[index]
            self.after(DETECT_MS, router.set_unreachable_zones, frozenset(others))

    def lose_zone(self):
        """Reclaim a data centre with its daemons."""
        self.lost_zones.add(LOST_ZONE)
        for name, engine in self.engines.items():
            if engine.zone == LOST_ZONE:
                self.leave(name)

    def leave(self, name):
        """Give notice of a reclaim of a worker."""
        for router in self.routers:
            delay_ms = self.rng.uniform(50, 500)
            self.after(delay_ms, router.mark_leaving, name, self.now_ms)
        self.after(NOTICE_MS, self.engines[name].die)

    def regain_zone(self):
        """Start the data centre anew."""
        self.lost_zones.clear()
        for number in range(WORKERS[LOST_ZONE]):
            self.join_zone(f"{LOST_ZONE}-new{number}", LOST_ZONE)

    def arrive_at(self, job):
        """Take in a job, elsewhere if its data centre is gone."""
        while DAEMON_ZONES[job.daemon] in self.lost_zones:
            job.daemon = self.rng.randrange(len(DAEMON_ZONES))
        self.arrive(job)

    def send(self, job, asked, decision):
        """Send an attempt; one into a cut fails after its connect timeout."""
        own = DAEMON_ZONES[job.daemon]
        job.worker = decision.chosen
        self.sent += 1
        if decision.zone == own:
            super().send(job, asked, decision)
            return
        self.sent_elsewhere += 1
        self.moved += job.prompt_tokens + job.output
        if self.is_cut(own, decision.zone):
            job.attempt += 1
            router = self.routers[job.daemon]
            router.record_attempt_start(
                f"{job.id}.{job.attempt}", asked, decision, self.now_ms
            )
            self.after(CONNECT_TIMEOUT_MS, self.lost, job, decision.chosen)
            return
        super().send(job, asked, decision)

    def done(self, job):
        """Take in a whole answer, unless the cut keeps it back."""
        engine = self.engines[job.worker]
        if self.is_cut(DAEMON_ZONES[job.daemon], engine.zone):
            job.made = 0
            self.lost(job, job.worker)
            return
        super().done(job)

    def prefill_price(self):
        """Return the price of the machine time spent on prefill."""
        per_hour = PRICES.machine_price_per_hour
        return sum(
            per_hour[e.zone] * e.prefill_ms / 3_600_000 for e in self.engines.values()
        )


def mean_report(reports: list[LoadReport]) -> LoadReport:
    """Return the mean load, as a data centre tells it to others."""

    def mean(field):
        return sum(getattr(report, field) for report in reports) / len(reports)

    return LoadReport(
        reports[0].measured_wall_ms,
        round(mean("running")),
        round(mean("waiting")),
        round(mean("waiting_tokens")),
        mean("kv_used_ratio"),
        mean("prefill_tokens_per_s"),
        mean("decode_ms_per_token"),
        round(mean("max_running")),
    )


def measure(scenario: str, rule: str, seed: int) -> list[float]:
    """Return the figures of one run in the order of the table."""
    sim = ZonesSimulation(scenario, RULES[rule], seed).run()
    good = sum(map(is_good, sim.jobs))
    transfer = PRICES.transfer_price_per_million_tokens * sim.moved / 1_000_000
    per_1000 = 1_000 / max(1, good)
    return [
        good / len(sim.jobs),
        (sim.paid + transfer) * per_1000,
        transfer * per_1000,
        sim.prefill_price() * per_1000,
        float(sim.recomputed),
        sim.sent_elsewhere / sim.sent,
    ]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--scenario", choices=SCENARIOS, action="append")
    options = parser.parse_args()
    seeds = options.seed or [1, 2, 3]
    print(f"seeds {', '.join(map(str, seeds))}; costs per 1,000 answers within target")
    print(
        "| Scenario | Rule | within target | lowest seed | cost | of it transfer "
        "| prefill alone | recomputed tokens | sent elsewhere |\n"
        "|---|---|---|---|---|---|---|---|---|"
    )
    for scenario in options.scenario or SCENARIOS:
        for rule in RULES:
            runs = [measure(scenario, rule, seed) for seed in seeds]
            means = [sum(column) / len(runs) for column in zip(*runs, strict=True)]
            within, cost, transfer, prefill, recomputed, elsewhere = means
            lowest = min(run[0] for run in runs)
            print(
                f"| {scenario} | {rule} | {within:.4f} | {lowest:.4f} | {cost:.4f} "
                f"| {transfer:.5f} | {prefill:.4f} | {recomputed:.0f} "
                f"| {elsewhere:.3f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
