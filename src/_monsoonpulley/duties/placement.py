"""Who should hold the instances' duties."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..control.leasestate import NO_INSTANCE
from ..ids import InstanceId
from ..sharing.members import Members

CONTROL = "control"
"""All duties go under one lease: they are few, and each renewal is a call."""


class ControlPlacement:
    """Ranks this instance among those that are heard.

    While another instance is heard to hold the lease this one is no candidate,
    and needs no look at the store.

    Parameters
    ----------
    own : InstanceId
        This instance.
    members : Members
        The others.
    is_holder : callable
        Whether this instance holds the lease.
    is_leaving : callable
        Whether this instance is stopping.
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
        """Return the names of all duties that there are."""
        return (CONTROL,)

    def rank(self, duty: str) -> int | None:
        """Return this instance's place among the candidates, if it is one."""
        if self._is_leaving():
            return None
        if self._is_holder():
            return 0
        if self._members.holder() is not None:
            return None
        return sorted([self._own, *self._candidates()]).index(self._own)

    def successor(self, duty: str) -> InstanceId:
        """Return who should take the duty over from this instance."""
        return min(self._candidates(), default=NO_INSTANCE)

    def _candidates(self) -> list[InstanceId]:
        return [
            member.instance
            for member in self._members.all()
            if self._members.is_heard(member) and not member.is_leaving
        ]
