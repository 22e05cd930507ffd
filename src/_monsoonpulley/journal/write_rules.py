"""Rules for the journal's writes: start, confirmation, conflict and failure."""

from __future__ import annotations

import msgspec

from ..errors import Failure, Reason
from ..outcome import Outcome
from . import steps as s
from .record import JournalRecord, State, StoredRecord, outcome_of
from .submission import KEY_REUSED
from .transition_builder import Moment, TransitionBuilder

NO_EFFECT_REASONS = frozenset({Reason.UNAVAILABLE, Reason.OVERLOADED})
"""Reasons of a failed write that prove that it did not take effect."""


class WriteRules:
    """Transitions that follow events of writes."""

    def __init__(self, builder: TransitionBuilder):
        self._builder = builder

    def on_submitted(
        self, progress: s.Progress, event: s.Submitted, moment: Moment
    ) -> s.Transition:
        """Record new work, with its endpoint if one is free."""
        record, rule = event.record, "record before anything else"
        if event.endpoint is not None:
            record = msgspec.structs.replace(
                record, state=State.DISPATCHED, endpoint=event.endpoint, attempt=1
            )
            rule = "record and name the endpoint in one write"
        initial = s.Progress(
            intent=s.Intent.ACCEPT,
            pending=record,
            since_ms=moment.now_ms,
            place_until_ms=moment.now_ms + self._builder.settings.endpoint_timeout_ms,
        )
        return s.Transition(initial, s.WriteStep(), rule, "send")

    def on_adopting(
        self, progress: s.Progress, event: s.Adopting, moment: Moment
    ) -> s.Transition:
        """Adopt a record; the new revision excludes its former holder."""
        initial = s.Progress(
            intent=s.Intent.ADOPT,
            pending=event.record,
            expected_revision=event.revision,
            since_ms=moment.now_ms,
            place_until_ms=moment.now_ms + self._builder.settings.endpoint_timeout_ms,
        )
        return s.Transition(initial, s.WriteStep(), "adopt by conditional write")

    def on_write_confirmed(
        self, progress: s.Progress, event: s.WriteConfirmed, moment: Moment
    ) -> s.Transition:
        """Continue from a record that is known to be in the table."""
        record = progress.pending
        updated = msgspec.structs.replace(
            progress,
            confirmed=record,
            revision=event.revision,
            pending=None,
            in_doubt=False,
            tries=0,
            since_ms=moment.now_ms,
        )
        if record.state is State.ACCEPTED:
            return s.Transition(updated, s.ChooseStep(), "accepted is confirmed")
        if record.state is State.DISPATCHED:
            return self._on_dispatch_confirmed(progress, updated, record)
        reply = s.CallerReply(outcome_of(record), record.failure, key_closed=True)
        return s.Transition(
            updated, s.StopStep(), "terminal state is confirmed", reply=reply
        )

    def _on_dispatch_confirmed(
        self, before: s.Progress, updated: s.Progress, record: JournalRecord
    ) -> s.Transition:
        if before.intent is s.Intent.ADOPT:
            # The former holder may have sent it, or may resume and send it.
            rule = "an adopted dispatch is asked after, never sent again"
            return s.Transition(updated, s.LookupStep(record.endpoint), rule, "send")
        not_after_ms = before.since_ms + self._builder.settings.max_dispatch_age_ms
        send = s.SendStep(record.endpoint, record.attempt, not_after_ms)
        return s.Transition(updated, send, "dispatch is confirmed")

    def on_write_conflicted(
        self, progress: s.Progress, event: s.WriteConflicted, moment: Moment
    ) -> s.Transition:
        """Decide from the current row whether the write took effect."""
        current, pending = event.current, progress.pending
        if current is None:
            return self._on_row_missing(progress, moment)
        if current.record.token == pending.token:
            confirmed = s.WriteConfirmed(current.revision)
            return self.on_write_confirmed(progress, confirmed, moment)
        if progress.intent is s.Intent.ACCEPT and not _is_same_call(pending, current):
            return self._refuse_reused_key(progress)
        if pending.state is State.DONE and _may_replace_with_done(pending, current):
            return self._builder.start_write(
                progress,
                pending,
                s.Intent.SETTLE,
                moment,
                "an answer replaces a state of not knowing",
                revision=current.revision,
            )
        rule, runner_up = "another write came first", "write again"
        if progress.intent is s.Intent.ADOPT or pending.state is State.DONE:
            return s.Transition(progress, s.StopStep(), rule, runner_up)
        return s.Transition(progress, s.FollowStep(current), rule, runner_up)

    def _on_row_missing(self, progress: s.Progress, moment: Moment) -> s.Transition:
        if progress.expected_revision == 0:
            return self._builder.retry_write(
                progress, moment, "the row went away meanwhile"
            )
        # Another holder settled it, and its retention has ended since.
        failure = Failure(
            Reason.NOT_FOUND, "journal.write", "table", "the row was deleted"
        )
        reply = s.CallerReply(Outcome.UNKNOWN, failure)
        return s.Transition(progress, s.StopStep(), "the row was deleted", reply=reply)

    def _refuse_reused_key(self, progress: s.Progress) -> s.Transition:
        reply = s.CallerReply(Outcome.NOT_RUN, KEY_REUSED)
        return s.Transition(progress, s.StopStep(), "same key, other call", reply=reply)

    def on_write_failed(
        self, progress: s.Progress, event: s.WriteFailed, moment: Moment
    ) -> s.Transition:
        """Retry the same write if it may have taken effect."""
        failure = event.failure
        in_doubt = progress.in_doubt or failure.reason not in NO_EFFECT_REASONS
        if progress.intent is s.Intent.ADOPT and not in_doubt:
            rule = "adoption is left to a later pass"
            return s.Transition(progress, s.StopStep(), rule)
        if progress.intent is s.Intent.ACCEPT and not in_doubt:
            rule = "nothing was written; the key may have an outcome"
            return s.Transition(progress, s.ReadStep(failure), rule, "tell not run")
        updated = msgspec.structs.replace(progress, in_doubt=in_doubt)
        return self._builder.retry_write(updated, moment, "same write again", failure)

    def on_row_absent(
        self, progress: s.Progress, event: s.RowAbsent, moment: Moment
    ) -> s.Transition:
        """Refuse new work that was never recorded."""
        reply = s.CallerReply(Outcome.NOT_RUN, _not_recorded(event.failure))
        return s.Transition(progress, s.StopStep(), "nothing was written", reply=reply)


def _not_recorded(failure: Failure) -> Failure:
    detail = "the submission was neither recorded nor run; retry with the same key"
    if failure.detail:
        detail = f"{failure.detail}; {detail}"
    return msgspec.structs.replace(failure, detail=detail)


def _is_same_call(pending: JournalRecord, current: StoredRecord) -> bool:
    other = current.record
    return (
        pending.body_sha256 == other.body_sha256
        and pending.call.method == other.call.method
        and pending.call.path == other.call.path
    )


def _may_replace_with_done(pending: JournalRecord, current: StoredRecord) -> bool:
    """Return whether the current row leaves open if this attempt ran."""
    other = current.record
    same_attempt = pending.attempt == other.attempt
    return same_attempt and other.state in (State.UNKNOWN, State.DISPATCHED)
