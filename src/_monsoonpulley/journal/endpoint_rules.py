"""Rules for calls to endpoints: choice, answer, failure and lookup."""

from __future__ import annotations

import msgspec

from ..endpoints.service import Execution
from ..errors import Delivery, Failure, Reason
from ..outcome import Outcome
from . import steps as s
from .record import State
from .transition_builder import Moment, TransitionBuilder

NOT_RUN_DELIVERIES = frozenset({Delivery.NOT_SENT, Delivery.REFUSED})
"""Deliveries that prove that the endpoint did not run the call."""


class EndpointRules:
    """Transitions that follow events of endpoints."""

    def __init__(self, builder: TransitionBuilder):
        self._builder = builder

    def on_endpoint_chosen(
        self, progress: s.Progress, event: s.EndpointChosen, moment: Moment
    ) -> s.Transition:
        """Write the endpoint to the record before the call is sent."""
        record = msgspec.structs.replace(
            progress.confirmed,
            state=State.DISPATCHED,
            endpoint=event.endpoint,
            attempt=progress.confirmed.attempt + 1,
            token=self._builder.make_token(),
        )
        rule = "name the endpoint before sending"
        return self._builder.start_write(
            progress, record, s.Intent.DISPATCH, moment, rule, runner_up="send"
        )

    def on_no_endpoint(
        self, progress: s.Progress, event: s.NoEndpoint, moment: Moment
    ) -> s.Transition:
        """Retry until the time or the attempts run out; then settle as not run."""
        if moment.now_ms < progress.place_until_ms and not self._is_exhausted(progress):
            step = s.ChooseStep(self._builder.backoff_ms(progress.tries))
            updated = msgspec.structs.replace(progress, tries=progress.tries + 1)
            return s.Transition(updated, step, "no endpoint yet", "give up")
        record = self._builder.settle_record(
            progress.confirmed, State.NOT_RUN, moment, event.failure
        )
        rule = "no endpoint in time; bar the key"
        return self._builder.start_write(
            progress, record, s.Intent.SETTLE, moment, rule
        )

    def on_send_lapsed(
        self, progress: s.Progress, event: s.SendLapsed, moment: Moment
    ) -> s.Transition:
        """Choose an endpoint again: the record may have been adopted meanwhile."""
        if self._is_exhausted(progress):
            failure = Failure(Reason.TIMEOUT, "journal.dispatch", "table")
            return self.on_no_endpoint(progress, s.NoEndpoint(failure), moment)
        return s.Transition(progress, s.ChooseStep(), "dispatch write too old", "send")

    def on_answered(
        self, progress: s.Progress, event: s.Answered, moment: Moment
    ) -> s.Transition:
        """Return the answer to callers at once, since the call ran, and record it."""
        record = self._builder.settle_record(
            progress.confirmed, State.DONE, moment, answer=event.answer
        )
        reply = s.CallerReply(Outcome.DONE)
        return self._builder.start_write(
            progress, record, s.Intent.SETTLE, moment, "it ran", reply=reply
        )

    def on_send_failed(
        self, progress: s.Progress, event: s.SendFailed, moment: Moment
    ) -> s.Transition:
        """Try another endpoint if the call provably did not run; else look it up."""
        if event.failure.delivery in NOT_RUN_DELIVERIES:
            rule = "the endpoint did not run it"
            return self._try_another_endpoint(progress, event.failure, moment, rule)
        updated = msgspec.structs.replace(progress, tries=0, since_ms=moment.now_ms)
        step = s.LookupStep(progress.confirmed.endpoint)
        return s.Transition(updated, step, "it may have run", "try another endpoint")

    def on_looked_up(
        self, progress: s.Progress, event: s.LookedUp, moment: Moment
    ) -> s.Transition:
        """Decide by what the endpoint reports about the call."""
        if event.execution is Execution.RAN and event.answer is not None:
            return self.on_answered(progress, s.Answered(event.answer), moment)
        if event.execution is Execution.NOT_RUN:
            failure = _lookup_failure(
                progress, "the endpoint reports that it did not run the call"
            )
            rule = "the endpoint did not run it and will not"
            return self._try_another_endpoint(progress, failure, moment, rule)
        if event.execution is Execution.RUNNING:
            failure = _lookup_failure(
                progress, "the endpoint reports that the call is still running"
            )
            timeout_ms = progress.confirmed.call.timeout_ms
            return self._retry_lookup(progress, failure, moment, timeout_ms)
        ran = event.execution is Execution.RAN
        detail = "the call ran; its answer is lost" if ran else "no record of the call"
        return self._settle_as_unknown(
            progress, _lookup_failure(progress, detail), moment
        )

    def on_lookup_failed(
        self, progress: s.Progress, event: s.LookupFailed, moment: Moment
    ) -> s.Transition:
        """Repeat the lookup for as long as the settings allow."""
        return self._retry_lookup(progress, event.failure, moment)

    def _try_another_endpoint(
        self, progress: s.Progress, failure: Failure, moment: Moment, rule: str
    ) -> s.Transition:
        record = progress.confirmed
        excluded = msgspec.structs.replace(
            record, tried=(*record.tried, record.endpoint)
        )
        updated = msgspec.structs.replace(progress, confirmed=excluded, tries=0)
        if self._is_exhausted(updated):
            return self.on_no_endpoint(updated, s.NoEndpoint(failure), moment)
        return s.Transition(updated, s.ChooseStep(), rule)

    def _retry_lookup(
        self,
        progress: s.Progress,
        failure: Failure,
        moment: Moment,
        extra_ms: int = 0,
    ) -> s.Transition:
        elapsed_ms = moment.now_ms - progress.since_ms
        if elapsed_ms >= self._builder.settings.lookup_timeout_ms + extra_ms:
            return self._settle_as_unknown(progress, failure, moment)
        wait_ms = self._builder.backoff_ms(progress.tries)
        step = s.LookupStep(progress.confirmed.endpoint, wait_ms)
        updated = msgspec.structs.replace(progress, tries=progress.tries + 1)
        return s.Transition(
            updated, step, "ask the endpoint again", "settle as unknown"
        )

    def _settle_as_unknown(
        self, progress: s.Progress, failure: Failure, moment: Moment
    ) -> s.Transition:
        record = self._builder.settle_record(
            progress.confirmed, State.UNKNOWN, moment, failure
        )
        reply = s.CallerReply(Outcome.UNKNOWN, failure)
        rule = "no one can tell whether it ran"
        return self._builder.start_write(
            progress, record, s.Intent.SETTLE, moment, rule, reply=reply
        )

    def _is_exhausted(self, progress: s.Progress) -> bool:
        return progress.confirmed.attempt >= self._builder.settings.max_attempts


def _lookup_failure(progress: s.Progress, detail: str) -> Failure:
    endpoint = progress.confirmed.endpoint or ""
    return Failure(Reason.PEER_ERROR, "journal.lookup", endpoint, detail)
