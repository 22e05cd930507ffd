"""Connections to other instances, for requests that they send on."""

from __future__ import annotations

from ..clock import Clock
from ..sharing.members import Member
from ..wire.pool import ConnectionPool

MAX_PEER_CONNECTIONS = 256
"""Requests in progress at one other instance. An instance at its processor's limit has
fewer."""

Address = tuple[str, int]


class PeerPools:
    """The connection pools, one for each address.

    Parameters
    ----------
    clock : Clock
        Measures idle time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._pools: dict[Address, ConnectionPool] = {}

    def pool(self, member: Member) -> ConnectionPool:
        """Return the pool of an instance at its current address."""
        address = (member.ip, member.port)
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(*address, self._clock, MAX_PEER_CONNECTIONS)
            self._pools[address] = pool
        return pool

    def sweep(self) -> None:
        """Close connections that are idle for too long, and drop empty pools."""
        for address, pool in list(self._pools.items()):
            pool.sweep()
            if pool.is_empty:
                del self._pools[address]
