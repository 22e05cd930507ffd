"""Stores streams in the object store for other instances, and deletes old ones.

The object store can't list its objects, so index rows in the table name the
streams that an instance stored and their expiry. One row names up to
`IDS_PER_INDEX_ROW` streams, so that a hand-over needs only a few table writes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ..clock import Clock
from ..errors import MALFORMED_ERRORS, Failure, Reason, describe_error
from ..external.objects import ObjectStore
from ..external.table import ABSENT_REVISION, Row, Table, Write
from ..ids import RequestId
from ..observability.log import Log
from .streamstate import StreamState, decode_state, encode_state, object_name

INDEX_PREFIX = "stream-index/"
IDS_PER_INDEX_ROW = 500
MAX_CONCURRENT_WRITES = 16
"""Most objects that are written at the same time."""

RETENTION_MS = 600_000
"""How long a stream can be continued after its hand-over."""


class IndexRow(msgspec.Struct, frozen=True):
    """Streams of one hand-over; they can be deleted once they have expired."""

    expires_wall_ms: int
    request_ids: tuple[RequestId, ...]


def decode_index(data: bytes) -> IndexRow | Failure:
    """Return the index row in a value, or a failure if it is invalid."""
    try:
        return msgspec.msgpack.decode(data, type=IndexRow)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.PROTOCOL, "streams.index", detail=describe_error(error))


class HandOverReport(msgspec.Struct, frozen=True):
    """The numbers of streams that a hand-over stored and failed to store."""

    stored: int
    failed: int


class StreamStore:
    """Streams in the platform's object store.

    Parameters
    ----------
    objects : ObjectStore
        Holds the streams.
    table : Table
        Holds the index rows, by which expired streams are found.
    holder : str
        Names this process in the keys of its index rows.
    clock, log
        The instance's.
    """

    def __init__(
        self, objects: ObjectStore, table: Table, holder: str, clock: Clock, log: Log
    ):
        self._objects = objects
        self._table = table
        self._holder = holder
        self._clock = clock
        self._log = log
        self._index_row_count = 0

    async def find(self, request_id: RequestId) -> StreamState | Failure | None:
        """Return a stream; ``None`` if there is none or it has expired."""
        data = await self._objects.get(object_name(request_id))
        if data is None or isinstance(data, Failure):
            return data
        state = decode_state(data)
        if isinstance(state, Failure):
            return state
        if self._clock.wall_ms() >= state.expires_wall_ms:
            return None
        return msgspec.structs.replace(state, is_stored=True)

    async def delete(self, request_id: RequestId) -> Failure | None:
        """Delete a stream."""
        return await self._objects.delete(object_name(request_id))

    async def store(self, states: Sequence[StreamState]) -> HandOverReport:
        """Store streams, a few at a time, the longest first; try each twice.

        If the time is too short for all, those that are cheapest to generate
        again are lost. Streams are stored even if their index rows are not: a
        leftover object does less harm than a lost text.
        """
        if not states:
            return HandOverReport(0, 0)
        expires_wall_ms = self._clock.wall_ms() + RETENTION_MS
        index = asyncio.create_task(self._write_index(states, expires_wall_ms))
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_WRITES)

        async def put(state: StreamState) -> bool:
            async with semaphore:
                expiring_state = msgspec.structs.replace(
                    state, expires_wall_ms=expires_wall_ms
                )
                return await self._put(expiring_state)

        longest_first = sorted(states, key=lambda state: -state.next_offset)
        results = await asyncio.gather(*(put(state) for state in longest_first))
        await index
        stored = sum(results)
        return HandOverReport(stored, len(results) - stored)

    async def collect_expired(self) -> int | Failure:
        """Delete expired streams; return the number of ids in their index rows."""
        rows = await self._table.scan(INDEX_PREFIX)
        if isinstance(rows, Failure):
            return rows
        deleted = 0
        for row in rows:
            deleted += await self._collect_row(row)
        return deleted

    async def _put(self, state: StreamState) -> bool:
        name = object_name(state.request_id)
        data = encode_state(state)
        failure: Failure | None = None
        for _ in range(2):
            failure = await self._objects.put(name, data)
            if failure is None:
                return True
            if failure.reason is Reason.CONFLICT:
                # An object of an earlier hand-over holds less of the text.
                await self._objects.delete(name)
        self._log.event(
            "stream_not_stored", request_id=state.request_id, failure=failure
        )
        return False

    async def _write_index(
        self, states: Sequence[StreamState], expires_wall_ms: int
    ) -> None:
        ids = [state.request_id for state in states]
        writes = []
        for start in range(0, len(ids), IDS_PER_INDEX_ROW):
            self._index_row_count += 1
            row = IndexRow(
                expires_wall_ms, tuple(ids[start : start + IDS_PER_INDEX_ROW])
            )
            key = f"{INDEX_PREFIX}{self._holder}/{self._index_row_count}"
            writes.append(Write(key, msgspec.msgpack.encode(row), ABSENT_REVISION))
        result = await self._table.commit(writes)
        if isinstance(result, Failure):
            self._log.event("stream_index_failed", failure=result, streams=len(ids))

    async def _collect_row(self, row: Row) -> int:
        index = decode_index(row.value)
        if isinstance(index, Failure):
            self._log.event("stream_index_refused", row=row.key, failure=index)
            return 0
        if self._clock.wall_ms() < index.expires_wall_ms:
            return 0
        for request_id in index.request_ids:
            # A stream that was handed over again is also in a newer row.
            state = await self.find(request_id)
            if isinstance(state, StreamState):
                continue
            if isinstance(state, Failure) and state.reason is not Reason.INTERNAL:
                return 0
            if await self.delete(request_id) is not None:
                return 0
        await self._table.commit([Write(row.key, None, row.revision)])
        return len(index.request_ids)
