"""A customer's usage over the sliding window of its quota."""

from __future__ import annotations

from collections.abc import Sequence

SLOT_COUNT = 32
"""Slots of a window: usage leaves it in steps of 3 in 100, a third of the tolerance
that platforms usually allow."""


class SlotUsage:
    """Usage by slots of time: that of this instance, and that of its peers.

    Parameters
    ----------
    window_ms : float
        Length of the window.
    now_ms : int
        Monotonic time.
    """

    def __init__(self, window_ms: float, now_ms: int):
        self.slot_ms = window_ms / SLOT_COUNT
        self._own = [0.0] * (SLOT_COUNT + 1)
        self._peers = [0.0] * (SLOT_COUNT + 1)
        self._index = self.index_of(now_ms)

    def index_of(self, at_ms: float) -> int:
        """Return the number of the slot that a time is in."""
        return int(at_ms // self.slot_ms)

    def add_own(self, cost: float, now_ms: int) -> None:
        """Count usage of this instance."""
        self._advance(now_ms)
        self._own[self._index % len(self._own)] += cost

    def take_back(self, cost: float) -> None:
        """Uncount usage of this instance, the latest first."""
        for index in range(self._index, self._index - SLOT_COUNT - 1, -1):
            taken = min(cost, self._own[index % len(self._own)])
            self._own[index % len(self._own)] -= taken
            cost -= taken

    def add_peers(
        self, cost: float, since_ms: float, until_ms: float, now_ms: int
    ) -> None:
        """Count usage of a peer, spread evenly over a span of time."""
        self._advance(now_ms)
        oldest = self._index - SLOT_COUNT
        first = max(oldest, self.index_of(since_ms))
        last = min(self._index, max(first, self.index_of(until_ms)))
        share = cost / (last - first + 1)
        for index in range(first, last + 1):
            self._peers[index % len(self._peers)] += share

    def add_alike(self, cost: float, since_ms: float, now_ms: int) -> None:
        """Count usage of a peer that was not heard of since a time.

        It is spread like the usage that is known, as callers are spread over all
        instances.
        """
        self._advance(now_ms)
        size = len(self._own)
        first = max(self._index - SLOT_COUNT, self.index_of(since_ms))
        span = [index % size for index in range(first, self._index + 1)]
        known = [max(0.0, self._own[i] + self._peers[i]) for i in span]
        total = sum(known)
        for i, usage in zip(span, known, strict=True):
            self._peers[i] += cost * usage / total if total else cost / len(span)

    def profile(self, now_ms: int, unreported: float) -> tuple[int, ...]:
        """Return the usage by slot, the oldest first.

        ``unreported`` is added to the last one.
        """
        slots = self.by_slot(now_ms, [1.0] * (SLOT_COUNT + 1))
        slots[-1] += unreported
        return tuple(round(cost) for cost in slots)

    def adopt(self, profile: Sequence[int], now_ms: int) -> None:
        """Replace the usage of peers by a profile that a peer has sent."""
        self._advance(now_ms)
        size = len(self._own)
        first = self._index - SLOT_COUNT
        for offset, total in enumerate(profile[-size:]):
            index = (first + offset) % size
            self._peers[index] = max(0.0, total - self._own[index])

    def scale(self, factor: float) -> None:
        """Multiply all usage by a factor."""
        self._own = [cost * factor for cost in self._own]
        self._peers = [cost * factor for cost in self._peers]

    def by_slot(self, now_ms: int, peer_shares: Sequence[float]) -> list[float]:
        """Return the usage of each slot in the window, the oldest first.

        Of the oldest slot, the part is returned that is still in the window.

        Parameters
        ----------
        now_ms : int
            Monotonic time.
        peer_shares : sequence of float
            Share of the peers' usage to count, by slot, the oldest first.
        """
        self._advance(now_ms)
        start = (self._index + 1) % len(self._own)
        own = self._own[start:] + self._own[:start]
        peers = self._peers[start:] + self._peers[:start]
        slots = [a + b * c for a, b, c in zip(own, peers, peer_shares, strict=True)]
        slots[0] *= 1.0 - self.elapsed_share(now_ms)
        return slots

    def elapsed_share(self, now_ms: int) -> float:
        """Return the share of the current slot that has passed."""
        return now_ms / self.slot_ms - self._index

    def _advance(self, now_ms: int) -> None:
        index = self.index_of(now_ms)
        size = len(self._own)
        for new in range(max(self._index + 1, index - SLOT_COUNT), index + 1):
            self._own[new % size] = self._peers[new % size] = 0.0
        self._index = max(self._index, index)


def departing(
    slots: Sequence[float], slot_ms: float, elapsed_share: float, horizon_ms: float
) -> float:
    """Return how much of a window's usage leaves it within a time.

    Parameters
    ----------
    slots : sequence of float
        Usage by slot, the oldest first; see `SlotUsage.by_slot`.
    slot_ms : float
        Length of a slot.
    elapsed_share : float
        Share of the current slot that has passed.
    horizon_ms : float
        The time, at most one slot.
    """
    first_ms = slot_ms * (1.0 - elapsed_share)
    if horizon_ms <= first_ms:
        return slots[0] * horizon_ms / first_ms
    return slots[0] + slots[1] * (horizon_ms - first_ms) / slot_ms


def reserve_for(
    rate_per_ms: float, slots: Sequence[float], slot_ms: float, elapsed_share: float
) -> float:
    """Return what must stay unused so that a rate can be served all along.

    That is the largest amount by which the rate exceeds what has left the window
    until some time; for the other parameters see `departing`.
    """
    per_slot = rate_per_ms * slot_ms
    needed = most = per_slot * (1.0 - elapsed_share) - slots[0]
    for cost in slots[1:-1]:
        needed += per_slot - cost
        if needed > most:
            most = needed
    return max(0.0, most, needed + per_slot * elapsed_share - slots[-1])
