"""Load of each endpoint, from the requests of this instance and its peers.

An endpoint's own reports are hundreds of ms old when they arrive. The board
therefore counts requests in progress: this instance's own at once, those of its
peers from their digests.
"""

from __future__ import annotations

import msgspec

from ..ids import EndpointId, InstanceId

LoadEntry = tuple[int, int, int]
"""Running requests, tokens to prefill and tokens held, as in digests."""


class Load(msgspec.Struct):
    """Requests in progress at an endpoint.

    Attributes
    ----------
    running_count : int
        Requests without a complete answer.
    prefill_tokens : int
        Prompt tokens left to prefill.
    held_tokens : int
        Tokens of memory that these requests hold until their answers are complete.
    """

    running_count: int = 0
    prefill_tokens: int = 0
    held_tokens: int = 0

    def add(self, entry: LoadEntry, sign: int = 1) -> None:
        """Add an entry of a digest, or subtract it if ``sign`` is -1."""
        self.running_count += sign * entry[0]
        self.prefill_tokens += sign * entry[1]
        self.held_tokens += sign * entry[2]

    @property
    def entry(self) -> LoadEntry:
        """Return the entry for a digest."""
        return (self.running_count, self.prefill_tokens, self.held_tokens)


class LoadBoard:
    """Load of each endpoint as known to this instance.

    The sums over all instances are kept up to date with each change, so that the
    work for a digest depends only on the endpoints that it names.
    """

    def __init__(self) -> None:
        self._own: dict[EndpointId, Load] = {}
        self._totals: dict[EndpointId, Load] = {}
        self._peer_loads: dict[InstanceId, dict[str, LoadEntry]] = {}

    def record_dispatch(
        self, endpoint: EndpointId, prefill_tokens: int, held_tokens: int = 0
    ) -> None:
        """Add a request that is being sent."""
        self._change_own(endpoint, (1, prefill_tokens, held_tokens))

    def record_prefill_end(self, endpoint: EndpointId, prefill_tokens: int) -> None:
        """Subtract the tokens of a prompt whose prefill has ended."""
        self._change_own(endpoint, (0, -prefill_tokens, 0))

    def record_end(self, endpoint: EndpointId, held_tokens: int = 0) -> None:
        """Subtract a request that has ended."""
        self._change_own(endpoint, (-1, 0, -held_tokens))

    def update_peer(self, peer: InstanceId, loads: dict[str, LoadEntry]) -> None:
        """Replace a peer's loads by those in its latest digest."""
        previous = self._peer_loads.get(peer)
        self._peer_loads[peer] = loads
        for name, entry in loads.items():
            self._change_total(EndpointId(name), entry, 1)
        if previous is not None:
            self._remove(previous)

    def remove_peer(self, peer: InstanceId) -> None:
        """Remove the loads of a peer that is unreachable or has stopped."""
        loads = self._peer_loads.pop(peer, None)
        if loads is not None:
            self._remove(loads)

    def load(self, endpoint: EndpointId) -> Load:
        """Return the load of an endpoint, summed over all instances."""
        return self._totals.get(endpoint) or Load()

    def own_running_count(self, endpoint: EndpointId) -> int:
        """Return how many requests of this instance an endpoint has in progress."""
        own = self._own.get(endpoint)
        return 0 if own is None else own.running_count

    def own_loads(self) -> dict[str, LoadEntry]:
        """Return this instance's load, for its digest."""
        return {endpoint: load.entry for endpoint, load in self._own.items()}

    def _change_own(self, endpoint: EndpointId, entry: LoadEntry) -> None:
        own = self._own.get(endpoint)
        if own is None:
            own = self._own[endpoint] = Load()
        own.add(entry)
        if own.running_count <= 0:
            del self._own[endpoint]
        self._change_total(endpoint, entry, 1)

    def _remove(self, loads: dict[str, LoadEntry]) -> None:
        for name, entry in loads.items():
            self._change_total(EndpointId(name), entry, -1)

    def _change_total(self, endpoint: EndpointId, entry: LoadEntry, sign: int) -> None:
        total = self._totals.get(endpoint)
        if total is None:
            total = self._totals[endpoint] = Load()
        total.add(entry, sign)
        if total.entry == (0, 0, 0):
            del self._totals[endpoint]
