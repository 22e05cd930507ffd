"""Rows of the journal: one record for each submission."""

from __future__ import annotations

import hashlib
from enum import Enum

import msgspec

from ..errors import MALFORMED_ERRORS, Failure, Reason
from ..ids import (
    ClassId,
    CustomerId,
    EndpointId,
    IdempotencyKey,
    InstanceId,
    RequestId,
)
from ..outcome import Outcome

FORMAT_VERSION = 1
REQUEST_ID_HEX_DIGITS = 32
KEY_PREFIX = "journal/"


class State(Enum):
    """Progress of a submission."""

    ACCEPTED = "accepted"
    """Recorded; no endpoint has been chosen."""
    DISPATCHED = "dispatched"
    """An endpoint is chosen, and the call may have been sent to it."""
    DONE = "done"
    """It ran, and the answer is recorded."""
    NOT_RUN = "not_run"
    """It did not run and never will."""
    UNKNOWN = "unknown"
    """It may have run; whether it did can't be determined."""


TERMINAL_STATES = frozenset({State.DONE, State.NOT_RUN, State.UNKNOWN})


class RecordedCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """A call as it is sent to an endpoint.

    Attributes
    ----------
    timeout_ms : int
        Time allowed to an endpoint for the whole answer.
    body : bytes
        The body, if it is stored in the row.
    body_object : str
        Name of the object that holds the body; empty for a body in the row.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    timeout_ms: int
    body: bytes = b""
    body_object: str = ""


class RecordedAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The endpoint's answer; ``body_object`` names the object with a large body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    body_object: str = ""


class JournalRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One row of the journal.

    Attributes
    ----------
    body_sha256 : str
        Hex digest of the call's body.
    state : State
        Progress of the submission.
    holder : InstanceId
        Instance that processes the submission.
    incarnation : int
        The holder's incarnation.
    accepted_token : str
        Token of the write that created the record; it never changes.
    token : str
        Token of the write that made this version. After a lost answer it shows
        whether that write took effect.
    attempt : int
        Number of the current attempt at an endpoint; 0 before the first.
    endpoint : EndpointId or None
        Endpoint of the current attempt.
    tried : tuple of EndpointId
        Endpoints that provably did not run the call.
    retain_until_wall_ms : int
        When a terminal record may be deleted; 0 while in progress.
    """

    request_id: RequestId
    customer: CustomerId
    class_id: ClassId
    key: IdempotencyKey
    body_sha256: str
    call: RecordedCall
    state: State
    holder: InstanceId
    incarnation: int
    accepted_token: str
    token: str
    retention_ms: int
    accepted_wall_ms: int
    attempt: int = 0
    endpoint: EndpointId | None = None
    tried: tuple[EndpointId, ...] = ()
    answer: RecordedAnswer | None = None
    failure: Failure | None = None
    settled_wall_ms: int = 0
    retain_until_wall_ms: int = 0

    def is_terminal(self) -> bool:
        """Return whether the record is in its final state."""
        return self.state in TERMINAL_STATES

    def object_names(self) -> tuple[str, ...]:
        """Return the names of the objects that the record refers to."""
        names = [self.call.body_object]
        if self.answer is not None:
            names.append(self.answer.body_object)
        return tuple(name for name in names if name)


class StoredRecord(msgspec.Struct, frozen=True):
    """A record as read from the table, with its row's revision."""

    record: JournalRecord
    revision: int


def outcome_of(record: JournalRecord) -> Outcome:
    """Return the outcome that a record's state means for callers."""
    if record.state is State.DONE:
        return Outcome.DONE
    if record.state is State.NOT_RUN:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def request_id_for(
    customer: CustomerId, class_id: ClassId, key: IdempotencyKey
) -> RequestId:
    """Return the request id of a key, which is the same on every instance."""
    digest = hashlib.sha256()
    for part in (customer, class_id, key):
        data = part.encode()
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return RequestId(digest.hexdigest()[:REQUEST_ID_HEX_DIGITS])


def row_key(request_id: RequestId) -> str:
    """Return the key of a request's row."""
    return KEY_PREFIX + request_id


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(JournalRecord)


def encode_record(record: JournalRecord) -> bytes:
    """Return the format version, one byte, followed by msgpack."""
    return bytes([FORMAT_VERSION]) + _encoder.encode(record)


def decode_record(data: bytes) -> JournalRecord | Failure:
    """Return the record, or a ``PROTOCOL`` failure if it can't be read."""
    if not data or data[0] != FORMAT_VERSION:
        version = data[0] if data else "none"
        return _unreadable(
            f"format version {version} is unknown, expected {FORMAT_VERSION}"
        )
    try:
        return _decoder.decode(memoryview(data)[1:])
    except MALFORMED_ERRORS as error:
        return _unreadable(str(error))


def _unreadable(detail: str) -> Failure:
    return Failure(Reason.PROTOCOL, "journal.decode", "table", detail)
