"""Usage: requests that endpoints have started, by window and customer."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from ..ids import CustomerId, InstanceId

RETAINED_WINDOWS = 5
"""Windows retained: the one in progress, those until a report is due two windows
after its window's end, and one more for a new holder that starts late."""


SETTLE_MS = 2_000
"""Time after a window's end until its counts are final: a plain request counts in
the window of its start, but only once its answer is complete."""


class UsageCounter:
    """Request counts of this instance and, from their digests, of its peers.

    Parameters
    ----------
    window_s : float
        Length of a window; window ``k`` starts at ``k * window_s`` of wall time.
    """

    def __init__(self, window_s: float):
        self._window_ms = max(1, round(window_s * 1000))
        self._own_counts: dict[int, dict[str, int]] = defaultdict(dict)
        self._peer_counts: dict[tuple[InstanceId, int], dict[int, dict[str, int]]] = {}
        self._counted_until_ms: dict[InstanceId, int] = {}

    def window_of(self, wall_ms: int) -> int:
        """Return the number of the window that contains a wall time."""
        return wall_ms // self._window_ms

    def window_end_ms(self, window: int) -> int:
        """Return the wall time at which a window ends."""
        return (window + 1) * self._window_ms

    def record_start(self, customer: CustomerId, wall_ms: int) -> None:
        """Count a request that an endpoint started at ``wall_ms``."""
        window = self.window_of(wall_ms)
        counts = self._own_counts[window]
        counts[customer] = counts.get(customer, 0) + 1
        _expire(self._own_counts, window)

    def own_counts(self) -> dict[int, dict[str, int]]:
        """Return this instance's counts, for its digest."""
        return dict(self._own_counts)

    def update_peer_counts(
        self,
        instance: InstanceId,
        incarnation: int,
        counts: dict[int, dict[str, int]],
        counted_until_ms: int | None,
    ) -> None:
        """Update an incarnation's counts; keep those of earlier incarnations.

        Counts only grow: lower ones are older, and arrive when an instance passes
        them on that no longer hears the peer itself.

        Parameters
        ----------
        instance, incarnation : InstanceId, int
            The peer and its start.
        counts : dict
            Its counts by window and customer.
        counted_until_ms : int or None
            Its wall time when it took the counts; None if another instance passes
            them on because this incarnation has ended.
        """
        stored = self._peer_counts.setdefault((instance, incarnation), {})
        for window, by_customer in counts.items():
            known = stored.setdefault(window, {})
            for customer, count in by_customer.items():
                known[customer] = max(count, known.get(customer, 0))
        if counted_until_ms is not None:
            self._counted_until_ms[instance] = counted_until_ms

    def is_complete(self, window: int, instances: Iterable[InstanceId]) -> bool:
        """Return whether the counts of a window from all these peers are final."""
        final_ms = self.window_end_ms(window) + SETTLE_MS
        return all(
            self._counted_until_ms.get(instance, 0) >= final_ms
            for instance in instances
        )

    def has_counts(self, window: int) -> bool:
        """Return whether a peer has reported counts of a window."""
        return any(window in counts for counts in self._peer_counts.values())

    def ended_counts(
        self, incarnations: dict[InstanceId, int]
    ) -> list[tuple[InstanceId, int, dict[int, dict[str, int]]]]:
        """Return the counts of incarnations that no longer report them.

        Parameters
        ----------
        incarnations : dict
            Current incarnation of each instance that still reports.

        Returns
        -------
        list of tuple
            Instance, incarnation, and counts by window and customer.
        """
        return [
            (instance, incarnation, counts)
            for (instance, incarnation), counts in self._peer_counts.items()
            if incarnations.get(instance) != incarnation
        ]

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of a window, summed over all known instances."""
        totals: dict[str, int] = dict(self._own_counts.get(window, {}))
        for counts in self._peer_counts.values():
            for customer, count in counts.get(window, {}).items():
                totals[customer] = totals.get(customer, 0) + count
        return totals

    def expire(self, wall_ms: int) -> None:
        """Remove windows that are too old to be reported."""
        newest = self.window_of(wall_ms)
        _expire(self._own_counts, newest)
        for key, counts in list(self._peer_counts.items()):
            _expire(counts, newest)
            if not counts:
                del self._peer_counts[key]
        oldest_ms = self.window_end_ms(newest - RETAINED_WINDOWS)
        self._counted_until_ms = {
            instance: until_ms
            for instance, until_ms in self._counted_until_ms.items()
            if until_ms >= oldest_ms
        }


def _expire(counts: dict[int, dict[str, int]], newest: int) -> None:
    for window in [w for w in counts if w <= newest - RETAINED_WINDOWS]:
        del counts[window]
