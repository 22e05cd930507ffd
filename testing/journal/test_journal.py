from __future__ import annotations

import asyncio
import json
import unittest

from _monsoonpulley.errors import Reason
from _monsoonpulley.journal.record import State, decode_record, row_key
from _monsoonpulley.outcome import Outcome

from .faults import CallEffect, Fault
from .world import RETENTION_MS, SETTINGS, World, submission

RESULT_TIMEOUT_S = 600
LARGE_BODY = b"book a frame of the gallery"


class WorldTest(unittest.TestCase):
    def setUp(self):
        self.world = World(1)
        self.addCleanup(self.world.close)

    def tearDown(self):
        self.assertEqual(self.world.violations, [])

    def result_of(self, task):
        bounded = asyncio.wait_for(task, RESULT_TIMEOUT_S)
        return self.world.loop.run_until_complete(bounded)

    def assert_done(self, index):
        result = self.result_of(self.world.submit(index, "key"))
        self.assertEqual(result.outcome, Outcome.DONE)

    def record(self, key="key"):
        row = self.world.table.rows.get(row_key(submission(key).request_id))
        return None if row is None else decode_record(row.value)

    def run_count(self, key="key"):
        request_id = submission(key).request_id
        return sum(
            1
            for _, answered_id in self.world.endpoints.answers
            if answered_id == request_id
        )

    def set_commit_faults(self, *faults):
        remaining = list(faults)
        self.world.table.next_fault = lambda: (
            remaining.pop(0) if remaining else Fault.NONE
        )

    def set_call_effects(self, *effects):
        remaining = list(effects)
        self.world.endpoints.next_effect = lambda: (
            remaining.pop(0) if remaining else CallEffect.ANSWER
        )


