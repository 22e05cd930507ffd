"""Division of an endpoint's capacity between the instances, without a coordinator.

For each endpoint rendezvous hashing of all known instances selects a few *sharers*.
Each has a share that it keeps by itself, whatever it hears of the others; the other
instances send their requests elsewhere. Rates that endpoints name, the slots of brittle
endpoints and the requests that cold endpoints bear are divided by it.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..ids import EndpointId, InstanceId
from ..peers.rendezvous import choose_nodes

SETTLE_MS = 2_000
"""Time from the registration of an instance until it is settled: in it two digests of
every other instance arrive (at most 900 ms apart), and the requests that an earlier
process of the same instance sent are over a second old."""


class Sharers:
    """The instances that share endpoints, and this instance's part.

    Parameters
    ----------
    own : InstanceId
        This instance.

    Attributes
    ----------
    revision : int
        Increases whenever shares may have changed.
    is_settled : bool
        Whether this instance knows the others well enough that its shares and theirs
        together are no more than the whole. It stays so when others become silent:
        they remain known.
    """

    def __init__(self, own: InstanceId):
        self._own = own
        self._instances = frozenset((own,))
        self._chosen: dict[tuple[EndpointId, int], list[str]] = {}
        self._registered_ms: int | None = None
        self.revision = 0
        self.is_settled = False

    @property
    def instance_count(self) -> int:
        """Number of known instances, this one included."""
        return len(self._instances)

    def set_instances(self, others: Iterable[InstanceId]) -> None:
        """Set the other instances that may send requests, reachable or not."""
        instances = frozenset((self._own, *others))
        if instances != self._instances:
            self._instances = instances
            self._chosen.clear()
            self.revision += 1

    def record_contact(
        self, reachable_count: int, is_registered: bool, now_ms: int
    ) -> None:
        """Record how many other instances this one hears, until it is settled.

        Load addressed: endpoints that are cold while instances start, perhaps all at
        once. An instance is settled once it has had its row in the store for
        `SETTLE_MS` and hears most instances whose rows it read. Of several groups that
        don't hear each other only one can be the majority, so that instances that know
        none but themselves never each take a whole share.
        """
        if self.is_settled or not is_registered:
            return
        if self._registered_ms is None:
            self._registered_ms = now_ms
        hears_most = 2 * reachable_count >= len(self._instances) - 1
        self.is_settled = hears_most and now_ms - self._registered_ms >= SETTLE_MS

    def choose(self, endpoint: EndpointId, count: int) -> list[str]:
        """Return the ``count`` sharers of an endpoint, the preferred one first."""
        key = (endpoint, count)
        chosen = self._chosen.get(key)
        if chosen is None:
            chosen = choose_nodes(self._instances, endpoint, count)
            self._chosen[key] = chosen
        return chosen

    def own_units(self, endpoint: EndpointId, units: int) -> int:
        """Return this instance's share of a whole number of units.

        There are as many sharers as units, or as instances if these are fewer.
        """
        sharers = self.choose(endpoint, units)
        if self._own not in sharers:
            return 0
        is_early = sharers.index(self._own) < units % len(sharers)
        return units // len(sharers) + is_early

    def own_fraction(self, endpoint: EndpointId, count: int) -> float:
        """Return this instance's part of what ``count`` sharers have together."""
        sharers = self.choose(endpoint, count)
        return 1 / len(sharers) if self._own in sharers else 0.0

    def remove(self, endpoint: EndpointId) -> None:
        """Remove what is kept for an endpoint that no longer exists."""
        for key in [key for key in self._chosen if key[0] == endpoint]:
            del self._chosen[key]
