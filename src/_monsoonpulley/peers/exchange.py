"""Sends and receives the messages of one entry instance."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

import msgspec

from ..clock import Clock
from ..config.document import Revision
from ..control.verdict import Result
from ..errors import MALFORMED_ERRORS
from ..external.livelist import MemberState
from ..ids import EndpointId
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..quarantine.evidence import QuarantineNews
from .builder import DigestBuilder, UrgentItems
from .digest import (
    CanaryResult,
    Digest,
    FullRequest,
    LeavingMember,
    LoadItem,
    Message,
    QuarantineItem,
    RevisionAnswer,
    RevisionRequest,
    ServiceSummary,
    Summary,
    TrippedVersion,
    UrgentBody,
)
from .envelope import Envelope, Rejection, Sealer, SequenceGuard
from .membership import Membership, PeerMember
from .transport import PeerTransport

URGENT_BATCH_MS = 200
"""Urgent items that arrive within this time are sent in one message."""

FULL_REQUEST_INTERVAL_MS = 2_000
TABLE_REVISION_TIMEOUT_MS = 3_000
"""How long to wait for a revision from the table before requesting it from a peer."""

SUMMARY_TARGETS = 1
URGENT_SUMMARY_TARGETS = 2
SEND_BATCH_SIZE = 16


class PeerHost(Protocol):
    """Interface between the peers and the rest of the instance."""

    def revision(self) -> Revision | None:
        """Return the configuration in force."""
        ...

    def reported_loads(self) -> list[LoadItem]:
        """Return the loads of the endpoints that this instance reports on."""
        ...

    def service_loads(self) -> tuple[ServiceSummary, ...]:
        """Return the load of each service in this data centre."""
        ...

    def handle_loads(self, digest: Digest, sent_wall_ms: int) -> None:
        """Apply the loads in a digest."""
        ...

    def handle_service_loads(self, summary: Summary, sent_wall_ms: int) -> None:
        """Apply the loads of another data centre."""
        ...

    def handle_leaving_endpoint(self, endpoint: EndpointId) -> None:
        """Stop sending new work to a leaving endpoint."""
        ...

    def handle_tripped_version(self, item: TrippedVersion) -> None:
        """Apply that a version was tripped or cleared."""
        ...

    def handle_result(self, item: CanaryResult) -> None:
        """Record a result of a version that receives its first traffic."""
        ...

    def handle_quarantine(self, item: QuarantineItem) -> None:
        """Apply news of crashes and of what is refused."""
        ...

    def handle_revision_number(self, number: int) -> None:
        """Record the revision number of a peer."""
        ...

    def handle_revision(self, revision: Revision) -> None:
        """Apply a revision from a peer."""
        ...

    def on_members_changed(self) -> None:
        """Update what depends on the membership."""
        ...


class PeerExchange:
    """Tasks, timers and input and output around `Membership`.

    Parameters
    ----------
    membership : Membership
        State of the peers.
    transport : PeerTransport
        Transports the sealed messages.
    sealer : Sealer
        Authenticates the messages.
    host : PeerHost
        Interface to the rest of the instance.
    clock, rng, log, metrics
        Those of the instance; ``rng`` spreads the times of digests.
    """

    def __init__(
        self,
        membership: Membership,
        transport: PeerTransport,
        sealer: Sealer,
        host: PeerHost,
        clock: Clock,
        rng: random.Random,
        log: Log,
        metrics: Metrics,
    ):
        self.urgent = UrgentItems()
        self.guard = SequenceGuard()
        self._membership = membership
        self._transport = transport
        self._sealer = sealer
        self._host = host
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._builder = DigestBuilder(self.urgent)
        self._seq = 0
        self._result_number = 0
        self._quarantine_number = 0
        self._summary_round = 0
        self._summary_due_ms = 0
        self._wake_sender = asyncio.Event()
        self._has_own_urgent = False
        self._highest_peer_number = 0
        self._behind_since_ms: int | None = None
        self._full_requested_ms: dict[str, int] = {}

    def announce_leaving(self, endpoint: EndpointId) -> None:
        """Notify all entry instances that an endpoint is leaving."""
        if self.urgent.add_leaving_endpoint(endpoint, self._clock.now_ms()):
            self._send_urgent_soon()

    def announce_tripped(self, item: TrippedVersion) -> None:
        """Notify all entry instances that a version was tripped or cleared."""
        if self.urgent.add_tripped(item, self._clock.now_ms()):
            self._send_urgent_soon()

    def announce_result(self, result: Result, *, is_bad: bool) -> None:
        """Send a result of this instance's canary attempts, a bad one at once."""
        identity = self._membership.identity
        self._result_number += 1
        item = CanaryResult(
            identity.instance,
            identity.incarnation,
            self._result_number,
            self._clock.wall_ms(),
            result,
        )
        self.urgent.add_result(item, self._clock.now_ms())
        if is_bad:
            self._send_urgent_soon()

    def announce_quarantine(self, news: QuarantineNews) -> None:
        """Notify all entry instances at once of crashes and of what is refused."""
        identity = self._membership.identity
        self._quarantine_number += 1
        item = QuarantineItem(
            identity.instance,
            identity.incarnation,
            self._quarantine_number,
            self._clock.wall_ms(),
            news,
        )
        self.urgent.add_quarantine(item, self._clock.now_ms())
        self._send_urgent_soon()

    def announce_revision(self, number: int) -> None:
        """Notify all entry instances of a revision unless a peer had it first."""
        if number > self._highest_peer_number:
            self._send_urgent_soon()

    def leave(self) -> None:
        """Notify all entry instances at once that this one is leaving."""
        self._membership.leave()
        identity = self._membership.identity
        own = LeavingMember(identity.instance, identity.incarnation, identity.zone)
        self.urgent.add_leaving_member(own, self._clock.now_ms())
        self._send_urgent_soon()

    def _send_urgent_soon(self) -> None:
        self._has_own_urgent = True
        self._wake_sender.set()

    async def run_sending(self) -> None:
        """Send a digest per interval, and urgent items at once, until cancelled."""
        while True:
            self._wake_sender.clear()
            await self.send_digest()
            spread = self._rng.uniform(0.9, 1.1)
            wait_ms = self._membership.interval_ms() * spread
            try:
                await asyncio.wait_for(self._wake_sender.wait(), wait_ms / 1_000)
            except TimeoutError:
                continue
            await self._clock.sleep_ms(URGENT_BATCH_MS)

    async def run_receiving(self) -> None:
        """Handle received messages until cancelled."""
        while True:
            self.receive(await self._transport.receive())

    async def send_digest(self) -> None:
        """Send a digest within the data centre and summaries that are due."""
        now_ms = self._clock.now_ms()
        has_own_urgent, self._has_own_urgent = self._has_own_urgent, False
        was_paused = self._membership.tick(now_ms)
        if was_paused:
            self._log.event("peer_pause", now_ms=now_ms)
            self._builder.request_full()
        self.guard.expire(self._clock.wall_ms())
        revision = self._host.revision()
        self._membership.number = revision.number if revision else 0
        if not was_paused:
            # After a pause all members look silent until what they sent meanwhile has
            # been read: until the next tick, those of before it count.
            self._host.on_members_changed()
        peers = [peer for peer in self._membership.zone_peers() if peer.address]
        await self._send_all(peers, self._build_digest(now_ms))
        await self._send_summary(now_ms, has_own_urgent)
        self._request_revision(now_ms)
        self._transport.retain_addresses(
            {member.address for member in self._membership.members.values()}
        )

    async def _send_summary(self, now_ms: int, has_own_urgent: bool) -> None:
        """Send a summary if it is due or if this instance has urgent items."""
        if not has_own_urgent and now_ms < self._summary_due_ms:
            return
        # Summaries follow digests, whose interval may be a tenth shorter.
        wait_ms = round(0.75 * self._membership.summary_interval_ms())
        self._summary_due_ms = now_ms + wait_ms
        self._summary_round += 1
        count = URGENT_SUMMARY_TARGETS if has_own_urgent else SUMMARY_TARGETS
        targets = self._membership.summary_targets(now_ms, count, self._summary_round)
        if targets:
            await self._send_all(targets, self._build_summary(now_ms))

    def receive(self, data: bytes) -> Rejection | None:
        """Handle one message; return the reason if it was dropped."""
        envelope = self._sealer.open(data, self._clock.wall_ms())
        if isinstance(envelope, Rejection):
            return self._reject(envelope)
        if envelope.sender == self._membership.identity.instance:
            return self._reject(Rejection.OWN)
        known = self._membership.members.get(envelope.sender)
        if known is not None and envelope.incarnation < known.incarnation:
            return self._reject(Rejection.OLD_INCARNATION)
        rejection = self.guard.check(envelope)
        if rejection is not None:
            return self._reject(rejection)
        self._handle_message(envelope)
        return None

    def _reject(self, rejection: Rejection) -> Rejection:
        self.guard.rejected[rejection] += 1
        self._metrics.incr(f"peers.rejected.{rejection.value}")
        return rejection

    def _handle_message(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, Digest):
            self._handle_digest(envelope, message)
        elif isinstance(message, Summary):
            self._handle_summary(envelope, message)
        elif isinstance(message, FullRequest):
            # Sent to all: if one peer alone received a digest, the others would
            # find a gap in the sequence numbers.
            self._builder.request_full()
            self._wake_sender.set()
        elif isinstance(message, RevisionRequest):
            self._send_revision(message)
        else:
            self._handle_revision_answer(message)

    def _handle_digest(self, envelope: Envelope, digest: Digest) -> None:
        now_ms = self._clock.now_ms()
        membership = self._membership
        known = membership.members.get(envelope.sender)
        previous_state = (known.incarnation, known.state) if known else None
        needs_full = membership.record_digest(
            envelope.sender, envelope.incarnation, envelope.seq, digest, now_ms
        )
        member = membership.members[envelope.sender]
        if previous_state != (member.incarnation, member.state):
            self._log_member(member)
            self._host.on_members_changed()
        if needs_full:
            self._request_full_digest(member, now_ms)
        self._host.handle_loads(digest, envelope.sent_wall_ms)
        self._handle_urgent(digest.urgent, forward=False)
        self._handle_revision_number(digest.number)

    def _handle_summary(self, envelope: Envelope, summary: Summary) -> None:
        now_ms = self._clock.now_ms()
        self._membership.record_summary(summary, now_ms)
        self._host.handle_service_loads(summary, envelope.sent_wall_ms)
        self._handle_urgent(summary.urgent, forward=True)
        self._handle_revision_number(
            max((item.number for item in summary.members), default=0)
        )

    def _handle_urgent(self, urgent: UrgentBody, *, forward: bool) -> None:
        """Apply new items; with ``forward`` the next digest sends them on."""
        now_ms = self._clock.now_ms()
        for endpoint in urgent.endpoints:
            if self.urgent.add_leaving_endpoint(endpoint, now_ms, forward=forward):
                self._host.handle_leaving_endpoint(endpoint)
        for member in urgent.members:
            if self.urgent.add_leaving_member(member, now_ms, forward=forward):
                self._membership.record_leaving(member)
                self._host.on_members_changed()
        for item in urgent.tripped:
            if self.urgent.add_tripped(item, now_ms, forward=forward):
                self._host.handle_tripped_version(item)
        for result in urgent.results:
            if self.urgent.add_result(result, now_ms, forward=forward):
                self._host.handle_result(result)
        for news in urgent.quarantine:
            if self.urgent.add_quarantine(news, now_ms, forward=forward):
                self._host.handle_quarantine(news)
        if self.urgent.has_unsent():
            self._wake_sender.set()

    def _handle_revision_number(self, number: int) -> None:
        self._highest_peer_number = max(self._highest_peer_number, number)
        self._host.handle_revision_number(number)

    def _request_revision(self, now_ms: int) -> None:
        """Request a revision from a peer if the table has not given it in time."""
        own_number = self._membership.number
        if self._highest_peer_number <= own_number:
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if now_ms - self._behind_since_ms < TABLE_REVISION_TIMEOUT_MS:
            return
        newer_peers = [
            member
            for member in self._membership.live_peers(now_ms)
            if member.number > own_number and member.address
        ]
        if newer_peers:
            request = RevisionRequest(own_number, self._transport.address)
            self._send(self._rng.choice(newer_peers).address, request)

    def _send_revision(self, request: RevisionRequest) -> None:
        revision = self._host.revision()
        if revision is not None and revision.number > request.number:
            data = msgspec.msgpack.encode(revision)
            self._send(request.address, RevisionAnswer(data))

    def _handle_revision_answer(self, answer: RevisionAnswer) -> None:
        try:
            revision = msgspec.msgpack.decode(answer.revision, type=Revision)
        except MALFORMED_ERRORS:
            self._reject(Rejection.GARBAGE)
            return
        self._host.handle_revision(revision)

    def _request_full_digest(self, member: PeerMember, now_ms: int) -> None:
        self._full_requested_ms = {
            instance: requested_ms
            for instance, requested_ms in self._full_requested_ms.items()
            if now_ms - requested_ms < FULL_REQUEST_INTERVAL_MS
        }
        if member.instance in self._full_requested_ms or not member.address:
            return
        self._full_requested_ms[member.instance] = now_ms
        self._send(member.address, FullRequest(self._transport.address))

    def _build_digest(self, now_ms: int) -> Digest:
        membership = self._membership
        revision = self._host.revision()
        head = Digest(
            state=membership.state,
            number=revision.number if revision else 0,
            previous_seq=0,
            is_full=False,
            zone=membership.identity.zone,
            change_token=revision.change_token if revision else "",
            address=self._transport.address,
        )
        return self._builder.build(
            head, self._host.reported_loads(), self._seq + 1, now_ms
        )

    def _build_summary(self, now_ms: int) -> Summary:
        return Summary(
            zone=self._membership.identity.zone,
            members=self._membership.summary_items(now_ms),
            services=self._host.service_loads(),
            urgent=self.urgent.recent_items(now_ms),
        )

    async def _send_all(self, members: list[PeerMember], message: Message) -> None:
        data = self._seal(message)
        for index, member in enumerate(members, start=1):
            self._transport.send(member.address, data)
            if index % SEND_BATCH_SIZE == 0:
                await asyncio.sleep(0)

    def _send(self, address: str, message: Message) -> None:
        self._transport.send(address, self._seal(message))

    def _seal(self, message: Message) -> bytes:
        self._seq += 1
        identity = self._membership.identity
        envelope = Envelope(
            identity.instance,
            identity.incarnation,
            self._seq,
            self._clock.wall_ms(),
            message,
        )
        return self._sealer.seal(envelope)

    def _log_member(self, member: PeerMember) -> None:
        self._log.event(
            "peer_member",
            peer=member.instance,
            zone=member.zone,
            incarnation=member.incarnation,
            state=member.state.value,
            number=member.number,
        )
        if member.state is MemberState.LEAVING:
            self._metrics.incr("peers.leaving")
