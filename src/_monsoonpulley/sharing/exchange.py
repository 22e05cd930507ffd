"""Digests over UDP: one datagram to each other instance, several times a second.

UDP because a digest is of use only while it is fresh: a lost one is replaced by
the next, and a connection to a cut or silent instance never has to be found out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..errors import Failure
from ..fleet.relay import Relay
from ..log import Log
from .digest import Digest, decode_message, encode_message
from .members import Members

INTERVAL_MS = 150
"""Between two digests to the same instance, up to `FULL_RATE_MEMBERS`."""

FULL_RATE_MEMBERS = 12
"""With more instances the interval grows, so that messages a second of one
instance stay the same."""


class DigestExchange(asyncio.DatagramProtocol):
    """Sends this instance's digest and takes in the others'.

    Parameters
    ----------
    members : Members
        Whom to send to.
    make : callable
        Returns this instance's `Digest` of now.
    on_digest : callable
        Takes each `Digest` that is newer than what was known.
    on_relay : callable
        Takes each `Relay`.
    clock, log : Clock, Log
        Time, and where bad datagrams are noted.

    Attributes
    ----------
    sent, received, refused : int
        Datagrams so far.
    """

    def __init__(
        self,
        members: Members,
        make: Callable[[], Digest],
        on_digest: Callable[[Digest], None],
        on_relay: Callable[[Relay], None],
        clock: Clock,
        log: Log,
    ):
        self._members = members
        self._make = make
        self._on_digest = on_digest
        self._on_relay = on_relay
        self._clock = clock
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self.sent = 0
        self.received = 0
        self.refused = 0

    async def listen(self, ip: str, port: int) -> None:
        """Bind the address.

        Raises
        ------
        OSError
            If it can't be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            self.send_all()
            others = len(self._members.all())
            factor = max(1.0, others / FULL_RATE_MEMBERS)
            await self._clock.sleep_ms(INTERVAL_MS * factor)

    def send_all(self) -> None:
        """Send one digest to every other instance."""
        self._send(encode_message(self._make()))

    def relay(self, relays: list[Relay]) -> None:
        """Send relays to every other instance."""
        for relay in relays:
            self._send(encode_message(relay))

    def _send(self, data: bytes) -> None:
        if self._transport is None:
            return
        for member in self._members.all():
            self._transport.sendto(data, (member.ip, member.port))
            self.sent += 1

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in one message."""
        message = decode_message(data)
        if isinstance(message, Failure):
            self.refused += 1
            self._log.event("message_refused", peer=addr[0], error=str(message))
            return
        self.received += 1
        if isinstance(message, Relay):
            self._on_relay(message)
        elif self._members.hear(message):
            self._on_digest(message)

    def error_received(self, exc: Exception) -> None:
        """Pass over errors of single datagrams: the next one may arrive."""
