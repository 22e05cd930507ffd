import asyncio
import unittest

import msgspec

from _monsoonpulley.commandline.explanation import explain_text
from _monsoonpulley.config.document import Version
from _monsoonpulley.explain.eventmemory import EventMemory
from _monsoonpulley.explain.explainer import ANSWER_TIMEOUT_MS
from _monsoonpulley.explain.subjects import (
    SubjectKind,
    duty_subject,
    request_subject,
    subjects_of,
)
from _monsoonpulley.journal.record import request_id_for
from _monsoonpulley.operator_wire import ExplainBody, ExplainLine
from _monsoonpulley.peers.membership import GONE_AFTER_MS
from _monsoonpulley.standins.plainservice import PlainServiceProfile
from _monsoonpulley.standins.world import EndpointPlan, EntryPlan
from testing.support import ALICE, run_world, small_deployment

SECRET = "what only alice knows"
ENTRIES = tuple(EntryPlan(f"entry-{n}", f"zone-{'ab'[n % 2]}") for n in range(1, 4))
THREE_ENTRIES = small_deployment(entries=ENTRIES)


async def request_explanation(world, entry, subject, query=""):
    answer = await world.operator(entry).request(
        "GET", f"/operator/explain/{subject}{query}"
    )
    return answer


async def fetch_explanation(world, entry, subject, query=""):
    answer = await request_explanation(world, entry, subject, query)
    return msgspec.json.decode(answer.body, type=ExplainBody)


async def submit_booking(world, entry, key="k"):
    headers = {"idempotency-key": key}
    caller = world.caller(entry, ALICE)
    body = {"note": SECRET}
    return await caller.post_json("/services/booking/orders", body, headers)


class ExplainTextTest(unittest.TestCase):
    def test_repeated_decisions_are_shown_once_with_their_count(self):
        retry = {"allowed": True, "wait_ms": 5, "attempts": 1, "rule": "a"}
        lines = [ExplainLine(n, "e1", "retry", {**retry, "wait_ms": n}) for n in (1, 2)]
        lines.append(ExplainLine(9, "e1", "retry", {**retry, "rule": "b"}))
        text = explain_text(ExplainBody("r", tuple(lines)))
        self.assertEqual(text.count("another attempt in"), 2)
        self.assertIn("and 1 more like it, the last at +1", text)

    def test_control_characters_from_callers_are_replaced(self):
        line = ExplainLine(1, "e1", "new_event", {"a": "x\x1b[2J\ny"})
        self.assertIn("a=x?[2J?y", explain_text(ExplainBody("r", (line,))))

    def test_unknown_events_and_lines_without_fields_print_generically(self):
        for event, fields in (("new_event", {"a": 1}), ("route", {"a": 1})):
            line = ExplainLine(1, "e1", event, fields)
            text = explain_text(ExplainBody("r", (line,)))
            self.assertIn(f"e1  {event}\n", text)
            self.assertIn("from: a=1", text)


class SubjectTest(unittest.TestCase):
    def test_a_line_is_found_under_each_of_its_subjects(self):
        for event, fields, expected in (
            ("admit", {"request_id": "r"}, {"r"}),
            ("route", {"request_id": "r", "chosen": "e"}, {"r", "instance:e"}),
            ("attempt_failed", {"attempt_id": "r.2", "endpoint": "e"}, None),
            ("peer_member", {"peer": "p"}, {"instance:p"}),
            ("instance_ready", {}, {"instance:me"}),
            ("lease_decision", {"duty": "d/1"}, {"duty:d/1"}),
            ("config_apply", {"author": "ana"}, {"config"}),
            (
                "rollout_decision",
                {"order": {"service": "s", "version": "v"}},
                {"rollout:s/v"},
            ),
            ("rollout_tripped", {"trip": Version("s", "v")}, {"rollout:s/v"}),
            ("evacuation", {"endpoint": "e", "steps": [{"request_id": "r"}]}, None),
            ("task_restarted", {}, set()),
        ):
            with self.subTest(event):
                found = {one.text for one in subjects_of(event, fields, "me")}
                self.assertEqual(
                    found, {"r", "instance:e"} if expected is None else expected
                )

    def test_a_line_without_the_expected_fields_raises_nothing(self):
        for event in ("journal", "evacuation", "attempt_failed", "order_decision"):
            self.assertEqual(subjects_of(event, {}), [])
        line = {"request_id": "r", "event_fields": {}}
        self.assertEqual([one.text for one in subjects_of("journal", line)], ["r"])


class EventMemoryTest(unittest.TestCase):
    def test_lines_of_many_requests_evict_no_line_of_a_duty(self):
        memory = EventMemory(dict.fromkeys(SubjectKind, 1_000), 1_000)
        memory.add([duty_subject("d")], "kept", 100, is_about_request=False)
        for number in range(1_000):
            about = [request_subject(str(number)), duty_subject("other")]
            memory.add(about, "x", 100, is_about_request=True)
        self.assertEqual(memory.lines("duty:d"), ["kept"])
        self.assertLessEqual(memory.size_bytes, 2 * 1_000 + 100)
        self.assertEqual(memory.lines("0"), [])
        self.assertEqual(memory.lines("999"), ["x"])

    def test_lines_of_a_subject_are_returned_in_the_order_written(self):
        memory = EventMemory()
        for number in range(4):
            memory.add([duty_subject("d")], str(number), 1, is_about_request=number % 2)
        self.assertEqual(memory.lines("duty:d"), ["0", "1", "2", "3"])


