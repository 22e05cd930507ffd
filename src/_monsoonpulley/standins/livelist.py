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
        self._shown: dict[str, Member] = {}
        self._pending: deque[tuple[int, str, Member | None]] = deque()

    def connect(
        self, peer: str, zone: ZoneId, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> LiveListConnection:
        """Return the handle of one instance."""
        caller = PlatformConnection(self.faults, self._clock, peer, zone, timeout_ms)
        return LiveListConnection(self, caller)

    def seed(self, members: Iterable[Member]) -> None:
        """Add members as if they had stood on the list for long."""
        for member in members:
            self._actual[member.instance] = member
            self._shown[member.instance] = member

    def set(self, member: Member) -> None:
        """Add or replace a member."""
        self._actual[member.instance] = member
        self._change(member.instance, member)

    def mark_leaving(self, instance: str) -> None:
        """Show a member as leaving; an unknown one is left out."""
        member = self._actual.get(instance)
        if member is not None:
            self.set(msgspec.structs.replace(member, state=MemberState.LEAVING))

    def remove(self, instance: str) -> None:
        """Take a member off the list; removing a missing one is no fault."""
        if self._actual.pop(instance, None) is not None:
            self._change(instance, None)

    def actual(self) -> tuple[Member, ...]:
        """Return the members of now, without the lag."""
        return tuple(self._actual.values())

    def shown(self) -> tuple[Member, ...]:
        """Return the members that callers see now."""
        now_ms = self._clock.now_ms()
        while self._pending and self._pending[0][0] <= now_ms:
            _, instance, member = self._pending.popleft()
            if member is None:
                self._shown.pop(instance, None)
            else:
                self._shown[instance] = member
        return tuple(self._shown.values())

    def _change(self, instance: str, member: Member | None) -> None:
        shown_ms = self._clock.now_ms() + self.lag_ms
        self._pending.append((shown_ms, instance, member))


class LiveListConnection:
    """A `platform.livelist.LiveList` of one instance on a stand-in."""

    def __init__(self, livelist: LiveListStandin, caller: PlatformConnection):
        self._livelist = livelist
        self._caller = caller

    async def members(self) -> tuple[Member, ...] | Failure:
        """Return the list as it was ``lag_ms`` ago."""
        return await self._caller.read("livelist.members", self._livelist.shown)
