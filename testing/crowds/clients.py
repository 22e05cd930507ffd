"""Clients that send what they want and read what they want."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable

from _monsoonpulley.wire.sockets import reset

STALL_S = 2.0
"""A client whose bytes aren't read for so long stops to send, and stays."""

CONNECT_TIMEOUT_S = 5.0

MAX_CONNECTING = 100
"""Connections that a crowd opens at once, so that none is dropped by the kernel."""

UNREAD_BYTES = 32_768
"""What the kernel keeps for a client that reads nothing."""

Pieces = Callable[[int], Iterable[bytes]]
"""Returns what the client of a number sends."""


class Crowd:
    """Connections to one address that stay open until the crowd leaves.

    Parameters
    ----------
    ip, port : str, int
        Where they connect.
    reads : bool
        Whether its clients read answers.

    Attributes
    ----------
    refused_count : int
        Connections that couldn't be opened.
    sent_bytes : int
        Bytes sent by all.
    """

    def __init__(self, ip: str, port: int, *, reads: bool = True):
        self._address = ip, port
        self._reads = reads
        self._writers: list[asyncio.StreamWriter] = []
        self._readers: list[asyncio.Task[None]] = []
        self._connecting = asyncio.Semaphore(MAX_CONNECTING)
        self.refused_count = 0
        self.sent_bytes = 0

    async def press(self, count: int, pieces: Pieces) -> None:
        """Open connections that each send their pieces; return once all have."""
        clients = (self._run_client(pieces(number)) for number in range(count))
        await asyncio.gather(*clients)

    def leave(self) -> None:
        """Reset all connections."""
        for task in self._readers:
            task.cancel()
        for writer in self._writers:
            reset(writer.transport)

    async def _run_client(self, pieces: Iterable[bytes]) -> None:
        try:
            async with self._connecting, asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    sock=await self._connect()
                )
        except (OSError, TimeoutError):
            self.refused_count += 1
            return
        self._writers.append(writer)
        if self._reads:
            self._readers.append(asyncio.create_task(_read_all(reader)))
        else:
            writer.transport.pause_reading()
        try:
            for piece in pieces:
                writer.write(piece)
                async with asyncio.timeout(STALL_S):
                    await writer.drain()
                self.sent_bytes += len(piece)
        except (OSError, TimeoutError):
            # The system closed the connection, or no longer reads from it.
            return

    async def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        if not self._reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self._address)
        except BaseException:
            sock.close()
            raise
        return sock


async def _read_all(reader: asyncio.StreamReader) -> None:
    try:
        while await reader.read(65_536):
            pass
    except OSError:
        return
