"""Each promise is broken once on purpose: its check has to say so."""

from __future__ import annotations

import unittest

from .endpoints import STREAM_EVENT_COUNT
from .promises import CHECKS, STABLE_MS, find_violations
from .records import Call, Disturbance, DutyCall, Records, Run, Version

SENT_MS = 100_000


def run(**changes) -> Run:
    fields = {
        "endpoint": "endpoint-1",
        "service": "app",
        "arrived_ms": SENT_MS + 5,
        "was_run": True,
        "customer": "open",
        "request_body": b"work",
        "status": 200,
        "seal": "seal-1",
        "body": b"answer",
    }
    return Run(**{**fields, **changes})


def call(number: int = 1, **changes) -> Call:
    fields = {
        "id": f"instance-1-c1-{number}",
        "instance": "instance-1",
        "incarnation": 1,
        "kind": "app",
        "customer": "open",
        "sent_ms": SENT_MS,
        "body": b"work",
        "runs": [run()],
        "status": 200,
        "seal": "seal-1",
        "answered_id": f"instance-1-c1-{number}",
        "answer": b"answer",
        "is_whole": True,
        "ended_ms": SENT_MS + 50,
    }
    return Call(**{**fields, **changes})


def records(*calls: Call, **changes) -> Records:
    versions = [Version(1, 0, 10.0), Version(2, 50_000, 10.0)]
    by_id = {each.id: each for each in calls}
    return Records(calls=by_id, versions=versions, **changes)


def refused(number: int, status: int | None, **changes) -> Call:
    fields = {"status": status, "seal": "", "answer": b"", "runs": []}
    return call(number, **{**fields, **changes})


def duty(at_ms: int, holder: str, fencing_number: int, window: int = 1) -> DutyCall:
    return DutyCall(at_ms, holder, fencing_number, "/usage", window, {"open": window})


