"""Accepts messages of other instances over TCP, within the budget of all callers.

It speaks the protocol of a pull socket of ``nng``, whose push sockets send: a header of
eight bytes from both sides, then messages, each behind its length in eight bytes. The
library's own pull socket accepts every connection, and keeps what it receives before
anybody has authenticated it.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque

from ..callerbudget import BudgetLimits, CallerBudget, Holding, Stage
from ..clock import Clock
from ..wire.messagemeter import RECEIVE_BUFFER_BYTES
from ..wire.sockets import enable_keepalive
from .envelope import MAX_MESSAGE_BYTES

PUSH_HEADER = b"\0SP\0\0\x50\0\0"
PULL_HEADER = b"\0SP\0\0\x51\0\0"
"""Headers of the two kinds of sockets, in the protocol's numbers."""

LENGTH_BYTES = 8

HEADER_TIMEOUT_S = 5
"""Time in which a connection must send its header; a lost packet is sent again several
times within it."""

MAX_QUEUED_MESSAGES = 1_024
"""Messages that wait to be handled before reading pauses: several rounds of an instance
with as many neighbours as one data centre has."""

MAX_QUEUED_BYTES = 4 * MAX_MESSAGE_BYTES
"""The same in bytes; messages have a few KB."""

CONNECTION_BYTES = 4_096
"""Memory of a connection that has sent nothing."""


class MessageServer:
    """Queue of the messages that arrive at one address.

    Parameters
    ----------
    budget : CallerBudget or None
        Counts what is received; None for one with the limits of the machine.
    """

    def __init__(self, budget: CallerBudget | None = None):
        self.budget = budget or CallerBudget(BudgetLimits.from_machine())
        self.clock = Clock.from_system()
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._connections: set[_MessageConnection] = set()
        self._messages: deque[bytes] = deque()
        self._queued_bytes = 0
        self._arrival = asyncio.Event()

    @property
    def is_full(self) -> bool:
        """Whether reading pauses until messages are received."""
        return (
            len(self._messages) >= MAX_QUEUED_MESSAGES
            or self._queued_bytes >= MAX_QUEUED_BYTES
        )

    def open(self, ip: str, port: int) -> tuple[str, int]:
        """Bind an address, port 0 for any free one, and return it.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        listener = socket.socket(socket.AF_INET6 if ":" in ip else socket.AF_INET)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Accepted connections inherit it.
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            listener.bind((ip, port))
            listener.listen(self.budget.limits.backlog)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        return listener.getsockname()[:2]

    async def receive(self) -> bytes:
        """Wait for the next message and return it; accept connections from now on."""
        if self._server is None and self._listener is not None:
            loop = asyncio.get_running_loop()
            self._server = await loop.create_server(
                lambda: _MessageConnection(self),
                sock=self._listener,
                backlog=self.budget.limits.backlog,
            )
        while not self._messages:
            self._arrival.clear()
            await self._arrival.wait()
        was_full = self.is_full
        message = self._messages.popleft()
        self._count(-len(message))
        if was_full and not self.is_full:
            for connection in list(self._connections):
                connection.resume()
        return message

    async def close(self) -> None:
        """Close the address and all connections, and wait until they are.

        Until then senders don't know, and what they send is lost.
        """
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self._connections):
            connection.disconnect()
        while self._connections:
            await asyncio.sleep(0)

    def put(self, message: bytes) -> None:
        """Add a message that has arrived."""
        self._messages.append(message)
        self._count(len(message))
        self._arrival.set()

    def add(self, connection: _MessageConnection) -> None:
        """Add an open connection."""
        self._connections.add(connection)

    def remove(self, connection: _MessageConnection) -> None:
        """Remove a connection that is closed."""
        self._connections.discard(connection)

    def _count(self, size_bytes: int) -> None:
        self._queued_bytes += size_bytes
        self.budget.add_shared(size_bytes)


class _MessageConnection(asyncio.Protocol):
    """A connection of another instance, or of anybody else."""

    def __init__(self, server: MessageServer):
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._holding: Holding | None = None
        self._header_timer: asyncio.TimerHandle | None = None
        self._buffer = bytearray()
        self._has_header = False
        self._is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the header, unless there is no room for the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        budget, now_ms = self._server.budget, self._server.clock.now_ms()
        self._holding = budget.open(self, now_ms, CONNECTION_BYTES)
        if self._holding is None:
            transport.abort()
            return
        enable_keepalive(transport)
        self._server.add(self)
        transport.write(PULL_HEADER)
        loop = asyncio.get_running_loop()
        self._header_timer = loop.call_later(HEADER_TIMEOUT_S, self._check_header)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what has arrived of a message."""
        self._transport = None
        if self._header_timer is not None:
            self._header_timer.cancel()
        if self._holding is not None:
            self._server.budget.close(self._holding)
        self._server.remove(self)
        self._buffer.clear()

    def data_received(self, data: bytes) -> None:
        """Queue the messages that are complete."""
        if self._holding is None:
            return
        self._holding.moved_bytes += len(data)
        self._buffer += data
        self._take_messages()
        self._count()
        self._server.budget.relieve(self._server.clock.now_ms())

    def resume(self) -> None:
        """Read on, as the queue has room again."""
        if not self._is_paused or self._transport is None:
            return
        self._is_paused = False
        self._take_messages()
        if not self._is_paused:
            self._transport.resume_reading()
        self._count()

    def drop_pending(self) -> None:
        """Close the connection: the rest of a message would be taken for another."""
        self.disconnect()

    def disconnect(self) -> None:
        """Close the connection; a sound sender connects again."""
        if self._holding is not None:
            self._server.budget.close(self._holding)
        self._buffer.clear()
        if self._transport is not None:
            self._transport.abort()

    def _take_messages(self) -> None:
        buffer = self._buffer
        if not self._has_header:
            if len(buffer) < len(PUSH_HEADER):
                return
            if not buffer.startswith(PUSH_HEADER):
                self._reject()
                return
            self._has_header = True
            del buffer[: len(PUSH_HEADER)]
        while len(buffer) >= LENGTH_BYTES:
            if self._server.is_full:
                self._pause()
                return
            end = LENGTH_BYTES + int.from_bytes(buffer[:LENGTH_BYTES], "big")
            if end > LENGTH_BYTES + MAX_MESSAGE_BYTES:
                self._reject()
                return
            if len(buffer) < end:
                return
            message = bytes(buffer[LENGTH_BYTES:end])
            del buffer[:end]
            self._server.put(message)
            if self._holding is not None:
                self._holding.has_served = True

    def _pause(self) -> None:
        if self._transport is not None and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def _count(self) -> None:
        pending_bytes = len(self._buffer)
        if self._is_paused:
            pending_bytes += RECEIVE_BUFFER_BYTES
        stage = Stage.RECEIVING if pending_bytes else Stage.IDLE
        if self._holding is not None:
            self._server.budget.update(
                self._holding,
                stage,
                self._server.clock.now_ms(),
                CONNECTION_BYTES,
                pending_bytes,
            )

    def _check_header(self) -> None:
        if not self._has_header:
            self._reject()

    def _reject(self) -> None:
        """Close a connection that doesn't speak the protocol."""
        self._server.budget.record_malformed_message()
        self.disconnect()
