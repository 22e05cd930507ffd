"""Group commit: small conditional writes of one instance share transactions."""

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
    """What a writer did since it began."""

    writes: int = 0
    commits: int = 0
    refused: int = 0


class _Waiting(msgspec.Struct, frozen=True, eq=False):
    write: Write
    result: asyncio.Future


class GroupWriter:
    """Puts writes into few transactions and gives each its own result.

    On a conflict only the writes whose row has changed fail; the others are
    tried again at once. On a lost answer every member of the group is in doubt.

    Parameters
    ----------
    table : Table
        Where to write.
    clock : Clock
        For the wait that lets a group fill.
    settings : JournalSettings
        Bounds of groups and of the queue.
    """

    def __init__(self, table: Table, clock: Clock, settings: JournalSettings):
        self._table = table
        self._clock = clock
        self._settings = settings
        self._queue: deque[_Waiting] = deque()
        self._in_flight: set[asyncio.Task] = set()
        self._filling: asyncio.Task | None = None
        self.counts = WriterCounts()

    async def write(self, write: Write, *, is_new: bool = False) -> WriteResult:
        """Write one row as part of some transaction.

        Parameters
        ----------
        is_new : bool
            The write begins new work, which is refused first when many wait.

        Returns
        -------
        Committed, Conflict or Failure
            ``Reason.OVERLOADED`` if the queue is full; then nothing is written.
        """
        settings = self._settings
        limit = settings.queue_new_writes if is_new else settings.queue_writes
        if len(self._queue) >= limit:
            self.counts.refused += 1
            detail = f"{len(self._queue)} writes wait"
            return Failure(Reason.OVERLOADED, "journal.write", detail=detail)
        self.counts.writes += 1
        result = asyncio.get_running_loop().create_future()
        self._queue.append(_Waiting(write, result))
        self._start()
        return await result

    def close(self) -> None:
        """Drop what waits; transactions under way may still take effect."""
        for task in [*self._in_flight, self._filling]:
            if task is not None:
                task.cancel()
        for waiting in self._queue:
            waiting.result.cancel()
        self._queue.clear()

    def _start(self) -> None:
        if len(self._queue) >= self._settings.group_writes:
            self._commit_next()
        elif self._queue and self._filling is None:
            self._filling = asyncio.create_task(self._fill())

    async def _fill(self) -> None:
        await self._clock.sleep_ms(self._settings.group_wait_ms)
        self._filling = None
        self._commit_next()

    def _commit_next(self) -> None:
        if len(self._in_flight) >= self._settings.group_in_flight:
            return
        group = self._take_group()
        if not group:
            return
        task = asyncio.create_task(self._commit(group))
        self._in_flight.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task) -> None:
        self._in_flight.discard(task)
        if not task.cancelled():
            self._start()

    def _take_group(self) -> list[_Waiting]:
        """Take writes of different rows from the front of the queue."""
        group: dict[str, _Waiting] = {}
        size_bytes = 0
        while self._queue and len(group) < self._settings.group_writes:
            waiting = self._queue[0]
            size_bytes += len(waiting.write.value or b"")
            too_large = group and size_bytes > self._settings.group_bytes
            if too_large or waiting.write.key in group:
                break
            group[waiting.write.key] = self._queue.popleft()
        return list(group.values())

    async def _commit(self, group: list[_Waiting]) -> None:
        while group:
            self.counts.commits += 1
            result = await self._try_commit([each.write for each in group])
            if not isinstance(result, Conflict):
                _give(group, result)
                return
            changed = [each for each in group if _has_changed(each.write, result)]
            if not changed:
                # The rows moved between check and answer; each decides anew.
                changed = group
            for each in changed:
                _give([each], _part(each.write, result))
            group = [each for each in group if each not in changed]

    async def _try_commit(self, writes: list[Write]) -> WriteResult:
        try:
            return await self._table.commit(writes)
        except Exception as error:
            # A fault in the adapter says nothing about what took effect.
            return Failure(Reason.IN_DOUBT, "table.commit", "table", repr(error))


def _give(group: list[_Waiting], result: WriteResult) -> None:
    for each in group:
        if not each.result.done():
            each.result.set_result(result)


def _has_changed(write: Write, conflict: Conflict) -> bool:
    row = conflict.current.get(write.key)
    revision = ABSENT_REVISION if row is None else row.revision
    return revision != write.expected_revision


def _part(write: Write, conflict: Conflict) -> Conflict:
    row = conflict.current.get(write.key)
    return Conflict({} if row is None else {write.key: row})
