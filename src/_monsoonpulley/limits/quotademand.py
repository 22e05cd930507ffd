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


def share_evenly(rates: Rates, allowed_per_s: float) -> dict[int, float]:
    """Return the share of each class's requests to admit, the same for all."""
    total = sum(rates.values())
    share = 1.0 if total <= allowed_per_s else max(0.0, allowed_per_s) / total
    return dict.fromkeys(rates, share)
