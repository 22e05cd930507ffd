"""Overflow rules by name: the choice between data centres for a request.

``local-first-by-prediction`` is used in production; the others are for
benchmarks. Each rule is a pure function of the offers of the local data centre
and of other reachable ones. A request is always sent directly to the chosen endpoint,
never through an instance of that endpoint's data centre.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from ..ids import ZoneId
from ..registry import Registry
from .prediction import Prediction

ZONE_ROUND_TRIP_MS = 2
"""Round trip to another data centre; the lead of a remote offer must exceed it."""
DEFAULT_MACHINE_PRICE_PER_HOUR = 1.0
DEFAULT_TARGET_RATIO = 0.5
DEFAULT_TRADEOFF_MS_PER_MICRO = 1.0
MS_PER_HOUR = 3_600_000
MICROS = 1_000_000


class Prices(msgspec.Struct, frozen=True):
    """Prices by data centre, in currency units.

    Attributes
    ----------
    machine_price_per_hour : dict
        Price of one endpoint's machine for an hour, by data centre; a data centre
        that is missing costs `DEFAULT_MACHINE_PRICE_PER_HOUR`.
    transfer_price_per_million_tokens : float
        Price of transferring a million tokens between data centres.
    """

    machine_price_per_hour: dict[ZoneId, float] = {}
    transfer_price_per_million_tokens: float = 0.0

    def cost_micros(
        self, zone: ZoneId, local: ZoneId, work_ms: float, tokens: int
    ) -> float:
        """Return the price of a request at ``zone``, in millionths of a currency unit.

        Parameters
        ----------
        zone, local : ZoneId
            Data centre where it would run, and where it is now.
        work_ms : float
            Service time at the endpoint, without queue wait.
        tokens : int
            Tokens to transfer if the two differ.
        """
        price_per_hour = self.machine_price_per_hour.get(
            zone, DEFAULT_MACHINE_PRICE_PER_HOUR
        )
        cost = MICROS * price_per_hour * work_ms / MS_PER_HOUR
        if zone != local:
            # A price per million tokens is the price of one token in millionths.
            cost += self.transfer_price_per_million_tokens * tokens
        return cost


EQUAL_PRICES = Prices()


class ZoneOffer(msgspec.Struct, frozen=True):
    """Predicted time, backlog and price of a request in one data centre.

    Attributes
    ----------
    time_ms : float
        Predicted time at its best endpoint: to the first token or to completion,
        whichever the target of the request's class limits.
    backlog_ms : float
        Mean queue wait of the ranked endpoints.
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
        """Return the offer of a data centre.

        Parameters
        ----------
        ranked : sequence of Prediction
            Predictions for the ranked endpoints, best first.
        time_ms : float
            The best endpoint's time, as the class target measures it.
        local : ZoneId
            Data centre where the request is now.
        tokens : int
            Tokens to transfer if the offer is of another data centre.
        prices : Prices
            Prices of machines and transfers.
        """
        best = ranked[0]
        backlog_ms = sum(p.queue_ms for p in ranked) / len(ranked)
        work_ms = best.completion_ms - best.queue_ms
        cost = prices.cost_micros(best.zone, local, work_ms, tokens)
        return cls(best.zone, time_ms, backlog_ms, cost)


class OverflowRule(Protocol):
    """Choice between the local data centre and others.

    Attributes
    ----------
    remote_zones_to_rank : int
        Other data centres to rank. If none of them has a usable endpoint, further
        ones are ranked until one has.
    """

    remote_zones_to_rank: int

    def is_local_enough(self, local: ZoneOffer, target_ms: float) -> bool:
        """Return whether other data centres need not be ranked."""
        ...

    def choose(self, local: ZoneOffer, remote_offers: Sequence[ZoneOffer]) -> ZoneOffer:
        """Return the chosen offer; ``remote_offers`` has at least one."""
        ...


OverflowFactory = Callable[[], OverflowRule]
OVERFLOW_RULES: Registry[OverflowFactory] = Registry("overflow rule")


def _choose_least_predicted(
    local: ZoneOffer, remote_offers: Sequence[ZoneOffer]
) -> ZoneOffer:
    best = min(remote_offers, key=lambda offer: offer.time_ms)
    # A lead no greater than the round trip does not justify leaving.
    return best if best.time_ms + ZONE_ROUND_TRIP_MS < local.time_ms else local


@OVERFLOW_RULES.register("local-first-by-prediction")
class LocalFirst:
    """Local if it meets the target with headroom, else the least time.

    Parameters
    ----------
    target_ratio : float
        Fraction of the class target that the local predicted time may reach; the
        rest is headroom for prediction error.
    """

    remote_zones_to_rank = 2

    def __init__(self, target_ratio: float = DEFAULT_TARGET_RATIO):
        self.target_ratio = target_ratio

    def is_local_enough(self, local: ZoneOffer, target_ms: float) -> bool:
        """Return whether the local time is at most `target_ratio` of the target."""
        return local.time_ms <= self.target_ratio * target_ms

    def choose(self, local: ZoneOffer, remote_offers: Sequence[ZoneOffer]) -> ZoneOffer:
        """Return the least predicted time, unless its lead is too small."""
        return _choose_least_predicted(local, remote_offers)


@OVERFLOW_RULES.register("least-predicted")
class LeastPredicted:
    """The least predicted time in any data centre, as a baseline."""

    remote_zones_to_rank = 8

    def is_local_enough(self, local: ZoneOffer, target_ms: float) -> bool:
        """Return ``False``: other data centres may always be faster."""
        return False

    def choose(self, local: ZoneOffer, remote_offers: Sequence[ZoneOffer]) -> ZoneOffer:
        """Return the least predicted time, unless its lead is too small."""
        return _choose_least_predicted(local, remote_offers)


@OVERFLOW_RULES.register("backlog-difference")
class BacklogDifference:
    """The greatest positive backlog difference minus cost, as a baseline.

    A request leaves for another data centre if the local backlog exceeds that
    one's by more than the tradeoff times the extra cost plus the round trip. The
    literature calls this drift-plus-penalty.

    Parameters
    ----------
    tradeoff_ms_per_micro : float
        Backlog difference in milliseconds that outweighs an extra cost of a
        millionth of a currency unit; V in the literature. 0 ignores cost.
    """

    remote_zones_to_rank = 8

    def __init__(self, tradeoff_ms_per_micro: float = DEFAULT_TRADEOFF_MS_PER_MICRO):
        self.tradeoff_ms_per_micro = tradeoff_ms_per_micro

    def is_local_enough(self, local: ZoneOffer, target_ms: float) -> bool:
        """Return ``False``: the rule does not use the target."""
        return False

    def choose(self, local: ZoneOffer, remote_offers: Sequence[ZoneOffer]) -> ZoneOffer:
        """Return the offer of greatest weight, local if none is large enough."""

        def weight_ms(offer: ZoneOffer) -> float:
            extra_cost_micros = offer.cost_micros - local.cost_micros
            difference_ms = local.backlog_ms - offer.backlog_ms
            return difference_ms - self.tradeoff_ms_per_micro * extra_cost_micros

        best = max(remote_offers, key=weight_ms)
        return best if weight_ms(best) > ZONE_ROUND_TRIP_MS else local
