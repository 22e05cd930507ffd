"""Rules for the choice between data centres: ``python -m benchmarks.overflow``.

Ten fake engines in four data centres of unequal size and price serve five
customers through seven entry instances; 55% of the demand arrives at a data
centre with two engines. Load reports and cache events arrive late and with gaps,
and only within a data centre; the others get the mean load of a service.
Each rule gets the same arrivals. The table has means over the seeds.
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
    PREFILL_TOKENS_PER_MS,
    RECLAIM_NOTICE_MS,
    RUN_MS,
    Engine,
    make_jobs,
)
from .policy import DOCUMENT, Simulation, is_within_target

ENGINES_BY_ZONE = {"a": 4, "b": 3, "c": 2, "d": 1}
ENTRY_ZONES = ("a", "a", "b", "b", "c", "c", "d")
DEMAND_SHARES = {"a": 0.15, "b": 0.15, "c": 0.55, "d": 0.15}
PRICES = Prices({"a": 1.2, "b": 1.0, "c": 0.8, "d": 0.6}, 0.0005)
SESSION_BLOCK_INDEX = 10
CONNECT_TIMEOUT_MS = 1_000
PARTITION_DETECTION_MS = 2_000
PARTITIONED_ZONE, PARTITION_START_MS, PARTITION_END_MS = "c", 20_000, 40_000
LOST_ZONE, ZONE_LOSS_MS, ZONE_RETURN_MS = "a", 20_000, 45_000
# name: key of `fakes.RATE_PER_S`
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
    """A fake engine in a data centre that sums its prefill time."""

    def __init__(self, sim, name, zone):
        super().__init__(sim, name)
        self.zone, self.prefill_ms = zone, 0.0

    def uncached_tokens(self, job):
        """Return the tokens to prefill, and add their prefill time."""
        tokens = super().uncached_tokens(job)
        self.prefill_ms += tokens / PREFILL_TOKENS_PER_MS
        return tokens


class ZonesSimulation(Simulation):
    """A run of one rule on one scenario in four data centres."""

    def __init__(self, scenario, rule, seed):
        self.has_admission = True
        self.rng, self.now_ms, self.queue = random.Random(seed + 1), 0, []
        self.event_numbers, self.computed_blocks, self.recomputed_tokens = (
            itertools.count(),
            set(),
            0,
        )
        self.refused_count, self.rules = 0, Counter()
        (
            self.machine_cost,
            self.sent_count,
            self.sent_elsewhere_count,
            self.transferred_tokens,
        ) = 0.0, 0, 0, 0
        self.partitioned_zones, self.lost_zones = frozenset(), set()
        self.routers = [
            Router(zone, random.Random(seed * 100 + i), overflow=rule(), prices=PRICES)
            for i, zone in enumerate(ENTRY_ZONES)
        ]
        for router in self.routers:
            router.reconfigure(DOCUMENT)
            router.set_peer_count(ENTRY_ZONES.count(router.zone) - 1)
        self.queued_jobs, self.engines, self.members = {}, {}, []
        for zone, engine_count in ENGINES_BY_ZONE.items():
            for number in range(engine_count):
                self.add_zone_engine(f"{zone}{number}", zone)
        self.jobs = make_jobs(SCENARIOS[scenario], seed)
        for job in self.jobs:
            # All requests of a session arrive at the same data centre.
            zone_rng = random.Random(job.blocks[SESSION_BLOCK_INDEX])
            zone = zone_rng.choices(list(DEMAND_SHARES), DEMAND_SHARES.values())[0]
            job.entry_index = self.choose_entry(zone, self.rng)
            self.schedule_at(job.arrival_ms, self.handle_zone_arrival, job)
        for zone in ENGINES_BY_ZONE:
            self.send_zone_summary(zone)
        if scenario == "reclaimed":
            self.schedule_at(ZONE_LOSS_MS, self.reclaim_zone)
            self.schedule_at(ZONE_RETURN_MS, self.restore_zone)
        if scenario == "cut off":
            self.schedule_at(
                PARTITION_START_MS,
                self.set_partitioned_zones,
                frozenset({PARTITIONED_ZONE}),
            )
            self.schedule_at(PARTITION_END_MS, self.set_partitioned_zones, frozenset())

    def choose_entry(self, zone, rng):
        """Return the index of a random entry instance of a data centre."""
        return rng.choice([i for i, z in enumerate(ENTRY_ZONES) if z == zone])

    def is_partitioned(self, one, other):
        """Return whether two data centres can't reach each other."""
        return one != other and bool({one, other} & self.partitioned_zones)

    def add_zone_engine(self, name, zone):
        """Add an engine to a data centre."""
        self.engines[name] = engine = ZoneEngine(self, name, zone)
        member = Member(name, Role.ENDPOINT, zone, name, "", "model", "v1")
        self.members.append(member)
        for router in self.routers:
            router.apply_members(self.members, self.now_ms)
        self.publish(engine)

    def publish(self, engine):
        """Send a report and events within the data centre, and add the cost."""
        if not engine.is_alive:
            return
        if self.now_ms < RUN_MS:
            self.machine_cost += PRICES.machine_price_per_hour[engine.zone] / 3_600
        report = engine.build_report()
        for index, zone in enumerate(ENTRY_ZONES):
            if zone == engine.zone:
                delay_ms = self.rng.uniform(200, 1_000)
                self.schedule_after(delay_ms, self.deliver, index, engine, report)
        self.schedule_after(1_000, self.publish, engine)

    def send_zone_summary(self, zone):
        """Send the mean load of a data centre to the others."""
        engines = [e for e in self.engines.values() if e.zone == zone and e.is_alive]
        if engines:
            report = mean_report([e.build_report() for e in engines])
            names = [engine.name for engine in engines]
            for index, other in enumerate(ENTRY_ZONES):
                if other != zone and not self.is_partitioned(zone, other):
                    delay_ms = self.rng.uniform(400, 1_500)
                    self.schedule_after(
                        delay_ms, self.handle_zone_summary, index, names, report
                    )
        self.schedule_after(1_000, self.send_zone_summary, zone)

    def handle_zone_summary(self, index, names, report):
        """Apply the mean load to each engine of another data centre."""
        for name in names:
            self.routers[index].apply_load(name, report, self.now_ms)
        self.routers[index].update_slots()

    def set_partitioned_zones(self, zones):
        """Partition data centres; entry instances detect it later."""
        self.partitioned_zones = zones
        for index, own_zone in enumerate(ENTRY_ZONES):
            others = {
                zone for zone in ENGINES_BY_ZONE if self.is_partitioned(own_zone, zone)
            }
            router = self.routers[index]
            self.schedule_after(
                PARTITION_DETECTION_MS, router.set_unreachable_zones, frozenset(others)
            )

    def reclaim_zone(self):
        """Reclaim the engines of a data centre; its entry instances are lost."""
        self.lost_zones.add(LOST_ZONE)
        for name, engine in self.engines.items():
            if engine.zone == LOST_ZONE:
                self.announce_reclaim(name)

    def announce_reclaim(self, name):
        """Announce that an engine is being reclaimed."""
        for router in self.routers:
            delay_ms = self.rng.uniform(50, 500)
            self.schedule_after(delay_ms, router.mark_leaving, name, self.now_ms)
        self.schedule_after(RECLAIM_NOTICE_MS, self.engines[name].terminate)

    def restore_zone(self):
        """Bring the data centre back with new engines."""
        self.lost_zones.clear()
        for number in range(ENGINES_BY_ZONE[LOST_ZONE]):
            self.add_zone_engine(f"{LOST_ZONE}-new{number}", LOST_ZONE)

    def handle_zone_arrival(self, job):
        """Route a job, through another data centre if its own is lost."""
        while ENTRY_ZONES[job.entry_index] in self.lost_zones:
            job.entry_index = self.rng.randrange(len(ENTRY_ZONES))
        self.handle_arrival(job)

    def send(self, job, route_request, decision):
        """Send an attempt; it times out if the data centre is unreachable."""
        own_zone = ENTRY_ZONES[job.entry_index]
        job.engine_name = decision.chosen
        self.sent_count += 1
        if decision.zone == own_zone:
            super().send(job, route_request, decision)
            return
        self.sent_elsewhere_count += 1
        self.transferred_tokens += job.prompt_tokens + job.output_tokens
        if self.is_partitioned(own_zone, decision.zone):
            job.attempt += 1
            router = self.routers[job.entry_index]
            router.record_attempt_start(
                f"{job.id}.{job.attempt}", route_request, decision, self.now_ms
            )
            self.schedule_after(
                CONNECT_TIMEOUT_MS, self.retry_elsewhere, job, decision.chosen
            )
            return
        super().send(job, route_request, decision)

    def handle_completion(self, job):
        """Record a complete answer, or retry if a partition stops it."""
        engine = self.engines[job.engine_name]
        if self.is_partitioned(ENTRY_ZONES[job.entry_index], engine.zone):
            job.generated_tokens = 0
            self.retry_elsewhere(job, job.engine_name)
            return
        super().handle_completion(job)

    def prefill_cost(self):
        """Return the cost of the machine time spent on prefill."""
        per_hour = PRICES.machine_price_per_hour
        return sum(
            per_hour[e.zone] * e.prefill_ms / 3_600_000 for e in self.engines.values()
        )


def mean_report(reports: list[LoadReport]) -> LoadReport:
    """Return the mean load, as a data centre sends it to others."""

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
    good_count = sum(map(is_within_target, sim.jobs))
    transfer_cost = (
        PRICES.transfer_price_per_million_tokens * sim.transferred_tokens / 1_000_000
    )
    per_1000 = 1_000 / max(1, good_count)
    return [
        good_count / len(sim.jobs),
        (sim.machine_cost + transfer_cost) * per_1000,
        transfer_cost * per_1000,
        sim.prefill_cost() * per_1000,
        float(sim.recomputed_tokens),
        sim.sent_elsewhere_count / sim.sent_count,
    ]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--scenario", choices=SCENARIOS, action="append")
    options = parser.parse_args()
    seeds = options.seed or [1, 2, 3]
    print(f"seeds {', '.join(map(str, seeds))}; costs per 1,000 answers within target")
    print(
        "| Scenario | Rule | within target | lowest seed | cost | transfer part "
        "| prefill part | recomputed tokens | sent elsewhere |\n"
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
