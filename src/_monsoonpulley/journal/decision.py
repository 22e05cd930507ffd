"""Log lines of the journal's decisions, with their inputs but no bodies."""

from __future__ import annotations

import msgspec

from ..ids import EndpointId, InstanceId, RequestId
from ..log import Decision
from . import steps as s
from .record import JournalRecord, RecordedAnswer, State, StoredRecord


class RecordInput(msgspec.Struct, frozen=True):
    """What the transitions look at in a record."""

    state: State
    holder: InstanceId
    incarnation: int
    token: str
    body_sha256: str
    method: str
    path: str
    attempt: int
    endpoint: EndpointId | None
    tried: tuple[EndpointId, ...]
    retention_ms: int

    @classmethod
    def from_record(cls, record: JournalRecord | None) -> RecordInput | None:
        """Return the record's inputs, ``None`` for no record."""
        if record is None:
            return None
        return cls(
            state=record.state,
            holder=record.holder,
            incarnation=record.incarnation,
            token=record.token,
            body_sha256=record.body_sha256,
            method=record.call.method,
            path=record.call.path,
            attempt=record.attempt,
            endpoint=record.endpoint,
            tried=record.tried,
            retention_ms=record.retention_ms,
        )


class JournalDecision(Decision, frozen=True, kw_only=True, tag="journal"):
    """One transition of one submission.

    Attributes
    ----------
    confirmed, pending : RecordInput or None
        Records of the progress before the event.
    before : dict
        The other fields of the progress before the event.
    on : str
        The event.
    event_fields : dict
        Fields of the event; records as `RecordInput`.
    """

    request_id: RequestId
    now_ms: int
    confirmed: RecordInput | None
    pending: RecordInput | None
    before: dict[str, object]
    on: str
    event_fields: dict[str, object]
    step: s.Step | str
    runner_up: str
    tell: s.Tell | None

    @classmethod
    def from_transition(
        cls,
        request_id: RequestId,
        before: s.Progress,
        event: s.Event,
        following: s.Next,
        now_ms: int,
    ) -> JournalDecision:
        """Return the log line of one transition."""
        step = following.step
        return cls(
            rule=following.rule,
            request_id=request_id,
            now_ms=now_ms,
            confirmed=RecordInput.from_record(before.confirmed),
            pending=RecordInput.from_record(before.pending),
            before=_plain_fields(before),
            on=type(event).__name__,
            event_fields=_plain_fields(event),
            # A followed row is in the event's fields already.
            step="FollowStep" if isinstance(step, s.FollowStep) else step,
            runner_up=following.runner_up,
            tell=following.tell,
        )


def _plain_fields(struct: msgspec.Struct) -> dict[str, object]:
    """Return the fields of a progress or event without calls and answers."""
    fields: dict[str, object] = {}
    for name, value in msgspec.structs.asdict(struct).items():
        if isinstance(value, StoredRecord):
            fields[name] = RecordInput.from_record(value.record)
            fields["revision"] = value.revision
        elif isinstance(value, JournalRecord):
            fields[name] = RecordInput.from_record(value)
        elif isinstance(value, RecordedAnswer):
            fields["status"] = value.status
        elif name not in ("confirmed", "pending"):
            fields[name] = value
    return fields
