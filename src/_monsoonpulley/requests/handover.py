"""Hands streams over through the object store, and collects old ones.

The store has no listing, so an index row in the table, written before the
objects, names what an instance stored and until when. One row covers up to
`IDS_PER_INDEX_ROW` streams, so a hand-over costs the table a few writes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..external.objects import ObjectStore
from ..external.table import ABSENT_REVISION, Row, Table, Write
from ..ids import RequestId
from ..observability.log import Log
from .streamstate import StreamState, decode_state, encode_state, object_name

INDEX_PREFIX = "stream-index/"
IDS_PER_INDEX_ROW = 500
MAX_CONCURRENT_WRITES = 16
"""Objects that are written at the same time."""

RETENTION_MS = 600_000
"""How long a stream that was handed over can be continued."""


class IndexRow(msgspec.Struct, frozen=True):
    """Streams of one hand-over; they can be deleted after the given time."""

    expires_wall_ms: int
    request_ids: tuple[RequestId, ...]


class HandOverReport(msgspec.Struct, frozen=True):
    """What a hand-over stored."""

    stored: int
    failed: int


class StreamStore:
    """Streams in the platform's object store.

    Parameters
    ----------
    objects : ObjectStore
        Holds the streams.
    table : Table
        Holds the index for collection.
    holder : str
        Names the index rows of this process.
    clock, log
        Of the instance.
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
        """Return a stream, ``None`` where there is none."""
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
        """Delete a stream that is over."""
        return await self._objects.delete(object_name(request_id))

    async def store(self, states: Sequence[StreamState]) -> HandOverReport:
        """Store streams, a few at once, the longest first; each is tried twice.

        If the time is too short for all, those that cost least to generate
        again are lost.

        Objects are stored even if their index is not: a caller's text goes
        before a leftover object.
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
        """Delete streams that can't be continued any more; return how many."""
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
                # An earlier hand-over of the same stream holds older text.
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
        index = msgspec.msgpack.decode(row.value, type=IndexRow)
        if self._clock.wall_ms() < index.expires_wall_ms:
            return 0
        for request_id in index.request_ids:
            # A stream that was handed over again is in a newer row as well.
            state = await self.find(request_id)
            if isinstance(state, StreamState):
                continue
            if isinstance(state, Failure) and state.reason is not Reason.INTERNAL:
                return 0
            if await self.delete(request_id) is not None:
                return 0
        await self._table.commit([Write(row.key, None, row.revision)])
        return len(index.request_ids)