class TestChecks(unittest.TestCase):
    def assert_violates(self, name: str, seen: Records) -> None:
        lines = find_violations(seen)
        self.assertTrue(lines)
        self.assertEqual({line.partition(":")[0] for line in lines}, {name})

    def test_a_correct_run_has_no_violations(self):
        stream = call(
            2,
            kind="stream",
            events=list(range(1, STREAM_EVENT_COUNT + 1)),
            answer=b"events",
        )
        self.assertEqual(
            find_violations(records(call(), stream, call(3, kind="order"))), []
        )

    def test_every_check_has_a_test(self):
        for name in CHECKS:
            self.assertTrue(hasattr(self, f"test_{name}"), name)

    def test_run_at_most_once(self):
        self.assert_violates(
            "run_at_most_once",
            records(call(kind="order", runs=[run(), run(seal="other")])),
        )

    def test_a_retry_after_a_refusal_is_no_second_run(self):
        runs = [run(was_run=False, endpoint="endpoint-2"), run()]
        self.assertEqual(find_violations(records(call(kind="order", runs=runs))), [])

    def test_refused_requests_never_run(self):
        ran = refused(1, 503, kind="order", runs=[run()])
        self.assert_violates("refused_requests_never_run", records(ran))

    def test_answers_intact(self):
        for changes in (
            {"answer": b"answe"},
            {"seal": ""},
            {"seal": "seal-2"},
            {"answered_id": "another"},
        ):
            with self.subTest(changes):
                self.assert_violates("answers_intact", records(call(**changes)))

    def test_streams_in_order(self):
        for events, is_whole in (([1, 3], False), ([1, 1], False), ([1, 2], True)):
            stream = call(kind="stream", events=events, is_whole=is_whole)
            self.assert_violates("streams_in_order", records(stream))

    def test_only_sent_requests_run(self):
        for changes in (
            {"request_body": b"other"},
            {"customer": "limited"},
            {"service": "other"},
        ):
            with self.subTest(changes):
                seen = records(call(runs=[run(**changes)]))
                self.assert_violates("only_sent_requests_run", seen)
        unknown = records(unknown_runs=[("smuggled", run())])
        self.assert_violates("only_sent_requests_run", unknown)

    def test_no_requests_to_drained_endpoints(self):
        seen = records(call(), drained_ms={"endpoint-1": SENT_MS - 3_000})
        self.assert_violates("no_requests_to_drained_endpoints", seen)
        seen.disturbances.append(Disturbance("instance-1", "pause", 0, SENT_MS - 5_000))
        self.assertEqual(find_violations(seen), [])

    def test_no_return_to_older_configuration(self):
        shown = call(feature=2)
        later = refused(2, 404, feature=2, sent_ms=SENT_MS + 300, ended_ms=SENT_MS + 9)
        seen = records(shown, later)
        # Not calm for long enough to have to know it at all.
        seen.disturbances.append(Disturbance("store", "trouble", 0, SENT_MS))
        self.assert_violates("no_return_to_older_configuration", seen)

    def test_configurations_applied_in_time(self):
        late = refused(1, 404, feature=2, sent_ms=60_000, ended_ms=60_001)
        self.assert_violates("configurations_applied_in_time", records(late))
        denied = refused(1, 404)
        self.assert_violates("configurations_applied_in_time", records(denied))

    def test_quotas(self):
        limited = [
            call(
                n,
                customer="limited",
                runs=[run(customer="limited", arrived_ms=SENT_MS + n)],
            )
            for n in range(114)
        ]
        # (10 / s x 8 s + 12) x 1.1 + 12 = 113.2
        self.assertEqual(find_violations(records(*limited[:113])), [])
        self.assert_violates("quotas", records(*limited))

    def test_retry_budgets(self):
        again = [call(n, runs=[run(was_run=False), run()]) for n in range(38)]
        # 0.2 x 37 requests + 30 = 37.4
        self.assertEqual(find_violations(records(*again[:37])), [])
        self.assert_violates("retry_budgets", records(*again))

    def test_one_duty_holder(self):
        for calls in (
            [duty(0, "a", 1), duty(9_000, "b", 1, 2)],
            [duty(0, "a", 2), duty(9_000, "b", 1, 2)],
            [duty(0, "a", 1), duty(1_000, "b", 2, 2), duty(2_000, "a", 3, 3)],
            [duty(0, "a", 1), DutyCall(1, "a", 1, "/usage", 1, {"open": 9})],
        ):
            with self.subTest(calls):
                self.assert_violates("one_duty_holder", records(duty_calls=calls))
        turns = [duty(0, "a", 1), duty(1_000, "b", 2, 2), duty(4_000, "b", 2, 3)]
        self.assertEqual(find_violations(records(duty_calls=turns)), [])

    def test_answers_in_time(self):
        late = [refused(n, None, ended_ms=SENT_MS + 4_000) for n in range(8)]
        self.assert_violates("answers_in_time", records(*late))

    def test_no_answers_lost(self):
        lost = [refused(n, None, runs=[run()], is_whole=False) for n in range(4)]
        self.assert_violates("no_answers_lost", records(*lost))
        seen = records(*lost)
        disturbance = Disturbance("endpoint-1", "manner", 0, SENT_MS - STABLE_MS)
        seen.disturbances.append(disturbance)
        self.assertEqual(find_violations(seen), [])

    def test_stopping_instances_answer(self):
        seen = records(refused(1, None, runs=[run()], is_whole=False))
        stop = Disturbance("instance-1", "stop", SENT_MS + 1, SENT_MS + 3_000)
        seen.disturbances.append(stop)
        self.assert_violates("stopping_instances_answer", seen)

    def test_no_unexpected_exits(self):
        seen = records(exits=[("instance-1", 1)])
        self.assert_violates("no_unexpected_exits", seen)

    def test_service_recovers(self):
        seen = records(served_again_ms={"instance-1": -1})
        self.assert_violates("service_recovers", seen)
