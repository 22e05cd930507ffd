"""What a customer requests, by class of requests, and which share of it is admitted."""

from __future__ import annotations

import math

DEMAND_MEMORY_MS = 300.0
"""Time constant of the rates of what is requested: shorter than the bursts for which
quotas are made (seconds), longer than the gaps between a busy customer's requests."""

Rates = dict[int, float]
"""Cost per second of what is requested, by class."""


class DemandRates:
    """Rates of what is requested at one instance, by class of requests."""

    def __init__(self) -> None:
        self._rates: Rates = {}
        self._updated_ms = 0

    def record(self, request_class: int, cost: float, now_ms: int) -> None:
        """Count a request."""
        self._decay(now_ms)
        added = cost * 1000 / DEMAND_MEMORY_MS
        self._rates[request_class] = self._rates.get(request_class, 0.0) + added

    def rates(self, now_ms: int) -> Rates:
        """Return the rates by class."""
        self._decay(now_ms)
        return self._rates

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        factor = math.exp(-elapsed_ms / DEMAND_MEMORY_MS)
        self._updated_ms = now_ms
        self._rates = {
            request_class: rate * factor
            for request_class, rate in self._rates.items()
            if rate * factor >= 1e-3
        }


class PeerDemand:
    """Sums of the rates that peers report."""

    def __init__(self) -> None:
        self._by_peer: dict[str, dict[int, int]] = {}
        self._sums: Rates = {}

    @property
    def reporting_count(self) -> int:
        """Number of peers with a report."""
        return len(self._by_peer)

    @property
    def sums(self) -> Rates:
        """Sums of the reported rates by class."""
        return self._sums

    def update(self, peer: str, rates: dict[int, int] | None) -> None:
        """Replace the report of a peer; None if it has none."""
        previous = self._by_peer.pop(peer, None)
        if previous is None and rates is None:
            return
        for request_class, rate in (previous or {}).items():
            self._sums[request_class] -= rate
        for request_class, rate in (rates or {}).items():
            self._sums[request_class] = self._sums.get(request_class, 0.0) + rate
        if rates is not None:
            self._by_peer[peer] = rates


RETURN_CLASS = -1
"""Class of requests that return after a refusal, which go before new ones."""

CLASSES_PER_RANK = 64
"""Classes of one rank, by the binary logarithm of their mean cost."""

COST_WEIGHT = 0.1
"""Weight of a request in its kind's mean cost: a kind's size is known after ten."""

MAX_KINDS = 64
"""Kinds with a mean cost of their own for each customer; more use their rank's."""

FLOOR_SHARE = 0.32
"""Least share of any class, relative to that of all requests. Users require a quarter;
the rest covers that the mix of requests changes while digests travel."""

FLOOR_ROUNDS = 7
"""Rounds of finding that least share by bisection, to about one in a hundred."""


class KindCosts:
    """Mean costs of one customer's kinds of requests, and the classes they are in."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, kind: str, rank: int, cost: float) -> int:
        """Count a request's cost; return its class, the lowest to be admitted first."""
        if kind not in self._means and len(self._means) >= MAX_KINDS:
            kind = ""
        mean = self._means.get(kind, cost)
        mean += COST_WEIGHT * (cost - mean)
        self._means[kind] = mean
        level = max(0, min(CLASSES_PER_RANK - 1, round(math.log2(max(1.0, mean)))))
        return CLASSES_PER_RANK * rank + level


def mean_cost(request_class: int) -> float:
    """Return about what a request of a class costs."""
    return float(2 ** (request_class % CLASSES_PER_RANK))


def share_in_order(rates: Rates, allowed_per_s: float) -> dict[int, float]:
    """Return the share of each class's requests to admit.

    Urgent classes come first, and cheap ones among equally urgent. No class is served
    less than `FLOOR_SHARE` times as often as all requests together.
    """
    total = sum(rates.values())
    if total <= max(0.0, allowed_per_s):
        return dict.fromkeys(rates, 1.0)
    counts = {name: rate / mean_cost(name) for name, rate in rates.items()}
    all_count = sum(counts.values())
    low, high = 0.0, max(0.0, allowed_per_s) / total
    for _ in range(FLOOR_ROUNDS):
        floor = (low + high) / 2
        shares = _fill(rates, allowed_per_s, floor)
        served = sum(counts[name] * share for name, share in shares.items())
        if floor * all_count < FLOOR_SHARE * served:
            low = floor
        else:
            high = floor
    return _fill(rates, allowed_per_s, high)


def _fill(rates: Rates, allowed_per_s: float, floor: float) -> dict[int, float]:
    """Return the shares if each class gets a least share, then one after another."""
    total = sum(rates.values())
    floor = min(floor, max(0.0, allowed_per_s) / total)
    left = max(0.0, allowed_per_s) - floor * total
    shares = {}
    for name in sorted(rates):
        extra = min(left, rates[name] * (1.0 - floor))
        left -= extra
        shares[name] = floor + extra / rates[name] if rates[name] > 0 else 1.0
    return shares
