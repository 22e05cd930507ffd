"""Stand-in of the platform's list of live and leaving instances."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from random import Random

import msgspec

from ..clock import Clock
from ..errors import Failure
from ..external.livelist import Member, MemberState
from ..ids import ZoneId
from .calls import DEFAULT_TIMEOUT_MS, PlatformConnection
from .faults import Faults


class LiveListStandin:
    """A live list on which each change becomes visible ``lag_ms`` after it is made.

    Attributes
    ----------
    lag_ms : int
        Lag of later changes; changes become visible in the order they were made.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        faults: Faults | None = None,
        *,
        lag_ms: int = 0,
    ):
        self.faults = faults or Faults(rng)
        self.lag_ms = lag_ms
        self._clock = clock
        self._actual: dict[str, Member] = {}
        self._visible: dict[str, Member] = {}
        self._pending_changes: deque[tuple[int, str, Member | None]] = deque()

    def connect(
        self, peer: str, zone: ZoneId, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> LiveListConnection:
        """Return the live list as the instance ``peer`` sees it."""
        caller = PlatformConnection(self.faults, self._clock, peer, zone, timeout_ms)
        return LiveListConnection(self, caller)

    def seed(self, members: Iterable[Member]) -> None:
        """Add members that are visible at once."""
        for member in members:
            self._actual[member.instance] = member
            self._visible[member.instance] = member

    def set_member(self, member: Member) -> None:
        """Add or replace a member, visible after the lag."""
        self._actual[member.instance] = member
        self._schedule_change(member.instance, member)

    def mark_leaving(self, instance: str) -> None:
        """Mark a member as leaving; unknown names are ignored."""
        member = self._actual.get(instance)
        if member is not None:
            self.set_member(msgspec.structs.replace(member, state=MemberState.LEAVING))

    def remove(self, instance: str) -> None:
        """Remove a member; unknown names are ignored."""
        if self._actual.pop(instance, None) is not None:
            self._schedule_change(instance, None)

    def actual_members(self) -> tuple[Member, ...]:
        """Return the current members, without the lag."""
        return tuple(self._actual.values())

    def visible_members(self) -> tuple[Member, ...]:
        """Return the members that the list shows now."""
        now_ms = self._clock.now_ms()
        while self._pending_changes and self._pending_changes[0][0] <= now_ms:
            _, instance, member = self._pending_changes.popleft()
            if member is None:
                self._visible.pop(instance, None)
            else:
                self._visible[instance] = member
        return tuple(self._visible.values())

    def _schedule_change(self, instance: str, member: Member | None) -> None:
        visible_from_ms = self._clock.now_ms() + self.lag_ms
        self._pending_changes.append((visible_from_ms, instance, member))


class LiveListConnection:
    """An `external.livelist.LiveList` that one instance uses, on the stand-in."""

    refused_count = 0

    def __init__(self, livelist: LiveListStandin, caller: PlatformConnection):
        self._livelist = livelist
        self._caller = caller

    async def members(self) -> tuple[Member, ...] | Failure:
        """Return the list as it was ``lag_ms`` ago."""
        return await self._caller.read(
            "livelist.members", self._livelist.visible_members
        )
