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
from .calls import DEFAULT_TIMEOUT_MS, Caller
from .faults import Faults


class LiveListStandin:
    """A list that shows each change ``lag_ms`` after it was made.

    Attributes
    ----------
    lag_ms : int
        Lag of changes from now on; changes never overtake one another.
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
        """Return the handle of one instance."""
        caller = Caller(self.faults, self._clock, peer, zone, timeout_ms)
        return LiveListConnection(self, caller)

    def seed(self, members: Iterable[Member]) -> None:
        """Add members as if they had stood on the list for long."""
        for member in members:
            self._actual[member.instance] = member
            self._visible[member.instance] = member

    def set_member(self, member: Member) -> None:
        """Add or replace a member."""
        self._actual[member.instance] = member
        self._schedule_change(member.instance, member)

    def mark_leaving(self, instance: str) -> None:
        """Show a member as leaving; an unknown one is left out."""
        member = self._actual.get(instance)
        if member is not None:
            self.set_member(msgspec.structs.replace(member, state=MemberState.LEAVING))

    def remove(self, instance: str) -> None:
        """Take a member off the list; removing a missing one is no fault."""
        if self._actual.pop(instance, None) is not None:
            self._schedule_change(instance, None)

    def actual_members(self) -> tuple[Member, ...]:
        """Return the members of now, without the lag."""
        return tuple(self._actual.values())

    def visible_members(self) -> tuple[Member, ...]:
        """Return the members that callers see now."""
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
    """A `platform.livelist.LiveList` of one instance on a stand-in."""

    def __init__(self, livelist: LiveListStandin, caller: Caller):
        self._livelist = livelist
        self._caller = caller

    async def members(self) -> tuple[Member, ...] | Failure:
        """Return the list as it was ``lag_ms`` ago."""
        return await self._caller.read(
            "livelist.members", self._livelist.visible_members
        )
