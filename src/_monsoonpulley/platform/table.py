"""Table over the platform's row store."""

from __future__ import annotations

from collections.abc import Sequence

from ..errors import Delivery, Failure, Reason
from ..external.table import Committed, Row, Write
from ..external.table import Conflict as TableConflict
from .store import Condition, Conflict, Put, Removal, Store
from .store import Row as StoreRow

CONTROL_TABLE = "control"
"""Table of the system's own rows, all in the unnamed part so that one transaction
can cover any of them."""


class StoreTable:
    """An `external.table.Table` over the platform's row store.

    Parameters
    ----------
    store : Store
        Client shared with all other users of the store.
    """

    def __init__(self, store: Store):
        self._store = store

    async def read(self, key: str) -> Row | Failure | None:
        """Return the row, or ``None`` if there is none."""
        row = await self._store.read_row(CONTROL_TABLE, key)
        if row is None:
            return None
        if isinstance(row, Failure):
            return _with_table_reason(row)
        return _table_row(row)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> tuple[Row, ...] | Failure:
        """Return rows whose key starts with ``prefix``, in key order."""
        rows = await self._store.read_table(CONTROL_TABLE, prefix)
        if isinstance(rows, Failure):
            return _with_table_reason(rows)
        found = [row for row in rows.rows if row.key > after]
        return tuple(_table_row(row) for row in found[:limit])

    async def commit(
        self, writes: Sequence[Write]
    ) -> Committed | TableConflict | Failure:
        """Apply all writes, or none if any expected revision does not hold."""
        result = await self._store.write(
            conditions=tuple(
                Condition(CONTROL_TABLE, w.key, w.expected_revision) for w in writes
            ),
            puts=tuple(
                Put(CONTROL_TABLE, w.key, w.value)
                for w in writes
                if w.value is not None
            ),
            removals=tuple(
                Removal(CONTROL_TABLE, w.key) for w in writes if w.value is None
            ),
        )
        if isinstance(result, Failure):
            return _with_table_reason(result)
        if isinstance(result, Conflict):
            rows = [r for r in result.rows if r.value is not None and r.row_version]
            return TableConflict({row.key: _table_row(row) for row in rows})
        return Committed(result)


def _table_row(row: StoreRow) -> Row:
    return Row(row.key, row.value or b"", row.row_version)


def _with_table_reason(failure: Failure) -> Failure:
    """Return the failure with the reason that `external.table.Table` specifies."""
    is_in_doubt = failure.delivery is Delivery.MAYBE
    reason = Reason.IN_DOUBT if is_in_doubt else Reason.UNAVAILABLE
    return Failure(reason, failure.step, failure.peer, failure.detail, failure.delivery)
