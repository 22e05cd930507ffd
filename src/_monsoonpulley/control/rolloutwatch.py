"""The daemon's side of rollouts: reads rows, writes trips and reports."""

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

POLL_MS = 1_000
IDLE_POLL_MS = 5_000
REPORT_MS = 2_000
TICK_MS = 100
CALL_MS = 1_000
SCAN_ROWS = 500
JITTER = 0.2
STEP = "rollouts"

SETTLED_EVENTS = {
    RolloutState.DONE: "rollout_done",
    RolloutState.TAKEN_BACK: "rollout_taken_back",
}


class RolloutWatch:
    """Keeps this daemon's view of the rollouts up to date.

    Parameters
    ----------
    table : Table
        Where the rows are.
    identity : Identity
        This daemon.
    view, observer : RolloutView, RolloutObserver
        What is known, and what own attempts show.
    on_tick : callable
        Called every `TICK_MS`.
    clock, rng, log, metrics
        Of the instance.
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
        self._unsent: list[TripRow] = []
        self._has_trip = asyncio.Event()
        self._has_read = asyncio.Event()
        self._reported: dict[str, tuple[ReportRow | None, int]] = {}
        view.on_trip(self._note_trip)

    async def run(self) -> None:
        """Read and write until cancelled."""
        supervisor = Supervisor("rollouts", self._clock, self._log, self._rng)
        supervisor.add("poll", self._poll)
        supervisor.add("trips", self._send_trips)
        supervisor.add("reports", self._report)
        supervisor.add("tick", self._tick)
        await supervisor.run()

    async def wait_read(self, timeout_ms: int) -> None:
        """Wait until the rows were read once, at most for a time."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._has_read.wait()
        except TimeoutError:
            self._log.event("rollouts_not_read", waited_ms=timeout_ms)

    def trip_from_peer(
        self, service: ServiceId, version: VersionId, why: str, seen_wall_ms: int
    ) -> None:
        """Take in that a peer stopped a version's traffic.

        It counts for the attempt that is on its way here, unless that began
        later; without one the row or the trip in the table will tell.
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
        self._view.trip(trip)

    async def refresh(self) -> Failure | None:
        """Read all rows, and trips where a version is on its way."""
        failure = await self._read(ROLLOUT_PREFIX, self._take_row)
        if failure is None and self._on_their_way():
            failure = await self._read(TRIP_PREFIX, self._take_trip)
        if failure is None:
            self._has_read.set()
        return failure

    async def _read(self, prefix: str, take: Callable[[Row], None]) -> Failure | None:
        after = ""
        while True:
            self._metrics.incr("rollouts.scans")
            rows = await self._call(
                self._table.scan(prefix, after=after, limit=SCAN_ROWS), Reason.TIMEOUT
            )
            if isinstance(rows, Failure):
                return rows
            for row in rows:
                take(row)
            if len(rows) < SCAN_ROWS:
                return None
            after = rows[-1].key

    async def _poll(self) -> None:
        was_failing = False
        while True:
            failure = await self.refresh()
            if failure is not None and not was_failing:
                self._log.event("rollouts_read_failed", failure=failure)
            was_failing = failure is not None
            interval_ms = POLL_MS if self._is_busy() else IDLE_POLL_MS
            spread = self._rng.uniform(1 - JITTER, 1 + JITTER)
            await self._clock.sleep_ms(interval_ms * spread)

    def _is_busy(self) -> bool:
        if not self._has_read.is_set():
            return True
        return any(row.state not in SETTLED for row in self._view.rows())

    def _on_their_way(self) -> list[RolloutRow]:
        return [row for row in self._view.rows() if row.state in WITH_TRAFFIC]

    def _take_row(self, stored: Row) -> None:
        row = decode(stored, RolloutRow)
        if row is None:
            self._log.event("rollout_unreadable", key=stored.key)
            return
        before = self._view.apply_row(row, stored.revision)
        if before is None or before.token == row.token:
            return
        self._say(row)

    def _say(self, row: RolloutRow) -> None:
        """Log that a row is in force here; one from before the start is no news."""
        name = "rollout_in_force"
        if self._has_read.is_set():
            name = SETTLED_EVENTS.get(row.state, name)
        self._log.event(
            name,
            service=row.service,
            version=row.version,
            attempt=row.attempt,
            state=row.state,
            share=row.share,
            deadline_wall_ms=row.deadline_wall_ms,
            why=row.why,
        )

    def _take_trip(self, stored: Row) -> None:
        trip = decode(stored, TripRow)
        if trip is not None:
            self._view.trip(trip)

    def _note_trip(self, trip: TripRow) -> None:
        self._log.event("rollout_tripped", trip=trip)
        self._metrics.incr("rollouts.tripped")
        self._on_tick()
        if trip.instance == self._identity.instance:
            self._unsent.append(trip)
            self._has_trip.set()

    async def _send_trips(self) -> None:
        """Write own trips until each is there, by whomever."""
        while True:
            await self._has_trip.wait()
            while self._unsent:
                if not await self._write_trip(self._unsent[0]):
                    await self._clock.sleep_ms(POLL_MS)
                    continue
                self._unsent.pop(0)
            self._has_trip.clear()

    async def _write_trip(self, trip: TripRow) -> bool:
        key = trip_key(trip.service, trip.version, trip.attempt)
        write = Write(key, msgspec.json.encode(trip), ABSENT_REVISION)
        result = await self._call(self._table.commit([write]), Reason.IN_DOUBT)
        return isinstance(result, Committed | Conflict)

    async def _report(self) -> None:
        while True:
            spread = self._rng.uniform(1 - JITTER, 1 + JITTER)
            await self._clock.sleep_ms(REPORT_MS * spread)
            for row in self._on_their_way():
                await self._write_report(row)

    async def _write_report(self, row: RolloutRow) -> None:
        results, bad = self._observer.counts(row)
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
        last, revision = self._reported.get(key, (None, ABSENT_REVISION))
        if last == report:
            return
        write = Write(key, msgspec.json.encode(report), revision)
        self._metrics.incr("rollouts.reports")
        result = await self._call(self._table.commit([write]), Reason.IN_DOUBT)
        if isinstance(result, Committed):
            self._reported[key] = (report, result.revision)
        elif isinstance(result, Conflict):
            found = result.current.get(key)
            revision = found.revision if found else ABSENT_REVISION
            self._reported[key] = (None, revision)

    async def _tick(self) -> None:
        while True:
            await self._clock.sleep_ms(TICK_MS)
            self._observer.tick()
            self._on_tick()

    async def _call(self, call, unanswered: Reason):
        try:
            return await asyncio.wait_for(call, CALL_MS / 1000)
        except TimeoutError:
            return Failure(unanswered, STEP, "platform")
