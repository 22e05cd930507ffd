"""Sends and receives the messages of one entry instance."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

import msgspec

from ..clock import Clock
from ..config.document import Revision
from ..control.verdict import Result
from ..external.livelist import MemberState
from ..ids import EndpointId
from ..observability.log import Log
from ..observability.metrics import Metrics
from .builder import DigestBuilder, UrgentItems
from .digest import (
    CanaryResult,
    Digest,
    FullRequest,
    LeavingMember,
    LoadItem,
    Message,
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

PUSH_DELAY_MS = 200
"""Urgent news of this long go into one message."""

FULL_REQUEST_INTERVAL_MS = 2_000
REVISION_WAIT_MS = 3_000
"""How long the table has to give a revision before a peer is asked for it."""

SUMMARY_PARTNERS = 1
URGENT_PARTNERS = 2
SENDS_AT_ONCE = 16


class PeerHost(Protocol):
    """What the rest of the instance gives to peers and takes from them."""

    def revision(self) -> Revision | None:
        """Return the configuration in force."""
        ...

    def loads(self) -> list[LoadItem]:
        """Return the loads that this instance reports."""
        ...

    def services(self) -> tuple[ServiceSummary, ...]:
        """Return the load of each service in this data centre."""
        ...

    def hear_loads(self, digest: Digest, sent_wall_ms: int) -> None:
        """Take in the loads of a digest."""
        ...

    def hear_services(self, summary: Summary, sent_wall_ms: int) -> None:
        """Take in the loads of another data centre."""
        ...

    def hear_leaving(self, endpoint: EndpointId) -> None:
        """Give an endpoint no new work from now on."""
        ...

    def hear_tripped(self, item: TrippedVersion) -> None:
        """Take in that a version was tripped or cleared."""
        ...

    def hear_result(self, item: CanaryResult) -> None:
        """Take in a result of a version that gets its first traffic."""
        ...

    def hear_number(self, number: int) -> None:
        """Note the revision number of a peer."""
        ...

    def hear_revision(self, revision: Revision) -> None:
        """Take in a revision from a peer."""
        ...

    def members_changed(self) -> None:
        """Note that the membership was looked at again."""
        ...


class PeerExchange:
    """The shell around `Membership`: tasks, timers, bytes.

    Parameters
    ----------
    membership : Membership
        State of the peers.
    transport : PeerTransport
        Carries the bytes.
    sealer : Sealer
        Signs them.
    host : PeerHost
        The rest of the instance.
    clock, rng, log, metrics
        Of the instance; ``rng`` spreads the digests.
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
        self._turn = 0
        self._summary_due_ms = 0
        self._push = asyncio.Event()
        self._own_news = False
        self._heard_number = 0
        self._behind_since_ms: int | None = None
        self._asked_full_ms: dict[str, int] = {}

    def add_leaving(self, endpoint: EndpointId) -> None:
        """Tell everyone that an endpoint leaves."""
        if self.urgent.add_leaving(endpoint, self._clock.now_ms()):
            self._push_news()

    def add_tripped(self, item: TrippedVersion) -> None:
        """Tell everyone that a version was tripped or cleared."""
        if self.urgent.add_tripped(item, self._clock.now_ms()):
            self._push_news()

    def add_result(self, result: Result, *, is_bad: bool) -> None:
        """Tell everyone of an own result of a canary; at once if it is bad."""
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
            self._push_news()

    def revision_changed(self, number: int) -> None:
        """Tell everyone of a revision that no peer spoke of."""
        if number > self._heard_number:
            self._push_news()

    def leave(self) -> None:
        """Tell everyone at once that this instance leaves."""
        self._membership.leave()
        identity = self._membership.identity
        own = LeavingMember(identity.instance, identity.incarnation, identity.zone)
        self.urgent.add_member(own, self._clock.now_ms())
        self._push_news()

    def _push_news(self) -> None:
        self._own_news = True
        self._push.set()

    async def run_sending(self) -> None:
        """Send a digest each interval, and news at once, until cancelled."""
        while True:
            self._push.clear()
            await self.send_digest()
            spread = self._rng.uniform(0.9, 1.1)
            wait_ms = self._membership.interval_ms() * spread
            try:
                await asyncio.wait_for(self._push.wait(), wait_ms / 1_000)
            except TimeoutError:
                continue
            await self._clock.sleep_ms(PUSH_DELAY_MS)

    async def run_receiving(self) -> None:
        """Take in messages until cancelled."""
        while True:
            self.receive(await self._transport.receive())

    async def send_digest(self) -> None:
        """Send a digest to the data centre, and a summary to other ones."""
        now_ms = self._clock.now_ms()
        own_news, self._own_news = self._own_news, False
        if self._membership.tick(now_ms):
            self._log.event("peer_pause", now_ms=now_ms)
            self._builder.want_full()
        revision = self._host.revision()
        self._membership.number = revision.number if revision else 0
        self._host.members_changed()
        peers = [peer for peer in self._membership.zone_peers() if peer.address]
        await self._send_all(peers, self._digest(now_ms))
        await self._send_summary(now_ms, own_news)
        self._ask_revision(now_ms)
        self._transport.keep_only(
            {member.address for member in self._membership.members.values()}
        )

    async def _send_summary(self, now_ms: int, own_news: bool) -> None:
        """Send a summary if the next one is due, or at once for own news."""
        if not own_news and now_ms < self._summary_due_ms:
            return
        # Digests come up to a tenth early.
        wait_ms = round(0.75 * self._membership.summary_interval_ms())
        self._summary_due_ms = now_ms + wait_ms
        self._turn += 1
        count = URGENT_PARTNERS if own_news else SUMMARY_PARTNERS
        partners = self._membership.partners(now_ms, count, self._turn)
        if partners:
            await self._send_all(partners, self._summary(now_ms))

    def receive(self, data: bytes) -> Rejection | None:
        """Take in one message; return why it was dropped, if it was."""
        envelope = self._sealer.open(data, self._clock.wall_ms())
        if isinstance(envelope, Rejection):
            return self._reject(envelope)
        if envelope.sender == self._membership.identity.instance:
            return self._reject(Rejection.OWN)
        known = self._membership.members.get(envelope.sender)
        if known is not None and envelope.incarnation < known.incarnation:
            return self._reject(Rejection.OLD_INCARNATION)
        rejection = self.guard.judge(envelope)
        if rejection is not None:
            return self._reject(rejection)
        self._handle(envelope)
        return None

    def _reject(self, rejection: Rejection) -> Rejection:
        self.guard.rejected[rejection] += 1
        self._metrics.incr(f"peers.rejected.{rejection.value}")
        return rejection

    def _handle(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, Digest):
            self._hear_digest(envelope, message)
        elif isinstance(message, Summary):
            self._hear_summary(envelope, message)
        elif isinstance(message, FullRequest):
            # To all: for the others one digest to one peer would leave a gap.
            self._builder.want_full()
            self._push.set()
        elif isinstance(message, RevisionRequest):
            self._answer_revision(message)
        else:
            self._take_revision(message)

    def _hear_digest(self, envelope: Envelope, digest: Digest) -> None:
        now_ms = self._clock.now_ms()
        membership = self._membership
        known = membership.members.get(envelope.sender)
        before = (known.incarnation, known.state) if known else None
        wants_full = membership.hear_digest(
            envelope.sender, envelope.incarnation, envelope.seq, digest, now_ms
        )
        member = membership.members[envelope.sender]
        if before != (member.incarnation, member.state):
            self._log_member(member)
            self._host.members_changed()
        if wants_full:
            self._ask_full(member, now_ms)
        self._host.hear_loads(digest, envelope.sent_wall_ms)
        self._hear_urgent(digest.urgent, pass_on=False)
        self._hear_number(digest.number)

    def _hear_summary(self, envelope: Envelope, summary: Summary) -> None:
        now_ms = self._clock.now_ms()
        self._membership.hear_summary(summary, now_ms)
        self._host.hear_services(summary, envelope.sent_wall_ms)
        self._hear_urgent(summary.urgent, pass_on=True)
        self._hear_number(max((item.number for item in summary.members), default=0))

    def _hear_urgent(self, urgent: UrgentBody, *, pass_on: bool) -> None:
        """Apply what is news; ``pass_on`` tells it to this data centre."""
        now_ms = self._clock.now_ms()
        for endpoint in urgent.endpoints:
            if self.urgent.add_leaving(endpoint, now_ms, pass_on=pass_on):
                self._host.hear_leaving(endpoint)
        for member in urgent.members:
            if self.urgent.add_member(member, now_ms, pass_on=pass_on):
                self._membership.hear_leaving(member)
                self._host.members_changed()
        for item in urgent.tripped:
            if self.urgent.add_tripped(item, now_ms, pass_on=pass_on):
                self._host.hear_tripped(item)
        for result in urgent.results:
            if self.urgent.add_result(result, now_ms, pass_on=pass_on):
                self._host.hear_result(result)
        if self.urgent.has_news():
            self._push.set()

    def _hear_number(self, number: int) -> None:
        self._heard_number = max(self._heard_number, number)
        self._host.hear_number(number)

    def _ask_revision(self, now_ms: int) -> None:
        """Ask a peer for a revision that the table did not give in time."""
        own = self._membership.number
        if self._heard_number <= own:
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if now_ms - self._behind_since_ms < REVISION_WAIT_MS:
            return
        ahead = [
            member
            for member in self._membership.live_peers(now_ms)
            if member.number > own and member.address
        ]
        if ahead:
            request = RevisionRequest(own, self._transport.address)
            self._send(self._rng.choice(ahead).address, request)

    def _answer_revision(self, request: RevisionRequest) -> None:
        revision = self._host.revision()
        if revision is not None and revision.number > request.number:
            data = msgspec.msgpack.encode(revision)
            self._send(request.address, RevisionAnswer(data))

    def _take_revision(self, answer: RevisionAnswer) -> None:
        try:
            revision = msgspec.msgpack.decode(answer.revision, type=Revision)
        except msgspec.DecodeError:
            self._reject(Rejection.GARBAGE)
            return
        self._host.hear_revision(revision)

    def _ask_full(self, member: PeerMember, now_ms: int) -> None:
        asked_ms = self._asked_full_ms.get(member.instance)
        recently = asked_ms is not None and now_ms - asked_ms < FULL_REQUEST_INTERVAL_MS
        if recently or not member.address:
            return
        self._asked_full_ms[member.instance] = now_ms
        self._send(member.address, FullRequest(self._transport.address))

    def _digest(self, now_ms: int) -> Digest:
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
        return self._builder.build(head, self._host.loads(), self._seq + 1, now_ms)

    def _summary(self, now_ms: int) -> Summary:
        return Summary(
            zone=self._membership.identity.zone,
            members=self._membership.items(now_ms),
            services=self._host.services(),
            urgent=self.urgent.recent(now_ms),
        )

    async def _send_all(self, members: list[PeerMember], message: Message) -> None:
        data = self._seal(message)
        for index, member in enumerate(members, start=1):
            self._transport.send(member.address, data)
            if index % SENDS_AT_ONCE == 0:
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
