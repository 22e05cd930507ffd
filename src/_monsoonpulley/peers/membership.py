"""The entry instances as known to one of them; state without input and output.

The platform's list lags: it gives addresses, and evidence that a member is gone, but
does not show that a member is live. That follows from the member's digests, or from
summaries for members in other data centres.

``LEAVING`` is final for an incarnation: only a newer incarnation is live again.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from ..external.livelist import Member, MemberState, Role
from ..identity import Identity
from ..ids import InstanceId, ZoneId
from .digest import Digest, LeavingMember, MemberItem, Summary
from .rendezvous import choose_nodes

MIN_INTERVAL_MS = 1_000
MS_PER_PEER = 60
"""Interval of digests per peer in the data centre, if above `MIN_INTERVAL_MS`."""

MAX_MISSED_DIGESTS = 3
DIGESTS_PER_SUMMARY = 2
"""Intervals of digests between two summaries to other data centres."""

ZONE_UNREACHABLE_DIGESTS = 8
GONE_AFTER_MS = 30_000
GONE_WHILE_UNREACHABLE_MS = 120_000
MEMBER_EXPIRY_MS = 3_600_000
MAX_TICK_DELAY_MS = 1_000
"""A tick that is late by more than this means that the process was paused. With an
interval before the pause, its members have not missed `MAX_MISSED_DIGESTS` by then."""

FAST_POLLER_COUNT = 2


class PeerMember(msgspec.Struct):
    """Another entry instance as known to this one.

    Attributes
    ----------
    incarnation : int
        Highest known incarnation; 0 if nothing was received.
    last_received_ms : int or None
        When its last digest arrived, here or at the sender of a summary.
    is_listed : bool
        Whether the platform's latest list contains it.
    last_seq : int
        Sequence number of its last digest.
    """

    instance: InstanceId
    zone: ZoneId
    address: str = ""
    state: MemberState = MemberState.LIVE
    incarnation: int = 0
    number: int = 0
    change_token: str = ""
    last_received_ms: int | None = None
    is_listed: bool = False
    last_seq: int = 0


class Membership:
    """The members by instance, and the decisions that depend on them.

    Parameters
    ----------
    identity : Identity
        This instance.
    now_ms : int
        Clock time of its start.
    """

    def __init__(self, identity: Identity, now_ms: int):
        self.identity = identity
        self.state = MemberState.LIVE
        self.number = 0
        self.members: dict[InstanceId, PeerMember] = {}
        self._running_since_ms = now_ms
        self._last_tick_ms = now_ms
        self._list_received_ms: int | None = None
        self._zone_received_ms: dict[ZoneId, int] = {}

    def apply_list(self, members: Iterable[Member], now_ms: int) -> None:
        """Apply the platform's list: its members and their addresses."""
        entries = [member for member in members if member.role is Role.ENTRY]
        for known in self.members.values():
            known.is_listed = False
        for entry in entries:
            instance = InstanceId(entry.instance)
            if instance == self.identity.instance:
                continue
            known = self._member(instance, entry.zone)
            known.is_listed = True
            known.address = entry.peer_address or known.address
            if entry.state is MemberState.LEAVING and known.last_received_ms is None:
                known.state = MemberState.LEAVING
        self._list_received_ms = now_ms

    def record_digest(
        self,
        sender: InstanceId,
        incarnation: int,
        seq: int,
        digest: Digest,
        now_ms: int,
    ) -> bool:
        """Record a digest; return whether a full one must be requested."""
        member = self._member(sender, digest.zone or self.identity.zone)
        is_new = self._record_sign_of_life(
            member, incarnation, digest.state, digest.number, now_ms
        )
        has_gap = is_new or digest.previous_seq != member.last_seq
        member.last_seq = seq
        if digest.is_full:
            member.zone = digest.zone
            member.change_token = digest.change_token
            member.address = digest.address or member.address
        return has_gap and not digest.is_full

    def record_summary(self, summary: Summary, now_ms: int) -> None:
        """Record the members of another data centre."""
        if summary.zone == self.identity.zone:
            return
        self._zone_received_ms[summary.zone] = now_ms
        for item in summary.members:
            member = self._member(item.instance, summary.zone)
            last_received_ms = now_ms - item.heard_ms_ago
            self._record_sign_of_life(
                member, item.incarnation, item.state, item.number, last_received_ms
            )

    def record_leaving(self, item: LeavingMember) -> None:
        """Record that an incarnation of an instance is leaving."""
        if item.instance == self.identity.instance:
            return
        member = self._member(item.instance, item.zone)
        if item.incarnation > member.incarnation:
            member.incarnation = item.incarnation
            member.last_seq = 0
        if item.incarnation == member.incarnation:
            member.state = MemberState.LEAVING

    def tick(self, now_ms: int) -> bool:
        """Record that this process is running; return whether it was paused.

        After a pause, the silence of members and data centres counts from now on.
        """
        was_paused = (
            now_ms - self._last_tick_ms > self.interval_ms() + MAX_TICK_DELAY_MS
        )
        self._last_tick_ms = now_ms
        if was_paused:
            self._running_since_ms = now_ms
        self._expire_members(now_ms)
        return was_paused

    def leave(self) -> None:
        """Record that this instance is leaving."""
        self.state = MemberState.LEAVING

    def interval_ms(self) -> int:
        """Return the interval of digests, which grows with the data centre."""
        return max(MIN_INTERVAL_MS, MS_PER_PEER * len(self.zone_peers()))

    def summary_interval_ms(self) -> int:
        """Return the interval of summaries for other data centres."""
        return DIGESTS_PER_SUMMARY * self.interval_ms()

    def zone_peers(self) -> list[PeerMember]:
        """Return the members of this data centre that are listed or were received."""
        zone = self.identity.zone
        return [
            member
            for member in self.members.values()
            if member.zone == zone
            and (member.is_listed or member.last_received_ms is not None)
        ]

    def is_live(self, member: PeerMember, now_ms: int) -> bool:
        """Return whether a member may take new duties."""
        if member.last_received_ms is None or member.state is MemberState.LEAVING:
            return False
        is_local = member.zone == self.identity.zone
        allowed_digests = MAX_MISSED_DIGESTS if is_local else ZONE_UNREACHABLE_DIGESTS
        return now_ms - member.last_received_ms <= allowed_digests * self.interval_ms()

    def describe_state(self, member: PeerMember, now_ms: int) -> str:
        """Return the state of a member as shown to operators."""
        if member.state is MemberState.LEAVING:
            return "leaving"
        if member.last_received_ms is None:
            return "unheard"
        return "live" if self.is_live(member, now_ms) else "suspect"

    def live_peers(self, now_ms: int, zone: ZoneId | None = None) -> list[PeerMember]:
        """Return the live members of one or all data centres, without this one."""
        return [
            member
            for member in self.members.values()
            if zone in (None, member.zone) and self.is_live(member, now_ms)
        ]

    def live_instances(self, now_ms: int) -> list[InstanceId]:
        """Return the instances that share the work of this data centre.

        This instance is one of them unless it is leaving.
        """
        zone = self.identity.zone
        instances = [member.instance for member in self.live_peers(now_ms, zone)]
        if self.state is MemberState.LIVE:
            instances.append(self.identity.instance)
        return instances

    def unreachable_zones(self, now_ms: int) -> frozenset[ZoneId]:
        """Return the data centres from which summaries no longer arrive.

        A data centre with a single entry instance is never one of them, as the
        silence of one instance says nothing about the endpoints there.
        """
        limit_ms = ZONE_UNREACHABLE_DIGESTS * self.interval_ms()
        found = set()
        for zone in {member.zone for member in self.members.values()}:
            received_ms = self._zone_received_ms.get(zone, self._running_since_ms)
            silent_ms = now_ms - max(received_ms, self._running_since_ms)
            if zone != self.identity.zone and silent_ms > limit_ms:
                if len(self._members_not_leaving(zone)) > 1:
                    found.add(zone)
        return frozenset(found)

    def served_zones(self) -> frozenset[ZoneId]:
        """Return the other data centres that have entry instances."""
        return frozenset(
            member.zone
            for member in self.members.values()
            if member.zone != self.identity.zone
            and (member.is_listed or member.last_received_ms is not None)
        )

    def is_fast_poller(self, now_ms: int) -> bool:
        """Return whether this instance polls the configuration often."""
        pollers = choose_nodes(self.live_instances(now_ms), "config", FAST_POLLER_COUNT)
        return self.identity.instance in pollers

    def expected_members(self, now_ms: int) -> list[PeerMember]:
        """Return the members that may serve requests: all that have not left."""
        members = self.members.values()
        return [member for member in members if not self._has_left(member, now_ms)]

    def all_have_revision(self, number: int, now_ms: int) -> bool:
        """Return whether this and all expected members have a revision."""
        return self.number >= number and all(
            member.number >= number for member in self.expected_members(now_ms)
        )

    def is_gone(self, instance: InstanceId, incarnation: int, now_ms: int) -> bool:
        """Return whether an incarnation has ended, so that its work may be adopted.

        It has if a newer one is known. Otherwise it must have been silent for
        `GONE_AFTER_MS` while this process ran, and in addition either have announced
        its leaving while its data centre is reachable, or be missing from a fresh
        list. In an unreachable data centre it must be silent for
        `GONE_WHILE_UNREACHABLE_MS` and missing from the list.
        """
        if instance == self.identity.instance:
            return incarnation < self.identity.incarnation
        member = self.members.get(instance)
        if member is not None and member.incarnation != incarnation:
            if member.incarnation > incarnation:
                return True
            member = None
        silence_ms = self._silence_ms(member, now_ms)
        if silence_ms <= GONE_AFTER_MS:
            return False
        is_zone_unreachable = (
            member is not None and member.zone in self.unreachable_zones(now_ms)
        )
        is_leaving = member is not None and member.state is MemberState.LEAVING
        if (
            is_leaving
            and member.last_received_ms is not None
            and not is_zone_unreachable
        ):
            return True
        if is_zone_unreachable and silence_ms <= GONE_WHILE_UNREACHABLE_MS:
            return False
        return self._is_unlisted(instance, now_ms)

    def summary_items(self, now_ms: int) -> tuple[MemberItem, ...]:
        """Return the members of this data centre for a summary."""
        own = MemberItem(
            self.identity.instance,
            self.identity.incarnation,
            self.state,
            self.number,
            0,
        )
        peer_items = [
            MemberItem(
                member.instance,
                member.incarnation,
                member.state,
                member.number,
                now_ms - member.last_received_ms,
            )
            for member in self.zone_peers()
            if member.last_received_ms is not None
            and now_ms - member.last_received_ms <= GONE_WHILE_UNREACHABLE_MS
        ]
        return (own, *peer_items)

    def summary_targets(
        self, now_ms: int, count: int, round_number: int
    ) -> list[PeerMember]:
        """Return ``count`` members of each other data centre to send summaries to.

        Instances choose different members, and other ones in each round.
        """
        zones: dict[ZoneId, list[PeerMember]] = {}
        for member in self.members.values():
            if member.zone != self.identity.zone and member.address:
                if member.is_listed or self.is_live(member, now_ms):
                    zones.setdefault(member.zone, []).append(member)
        instances = sorted([*self.live_instances(now_ms), self.identity.instance])
        rank = instances.index(self.identity.instance)
        found: list[PeerMember] = []
        for members in zones.values():
            members.sort(key=lambda member: member.instance)
            first = rank + round_number
            indexes = {(first + i) % len(members) for i in range(count)}
            found += [members[index] for index in sorted(indexes)]
        return found

    def _record_sign_of_life(
        self,
        member: PeerMember,
        incarnation: int,
        state: MemberState,
        number: int,
        last_received_ms: int,
    ) -> bool:
        """Record a digest or summary item; return whether the incarnation is new."""
        if incarnation < member.incarnation:
            return False
        is_new = incarnation > member.incarnation
        if is_new:
            member.incarnation = incarnation
            member.state = state
            member.number = number
            member.change_token = ""
            member.last_seq = 0
            member.last_received_ms = last_received_ms
            return True
        if state is MemberState.LEAVING:
            member.state = state
        if number > member.number:
            member.number = number
            member.change_token = ""
        known_ms = member.last_received_ms
        member.last_received_ms = (
            last_received_ms if known_ms is None else max(known_ms, last_received_ms)
        )
        return False

    def _member(self, instance: InstanceId, zone: ZoneId) -> PeerMember:
        member = self.members.get(instance)
        if member is None:
            member = PeerMember(instance, zone)
            self.members[instance] = member
        return member

    def _members_not_leaving(self, zone: ZoneId) -> Sequence[PeerMember]:
        return [
            member
            for member in self.members.values()
            if member.zone == zone and member.state is MemberState.LIVE
        ]

    def _silence_ms(self, member: PeerMember | None, now_ms: int) -> int:
        last_received_ms = member.last_received_ms if member is not None else None
        since_ms = (
            self._running_since_ms if last_received_ms is None else last_received_ms
        )
        return now_ms - max(since_ms, self._running_since_ms)

    def _is_unlisted(self, instance: InstanceId, now_ms: int) -> bool:
        """Return whether a fresh list lacks the instance."""
        if (
            self._list_received_ms is None
            or self._list_received_ms < self._running_since_ms
        ):
            return False
        if now_ms - self._list_received_ms > GONE_AFTER_MS:
            return False
        member = self.members.get(instance)
        return member is None or not member.is_listed

    def _has_left(self, member: PeerMember, now_ms: int) -> bool:
        if member.is_listed and member.state is MemberState.LIVE:
            return False
        silence_ms = self._silence_ms(member, now_ms)
        return silence_ms > GONE_AFTER_MS

    def _expire_members(self, now_ms: int) -> None:
        for member in list(self.members.values()):
            is_expired = self._silence_ms(member, now_ms) > MEMBER_EXPIRY_MS
            if is_expired and not member.is_listed:
                del self.members[member.instance]
