"""Rules of the journal: an event and what is known give the next step.

Nothing here does I/O. The rules that keep work at most once:

- The call is sent only after the write that names its endpoint is confirmed.
- A write whose answer was lost is tried again, unchanged, under the same
  expected revision. Whichever try takes effect, the others never can, and its
  token in the row shows it. That the row lacks it proves nothing.
- Another endpoint is tried only on proof that the first did not run the call.
- ``NOT_RUN`` is told where no write was ever in doubt and none took effect, or
  where a terminal ``NOT_RUN`` is confirmed.
"""

from __future__ import annotations

import random

import msgspec

from ..endpoints.service import Execution
from ..errors import Delivery, Failure, Reason
from ..outcome import Outcome
from . import steps as s
from .record import JournalRecord, State, StoredRecord, outcome_of
from .settings import JournalSettings

TOKEN_BITS = 96
NOTHING_HAPPENED = frozenset({Reason.UNAVAILABLE, Reason.OVERLOADED})
"""Reasons of a failed write that prove that it did not take effect."""
NOT_STARTED = frozenset({Delivery.NOT_SENT, Delivery.REFUSED})


def new_token(rng: random.Random) -> str:
    """Return a token that no other write has."""
    return f"{rng.getrandbits(TOKEN_BITS):024x}"


