"""Requests and results of a roll-out, summed over all instances.

Each instance sends what it has counted since the order began. Sums since then, unlike
news, lose nothing when a message is lost or a receiver starts again.
"""

from __future__ import annotations

import msgspec

from ..control.versionresults import Counts, RouteCounts, VersionResults
from ..ids import InstanceId, ServiceId

MAX_ROUTES = 32
"""Routes that are counted one by one. They fit into one message with the rest."""

OTHER_ROUTES = "*"
"""Name under which all further routes are counted."""


class Tally(msgspec.Struct, array_like=True, frozen=True):
    """What one instance has counted of an order.

    Attributes
    ----------
    service : ServiceId
        Service of the order.
    row_version : int
        Version of the order's row, which identifies it.
    new_sent, old_sent : int
        Requests that it sent to endpoints of either version.
    routes : dict of str to RouteCounts
        Results of both versions by route.
    """

    service: ServiceId
    row_version: int
    new_sent: int = 0
    old_sent: int = 0
    routes: dict[str, RouteCounts] = {}


class RolloutTally:
    """Sums of an order over this instance and the others.

    Parameters
    ----------
    results : VersionResults
        Gets the results of all instances.

    Attributes
    ----------
    new_sent, old_sent : int
        Requests sent to endpoints of either version by all instances.
    """

    def __init__(self, results: VersionResults):
        self._results = results
        self._own_new_sent = self._own_old_sent = 0
        self._own_routes: dict[str, RouteCounts] = {}
        self._by_peer: dict[InstanceId, Tally] = {}
        self.new_sent = self.old_sent = 0

    def add_sent(self, is_new: bool) -> None:
        """Count a request that this instance sent."""
        self.new_sent += is_new
        self.old_sent += not is_new
        self._own_new_sent += is_new
        self._own_old_sent += not is_new

    def add_result(self, route: str, is_new: bool, counts: Counts, now_ms: int) -> None:
        """Count results of this instance."""
        if route not in self._own_routes and len(self._own_routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        added = RouteCounts(new=counts) if is_new else RouteCounts(old=counts)
        self._own_routes.setdefault(route, RouteCounts()).add(added)
        self._results.add(route, added, now_ms)

    def own(self, service: ServiceId, row_version: int) -> Tally:
        """Return what this instance has counted."""
        return Tally(
            service,
            row_version,
            self._own_new_sent,
            self._own_old_sent,
            self._own_routes,
        )

    def merge_peer(self, peer: InstanceId, tally: Tally, now_ms: int) -> None:
        """Add what another instance has counted since its last message.

        One that counts less than before has started again: messages older than the
        last one are dropped before.
        """
        before = self._by_peer.get(peer)
        self._by_peer[peer] = tally
        if before is None or _has_restarted(before, tally):
            before = Tally(tally.service, tally.row_version)
        self.new_sent += tally.new_sent - before.new_sent
        self.old_sent += tally.old_sent - before.old_sent
        for route, counts in tally.routes.items():
            added = counts.minus(before.routes.get(route, RouteCounts()))
            if added.old.total or added.new.total:
                self._results.add(route, added, now_ms)


def _has_restarted(before: Tally, tally: Tally) -> bool:
    return tally.new_sent < before.new_sent or tally.old_sent < before.old_sent
