"""Reads rollout rows and writes trips and reports, in every entry instance."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..external.table import (
    ABSENT_REVISION,
    Committed,
    Conflict,
    Row,
    Table,
    Write,
)
from ..identity import Identity
from ..ids import InstanceId, ServiceId, VersionId
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..supervisor import Supervisor
from .rolloutobserver import RolloutObserver
from .rolloutrows import (
    ROLLOUT_PREFIX,
    SETTLED,
    TRIP_PREFIX,
    WITH_TRAFFIC,
    ReportRow,
    RolloutRow,
    RolloutState,
    TripRow,
    decode,
    report_key,
    trip_key,
)
from .rolloutview import RolloutView

POLL_INTERVAL_MS = 1_000
IDLE_POLL_INTERVAL_MS = 5_000
REPORT_INTERVAL_MS = 2_000
TICK_INTERVAL_MS = 100
CALL_TIMEOUT_MS = 1_000
SCAN_PAGE_ROWS = 500
JITTER_RATIO = 0.2
STEP = "rollouts"

SETTLED_EVENTS = {
    RolloutState.DONE: "rollout_done",
    RolloutState.ROLLED_BACK: "rollout_taken_back",
}


class RolloutWatch:
    """Keeps this entry instance's view of the rollouts up to date.

    Parameters
    ----------
    table : Table
        Table that holds the rows.
    identity : Identity
        This entry instance.
    view, observer : RolloutView, RolloutObserver
        Rows and trips known here, and results of versions.
    on_tick : callable
        Called every `TICK_INTERVAL_MS` and after each new trip.
    clock, rng, log, metrics
        Those of this instance.
    """

    def __init__(
        self,
        table: Table,
        identity: Identity,
        view: RolloutView,
        observer: RolloutObserver,
        on_tick: Callable[[], None],
        clock: Clock,
        rng: random.Random,
        log: Log,
        metrics: Metrics,
    ):
        self._table = table
        self._identity = identity
        self._view = view
        self._observer = observer
        self._on_tick = on_tick
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._unsent_trips: list[TripRow] = []
        self._trip_added = asyncio.Event()
        self._has_read = asyncio.Event()
        self._last_reports: dict[str, tuple[ReportRow | None, int]] = {}
        view.on_trip(self._handle_trip)

    async def run(self) -> None:
        """Read rows and write trips and reports until cancelled."""
        supervisor = Supervisor("rollouts", self._clock, self._log, self._rng)
        supervisor.add("poll", self._poll)
        supervisor.add("trips", self._send_trips)
        supervisor.add("reports", self._send_reports)
        supervisor.add("tick", self._tick)
        await supervisor.run()

    async def wait_until_read(self, timeout_ms: int) -> None:
        """Wait until the rows were read once, at most ``timeout_ms``."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._has_read.wait()
        except TimeoutError:
            self._log.event("rollouts_not_read", waited_ms=timeout_ms)

    def handle_peer_trip(
        self, service: ServiceId, version: VersionId, why: str, seen_wall_ms: int
    ) -> None:
        """Stop a version's traffic because a peer did.

        This applies to the attempt in progress, unless that started after the
        peer's trip. Without one, the row or the trip is read from the table later.
        """
        row = self._view.row(service, version)
        if row is None or row.state not in WITH_TRAFFIC:
            return
        if seen_wall_ms < row.started_wall_ms:
            return
        trip = TripRow(
            service=service,
            version=version,
            attempt=row.attempt,
            instance=InstanceId(""),
            seen_wall_ms=seen_wall_ms,
            why=why,
        )
        self._view.add_trip(trip)

    async def refresh(self) -> Failure | None:
        """Read all rows, and the trips if any version has rollout traffic."""
        failure = await self._read_rows(ROLLOUT_PREFIX, self._apply_row)
        if failure is None and self._rows_with_traffic():
            failure = await self._read_rows(TRIP_PREFIX, self._apply_trip)
        if failure is None:
            self._has_read.set()
        return failure

    async def _read_rows(
        self, prefix: str, apply: Callable[[Row], None]
    ) -> Failure | None:
        after = ""
        while True:
            self._metrics.incr("rollouts.scans")
            rows = await self._call_with_timeout(
                self._table.scan(prefix, after=after, limit=SCAN_PAGE_ROWS),
                Reason.TIMEOUT,
            )
            if isinstance(rows, Failure):
                return rows
            for row in rows:
                apply(row)
            if len(rows) < SCAN_PAGE_ROWS:
                return None
            after = rows[-1].key

    async def _poll(self) -> None:
        was_failing = False
        while True:
            failure = await self.refresh()
            if failure is not None and not was_failing:
                self._log.event("rollouts_read_failed", failure=failure)
            was_failing = failure is not None
            interval_ms = (
                POLL_INTERVAL_MS if self._has_unsettled_row() else IDLE_POLL_INTERVAL_MS
            )
            jitter = self._rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
            await self._clock.sleep_ms(interval_ms * jitter)

    def _has_unsettled_row(self) -> bool:
        if not self._has_read.is_set():
            return True
        return any(row.state not in SETTLED for row in self._view.rows())

    def _rows_with_traffic(self) -> list[RolloutRow]:
        return [row for row in self._view.rows() if row.state in WITH_TRAFFIC]

    def _apply_row(self, stored: Row) -> None:
        row = decode(stored, RolloutRow)
        if row is None:
            self._log.event("rollout_unreadable", key=stored.key)
            return
        previous = self._view.apply_row(row, stored.revision)
        if previous is None or previous.token == row.token:
            return
        self._log_row(row)

    def _log_row(self, row: RolloutRow) -> None:
        """Log that a row is in force in this instance.

        Rows of the first read may have been settled before this instance started,
        so they are logged as in force.
        """
        event = "rollout_in_force"
        if self._has_read.is_set():
            event = SETTLED_EVENTS.get(row.state, event)
        self._log.event(
            event,
            service=row.service,
            version=row.version,
            attempt=row.attempt,
            state=row.state,
            share=row.share,
            deadline_wall_ms=row.deadline_wall_ms,
            why=row.why,
        )

    def _apply_trip(self, stored: Row) -> None:
        trip = decode(stored, TripRow)
        if trip is not None:
            self._view.add_trip(trip)

    def _handle_trip(self, trip: TripRow) -> None:
        self._log.event("rollout_tripped", trip=trip)
        self._metrics.incr("rollouts.tripped")
        self._on_tick()
        if trip.instance == self._identity.instance:
            self._unsent_trips.append(trip)
            self._trip_added.set()

    async def _send_trips(self) -> None:
        """Write own trips until each attempt has a trip row, by any instance."""
        while True:
            await self._trip_added.wait()
            while self._unsent_trips:
                if not await self._write_trip(self._unsent_trips[0]):
                    await self._clock.sleep_ms(POLL_INTERVAL_MS)
                    continue
                self._unsent_trips.pop(0)
            self._trip_added.clear()

    async def _write_trip(self, trip: TripRow) -> bool:
        key = trip_key(trip.service, trip.version, trip.attempt)
        write = Write(key, msgspec.json.encode(trip), ABSENT_REVISION)
        result = await self._call_with_timeout(
            self._table.commit([write]), Reason.IN_DOUBT
        )
        return isinstance(result, Committed | Conflict)

    async def _send_reports(self) -> None:
        while True:
            jitter = self._rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
            await self._clock.sleep_ms(REPORT_INTERVAL_MS * jitter)
            for row in self._rows_with_traffic():
                await self._write_report(row)

    async def _write_report(self, row: RolloutRow) -> None:
        results, bad = self._observer.result_counts(row)
        report = ReportRow(
            service=row.service,
            version=row.version,
            attempt=row.attempt,
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            seen_token=row.token,
            results=results,
            bad=bad,
        )
        key = report_key(row.service, row.version, self._identity.instance)
        last, revision = self._last_reports.get(key, (None, ABSENT_REVISION))
        if last == report:
            return
        write = Write(key, msgspec.json.encode(report), revision)
        self._metrics.incr("rollouts.reports")
        result = await self._call_with_timeout(
            self._table.commit([write]), Reason.IN_DOUBT
        )
        if isinstance(result, Committed):
            self._last_reports[key] = (report, result.revision)
        elif isinstance(result, Conflict):
            current = result.current.get(key)
            revision = current.revision if current else ABSENT_REVISION
            self._last_reports[key] = (None, revision)

    async def _tick(self) -> None:
        while True:
            await self._clock.sleep_ms(TICK_INTERVAL_MS)
            self._observer.tick()
            self._on_tick()

    async def _call_with_timeout(self, call, timeout_reason: Reason):
        try:
            return await asyncio.wait_for(call, CALL_TIMEOUT_MS / 1000)
        except TimeoutError:
            return Failure(timeout_reason, STEP, "platform")
