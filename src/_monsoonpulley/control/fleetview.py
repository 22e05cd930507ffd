"""The fleet of a service, put together from rows, the list and notices."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import msgspec

from ..ids import EndpointId, ServiceId
from ..platform.livelist import Member, MemberState, Role
from .fleet import EndpointState, FleetEndpoint, Market
from .fleetrows import ENDING, FleetRow, RowState, Stored

InProgress = Callable[[EndpointId], int | None]


class FleetKnown(msgspec.Struct):
    """What a holder saw of instances; kept from pass to pass.

    Attributes
    ----------
    listed : set of str
        Instances that the list had at least once.
    noticed : set of str
        Instances whose reclaim was announced; a late list brings none back.
    """

    listed: set[str] = msgspec.field(default_factory=set)
    noticed: set[str] = msgspec.field(default_factory=set)


class FleetView(msgspec.Struct, frozen=True):
    """The fleet at one moment.

    Attributes
    ----------
    endpoints : tuple of FleetEndpoint
        What the planner plans on.
    members : dict of str to Member
        The service's endpoints on the list.
    """

    endpoints: tuple[FleetEndpoint, ...]
    members: dict[str, Member]


def market_of(member: Member) -> Market:
    """Return where a listed instance was bought."""
    return Market(member.zone, member.machine_class, member.reclaimable)


def view(
    service: ServiceId,
    rows: Mapping[str, Stored],
    members: Iterable[Member],
    known: FleetKnown,
    units_per_s: Mapping[Market, float],
    in_progress: InProgress,
    loads_weights: bool,
) -> FleetView:
    """Return the fleet; a market of unknown speed counts as no capacity."""
    listed = {
        each.instance: each
        for each in members
        if each.role is Role.ENDPOINT and each.service == service
    }
    known.listed.update(listed)
    endpoints: list[FleetEndpoint] = []
    instances: set[str] = set()
    for stored in rows.values():
        row = stored.row
        instances.add(row.instance)
        if row.state is RowState.REFUSED:
            continue
        market = Market(row.spec.zone, row.spec.machine_class, row.spec.reclaimable)
        endpoints.append(
            FleetEndpoint(
                row.instance or row.token,
                market,
                row.spec.version,
                units_per_s.get(market, 0.0),
                _row_state(row, listed.get(row.instance), known, loads_weights),
                row.ready_wall_ms,
                in_progress(EndpointId(row.instance)) or 0,
                row.replaces,
            )
        )
    for name, member in listed.items():
        if name not in instances:
            leaving = member.state is MemberState.LEAVING or name in known.noticed
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
    return FleetView(tuple(endpoints), listed)


def _row_state(
    row: FleetRow, member: Member | None, known: FleetKnown, loads_weights: bool
) -> EndpointState:
    if row.state in ENDING or row.instance in known.noticed:
        return EndpointState.LEAVING
    if member is None:
        # Once listed and now gone: it died without a notice.
        is_lost = bool(row.instance) and row.instance in known.listed
        return EndpointState.LEAVING if is_lost else EndpointState.COMING
    if member.state is MemberState.LEAVING:
        return EndpointState.LEAVING
    if loads_weights and row.state is not RowState.LOADED:
        return EndpointState.COMING
    return EndpointState.READY
