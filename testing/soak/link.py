"""A TCP proxy on loopback that can impair its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from _monsoonpulley.wire.sockets import reset

CHUNK_BYTES = 65_536


class Direction(Enum):
    """Direction of bytes, as seen from the connecting side."""

    UP = "up"
    DOWN = "down"


class _Pair:
    """A client's connection and the one to the target."""

    def __init__(self, *writers: asyncio.StreamWriter):
        self.writers = writers
        self.is_blackholed = False

    def close(self, *, with_reset: bool) -> None:
        for writer in self.writers:
            if with_reset:
                reset(writer.transport)
            else:
                writer.close()


class Link:
    """TCP proxy to a target.

    Parameters
    ----------
    target : callable
        Returns the IP and port to connect to.

    Attributes
    ----------
    delay_ms : int
        Added to each chunk, in both directions.
    refuses_connections : bool
        Whether new connections are reset at once.
    """

    def __init__(self, target: Callable[[], tuple[str, int]]):
        self._target = target
        self._unblocked = {direction: asyncio.Event() for direction in Direction}
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None
        self.delay_ms = 0
        self.refuses_connections = False
        self.heal()

    async def listen(self, ip: str, port: int) -> None:
        """Accept connections at an address."""
        self._server = await asyncio.start_server(self._accept, ip, port)

    def address(self) -> tuple[str, int]:
        """Return the address that it accepts connections at."""
        ip, port = self._server.sockets[0].getsockname()[:2]
        return ip, port

    def block(self, *directions: Direction) -> None:
        """Delay bytes in these directions until `heal`, as packet loss does."""
        for direction in directions:
            self._unblocked[direction].clear()

    def blackhole(self) -> None:
        """Drop all further bytes of the open connections without closing them."""
        for pair in self._pairs:
            pair.is_blackholed = True

    def reset_all(self) -> None:
        """Reset all open connections."""
        for pair in list(self._pairs):
            pair.close(with_reset=True)

    def heal(self) -> None:
        """End all impairments; connections in a black hole stay there."""
        self.delay_ms = 0
        self.refuses_connections = False
        for event in self._unblocked.values():
            event.set()

    def close(self) -> None:
        """Close the proxy and reset its connections."""
        if self._server is not None:
            self._server.close()
        for pair in list(self._pairs):
            pair.close(with_reset=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses_connections:
            reset(writer.transport)
            return
        try:
            await self._unblocked[Direction.UP].wait()
            onward, back = await asyncio.open_connection(*self._target())
        except OSError:
            reset(writer.transport)
            return
        except asyncio.CancelledError:
            return  # The run is over.
        pair = _Pair(writer, back)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, back, Direction.UP),
                self._pump(pair, onward, writer, Direction.DOWN),
            )
        except OSError:
            # A reset on one side is passed on to the other.
            pair.close(with_reset=True)
        except asyncio.CancelledError:
            return  # The run is over.
        finally:
            self._pairs.discard(pair)
            pair.close(with_reset=False)

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_ms:
                await asyncio.sleep(self.delay_ms / 1000)
            await self._unblocked[direction].wait()
            if not pair.is_blackholed:
                writer.write(data)
                await writer.drain()
        await self._unblocked[direction].wait()
        if pair.is_blackholed:
            return
        if writer.can_write_eof():
            writer.write_eof()
