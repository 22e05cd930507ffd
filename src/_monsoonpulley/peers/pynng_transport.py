"""Transports messages over ``pynng`` push and pull sockets.

Each instance pulls at its own address and pushes to each other instance over one
connection. Push and pull sockets transfer messages one way, without the handshake
and the single partner of a pair socket, and without the fan-out of a bus socket,
which sends to all at once and hides from the sender which receiver is slow. The
library reconnects by itself; its discovery and clustering are not used.
"""

from __future__ import annotations

import asyncio

import pynng

from ..errors import Failure, Reason
from ..observability.metrics import Metrics
from .envelope import MAX_MESSAGE_BYTES

SEND_QUEUE_MESSAGES = 16
RECEIVE_QUEUE_MESSAGES = 1_024
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 5_000
RECEIVE_RETRY_MS = 100


class PynngTransport:
    """A `transport.PeerTransport` over TCP.

    Parameters
    ----------
    listen : str
        ``tcp://IP:PORT`` to pull at; port 0 selects a free port.
    metrics : Metrics
        Counters of dropped messages.
    """

    def __init__(self, listen: str, metrics: Metrics):
        self._listen = listen
        self._metrics = metrics
        self._pull: pynng.Pull0 | None = None
        self._connections: dict[str, pynng.Push0] = {}
        self.address = listen

    def open(self) -> Failure | None:
        """Listen; return a failure if the address is already in use."""
        pull = pynng.Pull0(
            recv_buffer_size=RECEIVE_QUEUE_MESSAGES, recv_max_size=MAX_MESSAGE_BYTES
        )
        try:
            listener = pull.listen(self._listen)
        except pynng.NNGException as error:
            pull.close()
            return Failure(Reason.UNAVAILABLE, "peers.listen", detail=str(error))
        if self._listen.endswith(":0"):
            self.address = _address(listener)
        self._pull = pull
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
        while self._pull is not None:
            try:
                return await self._pull.arecv()
            except pynng.Closed:
                break
            except pynng.NNGException:
                self._metrics.incr("peers.receive_failed")
                await asyncio.sleep(RECEIVE_RETRY_MS / 1_000)
        return await asyncio.get_running_loop().create_future()

    def retain_addresses(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses."""
        for address in set(self._connections) - addresses:
            self._close(address)

    async def close(self) -> None:
        """Close all sockets."""
        self.retain_addresses(set())
        if self._pull is not None:
            self._pull.close()
            self._pull = None

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


def _address(listener: pynng.Listener) -> str:
    """Return the address of a listener on a free port."""
    return f"tcp://{listener.local_address}"
