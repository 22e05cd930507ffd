"""How busy each endpoint is, from what this instance and its peers sent.

An endpoint's own reports are hundreds of ms old when they arrive. The board
therefore counts what was sent and not yet answered: this instance's requests at
once, those of the others as their digests tell.
"""

from __future__ import annotations

import msgspec

from ..ids import EndpointId, InstanceId

PEER_LOAD_EXPIRY_MS = 1_500
"""Ten digests: an instance that was not heard for so long is cut off or gone,
and what it sent has mostly ended."""


class Load(msgspec.Struct):
    """Requests at an endpoint and prompt tokens it has yet to read."""

    running_count: int = 0
    prefill_tokens: int = 0


class LoadBoard:
    """Load of each endpoint as far as this instance knows."""

    def __init__(self) -> None:
        self._own: dict[EndpointId, Load] = {}
        self._peer_loads: dict[InstanceId, tuple[int, dict[str, tuple[int, int]]]] = {}
        self._peer_sums: dict[EndpointId, Load] | None = None

    def record_dispatch(self, endpoint: EndpointId, prefill_tokens: int) -> None:
        """Count a request that was sent."""
        load = self._own.get(endpoint)
        if load is None:
            load = self._own[endpoint] = Load()
        load.running_count += 1
        load.prefill_tokens += prefill_tokens

    def record_prefill_end(self, endpoint: EndpointId, prefill_tokens: int) -> None:
        """Count a prompt as read: its first event came."""
        load = self._own.get(endpoint)
        if load is not None:
            load.prefill_tokens -= prefill_tokens

    def record_end(self, endpoint: EndpointId) -> None:
        """Count a request as over."""
        load = self._own.get(endpoint)
        if load is not None:
            load.running_count -= 1
            if load.running_count <= 0:
                del self._own[endpoint]

    def update_peer(
        self, peer: InstanceId, loads: dict[str, tuple[int, int]], now_ms: int
    ) -> None:
        """Take over another instance's load, as its digest tells it."""
        self._peer_loads[peer] = (now_ms, loads)
        self._peer_sums = None

    def expire(self, now_ms: int) -> None:
        """Forget the load of instances that are no longer heard."""
        for peer, (received_ms, _) in list(self._peer_loads.items()):
            if now_ms - received_ms > PEER_LOAD_EXPIRY_MS:
                del self._peer_loads[peer]
                self._peer_sums = None

    def load(self, endpoint: EndpointId) -> Load:
        """Return the load of an endpoint, of all instances together."""
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
