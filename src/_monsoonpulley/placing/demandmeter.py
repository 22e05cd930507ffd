"""Rate at which work arrives for each service, over all instances.

Each instance counts the requests that arrive and the prompt tokens that they need to
have prefilled, also of those that it refuses, and sends the totals in its digests.
"""

from __future__ import annotations

import math

import msgspec

from ..ids import InstanceId, ServiceId

SMOOTHING_MS = 3_000
"""Time constant of the rates: bursts last seconds, and so does the start of an
endpoint."""

MIN_WEIGHT = 0.3
"""A new rate counts as lower than measured until a second has passed: the first few
requests say little."""

PEER_EXPIRY_MS = 3_000
"""A peer that is silent for longer counts as stopped: its callers go elsewhere."""

MAX_INTERVAL_MS = 2_000
"""A total that covers a longer time arrives after a partition, and says little about
the present rate."""

Totals = tuple[float, float, float]
"""Requests, kilotokens to prefill, and the squares of the latter, since the start."""

NO_WORK: Totals = (0.0, 0.0, 0.0)


class Demand(msgspec.Struct, frozen=True):
    """Work that arrives for a service.

    Attributes
    ----------
    requests_per_s : float
        Arriving requests.
    kilotokens_per_s : float
        Prompt tokens to prefill, in thousands.
    square_kilotokens_per_s : float
        Sum of the squares of the requests' kilotokens.
    """

    requests_per_s: float = 0.0
    kilotokens_per_s: float = 0.0
    square_kilotokens_per_s: float = 0.0


class _Rate(msgspec.Struct):
    """Totals of one instance for one service, and their smoothed rates per second."""

    incarnation: int
    totals: Totals
    updated_ms: int
    smoothed: Totals = NO_WORK
    weight: float = 0.0
    """Sum of the weights in ``smoothed``: below 1 while the rate is new."""

    @property
    def per_s(self) -> Totals:
        weight = max(MIN_WEIGHT, self.weight)
        return tuple(value / weight for value in self.smoothed)

    def update(self, incarnation: int, totals: Totals, now_ms: int) -> None:
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms <= 0:
            return
        is_comparable = (
            incarnation == self.incarnation and elapsed_ms <= MAX_INTERVAL_MS
        )
        if is_comparable:
            weight = 1 - math.exp(-elapsed_ms / SMOOTHING_MS)
            self.weight += weight * (1 - self.weight)
            self.smoothed = tuple(
                old + weight * ((new - before) * 1000 / elapsed_ms - old)
                for old, new, before in zip(
                    self.smoothed, totals, self.totals, strict=True
                )
            )
        self.incarnation, self.totals, self.updated_ms = incarnation, totals, now_ms


class DemandMeter:
    """Arrival rates of work by service.

    Parameters
    ----------
    own : InstanceId
        This instance.
    """

    def __init__(self, own: InstanceId):
        self._own = own
        self._own_totals: dict[ServiceId, Totals] = {}
        self._rates: dict[ServiceId, dict[InstanceId, _Rate]] = {}

    def record(self, service: ServiceId, prefill_tokens: int) -> None:
        """Count a request that arrived at this instance."""
        count, kilotokens, squares = self._own_totals.get(service, NO_WORK)
        k = prefill_tokens / 1000
        self._own_totals[service] = (count + 1, kilotokens + k, squares + k * k)

    def own_totals(self) -> dict[str, Totals]:
        """Return this instance's totals, for its digest."""
        return dict(self._own_totals)

    def refresh_own(self, now_ms: int) -> None:
        """Update this instance's own rates."""
        self.update(self._own, 0, self._own_totals, now_ms)

    def update(
        self,
        instance: InstanceId,
        incarnation: int,
        totals: dict[ServiceId, Totals],
        now_ms: int,
    ) -> None:
        """Update the rates of an instance by its totals."""
        for service, service_totals in totals.items():
            rates = self._rates.setdefault(service, {})
            rate = rates.get(instance)
            if rate is None:
                rates[instance] = _Rate(incarnation, service_totals, now_ms)
            else:
                rate.update(incarnation, service_totals, now_ms)

    def expire(self, now_ms: int) -> None:
        """Remove the rates of instances that are silent."""
        for rates in self._rates.values():
            for instance, rate in list(rates.items()):
                if now_ms - rate.updated_ms > PEER_EXPIRY_MS:
                    del rates[instance]

    def demand(self, service: ServiceId) -> Demand:
        """Return the work that arrives for a service at all instances."""
        rates = self._rates.get(service, {}).values()
        sums = [sum(rate.per_s[index] for rate in rates) for index in range(3)]
        return Demand(*sums)
