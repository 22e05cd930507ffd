"""Connection pools of the endpoints."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..errors import Failure, Reason
from ..fleet.model import Endpoint
from ..ids import EndpointId
from ..wire.pool import ConnectionPool


class Upstreams:
    """The connection pools, one for each endpoint at its current address.

    Parameters
    ----------
    clock : Clock
        Measures idle time.
    on_open : callable
        Called after each try to open a connection with the endpoint and the
        `Failure`, if any.
    """

    def __init__(
        self, clock: Clock, on_open: Callable[[Endpoint, Failure | None], None]
    ):
        self._clock = clock
        self._on_open = on_open
        self._pools: dict[EndpointId, ConnectionPool] = {}
        self._closed_opened_count = 0

    def pool(self, endpoint: Endpoint, max_connections: int) -> ConnectionPool:
        """Return the pool of an endpoint; a changed address gets a new pool.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint to connect to.
        max_connections : int
            This instance's share of the connections that the endpoint accepts.
        """
        pool = self._pools.get(endpoint.id)
        if pool is None or pool.address != endpoint.address:
            if pool is not None:
                self._close_pool(pool)
            pool = ConnectionPool(
                endpoint.ip,
                endpoint.port,
                self._clock,
                max_connections,
                lambda failure: self._on_open(endpoint, failure),
            )
            self._pools[endpoint.id] = pool
        pool.max_connections = max_connections
        return pool

    def has_idle(self, endpoint: Endpoint) -> bool:
        """Return whether a connection to an endpoint is open and not in use."""
        pool = self._pools.get(endpoint.id)
        return pool is not None and pool.has_idle

    async def probe(self, endpoint: Endpoint) -> Failure | None:
        """Open a connection to an endpoint that was connected before.

        Returns
        -------
        Failure or None
            `Reason.NOT_LISTENING` if nothing listens at its address any more.
        """
        pool = self._pools.get(endpoint.id)
        if pool is None or pool.address != endpoint.address:
            return Failure(
                Reason.CANCELLED, "endpoint.probe", endpoint.id, "it has no pool"
            )
        return await pool.probe()

    def remove(self, endpoint: Endpoint) -> None:
        """Remove the pool of an endpoint and close its idle connections.

        Requests in progress continue: the endpoint may still complete them.
        """
        pool = self._pools.pop(endpoint.id, None)
        if pool is not None:
            self._close_pool(pool)

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        for pool in self._pools.values():
            pool.sweep()

    def opened_count(self) -> int:
        """Return how many connections were opened so far, in removed pools too."""
        return self._closed_opened_count + sum(
            p.opened_count for p in self._pools.values()
        )

    def _close_pool(self, pool: ConnectionPool) -> None:
        self._closed_opened_count += pool.opened_count
        pool.close_idle()
