"""Records that break each promise on purpose, which its check must report."""

from __future__ import annotations

import unittest

from .endpoints import STREAM_EVENT_COUNT
from .promises import CHECKS, STABLE_MS, find_violations
from .records import (
    Call,
    Crash,
    Disturbance,
    DutyCall,
    Records,
    Run,
    Statement,
    StatementKind,
    Version,
)
from .world import LOCAL_ZONE, zone_of

SENT_MS = 100_000


def make_run(**changes) -> Run:
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


def make_call(number: int = 1, **changes) -> Call:
    fields = {
        "id": f"instance-1-c1-{number}",
        "instance": "instance-1",
        "incarnation": 1,
        "kind": "app",
        "customer": "open",
        "sent_ms": SENT_MS,
        "body": b"work",
        "runs": [make_run()],
        "status": 200,
        "seal": "seal-1",
        "answered_id": f"instance-1-c1-{number}",
        "answer": b"answer",
        "is_whole": True,
        "ended_ms": SENT_MS + 50,
    }
    return Call(**{**fields, **changes})


def make_records(*calls: Call, **changes) -> Records:
    versions = [Version(1, 0, 10.0), Version(2, 50_000, 10.0)]
    by_id = {each.id: each for each in calls}
    return Records(calls=by_id, versions=versions, **changes)


def unsuccessful_call(number: int, status: int | None, **changes) -> Call:
    fields = {"status": status, "seal": "", "answer": b"", "runs": []}
    return make_call(number, **{**fields, **changes})


def duty_call(
    at_ms: int, holder: str, fencing_number: int, window: int = 1
) -> DutyCall:
    return DutyCall(at_ms, holder, fencing_number, "/usage", window, {"open": window})


