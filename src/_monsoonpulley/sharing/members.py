"""Which other instances there are, and which are heard."""

from __future__ import annotations

import msgspec

from ..clock import Clock
from ..ids import InstanceId, ZoneId
from ..observability.log import Log
from .digest import Digest

HEARD_MS = 1_500
"""Two digests between data centres where there are many instances: an instance
silent for so long is cut off, frozen or gone."""

ZONE_SILENT_MS = 500
"""Three digests; only together with a connection that timed out does the silence
of a data centre's instances count."""

FORGET_MS = 30_000
"""Longer than cuts usually last: until then a silent instance may still serve
callers elsewhere, and keeps its share of what is divided."""

READERS = 2
"""Instances that read the store for all: the second bridges the time until the
loss of the first is noticed."""


class Member(msgspec.Struct):
    """Another instance as last heard, or as its row in the store names it."""

    instance: InstanceId
    ip: str
    port: int
    known_ms: int
    heard_ms: int | None = None
    zone: ZoneId = ZoneId("")
    incarnation: int = 0
    sequence: int = 0
    configuration: int = 0
    is_leaving: bool = False
    reaches_store: bool = True
    lease_token: int = 0


class Members:
    """The other instances.

    Parameters
    ----------
    own : InstanceId
        This instance, which is no member of its own list.
    clock, log : Clock, Log
        Time, and where a lost or regained instance is noted.

    Attributes
    ----------
    last_count : tuple of int
        What `count` last returned.
    """

    def __init__(self, own: InstanceId, clock: Clock, log: Log):
        self._own = own
        self._clock = clock
        self._log = log
        self._members: dict[InstanceId, Member] = {}
        self._heard: set[InstanceId] = set()
        self.last_count = (1, 1)

    def all(self) -> list[Member]:
        """Return every other instance that may exist."""
        return list(self._members.values())

    def know(self, instance: InstanceId, ip: str, port: int) -> None:
        """Take over an instance's address from its row."""
        if instance == self._own:
            return
        member = self._members.get(instance)
        if member is None:
            now_ms = self._clock.now_ms()
            self._members[instance] = Member(instance, ip, port, now_ms)
        elif not self.is_heard(member):
            member.ip, member.port = ip, port

    def hear(self, digest: Digest) -> bool:
        """Take in a digest; return whether it is newer than what is known."""
        instance = InstanceId(digest.instance)
        if instance == self._own:
            return False
        now_ms = self._clock.now_ms()
        member = self._members.get(instance)
        if member is None:
            member = Member(instance, digest.ip, digest.port, now_ms)
            self._members[instance] = member
        order = (digest.incarnation, digest.sequence)
        if order <= (member.incarnation, member.sequence):
            return False
        member.ip, member.port = digest.ip, digest.port
        member.zone = ZoneId(digest.zone)
        member.incarnation, member.sequence = order
        member.configuration = digest.configuration
        member.is_leaving = digest.is_leaving
        member.reaches_store = digest.reaches_store
        member.lease_token = digest.lease_token
        member.heard_ms = now_ms
        return True

    def is_heard(self, member: Member) -> bool:
        """Return whether the instance's digests arrive."""
        heard_ms = member.heard_ms
        return heard_ms is not None and self._clock.now_ms() - heard_ms < HEARD_MS

    def count(self) -> tuple[int, int]:
        """Return how many instances are heard and how many there may be.

        Both count this instance. Instances that were silent for long are
        forgotten if most of the others are heard.
        """
        heard = {m.instance for m in self._members.values() if self.is_heard(m)}
        self._log_changes(heard)
        if 2 * len(heard) >= len(self._members):
            self._forget()
        self.last_count = (len(heard) + 1, len(self._members) + 1)
        return self.last_count

    def holder(self) -> Member | None:
        """Return the heard instance that holds the duties' lease, if any."""
        holders = [m for m in self._members.values() if m.lease_token]
        holders = [m for m in holders if self.is_heard(m) and not m.is_leaving]
        return max(holders, key=lambda m: m.lease_token, default=None)

    def is_reader(self, own_zone: ZoneId) -> bool:
        """Return whether this instance reads the store for the others.

        Of the instances that are heard and reach the store, the first of each
        data centre come first, so that readers stand in different ones. Each part
        of a divided network has readers of its own.
        """
        by_zone: dict[ZoneId, list[InstanceId]] = {own_zone: [self._own]}
        for member in self._members.values():
            if member.reaches_store and not member.is_leaving and self.is_heard(member):
                by_zone.setdefault(member.zone, []).append(member.instance)
        order = sorted(
            (rank, zone, name)
            for zone, names in by_zone.items()
            for rank, name in enumerate(sorted(names))
        )
        return any(name == self._own for _, _, name in order[:READERS])

    def silent_zones(self, own: ZoneId) -> frozenset[ZoneId]:
        """Return other data centres none of whose instances is heard.

        Those that announced their stop are expected to be silent.
        """
        now_ms = self._clock.now_ms()
        silent: dict[ZoneId, bool] = {}
        for member in self._members.values():
            if member.heard_ms is None or member.is_leaving or member.zone == own:
                continue
            is_silent = now_ms - member.heard_ms > ZONE_SILENT_MS
            silent[member.zone] = silent.get(member.zone, True) and is_silent
        return frozenset(zone for zone, is_silent in silent.items() if is_silent)

    def _forget(self) -> None:
        now_ms = self._clock.now_ms()
        for member in list(self._members.values()):
            since_ms = max(member.heard_ms or 0, member.known_ms)
            if now_ms - since_ms > FORGET_MS:
                del self._members[member.instance]
                self._log.event(
                    "instance_forgotten",
                    peer=member.instance,
                    silent_ms=now_ms - since_ms,
                )

    def _log_changes(self, heard: set[InstanceId]) -> None:
        for instance in heard - self._heard:
            self._log.event("dependency_regained", dependency="peer", peer=instance)
        for instance in self._heard - heard:
            self._log.event("dependency_lost", dependency="peer", peer=instance)
        self._heard = heard
