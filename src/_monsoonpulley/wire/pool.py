"""A pool of client connections to one address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from .clientconnection import ClientConnection

CONNECT_TIMEOUT_MS = 300
"""A hundred round trips between data centres. A lost SYN is sent again only after
1 s; another endpoint answers sooner."""

PROBE_HOLD_MS = 50
"""Some devices on a link accept a connection before they reset it, a few round trips
later."""

DEFAULT_IDLE_TIMEOUT_MS = 4_000
"""Used if the server announces none; below the shortest usual setting, 5 s."""

IDLE_MARGIN_MS = 700
"""Margin before the server's time-out, so that no request crosses its close."""


class ConnectionPool:
    """Connections to one address; the most recently used idle one is reused first.

    Parameters
    ----------
    ip, port : str, int
        The server's address.
    clock : Clock
        Measures idle time.
    max_connections : int
        Limit of connections with an exchange at the same time.
    on_open : callable or None
        Called after each try to open a connection with the `Failure`, if any.

    Attributes
    ----------
    opened_count : int
        Connections opened so far.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        clock: Clock,
        max_connections: int,
        on_open: Callable[[Failure | None], None] | None = None,
    ):
        self._ip = ip
        self._port = port
        self._clock = clock
        self.max_connections = max_connections
        self._on_open = on_open
        self._idle: list[ClientConnection] = []
        self._in_use: set[ClientConnection] = set()
        self.opened_count = 0

    @property
    def address(self) -> str:
        """The server's address as ``IP:PORT``."""
        return f"{self._ip}:{self._port}"

    @property
    def has_idle(self) -> bool:
        """Whether an open connection can be used again."""
        now_ms = self._clock.now_ms()
        return any(self._is_usable(each, now_ms) for each in self._idle)

    @property
    def is_empty(self) -> bool:
        """Whether no connection is open."""
        return not self._idle and not self._in_use

    async def acquire(self, request_id: bytes = b"") -> ClientConnection | Failure:
        """Return a connection for one exchange.

        Parameters
        ----------
        request_id : bytes
            The request's id; the connection has not carried a refusal of it. Empty if
            answers don't name their requests.

        Returns
        -------
        ClientConnection or Failure
            The delivery of a failure is always `Delivery.NOT_SENT`.
        """
        connection = self._pop_idle(request_id)
        if connection is None:
            if len(self._in_use) >= self.max_connections:
                return self._failure(
                    Reason.OVERLOADED,
                    f"all {self.max_connections} connections are in use",
                )
            opened = await self._open()
            if isinstance(opened, Failure):
                return opened
            connection = opened
        self._in_use.add(connection)
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or abort it if it can't be reused."""
        self._in_use.discard(connection)
        if connection.is_open and connection.is_reusable:
            self._idle.append(connection)
        elif connection.is_open:
            connection.abort()

    async def probe(self) -> Failure | None:
        """Open a connection to see whether the server is reachable; keep it for use.

        Returns
        -------
        Failure or None
            Also if the connection is reset soon after it was opened.
        """
        opened = await self._connect()
        if not isinstance(opened, Failure):
            await self._clock.sleep_ms(PROBE_HOLD_MS)
            if not opened.is_open:
                opened = self._failure(
                    Reason.UNAVAILABLE, "reset soon after it was opened"
                )
        if not isinstance(opened, Failure):
            self._idle.append(opened)
        return self._report(opened)

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        now_ms = self._clock.now_ms()
        kept = []
        for connection in self._idle:
            if self._is_usable(connection, now_ms):
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def abort_all(self) -> None:
        """Abort all connections, including those with an exchange."""
        self.close_idle()
        for connection in list(self._in_use):
            connection.abort()
        self._in_use.clear()

    def _pop_idle(self, request_id: bytes) -> ClientConnection | None:
        now_ms = self._clock.now_ms()
        while self._idle:
            connection = self._idle.pop()
            is_usable = self._is_usable(connection, now_ms)
            if is_usable and connection.may_carry(request_id):
                return connection
            connection.close()
        return None

    @staticmethod
    def _is_usable(connection: ClientConnection, now_ms: int) -> bool:
        if not (connection.is_open and connection.is_reusable):
            return False
        timeout_ms = connection.idle_timeout_ms or DEFAULT_IDLE_TIMEOUT_MS
        return now_ms - connection.last_used_ms < timeout_ms - IDLE_MARGIN_MS

    async def _open(self) -> ClientConnection | Failure:
        opened = await self._connect()
        self._report(opened)
        return opened

    def _report(self, opened: ClientConnection | Failure) -> Failure | None:
        """Tell how a try to open a connection ended; return the failure, if any."""
        failure = opened if isinstance(opened, Failure) else None
        if self._on_open is not None:
            self._on_open(failure)
        return failure

    async def _connect(self) -> ClientConnection | Failure:
        loop = asyncio.get_running_loop()
        half_s = CONNECT_TIMEOUT_MS / 2 / 1000
        try:
            async with asyncio.timeout(None) as limit:
                # In two halves, since one that ended while the process was paused
                # doesn't show whether the server answers.
                first_half = loop.call_later(
                    half_s, lambda: limit.reschedule(loop.time() + half_s)
                )
                try:
                    _, connection = await loop.create_connection(
                        lambda: ClientConnection(self._clock), self._ip, self._port
                    )
                finally:
                    first_half.cancel()
        except TimeoutError:
            return self._failure(
                Reason.TIMEOUT, f"not connected within {CONNECT_TIMEOUT_MS} ms"
            )
        except ConnectionRefusedError as error:
            return self._failure(Reason.NOT_LISTENING, f"can't connect: {error}")
        except (OSError, ValueError, OverflowError) as error:
            # The latter two for what is no address.
            return self._failure(Reason.UNAVAILABLE, f"can't connect: {error}")
        self.opened_count += 1
        return connection

    def _failure(self, reason: Reason, detail: str) -> Failure:
        return Failure(
            reason, "connection.open", self.address, detail, Delivery.NOT_SENT
        )
