"""Duty that decides the rollouts of a service; one holder at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ..errors import Failure, Reason
from ..external.table import ABSENT_REVISION, Row, Write
from ..ids import ServiceId
from .duties import duty_kinds
from .leases import Hold
from .parts import DutyParts
from .rollout import RolloutDecision, RolloutRules, RolloutSettings
from .rolloutpass import ServiceRollouts, decide_all, versions_with_deadline
from .rolloutrows import (
    REPORT_PREFIX,
    ROLLOUT_PREFIX,
    SETTLED,
    TRIP_PREFIX,
    ReportRow,
    RolloutRow,
    RolloutState,
    TripRow,
    decode,
    rollout_key,
    trip_key,
)

PASS_INTERVAL_MS = 1_000
CALL_TIMEOUT_MS = 1_000
SCAN_PAGE_ROWS = 500
MAX_DELETES_PER_COMMIT = 64
TOKEN_BITS = 64
replace = msgspec.structs.replace


@duty_kinds.register("rollout")
class RolloutDuty:
    """Rolls ordered versions out, or back."""

    def __init__(self, parts: DutyParts):
        self._parts = parts
        self._rules = RolloutRules(RolloutSettings())
        self._logged_rules: dict[str, str] = {}
        self._services_with_reports: set[ServiceId] = set()

    def shards(self) -> Sequence[str]:
        """Return the services with an ordered version or an unsettled rollout."""
        ordered = {
            order.service for order in versions_with_deadline(self._parts.document())
        }
        rows = self._parts.rollouts.rows()
        unsettled = {row.service for row in rows if row.state not in SETTLED}
        return sorted(ordered | unsettled)

    async def run(self, shard: str, hold: Hold) -> None:
        """Evaluate the service's versions at each interval, until cancelled."""
        was_failing = False
        while True:
            if hold.may_act():
                failure = await self.evaluate(ServiceId(shard), hold)
                if failure is not None and not was_failing:
                    self._parts.log.event("rollout_failed", failure=failure)
                was_failing = failure is not None
            await self._parts.clock.sleep_ms(PASS_INTERVAL_MS)

    async def evaluate(self, service: ServiceId, hold: Hold) -> Failure | None:
        """Decide on each version of a service; write the first change, if any."""
        rollouts = await self._read_rollouts(service)
        if isinstance(rollouts, Failure):
            return rollouts
        rollouts.trips += self._local_trips(rollouts)
        document = self._parts.document()
        if document is None:
            return None
        for decision in decide_all(
            self._rules,
            document,
            service,
            rollouts,
            live=sorted(self._parts.live_entries()),
            endpoints_of=self._parts.endpoints_of,
            wall_ms=self._parts.clock.wall_ms(),
        ):
            self._log_decision(decision)
            if decision.after is not None:
                key = rollout_key(service, decision.order.version)
                _, revision = rollouts.rows.get(key, (None, ABSENT_REVISION))
                return await self._write(decision, revision, hold)
        return await self._delete_settled_reports(rollouts, hold)

    def _local_trips(self, rollouts: ServiceRollouts) -> list[TripRow]:
        """Return the trips known here, which may not be in the table yet."""
        view = self._parts.rollouts
        trips = [view.trip_of(row) for row, _ in rollouts.rows.values()]
        return [trip for trip in trips if trip is not None]

    async def _write(
        self, decision: RolloutDecision, revision: int, hold: Hold
    ) -> Failure | None:
        """Write a transition while the lease is held.

        After a conflict the next pass decides on the rows as they are then.
        """
        before, after = decision.before, decision.after
        if before is not None and before.fencing_number > hold.fencing_number:
            return Failure(Reason.FENCED, "rollout.write", "platform")
        token = f"{self._parts.rng.getrandbits(TOKEN_BITS):016x}"
        after = replace(after, fencing_number=hold.fencing_number, token=token)
        key = rollout_key(after.service, after.version)
        writes = [Write(key, msgspec.json.encode(after), revision)]
        if _moves_traffic_on(before, after):
            # An instance may have stopped the version since the trips were read: this
            # process may have stood still.
            trip = trip_key(after.service, after.version, after.attempt)
            writes.append(Write(trip, None, ABSENT_REVISION))
        if not hold.may_act():
            return Failure(Reason.FENCED, "rollout.write", "platform")
        result = await self._call_with_timeout(
            self._parts.table.commit(writes), Reason.IN_DOUBT
        )
        return result if isinstance(result, Failure) else None

    async def _delete_settled_reports(
        self, rollouts: ServiceRollouts, hold: Hold
    ) -> Failure | None:
        """Delete reports of settled versions, at most one transaction of them."""
        settled_versions = {
            row.version for row, _ in rollouts.rows.values() if row.state in SETTLED
        }
        settled_reports = [
            row
            for report, row in rollouts.reports
            if report.version in settled_versions
        ]
        if not settled_reports or not hold.may_act():
            return None
        writes = [
            Write(row.key, None, row.revision)
            for row in settled_reports[:MAX_DELETES_PER_COMMIT]
        ]
        result = await self._call_with_timeout(
            self._parts.table.commit(writes), Reason.IN_DOUBT
        )
        return result if isinstance(result, Failure) else None

    async def _read_rollouts(self, service: ServiceId) -> ServiceRollouts | Failure:
        rollouts = ServiceRollouts({}, [], [])
        rows = await self._scan(f"{ROLLOUT_PREFIX}{service}/")
        if isinstance(rows, Failure):
            return rows
        for stored in rows:
            row = decode(stored, RolloutRow)
            if row is not None:
                rollouts.rows[stored.key] = (row, stored.revision)
        if rollouts.is_settled() and service not in self._services_with_reports:
            return rollouts
        trips = await self._scan(f"{TRIP_PREFIX}{service}/")
        reports = await self._scan(f"{REPORT_PREFIX}{service}/")
        for each in (trips, reports):
            if isinstance(each, Failure):
                return each
        decoded = [decode(stored, TripRow) for stored in trips]
        rollouts.trips = [trip for trip in decoded if trip is not None]
        for stored in reports:
            report = decode(stored, ReportRow)
            if report is not None:
                rollouts.reports.append((report, stored))
        self._services_with_reports.discard(service)
        if not rollouts.is_settled() or rollouts.reports:
            self._services_with_reports.add(service)
        return rollouts

    async def _scan(self, prefix: str) -> list[Row] | Failure:
        rows: list[Row] = []
        while True:
            after = rows[-1].key if rows else ""
            page = await self._call_with_timeout(
                self._parts.table.scan(prefix, after=after, limit=SCAN_PAGE_ROWS),
                Reason.TIMEOUT,
            )
            if isinstance(page, Failure):
                return page
            rows += page
            if len(page) < SCAN_PAGE_ROWS:
                return rows

    async def _call_with_timeout(self, call, timeout_reason: Reason):
        try:
            return await asyncio.wait_for(call, CALL_TIMEOUT_MS / 1000)
        except TimeoutError:
            return Failure(timeout_reason, "rollout.table", "platform")

    def _log_decision(self, decision: RolloutDecision) -> None:
        """Log a decision; one that changes nothing only when its rule is new."""
        key = rollout_key(decision.order.service, decision.order.version)
        if decision.after is None and self._logged_rules.get(key) == decision.rule:
            return
        self._logged_rules[key] = decision.rule
        self._parts.log.decision(decision)


def _moves_traffic_on(before: RolloutRow | None, after: RolloutRow) -> bool:
    """Return whether a transition gives a version more traffic, or all for good."""
    if after.state is RolloutState.ROLLED_BACK:
        return False
    return before is None or (after.state, after.share) != (before.state, before.share)
