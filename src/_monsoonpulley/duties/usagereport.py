"""Usage reports: each window once, with one set of counts whoever sends it.

A report's counts are fixed by a row in the store before they are sent. A holder
that takes over sends what it finds there, unchanged.
"""

from __future__ import annotations

import msgspec

from ..clock import Clock
from ..control.leases import Hold
from ..errors import Failure, Reason
from ..external.table import ABSENT_REVISION, Committed, Conflict, Table, Write
from ..observability.log import Log
from ..platform.cloud import CALL_TIMEOUT_MS, CloudClient
from .usage import RETAINED_WINDOWS, UsageCounter

REPORT_DELAY_MS = 2_500
"""From a window's end to its report: digests of its last requests have arrived,
and several tries are left until it is late."""

REPORT_PREFIX = "usage/"

REPORTED_RETENTION_WINDOWS = 4 * RETAINED_WINDOWS
"""Windows after which it is forgotten that one was reported: it is due no more."""


class UsageReporter:
    """Reports the windows that are due.

    Parameters
    ----------
    counter : UsageCounter
        Has the counts.
    table : Table
        Keeps what was reported.
    cloud : CloudClient
        Takes the reports.
    clock, log : Clock, Log
        Wall time decides windows.
    """

    def __init__(
        self,
        counter: UsageCounter,
        table: Table,
        cloud: CloudClient,
        clock: Clock,
        log: Log,
    ):
        self._counter = counter
        self._table = table
        self._cloud = cloud
        self._clock = clock
        self._log = log
        self._first_window = counter.window_of(clock.wall_ms())
        self._reported_windows: set[int] = set()

    def due_windows(self) -> list[int]:
        """Return the windows to report now, the oldest first.

        Windows that ended before this instance started are left to others:
        its counts of them are not complete.
        """
        due_ms = self._clock.wall_ms() - REPORT_DELAY_MS
        newest = self._counter.window_of(due_ms) - 1
        oldest = max(self._first_window, newest - RETAINED_WINDOWS + 2)
        windows = range(oldest, newest + 1)
        return [window for window in windows if window not in self._reported_windows]

    async def step(self, hold: Hold) -> None:
        """Report what is due, while the duty is held."""
        for window in self.due_windows():
            counts = await self._store_counts(window)
            if isinstance(counts, Failure):
                self._log.event("usage_not_fixed", window=window, error=str(counts))
                if counts.reason is not Reason.INVALID:
                    return
                # No later try would find other counts: go on to the next window.
                self._reported_windows.add(window)
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
                fencing_number=hold.fencing_number,
                error=str(failure) if failure else "",
            )
            if failure is not None:
                return
            self._reported_windows.add(window)
        expired_window = (
            self._counter.window_of(self._clock.wall_ms()) - REPORTED_RETENTION_WINDOWS
        )
        self._reported_windows = {
            w for w in self._reported_windows if w > expired_window
        }

    async def _store_counts(self, window: int) -> dict[str, int] | Failure:
        """Write a window's counts, or return those that were written before."""
        counts = self._counter.totals(window)
        key = _key(window)
        write = Write(key, msgspec.json.encode(counts), ABSENT_REVISION)
        result = await self._table.commit([write])
        if isinstance(result, Committed):
            return counts
        if isinstance(result, Conflict):
            return _stored_counts(key, result)
        return result


def _stored_counts(key: str, conflict: Conflict) -> dict[str, int] | Failure:
    """Return the counts that another write has fixed."""
    row = conflict.current.get(key)
    if row is None:
        return Failure(Reason.CONFLICT, "usage.fix", detail="the row is not named")
    try:
        return msgspec.json.decode(row.value, type=dict[str, int])
    except msgspec.MsgspecError as error:
        return Failure(Reason.INVALID, "usage.fix", detail=f"{key}: {error}")


def _key(window: int) -> str:
    return f"{REPORT_PREFIX}{window:012d}"