class JournalTest(WorldTest):
    def test_a_submission_runs_and_its_answer_is_recorded(self):
        result = self.result_of(self.world.submit(0, "key"))
        self.assertEqual(result.outcome, Outcome.DONE)
        self.assertEqual(result.answer.body, b"answer to book")
        self.world.tick(100)
        self.assertEqual(self.record().state, State.DONE)

    def test_a_repeated_key_gets_the_recorded_answer_anywhere(self):
        for index in (0, 0, 1, 2):
            result = self.result_of(self.world.submit(index, "key", LARGE_BODY))
            self.assertEqual(result.answer.body, b"answer to " + LARGE_BODY)
            self.world.tick(100)
        self.assertTrue(result.repeated)
        self.assertEqual(self.run_count(), 1)

    def test_a_repeat_waits_for_a_key_in_progress_on_any_instance(self):
        self.set_call_effects(CallEffect.SLOW)
        self.world.endpoints.delay_ms = lambda: 1_500
        tasks = [self.world.submit(index, "key") for index in (0, 0, 1)]
        outcomes = [self.result_of(task).outcome for task in tasks]
        self.assertEqual(outcomes, [Outcome.DONE] * 3)
        self.assertEqual(self.run_count(), 1)

    def test_a_repeat_of_a_long_run_gets_unknown_and_a_retry_time(self):
        self.set_call_effects(CallEffect.SLOW)
        self.world.endpoints.delay_ms = lambda: 2 * SETTINGS.repeat_wait_ms
        self.world.submit(0, "key")
        self.world.tick(100)
        result = self.result_of(self.world.submit(1, "key"))
        self.assertEqual(result.outcome, Outcome.UNKNOWN)
        self.assertIsNotNone(result.failure.retry_after_ms)

    def test_another_body_under_a_key_is_refused_on_any_instance(self):
        self.world.submit(0, "key")
        for index in (0, 1):
            result = self.result_of(self.world.submit(index, "key", LARGE_BODY))
            self.assertEqual(result.outcome, Outcome.NOT_RUN)
            self.assertEqual(result.failure.reason, Reason.KEY_REUSED)
        self.world.tick(100)
        self.assertEqual(self.world.objects.data, {})

    def test_nothing_is_sent_while_the_store_is_unavailable(self):
        self.world.table.is_down = self.world.objects.is_down = True
        for body in (b"book", LARGE_BODY):
            result = self.result_of(self.world.submit(0, "key", body))
            self.assertEqual(result.outcome, Outcome.NOT_RUN)
        self.world.table.is_down = self.world.objects.is_down = False
        self.world.heal()
        self.assertEqual(self.run_count(), 0)

    def test_a_repeat_gets_the_recorded_result_while_writes_fail(self):
        self.assert_done(0)
        self.world.tick(100)
        self.set_commit_faults(*[Fault.UNAVAILABLE] * 1_000)
        self.assert_done(1)
        reused = self.result_of(self.world.submit(1, "key", LARGE_BODY))
        self.assertEqual(reused.failure.reason, Reason.KEY_REUSED)
        new = self.result_of(self.world.submit(1, "new"))
        self.assertEqual(new.outcome, Outcome.NOT_RUN)

    def test_a_draining_instance_still_returns_recorded_results(self):
        self.assert_done(0)
        self.world.tick(100)
        journal = self.world.instances[0].journal
        self.world.loop.run_until_complete(journal.drain(0))
        self.assert_done(0)
        reused = self.result_of(self.world.submit(0, "key", LARGE_BODY))
        self.assertEqual(reused.failure.reason, Reason.KEY_REUSED)
        self.set_call_effects(CallEffect.SLOW)
        self.world.submit(1, "running")
        self.world.tick(100)
        running = self.result_of(self.world.submit(0, "running"))
        self.assertEqual(running.outcome, Outcome.UNKNOWN)

    def test_an_accept_in_doubt_at_the_start_of_an_outage_is_unknown(self):
        self.set_commit_faults(Fault.ANSWER_LOST, *[Fault.UNAVAILABLE] * 1_000)
        result = self.result_of(self.world.submit(0, "key"))
        self.assertEqual(result.outcome, Outcome.UNKNOWN)
        self.set_commit_faults()
        self.assertEqual(
            self.result_of(self.world.submit(0, "key")).outcome, Outcome.DONE
        )
        self.assertEqual(self.run_count(), 1)

    def test_a_delayed_accept_has_no_effect_after_it_was_settled(self):
        self.set_commit_faults(Fault.DELAYED)
        self.world.table.delay_ms = lambda: 5_000
        self.assertEqual(
            self.result_of(self.world.submit(0, "key")).outcome, Outcome.DONE
        )
        self.world.tick(10_000)
        self.assertEqual(self.record().state, State.DONE)

    def test_an_answer_is_returned_though_the_store_fails_after_the_call(self):
        self.set_commit_faults(Fault.NONE, *[Fault.UNAVAILABLE] * 20)
        result = self.result_of(self.world.submit(0, "key"))
        self.assertEqual(result.outcome, Outcome.DONE)
        self.assertEqual(self.record().state, State.DISPATCHED)
        self.world.tick(20_000)
        self.assertEqual(self.record().state, State.DONE)

    def test_first_writes_are_merged_only_if_an_endpoint_is_free(self):
        self.result_of(self.world.submit(0, "key"))
        self.world.tick(100)
        self.assertEqual(self.world.table.commits, 2)
        self.world.endpoints.has_room = False
        self.world.submit(0, "waits")
        self.world.tick(100)
        self.assertEqual(self.record("waits").state, State.ACCEPTED)
        self.world.endpoints.has_room = True
        self.world.tick(1_000)
        self.assertEqual(self.record("waits").state, State.DONE)
        self.assertEqual(self.world.table.commits, 5)

    def test_work_is_adopted_after_its_run_raised_an_exception(self):
        def fail(line):
            if "no endpoint yet" in line:
                raise RuntimeError("simulated fault in the log")

        self.world.on_log = fail
        self.world.instances[0].__init__("i0", 1, self.world)
        self.world.endpoints.has_room = False
        task = self.world.submit(0, "key")
        self.assertEqual(self.result_of(task).outcome, Outcome.UNKNOWN)
        self.assertEqual(self.record().state, State.ACCEPTED)
        self.world.endpoints.has_room = True
        self.world.recover(0)
        self.world.tick(1_000)
        self.assertEqual(self.record().state, State.DONE)

    def test_an_exception_in_the_choice_counts_as_no_endpoint(self):
        def fail(submission, tried):
            raise RuntimeError("simulated fault in the routing")

        self.world.instances[0].dispatcher.choose = fail
        result = self.result_of(self.world.submit(0, "key"))
        self.assertEqual((result.outcome, result.key_closed), (Outcome.NOT_RUN, True))
        self.assertEqual(result.failure.reason, Reason.INTERNAL)

    def test_work_continues_when_its_caller_disconnects(self):
        async def disconnect():
            journal = self.world.instances[0].journal
            caller = asyncio.create_task(journal.submit(submission("key")))
            await asyncio.sleep(0.003)
            caller.cancel()

        self.world.loop.run_until_complete(disconnect())
        self.world.tick(1_000)
        self.assertEqual(self.record().state, State.DONE)

    def test_a_call_that_raises_is_never_sent_again(self):
        def fail():
            raise RuntimeError("simulated fault in the adapter")

        self.world.endpoints.can_look_up = False
        self.world.endpoints.next_effect = fail
        result = self.result_of(self.world.submit(0, "key"))
        self.assertEqual(result.outcome, Outcome.UNKNOWN)

    def test_draining_waits_for_work_and_leaves_the_rest_to_adoption(self):
        self.set_call_effects(CallEffect.SLOW)
        self.world.endpoints.delay_ms = lambda: 500
        first = self.world.submit(0, "key")
        self.world.tick(100)
        self.world.endpoints.has_room = False
        second = self.world.submit(0, "left")
        self.world.tick(100)
        drain = self.world.instances[0].journal.drain(self.world.clock.now_ms() + 1_000)
        self.assertEqual(self.result_of(drain), 1)
        self.assertEqual(self.result_of(first).outcome, Outcome.DONE)
        self.assertEqual(self.result_of(second).outcome, Outcome.UNKNOWN)
        refused = self.result_of(self.world.submit(0, "new"))
        self.assertEqual(refused.failure.reason, Reason.SHUTTING_DOWN)
        self.assertEqual(self.record("left").state, State.ACCEPTED)
        self.world.crash(0)
        self.world.heal()
        self.assertEqual(self.record("left").state, State.DONE)

    def test_decisions_are_logged_with_inputs_and_without_bodies(self):
        lines = []
        self.world.on_log = lines.append
        world = self.world
        world.instances[0].__init__("i0", 2, world)
        self.result_of(world.submit(0, "key", b"secret-body"))
        decisions = [json.loads(line) for line in lines]
        self.assertTrue(all(each["event"] == "journal" for each in decisions))
        self.assertIn("dispatch is confirmed", [each["rule"] for each in decisions])
        self.assertNotIn("secret-body", "".join(lines))


