"""Deletion of terminal records past their retention.

A key may run again once its record is deleted, so retention is the window in
which a repeated key is recognised. Records in progress are never deleted.
"""

from __future__ import annotations

import msgspec

from ..clock import Clock
from ..errors import Failure
from ..external.objects import ObjectStore
from ..external.table import Committed, Table, Write
from ..observability.log import Log
from .record import KEY_PREFIX, JournalRecord, StoredRecord, row_key
from .store import decode_row


class CollectionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one collection pass.

    Attributes
    ----------
    max_scanned_rows : int
        Most rows read in one pass.
    max_group_deletes : int
        Most rows deleted in one transaction.
    clock_margin_ms : int
        Added to each retention to allow for differences between wall clocks.
    """

    max_scanned_rows: int = 500
    max_group_deletes: int = 50
    clock_margin_ms: int = 60_000


class CollectionReport(msgspec.Struct, frozen=True):
    """Result of one pass; the next pass continues ``after`` that key."""

    scanned: int = 0
    deleted: int = 0
    after: str = ""


class Collection:
    """Deletes records and their objects once their retention has ended."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
        log: Log,
        settings: CollectionSettings,
    ):
        self._table = table
        self._objects = objects
        self._clock = clock
        self._log = log
        self._settings = settings

    async def collect(
        self, shard: str = "", after: str = ""
    ) -> CollectionReport | Failure:
        """Read one page of a shard and delete the records past their retention.

        Parameters
        ----------
        shard : str
            First hex digits of the request ids to read; empty for all.
        after : str
            ``after`` of the previous report; empty to start from the beginning.
        """
        rows = await self._table.scan(
            KEY_PREFIX + shard, after=after, limit=self._settings.max_scanned_rows
        )
        if isinstance(rows, Failure):
            return rows
        wall_ms = self._clock.wall_ms()
        stored = [decode_row(row) for row in rows]
        expired = [
            each
            for each in stored
            if isinstance(each, StoredRecord) and self._is_expired(each.record, wall_ms)
        ]
        deleted = 0
        for start in range(0, len(expired), self._settings.max_group_deletes):
            group = expired[start : start + self._settings.max_group_deletes]
            deleted += await self._delete(group)
        is_last_page = len(rows) < self._settings.max_scanned_rows
        self._log.event("journal_collected", scanned=len(rows), deleted=deleted)
        return CollectionReport(
            len(rows), deleted, "" if is_last_page else rows[-1].key
        )

    def _is_expired(self, record: JournalRecord, wall_ms: int) -> bool:
        if not record.is_terminal():
            return False
        return wall_ms > record.retain_until_wall_ms + self._settings.clock_margin_ms

    async def _delete(self, group: list[StoredRecord]) -> int:
        """Delete the rows whose objects could be deleted; return how many.

        Objects are deleted first, because only the row names them.
        """
        writes = []
        for each in group:
            if await self._delete_objects(each.record):
                key = row_key(each.record.request_id)
                writes.append(Write(key, None, each.revision))
        if not writes:
            return 0
        result = await self._table.commit(writes)
        return len(writes) if isinstance(result, Committed) else 0

    async def _delete_objects(self, record: JournalRecord) -> bool:
        for name in record.object_names():
            if await self._objects.delete(name) is not None:
                return False
        return True
