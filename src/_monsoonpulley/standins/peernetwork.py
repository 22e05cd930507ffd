"""Peer transports in memory, over the same partitions as the platform's."""

from __future__ import annotations

import asyncio
from random import Random

from ..ids import ZoneId
from .faults import Latency, Network


class PeerNetwork:
    """Connects the transports of one deployment.

    Parameters
    ----------
    network : Network
        Which data centres reach each other.
    rng : Random
        Draws losses and delays.
    latency : Latency
        One-way delay of a message.
    loss : float
        Probability that a message is lost.
    """

    def __init__(
        self,
        network: Network,
        rng: Random,
        latency: Latency | None = None,
        loss: float = 0.0,
    ):
        self.network = network
        self.latency = latency or Latency(0.5, 2.0)
        self.loss = loss
        self.sent_messages = 0
        self.sent_bytes = 0
        self._rng = rng
        self._ends: dict[str, MemoryTransport] = {}

    def connect(self, address: str, zone: ZoneId) -> MemoryTransport:
        """Return the transport of an instance; it takes over the address."""
        end = MemoryTransport(self, address, zone)
        self._ends[address] = end
        return end

    def carry(self, sender: MemoryTransport, address: str, data: bytes) -> None:
        """Deliver a message later, unless it is lost or cut off."""
        self.sent_messages += 1
        self.sent_bytes += len(data)
        if self._rng.random() < self.loss:
            return
        delay_s = self.latency.draw_ms(self._rng) / 1_000
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._deliver, sender.zone, address, data)

    def _deliver(self, zone: ZoneId, address: str, data: bytes) -> None:
        end = self._ends.get(address)
        if end is not None and self.network.is_connected(zone, end.zone):
            end.deliver(data)


class MemoryTransport:
    """A `peers.transport.PeerTransport` on a `PeerNetwork`."""

    MAX_QUEUED = 1_000

    def __init__(self, network: PeerNetwork, address: str, zone: ZoneId):
        self.address = address
        self.zone = zone
        self._network = network
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(self.MAX_QUEUED)

    def send(self, address: str, data: bytes) -> None:
        """Send without waiting."""
        self._network.carry(self, address, data)

    async def receive(self) -> bytes:
        """Return the next message that came."""
        return await self._queue.get()

    def keep_only(self, addresses: set[str]) -> None:
        """Do nothing: there are no connections."""

    async def close(self) -> None:
        """Do nothing."""

    def deliver(self, data: bytes) -> None:
        """Take a message; a full queue drops it."""
        if not self._queue.full():
            self._queue.put_nowait(data)