class RecoveryTest(WorldTest):
    def pause_after_dispatch(self):
        """Pause instance 0 after its dispatch is confirmed and before it sends."""
        apply = self.world.table.apply

        def apply_and_pause(writes):
            result = apply(writes)
            if self.record().state is State.DISPATCHED:
                self.world.pause(0)
                self.world.table.apply = apply
            return result

        self.world.table.apply = apply_and_pause
        self.world.submit(0, "key")
        self.world.tick(1_000)
        self.assertEqual((self.record().state, self.run_count()), (State.DISPATCHED, 0))

    def test_accepted_work_of_a_crashed_instance_runs(self):
        self.world.endpoints.has_room = False
        self.world.submit(0, "key", LARGE_BODY)
        self.world.tick(100)
        self.world.crash(0)
        self.world.heal()
        self.assertEqual((self.record().state, self.run_count()), (State.DONE, 1))

    def test_an_adopted_dispatch_that_ran_is_done_with_its_answer(self):
        self.set_call_effects(CallEffect.SLOW)
        self.world.endpoints.delay_ms = lambda: 1_500
        self.world.submit(0, "key")
        self.world.tick(100)
        self.world.crash(0)
        self.world.heal()
        self.assertEqual((self.record().state, self.run_count()), (State.DONE, 1))

    def test_an_endpoint_refuses_a_paused_holder_after_a_lookup(self):
        self.pause_after_dispatch()
        self.world.recover(1, suspected=0)
        self.world.tick(1_000)
        self.assertEqual((self.record().state, self.run_count()), (State.DONE, 1))
        self.world.resume(0)
        self.world.tick(10_000)
        self.assertEqual(self.run_count(), 1)

    def test_a_paused_holder_may_still_turn_unknown_to_done(self):
        self.world.endpoints.can_look_up = False
        self.pause_after_dispatch()
        self.world.recover(1, suspected=0)
        self.world.tick(1_000)
        self.assertEqual((self.record().state, self.run_count()), (State.UNKNOWN, 0))
        self.world.resume(0)
        self.world.tick(100)
        self.assertEqual((self.record().state, self.run_count()), (State.DONE, 1))

    def test_a_holder_paused_past_the_retention_does_not_send(self):
        self.world.endpoints.can_look_up = False
        self.pause_after_dispatch()
        self.world.recover(1, suspected=0)
        self.world.tick(RETENTION_MS + 2_000)
        self.world.collect(1)
        self.world.tick(100)
        self.assertIsNone(self.record())
        self.assertEqual(
            self.result_of(self.world.submit(1, "key")).outcome, Outcome.DONE
        )
        self.world.resume(0)
        self.world.tick(10_000)
        self.assertEqual(self.run_count(), 1)

    def test_an_adoption_that_takes_effect_late_is_completed(self):
        self.world.endpoints.has_room = False
        self.world.submit(0, "key")
        self.world.tick(100)
        self.set_commit_faults(Fault.DELAYED)
        self.world.crash(0)
        self.world.recover(1)
        self.world.tick(5_000)
        self.world.endpoints.has_room = True
        self.world.tick(5_000)
        self.assertEqual(self.record().holder, "i1")
        self.assertTrue(self.record().is_terminal())

    def test_adoptions_are_logged(self):
        lines = []
        self.world.on_log = lines.append
        self.world.endpoints.has_room = False
        self.world.submit(0, "key")
        self.world.tick(100)
        self.world.crash(0)
        self.world.instances[1].__init__("i1", 1, self.world)
        self.world.recover(1)
        self.world.tick(100)
        found = [json.loads(line) for line in lines]
        adoptions = [each for each in found if each["event"] == "journal_adoption"]
        self.assertEqual([each["holder"] for each in adoptions], ["i0"])

    def test_a_live_holder_keeps_its_record(self):
        self.world.endpoints.has_room = False
        self.world.submit(0, "key")
        self.world.tick(100)
        self.world.recover(1)
        self.world.tick(100)
        self.assertEqual(self.record().holder, "i0")


class CollectionTest(WorldTest):
    def test_records_and_objects_are_deleted_only_after_retention(self):
        self.result_of(self.world.submit(0, "key", LARGE_BODY))
        self.world.tick(RETENTION_MS - 1_000)
        self.world.collect(1)
        self.world.tick(100)
        self.assertEqual(len(self.world.objects.data), 2)
        self.world.tick(2_000)
        self.world.collect(1)
        self.world.tick(100)
        self.assertEqual((self.world.table.rows, self.world.objects.data), ({}, {}))

    def test_records_in_progress_are_never_collected(self):
        self.world.endpoints.has_room = False
        self.world.submit(0, "key")
        self.world.tick(100)
        self.world.crash(0)
        self.world.tick(100 * RETENTION_MS)
        self.world.collect(1)
        self.world.tick(100)
        self.assertEqual(self.record().state, State.ACCEPTED)

    def test_a_record_is_kept_while_its_objects_can_not_be_deleted(self):
        self.result_of(self.world.submit(0, "key", LARGE_BODY))
        self.world.tick(2 * RETENTION_MS)
        self.world.objects.is_down = True
        self.world.collect(1)
        self.world.tick(100)
        self.assertEqual(self.record().state, State.DONE)
