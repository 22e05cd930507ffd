"""Decides on all versions of a service from their rows in the table."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from ..config.document import Document, Version
from ..external.table import Row
from ..ids import EndpointId, InstanceId, ServiceId, VersionId
from .rollout import Evidence, Observation, RolloutDecision, RolloutRules
from .rolloutrows import (
    SETTLED,
    WITH_TRAFFIC,
    ReportRow,
    RolloutRow,
    RolloutState,
    TripRow,
    rollout_key,
)
from .rolloutview import find_base_versions

EndpointsOf = Callable[[ServiceId, VersionId], Sequence[EndpointId]]


class ServiceRollouts(msgspec.Struct):
    """Rows of one service's rollouts, as read from the table.

    Attributes
    ----------
    rows : dict
        Rollout rows and their revisions by key.
    trips : list of TripRow
        Faults that entry instances observed.
    reports : list
        Reports and the table rows that hold them.
    """

    rows: dict[str, tuple[RolloutRow, int]]
    trips: list[TripRow]
    reports: list[tuple[ReportRow, Row]]

    def row_for(self, order: Version) -> RolloutRow | None:
        """Return the row of an ordered version, ``None`` if there is none."""
        stored = self.rows.get(rollout_key(order.service, order.version))
        return stored[0] if stored else None

    def is_settled(self) -> bool:
        """Return whether each version is done or rolled back."""
        return all(row.state in SETTLED for row, _ in self.rows.values())


def versions_with_deadline(document: Document | None) -> list[Version]:
    """Return the versions that are ordered with a deadline."""
    if document is None:
        return []
    return [o for o in document.versions if o.deadline_wall_ms is not None]


def decide_all(
    rules: RolloutRules,
    document: Document,
    service: ServiceId,
    rollouts: ServiceRollouts,
    *,
    live: Sequence[InstanceId],
    endpoints_of: EndpointsOf,
    wall_ms: int,
) -> list[RolloutDecision]:
    """Return the decisions on a service's versions at ``wall_ms``."""
    orders = [
        order for order in versions_with_deadline(document) if order.service == service
    ]
    ordered = {order.version for order in orders}
    decisions = []
    for row, _ in rollouts.rows.values():
        removal = None if row.version in ordered else rules.decide_removed(row, wall_ms)
        if removal is not None:
            decisions.append(removal)
    queue = queue_unsettled(orders, rollouts)
    rows = [row for row, _ in rollouts.rows.values() if row.version in ordered]
    base = find_base_versions(document, service, rows)
    for order in orders:
        row = rollouts.row_for(order)
        observation = _observe(order, row, queue, rollouts)
        observation = msgspec.structs.replace(
            observation,
            endpoints=len(endpoints_of(service, order.version)),
            base=base,
            live=tuple(live),
        )
        decisions.append(rules.decide(row, order, observation, wall_ms))
    return decisions


def queue_unsettled(
    orders: Sequence[Version], rollouts: ServiceRollouts
) -> list[Version]:
    """Return the unsettled versions, those with traffic first, then by deadline."""

    def queue_position(order: Version) -> tuple[bool, int, str]:
        row = rollouts.row_for(order)
        has_traffic = row is not None and row.state in WITH_TRAFFIC
        return not has_traffic, order.deadline_wall_ms or 0, order.version

    unsettled = []
    for order in orders:
        row = rollouts.row_for(order)
        is_new = row is None or row.deadline_wall_ms != order.deadline_wall_ms
        is_done = row is not None and row.state is RolloutState.DONE
        if not is_done and (is_new or row.state not in SETTLED):
            unsettled.append(order)
    return sorted(unsettled, key=queue_position)


def _observe(
    order: Version,
    row: RolloutRow | None,
    queue: Sequence[Version],
    rollouts: ServiceRollouts,
) -> Observation:
    other_deadlines = [o.deadline_wall_ms for o in queue if o.version != order.version]
    first = queue[0].version if queue else order.version
    observation = Observation(
        endpoints=0,
        ahead="" if first == order.version else first,
        next_deadline_wall_ms=min(other_deadlines, default=None),
    )
    if row is None:
        return observation
    attempt_key = (row.version, row.attempt)
    reports = [r for r, _ in rollouts.reports if (r.version, r.attempt) == attempt_key]
    trips = [t for t in rollouts.trips if (t.version, t.attempt) == attempt_key]
    confirmed = {r.instance for r in reports if r.seen_token == row.token}
    return msgspec.structs.replace(
        observation,
        evidence=Evidence(sum(r.results for r in reports), sum(r.bad for r in reports)),
        trip=trips[0].why if trips else "",
        confirmed=tuple(sorted(confirmed)),
    )
