"""Load of each endpoint, from the requests of this instance and its peers.

An endpoint's own reports are hundreds of ms old when they arrive. The board
therefore counts requests in progress: this instance's own at once, those of its
peers from their digests.
"""

from __future__ import annotations

import msgspec

from ..ids import EndpointId, InstanceId

PEER_LOAD_EXPIRY_MS = 1_500
"""Ten digest intervals: a peer that has been silent for this long is unreachable or
has stopped, and most of its requests have ended."""


class Load(msgspec.Struct):
    """Requests in progress at an endpoint, and the prompt tokens left to prefill."""

    running_count: int = 0
    prefill_tokens: int = 0


class LoadBoard:
    """Load of each endpoint as known to this instance."""

    def __init__(self) -> None:
        self._own: dict[EndpointId, Load] = {}
        self._peer_loads: dict[InstanceId, tuple[int, dict[str, tuple[int, int]]]] = {}
        self._peer_sums: dict[EndpointId, Load] | None = None

    def record_dispatch(self, endpoint: EndpointId, prefill_tokens: int) -> None:
        """Add a request that is being sent."""
        load = self._own.get(endpoint)
        if load is None:
            load = self._own[endpoint] = Load()
        load.running_count += 1
        load.prefill_tokens += prefill_tokens

    def record_prefill_end(self, endpoint: EndpointId, prefill_tokens: int) -> None:
        """Subtract the tokens of a prompt whose prefill has ended."""
        load = self._own.get(endpoint)
        if load is not None:
            load.prefill_tokens -= prefill_tokens

    def record_end(self, endpoint: EndpointId) -> None:
        """Subtract a request that has ended."""
        load = self._own.get(endpoint)
        if load is not None:
            load.running_count -= 1
            if load.running_count <= 0:
                del self._own[endpoint]

    def update_peer(
        self, peer: InstanceId, loads: dict[str, tuple[int, int]], now_ms: int
    ) -> None:
        """Replace a peer's loads by those in its latest digest."""
        self._peer_loads[peer] = (now_ms, loads)
        self._peer_sums = None

    def expire(self, now_ms: int) -> None:
        """Remove the loads of peers whose digests have stopped."""
        for peer, (received_ms, _) in list(self._peer_loads.items()):
            if now_ms - received_ms > PEER_LOAD_EXPIRY_MS:
                del self._peer_loads[peer]
                self._peer_sums = None

    def load(self, endpoint: EndpointId) -> Load:
        """Return the load of an endpoint, summed over all instances."""
        if self._peer_sums is None:
            self._peer_sums = self._sum_peers()
        own = self._own.get(endpoint)
        peers = self._peer_sums.get(endpoint)
        if own is None:
            return peers or Load()
        if peers is None:
            return own
        return Load(
            own.running_count + peers.running_count,
            own.prefill_tokens + peers.prefill_tokens,
        )

    def own_loads(self) -> dict[str, tuple[int, int]]:
        """Return this instance's load, for its digest."""
        return {
            endpoint: (load.running_count, load.prefill_tokens)
            for endpoint, load in self._own.items()
        }

    def _sum_peers(self) -> dict[EndpointId, Load]:
        sums: dict[EndpointId, Load] = {}
        for _, loads in self._peer_loads.values():
            for name, (running_count, prefill_tokens) in loads.items():
                total = sums.setdefault(EndpointId(name), Load())
                total.running_count += running_count
                total.prefill_tokens += prefill_tokens
        return sums
