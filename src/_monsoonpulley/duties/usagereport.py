"""The duty of reporting usage: once for each window, with one final set of counts.

A report's counts are written to the table before they are sent. A later holder
sends the stored counts unchanged. Where the table has lost its last writes, see
`ReportFloor`.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..control.leases import Hold
from ..errors import MALFORMED_ERRORS, Failure, Reason
from ..external.table import ABSENT_REVISION, Committed, Conflict, Row, Table, Write
from ..ids import InstanceId
from ..observability.log import Log
from ..platform.cloud import CALL_TIMEOUT_MS, CloudClient
from .reportfloor import ReportFloor
from .usage import RETAINED_WINDOWS, SETTLE_MS, UsageCounter

MIN_REPORT_DELAY_MS = SETTLE_MS + 500
"""Shortest delay from a window's end to its report: the time until counts are final,
and to send them."""

REPORT_MARGIN_MS = 4_500
"""Time before a report is late from which it no longer waits for counts that have not
arrived: another instance may have to take the duty over, after one lease, first."""

REPORT_PREFIX = "usage/"

REPORTED_RETENTION_WINDOWS = 4 * RETAINED_WINDOWS
"""Windows for which it is kept that one was reported; older ones are never due."""


class UsageReporter:
    """Reports the usage of each window when it is due.

    Parameters
    ----------
    counter : UsageCounter
        Counts of all instances.
    table : Table
        Stores the counts of each report.
    cloud : CloudClient
        Receives the reports.
    clock, log : Clock, Log
        Wall time determines the windows; each report is logged.
    late_ms : int
        Time after a window's end at which its report is late.
    awaited_instances : callable
        Returns the other instances whose counts a report waits for.
    table_era : callable
        Returns the era of the table, None before its first answer.
    receive_waiting : callable
        Handles the counts of other instances that have arrived.
    """

    def __init__(
        self,
        counter: UsageCounter,
        table: Table,
        cloud: CloudClient,
        clock: Clock,
        log: Log,
        late_ms: int,
        awaited_instances: Callable[[], list[InstanceId]],
        table_era: Callable[[], int | None] = lambda: 0,
        receive_waiting: Callable[[], None] = lambda: None,
    ):
        self._late_ms = late_ms
        self._awaited_instances = awaited_instances
        self._counter = counter
        self._table = table
        self._cloud = cloud
        self._clock = clock
        self._log = log
        self._receive_waiting = receive_waiting
        self._first_window = counter.window_of(clock.wall_ms())
        self._reported_windows: set[int] = set()
        self._fixed_counts: dict[int, dict[str, int]] = {}
        self._has_caught_up = False
        self._knows_reports = False
        self._floor = ReportFloor(
            table, table_era, lambda: counter.window_of(clock.wall_ms())
        )

    def due_windows(self) -> list[int]:
        """Return the windows to report now, oldest first.

        Windows before the one in which this instance started are reported only if
        its peers have sent it their counts of them.
        """
        due_ms = self._clock.wall_ms() - MIN_REPORT_DELAY_MS
        newest = self._counter.window_of(due_ms) - 1
        windows = range(newest - RETAINED_WINDOWS + 2, newest + 1)
        return [
            window
            for window in windows
            if window not in self._reported_windows
            and (window >= self._first_window or self._counter.has_counts(window))
            and not self._is_waiting(window)
        ]

    def observe_era(self) -> None:
        """Note when the table's era changes; also while others hold the duty."""
        self._floor.observe_era()

    def handle_era_change(self, was_holder: bool) -> None:
        """Note that the table has lost its last writes.

        Only an instance that held the duty until now, and had caught up with what
        others reported, knows what was sent.

        Parameters
        ----------
        was_holder : bool
            Whether this instance held the duty when it heard of the loss.
        """
        self._floor.observe_era()
        self._knows_reports = was_holder and self._has_caught_up
        self._has_caught_up = False

    def _is_waiting(self, window: int) -> bool:
        """Return whether to wait for counts of other instances."""
        wait_ms = max(MIN_REPORT_DELAY_MS, self._late_ms - REPORT_MARGIN_MS)
        if self._clock.wall_ms() >= self._counter.window_end_ms(window) + wait_ms:
            return False
        return not self._counter.is_complete(window, self._awaited_instances())

    async def step(self, hold: Hold) -> None:
        """Report the due windows while the duty is held."""
        if not await self._agree_on_floor():
            return
        # A process that stood still would otherwise wait no longer for counts that have
        # arrived.
        self._receive_waiting()
        for window in self.due_windows():
            self._receive_waiting()
            is_complete = self._counter.is_complete(window, self._awaited_instances())
            counts = await self._store_counts(window)
            if isinstance(counts, Failure):
                self._log.event("usage_not_fixed", window=window, error=str(counts))
                if counts.reason is not Reason.INVALID:
                    return
                # The stored counts will stay invalid: skip this window.
                self._reported_windows.add(window)
                continue
            if counts is None:
                self._reported_windows.add(window)
                self._log.event("usage_windows_skipped", windows=[window])
                continue
            if not hold.may_act(CALL_TIMEOUT_MS):
                return
            failure = await self._cloud.report_usage(
                hold.fencing_number, window, counts
            )
            self._log.event(
                "usage_reported",
                window=window,
                counts=counts,
                is_complete=is_complete,
                fencing_number=hold.fencing_number,
                error=str(failure) if failure else "",
            )
            if failure is not None:
                return
            self._reported_windows.add(window)
        self._has_caught_up = True
        expired_window = (
            self._counter.window_of(self._clock.wall_ms()) - REPORTED_RETENTION_WINDOWS
        )
        self._reported_windows = {
            w for w in self._reported_windows if w > expired_window
        }
        self._fixed_counts = {
            w: counts for w, counts in self._fixed_counts.items() if w > expired_window
        }

    async def _agree_on_floor(self) -> bool:
        """Return whether it is known which windows may have been reported."""
        first_unreported = None
        if self._knows_reports:
            known = {self._first_window - 1, *self._reported_windows}
            first_unreported = max(known | self._fixed_counts.keys()) + 1
        failure = await self._floor.agree(first_unreported)
        if failure is not None:
            self._log.event("usage_floor_unknown", error=str(failure))
        if self._floor.window is None:
            return False
        self._knows_reports = False
        return True

    async def _store_counts(self, window: int) -> dict[str, int] | Failure | None:
        """Store a window's counts, or return those stored before.

        None if the table has none, and may have lost those that were reported.
        """
        key = _key(window)
        # Counts that may have been sent stay, even if the table has lost them.
        counts = self._fixed_counts.get(window)
        if counts is None:
            assert self._floor.window is not None
            if window < self._floor.window:
                row = await self._table.read(key)
                return _decode_counts(row) if isinstance(row, Row) else row
            counts = self._counter.totals(window)
        write = Write(key, msgspec.json.encode(counts), ABSENT_REVISION)
        result = await self._table.commit([write])
        if isinstance(result, Committed):
            self._fixed_counts[window] = counts
            return counts
        if isinstance(result, Conflict):
            return _stored_counts(key, result)
        return result


def _stored_counts(key: str, conflict: Conflict) -> dict[str, int] | Failure:
    """Return the counts that an earlier write has stored."""
    row = conflict.current.get(key)
    if row is None:
        return Failure(
            Reason.CONFLICT,
            "usage.fix",
            detail=f"the conflict does not include row {key}",
        )
    return _decode_counts(row)


def _decode_counts(row: Row) -> dict[str, int] | Failure:
    try:
        return msgspec.json.decode(row.value, type=dict[str, int])
    except MALFORMED_ERRORS as error:
        return Failure(
            Reason.INVALID,
            "usage.fix",
            detail=f"row {row.key} has no valid counts: {error}",
        )


def _key(window: int) -> str:
    return f"{REPORT_PREFIX}{window:012d}"
