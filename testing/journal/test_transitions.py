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


def send_failed(delivery):
    failure = Failure(Reason.PEER_ERROR, "endpoint.call", delivery=delivery)
    return s.SendFailed(failure)


class TransitionsTest(unittest.TestCase):
    def setUp(self):
        self.transitions = Transitions(SETTINGS, random.Random(1))
        self.record = submission("key").to_record("i0", 1, "token", 0, 1_024)
        self.progress = s.Progress()
        self.now_ms = 0

    def on(self, *events):
        for event in events:
            following = self.transitions.next(
                self.progress, event, self.now_ms, self.now_ms
            )
            self.progress = following.progress
        return following

    def accepted(self):
        return self.on(s.Submitted(self.record), s.WriteConfirmed(1))

    def dispatched(self):
        self.accepted()
        return self.on(s.EndpointChosen("e1"), s.WriteConfirmed(2))

    def other(self, revision=9, **changes):
        record = msgspec.structs.replace(
            self.progress.pending, token="other", holder="i1", **changes
        )
        return s.WriteConflicted(StoredRecord(record, revision))

    def adopting(self, state, endpoint=None):
        record = msgspec.structs.replace(
            self.record, state=state, endpoint=endpoint, attempt=1, token="mine"
        )
        return self.on(s.Adopting(record, 5), s.WriteConfirmed(6))

    def test_nothing_is_sent_before_the_dispatch_is_confirmed(self):
        self.accepted()
        chosen = self.on(s.EndpointChosen("e1"))
        self.assertIsInstance(chosen.step, s.WriteStep)
        self.assertIsInstance(self.on(IN_DOUBT).step, s.WriteStep)
        self.assertIsInstance(self.on(UNAVAILABLE).step, s.WriteStep)
        self.assertEqual(self.on(s.WriteConfirmed(2)).step.endpoint, "e1")

    def test_a_merged_first_write_is_confirmed_before_sending(self):
        first = self.on(s.Submitted(self.record, "e1"))
        self.assertIsInstance(first.step, s.WriteStep)
        self.assertEqual(self.progress.pending.state, State.DISPATCHED)
        self.assertIsInstance(self.on(IN_DOUBT).step, s.WriteStep)
        sent = self.on(s.WriteConfirmed(1)).step
        self.assertEqual((sent.endpoint, sent.attempt), ("e1", 1))

    def test_a_submission_that_was_never_written_is_not_run(self):
        refused = self.on(s.Submitted(self.record), UNAVAILABLE)
        self.assertIsInstance(refused.step, s.ReadStep)
        self.assertIsNone(refused.tell)
        refused = self.on(s.RowAbsent(UNAVAILABLE.failure))
        self.assertEqual(refused.tell.outcome, Outcome.NOT_RUN)
        self.assertFalse(refused.tell.key_closed)

    def test_an_accept_in_doubt_is_written_again_unchanged(self):
        again = self.on(s.Submitted(self.record), IN_DOUBT, UNAVAILABLE)
        self.assertIsNone(again.tell)
        self.assertIsInstance(again.step, s.WriteStep)
        self.assertEqual(self.progress.pending, self.record)
        self.assertEqual(self.progress.expected_revision, 0)

    def test_an_accept_long_in_doubt_is_told_unknown_and_goes_on(self):
        self.on(s.Submitted(self.record), IN_DOUBT)
        self.now_ms = SETTINGS.settle_within_ms
        released = self.on(UNAVAILABLE)
        self.assertEqual(released.tell.outcome, Outcome.UNKNOWN)
        self.assertIsNotNone(released.tell.failure.retry_after_ms)
        self.assertIsInstance(released.step, s.WriteStep)

    def test_the_own_token_in_the_row_confirms_a_lost_answer(self):
        self.on(s.Submitted(self.record), IN_DOUBT)
        found = self.on(s.WriteConflicted(StoredRecord(self.record, 4)))
        self.assertIsInstance(found.step, s.ChooseStep)
        self.assertEqual(self.progress.revision, 4)

    def test_another_record_of_the_key_is_followed(self):
        self.on(s.Submitted(self.record))
        self.assertIsInstance(self.on(self.other()).step, s.FollowStep)

    def test_another_call_under_the_key_is_an_error(self):
        self.on(s.Submitted(self.record))
        reused = self.on(self.other(body_sha256="0" * 64))
        self.assertEqual(reused.tell.outcome, Outcome.NOT_RUN)
        self.assertEqual(reused.tell.failure.reason, Reason.KEY_REUSED)

    def test_only_proof_of_not_running_leads_to_another_endpoint(self):
        for delivery in (Delivery.NOT_SENT, Delivery.REFUSED):
            self.dispatched()
            following = self.on(send_failed(delivery))
            self.assertIsInstance(following.step, s.ChooseStep, delivery)
            self.assertEqual(self.progress.confirmed.tried, ("e1",))
        for delivery in (Delivery.MAYBE, None):
            self.dispatched()
            following = self.on(send_failed(delivery))
            self.assertIsInstance(following.step, s.LookupStep, delivery)

    def test_what_the_endpoint_says_decides_a_call_that_may_have_run(self):
        expected = {
            Execution.NOT_RUN: s.ChooseStep,
            Execution.RUNNING: s.LookupStep,
            Execution.UNKNOWN: s.WriteStep,
            Execution.RAN: s.WriteStep,
        }
        for execution, step in expected.items():
            self.dispatched()
            self.on(send_failed(Delivery.MAYBE))
            following = self.on(s.LookedUp(execution))
            self.assertIsInstance(following.step, step, execution)
            if step is s.WriteStep:
                self.assertEqual(self.progress.pending.state, State.UNKNOWN)

    def test_a_found_answer_is_done(self):
        self.dispatched()
        self.on(send_failed(Delivery.MAYBE))
        following = self.on(s.LookedUp(Execution.RAN, ANSWER))
        self.assertEqual(following.tell.outcome, Outcome.DONE)
        self.assertEqual(self.progress.pending.answer, ANSWER)

    def test_an_endpoint_that_can_not_be_asked_is_unknown_in_the_end(self):
        self.dispatched()
        self.on(send_failed(Delivery.MAYBE))
        failed = s.LookupFailed(Failure(Reason.TIMEOUT, "endpoint.lookup"))
        self.assertIsInstance(self.on(failed).step, s.LookupStep)
        self.now_ms = SETTINGS.lookup_within_ms
        self.assertEqual(self.on(failed).tell.outcome, Outcome.UNKNOWN)

    def test_a_running_call_is_waited_for_beyond_its_timeout(self):
        self.dispatched()
        self.on(send_failed(Delivery.MAYBE))
        self.now_ms = SETTINGS.lookup_within_ms + self.record.call.timeout_ms - 1
        running = s.LookedUp(Execution.RUNNING)
        self.assertIsInstance(self.on(running).step, s.LookupStep)
        self.now_ms += 1
        self.assertEqual(self.on(running).tell.outcome, Outcome.UNKNOWN)

    def test_an_adopted_dispatch_is_asked_after_and_never_sent(self):
        following = self.adopting(State.DISPATCHED, "e1")
        self.assertEqual(following.step, s.LookupStep("e1"))

    def test_an_adoption_in_doubt_is_settled_and_no_other_is_pressed(self):
        self.on(s.Adopting(self.record, 5))
        before = self.progress
        self.assertIsInstance(self.on(UNAVAILABLE).step, s.StopStep)
        self.progress = before
        self.assertIsInstance(self.on(IN_DOUBT).step, s.WriteStep)
        self.assertIsInstance(self.on(UNAVAILABLE).step, s.WriteStep)
        self.assertIsInstance(self.on(self.other()).step, s.StopStep)

    def test_an_adopted_accept_is_dispatched(self):
        self.assertIsInstance(self.adopting(State.ACCEPTED).step, s.ChooseStep)

    def test_a_holder_whose_record_was_adopted_does_not_send(self):
        self.accepted()
        self.on(s.EndpointChosen("e1"))
        self.assertIsInstance(self.on(self.other()).step, s.FollowStep)

    def test_not_run_for_want_of_endpoints_is_told_when_confirmed(self):
        self.accepted()
        none = s.NoEndpoint(Failure(Reason.NO_ENDPOINT, "routing.choose"))
        self.assertIsInstance(self.on(none).step, s.ChooseStep)
        self.now_ms = SETTINGS.place_within_ms
        barred = self.on(none)
        self.assertIsNone(barred.tell)
        self.assertEqual(self.progress.pending.state, State.NOT_RUN)
        self.assertIsNone(self.on(IN_DOUBT).tell)
        told = self.on(s.WriteConfirmed(3)).tell
        self.assertEqual((told.outcome, told.key_closed), (Outcome.NOT_RUN, True))

    def test_attempts_are_bounded(self):
        for attempt in range(1, SETTINGS.max_attempts + 1):
            following = (
                self.dispatched()
                if attempt == 1
                else self.on(
                    s.EndpointChosen(f"e{attempt}"), s.WriteConfirmed(attempt + 1)
                )
            )
            self.assertEqual(following.step.attempt, attempt)
            self.on(send_failed(Delivery.REFUSED))
        self.assertEqual(self.progress.pending.state, State.NOT_RUN)

    def test_a_lapsed_dispatch_is_written_anew_for_the_same_endpoint(self):
        self.dispatched()
        self.assertIsInstance(self.on(s.SendLapsed()).step, s.ChooseStep)
        self.on(s.EndpointChosen("e1"))
        self.assertEqual(self.progress.pending.attempt, 2)
        self.assertEqual(self.progress.expected_revision, 2)

    def test_an_answer_is_told_at_once_and_its_record_settled_later(self):
        self.dispatched()
        answered = self.on(s.Answered(ANSWER))
        self.assertEqual(answered.tell.outcome, Outcome.DONE)
        self.assertIsInstance(self.on(UNAVAILABLE).step, s.WriteStep)
        self.assertIsInstance(self.on(IN_DOUBT).step, s.WriteStep)
        self.assertIsInstance(self.on(s.WriteConfirmed(3)).step, s.StopStep)

    def test_an_answer_replaces_unknown_of_its_own_attempt_only(self):
        self.dispatched()
        self.on(s.Answered(ANSWER))
        self.assertIsInstance(self.on(self.other(7, attempt=2)).step, s.StopStep)
        not_run = self.other(7, state=State.NOT_RUN)
        self.assertIsInstance(self.on(not_run).step, s.StopStep)
        unknown = self.other(7, state=State.UNKNOWN)
        self.assertIsInstance(self.on(unknown).step, s.WriteStep)
        self.assertEqual(self.progress.expected_revision, 7)

    def test_a_row_deleted_meanwhile_proves_nothing(self):
        self.accepted()
        self.now_ms = SETTINGS.place_within_ms
        self.on(s.NoEndpoint(Failure(Reason.NO_ENDPOINT, "routing.choose")))
        deleted = self.on(s.WriteConflicted(None))
        self.assertEqual(deleted.tell.outcome, Outcome.UNKNOWN)

    def test_a_terminal_record_has_its_retention(self):
        self.dispatched()
        self.now_ms = 1_000
        self.on(s.Answered(ANSWER))
        settled = self.progress.pending
        self.assertEqual(settled.settled_wall_ms, 1_000)
        self.assertEqual(settled.retain_until_wall_ms, 1_000 + settled.retention_ms)
