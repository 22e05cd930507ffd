"""Cost of capacity over simulated days, and of a decision.

Run with ``python -m benchmarks.capacity``. Requests are not simulated: in each
window the ready capacity serves the arriving units up to the utilization at which
targets hold; the rest counts as late.
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
    MACHINE_CLASS,
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
    """A way to plan capacity.

    Attributes
    ----------
    is_diverse : bool
        Whether the loss of a zone and the risk of reclaims count.
    need_factor : float
        Multiplies the total need, without diversity only.
    utilization : Utilization
        Planned utilization of endpoints.
    """

    name: str
    is_diverse: bool
    need_factor: float = 1.0
    utilization: Utilization = Utilization()


POLICIES = (
    Policy("product", True),
    Policy("product, lean", True, 1.0, Utilization(0.87, 1.15)),
    Policy("cheapest", False),
    Policy("cheapest + 1/3", False, 4 / 3),
)


class Machine(msgspec.Struct):
    """One instance of the simulated fleet."""

    endpoint: FleetEndpoint
    start_ms: int
    end_ms: int | None = None


class Result(msgspec.Struct):
    """Totals of a day, and its worst minute."""

    cost_milli: float = 0.0
    arrived_units: float = 0.0
    within_target_units: float = 0.0
    worst_minute_ratio: float = 1.0
    started_count: int = 0
    plan_count: int = 0
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
            MACHINE_CLASS: MachineProfile(service.units_per_s, service.start_ms)
        }
        self._waves = list(day.waves)
        self._minute_units = [0.0, 0.0]
        self.result = Result()

    def run(self) -> Result:
        """Play the day window by window."""
        for number, arrived_units in enumerate(self._day.arrivals):
            now_ms = number * WINDOW_MS
            self._reclaim(now_ms)
            self._advance(now_ms)
            self._serve(now_ms, arrived_units)
            self._add_cost(now_ms)
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
                    self._mark_leaving(machine, wave.at_ms + wave.notice_ms)
                    self._rates.record_notice(wave.zone, now_ms)
                    self._refusals.record_reclaim(market, now_ms)

    def _mark_leaving(self, machine: Machine, end_ms: int) -> None:
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

    def _serve(self, now_ms: int, arrived_units: float) -> None:
        ready_units_per_s = sum(
            machine.endpoint.units_per_s
            for machine in self._machines.values()
            if machine.endpoint.state is EndpointState.READY
        )
        capacity_units = ready_units_per_s * Utilization().loss_ratio * WINDOW_MS / 1000
        within_units = min(arrived_units, capacity_units)
        late_count = round(1_000 * (1 - within_units / arrived_units))
        window = DemandWindow(
            now_ms, 1_000, round(arrived_units), predicted_late_count=late_count
        )
        self._history.add(window)
        if now_ms < WARM_UP_MS:
            return
        self.result.arrived_units += arrived_units
        self.result.within_target_units += within_units
        self._minute_units[0] += arrived_units
        self._minute_units[1] += within_units
        if (now_ms + WINDOW_MS) % MINUTE_MS == 0:
            ratio = self._minute_units[1] / self._minute_units[0]
            self.result.worst_minute_ratio = min(self.result.worst_minute_ratio, ratio)
            self._minute_units = [0.0, 0.0]

    def _add_cost(self, now_ms: int) -> None:
        if now_ms < WARM_UP_MS:
            return
        prices = {
            Market(each.zone, each.machine_class, each.reclaimable): each.milli_per_h
            for each in self._day.prices_at(now_ms)
        }
        for machine in self._machines.values():
            milli_per_h = prices[machine.endpoint.market]
            self.result.cost_milli += milli_per_h * WINDOW_MS / MS_PER_H

    def _plan(self, now_ms: int) -> None:
        service = self._service
        lead_ms = service.start_ms + service.load_ms
        demand = self._history.estimate(now_ms, lead_ms)
        free_ms = max(
            (each.endpoint.ready_ms for each in self._machines.values()), default=0
        )
        plan_input = PlanInput(
            service=service.name,
            needs=(self._need(demand.units_per_s),),
            fleet=tuple(each.endpoint for each in self._machines.values()),
            offers=self._offers(now_ms),
            loads=WeightLoads(service.load_ms, free_ms if service.load_ms else 0),
            blocked=self._refusals.blocked_markets(now_ms),
        )
        start_s = time.perf_counter()
        decision = plan(plan_input, self._state, self._settings, now_ms)
        self.result.plan_s += time.perf_counter() - start_s
        self.result.plan_count += 1
        self._state = decision.state
        for planned in decision.orders:
            self._start(planned.order, planned.replaces, now_ms)
        for release in decision.releases:
            self._mark_leaving(self._machines[release.name], now_ms + DRAIN_MS)

    def _need(self, units_per_s: float) -> Need:
        need = self._policy.utilization.need_for(V1, units_per_s)
        if self._policy.is_diverse:
            return need
        return Need(V1, need.total_units_per_s * self._policy.need_factor, 0.0)

    def _offers(self, now_ms: int) -> tuple[Offer, ...]:
        prices = self._day.prices_at(now_ms)
        offers = make_offers(prices, self._profiles, self._rates, now_ms)
        if self._policy.is_diverse:
            return offers
        return tuple(msgspec.structs.replace(o, reclaims_per_h=0.0) for o in offers)

    def _start(self, order, replaces: str, now_ms: int) -> None:
        if self._day.is_refused(order.market, now_ms):
            self._refusals.record_refusal(order.market, now_ms)
            return
        self._refusals.record_start(order.market)
        self.result.started_count += 1
        name = f"m{self.result.started_count}"
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


def compare_policies(seeds: list[int]) -> None:
    """Print the results of all deployments, services, seeds and policies."""
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
    per_million = result.cost_milli / result.within_target_units * 1e6
    print(
        f"{label:18} {policy:15} {result.cost_milli / 1000:8.1f} {per_million:9.3f} "
        f"{result.within_target_units / result.arrived_units:.5f} "
        f"{result.worst_minute_ratio:.3f} "
        f"{result.started_count:4}"
    )


def _print_total(deployment: str, policy: str, results: list[Result]) -> None:
    cost = sum(each.cost_milli for each in results) / 1000
    ratios = [each.within_target_units / each.arrived_units for each in results]
    worst = min(each.worst_minute_ratio for each in results)
    started = sum(each.started_count for each in results)
    plan_us = sum(each.plan_s for each in results) / sum(
        each.plan_count for each in results
    )
    cost_at_target = cost / (sum(ratios) / len(ratios))
    print(
        f"TOTAL {deployment:12} {policy:15} cost {cost:9.1f} cost at target "
        f"{cost_at_target:9.1f} within {sum(ratios) / len(ratios):.5f} least "
        f"{min(ratios):.5f} worst minute {worst:.3f} started {started} "
        f"decision {plan_us * 1e6:.0f} us"
    )


def measure_decisions() -> None:
    """Print the time of a decision by fleet size and situation."""
    print("engines, situation: milliseconds per decision (best of 5)")
    for engine_count, zone_count in ((10, 4), (417, 4), (2_500, 6)):
        offers = tuple(
            Offer(
                Market(f"zone-{zone}", size, kind),
                (400 + 10 * zone) * units if kind else 1_250 * units,
                100.0 * units,
                60_000,
                0.1 if kind else 0.0,
            )
            for zone in range(zone_count)
            for size, units in (("small", 1), ("medium", 2), ("large", 4))
            for kind in (True, False)
        )
        fleet = tuple(
            FleetEndpoint(
                f"e{n}", Market(f"zone-{n % zone_count}", "small", True), V1, 100.0
            )
            for n in range(engine_count)
        )
        need = Utilization().need_for(V1, engine_count * 65.0)
        fleet_after_loss = tuple(
            msgspec.structs.replace(e, state=EndpointState.LEAVING)
            if e.market.zone == "zone-0"
            else e
            for e in fleet
        )
        release_state = PlanState(0, 0)
        reduced_need = need.scaled_by(0.7)
        cases: dict[str, Callable[[], object]] = {
            "steady": _make_plan_call(offers, fleet, need, PlanState()),
            "zone lost": _make_plan_call(offers, fleet_after_loss, need, PlanState()),
            "release": _make_plan_call(offers, fleet, reduced_need, release_state),
            "empty": _make_plan_call(offers, (), need, PlanState()),
        }
        for name, run in cases.items():
            print(f"{engine_count:6} {name:10} {_best_ms(run):9.3f}")


def _make_plan_call(offers, fleet, need, state) -> Callable[[], object]:
    plan_input = PlanInput(service="model", needs=(need,), fleet=fleet, offers=offers)
    return lambda: plan(plan_input, state, PlanSettings(), DAY_MS)


def _best_ms(run: Callable[[], object]) -> float:
    best = float("inf")
    for _ in range(5):
        start_s = time.perf_counter()
        run()
        best = min(best, time.perf_counter() - start_s)
    return best * 1000


def main() -> None:
    """Run the benchmarks that the arguments select."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4])
    parser.add_argument(
        "--decisions", action="store_true", help="measure decisions only"
    )
    args = parser.parse_args()
    if not args.decisions:
        compare_policies(args.seeds)
    measure_decisions()


if __name__ == "__main__":
    main()
