"""The transport of messages between entry instances.

Messages may be lost, delayed or duplicated; their contents allow for that.
"""

from __future__ import annotations

import asyncio
from typing import Protocol


class PeerTransport(Protocol):
    """Sends bytes to the addresses of other entry instances."""

    @property
    def address(self) -> str:
        """Address at which this instance receives messages."""
        ...

    def send(self, address: str, data: bytes) -> None:
        """Send without waiting; drop the message if the queue is full."""
        ...

    async def receive(self) -> bytes:
        """Wait for the next message and return it."""
        ...

    def retain_addresses(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses."""
        ...

    async def close(self) -> None:
        """Close all connections and stop receiving."""
        ...


class NoTransport:
    """A transport that drops everything, for an instance without peers."""

    address = ""

    def send(self, address: str, data: bytes) -> None:
        """Drop the message."""

    async def receive(self) -> bytes:
        """Wait forever."""
        return await asyncio.get_running_loop().create_future()

    def retain_addresses(self, addresses: set[str]) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""