class TestChecks(unittest.TestCase):
    def assert_violates(self, name: str, seen: Records) -> None:
        lines = find_violations(seen)
        self.assertTrue(lines)
        self.assertEqual({line.partition(":")[0] for line in lines}, {name})

    def test_a_correct_run_has_no_violations(self):
        stream = make_call(
            2,
            kind="stream",
            events=list(range(1, STREAM_EVENT_COUNT + 1)),
            answer=b"events",
        )
        self.assertEqual(
            find_violations(
                make_records(make_call(), stream, make_call(3, kind="order"))
            ),
            [],
        )

    def test_every_check_has_a_test(self):
        for name in CHECKS:
            self.assertTrue(hasattr(self, f"test_{name}"), name)

    def test_run_at_most_once(self):
        self.assert_violates(
            "run_at_most_once",
            make_records(
                make_call(kind="order", runs=[make_run(), make_run(seal="other")])
            ),
        )

    def test_a_retry_after_a_refusal_is_no_second_run(self):
        runs = [make_run(was_run=False, endpoint="endpoint-2"), make_run()]
        self.assertEqual(
            find_violations(make_records(make_call(kind="order", runs=runs))), []
        )

    def test_refused_requests_never_run(self):
        refused = unsuccessful_call(1, 503, kind="order", runs=[make_run()])
        self.assert_violates("refused_requests_never_run", make_records(refused))

    def test_answers_intact(self):
        for changes in (
            {"answer": b"answe"},
            {"seal": ""},
            {"seal": "seal-2"},
            {"answered_id": "another"},
        ):
            with self.subTest(changes):
                self.assert_violates(
                    "answers_intact", make_records(make_call(**changes))
                )

    def test_streams_in_order(self):
        for events, is_whole in (([1, 3], False), ([1, 1], False), ([1, 2], True)):
            stream = make_call(kind="stream", events=events, is_whole=is_whole)
            self.assert_violates("streams_in_order", make_records(stream))

    def test_only_sent_requests_run(self):
        for changes in (
            {"request_body": b"other"},
            {"customer": "limited"},
            {"service": "other"},
        ):
            with self.subTest(changes):
                seen = make_records(make_call(runs=[make_run(**changes)]))
                self.assert_violates("only_sent_requests_run", seen)
        unknown = make_records(unknown_runs=[("smuggled", make_run())])
        self.assert_violates("only_sent_requests_run", unknown)

    def test_no_requests_to_drained_endpoints(self):
        seen = make_records(make_call(), drained_ms={"endpoint-1": SENT_MS - 3_000})
        self.assert_violates("no_requests_to_drained_endpoints", seen)
        seen.disturbances.append(Disturbance("instance-1", "pause", 0, SENT_MS - 5_000))
        self.assertEqual(find_violations(seen), [])

    def test_evacuations_kept(self):
        arrived_ms = SENT_MS + 5
        zone = zone_of("endpoint-1")
        time = Disturbance(zone, "evacuation", arrived_ms - 5_000)
        seen = make_records(make_call(), evacuations=[time])
        self.assertEqual(find_violations(seen), [])
        time.from_ms -= 1
        self.assert_violates("evacuations_kept", seen)
        time.until_ms = arrived_ms
        self.assertEqual(find_violations(seen), [])

    def test_regions_kept(self):
        for number in range(1, 9):
            run = make_run(endpoint=f"endpoint-{number}")
            seen = make_records(make_call(kind="local", runs=[run]))
            if zone_of(run.endpoint) == LOCAL_ZONE:
                self.assertEqual(find_violations(seen), [])
            else:
                self.assert_violates("regions_kept", seen)

    def test_no_return_to_older_configuration(self):
        shown = make_call(feature=2)
        later = unsuccessful_call(
            2, 404, feature=2, sent_ms=SENT_MS + 300, ended_ms=SENT_MS + 9
        )
        seen = make_records(shown, later)
        # Disturbed too recently for `configurations_applied_in_time` to apply.
        seen.disturbances.append(Disturbance("store", "trouble", 0, SENT_MS))
        self.assert_violates("no_return_to_older_configuration", seen)

    def test_configurations_applied_in_time(self):
        late = unsuccessful_call(1, 404, feature=2, sent_ms=60_000, ended_ms=60_001)
        self.assert_violates("configurations_applied_in_time", make_records(late))
        denied = unsuccessful_call(1, 404)
        self.assert_violates("configurations_applied_in_time", make_records(denied))

    def test_quotas(self):
        limited = [
            make_call(
                n,
                customer="limited",
                runs=[make_run(customer="limited", arrived_ms=SENT_MS + n)],
            )
            for n in range(114)
        ]
        # (10 / s x 8 s + 12) x 1.1 + 12 = 113.2
        self.assertEqual(find_violations(make_records(*limited[:113])), [])
        self.assert_violates("quotas", make_records(*limited))

    def test_retry_budgets(self):
        retried = [
            make_call(n, runs=[make_run(was_run=False), make_run()]) for n in range(38)
        ]
        # 0.2 x 37 requests + 30 = 37.4
        self.assertEqual(find_violations(make_records(*retried[:37])), [])
        self.assert_violates("retry_budgets", make_records(*retried))

    def test_one_duty_holder(self):
        for calls in (
            [duty_call(0, "a", 1), duty_call(9_000, "b", 1, 2)],
            [duty_call(0, "a", 2), duty_call(9_000, "b", 1, 2)],
            [
                duty_call(0, "a", 1),
                duty_call(1_000, "b", 2, 2),
                duty_call(2_000, "a", 3, 3),
            ],
            [duty_call(0, "a", 1), DutyCall(1, "a", 1, "/usage", 1, {"open": 9})],
        ):
            with self.subTest(calls):
                self.assert_violates("one_duty_holder", make_records(duty_calls=calls))
        turns = [
            duty_call(0, "a", 1),
            duty_call(1_000, "b", 2, 2),
            duty_call(4_000, "b", 2, 3),
        ]
        self.assertEqual(find_violations(make_records(duty_calls=turns)), [])

    def test_answers_in_time(self):
        late = [unsuccessful_call(n, None, ended_ms=SENT_MS + 4_000) for n in range(8)]
        self.assert_violates("answers_in_time", make_records(*late))

    def test_no_answers_lost(self):
        lost = [
            unsuccessful_call(n, None, runs=[make_run()], is_whole=False)
            for n in range(4)
        ]
        self.assert_violates("no_answers_lost", make_records(*lost))
        seen = make_records(*lost)
        disturbance = Disturbance("endpoint-1", "manner", 0, SENT_MS - STABLE_MS)
        seen.disturbances.append(disturbance)
        self.assertEqual(find_violations(seen), [])

    def test_stopping_instances_answer(self):
        seen = make_records(
            unsuccessful_call(1, None, runs=[make_run()], is_whole=False)
        )
        stop = Disturbance("instance-1", "stop", SENT_MS + 1, SENT_MS + 3_000)
        seen.disturbances.append(stop)
        self.assert_violates("stopping_instances_answer", seen)

    def test_late_requests_whole_or_refused(self):
        seen = make_records(make_call(kind="report", events=[1], is_whole=False))
        stop = Disturbance("instance-1", "stop", SENT_MS - 3_001, SENT_MS + 3_000)
        seen.disturbances.append(stop)
        self.assert_violates("late_requests_whole_or_refused", seen)

    def test_leaving_endpoints_get_nothing(self):
        told = Statement(
            StatementKind.LEAVING, "endpoint-1", "instance-1", SENT_MS - 3_100, 1
        )
        seen = make_records(make_call(), statements=[told])
        self.assert_violates("leaving_endpoints_get_nothing", seen)
        # A cut excuses nothing, unlike a restart.
        link = Disturbance("instance-1", "store link", 0, SENT_MS)
        seen.disturbances.append(link)
        self.assert_violates("leaving_endpoints_get_nothing", seen)
        kill = Disturbance("instance-1", "kill", SENT_MS - 3_000, SENT_MS - 2_000)
        seen.disturbances.append(kill)
        self.assertEqual(find_violations(seen), [])

    def test_pauses_kept(self):
        told = Statement(StatementKind.PAUSE, "endpoint-1", "instance-1", SENT_MS, 2.0)
        calls = [
            make_call(n, runs=[make_run(arrived_ms=SENT_MS + ms)])
            for n, ms in enumerate((400, 600, 1_000, 1_900, 2_100))
        ]
        seen = make_records(*calls, statements=[told])
        self.assert_violates("pauses_kept", seen)
        del seen.calls[calls[1].id]
        self.assertEqual(find_violations(seen), [])

    def test_cold_endpoints_get_few_requests(self):
        # 1 / s x 1.5 + 5 = 6.5
        calls = [
            make_call(n, runs=[make_run(arrived_ms=SENT_MS + 50 * n)]) for n in range(7)
        ]
        start = Disturbance("endpoint-1", "start", SENT_MS - 500, SENT_MS + 2_500)
        turn = Disturbance("endpoint-1", "turn", SENT_MS - 500, SENT_MS + 6_500)
        seen = make_records(*calls, cold=[start])
        self.assert_violates("cold_endpoints_get_few_requests", seen)
        # Instances don't know at once of one that turns cold.
        self.assertEqual(find_violations(make_records(*calls, cold=[turn])), [])
        turn.from_ms -= 3_000
        seen = make_records(*calls, cold=[turn])
        self.assert_violates("cold_endpoints_get_few_requests", seen)
        seen.disturbances.append(Disturbance("instance-1", "pause", 0, SENT_MS))
        self.assertEqual(find_violations(seen), [])
        del calls[0]
        self.assertEqual(find_violations(make_records(*calls, cold=[start])), [])

    def test_rate_limits_kept(self):
        told = [
            Statement(StatementKind.LIMIT, "endpoint-1", "instance-1", at_ms, 0.5)
            for at_ms in (SENT_MS - 6_000, SENT_MS + 2_000)
        ]
        calls = [
            make_call(n, runs=[make_run(arrived_ms=SENT_MS + 100 * n)])
            for n in range(9)
        ]
        # 1.5 x 0.5 / s x 4 s + 5 = 8
        seen = make_records(*calls, statements=told)
        self.assert_violates("rate_limits_kept", seen)
        del seen.calls[calls[0].id]
        self.assertEqual(find_violations(seen), [])

    def test_a_limit_that_ended_does_not_bind_until_the_next_one(self):
        times_ms = (SENT_MS - 6_000, SENT_MS - 500, SENT_MS + 1_500, SENT_MS + 9_000)
        told = [
            Statement(StatementKind.LIMIT, "endpoint-1", "instance-1", at_ms, 0.5)
            for at_ms in times_ms
        ]
        calls = [
            make_call(n, runs=[make_run(arrived_ms=SENT_MS + 100 * n)])
            for n in range(9)
        ]
        seen = make_records(*calls, statements=told)
        self.assert_violates("rate_limits_kept", seen)
        seen.limited.append(
            Disturbance("endpoint-1", "limit", times_ms[0], times_ms[1] + 1)
        )
        self.assertEqual(find_violations(seen), [])

    def test_crashing_requests_bounded(self):
        for cause, crash_count in (("part-a", 5), ("body-a", 3)):
            crashes = [
                Crash(f"endpoint-{n}", cause, SENT_MS - STABLE_MS - 1)
                for n in range(crash_count)
            ]
            calls = [make_call(n, cause=cause) for n in range(4)]
            seen = make_records(*calls, crashes=crashes)
            self.assert_violates("crashing_requests_bounded", seen)
            del seen.calls[calls[0].id]
            self.assertEqual(find_violations(seen), [])

    def test_brittle_endpoints_seldom_fall(self):
        time = Disturbance("app", "brittle", SENT_MS, SENT_MS + 9_000)
        falls = [Crash(f"endpoint-{n}", "app", SENT_MS + 5_000) for n in range(3)]
        seen = make_records(make_call(), brittle=[time], falls=falls)
        self.assert_violates("brittle_endpoints_seldom_fall", seen)
        seen.disturbances.append(
            Disturbance("instance-1", "kill", SENT_MS + 2_000, SENT_MS + 2_500)
        )
        self.assertEqual(find_violations(seen), [])

    def test_sound_requests_begin_beside_crashing_ones(self):
        crashed_ms = SENT_MS - 3 * STABLE_MS
        crashes = [Crash(f"endpoint-{n}", "part-a", crashed_ms) for n in range(5)]
        faulty = [
            unsuccessful_call(
                n, 503, cause="part-a", sent_ms=sent_ms, ended_ms=sent_ms + 50
            )
            for n, sent_ms in enumerate((crashed_ms - 100, SENT_MS + 100))
        ]
        before = [
            make_call(100 + n, sent_ms=crashed_ms - 200, ended_ms=crashed_ms - 150)
            for n in range(20)
        ]
        meanwhile = [unsuccessful_call(200 + n, 503) for n in range(20)]
        seen = make_records(*faulty, *before, *meanwhile, crashes=crashes)
        self.assert_violates("sound_requests_begin_beside_crashing_ones", seen)
        for call in meanwhile[:10]:
            seen.calls[call.id] = make_call(int(call.id.rpartition("-")[2]))
        self.assertEqual(find_violations(seen), [])

    def test_no_unexpected_exits(self):
        seen = make_records(exits=[("instance-1", 1)])
        self.assert_violates("no_unexpected_exits", seen)

    def test_limits_of_instances_kept(self):
        for changes in ({"memory_mb": 121.0}, {"descriptors": 601}):
            seen = make_records(**changes)
            self.assert_violates("limits_of_instances_kept", seen)
        seen = make_records(memory_mb=120.0, descriptors=600)
        self.assertEqual(find_violations(seen), [])

    def test_service_recovers(self):
        seen = make_records(served_again_ms={"instance-1": -1})
        self.assert_violates("service_recovers", seen)
