"""The other instances, and which of them are reachable."""

from __future__ import annotations

import msgspec

from ..addresses import is_sendable
from ..clock import Clock
from ..ids import InstanceId, ZoneId
from ..limits.processload import Neighbours
from ..observability.log import Log
from .digest import Digest

MAX_SILENCE_MS = 1_500
"""Over two intervals of digests between data centres in a large deployment: an instance
without digests for longer is unreachable, frozen or stopped."""

BUNDLED_SILENCE_MS = 3_000
"""The same for instances whose digests arrive in bundles: the sender of the bundles may
itself have to be replaced first."""

ZONE_SILENCE_MS = 500
BUNDLED_ZONE_SILENCE_MS = 2_000
"""Three intervals of digests, and two of bundles; such a short silence of a data centre
counts only together with a connection to it that timed out."""

MEMBER_EXPIRY_MS = 30_000
"""Longer than most network partitions: until then a silent instance may still serve
callers, and keeps its share of quotas and budgets."""

MAX_PARTITION_MS = 8_000
"""Most partitions end within this time; an instance that is silent for longer has
presumably ended."""

READER_COUNT = 2
"""Instances that read the store for all others; the second one covers the time
until the loss of the first is detected."""


class Member(msgspec.Struct):
    """Another instance as described by its last digest, or else by its row."""

    instance: InstanceId
    ip: str
    port: int
    added_ms: int
    last_received_ms: int | None = None
    zone: ZoneId = ZoneId("")
    incarnation: int = 0
    sequence: int = 0
    configuration: int = 0
    is_leaving: bool = False
    reaches_store: bool = True
    lease_token: int = 0
    lost_links: dict[str, int] = {}
    """Endpoints that it can't reach, by service; see `Digest`."""
    evacuated: frozenset[str] = frozenset()
    """Data centres that it knows to be evacuated."""
    applies_regions: bool = False
    """Whether it complies with allowed regions; see `Digest`."""
    in_progress: int = 0
    """Requests that it had sent to endpoints and that had no complete answer yet."""
    is_short: bool = False
    is_unready: bool = False
    """Whether it is short of processor time, and not ready for that reason."""
    is_bundled: bool = False
    """Whether the last digest arrived in a bundle."""