class Transitions:
    """The rules with their settings.

    Parameters
    ----------
    settings : JournalSettings
        Times and limits.
    rng : random.Random
        Makes tokens and jitter; must differ between instances.
    """

    def __init__(self, settings: JournalSettings, rng: random.Random):
        self._settings = settings
        self._rng = rng
        self._handlers = {
            s.Submitted: self._submitted,
            s.Adopting: self._adopting,
            s.WriteConfirmed: self._write_confirmed,
            s.WriteConflicted: self._write_conflicted,
            s.WriteFailed: self._write_failed,
            s.EndpointChosen: self._endpoint_chosen,
            s.NoEndpoint: self._no_endpoint,
            s.SendLapsed: self._send_lapsed,
            s.Answered: self._answered,
            s.SendFailed: self._send_failed,
            s.LookedUp: self._looked_up,
            s.LookupFailed: self._lookup_failed,
        }

    def next(
        self, progress: s.Progress, event: s.Event, now_ms: int, wall_ms: int
    ) -> s.Next:
        """Return what follows ``event``.

        Parameters
        ----------
        now_ms : int
            Monotonic time.
        wall_ms : int
            Unix epoch time, only written to records.
        """
        return self._handlers[type(event)](progress, event, now_ms, wall_ms)

    # Writes.

    def _submitted(self, progress, event, now_ms, wall_ms) -> s.Next:
        started = s.Progress(
            intent=s.Intent.ACCEPT,
            pending=event.record,
            since_ms=now_ms,
            place_until_ms=now_ms + self._settings.place_within_ms,
        )
        return s.Next(started, s.WriteStep(), "record before anything else")

    def _adopting(self, progress, event, now_ms, wall_ms) -> s.Next:
        started = s.Progress(
            intent=s.Intent.ADOPT,
            pending=event.record,
            expected_revision=event.revision,
            since_ms=now_ms,
            place_until_ms=now_ms + self._settings.place_within_ms,
        )
        return s.Next(started, s.WriteStep(), "adopt by conditional write")

    def _write_confirmed(self, progress, event, now_ms, wall_ms) -> s.Next:
        record = progress.pending
        held = msgspec.structs.replace(
            progress,
            confirmed=record,
            revision=event.revision,
            pending=None,
            in_doubt=False,
            tries=0,
            since_ms=now_ms,
        )
        if record.state is State.ACCEPTED:
            return s.Next(held, s.ChooseStep(), "accepted is confirmed")
        if record.state is State.DISPATCHED:
            return self._dispatch_confirmed(progress, held, record)
        return s.Next(
            held, s.StopStep(), "terminal state is confirmed", tell=_told(record)
        )

    def _dispatch_confirmed(self, before, held, record) -> s.Next:
        if before.intent is s.Intent.ADOPT:
            # The former holder may have sent it, or may wake and send it.
            return s.Next(
                held,
                s.LookupStep(record.endpoint),
                "an adopted dispatch is asked after, never sent again",
                "send",
            )
        not_after_ms = before.since_ms + self._settings.send_within_ms
        send = s.SendStep(record.endpoint, record.attempt, not_after_ms)
        return s.Next(held, send, "dispatch is confirmed")

    def _write_conflicted(self, progress, event, now_ms, wall_ms) -> s.Next:
        current, pending = event.current, progress.pending
        if current is None and progress.expected_revision == 0:
            return self._again(progress, now_ms, "the row went away meanwhile")
        if current is None:
            lost = Failure(Reason.NOT_FOUND, "journal.write", "table", "row deleted")
            told = s.Tell(Outcome.UNKNOWN, lost)
            return s.Next(progress, s.StopStep(), "the row was deleted", tell=told)
        if current.record.token == pending.token:
            confirmed = s.WriteConfirmed(current.revision)
            return self._write_confirmed(progress, confirmed, now_ms, wall_ms)
        if progress.intent is s.Intent.ACCEPT and not _same_call(pending, current):
            return self._key_reused(progress)
        if pending.state is State.DONE and _may_become_done(pending, current):
            return self._write(
                progress,
                pending,
                s.Intent.SETTLE,
                now_ms,
                "an answer replaces a state of not knowing",
                revision=current.revision,
            )
        return self._another_won(progress, current)

    def _another_won(self, progress, current) -> s.Next:
        rule, runner_up = "another write came first", "write again"
        if progress.intent is s.Intent.ADOPT or progress.pending.state is State.DONE:
            return s.Next(progress, s.StopStep(), rule, runner_up)
        return s.Next(progress, s.FollowStep(current), rule, runner_up)

    def _key_reused(self, progress) -> s.Next:
        failure = Failure(
            Reason.KEY_REUSED,
            "journal.accept",
            detail="this submission did not run: its key belongs to another call",
        )
        told = s.Tell(Outcome.NOT_RUN, failure)
        return s.Next(progress, s.StopStep(), "same key, other call", tell=told)

    def _write_failed(self, progress, event, now_ms, wall_ms) -> s.Next:
        nothing_happened = event.failure.reason in NOTHING_HAPPENED
        in_doubt = progress.in_doubt or not nothing_happened
        if progress.intent is s.Intent.ADOPT and not in_doubt:
            return s.Next(progress, s.StopStep(), "adoption is left to a later pass")
        if progress.intent is s.Intent.ACCEPT and not in_doubt:
            told = s.Tell(Outcome.NOT_RUN, _refused(event.failure))
            return s.Next(progress, s.StopStep(), "nothing was written", tell=told)
        doubtful = msgspec.structs.replace(progress, in_doubt=in_doubt)
        return self._again(doubtful, now_ms, "same write again", event.failure)

    def _again(self, progress, now_ms, rule, failure: Failure | None = None) -> s.Next:
        """Try the pending write again; release the caller if it takes long."""
        told = None
        waited_ms = now_ms - progress.since_ms
        if failure is not None and waited_ms >= self._settings.settle_within_ms:
            told = s.Tell(Outcome.UNKNOWN, self._ask_again(failure))
        step = s.WriteStep(self._backoff_ms(progress.tries))
        tried = msgspec.structs.replace(progress, tries=progress.tries + 1)
        return s.Next(tried, step, rule, "take absence as proof", told)

    def _write(self, progress, record, intent, now_ms, rule, **options) -> s.Next:
        """Begin a new write over ``revision``, by default the confirmed one."""
        revision = options.get("revision", progress.revision)
        begun = msgspec.structs.replace(
            progress,
            pending=record,
            intent=intent,
            expected_revision=revision,
            in_doubt=False,
            tries=0,
            since_ms=now_ms,
        )
        return s.Next(
            begun,
            s.WriteStep(),
            rule,
            options.get("runner_up", ""),
            options.get("tell"),
        )

    # Endpoints.

    def _endpoint_chosen(self, progress, event, now_ms, wall_ms) -> s.Next:
        record = msgspec.structs.replace(
            progress.confirmed,
            state=State.DISPATCHED,
            endpoint=event.endpoint,
            attempt=progress.confirmed.attempt + 1,
            token=new_token(self._rng),
        )
        rule = "name the endpoint before sending"
        return self._write(
            progress, record, s.Intent.DISPATCH, now_ms, rule, runner_up="send"
        )

    def _no_endpoint(self, progress, event, now_ms, wall_ms) -> s.Next:
        spent = progress.confirmed.attempt >= self._settings.max_attempts
        if now_ms < progress.place_until_ms and not spent:
            step = s.ChooseStep(self._backoff_ms(progress.tries))
            tried = msgspec.structs.replace(progress, tries=progress.tries + 1)
            return s.Next(tried, step, "no endpoint yet", "give up")
        record = self._settled(progress, State.NOT_RUN, wall_ms, event.failure)
        rule = "no endpoint in time; bar the key"
        return self._write(progress, record, s.Intent.SETTLE, now_ms, rule)

    def _send_lapsed(self, progress, event, now_ms, wall_ms) -> s.Next:
        if progress.confirmed.attempt >= self._settings.max_attempts:
            failure = Failure(Reason.TIMEOUT, "journal.dispatch", "table")
            return self._no_endpoint(progress, s.NoEndpoint(failure), now_ms, wall_ms)
        return s.Next(progress, s.ChooseStep(), "dispatch write too old", "send")

    def _answered(self, progress, event, now_ms, wall_ms) -> s.Next:
        record = self._settled(progress, State.DONE, wall_ms, None, event.answer)
        told = s.Tell(Outcome.DONE)
        return self._write(
            progress, record, s.Intent.SETTLE, now_ms, "it ran", tell=told
        )

    def _send_failed(self, progress, event, now_ms, wall_ms) -> s.Next:
        if event.failure.delivery in NOT_STARTED:
            rule = "the endpoint did not run it"
            return self._elsewhere(progress, event.failure, now_ms, wall_ms, rule)
        begun = msgspec.structs.replace(progress, tries=0, since_ms=now_ms)
        step = s.LookupStep(progress.confirmed.endpoint)
        return s.Next(begun, step, "it may have run", "try another endpoint")

    def _elsewhere(self, progress, failure, now_ms, wall_ms, rule) -> s.Next:
        record = progress.confirmed
        tried = msgspec.structs.replace(record, tried=(*record.tried, record.endpoint))
        moved = msgspec.structs.replace(progress, confirmed=tried, tries=0)
        if record.attempt >= self._settings.max_attempts:
            return self._no_endpoint(moved, s.NoEndpoint(failure), now_ms, wall_ms)
        return s.Next(moved, s.ChooseStep(), rule)

    def _looked_up(self, progress, event, now_ms, wall_ms) -> s.Next:
        if event.execution is Execution.RAN and event.answer is not None:
            answered = s.Answered(event.answer)
            return self._answered(progress, answered, now_ms, wall_ms)
        if event.execution is Execution.NOT_RUN:
            failure = _lookup_failure(progress, "it did not run the call")
            rule = "the endpoint did not run it and will not"
            return self._elsewhere(progress, failure, now_ms, wall_ms, rule)
        if event.execution is Execution.RUNNING:
            failure = _lookup_failure(progress, "still running")
            return self._ask_later(progress, failure, now_ms, wall_ms)
        ran = event.execution is Execution.RAN
        detail = "it ran; its answer is lost" if ran else "it keeps no record"
        failure = _lookup_failure(progress, detail)
        return self._unknown(progress, failure, now_ms, wall_ms)

    def _lookup_failed(self, progress, event, now_ms, wall_ms) -> s.Next:
        return self._ask_later(progress, event.failure, now_ms, wall_ms)

    def _ask_later(self, progress, failure, now_ms, wall_ms) -> s.Next:
        if now_ms - progress.since_ms >= self._settings.lookup_within_ms:
            return self._unknown(progress, failure, now_ms, wall_ms)
        wait_ms = self._backoff_ms(progress.tries)
        step = s.LookupStep(progress.confirmed.endpoint, wait_ms)
        tried = msgspec.structs.replace(progress, tries=progress.tries + 1)
        return s.Next(tried, step, "ask the endpoint again", "settle as unknown")

    def _unknown(self, progress, failure, now_ms, wall_ms) -> s.Next:
        record = self._settled(progress, State.UNKNOWN, wall_ms, failure)
        told = s.Tell(Outcome.UNKNOWN, failure)
        rule = "no one can tell whether it ran"
        return self._write(progress, record, s.Intent.SETTLE, now_ms, rule, tell=told)

    def _settled(
        self, progress, state, wall_ms, failure=None, answer=None
    ) -> JournalRecord:
        return msgspec.structs.replace(
            progress.confirmed,
            state=state,
            token=new_token(self._rng),
            answer=answer,
            failure=failure,
            settled_wall_ms=wall_ms,
            retain_until_wall_ms=wall_ms + progress.confirmed.retention_ms,
        )

    def _backoff_ms(self, tries: int) -> int:
        least_ms = self._settings.retry_min_ms
        bound_ms = min(self._settings.retry_max_ms, least_ms << min(tries, 16))
        return self._rng.randint(least_ms, max(least_ms, bound_ms))

    def _ask_again(self, failure: Failure) -> Failure:
        return msgspec.structs.replace(
            failure, retry_after_ms=self._settings.retry_max_ms
        )


def _told(record: JournalRecord) -> s.Tell:
    return s.Tell(outcome_of(record), record.failure, key_closed=True)


def _refused(failure: Failure) -> Failure:
    detail = "this submission was not recorded and did not run; repeat the same key"
    return msgspec.structs.replace(
        failure, detail=f"{failure.detail}; {detail}" if failure.detail else detail
    )


def _same_call(pending: JournalRecord, current: StoredRecord) -> bool:
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


def _lookup_failure(progress: s.Progress, detail: str) -> Failure:
    endpoint = progress.confirmed.endpoint or ""
    return Failure(Reason.PEER_ERROR, "journal.lookup", endpoint, detail)
