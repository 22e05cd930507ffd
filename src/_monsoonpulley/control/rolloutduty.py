"""The duty that moves the versions of one service; one holder at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ..config.document import Document, Version
from ..errors import Failure, Reason
from ..ids import InstanceId, ServiceId
from ..platform.table import ABSENT_REVISION, Row, Write
from .duties import duty_kinds
from .leases import Hold
from .parts import DutyParts
from .rollout import (
    Evidence,
    Observation,
    RolloutDecision,
    RolloutRules,
    RolloutSettings,
)
from .rolloutrows import (
    REPORT_PREFIX,
    ROLLOUT_PREFIX,
    SETTLED,
    TRIP_PREFIX,
    WITH_TRAFFIC,
    ReportRow,
    RolloutRow,
    TripRow,
    decode,
    rollout_key,
)
from .rolloutview import base_versions

PASS_MS = 1_000
CALL_MS = 1_000
SCAN_ROWS = 500
DELETED_ROWS = 64
TOKEN_BITS = 64
replace = msgspec.structs.replace


class _Table(msgspec.Struct):
    """What the table holds of one service's rollouts."""

    rows: dict[str, tuple[RolloutRow, int]] = {}
    trips: list[TripRow] = []
    reports: list[tuple[ReportRow, Row]] = []

    def unsettled(self) -> bool:
        return any(row.state not in SETTLED for row, _ in self.rows.values())


