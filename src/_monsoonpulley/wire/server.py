"""An HTTP server on one address."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable

from ..callerbudget import BudgetLimits, CallerBudget
from ..clock import Clock
from .messagemeter import RECEIVE_BUFFER_BYTES
from .serverconnection import CallerLimits, Exchange, ServerConnection

SWEEP_INTERVAL_MS = 500
"""Interval of checking the time-outs of connections, which are seconds long."""


ACCEPT_ROUNDS = 3
"""Rounds of the event loop until connections that wait are served: one until it looks
for them, one in which it accepts them, one in which it makes their transports."""


async def close_listeners(servers: Iterable[asyncio.Server]) -> None:
    """Accept the connections that wait at listeners, then close these.

    Closing a listener resets the connections that wait, and loses those that were
    accepted and have no transport yet: the last round accepts none.
    """
    for _ in range(ACCEPT_ROUNDS):
        await asyncio.sleep(0)
    loop = asyncio.get_running_loop()
    for server in servers:
        for listener in server.sockets:
            loop.remove_reader(listener)
    await asyncio.sleep(0)
    for server in servers:
        server.close()


class HttpServer:
    """Accepts connections and calls a handler with each request.

    Parameters
    ----------
    on_request : callable
        Called with an `Exchange` for each request; starts its handling.
    get_limits : callable
        Returns the `CallerLimits` in force.
    clock : Clock
        Dates requests and measures idle time.
    budget : CallerBudget or None
        What the callers of all servers of the process hold; None for one of its own.
    """

    def __init__(
        self,
        on_request: Callable[[Exchange], None],
        get_limits: Callable[[], CallerLimits],
        clock: Clock,
        budget: CallerBudget | None = None,
    ):
        self._budget = budget or CallerBudget(BudgetLimits.from_machine())
        self._on_request = on_request
        self._get_limits = get_limits
        self._clock = clock
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._is_draining = False

    async def listen(self, ip: str, port: int) -> None:
        """Accept connections at the address.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            ip,
            port,
            backlog=self._budget.limits.backlog,
            reuse_address=True,
        )
        for listener in self._server.sockets:
            # Accepted connections inherit it.
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )

    def address(self) -> tuple[str, int]:
        """Return the bound address."""
        assert self._server is not None
        ip, port = self._server.sockets[0].getsockname()[:2]
        return ip, port

    async def sweep(self) -> None:
        """Check the time-outs of connections until cancelled."""
        while True:
            await self._clock.sleep_ms(SWEEP_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for connection in list(self._connections):
                connection.check_timeouts(now_ms)

    def drain(self) -> None:
        """Close each connection after its next answer, which announces the close."""
        self._is_draining = True
        for connection in self._connections:
            connection.is_draining = True

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def end_listening(self) -> None:
        """Stop accepting connections, once those that wait for it are accepted."""
        if self._server is not None:
            server, self._server = self._server, None
            await close_listeners([server])

    def stop_listening(self) -> None:
        """Stop accepting connections and close the idle ones."""
        self._close_listener()
        self.close_idle(0)

    def close_idle(self, min_idle_ms: int) -> None:
        """Close the connections that have been idle for at least ``min_idle_ms``.

        The others close after their current answer.
        """
        now_ms = self._clock.now_ms()
        for connection in list(self._connections):
            connection.close_if_idle(now_ms, min_idle_ms)

    def _close_listener(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _accept(self) -> ServerConnection:
        connection = ServerConnection(
            self._on_request,
            self._get_limits,
            self._clock,
            self._connections.discard,
            self._budget,
        )
        connection.is_draining = self._is_draining
        self._connections.add(connection)
        return connection