class Members:
    """The other instances and their reachability.

    Parameters
    ----------
    own : InstanceId
        This instance, which is not among the members.
    clock, log : Clock, Log
        Time source, and the log of members that become unreachable or reachable.

    Attributes
    ----------
    own : InstanceId
        This instance.
    last_counts : tuple of int
        Last result of `refresh_counts`.
    reachable_ids : frozenset of InstanceId
        The instances that were reachable then.
    """

    def __init__(self, own: InstanceId, clock: Clock, log: Log):
        self.own = own
        self._clock = clock
        self._log = log
        self._members: dict[InstanceId, Member] = {}
        self.reachable_ids: frozenset[InstanceId] = frozenset()
        self.last_counts = (1, 1)

    def all(self) -> list[Member]:
        """Return all other instances that have not expired."""
        return list(self._members.values())

    def record_address(
        self, instance: InstanceId, ip: str, port: int, zone: ZoneId = ZoneId("")
    ) -> None:
        """Record the address in an instance's row, unless its digests arrive.

        Parameters
        ----------
        instance : InstanceId
            The instance; this one is ignored.
        ip, port : str, int
            Address at which it receives messages.
        zone : ZoneId
            Its data centre; empty if the row does not name it.
        """
        if instance == self.own:
            return
        member = self._members.get(instance)
        if member is None:
            now_ms = self._clock.now_ms()
            self._members[instance] = Member(instance, ip, port, now_ms, zone=zone)
        elif not self.is_reachable(member):
            member.ip, member.port = ip, port

    def record_digest(self, digest: Digest, *, is_bundled: bool = False) -> bool:
        """Record a digest; return whether it is newer than the sender's last one.

        One with an address to which nothing can be sent is ignored.
        """
        instance = InstanceId(digest.instance)
        if instance == self.own or not is_sendable(digest.ip, digest.port):
            return False
        now_ms = self._clock.now_ms()
        member = self._members.get(instance)
        if member is None:
            member = Member(instance, digest.ip, digest.port, now_ms)
            self._members[instance] = member
        version = (digest.incarnation, digest.sequence)
        if version <= (member.incarnation, member.sequence):
            return False
        member.ip, member.port = digest.ip, digest.port
        member.zone = ZoneId(digest.zone)
        member.incarnation, member.sequence = version
        member.configuration = digest.configuration
        member.is_leaving = digest.is_leaving
        member.reaches_store = digest.reaches_store
        member.lease_token = digest.lease_token
        member.lost_links = digest.lost_links
        member.applies_regions = digest.applies_regions
        member.evacuated = frozenset(digest.evacuated)
        member.in_progress = sum(entry[0] for entry in digest.loads.values())
        member.last_received_ms = now_ms
        member.is_short, member.is_unready = digest.is_short, digest.is_unready
        member.is_bundled = is_bundled
        return True

    def is_reachable(self, member: Member) -> bool:
        """Return whether a digest of the member arrived lately."""
        last_received_ms = member.last_received_ms
        max_silence_ms = BUNDLED_SILENCE_MS if member.is_bundled else MAX_SILENCE_MS
        return (
            last_received_ms is not None
            and self._clock.now_ms() - last_received_ms < max_silence_ms
        )

    def has_serving(self) -> bool:
        """Return whether another instance is reachable and does not stop."""
        return any(self.is_reachable(m) and not m.is_leaving for m in self.all())

    def refresh_counts(self) -> tuple[int, int]:
        """Return the numbers of reachable and of all instances, with this one.

        Members that became reachable or unreachable are logged. Members that were
        silent for `MEMBER_EXPIRY_MS` are removed if at least half are reachable:
        otherwise this instance itself may be partitioned.
        """
        reachable_ids = frozenset(
            m.instance for m in self._members.values() if self.is_reachable(m)
        )
        self._log_changes(reachable_ids)
        if 2 * len(reachable_ids) >= len(self._members):
            self._expire_members()
        self.last_counts = (len(reachable_ids) + 1, len(self._members) + 1)
        return self.last_counts

    def neighbours(self, own_zone: ZoneId) -> Neighbours:
        """Return the instances of the own data centre, this one included."""
        near = [m for m in self._members.values() if m.zone in (own_zone, "")]
        near = [member for member in near if not member.is_leaving]
        heard = [member for member in near if self.is_reachable(member)]
        return Neighbours(
            position=sum(member.instance < self.own for member in heard),
            heard_count=len(heard) + 1,
            known_count=len(near) + 1,
            short_count=sum(member.is_short for member in heard),
            unready_count=sum(member.is_unready for member in heard),
        )

    def lease_holder(self) -> Member | None:
        """Return the reachable member that holds the lease on the duties, if any."""
        holders = [m for m in self._members.values() if m.lease_token]
        holders = [m for m in holders if self.is_reachable(m) and not m.is_leaving]
        return max(holders, key=lambda m: m.lease_token, default=None)

    def incarnations(self) -> dict[InstanceId, int]:
        """Return the incarnation of each reachable instance."""
        return {
            m.instance: m.incarnation
            for m in self._members.values()
            if self.is_reachable(m)
        }

    def expected_ids(self) -> list[InstanceId]:
        """Return the instances that are reachable or may soon be so again."""
        earliest_ms = self._clock.now_ms() - MAX_PARTITION_MS
        return [
            m.instance
            for m in self._members.values()
            if self.is_reachable(m)
            or (not m.is_leaving and (m.last_received_ms or m.added_ms) > earliest_ms)
        ]

    def is_reader(self, own_zone: ZoneId) -> bool:
        """Return whether this instance reads the store for the others.

        Instances that are reachable and reach the store are ranked by their position
        within their data centre, so that readers are in different data centres. Each
        side of a network partition has readers of its own.
        """
        by_zone: dict[ZoneId, list[InstanceId]] = {own_zone: [self.own]}
        for member in self._members.values():
            if (
                member.reaches_store
                and not member.is_leaving
                and self.is_reachable(member)
            ):
                by_zone.setdefault(member.zone, []).append(member.instance)
        ranked = sorted(
            (rank, zone, name)
            for zone, names in by_zone.items()
            for rank, name in enumerate(sorted(names))
        )
        return any(name == self.own for _, _, name in ranked[:READER_COUNT])

    def silent_zones(self, own_zone: ZoneId) -> frozenset[ZoneId]:
        """Return the other data centres all of whose instances are silent.

        Instances that announced their stop are not considered.
        """
        now_ms = self._clock.now_ms()
        is_silent_by_zone: dict[ZoneId, bool] = {}
        for member in self._members.values():
            if (
                member.last_received_ms is None
                or member.is_leaving
                or member.zone == own_zone
            ):
                continue
            max_silence_ms = ZONE_SILENCE_MS
            if member.is_bundled:
                max_silence_ms = BUNDLED_ZONE_SILENCE_MS
            is_silent = now_ms - member.last_received_ms > max_silence_ms
            is_silent_by_zone[member.zone] = (
                is_silent_by_zone.get(member.zone, True) and is_silent
            )
        return frozenset(
            zone for zone, is_silent in is_silent_by_zone.items() if is_silent
        )

    def _expire_members(self) -> None:
        now_ms = self._clock.now_ms()
        for member in list(self._members.values()):
            since_ms = max(member.last_received_ms or 0, member.added_ms)
            if now_ms - since_ms > MEMBER_EXPIRY_MS:
                del self._members[member.instance]
                self._log.event(
                    "instance_forgotten",
                    peer=member.instance,
                    silent_ms=now_ms - since_ms,
                )

    def _log_changes(self, reachable_ids: frozenset[InstanceId]) -> None:
        for instance in reachable_ids - self.reachable_ids:
            self._log.event("dependency_regained", dependency="peer", peer=instance)
        for instance in self.reachable_ids - reachable_ids:
            self._log.event("dependency_lost", dependency="peer", peer=instance)
        self.reachable_ids = reachable_ids
