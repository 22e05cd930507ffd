"""Sums over answers that instances share in digests.

Each instance of a large fleet sees few answers. It sends the sums over its own, and
adds those of its peers. Older answers lose weight.
"""

from __future__ import annotations

HALF_LIFE_MS = 15_000
"""Half-life of an answer's weight: endpoints turn slow, and are replaced, in
seconds."""

Sums = tuple[float, ...]


class SharedSums:
    """Sums of a fixed number of terms, over this instance's answers and its peers'.

    Parameters
    ----------
    count : int
        Number of terms.

    Attributes
    ----------
    change_count : int
        Number of changes of the sums, apart from their decay.
    """

    def __init__(self, count: int):
        self._count = count
        self._own = [0.0] * count
        self._decayed_ms = 0
        self._sums_by_peer: dict[str, Sums] = {}
        self._peer_totals = [0.0] * count
        self.change_count = 0

    def add(self, terms: Sums, weight: float, now_ms: int) -> None:
        """Add the terms of one answer."""
        self._decay(now_ms)
        self.change_count += 1
        for index, term in enumerate(terms):
            self._own[index] += weight * term

    def own(self, now_ms: int) -> Sums:
        """Return this instance's sums, for its digest."""
        self._decay(now_ms)
        return tuple(round(value, 3) for value in self._own)

    def update_peer(self, peer: str, sums: Sums) -> None:
        """Replace a peer's sums; empty ones remove them."""
        if sums and len(sums) != self._count:
            return
        self.change_count += 1
        previous = self._sums_by_peer.pop(peer, None)
        if previous is not None:
            self._add_to_totals(previous, -1)
        if sums:
            self._sums_by_peer[peer] = sums
            self._add_to_totals(sums, 1)

    def totals(self) -> list[float]:
        """Return the sums over all instances."""
        return [a + b for a, b in zip(self._own, self._peer_totals, strict=True)]

    def _add_to_totals(self, sums: Sums, sign: int) -> None:
        for index, value in enumerate(sums):
            self._peer_totals[index] += sign * value

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._decayed_ms
        if elapsed_ms <= 0:
            return
        self._decayed_ms = now_ms
        factor = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self._own = [value * factor for value in self._own]
