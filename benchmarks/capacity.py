"""Cost of capacity at the latency target over made days, and cost of a decision.

Run with ``python -m benchmarks.capacity``. No cluster is simulated: the capacity
of each window serves what arrives in it, up to the utilization at which targets
hold; the rest counts as late.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable

import msgspec

from _monsoonpulley.control.capacitydecision import (
    PlanInput,
    PlanSettings,
    PlanState,
    WeightLoads,
)
from _monsoonpulley.control.capacityplan import plan
from _monsoonpulley.control.demand import DemandHistory, DemandSettings, DemandWindow
from _monsoonpulley.control.fleet import (
    EndpointState,
    FleetEndpoint,
    Market,
    Need,
    Offer,
    Utilization,
)
from _monsoonpulley.control.offers import MachineProfile, ReclaimRates, make_offers
from _monsoonpulley.control.refusals import Refusals, RefusalSettings
from _monsoonpulley.ids import VersionId

from .capacity_day import (
    DAY_MS,
    DEPLOYMENTS,
    MACHINE,
    WINDOW_MS,
    Day,
    ServicePlan,
    make_day,
)

V1 = VersionId("v1")
DRAIN_MS = 30_000
MINUTE_MS = 60_000
WARM_UP_MS = 900_000
MS_PER_H = 3_600_000
LATE_MILLI_PER_UNIT_H = 20.0


class Policy(msgspec.Struct, frozen=True):
    """How capacity is planned.

    Attributes
    ----------
    is_diverse : bool
        Whether the loss of a zone and the risk of reclaims count.
    extra : float
        What the total need is multiplied with.
    utilization : Utilization
        How far endpoints are planned to be used.
    """

    name: str
    is_diverse: bool
    extra: float = 1.0
    utilization: Utilization = Utilization()


POLICIES = (
    Policy("product", True),
    Policy("product, lean", True, 1.0, Utilization(0.87, 1.15)),
    Policy("cheapest", False),
    Policy("cheapest + 1/3", False, 4 / 3),
)


class Machine(msgspec.Struct):
    """One instance of the made fleet."""

    endpoint: FleetEndpoint
    begin_ms: int
    end_ms: int | None = None


class Result(msgspec.Struct):
    """Sums of a day."""

    cost_milli: float = 0.0
    arrived: float = 0.0
    within: float = 0.0
    worst_minute: float = 1.0
    started: int = 0
    plans: int = 0
    plan_s: float = 0.0


class Run:
    """One policy over the day of one service."""

    def __init__(self, service: ServicePlan, day: Day, policy: Policy):
        self._service = service
        self._day = day
        self._policy = policy
        self._machines: dict[str, Machine] = {}
        self._history = DemandHistory(DemandSettings())
        self._refusals = Refusals(RefusalSettings())
        self._rates = ReclaimRates(0)
        self._settings = PlanSettings(
            shortage_milli_per_unit_h=LATE_MILLI_PER_UNIT_H * 60 / service.units_per_s
        )
        self._state = PlanState()
        self._profiles = {
            MACHINE: MachineProfile(service.units_per_s, service.start_ms)
        }
        self._waves = list(day.waves)
        self._minute = [0.0, 0.0]
        self.result = Result()

    def run(self) -> Result:
        """Go through the day window by window."""
        for number, arrived in enumerate(self._day.arrivals):
            now_ms = number * WINDOW_MS
            self._reclaim(now_ms)
            self._advance(now_ms)
            self._serve(now_ms, arrived)
            self._pay(now_ms)
            self._plan(now_ms + WINDOW_MS)
        return self.result

    def _reclaim(self, now_ms: int) -> None:
        while self._waves and self._waves[0].at_ms < now_ms + WINDOW_MS:
            wave = self._waves.pop(0)
            for machine in self._machines.values():
                market = machine.endpoint.market
                if market.zone != wave.zone or not market.reclaimable:
                    continue
                if machine.end_ms is None:
                    self._leave(machine, wave.at_ms + wave.notice_ms)
                    self._rates.record_notice(wave.zone, now_ms)
                    self._refusals.record_reclaim(market, now_ms)

    def _leave(self, machine: Machine, end_ms: int) -> None:
        machine.end_ms = end_ms
        machine.endpoint = msgspec.structs.replace(
            machine.endpoint, state=EndpointState.LEAVING
        )

    def _advance(self, now_ms: int) -> None:
        for name, machine in list(self._machines.items()):
            if machine.end_ms is not None and machine.end_ms <= now_ms:
                del self._machines[name]
                continue
            endpoint = machine.endpoint
            is_coming = endpoint.state is EndpointState.COMING
            if is_coming and endpoint.ready_ms <= now_ms:
                machine.endpoint = msgspec.structs.replace(
                    endpoint, state=EndpointState.READY
                )

    def _serve(self, now_ms: int, arrived: float) -> None:
        ready = sum(
            machine.endpoint.units_per_s
            for machine in self._machines.values()
            if machine.endpoint.state is EndpointState.READY
        )
        usable = ready * Utilization().loss_ratio * WINDOW_MS / 1000
        within = min(arrived, usable)
        late = round(1_000 * (1 - within / arrived))
        window = DemandWindow(now_ms, 1_000, round(arrived), predicted_late_count=late)
        self._history.add(window)
        if now_ms < WARM_UP_MS:
            return
        self.result.arrived += arrived
        self.result.within += within
        self._minute[0] += arrived
        self._minute[1] += within
        if (now_ms + WINDOW_MS) % MINUTE_MS == 0:
            share = self._minute[1] / self._minute[0]
            self.result.worst_minute = min(self.result.worst_minute, share)
            self._minute = [0.0, 0.0]

    def _pay(self, now_ms: int) -> None:
        if now_ms < WARM_UP_MS:
            return
        prices = {
            Market(each.zone, each.machine_class, each.reclaimable): each.milli_per_h
            for each in self._day.prices_at(now_ms)
        }
        for machine in self._machines.values():
            price = prices[machine.endpoint.market]
            self.result.cost_milli += price * WINDOW_MS / MS_PER_H

    def _plan(self, now_ms: int) -> None:
        service = self._service
        lead_ms = service.start_ms + service.load_ms
        demand = self._history.estimate(now_ms, lead_ms)
        free_ms = max(
            (each.endpoint.ready_ms for each in self._machines.values()), default=0
        )
        situation = PlanInput(
            service=service.name,
            needs=(self._need(demand.units_per_s),),
            fleet=tuple(each.endpoint for each in self._machines.values()),
            offers=self._offers(now_ms),
            loads=WeightLoads(service.load_ms, free_ms if service.load_ms else 0),
            blocked=self._refusals.blocked_markets(now_ms),
        )
        began_s = time.perf_counter()
        made = plan(situation, self._state, self._settings, now_ms)
        self.result.plan_s += time.perf_counter() - began_s
        self.result.plans += 1
        self._state = made.state
        for planned in made.orders:
            self._start(planned.order, planned.replaces, now_ms)
        for release in made.releases:
            self._leave(self._machines[release.name], now_ms + DRAIN_MS)

    def _need(self, units_per_s: float) -> Need:
        need = self._policy.utilization.need_for(V1, units_per_s)
        if self._policy.is_diverse:
            return need
        return Need(V1, need.total_units_per_s * self._policy.extra, 0.0)

    def _offers(self, now_ms: int) -> tuple[Offer, ...]:
        prices = self._day.prices_at(now_ms)
        offers = make_offers(prices, self._profiles, self._rates, now_ms)
        if self._policy.is_diverse:
            return offers
        return tuple(msgspec.structs.replace(o, reclaims_per_h=0.0) for o in offers)

    def _start(self, order, replaces: str, now_ms: int) -> None:
        if self._day.refuses(order.market, now_ms):
            self._refusals.record_refusal(order.market, now_ms)
            return
        self._refusals.record_start(order.market)
        self.result.started += 1
        name = f"m{self.result.started}"
        endpoint = FleetEndpoint(
            name,
            order.market,
            V1,
            self._service.units_per_s,
            EndpointState.COMING,
            order.ready_ms,
            replaces=replaces,
        )
        self._machines[name] = Machine(endpoint, now_ms)


def days(seeds: list[int]) -> None:
    """Print a table of all deployments, services, policies and seeds."""
    print("deployment service seed policy: cost, cost/M within, within, worst, started")
    for deployment, services in DEPLOYMENTS.items():
        totals: dict[str, list[Result]] = {}
        for service in services:
            for seed in seeds:
                day = make_day(service, seed)
                for policy in POLICIES:
                    result = Run(service, day, policy).run()
                    totals.setdefault(policy.name, []).append(result)
                    _print(f"{deployment} {service.name} {seed}", policy.name, result)
        for name, results in totals.items():
            _print_total(deployment, name, results)


def _print(label: str, policy: str, result: Result) -> None:
    per_million = result.cost_milli / result.within * 1e6
    print(
        f"{label:18} {policy:15} {result.cost_milli / 1000:8.1f} {per_million:9.3f} "
        f"{result.within / result.arrived:.5f} {result.worst_minute:.3f} "
        f"{result.started:4}"
    )


def _print_total(deployment: str, policy: str, results: list[Result]) -> None:
    cost = sum(each.cost_milli for each in results) / 1000
    shares = [each.within / each.arrived for each in results]
    worst = min(each.worst_minute for each in results)
    started = sum(each.started for each in results)
    plan_us = sum(each.plan_s for each in results) / sum(each.plans for each in results)
    per_share = cost / (sum(shares) / len(shares))
    print(
        f"TOTAL {deployment:12} {policy:15} cost {cost:9.1f} cost at target "
        f"{per_share:9.1f} within {sum(shares) / len(shares):.5f} least "
        f"{min(shares):.5f} worst minute {worst:.3f} started {started} "
        f"decision {plan_us * 1e6:.0f} us"
    )


def decisions() -> None:
    """Print the cost of a decision by size of the fleet."""
    print("workers situation: milliseconds a decision (best of 5)")
    for workers, zones in ((10, 4), (417, 4), (2_500, 6)):
        offers = tuple(
            Offer(
                Market(f"zone-{zone}", size, kind),
                (400 + 10 * zone) * units if kind else 1_250 * units,
                100.0 * units,
                60_000,
                0.1 if kind else 0.0,
            )
            for zone in range(zones)
            for size, units in (("small", 1), ("medium", 2), ("large", 4))
            for kind in (True, False)
        )
        fleet = tuple(
            FleetEndpoint(
                f"e{n}", Market(f"zone-{n % zones}", "small", True), V1, 100.0
            )
            for n in range(workers)
        )
        need = Utilization().need_for(V1, workers * 65.0)
        lost = tuple(
            msgspec.structs.replace(e, state=EndpointState.LEAVING)
            if e.market.zone == "zone-0"
            else e
            for e in fleet
        )
        held = PlanState(0, 0)
        small = need.scaled_by(0.7)
        cases: dict[str, Callable[[], object]] = {
            "steady": _planning(offers, fleet, need, PlanState()),
            "zone lost": _planning(offers, lost, need, PlanState()),
            "release": _planning(offers, fleet, small, held),
            "empty": _planning(offers, (), need, PlanState()),
        }
        for name, run in cases.items():
            print(f"{workers:6} {name:10} {_best_ms(run):9.3f}")


def _planning(offers, fleet, need, state) -> Callable[[], object]:
    situation = PlanInput(service="model", needs=(need,), fleet=fleet, offers=offers)
    return lambda: plan(situation, state, PlanSettings(), DAY_MS)


def _best_ms(run: Callable[[], object]) -> float:
    best = float("inf")
    for _ in range(5):
        began_s = time.perf_counter()
        run()
        best = min(best, time.perf_counter() - began_s)
    return best * 1000


def main() -> None:
    """Run what the arguments ask for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4])
    parser.add_argument("--decisions", action="store_true", help="only decisions")
    args = parser.parse_args()
    if not args.decisions:
        days(args.seeds)
    decisions()


if __name__ == "__main__":
    main()
