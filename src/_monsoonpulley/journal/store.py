"""Reads and writes of records, with large bodies in the object store."""

from __future__ import annotations

from ..endpoints.service import ServiceAnswer
from ..errors import Failure, Reason
from ..external.objects import ObjectStore
from ..external.table import ABSENT_REVISION, Committed, Conflict, Row, Table, Write
from ..ids import RequestId
from . import steps as s
from .record import (
    JournalRecord,
    RecordedAnswer,
    State,
    StoredRecord,
    decode_record,
    encode_record,
    outcome_of,
    row_key,
)
from .submission import SubmissionResult
from .writer import GroupWriter


class RecordStore:
    """Records in the table and their bodies in the object store."""

    def __init__(self, table: Table, objects: ObjectStore, writer: GroupWriter):
        self._table = table
        self._objects = objects
        self._writer = writer

    async def read(self, request_id: RequestId) -> StoredRecord | Failure | None:
        """Return the stored record, or ``None`` if there is none."""
        row = await self._table.read(row_key(request_id))
        return decode_row(row) if isinstance(row, Row) else row

    async def write(
        self, record: JournalRecord, expected_revision: int
    ) -> s.WriteConfirmed | s.WriteConflicted | s.WriteFailed:
        """Write the record if its row has the expected revision."""
        key = row_key(record.request_id)
        write = Write(key, encode_record(record), expected_revision)
        is_new = expected_revision == ABSENT_REVISION
        result = await self._writer.write(write, is_new=is_new)
        if isinstance(result, Committed):
            return s.WriteConfirmed(result.revision)
        if isinstance(result, Conflict):
            return _conflict_event(result.current.get(key))
        return s.WriteFailed(result)

    async def put_body(self, name: str, body: bytes) -> Failure | None:
        """Store a body before a record refers to it; return a failure or ``None``."""
        failure = await self._objects.put(name, body)
        if failure is None:
            return None
        detail = "the body could not be stored, so nothing was recorded"
        return Failure(Reason.UNAVAILABLE, "journal.put_body", failure.peer, detail)

    async def delete_body(self, name: str) -> None:
        """Delete a body that no record refers to; after a failure it remains."""
        await self._objects.delete(name)

    async def read_body(self, record: JournalRecord) -> bytes | Failure:
        """Return the body of the recorded call."""
        return await self._load_body(record.call.body, record.call.body_object)

    async def read_answer(self, record: JournalRecord) -> ServiceAnswer | Failure:
        """Return the recorded answer."""
        answer = record.answer
        if answer is None:
            detail = f"the record has no answer; its state is {record.state.value}"
            return Failure(Reason.NOT_FOUND, "journal.answer", detail=detail)
        body = await self._load_body(answer.body, answer.body_object)
        if isinstance(body, Failure):
            return body
        return ServiceAnswer(answer.status, answer.headers, body)

    async def read_result(self, record: JournalRecord) -> SubmissionResult:
        """Return the result of a terminal record for callers."""
        answer = None
        if record.state is State.DONE:
            answer = await self.read_answer(record)
        is_unreadable = isinstance(answer, Failure)
        return SubmissionResult(
            outcome=outcome_of(record),
            request_id=record.request_id,
            answer=None if is_unreadable else answer,
            failure=answer if is_unreadable else record.failure,
            repeated=True,
            key_closed=True,
        )

    async def _load_body(self, inline: bytes, name: str) -> bytes | Failure:
        if not name:
            return inline
        body = await self._objects.get(name)
        if body is None:
            return Failure(Reason.NOT_FOUND, "journal.body", "objects", name)
        return body


def make_recorded_answer(
    answer: ServiceAnswer, name: str, max_inline_bytes: int
) -> RecordedAnswer:
    """Return the answer to record, with a large body left to object ``name``."""
    inline = len(answer.body) <= max_inline_bytes
    return RecordedAnswer(
        answer.status,
        answer.headers,
        body=answer.body if inline else b"",
        body_object="" if inline else name,
    )


def decode_row(row: Row) -> StoredRecord | Failure:
    """Return a row's record, or a failure if it can't be read."""
    record = decode_record(row.value)
    if isinstance(record, Failure):
        return record
    return StoredRecord(record, row.revision)


def _conflict_event(row: Row | None) -> s.WriteConflicted | s.WriteFailed:
    if row is None:
        return s.WriteConflicted(None)
    stored = decode_row(row)
    if isinstance(stored, Failure):
        return s.WriteFailed(stored)
    return s.WriteConflicted(stored)
