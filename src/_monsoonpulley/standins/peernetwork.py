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
    loss_probability : float
        Probability that a message is lost.
    """

    def __init__(
        self,
        network: Network,
        rng: Random,
        latency: Latency | None = None,
        loss_probability: float = 0.0,
    ):
        self.network = network
        self.latency = latency or Latency(0.5, 2.0)
        self.loss_probability = loss_probability
        self.sent_message_count = 0
        self.sent_byte_count = 0
        self._rng = rng
        self._transport_by_address: dict[str, MemoryTransport] = {}

    def connect(self, address: str, zone: ZoneId) -> MemoryTransport:
        """Return the transport of an instance; it takes over the address."""
        transport = MemoryTransport(self, address, zone)
        self._transport_by_address[address] = transport
        return transport

    def transmit(self, sender: MemoryTransport, address: str, data: bytes) -> None:
        """Deliver a message later, unless it is lost or cut off."""
        self.sent_message_count += 1
        self.sent_byte_count += len(data)
        if self._rng.random() < self.loss_probability:
            return
        delay_s = self.latency.draw_ms(self._rng) / 1_000
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._deliver, sender.zone, address, data)

    def _deliver(self, zone: ZoneId, address: str, data: bytes) -> None:
        transport = self._transport_by_address.get(address)
        if transport is not None and self.network.connected(zone, transport.zone):
            transport.deliver(data)


class MemoryTransport:
    """A `peers.transport.PeerTransport` on a `PeerNetwork`."""

    MAX_QUEUED_MESSAGES = 1_000

    def __init__(self, network: PeerNetwork, address: str, zone: ZoneId):
        self.address = address
        self.zone = zone
        self._network = network
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(self.MAX_QUEUED_MESSAGES)

    def send(self, address: str, data: bytes) -> None:
        """Send without waiting."""
        self._network.transmit(self, address, data)

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
