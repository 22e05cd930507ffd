"""How busy each endpoint is, from what this instance and its peers sent.

An endpoint's own reports are hundreds of ms old when they arrive. The board
therefore counts what was sent and not yet answered: this instance's requests at
once, those of the others as their digests tell.
"""

from __future__ import annotations

import msgspec

from ..ids import EndpointId, InstanceId

PEER_LOAD_MS = 1_500
"""Ten digests: an instance that was not heard for so long is cut off or gone,
and what it sent has mostly ended."""


class Load(msgspec.Struct):
    """Requests at an endpoint and prompt tokens it has yet to read."""

    running: int = 0
    unread_tokens: int = 0


class LoadBoard:
    """Load of each endpoint as far as this instance knows."""

    def __init__(self) -> None:
        self._own: dict[EndpointId, Load] = {}
        self._peers: dict[InstanceId, tuple[int, dict[str, tuple[int, int]]]] = {}
        self._peer_sums: dict[EndpointId, Load] | None = None

    def sent(self, endpoint: EndpointId, unread_tokens: int) -> None:
        """Count a request that was sent."""
        load = self._own.get(endpoint)
        if load is None:
            load = self._own[endpoint] = Load()
        load.running += 1
        load.unread_tokens += unread_tokens

    def was_read(self, endpoint: EndpointId, unread_tokens: int) -> None:
        """Count a prompt as read: its first event came."""
        load = self._own.get(endpoint)
        if load is not None:
            load.unread_tokens -= unread_tokens

    def ended(self, endpoint: EndpointId) -> None:
        """Count a request as over."""
        load = self._own.get(endpoint)
        if load is not None:
            load.running -= 1
            if load.running <= 0:
                del self._own[endpoint]

    def hear(
        self, peer: InstanceId, loads: dict[str, tuple[int, int]], now_ms: int
    ) -> None:
        """Take over another instance's load, as its digest tells it."""
        self._peers[peer] = (now_ms, loads)
        self._peer_sums = None

    def expire(self, now_ms: int) -> None:
        """Forget the load of instances that are no longer heard."""
        for peer, (heard_ms, _) in list(self._peers.items()):
            if now_ms - heard_ms > PEER_LOAD_MS:
                del self._peers[peer]
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
            own.running + peers.running, own.unread_tokens + peers.unread_tokens
        )

    def own_loads(self) -> dict[str, tuple[int, int]]:
        """Return this instance's load, for its digest."""
        return {
            endpoint: (load.running, load.unread_tokens)
            for endpoint, load in self._own.items()
        }

    def _sum_peers(self) -> dict[EndpointId, Load]:
        sums: dict[EndpointId, Load] = {}
        for _, loads in self._peers.values():
            for name, (running, unread_tokens) in loads.items():
                total = sums.setdefault(EndpointId(name), Load())
                total.running += running
                total.unread_tokens += unread_tokens
        return sums