@duty_kinds.register("rollout")
class RolloutDuty:
    """Moves traffic to ordered versions, or takes them back."""

    def __init__(self, parts: DutyParts):
        self._parts = parts
        self._rules = RolloutRules(RolloutSettings())
        self._said: dict[str, str] = {}
        self._unclean: set[ServiceId] = set()

    def shards(self) -> Sequence[str]:
        """Return the services for which a version with a deadline is named."""
        document = self._parts.document()
        return sorted({order.service for order in _orders(document)})

    async def run(self, shard: str, hold: Hold) -> None:
        """Look at the service's versions again and again."""
        was_failing = False
        while True:
            if hold.may_act():
                failure = await self.look(ServiceId(shard), hold)
                if failure is not None and not was_failing:
                    self._parts.log.event("rollout_failed", failure=failure)
                was_failing = failure is not None
            await self._parts.clock.sleep_ms(PASS_MS)

    async def look(self, service: ServiceId, hold: Hold) -> Failure | None:
        """Decide on each version of a service once."""
        found = await self._read(service)
        if isinstance(found, Failure):
            return found
        document = self._parts.document()
        if document is None:
            return None
        for decision in self._decide(document, service, found):
            self._note(decision)
            if decision.after is not None:
                key = rollout_key(service, decision.order.version)
                _, revision = found.rows.get(key, (None, ABSENT_REVISION))
                return await self._write(decision, revision, hold)
        return await self._clean(found, hold)

    def _decide(
        self, document: Document, service: ServiceId, found: _Table
    ) -> list[RolloutDecision]:
        wall_ms = self._parts.clock.wall_ms()
        orders = {o.version: o for o in _orders(document) if o.service == service}
        decisions = []
        for row, _ in found.rows.values():
            dropped = None
            if row.version not in orders:
                dropped = self._rules.dropped(row, wall_ms)
            if dropped is not None:
                decisions.append(dropped)
        queue = _queue(list(orders.values()), found)
        for order in orders.values():
            known = found.rows.get(rollout_key(service, order.version))
            row = known[0] if known else None
            seen = self._observe(document, order, row, queue, found)
            decisions.append(self._rules.decide(row, order, seen, wall_ms))
        return decisions

    def _observe(
        self,
        document: Document,
        order: Version,
        row: RolloutRow | None,
        queue: list[Version],
        found: _Table,
    ) -> Observation:
        reports = [
            report
            for report, _ in found.reports
            if row is not None
            and (report.version, report.attempt) == (row.version, row.attempt)
        ]
        trips = [
            trip
            for trip in found.trips
            if row is not None
            and (trip.version, trip.attempt) == (row.version, row.attempt)
        ]
        confirmed = [r.instance for r in reports if row and r.seen_token == row.token]
        first = queue[0].version if queue else order.version
        behind = [o.deadline_wall_ms for o in queue if o.version != order.version]
        rows = [row for row, _ in found.rows.values()]
        live = sorted(self._parts.live_entries())
        return Observation(
            endpoints=len(self._parts.endpoints_of(order.service, order.version)),
            base=base_versions(document, order.service, rows),
            ahead="" if first == order.version else first,
            next_deadline_wall_ms=min(behind, default=None),
            evidence=Evidence(
                sum(report.results for report in reports),
                sum(report.bad for report in reports),
            ),
            trip=trips[0].why if trips else "",
            live=tuple(live),
            confirmed=tuple(sorted(InstanceId(name) for name in confirmed)),
        )

    async def _write(
        self, decision: RolloutDecision, revision: int, hold: Hold
    ) -> Failure | None:
        """Write a transition under the lease; a conflict is looked at again."""
        before, after = decision.before, decision.after
        if before is not None and before.fencing_number > hold.fencing_number:
            return Failure(Reason.FENCED, "rollout.write", "platform")
        token = f"{self._parts.rng.getrandbits(TOKEN_BITS):016x}"
        after = replace(after, fencing_number=hold.fencing_number, token=token)
        key = rollout_key(after.service, after.version)
        write = Write(key, msgspec.json.encode(after), revision)
        if not hold.may_act():
            return Failure(Reason.FENCED, "rollout.write", "platform")
        result = await self._call(self._parts.table.commit([write]), Reason.IN_DOUBT)
        return result if isinstance(result, Failure) else None

    async def _clean(self, found: _Table, hold: Hold) -> Failure | None:
        """Delete reports of versions that are settled."""
        settled = {
            row.version for row, _ in found.rows.values() if row.state in SETTLED
        }
        old = [row for report, row in found.reports if report.version in settled]
        if not old or not hold.may_act():
            return None
        writes = [Write(row.key, None, row.revision) for row in old[:DELETED_ROWS]]
        result = await self._call(self._parts.table.commit(writes), Reason.IN_DOUBT)
        return result if isinstance(result, Failure) else None

    async def _read(self, service: ServiceId) -> _Table | Failure:
        found = _Table({}, [], [])
        rows = await self._scan(f"{ROLLOUT_PREFIX}{service}/")
        if isinstance(rows, Failure):
            return rows
        for stored in rows:
            row = decode(stored, RolloutRow)
            if row is not None:
                found.rows[stored.key] = (row, stored.revision)
        if not found.unsettled() and service not in self._unclean:
            return found
        trips = await self._scan(f"{TRIP_PREFIX}{service}/")
        reports = await self._scan(f"{REPORT_PREFIX}{service}/")
        for each in (trips, reports):
            if isinstance(each, Failure):
                return each
        decoded = [decode(stored, TripRow) for stored in trips]
        found.trips = [trip for trip in decoded if trip is not None]
        for stored in reports:
            report = decode(stored, ReportRow)
            if report is not None:
                found.reports.append((report, stored))
        self._unclean.discard(service)
        if found.unsettled() or found.reports:
            self._unclean.add(service)
        return found

    async def _scan(self, prefix: str) -> list[Row] | Failure:
        rows: list[Row] = []
        while True:
            after = rows[-1].key if rows else ""
            page = await self._call(
                self._parts.table.scan(prefix, after=after, limit=SCAN_ROWS),
                Reason.TIMEOUT,
            )
            if isinstance(page, Failure):
                return page
            rows += page
            if len(page) < SCAN_ROWS:
                return rows

    async def _call(self, call, unanswered: Reason):
        try:
            return await asyncio.wait_for(call, CALL_MS / 1000)
        except TimeoutError:
            return Failure(unanswered, "rollout.table", "platform")

    def _note(self, decision: RolloutDecision) -> None:
        """Log a decision, those to wait only when their rule changed."""
        key = rollout_key(decision.order.service, decision.order.version)
        if decision.after is None and self._said.get(key) == decision.rule:
            return
        self._said[key] = decision.rule
        self._parts.log.decision(decision)


def _orders(document: Document | None) -> list[Version]:
    if document is None:
        return []
    return [o for o in document.versions if o.deadline_wall_ms is not None]


def _queue(orders: list[Version], found: _Table) -> list[Version]:
    """Return the unsettled versions: those with traffic, then by deadline."""

    def place(order: Version) -> tuple[bool, int, str]:
        known = found.rows.get(rollout_key(order.service, order.version))
        has_traffic = known is not None and known[0].state in WITH_TRAFFIC
        return not has_traffic, order.deadline_wall_ms, order.version

    unsettled = []
    for order in orders:
        known = found.rows.get(rollout_key(order.service, order.version))
        is_new = known is None or known[0].deadline_wall_ms != order.deadline_wall_ms
        if is_new or known[0].state not in SETTLED:
            unsettled.append(order)
    return sorted(unsettled, key=place)
