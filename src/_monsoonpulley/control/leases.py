"""Leases of one instance, kept in sync with the platform's table.

A duty is control work that one instance does for all, for example scaling a service
(``capacity/SERVICE``). Its lease names the instance that may do it.

One scan per interval reads all leases, and writes that are due at the same tick
share transactions. Commits run in tasks of their own, so that a slow table never
delays the tick at which a holder finds that its lease has expired.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..external.table import ABSENT_REVISION, Committed, Conflict, Row, Table, Write
from ..identity import Identity
from ..ids import InstanceId
from ..observability.log import Log
from ..observability.metrics import Metrics
from .lease import LeaseRules
from .leasestate import (
    LEASE_PREFIX,
    NO_INSTANCE,
    AnnouncedRow,
    Event,
    LeaseDecision,
    LeaseRow,
    LeaseSettings,
    LeaseState,
    PendingWrite,
    RowRead,
    Tick,
    WriteConfirmed,
    WriteConflicted,
    WriteFailed,
    WriteKind,
    decode_row,
    lease_key,
)

MAX_WRITES_PER_COMMIT = 64
"""Most leases written in one transaction of the table."""
SCAN_PAGE_ROWS = 500
TOKEN_BITS = 64
STEP = "leases"
UNKNOWN_STATE = LeaseState()


class DutyPlacement(Protocol):
    """Decides which instance should hold which duty."""

    def duties(self) -> Sequence[str]:
        """Return the names of all existing duties."""
        ...

    def rank(self, duty: str) -> int | None:
        """Return this instance's rank, ``None`` if it is not a candidate."""
        ...

    def successor(self, duty: str) -> InstanceId:
        """Return the instance that should hold the duty after this one."""
        ...


class Hold:
    """A lease held by this instance, as passed to the duty that runs under it.

    Attributes
    ----------
    fencing_number : int
        Increases with each claim of the lease. It is sent with each order, so that
        receivers can refuse orders of an earlier holder.
    """

    def __init__(self, fencing_number: int, may_act: Callable[[int, int], bool]):
        self.fencing_number = fencing_number
        self._may_act = may_act

    def may_act(self, for_ms: int = 0) -> bool:
        """Return whether an order may be sent now; check right before each send.

        Parameters
        ----------
        for_ms : int
            How long the order may take to arrive; the lease must last that long.
        """
        return self._may_act(self.fencing_number, for_ms)


class _LeaseWrite(msgspec.Struct, frozen=True):
    """A pending write and the duty whose lease it changes."""

    duty: str
    pending: PendingWrite

    def to_table_write(self) -> Write:
        value = msgspec.json.encode(self.pending.row)
        return Write(lease_key(self.duty), value, self.pending.expected_revision)


