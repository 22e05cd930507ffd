"""Transports messages over ``pynng`` push sockets, to a `MessageServer`.

Each instance receives at its own address and pushes to each other instance over one
connection. Push and pull sockets transfer messages one way, without the handshake
and the single partner of a pair socket, and without the fan-out of a bus socket,
which sends to all at once and hides from the sender which receiver is slow. The
library reconnects by itself; its discovery and clustering are not used. Its pull socket
isn't either, as it has no limit for all of its connections.
"""

from __future__ import annotations

import pynng

from ..callerbudget import CallerBudget
from ..errors import Failure, Reason
from ..observability.metrics import Metrics
from .messageserver import MessageServer

SCHEME = "tcp://"

SEND_QUEUE_MESSAGES = 16
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 5_000


class PynngTransport:
    """A `transport.PeerTransport` over TCP.

    Parameters
    ----------
    listen : str
        ``tcp://IP:PORT`` to receive at; port 0 selects a free port.
    metrics : Metrics
        Counters of dropped messages.
    budget : CallerBudget or None
        Counts what is received; None for one with the limits of the machine.
    """

    def __init__(
        self, listen: str, metrics: Metrics, budget: CallerBudget | None = None
    ):
        self._listen = listen
        self._metrics = metrics
        self._server = MessageServer(budget)
        self._connections: dict[str, pynng.Push0] = {}
        self.address = listen

    def open(self) -> Failure | None:
        """Listen; return a failure if the address is already in use."""
        ip, _, port = self._listen.removeprefix(SCHEME).rpartition(":")
        try:
            ip, bound_port = self._server.open(ip.strip("[]"), int(port))
        except OSError as error:
            return Failure(Reason.UNAVAILABLE, "peers.listen", detail=str(error))
        host = f"[{ip}]" if ":" in ip else ip
        self.address = f"{SCHEME}{host}:{bound_port}"
        return None

    def send(self, address: str, data: bytes) -> None:
        """Send without waiting; drop the message if the queue is full."""
        try:
            self._connection_to(address).send(data, block=False)
        except pynng.TryAgain:
            self._metrics.incr("peers.send_dropped")
        except pynng.NNGException:
            self._metrics.incr("peers.send_failed")
            self._close(address)

    async def receive(self) -> bytes:
        """Wait for the next message and return it."""
        return await self._server.receive()

    def retain_addresses(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses."""
        for address in set(self._connections) - addresses:
            self._close(address)

    async def close(self) -> None:
        """Close all sockets."""
        self.retain_addresses(set())
        await self._server.close()

    def _connection_to(self, address: str) -> pynng.Push0:
        connection = self._connections.get(address)
        if connection is None:
            connection = pynng.Push0(
                send_buffer_size=SEND_QUEUE_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            self._connections[address] = connection
            connection.dial(address, block=False)
        return connection

    def _close(self, address: str) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()
