"""Rules for calls to endpoints: chosen, answered, failed or asked after."""

from __future__ import annotations

import msgspec

from ..endpoints.service import Execution
from ..errors import Delivery, Failure, Reason
from ..outcome import Outcome
from . import steps as s
from .moves import Moment, Moves
from .record import State

NOT_STARTED = frozenset({Delivery.NOT_SENT, Delivery.REFUSED})
"""Deliveries that prove that the endpoint did not run the call."""


class EndpointRules:
    """What follows the events of endpoints."""

    def __init__(self, moves: Moves):
        self._moves = moves

    def chosen(
        self, progress: s.Progress, event: s.EndpointChosen, moment: Moment
    ) -> s.Next:
        """Name the endpoint in the record before the call is sent."""
        record = msgspec.structs.replace(
            progress.confirmed,
            state=State.DISPATCHED,
            endpoint=event.endpoint,
            attempt=progress.confirmed.attempt + 1,
            token=self._moves.token(),
        )
        rule = "name the endpoint before sending"
        return self._moves.write(
            progress, record, s.Intent.DISPATCH, moment, rule, runner_up="send"
        )

    def none_free(
        self, progress: s.Progress, event: s.NoEndpoint, moment: Moment
    ) -> s.Next:
        """Look again until the time is up; then bar the key and say so."""
        if moment.now_ms < progress.place_until_ms and not self._is_spent(progress):
            step = s.ChooseStep(self._moves.backoff_ms(progress.tries))
            tried = msgspec.structs.replace(progress, tries=progress.tries + 1)
            return s.Next(tried, step, "no endpoint yet", "give up")
        record = self._moves.settled(
            progress.confirmed, State.NOT_RUN, moment, event.failure
        )
        rule = "no endpoint in time; bar the key"
        return self._moves.write(progress, record, s.Intent.SETTLE, moment, rule)

    def lapsed(
        self, progress: s.Progress, event: s.SendLapsed, moment: Moment
    ) -> s.Next:
        """Name an endpoint anew: the record may have been adopted meanwhile."""
        if self._is_spent(progress):
            failure = Failure(Reason.TIMEOUT, "journal.dispatch", "table")
            return self.none_free(progress, s.NoEndpoint(failure), moment)
        return s.Next(progress, s.ChooseStep(), "dispatch write too old", "send")

    def answered(
        self, progress: s.Progress, event: s.Answered, moment: Moment
    ) -> s.Next:
        """Tell the answer at once, since it ran, and record it."""
        record = self._moves.settled(
            progress.confirmed, State.DONE, moment, answer=event.answer
        )
        tell = s.Tell(Outcome.DONE)
        return self._moves.write(
            progress, record, s.Intent.SETTLE, moment, "it ran", tell=tell
        )

    def send_failed(
        self, progress: s.Progress, event: s.SendFailed, moment: Moment
    ) -> s.Next:
        """Go elsewhere on proof that it did not run, else ask the endpoint."""
        if event.failure.delivery in NOT_STARTED:
            rule = "the endpoint did not run it"
            return self._elsewhere(progress, event.failure, moment, rule)
        begun = msgspec.structs.replace(progress, tries=0, since_ms=moment.now_ms)
        step = s.LookupStep(progress.confirmed.endpoint)
        return s.Next(begun, step, "it may have run", "try another endpoint")

    def looked_up(
        self, progress: s.Progress, event: s.LookedUp, moment: Moment
    ) -> s.Next:
        """Take the endpoint's word for what became of the call."""
        if event.execution is Execution.RAN and event.answer is not None:
            return self.answered(progress, s.Answered(event.answer), moment)
        if event.execution is Execution.NOT_RUN:
            failure = _lookup_failure(progress, "it did not run the call")
            rule = "the endpoint did not run it and will not"
            return self._elsewhere(progress, failure, moment, rule)
        if event.execution is Execution.RUNNING:
            failure = _lookup_failure(progress, "still running")
            timeout_ms = progress.confirmed.call.timeout_ms
            return self._ask_later(progress, failure, moment, timeout_ms)
        ran = event.execution is Execution.RAN
        detail = "it ran; its answer is lost" if ran else "it keeps no record"
        return self._unknown(progress, _lookup_failure(progress, detail), moment)

    def lookup_failed(
        self, progress: s.Progress, event: s.LookupFailed, moment: Moment
    ) -> s.Next:
        """Ask again for as long as the settings allow."""
        return self._ask_later(progress, event.failure, moment)

    def _elsewhere(
        self, progress: s.Progress, failure: Failure, moment: Moment, rule: str
    ) -> s.Next:
        record = progress.confirmed
        tried = msgspec.structs.replace(record, tried=(*record.tried, record.endpoint))
        moved = msgspec.structs.replace(progress, confirmed=tried, tries=0)
        if self._is_spent(moved):
            return self.none_free(moved, s.NoEndpoint(failure), moment)
        return s.Next(moved, s.ChooseStep(), rule)

    def _ask_later(
        self,
        progress: s.Progress,
        failure: Failure,
        moment: Moment,
        running_ms: int = 0,
    ) -> s.Next:
        asked_ms = moment.now_ms - progress.since_ms
        if asked_ms >= self._moves.settings.lookup_within_ms + running_ms:
            return self._unknown(progress, failure, moment)
        wait_ms = self._moves.backoff_ms(progress.tries)
        step = s.LookupStep(progress.confirmed.endpoint, wait_ms)
        tried = msgspec.structs.replace(progress, tries=progress.tries + 1)
        return s.Next(tried, step, "ask the endpoint again", "settle as unknown")

    def _unknown(
        self, progress: s.Progress, failure: Failure, moment: Moment
    ) -> s.Next:
        record = self._moves.settled(progress.confirmed, State.UNKNOWN, moment, failure)
        tell = s.Tell(Outcome.UNKNOWN, failure)
        rule = "no one can tell whether it ran"
        return self._moves.write(
            progress, record, s.Intent.SETTLE, moment, rule, tell=tell
        )

    def _is_spent(self, progress: s.Progress) -> bool:
        return progress.confirmed.attempt >= self._moves.settings.max_attempts


def _lookup_failure(progress: s.Progress, detail: str) -> Failure:
    endpoint = progress.confirmed.endpoint or ""
    return Failure(Reason.PEER_ERROR, "journal.lookup", endpoint, detail)
