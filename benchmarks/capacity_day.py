"""Simulated days for capacity: arrivals, prices, reclaim waves and refusals."""

from __future__ import annotations

import math
import random

import msgspec

from _monsoonpulley.control.demand import DemandSettings
from _monsoonpulley.control.fleet import Market
from _monsoonpulley.external.cloud import Price
from _monsoonpulley.ids import ZoneId

DAY_MS = 86_400_000
WINDOW_MS = DemandSettings().window_ms
PRICE_PERIOD_MS = 300_000
MACHINE_CLASS = "standard"
ZONES = tuple(ZoneId(f"zone-{letter}") for letter in "abcd")


class ServicePlan(msgspec.Struct, frozen=True):
    """Throughput, demand over the day and lead times of a service.

    Attributes
    ----------
    units_per_s : float
        Throughput of one endpoint at full utilization.
    base_per_s, peak_per_s : float
        Mean demand at night and at the daily peak.
    peak_h, width_h : float
        Hour and width of the peak.
    burst_ratio : float
        Highest ratio by which a burst raises the demand.
    start_ms, load_ms : int
        From order to running process, and time to load weights.
    """

    name: str
    units_per_s: float
    base_per_s: float
    peak_per_s: float
    peak_h: float
    width_h: float
    burst_ratio: float
    start_ms: int
    load_ms: int


DEPLOYMENTS = {
    "andina": (
        ServicePlan("model", 2_600, 4_000, 13_000, 15, 4, 0.6, 90_000, 40_000),
        ServicePlan("records", 60, 30, 120, 11, 5, 0.8, 45_000, 0),
    ),
    "lakes": (
        ServicePlan("model", 2_600, 6_000, 12_000, 10, 5, 0.9, 90_000, 40_000),
        ServicePlan("intake", 60, 40, 110, 9, 4, 0.5, 45_000, 0),
    ),
}


class Wave(msgspec.Struct, frozen=True):
    """A reclaim of all reclaimable instances of a zone.

    Notice comes at ``at_ms``, and the instances end ``notice_ms`` later.
    """

    zone: ZoneId
    at_ms: int
    notice_ms: int
    refused_until_ms: int


class Day(msgspec.Struct, frozen=True):
    """The events of a day, the same for every policy.

    Attributes
    ----------
    arrivals : tuple of float
        Units that arrive in each window.
    prices : tuple
        Prices of each period of ``PRICE_PERIOD_MS``.
    refusals : tuple
        Market, start and end of periods that refuse orders outside the waves.
    """

    arrivals: tuple[float, ...]
    prices: tuple[tuple[Price, ...], ...]
    waves: tuple[Wave, ...]
    refusals: tuple[tuple[Market, int, int], ...]

    def prices_at(self, now_ms: int) -> tuple[Price, ...]:
        """Return the prices at a time."""
        return self.prices[min(now_ms // PRICE_PERIOD_MS, len(self.prices) - 1)]

    def is_refused(self, market: Market, now_ms: int) -> bool:
        """Return whether an order is refused at a time."""
        if any(m == market and a <= now_ms < b for m, a, b in self.refusals):
            return True
        return market.reclaimable and any(
            wave.zone == market.zone and wave.at_ms <= now_ms < wave.refused_until_ms
            for wave in self.waves
        )


def make_day(plan: ServicePlan, seed: int) -> Day:
    """Return a day of a service; a seed always gives the same day."""
    rng = random.Random(f"{plan.name} {plan.peak_h} {seed}")
    return Day(_arrivals(plan, rng), _prices(rng), _waves(rng), _refusals(rng))


def _arrivals(plan: ServicePlan, rng: random.Random) -> tuple[float, ...]:
    units_by_window = []
    burst_until_ms, burst = 0, 0.0
    for start_ms in range(0, DAY_MS, WINDOW_MS):
        hour = start_ms / 3_600_000
        shape = math.exp(-(((hour - plan.peak_h) / plan.width_h) ** 2))
        mean = plan.base_per_s + (plan.peak_per_s - plan.base_per_s) * shape
        if start_ms >= burst_until_ms and rng.random() < 0.02:
            burst_until_ms = start_ms + rng.randrange(20_000, 120_000)
            burst = rng.uniform(0.2, plan.burst_ratio)
        factor = 1 + (burst if start_ms < burst_until_ms else 0.0)
        noise = max(0.5, rng.gauss(1.0, 0.08))
        units_by_window.append(mean * factor * noise * WINDOW_MS / 1000)
    return tuple(units_by_window)


def _prices(rng: random.Random) -> tuple[tuple[Price, ...], ...]:
    means = {zone: rng.uniform(380, 520) for zone in ZONES}
    logs = dict.fromkeys(ZONES, 0.0)
    periods = []
    for _ in range(DAY_MS // PRICE_PERIOD_MS):
        prices = []
        for zone in ZONES:
            logs[zone] = 0.97 * logs[zone] + rng.gauss(0, 0.04)
            milli_per_h = round(means[zone] * math.exp(logs[zone]))
            prices.append(Price(zone, MACHINE_CLASS, True, milli_per_h))
            prices.append(Price(zone, MACHINE_CLASS, False, 1_250))
        periods.append(tuple(prices))
    return tuple(periods)


def _waves(rng: random.Random) -> tuple[Wave, ...]:
    waves = []
    for zone in ZONES:
        at_ms = 0.0
        mean_ms = DAY_MS / rng.uniform(2, 5)
        while True:
            at_ms += rng.expovariate(1 / mean_ms)
            if at_ms >= DAY_MS:
                break
            notice_ms = rng.randrange(5_000, 30_000)
            until_ms = round(at_ms) + rng.randrange(600_000, 2_400_000)
            waves.append(Wave(zone, round(at_ms), notice_ms, until_ms))
            if rng.random() < 0.15:
                other = rng.choice([each for each in ZONES if each != zone])
                later_ms = round(at_ms) + rng.randrange(60_000)
                waves.append(Wave(other, later_ms, notice_ms, until_ms))
    return tuple(sorted(waves, key=lambda wave: wave.at_ms))


def _refusals(rng: random.Random) -> tuple[tuple[Market, int, int], ...]:
    refusals = []
    for zone in ZONES:
        for reclaimable, count in ((True, 8), (False, 2)):
            for _ in range(count):
                begin_ms = rng.randrange(DAY_MS)
                end_ms = begin_ms + rng.randrange(120_000, 1_800_000)
                refusals.append(
                    (Market(zone, MACHINE_CLASS, reclaimable), begin_ms, end_ms)
                )
    return tuple(refusals)
