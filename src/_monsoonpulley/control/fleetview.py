"""Builds a service's fleet from its rows, the live list and reclaim notices."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import msgspec

from ..external.cloud import ReclaimNotice
from ..external.livelist import Member, MemberState, Role
from ..ids import EndpointId, ServiceId
from .fleet import EndpointState, FleetEndpoint, Market
from .fleetrows import ENDING, FleetRow, RowState, StoredRow

InProgress = Callable[[EndpointId], int | None]


class InstanceHistory(msgspec.Struct):
    """Observations of instances that a holder keeps from pass to pass.

    Attributes
    ----------
    listed : set of str
        Instances that were on the live list at least once.
    reclaim_announced : set of str
        Instances whose reclaim was announced; kept because a stale live list may
        still name them.
    reclaim_counted : set of str
        Instances of those whose data centre was known, so that their reclaim was
        returned by `record_notices`.
    missing_since_ms : dict of str to int
        When instances that were listed before disappeared from the live list.
    """

    listed: set[str] = msgspec.field(default_factory=set)
    reclaim_announced: set[str] = msgspec.field(default_factory=set)
    reclaim_counted: set[str] = msgspec.field(default_factory=set)
    missing_since_ms: dict[str, int] = msgspec.field(default_factory=dict)

    def record_notices(
        self, notices: Iterable[ReclaimNotice], members: Iterable[Member]
    ) -> list[Member]:
        """Record reclaim notices; return members whose reclaim is to be counted now.

        A notice may arrive before the live list names its instance. It is counted
        once the list does.
        """
        member_by_name = {member.instance: member for member in members}
        found = []
        for notice in notices:
            self.reclaim_announced.add(notice.instance)
            member = member_by_name.get(notice.instance)
            if member is not None and notice.instance not in self.reclaim_counted:
                self.reclaim_counted.add(notice.instance)
                found.append(member)
        return found

    def record_listed(self, instances: Iterable[str], now_ms: int) -> None:
        """Record the instances that are on the live list now."""
        listed_now = set(instances)
        self.listed |= listed_now
        for name in self.listed - listed_now:
            self.missing_since_ms.setdefault(name, now_ms)
        for name in listed_now:
            self.missing_since_ms.pop(name, None)

    def retain(self, instances: Iterable[str]) -> None:
        """Remove instances that are neither given nor on the live list."""
        kept = set(instances) | (self.listed - set(self.missing_since_ms))
        self.listed &= kept
        self.reclaim_announced &= kept
        self.reclaim_counted &= kept
        for name in set(self.missing_since_ms) - kept:
            del self.missing_since_ms[name]

    def is_lost(self, instance: str, now_ms: int, after_ms: int) -> bool:
        """Return whether a listed instance has been missing for ``after_ms``."""
        since_ms = self.missing_since_ms.get(instance)
        return since_ms is not None and now_ms - since_ms >= after_ms


class FleetState(msgspec.Struct, frozen=True):
    """State of the fleet in one pass.

    Attributes
    ----------
    endpoints : tuple of FleetEndpoint
        Input of the planner.
    members : dict of str to Member
        Endpoints of the service on the live list.
    """

    endpoints: tuple[FleetEndpoint, ...]
    members: dict[str, Member]


def market_of(member: Member) -> Market:
    """Return the market of an instance on the live list."""
    return Market(member.zone, member.machine_class, member.reclaimable)


def build_fleet_state(
    service: ServiceId,
    rows: Mapping[str, StoredRow],
    members: Iterable[Member],
    history: InstanceHistory,
    units_per_s: Mapping[Market, float],
    in_progress: InProgress,
    loads_weights: bool,
    now_ms: int,
    lost_after_ms: int,
) -> FleetState:
    """Return the fleet; endpoints of a market without a speed have capacity 0."""
    listed = {
        each.instance: each
        for each in members
        if each.role is Role.ENDPOINT and each.service == service
    }
    history.record_listed(listed, now_ms)
    endpoints: list[FleetEndpoint] = []
    instances: set[str] = set()
    for stored in rows.values():
        row = stored.row
        instances.add(row.instance)
        if row.state is RowState.REFUSED:
            continue
        is_lost = history.is_lost(row.instance, now_ms, lost_after_ms)
        market = Market(row.spec.zone, row.spec.machine_class, row.spec.reclaimable)
        endpoints.append(
            FleetEndpoint(
                row.instance or row.token,
                market,
                row.spec.version,
                units_per_s.get(market, 0.0),
                _endpoint_state(
                    row, listed.get(row.instance), history, loads_weights, is_lost
                ),
                row.ready_wall_ms,
                in_progress(EndpointId(row.instance)) or 0,
                row.replaces,
            )
        )
    for name, member in listed.items():
        if name not in instances:
            leaving = (
                member.state is MemberState.LEAVING or name in history.reclaim_announced
            )
            endpoints.append(
                FleetEndpoint(
                    name,
                    market_of(member),
                    member.version,
                    units_per_s.get(market_of(member), 0.0),
                    EndpointState.LEAVING if leaving else EndpointState.READY,
                    in_progress=in_progress(EndpointId(name)) or 0,
                )
            )
    return FleetState(tuple(endpoints), listed)


def _endpoint_state(
    row: FleetRow,
    member: Member | None,
    history: InstanceHistory,
    loads_weights: bool,
    is_lost: bool,
) -> EndpointState:
    if row.state in ENDING or row.instance in history.reclaim_announced or is_lost:
        return EndpointState.LEAVING
    if member is None:
        was_listed = row.instance in history.missing_since_ms
        return EndpointState.READY if was_listed else EndpointState.COMING
    if member.state is MemberState.LEAVING:
        return EndpointState.LEAVING
    if loads_weights and row.state is not RowState.LOADED:
        return EndpointState.COMING
    return EndpointState.READY
