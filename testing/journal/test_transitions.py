from __future__ import annotations

import random
import unittest

import msgspec

from _monsoonpulley.endpoints.service import Execution
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.journal import steps as s
from _monsoonpulley.journal.record import RecordedAnswer, State, StoredRecord
from _monsoonpulley.journal.transitions import Transitions
from _monsoonpulley.outcome import Outcome

from .world import SETTINGS, submission

UNAVAILABLE = s.WriteFailed(Failure(Reason.UNAVAILABLE, "table.commit"))
IN_DOUBT = s.WriteFailed(Failure(Reason.IN_DOUBT, "table.commit"))
ANSWER = RecordedAnswer(200, (), b"booked")


def make_send_failed(delivery):
    failure = Failure(Reason.PEER_ERROR, "endpoint.call", delivery=delivery)
    return s.SendFailed(failure)


class TransitionsTest(unittest.TestCase):
    def setUp(self):
        self.transitions = Transitions(SETTINGS, random.Random(1))
        self.record = submission("key").to_record("i0", 1, "token", 0, 1_024)
        self.progress = s.Progress()
        self.now_ms = 0

    def apply(self, *events):
        for event in events:
            transition = self.transitions.decide(
                self.progress, event, self.now_ms, self.now_ms
            )
            self.progress = transition.progress
        return transition

    def accept(self):
        return self.apply(s.Submitted(self.record), s.WriteConfirmed(1))

    def dispatch(self):
        self.accept()
        return self.apply(s.EndpointChosen("e1"), s.WriteConfirmed(2))

    def conflict_with(self, revision=9, **changes):
        record = msgspec.structs.replace(
            self.progress.pending, token="other", holder="i1", **changes
        )
        return s.WriteConflicted(StoredRecord(record, revision))

    def adopt(self, state, endpoint=None):
        record = msgspec.structs.replace(
            self.record, state=state, endpoint=endpoint, attempt=1, token="mine"
        )
        return self.apply(s.Adopting(record, 5), s.WriteConfirmed(6))

    def test_nothing_is_sent_before_the_dispatch_is_confirmed(self):
        self.accept()
        chosen = self.apply(s.EndpointChosen("e1"))
        self.assertIsInstance(chosen.step, s.WriteStep)
        self.assertIsInstance(self.apply(IN_DOUBT).step, s.WriteStep)
        self.assertIsInstance(self.apply(UNAVAILABLE).step, s.WriteStep)
        self.assertEqual(self.apply(s.WriteConfirmed(2)).step.endpoint, "e1")

    def test_a_merged_first_write_is_confirmed_before_sending(self):
        first = self.apply(s.Submitted(self.record, "e1"))
        self.assertIsInstance(first.step, s.WriteStep)
        self.assertEqual(self.progress.pending.state, State.DISPATCHED)
        self.assertIsInstance(self.apply(IN_DOUBT).step, s.WriteStep)
        sent = self.apply(s.WriteConfirmed(1)).step
        self.assertEqual((sent.endpoint, sent.attempt), ("e1", 1))

    def test_a_submission_that_was_never_written_is_not_run(self):
        refused = self.apply(s.Submitted(self.record), UNAVAILABLE)
        self.assertIsInstance(refused.step, s.ReadStep)
        self.assertIsNone(refused.reply)
        refused = self.apply(s.RowAbsent(UNAVAILABLE.failure))
        self.assertEqual(refused.reply.outcome, Outcome.NOT_RUN)
        self.assertFalse(refused.reply.key_closed)

    def test_an_accept_in_doubt_is_retried_unchanged(self):
        again = self.apply(s.Submitted(self.record), IN_DOUBT, UNAVAILABLE)
        self.assertIsNone(again.reply)
        self.assertIsInstance(again.step, s.WriteStep)
        self.assertEqual(self.progress.pending, self.record)
        self.assertEqual(self.progress.expected_revision, 0)

    def test_an_accept_long_in_doubt_replies_unknown_and_continues(self):
        self.apply(s.Submitted(self.record), IN_DOUBT)
        self.now_ms = SETTINGS.settle_timeout_ms
        released = self.apply(UNAVAILABLE)
        self.assertEqual(released.reply.outcome, Outcome.UNKNOWN)
        self.assertIsNotNone(released.reply.failure.retry_after_ms)
        self.assertIsInstance(released.step, s.WriteStep)

    def test_its_own_token_in_the_row_confirms_a_write_without_answer(self):
        self.apply(s.Submitted(self.record), IN_DOUBT)
        found = self.apply(s.WriteConflicted(StoredRecord(self.record, 4)))
        self.assertIsInstance(found.step, s.ChooseStep)
        self.assertEqual(self.progress.revision, 4)

    def test_another_record_of_the_key_is_followed(self):
        self.apply(s.Submitted(self.record))
        self.assertIsInstance(self.apply(self.conflict_with()).step, s.FollowStep)

    def test_another_call_under_the_key_is_refused(self):
        self.apply(s.Submitted(self.record))
        reused = self.apply(self.conflict_with(body_sha256="0" * 64))
        self.assertEqual(reused.reply.outcome, Outcome.NOT_RUN)
        self.assertEqual(reused.reply.failure.reason, Reason.KEY_REUSED)

    def test_only_proof_of_not_running_leads_to_another_endpoint(self):
        for delivery in (Delivery.NOT_SENT, Delivery.REFUSED):
            self.dispatch()
            transition = self.apply(make_send_failed(delivery))
            self.assertIsInstance(transition.step, s.ChooseStep, delivery)
            self.assertEqual(self.progress.confirmed.tried, ("e1",))
        for delivery in (Delivery.MAYBE, None):
            self.dispatch()
            transition = self.apply(make_send_failed(delivery))
            self.assertIsInstance(transition.step, s.LookupStep, delivery)

    def test_the_lookup_result_decides_a_call_that_may_have_run(self):
        expected = {
            Execution.NOT_RUN: s.ChooseStep,
            Execution.RUNNING: s.LookupStep,
            Execution.UNKNOWN: s.WriteStep,
            Execution.RAN: s.WriteStep,
        }
        for execution, step in expected.items():
            self.dispatch()
            self.apply(make_send_failed(Delivery.MAYBE))
            transition = self.apply(s.LookedUp(execution))
            self.assertIsInstance(transition.step, step, execution)
            if step is s.WriteStep:
                self.assertEqual(self.progress.pending.state, State.UNKNOWN)

    def test_an_answer_found_by_a_lookup_is_done(self):
        self.dispatch()
        self.apply(make_send_failed(Delivery.MAYBE))
        transition = self.apply(s.LookedUp(Execution.RAN, ANSWER))
        self.assertEqual(transition.reply.outcome, Outcome.DONE)
        self.assertEqual(self.progress.pending.answer, ANSWER)

    def test_failed_lookups_end_as_unknown(self):
        self.dispatch()
        self.apply(make_send_failed(Delivery.MAYBE))
        failed = s.LookupFailed(Failure(Reason.TIMEOUT, "endpoint.lookup"))
        self.assertIsInstance(self.apply(failed).step, s.LookupStep)
        self.now_ms = SETTINGS.lookup_timeout_ms
        self.assertEqual(self.apply(failed).reply.outcome, Outcome.UNKNOWN)

    def test_a_running_call_extends_the_lookup_timeout(self):
        self.dispatch()
        self.apply(make_send_failed(Delivery.MAYBE))
        self.now_ms = SETTINGS.lookup_timeout_ms + self.record.call.timeout_ms - 1
        running = s.LookedUp(Execution.RUNNING)
        self.assertIsInstance(self.apply(running).step, s.LookupStep)
        self.now_ms += 1
        self.assertEqual(self.apply(running).reply.outcome, Outcome.UNKNOWN)

    def test_an_adopted_dispatch_is_looked_up_and_never_sent(self):
        transition = self.adopt(State.DISPATCHED, "e1")
        self.assertEqual(transition.step, s.LookupStep("e1"))

    def test_only_an_adoption_in_doubt_is_retried(self):
        self.apply(s.Adopting(self.record, 5))
        before = self.progress
        self.assertIsInstance(self.apply(UNAVAILABLE).step, s.StopStep)
        self.progress = before
        self.assertIsInstance(self.apply(IN_DOUBT).step, s.WriteStep)
        self.assertIsInstance(self.apply(UNAVAILABLE).step, s.WriteStep)
        self.assertIsInstance(self.apply(self.conflict_with()).step, s.StopStep)

    def test_an_adopted_accept_is_dispatched(self):
        self.assertIsInstance(self.adopt(State.ACCEPTED).step, s.ChooseStep)

    def test_a_holder_whose_record_was_adopted_does_not_send(self):
        self.accept()
        self.apply(s.EndpointChosen("e1"))
        self.assertIsInstance(self.apply(self.conflict_with()).step, s.FollowStep)

    def test_not_run_for_lack_of_endpoints_is_reported_once_confirmed(self):
        self.accept()
        none = s.NoEndpoint(Failure(Reason.NO_ENDPOINT, "routing.choose"))
        self.assertIsInstance(self.apply(none).step, s.ChooseStep)
        self.now_ms = SETTINGS.endpoint_timeout_ms
        barred = self.apply(none)
        self.assertIsNone(barred.reply)
        self.assertEqual(self.progress.pending.state, State.NOT_RUN)
        self.assertIsNone(self.apply(IN_DOUBT).reply)
        reply = self.apply(s.WriteConfirmed(3)).reply
        self.assertEqual((reply.outcome, reply.key_closed), (Outcome.NOT_RUN, True))

    def test_attempts_are_bounded(self):
        for attempt in range(1, SETTINGS.max_attempts + 1):
            transition = (
                self.dispatch()
                if attempt == 1
                else self.apply(
                    s.EndpointChosen(f"e{attempt}"), s.WriteConfirmed(attempt + 1)
                )
            )
            self.assertEqual(transition.step.attempt, attempt)
            self.apply(make_send_failed(Delivery.REFUSED))
        self.assertEqual(self.progress.pending.state, State.NOT_RUN)

    def test_an_expired_dispatch_is_written_again_before_sending(self):
        self.dispatch()
        self.assertIsInstance(self.apply(s.SendLapsed()).step, s.ChooseStep)
        self.apply(s.EndpointChosen("e1"))
        self.assertEqual(self.progress.pending.attempt, 2)
        self.assertEqual(self.progress.expected_revision, 2)

    def test_an_answer_is_returned_before_its_record_is_settled(self):
        self.dispatch()
        answered = self.apply(s.Answered(ANSWER))
        self.assertEqual(answered.reply.outcome, Outcome.DONE)
        self.assertIsInstance(self.apply(UNAVAILABLE).step, s.WriteStep)
        self.assertIsInstance(self.apply(IN_DOUBT).step, s.WriteStep)
        self.assertIsInstance(self.apply(s.WriteConfirmed(3)).step, s.StopStep)

    def test_an_answer_replaces_unknown_of_its_own_attempt_only(self):
        self.dispatch()
        self.apply(s.Answered(ANSWER))
        self.assertIsInstance(
            self.apply(self.conflict_with(7, attempt=2)).step, s.StopStep
        )
        not_run = self.conflict_with(7, state=State.NOT_RUN)
        self.assertIsInstance(self.apply(not_run).step, s.StopStep)
        unknown = self.conflict_with(7, state=State.UNKNOWN)
        self.assertIsInstance(self.apply(unknown).step, s.WriteStep)
        self.assertEqual(self.progress.expected_revision, 7)

    def test_a_deleted_row_gives_unknown(self):
        self.accept()
        self.now_ms = SETTINGS.endpoint_timeout_ms
        self.apply(s.NoEndpoint(Failure(Reason.NO_ENDPOINT, "routing.choose")))
        deleted = self.apply(s.WriteConflicted(None))
        self.assertEqual(deleted.reply.outcome, Outcome.UNKNOWN)

    def test_a_terminal_record_has_its_retention(self):
        self.dispatch()
        self.now_ms = 1_000
        self.apply(s.Answered(ANSWER))
        settled = self.progress.pending
        self.assertEqual(settled.settled_wall_ms, 1_000)
        self.assertEqual(settled.retain_until_wall_ms, 1_000 + settled.retention_ms)