class AcrossInstancesTest(unittest.TestCase):
    def test_any_instance_explains_the_decisions_of_another(self):
        async def script(world):
            answer = await submit_booking(world, "entry-1")
            self.assertEqual(answer.status, 200, answer.body)
            await world.clock.sleep_ms(1_000)
            request_id = request_id_for("alice", "booking", "k")
            body = await fetch_explanation(world, "entry-3", request_id)
            self.assertEqual({line.instance for line in body.lines}, {"entry-1"})
            self.assertIn("request_ended", [line.event for line in body.lines])
            self.assertEqual(body.record.state, "done")
            self.assertEqual(body.missing, ())
            local = await fetch_explanation(
                world, "entry-3", request_id, "?scope=local"
            )
            self.assertEqual(local.lines, ())

        run_world(script, THREE_ENTRIES)

    def test_unreachable_and_slow_instances_are_named_and_others_answer(self):
        async def script(world):
            await submit_booking(world, "entry-1")
            request_id = request_id_for("alice", "booking", "k")
            world.kill_entry("entry-2")
            world.operator_faults.delay_ms["entry-3"] = 10 * ANSWER_TIMEOUT_MS
            started_ms = world.clock.now_ms()
            body = await fetch_explanation(world, "entry-1", request_id)
            elapsed_ms = world.clock.now_ms() - started_ms
            self.assertLessEqual(elapsed_ms, ANSWER_TIMEOUT_MS + 100)
            reasons = {one.name: one.reason for one in body.missing}
            self.assertEqual(set(reasons), {"entry-2", "entry-3"})
            self.assertIn("unavailable", reasons["entry-2"])
            self.assertIn("timeout", reasons["entry-3"])
            self.assertTrue(body.lines)

        run_world(script, THREE_ENTRIES)

    def test_not_found_is_answered_only_if_all_instances_answered(self):
        async def script(world):
            self.assertEqual(
                (await request_explanation(world, "entry-1", "nobody")).status, 404
            )
            world.kill_entry("entry-2")
            self.assertEqual(
                (await request_explanation(world, "entry-1", "nobody")).status, 200
            )

        run_world(script, THREE_ENTRIES)

    def test_a_customer_credential_is_refused_in_both_scopes(self):
        async def script(world):
            for query in ("", "?scope=local"):
                caller = world.caller("entry-1", ALICE)
                path = f"/operator/explain/config{query}"
                self.assertEqual((await caller.request("GET", path)).status, 401)

        run_world(script, THREE_ENTRIES)

    def test_configuration_duties_and_instances_are_explained(self):
        async def script(world):
            await world.clock.sleep_ms(20_000)
            config_body = await fetch_explanation(world, "entry-2", "config")
            instances = {line.instance for line in config_body.lines}
            self.assertEqual(instances, {"entry-1", "entry-2", "entry-3"})
            self.assertEqual([one.number for one in config_body.history], [1])
            lease_body = await fetch_explanation(world, "entry-2", "duty:recovery%2F0")
            self.assertIn("claim the lease of recovery/0", explain_text(lease_body))
            peer_body = await fetch_explanation(world, "entry-3", "instance:entry-1")
            events = {line.event for line in peer_body.lines}
            self.assertLessEqual({"instance_ready", "peer_member"}, events)
            times = [line.wall_ms for line in peer_body.lines]
            self.assertGreater(len({line.instance for line in peer_body.lines}), 1)
            self.assertEqual(times, sorted(times))

        run_world(script, THREE_ENTRIES)

    def test_a_request_adopted_from_a_killed_holder_has_a_timeline(self):
        async def script(world):
            task = asyncio.ensure_future(submit_booking(world, "entry-1"))
            await world.clock.sleep_ms(500)
            world.kill_entry("entry-1")
            world.platform.livelist.remove("entry-1")
            await task
            await world.clock.sleep_ms(4 * GONE_AFTER_MS)
            request_id = request_id_for("alice", "booking", "k")
            body = await fetch_explanation(world, "entry-2", request_id)
            adoptions = [one for one in body.lines if one.event == "journal_adoption"]
            self.assertEqual(adoptions[0].fields["holder"], "entry-1")
            self.assertEqual(body.record.holder, adoptions[0].instance)
            self.assertEqual([one.name for one in body.missing], ["entry-1"])
            text = explain_text(body)
            self.assertIn("adopts the dispatched record of entry-1", text)
            self.assertIn("rule: its holder is gone", text)
            self.assertIn("the endpoint reports running; ask intake-", text)
            times = [line.wall_ms for line in body.lines]
            self.assertEqual(times, sorted(times))

        slow = PlainServiceProfile(service_ms=1_500)
        run_world(
            script,
            small_deployment(
                entries=ENTRIES,
                endpoints=(
                    EndpointPlan("intake-1", "intake", "v1", "zone-a", slow),
                    EndpointPlan("intake-2", "intake", "v1", "zone-b", slow),
                ),
            ),
        )

    def test_explanations_contain_no_bodies_and_no_credentials(self):
        async def script(world):
            await submit_booking(world, "entry-1")
            chat = {
                "model": "question",
                "messages": [{"role": "user", "content": SECRET}],
            }
            caller = world.caller("entry-2", ALICE)
            answer = await caller.post_json("/v1/chat/completions", chat)
            subjects = [
                request_id_for("alice", "booking", "k"),
                answer.headers["x-request-id"],
                "config",
                "instance:engine-1",
                "instance:engine-2",
                "instance:intake-1",
            ]
            for subject in subjects:
                found = (
                    await request_explanation(world, "entry-3", subject)
                ).body.decode()
                for hidden in (SECRET, ALICE, "operator-credential"):
                    self.assertNotIn(hidden, found)
            chat_body = await fetch_explanation(world, "entry-3", subjects[1])
            self.assertIn("route", [line.event for line in chat_body.lines])

        run_world(script, THREE_ENTRIES)
