"""Group commit: conditional writes of one instance share transactions."""

from __future__ import annotations

import asyncio
from collections import deque

import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..external.table import (
    ABSENT_REVISION,
    Committed,
    Conflict,
    Table,
    Write,
)
from .settings import JournalSettings

WriteResult = Committed | Conflict | Failure


class WriterCounts(msgspec.Struct):
    """Counts of a writer since its start."""

    writes: int = 0
    commits: int = 0
    refusals: int = 0


class _QueuedWrite(msgspec.Struct, frozen=True, eq=False):
    write: Write
    result: asyncio.Future


class GroupWriter:
    """Combines writes into transactions and gives each write its own result.

    On a conflict only the writes whose row has changed fail; the others are
    retried at once. After a lost answer all writes of the group are in doubt.

    Parameters
    ----------
    table : Table
        Table to write to.
    clock : Clock
        Clock of the wait for a group to fill.
    settings : JournalSettings
        Limits of groups and of the queue.
    """

    def __init__(self, table: Table, clock: Clock, settings: JournalSettings):
        self._table = table
        self._clock = clock
        self._settings = settings
        self._queue: deque[_QueuedWrite] = deque()
        self._in_flight: set[asyncio.Task] = set()
        self._fill_task: asyncio.Task | None = None
        self.counts = WriterCounts()

    async def write(self, write: Write, *, is_new: bool = False) -> WriteResult:
        """Write one row as part of a transaction.

        Parameters
        ----------
        is_new : bool
            The write records new work, which is refused first when the queue
            fills.

        Returns
        -------
        Committed, Conflict or Failure
            ``Reason.OVERLOADED`` if the queue is full; then nothing is written.
        """
        settings = self._settings
        limit = settings.max_queued_new_writes if is_new else settings.max_queued_writes
        if len(self._queue) >= limit:
            self.counts.refusals += 1
            detail = f"{len(self._queue)} writes are queued"
            return Failure(Reason.OVERLOADED, "journal.write", detail=detail)
        self.counts.writes += 1
        result = asyncio.get_running_loop().create_future()
        self._queue.append(_QueuedWrite(write, result))
        self._schedule_commit()
        return await result

    def close(self) -> None:
        """Cancel queued writes; transactions in flight may still take effect."""
        for task in [*self._in_flight, self._fill_task]:
            if task is not None:
                task.cancel()
        for queued in self._queue:
            queued.result.cancel()
        self._queue.clear()

    def _schedule_commit(self) -> None:
        if len(self._queue) >= self._settings.max_group_writes:
            self._commit_next()
        elif self._queue and self._fill_task is None:
            self._fill_task = asyncio.create_task(self._fill_and_commit())

    async def _fill_and_commit(self) -> None:
        await self._clock.sleep_ms(self._settings.group_wait_ms)
        self._fill_task = None
        self._commit_next()

    def _commit_next(self) -> None:
        if len(self._in_flight) >= self._settings.max_groups_in_flight:
            return
        group = self._pop_group()
        if not group:
            return
        task = asyncio.create_task(self._commit(group))
        self._in_flight.add(task)
        task.add_done_callback(self._on_commit_done)

    def _on_commit_done(self, task: asyncio.Task) -> None:
        self._in_flight.discard(task)
        if not task.cancelled():
            self._schedule_commit()

    def _pop_group(self) -> list[_QueuedWrite]:
        """Remove writes of different rows from the front of the queue."""
        group: dict[str, _QueuedWrite] = {}
        size_bytes = 0
        while self._queue and len(group) < self._settings.max_group_writes:
            queued = self._queue[0]
            size_bytes += len(queued.write.value or b"")
            too_large = group and size_bytes > self._settings.max_group_bytes
            if too_large or queued.write.key in group:
                break
            group[queued.write.key] = self._queue.popleft()
        return list(group.values())

    async def _commit(self, group: list[_QueuedWrite]) -> None:
        while group:
            self.counts.commits += 1
            result = await self._try_commit([each.write for each in group])
            if not isinstance(result, Conflict):
                _set_results(group, result)
                return
            conflicting = [each for each in group if _has_changed(each.write, result)]
            if not conflicting:
                # The rows changed between check and answer; each write decides again.
                conflicting = group
            for each in conflicting:
                _set_results([each], _conflict_on_row(each.write, result))
            group = [each for each in group if each not in conflicting]

    async def _try_commit(self, writes: list[Write]) -> WriteResult:
        try:
            return await self._table.commit(writes)
        except Exception as error:
            # After a fault in the adapter the writes may have taken effect.
            return Failure(Reason.IN_DOUBT, "table.commit", "table", repr(error))


def _set_results(group: list[_QueuedWrite], result: WriteResult) -> None:
    for each in group:
        if not each.result.done():
            each.result.set_result(result)


def _has_changed(write: Write, conflict: Conflict) -> bool:
    row = conflict.current.get(write.key)
    revision = ABSENT_REVISION if row is None else row.revision
    return revision != write.expected_revision


def _conflict_on_row(write: Write, conflict: Conflict) -> Conflict:
    row = conflict.current.get(write.key)
    return Conflict({} if row is None else {write.key: row})
