"""Exchanges digests over UDP: a datagram to each instance several times a second.

A digest is useful only while it is fresh, so a lost one is not sent again: the next
one replaces it. UDP has no connections either, whose loss would first have to be
detected when an instance becomes unreachable.
"""

from __future__ import annotations

import asyncio
import heapq
import math
import socket
from collections import deque
from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..errors import Failure, describe_error
from ..fleet.relay import Relay
from ..ids import ZoneId
from ..observability.log import Log
from ..peers.rendezvous import weight
from ..quarantine.evidence import QuarantineNews
from .bundles import BundleReceivers, DigestBundles
from .digest import Bundle, Digest, UsageCounts, decode_message, encode_message
from .members import Member, Members

DIGEST_INTERVAL_MS = 150
"""Interval of the digests to an instance."""

FULL_RATE_MAX_MEMBERS = 12
"""With more members, those in other data centres receive a digest only in every
`REMOTE_ZONE_INTERVALS`-th round, as traffic between data centres costs money, and
relays reach them through some of them."""

REMOTE_ZONE_INTERVALS = 4

MAX_DIRECT_REMOTE_MEMBERS = 72
"""With more members in other data centres, digests reach them in bundles: each
instance would otherwise send and receive over 120 datagrams a second for them."""

BUNDLE_INTERVALS = 6
"""Each instance elsewhere gets the bundles every n-th round."""

OWN_ZONE_MEMBERS_PER_INTERVAL = 16
"""While digests are bundled, so many members of the own data centre get one in each
round."""

SLICE_BYTES = 8_000
SLICE_INTERVAL_MS = 10
"""Broadcasts and bundles use two thirds of a link of 10 Mbit/s while they last. That is
the smallest link that instances are run on; a smaller one drops datagrams again."""

FORWARDER_COUNT = 2
"""Instances of each data centre that send a relay on there; the second one covers the
loss of the first."""

MAX_DATAGRAM_BYTES = 65_535
"""The largest that UDP allows."""

MAX_WAITING_DATAGRAMS = 1_000
"""Datagrams that `DigestExchange.receive_waiting` reads at once: more than the socket's
buffer holds of those that instances send regularly."""

MAX_QUEUED_DATAGRAMS = 10_000
"""Datagrams that wait to be sent; beyond, the oldest are dropped."""

FULL_DIGEST_INTERVALS = 3
"""Every n-th digest is a full one with the used quotas, which change slowly compared
with the load of endpoints."""


