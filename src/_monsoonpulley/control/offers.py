"""Offers for the planner, made of prices, machine profiles and reclaim rates."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from ..external.cloud import Price
from ..ids import ZoneId
from .fleet import Market, Offer

MS_PER_H = 3_600_000


class MachineProfile(msgspec.Struct, frozen=True):
    """Performance of a machine class for a service.

    Attributes
    ----------
    units_per_s : float
        Tokens or requests that an instance serves a second at full utilization.
    start_ms : int
        From the order until its process runs, without loading weights.
    """

    units_per_s: float
    start_ms: int


class ReclaimRates:
    """Expected waves of reclaims per hour in each zone, from observed notices.

    Notices in a zone within ``wave_ms`` of the first one count as one wave. The
    rate starts at ``prior_per_h``, which has the weight of ``prior_h`` hours of
    observation.
    """

    def __init__(
        self,
        started_ms: int,
        prior_per_h: float = 0.1,
        prior_h: float = 10.0,
        wave_ms: int = 120_000,
    ):
        self._started_ms = started_ms
        self._prior_per_h = prior_per_h
        self._prior_h = prior_h
        self._wave_ms = wave_ms
        self._wave_count_by_zone: dict[ZoneId, int] = {}
        self._wave_start_ms: dict[ZoneId, int] = {}

    def record_notice(self, zone: ZoneId, now_ms: int) -> None:
        """Record a reclaim notice in a zone."""
        wave_start_ms = self._wave_start_ms.get(zone)
        if wave_start_ms is None or now_ms - wave_start_ms > self._wave_ms:
            self._wave_count_by_zone[zone] = self._wave_count_by_zone.get(zone, 0) + 1
            self._wave_start_ms[zone] = now_ms

    def waves_per_h(self, zone: ZoneId, now_ms: int) -> float:
        """Return the expected waves per hour."""
        observed_h = (now_ms - self._started_ms) / MS_PER_H
        waves = self._prior_per_h * self._prior_h + self._wave_count_by_zone.get(
            zone, 0
        )
        return waves / (self._prior_h + observed_h)


def make_offers(
    prices: Iterable[Price],
    profiles: Mapping[str, MachineProfile],
    rates: ReclaimRates,
    now_ms: int,
) -> tuple[Offer, ...]:
    """Return an offer for each price whose machine class has a profile."""
    offers = []
    for price in prices:
        profile = profiles.get(price.machine_class)
        if profile is None:
            continue
        market = Market(price.zone, price.machine_class, price.reclaimable)
        rate = rates.waves_per_h(price.zone, now_ms) if price.reclaimable else 0.0
        offers.append(
            Offer(
                market, price.milli_per_h, profile.units_per_s, profile.start_ms, rate
            )
        )
    return tuple(offers)
