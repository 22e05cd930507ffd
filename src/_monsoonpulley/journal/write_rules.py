"""Rules for the journal's writes: begun, confirmed, refused or in doubt."""

from __future__ import annotations

import msgspec

from ..errors import Failure, Reason
from ..outcome import Outcome
from . import steps as s
from .moves import Moment, Moves
from .record import JournalRecord, State, StoredRecord, outcome_of
from .submission import KEY_REUSED

NOTHING_HAPPENED = frozenset({Reason.UNAVAILABLE, Reason.OVERLOADED})
"""Reasons of a failed write that prove that it did not take effect."""


class WriteRules:
    """What follows the events of writes."""

    def __init__(self, moves: Moves):
        self._moves = moves

    def submitted(
        self, progress: s.Progress, event: s.Submitted, moment: Moment
    ) -> s.Next:
        """Record new work, with its endpoint if one is free."""
        record, rule = event.record, "record before anything else"
        if event.endpoint is not None:
            record = msgspec.structs.replace(
                record, state=State.DISPATCHED, endpoint=event.endpoint, attempt=1
            )
            rule = "record and name the endpoint in one write"
        started = s.Progress(
            intent=s.Intent.ACCEPT,
            pending=record,
            since_ms=moment.now_ms,
            place_until_ms=moment.now_ms + self._moves.settings.place_within_ms,
        )
        return s.Next(started, s.WriteStep(), rule, "send")

    def adopting(
        self, progress: s.Progress, event: s.Adopting, moment: Moment
    ) -> s.Next:
        """Take over a record; its revision excludes the former holder."""
        started = s.Progress(
            intent=s.Intent.ADOPT,
            pending=event.record,
            expected_revision=event.revision,
            since_ms=moment.now_ms,
            place_until_ms=moment.now_ms + self._moves.settings.place_within_ms,
        )
        return s.Next(started, s.WriteStep(), "adopt by conditional write")

    def confirmed(
        self, progress: s.Progress, event: s.WriteConfirmed, moment: Moment
    ) -> s.Next:
        """Go on from a record that is known to be in the table."""
        record = progress.pending
        held = msgspec.structs.replace(
            progress,
            confirmed=record,
            revision=event.revision,
            pending=None,
            in_doubt=False,
            tries=0,
            since_ms=moment.now_ms,
        )
        if record.state is State.ACCEPTED:
            return s.Next(held, s.ChooseStep(), "accepted is confirmed")
        if record.state is State.DISPATCHED:
            return self._dispatch_confirmed(progress, held, record)
        tell = s.Tell(outcome_of(record), record.failure, key_closed=True)
        return s.Next(held, s.StopStep(), "terminal state is confirmed", tell=tell)

    def _dispatch_confirmed(
        self, before: s.Progress, held: s.Progress, record: JournalRecord
    ) -> s.Next:
        if before.intent is s.Intent.ADOPT:
            # The former holder may have sent it, or may wake and send it.
            rule = "an adopted dispatch is asked after, never sent again"
            return s.Next(held, s.LookupStep(record.endpoint), rule, "send")
        not_after_ms = before.since_ms + self._moves.settings.send_within_ms
        send = s.SendStep(record.endpoint, record.attempt, not_after_ms)
        return s.Next(held, send, "dispatch is confirmed")

    def conflicted(
        self, progress: s.Progress, event: s.WriteConflicted, moment: Moment
    ) -> s.Next:
        """Read from the row what became of the write."""
        current, pending = event.current, progress.pending
        if current is None:
            return self._no_row(progress, moment)
        if current.record.token == pending.token:
            confirmed = s.WriteConfirmed(current.revision)
            return self.confirmed(progress, confirmed, moment)
        if progress.intent is s.Intent.ACCEPT and not _is_same_call(pending, current):
            return self._key_reused(progress)
        if pending.state is State.DONE and _may_become_done(pending, current):
            return self._moves.write(
                progress,
                pending,
                s.Intent.SETTLE,
                moment,
                "an answer replaces a state of not knowing",
                revision=current.revision,
            )
        rule, runner_up = "another write came first", "write again"
        if progress.intent is s.Intent.ADOPT or pending.state is State.DONE:
            return s.Next(progress, s.StopStep(), rule, runner_up)
        return s.Next(progress, s.FollowStep(current), rule, runner_up)

    def _no_row(self, progress: s.Progress, moment: Moment) -> s.Next:
        if progress.expected_revision == 0:
            return self._moves.write_again(
                progress, moment, "the row went away meanwhile"
            )
        # Another holder settled it and its retention has passed since.
        lost = Failure(Reason.NOT_FOUND, "journal.write", "table", "row deleted")
        tell = s.Tell(Outcome.UNKNOWN, lost)
        return s.Next(progress, s.StopStep(), "the row was deleted", tell=tell)

    def _key_reused(self, progress: s.Progress) -> s.Next:
        tell = s.Tell(Outcome.NOT_RUN, KEY_REUSED)
        return s.Next(progress, s.StopStep(), "same key, other call", tell=tell)

    def failed(
        self, progress: s.Progress, event: s.WriteFailed, moment: Moment
    ) -> s.Next:
        """Settle a write without an answer by the same write again."""
        failure = event.failure
        in_doubt = progress.in_doubt or failure.reason not in NOTHING_HAPPENED
        if progress.intent is s.Intent.ADOPT and not in_doubt:
            rule = "adoption is left to a later pass"
            return s.Next(progress, s.StopStep(), rule)
        if progress.intent is s.Intent.ACCEPT and not in_doubt:
            rule = "nothing was written; the key may have an outcome"
            return s.Next(progress, s.ReadStep(failure), rule, "tell not run")
        doubtful = msgspec.structs.replace(progress, in_doubt=in_doubt)
        return self._moves.write_again(doubtful, moment, "same write again", failure)

    def row_absent(
        self, progress: s.Progress, event: s.RowAbsent, moment: Moment
    ) -> s.Next:
        """Refuse new work that was never recorded."""
        tell = s.Tell(Outcome.NOT_RUN, _not_recorded(event.failure))
        return s.Next(progress, s.StopStep(), "nothing was written", tell=tell)


def _not_recorded(failure: Failure) -> Failure:
    detail = "this submission was not recorded and did not run; repeat the same key"
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


def _may_become_done(pending: JournalRecord, current: StoredRecord) -> bool:
    """Tell whether the present row leaves open if this attempt ran."""
    other = current.record
    same_attempt = pending.attempt == other.attempt
    return same_attempt and other.state in (State.UNKNOWN, State.DISPATCHED)
