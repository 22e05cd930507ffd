"""Order in which instances may claim the duties' lease."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..control.leasestate import NO_INSTANCE
from ..ids import InstanceId
from ..sharing.members import Member, Members

CONTROL = "control"
"""Name of the one lease for all duties: they are few, and each renewal is a call."""


class ControlPlacement:
    """Rank of this instance among the reachable ones.

    While the digests of another instance say that it holds the lease, this one is
    no candidate and doesn't need to read the store. Instances whose calls the store
    does not answer are left out: they could not claim the lease.

    Parameters
    ----------
    own : InstanceId
        This instance.
    members : Members
        Its peers.
    is_holder : callable
        Returns whether this instance holds the lease.
    is_leaving : callable
        Returns whether this instance is stopping.
    """

    def __init__(
        self,
        own: InstanceId,
        members: Members,
        is_holder: Callable[[], bool],
        is_leaving: Callable[[], bool],
    ):
        self._own = own
        self._members = members
        self._is_holder = is_holder
        self._is_leaving = is_leaving

    def duties(self) -> Sequence[str]:
        """Return the names of all duties."""
        return (CONTROL,)

    def rank(self, duty: str) -> int | None:
        """Return this instance's rank among the candidates; None if it is not one."""
        if self._is_leaving():
            return None
        if self._is_holder():
            return 0
        if self._members.lease_holder() is not None:
            return None
        return sum(member.instance < self._own for member in self.candidates())

    def successor(self, duty: str) -> InstanceId:
        """Return the instance to hand the duty to, or `NOBODY`."""
        candidates = self.candidates()
        return candidates[0].instance if candidates else NO_INSTANCE

    def candidates(self) -> list[Member]:
        """Return the other candidates, the first to claim first."""
        candidates = [
            member
            for member in self._members.all()
            if self._members.is_reachable(member)
            and member.reaches_store
            and not member.is_leaving
        ]
        return sorted(candidates, key=lambda member: member.instance)
