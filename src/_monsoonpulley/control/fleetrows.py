"""Table rows of ordered instances, one row per instance.

A row is written by compare-and-set before its order is sent and holds the order's
progress, so that any later holder of the lease can continue it.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

import msgspec

from ..errors import MALFORMED_ERRORS, Failure, Reason
from ..external.cloud import InstanceSpec
from ..external.table import ABSENT_REVISION, Committed, Conflict, Row, Table, Write
from ..ids import ServiceId

PREFIX = "capacity/"
HEAD_PREFIX = "capacity-head/"
PAGE_ROWS = 500
STEP = "capacity.rows"


class RowState(Enum):
    """Progress of an order."""

    REQUESTED = "wanted"
    """The start is not confirmed; the instance may exist."""
    STARTED = "started"
    LOADED = "loaded"
    """The weights are loaded."""
    LEAVING = "leaving"
    """Gets no new requests and is stopped once none is in progress; irrevocable."""
    RECLAIMED = "reclaimed"
    """The platform announced that it reclaims the instance."""
    STOPPING = "stopping"
    """Being stopped; irrevocable."""
    REFUSED = "refused"
    """The platform refused the start; deleted after ``refused_retention_ms``."""


ENDING = frozenset(
    (RowState.LEAVING, RowState.RECLAIMED, RowState.STOPPING, RowState.REFUSED)
)


class FleetRow(msgspec.Struct, frozen=True):
    """One instance that was ordered, or adopted to be released.

    Attributes
    ----------
    token : str
        Idempotency token of the start; the same token yields the same instance.
    instance : str
        Name of the instance, empty until the platform has answered.
    fencing_number : int
        Fencing number of the holder that wrote the row last.
    ready_wall_ms, changed_wall_ms : int
        When it is expected to serve, and when the state last changed.
    replaces : str
        Instance to release once this one serves; else empty.
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
    """A row and the table revision at which it was read."""

    row: FleetRow
    revision: int


class HeadRow(msgspec.Struct, frozen=True):
    """Row of a service that each transaction with new rows writes as well.

    A new holder writes it before it reads the rows. From then on transactions of
    former holders conflict, so none of their new rows can be committed.
    """

    fencing_number: int
    sequence: int


def row_key(row: FleetRow) -> str:
    """Return the table key of a row."""
    return f"{PREFIX}{row.spec.service}/{row.token}"


def decode(row: Row) -> StoredRow | Failure:
    """Decode a table row; return a failure if it is malformed."""
    try:
        return StoredRow(msgspec.json.decode(row.value, type=FleetRow), row.revision)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.PROTOCOL, STEP, "platform", f"{row.key}: {error}")


def decode_head(row: Row) -> HeadRow | Failure:
    """Decode a head row; return a failure if it is malformed."""
    try:
        return msgspec.json.decode(row.value, type=HeadRow)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.PROTOCOL, STEP, "platform", f"{row.key}: {error}")


class FleetRows:
    """Reads and writes the rows of one service.

    Parameters
    ----------
    table : Table
        Table that holds the rows.
    service : ServiceId
        Service of the rows.
    fencing_number : int
        Fencing number of the lease under which rows are written.
    """

    def __init__(self, table: Table, service: ServiceId, fencing_number: int):
        self._table = table
        self._prefix = f"{PREFIX}{service}/"
        self._head_key = f"{HEAD_PREFIX}{service}"
        self._fencing_number = fencing_number
        self._head: tuple[HeadRow, int] | None = None

    async def claim_head(self) -> Failure | None:
        """Write the head row, so that only this holder can create rows."""
        if self._head is not None:
            return None
        row = await self._table.read(self._head_key)
        if isinstance(row, Failure):
            return row
        head, revision = HeadRow(0, 0), ABSENT_REVISION
        if row is not None:
            decoded = decode_head(row)
            if isinstance(decoded, Failure):
                return decoded
            head, revision = decoded, row.revision
        if head.fencing_number > self._fencing_number:
            detail = (
                f"head row {self._head_key} has the higher fencing number "
                f"{head.fencing_number}; this holder has {self._fencing_number}"
            )
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
        """Return the rows of the service by token."""
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
        """Write new rows, all or none, unless another holder wrote the head row."""
        if self._head is None:
            detail = "rows can't be created before the head row is claimed"
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
        """Write a changed row unless it was written since it was read."""
        write = Write(row_key(row), msgspec.json.encode(row), stored.revision)
        result = await self._table.commit([write])
        if isinstance(result, Committed):
            return StoredRow(row, result.revision)
        return self._as_failure(result)

    async def delete(self, stored: StoredRow) -> Failure | None:
        """Delete a row unless it was written since it was read."""
        result = await self._table.commit(
            [Write(row_key(stored.row), None, stored.revision)]
        )
        return None if isinstance(result, Committed) else self._as_failure(result)

    @staticmethod
    def _as_failure(result: Conflict | Failure) -> Failure:
        if isinstance(result, Failure):
            return result
        detail = "another holder wrote a row of the transaction since it was read"
        return Failure(Reason.CONFLICT, STEP, "platform", detail)
