"""How messages travel between entry instances.

Messages may be lost, delayed or doubled; what they hold allows for that.
"""

from __future__ import annotations

import asyncio
from typing import Protocol


class PeerTransport(Protocol):
    """Carries bytes to the addresses of other entry instances."""

    @property
    def address(self) -> str:
        """Where others reach this instance."""
        ...

    def send(self, address: str, data: bytes) -> None:
        """Send without waiting; what the queue can't take is dropped."""
        ...

    async def receive(self) -> bytes:
        """Return the next message that came."""
        ...

    def keep_only(self, addresses: set[str]) -> None:
        """Close what connects to any other address."""
        ...

    async def close(self) -> None:
        """Close everything."""
        ...


class NoTransport:
    """Carries nothing, for an instance without peers."""

    address = ""

    def send(self, address: str, data: bytes) -> None:
        """Drop the message."""

    async def receive(self) -> bytes:
        """Wait for ever."""
        return await asyncio.get_running_loop().create_future()

    def keep_only(self, addresses: set[str]) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""