class Leases:
    """All leases as one instance knows them.

    Parameters
    ----------
    table : Table
        Holds a row for each lease.
    identity : Identity
        This instance and its incarnation.
    placement : DutyPlacement
        Which duties exist and which instance should hold each.
    clock, rng, log, metrics
        Shared with the rest of the instance.
    settings : LeaseSettings
        The same on every instance.
    number_floor : callable
        See `LeaseRules`.

    Attributes
    ----------
    after_tick : callable
        Called in each tick after the decisions, before their writes are sent; starts
        and stops the duties.
    """

    def __init__(
        self,
        table: Table,
        identity: Identity,
        placement: DutyPlacement,
        clock: Clock,
        rng: random.Random,
        log: Log,
        metrics: Metrics,
        settings: LeaseSettings,
        number_floor: Callable[[], int] = lambda: 0,
    ):
        self._table = table
        self._placement = placement
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._settings = settings
        self._rules = LeaseRules(identity, settings, number_floor)
        self._suspended_until_ms: int | None = None
        self._states: dict[str, LeaseState] = {}
        self._commits: set[asyncio.Task[None]] = set()
        self._is_scan_failing = False
        self._scan_requested = asyncio.Event()
        self.after_tick: Callable[[], None] = lambda: None

    def state(self, duty: str) -> LeaseState:
        """Return what is known of the lease of a duty."""
        return self._states.get(duty, UNKNOWN_STATE)

    def rows(self) -> list[tuple[str, LeaseRow]]:
        """Return the duties whose lease has a row, each with the row last observed."""
        seen = [(d, s.observed) for d, s in sorted(self._states.items())]
        return [(duty, o.row) for duty, o in seen if o is not None and o.row]

    def hold(self, duty: str) -> Hold | None:
        """Return the hold on a duty, ``None`` while this instance may not act on it."""
        state = self.state(duty)
        if not state.may_act(self._clock.now_ms()):
            return None
        return Hold(state.held.fencing_number, lambda n, ms: self._may_act(duty, n, ms))

    def announced_row(self, duty: str) -> AnnouncedRow | None:
        """Return the row of a lease that this instance holds, else None.

        The holder sends it to the other candidates, which call `observe_row` and
        so need not scan to see renewals.
        """
        state = self.state(duty)
        if not state.may_act(self._clock.now_ms()):
            return None
        observed = state.observed
        if observed is None or observed.row is None:
            return None
        return AnnouncedRow(observed.row, observed.revision)

    def observe_row(self, duty: str, announced: AnnouncedRow) -> None:
        """Handle the announcement of a holder like a read of the row at this time.

        The row changed before its holder announced it, so that a claimer that waits
        a full lease from now on waits long enough.
        """
        self._step(duty, RowRead(announced.row, announced.revision))

    def forget_rows(self) -> None:
        """Drop all leases and claim none for one lease: the table lost writes.

        Whoever held a lease renewed it before the loss, and so acts on it for less long
        than the first claim after the loss waits.
        """
        now_ms = self._clock.now_ms()
        self._suspended_until_ms = now_ms + self._settings.lease_duration_ms
        self._states.clear()
        self.request_scan()

    def request_scan(self) -> None:
        """Scan now: this instance may have become a candidate."""
        self._scan_requested.set()

    async def run(self) -> None:
        """Scan, claim and renew until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._scan_periodically(), name="leases/watch")
                group.create_task(self._tick_periodically(), name="leases/keep")
        finally:
            for task in self._commits:
                task.cancel()

    async def scan(self) -> Failure | None:
        """Read the rows of all leases once."""
        rows: dict[str, Row] = {}
        after = ""
        while True:
            page = await self._scan_page(after)
            if isinstance(page, Failure):
                return page
            rows.update((row.key, row) for row in page)
            if len(page) < SCAN_PAGE_ROWS:
                break
            after = page[-1].key
        for duty in self._placement.duties():
            self._handle_row(duty, rows.get(lease_key(duty)))
        return None

    def tick(self) -> None:
        """Decide on each lease and send the writes that are due."""
        due_writes: list[_LeaseWrite] = []
        # Stored in the rows written at this tick. If the answer to a write is lost,
        # this instance recognizes the write by it in a row that it reads later.
        token = f"{self._rng.getrandbits(TOKEN_BITS):016x}"
        now_ms = self._clock.now_ms()
        if self._suspended_until_ms is not None:
            if now_ms < self._suspended_until_ms:
                self.after_tick()
                return
            self._suspended_until_ms = None
        for duty in self._duties_to_tick():
            if not self._rules.may_need_tick(self.state(duty), now_ms):
                continue
            rank = self._placement.rank(duty)
            successor = self._placement.successor(duty) if rank is None else NO_INSTANCE
            decision = self._step(duty, Tick(rank, token, successor))
            if decision is not None and decision.write is not None:
                due_writes.append(_LeaseWrite(duty, decision.write))
        self.after_tick()
        self._send_writes(due_writes)

    def _duties_to_tick(self) -> list[str]:
        """Return all existing duties, and those still held or being written."""
        duties = list(self._placement.duties())
        held_or_pending = [d for d, s in self._states.items() if s.held or s.pending]
        return list(dict.fromkeys(duties + held_or_pending))

    async def _scan_periodically(self) -> None:
        while True:
            # Before the scan, so that a request during it leads to another one.
            self._scan_requested.clear()
            failure = await self.scan()
            _raise_if_cancelled()
            self._record_scan(failure)
            wait_ms = self._scan_interval_ms()
            jitter_factor = self._rng.uniform(
                1 - self._settings.jitter_ratio, 1 + self._settings.jitter_ratio
            )
            await self._wait_for_scan(wait_ms * jitter_factor)

    async def _wait_for_scan(self, wait_ms: float) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await self._scan_requested.wait()
        except TimeoutError:
            # No earlier scan was requested.
            return

    async def _tick_periodically(self) -> None:
        while True:
            self.tick()
            await self._clock.sleep_ms(self._settings.tick_interval_ms)

    def _scan_interval_ms(self) -> int:
        """Return the interval until the next scan.

        It is short if this instance is among the first ``watcher_count`` candidates
        of any duty. A holder that announces its row sees changes when it renews.
        """
        is_announced = self._settings.claim_notice_ms is not None
        for duty in self._placement.duties():
            if is_announced and self.hold(duty) is not None:
                continue
            rank = self._placement.rank(duty)
            if rank is not None and rank < self._settings.watcher_count:
                return self._settings.scan_interval_ms
        return self._settings.idle_scan_interval_ms

    async def _scan_page(self, after: str) -> tuple[Row, ...] | Failure:
        self._metrics.incr("leases.scans")
        call = self._table.scan(LEASE_PREFIX, after=after, limit=SCAN_PAGE_ROWS)
        try:
            return await asyncio.wait_for(call, self._settings.call_timeout_ms / 1000)
        except TimeoutError:
            return Failure(Reason.TIMEOUT, f"{STEP}.scan", "platform")

    def _record_scan(self, failure: Failure | None) -> None:
        if failure is not None:
            self._metrics.incr("leases.scan_failed")
        if failure is not None and not self._is_scan_failing:
            self._log.event("lease_scan_failed", failure=failure)
        self._is_scan_failing = failure is not None

    def _handle_row(self, duty: str, row: Row | None) -> None:
        if row is None:
            self._step(duty, RowRead(None, ABSENT_REVISION))
            return
        lease = decode_row(row)
        if lease is None:
            self._log.event("lease_unreadable", duty=duty, revision=row.revision)
            return
        self._step(duty, RowRead(lease, row.revision))

    def _send_writes(self, due_writes: list[_LeaseWrite]) -> None:
        """Send the writes, renewals in separate transactions.

        A conflict on one row fails the whole transaction, and claims and releases
        conflict more often than renewals.
        """
        renewals = [
            write for write in due_writes if write.pending.kind is WriteKind.RENEW
        ]
        claims_and_releases = [
            write for write in due_writes if write.pending.kind is not WriteKind.RENEW
        ]
        for group in (renewals, claims_and_releases):
            for start in range(0, len(group), MAX_WRITES_PER_COMMIT):
                self._spawn_commit(group[start : start + MAX_WRITES_PER_COMMIT])

    def _spawn_commit(self, group: list[_LeaseWrite]) -> None:
        task = asyncio.create_task(self._commit(group), name="leases/commit")
        self._commits.add(task)
        task.add_done_callback(self._commits.discard)

    async def _commit(self, group: list[_LeaseWrite]) -> None:
        """Commit until each write is confirmed, conflicts or fails.

        A failed write may be of unknown outcome.
        """
        while group:
            result = await self._commit_once(
                [write.to_table_write() for write in group]
            )
            if isinstance(result, Conflict):
                group = self._handle_conflict(group, result)
                continue
            for write in group:
                self._step(write.duty, _write_event(write, result))
            return

    async def _commit_once(self, writes: list[Write]) -> Committed | Conflict | Failure:
        self._metrics.incr("leases.commits")
        self._metrics.incr("leases.rows_written", len(writes))
        call = self._table.commit(writes)
        try:
            return await asyncio.wait_for(call, self._settings.call_timeout_ms / 1000)
        except TimeoutError:
            return Failure(Reason.IN_DOUBT, f"{STEP}.commit", "platform")

    def _handle_conflict(
        self, group: list[_LeaseWrite], conflict: Conflict
    ) -> list[_LeaseWrite]:
        """Resolve the writes whose rows have changed; return the others."""
        unchanged = []
        for write in group:
            row = conflict.current.get(lease_key(write.duty))
            revision = row.revision if row else ABSENT_REVISION
            if revision == write.pending.expected_revision:
                unchanged.append(write)
                continue
            lease = decode_row(row) if row else None
            self._step(
                write.duty,
                WriteConflicted(write.pending.row.token, lease, revision),
            )
        if len(unchanged) < len(group):
            return unchanged
        # The table reports a conflict, but no row differs. The same commit could
        # conflict without end, so all writes fail, and a later tick tries again.
        # False: the outcome is known, as a conflicting transaction writes nothing.
        for write in unchanged:
            self._step(write.duty, WriteFailed(write.pending.row.token, False))
        return []

    def _step(self, duty: str, event: Event) -> LeaseDecision | None:
        now_ms = self._clock.now_ms()
        after, decision = self._rules.step(self.state(duty), event, now_ms)
        self._states[duty] = after
        if decision is not None:
            self._record_decision(duty, decision)
        return decision

    def _record_decision(self, duty: str, decision: LeaseDecision) -> None:
        """Log a decision; renewals and further tries are only counted.

        Further tries are the writes sent after two or more consecutive failures.
        """
        write = decision.write
        if write is not None and decision.rule == "renewal is due":
            self._metrics.incr("leases.renewals")
            return
        if write is not None and decision.before.failures > 1:
            self._metrics.incr("leases.further_tries")
            return
        self._log.decision(msgspec.structs.replace(decision, duty=duty))

    def _may_act(self, duty: str, fencing_number: int, for_ms: int) -> bool:
        state = self.state(duty)
        if not state.may_act(self._clock.now_ms() + for_ms):
            return False
        return state.held.fencing_number == fencing_number


def _raise_if_cancelled() -> None:
    """Raise the cancellation that `asyncio.wait_for` may have swallowed.

    On Python 3.11 `asyncio.wait_for` loses a cancellation that arrives together
    with the result, and the task would never end.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


def _write_event(write: _LeaseWrite, result: Committed | Failure) -> Event:
    """Return the event that reports the result of a commit for one of its writes."""
    token = write.pending.row.token
    if isinstance(result, Committed):
        return WriteConfirmed(token, result.revision)
    # Only UNAVAILABLE means that the table surely did not write; after any other
    # failure the write is of unknown outcome.
    return WriteFailed(token, result.reason is not Reason.UNAVAILABLE)
