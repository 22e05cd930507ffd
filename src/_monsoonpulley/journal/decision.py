"""Log lines of the journal's decisions, with their inputs but without bodies.

A line holds all inputs of the confirmed record, but only those of the pending
record that differ. The call's digest, method and path are logged only for events
whose rules compare them.
"""

from __future__ import annotations

import msgspec

from ..ids import EndpointId, InstanceId, RequestId
from ..observability.log import Decision
from . import steps as s
from .record import JournalRecord, RecordedAnswer, State, StoredRecord

EVENTS_COMPARING_CALLS = (s.Submitted, s.Adopting, s.WriteConflicted)
PROGRESS_DEFAULTS = msgspec.structs.asdict(s.Progress())


class RecordInput(msgspec.Struct, frozen=True, omit_defaults=True):
    """Fields of a record that the transitions depend on."""

    state: State
    holder: InstanceId
    incarnation: int
    token: str
    retention_ms: int
    timeout_ms: int
    body_sha256: str = ""
    method: str = ""
    path: str = ""
    attempt: int = 0
    endpoint: EndpointId | None = None
    tried: tuple[EndpointId, ...] = ()

    @classmethod
    def from_record(cls, record: JournalRecord, include_call: bool) -> RecordInput:
        """Return the record's inputs, with its call if ``include_call``."""
        return cls(
            state=record.state,
            holder=record.holder,
            incarnation=record.incarnation,
            token=record.token,
            retention_ms=record.retention_ms,
            timeout_ms=record.call.timeout_ms,
            body_sha256=record.body_sha256 if include_call else "",
            method=record.call.method if include_call else "",
            path=record.call.path if include_call else "",
            attempt=record.attempt,
            endpoint=record.endpoint,
            tried=record.tried,
        )

    def changes_from(self, other: RecordInput) -> dict[str, object]:
        """Return the fields that differ from ``other``'s."""
        theirs = msgspec.structs.asdict(other)
        own = msgspec.structs.asdict(self)
        return {name: value for name, value in own.items() if value != theirs[name]}


class JournalDecision(
    Decision, frozen=True, kw_only=True, omit_defaults=True, tag="journal"
):
    """One transition of one submission.

    Attributes
    ----------
    confirmed : RecordInput or None
        Confirmed record of the progress before the event.
    pending : RecordInput, dict or None
        Pending record; only the fields that differ if there is a confirmed one.
    before : dict
        Other fields of the progress before the event, without defaults.
    on : str
        Class name of the event.
    event_fields : dict
        Fields of the event; records as `RecordInput`.
    """

    request_id: RequestId
    now_ms: int
    confirmed: RecordInput | None = None
    pending: RecordInput | dict[str, object] | None = None
    before: dict[str, object] = {}
    on: str
    event_fields: dict[str, object] = {}
    step: s.Step | str
    runner_up: str = ""
    tell: s.CallerReply | None = None

    @classmethod
    def from_transition(
        cls,
        request_id: RequestId,
        before: s.Progress,
        event: s.Event,
        transition: s.Transition,
        now_ms: int,
    ) -> JournalDecision:
        """Return the log line of one transition."""
        step = transition.step
        include_call = isinstance(event, EVENTS_COMPARING_CALLS)
        confirmed, pending = _records(before, include_call)
        return cls(
            rule=transition.rule,
            request_id=request_id,
            now_ms=now_ms,
            confirmed=confirmed,
            pending=pending,
            before=_progress_fields(before),
            on=type(event).__name__,
            event_fields=_event_fields(event, include_call),
            # The row to follow is already in the event's fields.
            step="FollowStep" if isinstance(step, s.FollowStep) else step,
            runner_up=transition.runner_up,
            tell=transition.reply,
        )


def _records(
    progress: s.Progress, include_call: bool
) -> tuple[RecordInput | None, RecordInput | dict[str, object] | None]:
    """Return the confirmed record and the pending one or its differences."""
    confirmed = pending = None
    if progress.confirmed is not None:
        confirmed = RecordInput.from_record(progress.confirmed, include_call)
    if progress.pending is not None:
        pending = RecordInput.from_record(progress.pending, include_call)
    if confirmed is None or pending is None:
        return confirmed, pending
    return confirmed, pending.changes_from(confirmed)


def _progress_fields(progress: s.Progress) -> dict[str, object]:
    """Return the fields of a progress that aren't defaults, except its records."""
    return {
        name: value
        for name, value in msgspec.structs.asdict(progress).items()
        if name not in ("confirmed", "pending") and value != PROGRESS_DEFAULTS[name]
    }


def _event_fields(event: s.Event, include_call: bool) -> dict[str, object]:
    """Return the fields of an event without calls and answers."""
    fields: dict[str, object] = {}
    for name, value in msgspec.structs.asdict(event).items():
        if isinstance(value, StoredRecord):
            fields[name] = RecordInput.from_record(value.record, include_call)
            fields["revision"] = value.revision
        elif isinstance(value, JournalRecord):
            fields[name] = RecordInput.from_record(value, include_call)
        elif isinstance(value, RecordedAnswer):
            fields["status"] = value.status
        else:
            fields[name] = value
    return fields
