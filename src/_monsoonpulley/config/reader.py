"""Reads revisions of the configuration from the table."""

from __future__ import annotations

from ..errors import Failure
from ..external.table import Row, Table
from .document import Revision
from .rows import HEAD_KEY, HISTORY_PREFIX, decode_revision, history_key


class ConfigReader:
    """Reads the revision in force and the kept earlier ones.

    Parameters
    ----------
    table : Table
        The platform's table service.
    """

    def __init__(self, table: Table):
        self._table = table

    async def read_head(self) -> Revision | Failure | None:
        """Return the revision in force, or ``None`` before the first."""
        head = await self._read_head_row()
        return head if isinstance(head, Failure) else head[1]

    async def read_revision(self, number: int) -> Revision | Failure | None:
        """Return a kept revision, or ``None`` if it isn't kept."""
        row = await self._table.read(history_key(number))
        return row if isinstance(row, Failure) else decode_revision(row)

    async def read_next(self, number: int) -> tuple[Revision, ...] | Failure:
        """Return the first one or two revisions above ``number``.

        The result is empty if there is none, so that frequent polls read little
        even with a large document. If it has two, there may be more.
        """
        return await self._read_kept(number, limit=2)

    async def read_history(self, limit: int = 20) -> tuple[Revision, ...] | Failure:
        """Return the last ``limit`` kept revisions, newest first."""
        head = await self.read_head()
        if head is None or isinstance(head, Failure):
            return () if head is None else head
        kept = await self._read_kept(max(0, head.number - limit), limit)
        return kept if isinstance(kept, Failure) else kept[::-1]

    async def _read_kept(
        self, after: int, limit: int
    ) -> tuple[Revision, ...] | Failure:
        rows = await self._table.scan(
            HISTORY_PREFIX, after=history_key(after), limit=limit
        )
        if isinstance(rows, Failure):
            return rows
        revisions = []
        for row in rows:
            revision = decode_revision(row)
            if isinstance(revision, Failure):
                return revision
            assert revision is not None
            revisions.append(revision)
        return tuple(revisions)

    async def _read_head_row(self) -> tuple[Row | None, Revision | None] | Failure:
        row = await self._table.read(HEAD_KEY)
        if isinstance(row, Failure):
            return row
        revision = decode_revision(row)
        return revision if isinstance(revision, Failure) else (row, revision)
