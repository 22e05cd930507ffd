"""Rules for the choice between data centres, by name.

``local-first-by-prediction`` is what the product uses; the others are there
for measurements. Each rule is pure: it compares what the local data centre and
the reachable others offer a request. A request is sent straight to an endpoint,
so it never goes through a second data centre, whatever the rule.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from ..ids import ZoneId
from ..registry import Registry
from .prediction import Prediction

ZONE_ROUND_TRIP_MS = 2
DEFAULT_MACHINE_PRICE_PER_HOUR = 1.0
DEFAULT_TARGET_RATIO = 0.5
DEFAULT_TRADEOFF_MS_PER_MICRO = 1.0
MS_PER_HOUR = 3_600_000
MICROS = 1_000_000


class Prices(msgspec.Struct, frozen=True):
    """What work costs by data centre; equal everywhere unless given.

    Attributes
    ----------
    machine_per_hour : dict
        Price of one worker for an hour, by data centre.
    transfer_per_million_tokens : float
        Price of a million tokens between data centres.
    """

    machine_price_per_hour: dict[ZoneId, float] = {}
    transfer_price_per_million_tokens: float = 0.0

    def cost_micros(
        self, zone: ZoneId, local: ZoneId, work_ms: float, tokens: int
    ) -> float:
        """Return the price of a request at ``zone``, in millionths.

        Parameters
        ----------
        zone, local : ZoneId
            Where it would run, and where it is now.
        work_ms : float
            Time at the worker without the wait.
        tokens : int
            Tokens to transfer if the two differ.
        """
        price_per_hour = self.machine_price_per_hour.get(
            zone, DEFAULT_MACHINE_PRICE_PER_HOUR
        )
        cost = MICROS * price_per_hour * work_ms / MS_PER_HOUR
        if zone != local:
            cost += self.transfer_price_per_million_tokens * tokens
        return cost


EQUAL_PRICES = Prices()


class ZoneOffer(msgspec.Struct, frozen=True):
    """What one data centre offers a request.

    Attributes
    ----------
    time_ms : float
        Predicted time at its best endpoint, as the class target counts it.
    backlog_ms : float
        Mean wait at the endpoints that were looked at.
    cost_micros : float
        Price of the request there, see `Prices.cost_micros`.
    """

    zone: ZoneId
    time_ms: float
    backlog_ms: float = 0.0
    cost_micros: float = 0.0

    @classmethod
    def from_predictions(
        cls,
        ranked: Sequence[Prediction],
        time_ms: float,
        local: ZoneId,
        tokens: int,
        prices: Prices,
    ) -> ZoneOffer:
        """Return the offer of a data centre with ``ranked``, best first."""
        best = ranked[0]
        backlog_ms = sum(p.queue_ms for p in ranked) / len(ranked)
        work_ms = best.completion_ms - best.queue_ms
        cost = prices.cost_micros(best.zone, local, work_ms, tokens)
        return cls(best.zone, time_ms, backlog_ms, cost)


class OverflowRule(Protocol):
    """Chooses between the local data centre and others.

    Attributes
    ----------
    max_other_zones : int
        How many others to look at.
    """

    max_remote_zones: int

    def is_local_enough(self, local: ZoneOffer, target_ms: float) -> bool:
        """Return whether others need not be looked at."""
        ...

    def choose(self, local: ZoneOffer, remote_offers: Sequence[ZoneOffer]) -> ZoneOffer:
        """Return the offer to take; ``others`` has at least one."""
        ...


OverflowFactory = Callable[[], OverflowRule]
OVERFLOW_RULES: Registry[OverflowFactory] = Registry("overflow rule")


def _choose_least_predicted(
    local: ZoneOffer, remote_offers: Sequence[ZoneOffer]
) -> ZoneOffer:
    best = min(remote_offers, key=lambda offer: offer.time_ms)
    # Hysteresis: a lead below the way there and back is no reason to leave.
    return best if best.time_ms + ZONE_ROUND_TRIP_MS < local.time_ms else local


@OVERFLOW_RULES.register("local-first-by-prediction")
class LocalFirst:
    """Local when it meets the target with headroom, else the least time.

    Parameters
    ----------
    target_ratio : float
        Part of the target that local may take; the rest is headroom for the
        error of predictions.
    """

    max_remote_zones = 2

    def __init__(self, target_ratio: float = DEFAULT_TARGET_RATIO):
        self.target_ratio = target_ratio

    def is_local_enough(self, local: ZoneOffer, target_ms: float) -> bool:
        """Return whether the local data centre meets the target in its part."""
        return local.time_ms <= self.target_ratio * target_ms

    def choose(self, local: ZoneOffer, remote_offers: Sequence[ZoneOffer]) -> ZoneOffer:
        """Return the least predicted time, local unless others lead."""
        return _choose_least_predicted(local, remote_offers)


@OVERFLOW_RULES.register("least-predicted")
class LeastPredicted:
    """The least predicted time in any data centre, for comparison."""

    max_remote_zones = 8

    def is_local_enough(self, local: ZoneOffer, target_ms: float) -> bool:
        """Return ``False``: others may always be faster."""
        return False

    def choose(self, local: ZoneOffer, remote_offers: Sequence[ZoneOffer]) -> ZoneOffer:
        """Return the least predicted time, local unless others lead."""
        return _choose_least_predicted(local, remote_offers)


@OVERFLOW_RULES.register("backlog-difference")
class BacklogDifference:
    """The greatest positive backlog difference minus cost, for comparison.

    Drift-plus-penalty: a request goes where the local backlog exceeds the
    other's by more than ``tradeoff`` times what it costs more there.

    Parameters
    ----------
    tradeoff_ms_per_micro : float
        Backlog for which a millionth of the price's unit is paid; V in the
        literature. 0 balances backlogs at any price.
    """

    max_remote_zones = 8

    def __init__(self, tradeoff_ms_per_micro: float = DEFAULT_TRADEOFF_MS_PER_MICRO):
        self.tradeoff_ms_per_micro = tradeoff_ms_per_micro

    def is_local_enough(self, local: ZoneOffer, target_ms: float) -> bool:
        """Return ``False``: the rule knows no target."""
        return False

    def choose(self, local: ZoneOffer, remote_offers: Sequence[ZoneOffer]) -> ZoneOffer:
        """Return the offer of greatest weight, local unless one is positive."""

        def weight_ms(offer: ZoneOffer) -> float:
            extra_cost_micros = offer.cost_micros - local.cost_micros
            difference_ms = local.backlog_ms - offer.backlog_ms
            return difference_ms - self.tradeoff_ms_per_micro * extra_cost_micros

        best = max(remote_offers, key=weight_ms)
        return best if weight_ms(best) > ZONE_ROUND_TRIP_MS else local
