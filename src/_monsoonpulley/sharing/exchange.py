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
from ..ids import ZoneId
from ..observability.log import Log
from .digest import Digest, decode_message, encode_message
from .members import Member, Members

DIGEST_INTERVAL_MS = 150
"""Between two digests to the same instance."""

FULL_RATE_MAX_MEMBERS = 12
"""With more instances, those of other data centres get only every
`REMOTE_ZONE_INTERVALS`-th digest: bytes between data centres are paid for."""

REMOTE_ZONE_INTERVALS = 4

FULL_DIGEST_INTERVALS = 3
"""Every so many digests carries customers' use and usage windows, which change
slowly next to the load of endpoints; the others leave them out."""


class DigestExchange(asyncio.DatagramProtocol):
    """Sends this instance's digest and takes in the others'.

    Parameters
    ----------
    members : Members
        Whom to send to.
    zone : ZoneId
        This instance's data centre.
    build_digest : callable
        Takes whether the digest is to be a full one, and whether it goes to all;
        returns this instance's `Digest` of now.
    on_digest : callable
        Takes each `Digest` that is newer than what was known.
    on_relay : callable
        Takes each `Relay`.
    clock, log : Clock, Log
        Time, and where bad datagrams are noted.

    Attributes
    ----------
    sent_count, received_count, rejected_count : int
        Datagrams so far.
    """

    def __init__(
        self,
        members: Members,
        zone: ZoneId,
        build_digest: Callable[[bool, bool], Digest],
        on_digest: Callable[[Digest], None],
        on_relay: Callable[[Relay], None],
        clock: Clock,
        log: Log,
    ):
        self._members = members
        self._zone = zone
        self._round = 0
        self._build_digest = build_digest
        self._on_digest = on_digest
        self._on_relay = on_relay
        self._clock = clock
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_count = 0
        self.received_count = 0
        self.rejected_count = 0

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
            self.send_round()
            await self._clock.sleep_ms(DIGEST_INTERVAL_MS)

    def send_round(self) -> None:
        """Send the digests that are due."""
        self._round += 1
        members = self._members.all()
        is_large = len(members) > FULL_RATE_MAX_MEMBERS
        to_all = True
        if is_large and self._round % REMOTE_ZONE_INTERVALS:
            to_all = False
            members = [m for m in members if m.zone in (self._zone, "")]
            is_full = self._round % FULL_DIGEST_INTERVALS == 0
        else:
            is_full = is_large or self._round % FULL_DIGEST_INTERVALS == 0
        self._send(encode_message(self._build_digest(is_full, to_all)), members)

    def broadcast_digest(self) -> None:
        """Send a full digest to every other instance at once."""
        self._send(encode_message(self._build_digest(True, True)), self._members.all())

    def broadcast_relays(self, relays: list[Relay]) -> None:
        """Send relays to every other instance."""
        for relay in relays:
            self._send(encode_message(relay), self._members.all())

    def _send(self, data: bytes, members: list[Member]) -> None:
        if self._transport is None:
            return
        for member in members:
            self._transport.sendto(data, (member.ip, member.port))
            self.sent_count += 1

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in one message."""
        message = decode_message(data)
        if isinstance(message, Failure):
            self.rejected_count += 1
            self._log.event("message_refused", peer=addr[0], error=str(message))
            return
        self.received_count += 1
        if isinstance(message, Relay):
            self._on_relay(message)
        elif self._members.record_digest(message):
            self._on_digest(message)

    def error_received(self, exc: Exception) -> None:
        """Pass over errors of single datagrams: the next one may arrive."""
