"""Rows of the instances that capacity ordered, one each, in the table.

A row is written before its order is sent, on the condition that nobody wrote it
meanwhile, and says how far the order got. Any holder goes on from there.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

import msgspec

from ..errors import Failure, Reason
from ..external.cloud import InstanceSpec
from ..external.table import ABSENT_REVISION, Committed, Conflict, Row, Table, Write
from ..ids import ServiceId

PREFIX = "capacity/"
HEAD_PREFIX = "capacity-head/"
PAGE_ROWS = 500
STEP = "capacity.rows"


class RowState(Enum):
    """How far an order got."""

    REQUESTED = "wanted"
    """The instance may have been started, or not."""
    STARTED = "started"
    LOADED = "loaded"
    """It has its weights."""
    LEAVING = "leaving"
    """Gets no new work and is stopped when nothing is in progress; for good."""
    RECLAIMED = "reclaimed"
    """The platform takes it back."""
    STOPPING = "stopping"
    """Being stopped; for good."""
    REFUSED = "refused"
    """The platform would not start it; kept for a while."""


ENDING = frozenset(
    (RowState.LEAVING, RowState.RECLAIMED, RowState.STOPPING, RowState.REFUSED)
)


class FleetRow(msgspec.Struct, frozen=True):
    """One instance that was ordered, or adopted in order to release it.

    Attributes
    ----------
    token : str
        Under which it is started; the same token gives the same instance.
    instance : str
        Its name, empty before the platform's answer.
    fencing_number : int
        Of the holder that wrote last.
    ready_wall_ms, changed_wall_ms : int
        When it is expected to serve, and when the state changed.
    replaces : str
        Instance to be released when this one serves; else empty.
    """

    token: str
    spec: InstanceSpec
    state: RowState
    fencing_number: int
    ready_wall_ms: int
    changed_wall_ms: int
    instance: str = ""
    replaces: str = ""


class StoredRow(msgspec.Struct, frozen=True):
    """A row and its revision in the table."""

    row: FleetRow
    revision: int


class HeadRow(msgspec.Struct, frozen=True):
    """Row of a service that each transaction with new rows writes too.

    A new holder writes it before it reads, so that no new row of a former holder
    can land after that.
    """

    fencing_number: int
    sequence: int


def row_key(row: FleetRow) -> str:
    """Return the key of a row."""
    return f"{PREFIX}{row.spec.service}/{row.token}"


def decode(row: Row) -> StoredRow | Failure:
    """Return a row of the table as a `FleetRow`."""
    try:
        return StoredRow(msgspec.json.decode(row.value, type=FleetRow), row.revision)
    except msgspec.DecodeError as error:
        return Failure(Reason.PROTOCOL, STEP, "platform", f"{row.key}: {error}")


class FleetRows:
    """The rows of one service.

    Parameters
    ----------
    table : Table
        Where they are.
    service : ServiceId
        Whose they are.
    fencing_number : int
        Of the lease under which they are written.
    """

    def __init__(self, table: Table, service: ServiceId, fencing_number: int):
        self._table = table
        self._prefix = f"{PREFIX}{service}/"
        self._head_key = f"{HEAD_PREFIX}{service}"
        self._fencing_number = fencing_number
        self._head: tuple[HeadRow, int] | None = None

    async def claim_head(self) -> Failure | None:
        """Make sure that only this holder creates rows from now on."""
        if self._head is not None:
            return None
        row = await self._table.read(self._head_key)
        if isinstance(row, Failure):
            return row
        head, revision = HeadRow(0, 0), ABSENT_REVISION
        if row is not None:
            head, revision = msgspec.json.decode(row.value, type=HeadRow), row.revision
        if head.fencing_number > self._fencing_number:
            detail = f"a holder with number {head.fencing_number} took over"
            return Failure(Reason.FENCED, STEP, "platform", detail)
        if head.fencing_number < self._fencing_number:
            head = HeadRow(self._fencing_number, head.sequence + 1)
            write = Write(self._head_key, msgspec.json.encode(head), revision)
            result = await self._table.commit([write])
            if not isinstance(result, Committed):
                return self._as_failure(result)
            revision = result.revision
        self._head = (head, revision)
        return None

    async def scan(self) -> dict[str, StoredRow] | Failure:
        """Return all rows by token."""
        rows_by_token: dict[str, StoredRow] = {}
        after = ""
        while True:
            page = await self._table.scan(self._prefix, after=after, limit=PAGE_ROWS)
            if isinstance(page, Failure):
                return page
            for row in page:
                stored = decode(row)
                if isinstance(stored, Failure):
                    return stored
                rows_by_token[stored.row.token] = stored
            if len(page) < PAGE_ROWS:
                return rows_by_token
            after = page[-1].key

    async def create(self, rows: Sequence[FleetRow]) -> list[StoredRow] | Failure:
        """Write new rows, all or none, if no other holder took over."""
        if self._head is None:
            detail = "the head row has to be claimed first"
            return Failure(Reason.UNAVAILABLE, STEP, "platform", detail)
        (head, revision), self._head = self._head, None
        head = HeadRow(head.fencing_number, head.sequence + 1)
        writes = [Write(self._head_key, msgspec.json.encode(head), revision)]
        writes += [
            Write(row_key(row), msgspec.json.encode(row), ABSENT_REVISION)
            for row in rows
        ]
        result = await self._table.commit(writes)
        if not isinstance(result, Committed):
            return self._as_failure(result)
        self._head = (head, result.revision)
        return [StoredRow(row, result.revision) for row in rows]

    async def replace(self, stored: StoredRow, row: FleetRow) -> StoredRow | Failure:
        """Write a changed row if nobody else did since it was read."""
        write = Write(row_key(row), msgspec.json.encode(row), stored.revision)
        result = await self._table.commit([write])
        if isinstance(result, Committed):
            return StoredRow(row, result.revision)
        return self._as_failure(result)

    async def delete(self, stored: StoredRow) -> Failure | None:
        """Delete a row if nobody changed it since it was read."""
        result = await self._table.commit(
            [Write(row_key(stored.row), None, stored.revision)]
        )
        return None if isinstance(result, Committed) else self._as_failure(result)

    @staticmethod
    def _as_failure(result: Conflict | Failure) -> Failure:
        if isinstance(result, Failure):
            return result
        detail = "another holder wrote the row"
        return Failure(Reason.CONFLICT, STEP, "platform", detail)