class DigestExchange(asyncio.DatagramProtocol):
    """Sends this instance's digests and relays, and receives those of others.

    Parameters
    ----------
    members : Members
        The instances to send to; they are updated with each received digest.
    zone : ZoneId
        This instance's data centre.
    build_digest : callable
        Called with whether the digest is a full one and whether it goes to all
        instances; returns this instance's current `Digest`.
    on_full_round : callable
        Called before each round of full digests: what it sends is not among the last
        datagrams of the round, which a small link drops.
    on_digest : callable
        Called with each `Digest` that is newer than the last of its sender.
    on_usage : callable
        Called with each `UsageCounts`.
    on_relay : callable
        Called with each `Relay`.
    on_quarantine : callable
        Called with each `QuarantineNews`.
    clock, log : Clock, Log
        Time source, and the log of malformed datagrams.

    Attributes
    ----------
    sent_count, received_count, rejected_count : int
        Numbers of datagrams since the start.
    """

    def __init__(
        self,
        members: Members,
        zone: ZoneId,
        build_digest: Callable[[bool, bool], Digest],
        on_full_round: Callable[[], None],
        on_digest: Callable[[Digest], None],
        on_usage: Callable[[UsageCounts], None],
        on_relay: Callable[[Relay], None],
        on_quarantine: Callable[[QuarantineNews], None],
        clock: Clock,
        log: Log,
    ):
        self._members = members
        self._zone = zone
        # Instances that start together must not all send to the same ones at once.
        self._round = weight(members.own, "round") % BUNDLE_INTERVALS
        self._build_digest = build_digest
        self._on_full_round = on_full_round
        self._on_digest = on_digest
        self._on_usage = on_usage
        self._on_relay = on_relay
        self._on_quarantine = on_quarantine
        self._clock = clock
        self._log = log
        self._near_data = b""
        self._cycle_data = b""
        self._queued: deque[tuple[bytes, Member]] = deque(maxlen=MAX_QUEUED_DATAGRAMS)
        self._has_queued = asyncio.Event()
        self._slice_due_ms = clock.now_ms()
        self._bundles = DigestBundles(BUNDLE_INTERVALS)
        self._bundle_receivers = BundleReceivers(members.own)
        self._is_bundling = False
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None
        self.sent_count = 0
        self.received_count = 0
        self.rejected_count = 0

    async def listen(self, ip: str, port: int) -> None:
        """Bind the address to receive datagrams.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        bound = socket.socket(family, socket.SOCK_DGRAM)
        try:
            bound.setblocking(False)
            bound.bind((ip, port))
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(lambda: self, sock=bound)
        except OSError:
            bound.close()
            raise
        self._socket = bound

    def close(self) -> None:
        """Stop receiving and sending."""
        if self._transport is not None:
            self._transport.close()
            self._transport = self._socket = None

    async def run(self) -> None:
        """Send digests and what is queued until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_rounds(), name="digests/rounds")
            group.create_task(self._send_queued(), name="digests/queued")

    async def _send_rounds(self) -> None:
        await self._clock.sleep_ms(weight(self._members.own, "") % DIGEST_INTERVAL_MS)
        while True:
            self.send_round()
            await self._clock.sleep_ms(DIGEST_INTERVAL_MS)

    async def _send_queued(self) -> None:
        while True:
            await self._has_queued.wait()
            while self._queued:
                await self._clock.sleep_ms(SLICE_INTERVAL_MS)
                self.send_slice()
            self._has_queued.clear()

    def send_slice(self) -> None:
        """Send as much of what is queued as a small link takes.

        At once, a broadcast to hundreds of instances would be more than that, and the
        last of them would not receive it.
        """
        self._slice_due_ms = self._clock.now_ms() + SLICE_INTERVAL_MS
        sent_bytes = 0
        while self._queued and sent_bytes < SLICE_BYTES:
            data, member = self._queued.popleft()
            self._send(data, [member])
            sent_bytes += len(data)

    def send_round(self) -> None:
        """Send a digest to each member that is due in this round."""
        self._round += 1
        members = self._members.all()
        near = [m for m in members if m.zone in (self._zone, "")]
        self._is_bundling = len(members) - len(near) > MAX_DIRECT_REMOTE_MEMBERS
        if self._is_bundling:
            self._send_bundled_round(near, members)
            return
        if len(members) > FULL_RATE_MAX_MEMBERS:
            self._send_spread_round(near, members)
            return
        is_full = self._round % FULL_DIGEST_INTERVALS == 0
        if is_full:
            self._on_full_round()
        self._send(encode_message(self._build_digest(is_full, True)), members)

    def _send_spread_round(self, near: list[Member], members: list[Member]) -> None:
        """Send a digest to the own data centre and to a share of the other members.

        A small link drops the last of more datagrams than it takes at once: sent in one
        round, they would never reach the same members.
        """
        remote = [m for m in members if m.zone not in (self._zone, "")]
        turn = self._round % REMOTE_ZONE_INTERVALS
        if turn == 0:
            self._on_full_round()
            # The only digest of a cycle with results, which all have to get once.
            self._cycle_data = encode_message(self._build_digest(True, True))
            self._send(self._cycle_data, near)
        else:
            is_full = self._round % FULL_DIGEST_INTERVALS == 0
            self._send(encode_message(self._build_digest(is_full, False)), near)
        if self._cycle_data:
            self._send(self._cycle_data, remote[turn::REMOTE_ZONE_INTERVALS])

    def _send_bundled_round(self, near: list[Member], members: list[Member]) -> None:
        """Send a digest to a share of the own data centre, and bundles elsewhere.

        All at once would be more than a small link takes in an instant.
        """
        now_ms = self._clock.now_ms()
        near_intervals = math.ceil((len(near) + 1) / OWN_ZONE_MEMBERS_PER_INTERVAL)
        turn = self._round % near_intervals
        if turn == 0 or not self._near_data:
            digest = self._build_digest(True, True)
            self._bundles.record(digest, self._round, now_ms)
            self._near_data = encode_message(digest)
        self._send(self._near_data, near[turn::near_intervals])
        remote = {m.instance: m for m in members if m.zone not in (self._zone, "")}
        senders = [self._members.own]
        senders += [
            m.instance
            for m in near
            if self._members.is_reachable(m) and not m.is_leaving
        ]
        assigned = self._bundle_receivers.assigned(senders, list(remote))
        turn = self._round % BUNDLE_INTERVALS
        receivers = [remote[instance] for instance in assigned[turn::BUNDLE_INTERVALS]]
        if receivers:
            for bundle in self._bundles.take(self._round, now_ms):
                self._queue(encode_message(bundle), receivers)
        if turn == 0:
            self._on_full_round()

    def broadcast_digest(self) -> None:
        """Send a full digest to every other instance immediately."""
        self._broadcast(encode_message(self._build_digest(True, True)))

    def broadcast_relays(self, relays: list[Relay]) -> None:
        """Send relays to every other instance.

        In large fleets two instances of each data centre send them on there: a small
        link takes seconds for as many datagrams as there are instances.
        """
        for relay in relays:
            self._send_to_all(relay, f"{relay.table}/{relay.until}")

    def broadcast_quarantine(self, news: QuarantineNews) -> None:
        """Send news of crashes and of refused requests to every other instance."""
        self._send_to_all(news, f"quarantine/{self._clock.now_ms()}")

    def _send_to_all(self, message: Relay | QuarantineNews, key: str) -> None:
        if len(self._members.all()) > FULL_RATE_MAX_MEMBERS:
            self._send_by_zone(message, key)
        else:
            self._broadcast(encode_message(message))

    def _send_by_zone(self, message: Relay | QuarantineNews, key: str) -> None:
        by_zone: dict[ZoneId, list[Member]] = {}
        for member in self._members.all():
            by_zone.setdefault(member.zone or self._zone, []).append(member)
        forwarders = [
            member
            for members in by_zone.values()
            for member in self._choose_forwarders(members, key)
        ]
        message = msgspec.structs.replace(message, must_forward=True)
        self._queue(encode_message(message), forwarders)

    def _choose_forwarders(self, members: list[Member], key: str) -> list[Member]:
        """Return instances of a data centre, others for each key."""
        reachable = [m for m in members if self._members.is_reachable(m)]
        candidates = [m for m in reachable if not m.is_leaving] or members
        return heapq.nlargest(
            FORWARDER_COUNT, candidates, key=lambda m: weight(m.instance, key)
        )

    def _forward(self, message: Relay | QuarantineNews) -> None:
        near = [m for m in self._members.all() if m.zone in (self._zone, "")]
        self._queue(
            encode_message(msgspec.structs.replace(message, must_forward=False)), near
        )

    def send_usage(self, usage: UsageCounts, members: list[Member]) -> None:
        """Send usage counts to the given members."""
        if members:
            self._send(encode_message(usage), members)

    def _broadcast(self, data: bytes) -> None:
        self._queue(data, self._members.all())

    def _queue(self, data: bytes, members: list[Member]) -> None:
        """Send to the members in slices, the first one at once."""
        is_idle = not self._queued
        self._queued.extend((data, member) for member in members)
        if is_idle and self._clock.now_ms() >= self._slice_due_ms:
            self.send_slice()
        if self._queued:
            self._has_queued.set()

    def _send(self, data: bytes, members: list[Member]) -> None:
        if self._transport is None:
            return
        for member in members:
            self._transport.sendto(data, (member.ip, member.port))
            self.sent_count += 1

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport for sending."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a message and pass it on; log it if it is malformed."""
        message = decode_message(data)
        if isinstance(message, Failure):
            self.rejected_count += 1
            self._log.event("message_refused", peer=addr[0], error=str(message))
            return
        self.received_count += 1
        if isinstance(message, Relay):
            if message.must_forward:
                self._forward(message)
            self._on_relay(message)
        elif isinstance(message, QuarantineNews):
            if message.must_forward:
                self._forward(message)
            self._on_quarantine(message)
        elif isinstance(message, UsageCounts):
            self._on_usage(message)
        elif isinstance(message, Bundle):
            for digest in message.digests:
                if self._members.record_digest(digest, is_bundled=True):
                    self._on_digest(digest)
        elif self._members.record_digest(message):
            if self._is_bundling and message.zone == self._zone:
                self._bundles.record(message, self._round + 1, self._clock.now_ms())
            self._on_digest(message)

    def receive_waiting(self) -> None:
        """Handle the datagrams that have arrived, without waiting for more.

        The event loop reads one in each of its turns, so that timers which went off
        while this process stood still run before most of them.
        """
        if self._socket is None:
            return
        for _ in range(MAX_WAITING_DATAGRAMS):
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # Of an earlier datagram that could not be delivered.
                self.error_received(error)
                continue
            try:
                self.datagram_received(data, address)
            except Exception as error:
                # As in the event loop, an error over one message ends nothing else.
                self._log.event(
                    "message_failed", peer=address[0], error=describe_error(error)
                )

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of single datagrams, as later ones may arrive."""
