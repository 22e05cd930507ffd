"""Peer transports in memory, with the same partitions as the platform."""

from __future__ import annotations

import asyncio
from random import Random

from ..ids import ZoneId
from .faults import Latency, Network


class PeerNetwork:
    """The network between the peer transports of one deployment.

    Parameters
    ----------
    network : Network
        Which zones reach each other.
    rng : Random
        Draws losses and delays.
    latency : Latency
        One-way delay of messages.
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
        """Return a new transport at ``address``, in place of any earlier one."""
        transport = MemoryTransport(self, address, zone)
        self._transport_by_address[address] = transport
        return transport

    def transmit(self, sender: MemoryTransport, address: str, data: bytes) -> None:
        """Deliver a message after a delay, unless it is lost.

        A partition at the time of delivery loses it as well.
        """
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
        """Send a message without waiting."""
        self._network.transmit(self, address, data)

    async def receive(self) -> bytes:
        """Wait for the next message and return it."""
        return await self._queue.get()

    def keep_only(self, addresses: set[str]) -> None:
        """Do nothing: there are no connections to close."""

    async def close(self) -> None:
        """Do nothing: there are no resources to release."""

    def deliver(self, data: bytes) -> None:
        """Queue a received message; drop it if the queue is full."""
        if not self._queue.full():
            self._queue.put_nowait(data)
