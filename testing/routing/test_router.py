import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.endpoints.engine import CacheEvent, CacheEventKind
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.external.livelist import MemberState

from .fixtures import member, report, request, router

FIVE_ENDPOINTS = [member(f"w{i}") for i in range(5)]
INVARIANT = settings(
    max_examples=60, deadline=None, derandomize=True, database=None, print_blob=False
)


class ChooseTest(unittest.TestCase):
    def test_chooses_the_least_predicted_completion_and_reports_the_runner_up(self):
        subject = router(FIVE_ENDPOINTS[:3])
        for name, tokens in (("w0", 9_000), ("w1", 100), ("w2", 4_000)):
            subject.apply_load(name, report(1, waiting_tokens=tokens), now_ms=1)
        decision = subject.choose(request(), now_ms=1)
        self.assertEqual((decision.chosen, decision.runner_up), ("w1", "w2"))
        self.assertLess(decision.predicted_ms, decision.runner_up_ms)
        self.assertEqual(decision.candidate_count, 3)
        self.assertEqual(len(decision.candidates), 3)

    def test_prefers_a_cached_prefix_to_a_slightly_shorter_queue(self):
        subject = router(FIVE_ENDPOINTS[:2])
        subject.apply_load("w0", report(1, waiting_tokens=400), now_ms=1)
        subject.apply_load("w1", report(1), now_ms=1)
        blocks = tuple(range(100, 150))
        event = CacheEvent(1, CacheEventKind.STORED, blocks)
        subject.apply_cache_events("w0", [event])
        decision = subject.choose(request(prefix_blocks=blocks), now_ms=1)
        self.assertEqual(decision.chosen, "w0")
        self.assertEqual(decision.cached_tokens, 800)

    def test_finds_the_only_holder_of_a_prefix_among_100_endpoints(self):
        subject = router([member(f"w{i}") for i in range(100)])
        blocks = tuple(range(100, 150))
        event = CacheEvent(1, CacheEventKind.STORED, blocks)
        subject.apply_cache_events("w77", [event])
        route_request = request(prefix_blocks=blocks)
        chosen = {subject.choose(route_request, now_ms=1).chosen for _ in range(20)}
        self.assertEqual(chosen, {"w77"})

    def test_counts_requests_sent_since_a_stale_report(self):
        subject = router(FIVE_ENDPOINTS[:2])
        subject.apply_load("w0", report(1), now_ms=1)
        subject.apply_load("w1", report(1, waiting_tokens=1_000), now_ms=1)
        chosen = []
        for number in range(6):
            route_request = request(request_id=f"r{number}")
            decision = subject.choose(route_request, now_ms=2)
            subject.record_attempt_start(
                f"r{number}.1", route_request, decision, now_ms=2
            )
            chosen.append(decision.chosen)
        self.assertIn("w1", chosen[:3])

    def test_a_leaving_endpoint_gets_no_requests_while_the_member_list_lags(self):
        subject = router(FIVE_ENDPOINTS)
        for name in ("w0", "w1", "w2", "w3"):
            subject.mark_leaving(name, now_ms=1)
        subject.apply_members(FIVE_ENDPOINTS, now_ms=2)
        subject.apply_members([FIVE_ENDPOINTS[4]], now_ms=3)
        subject.apply_members(FIVE_ENDPOINTS, now_ms=4)
        self.assertEqual(subject.choose(request(), now_ms=5).chosen, "w4")

    def test_an_expired_deadline_is_refused(self):
        failure = router(FIVE_ENDPOINTS).choose(request(deadline_ms=10), now_ms=10)
        self.assertIs(failure.reason, Reason.TARGET_UNREACHABLE)
        self.assertIs(failure.delivery, Delivery.NOT_SENT)

    def test_no_live_endpoint_and_all_tried_have_different_reasons(self):
        none = router().choose(request(), now_ms=1)
        tried = router(FIVE_ENDPOINTS[:1]).choose(request(tried=("w0",)), now_ms=1)
        self.assertIs(none.reason, Reason.NO_ENDPOINT)
        self.assertIs(tried.reason, Reason.UNAVAILABLE)

    def test_a_canary_does_not_get_the_share_of_a_lost_version(self):
        subject = router([member("old"), member("new", version="v2")])
        subject.mark_leaving("old", now_ms=1)
        shares = {"v1": 0.95, "v2": 0.05}
        results = [subject.choose(request(versions=shares), 1) for _ in range(400)]
        sent_count = sum(not isinstance(result, Failure) for result in results)
        self.assertLess(sent_count, 50)

    def test_only_the_earlier_version_replaces_a_lost_one(self):
        shares = {"v1": 0.2, "v2": 0.8}
        for lost, served in (("old", "new"), ("new", "old")):
            subject = router([member("old"), member("new", version="v2")])
            subject.mark_leaving(lost, now_ms=1)
            results = [subject.choose(request(versions=shares), 1) for _ in range(400)]
            chosen = [r.chosen for r in results if not isinstance(r, Failure)]
            self.assertEqual(set(chosen), {served})
            failed = len(results) - len(chosen)
            self.assertEqual(failed > 0, lost == "old")

    def test_versions_of_full_share_are_fallbacks_for_each_other(self):
        subject = router([member("old"), member("new", version="v2")])
        subject.mark_leaving("new", now_ms=1)
        shares = {"v1": 1.0, "v2": 1.0}
        for _ in range(40):
            self.assertEqual(subject.choose(request(versions=shares), 1).chosen, "old")

    def test_no_version_gets_traffic_if_all_shares_are_zero(self):
        subject = router([member("old"), member("new", version="v2")])
        failure = subject.choose(request(versions={"v1": 0.0, "v2": 0.0}), 1)
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.delivery, Delivery.NOT_SENT)

    def test_a_plain_service_avoids_its_slow_endpoint(self):
        plain = [member(f"p{i}", service="intake") for i in range(2)]
        subject = router(plain)
        fresh_request = request(service="intake", prompt_tokens=0, max_tokens=0)
        for number, elapsed_ms in (("p0", 400), ("p1", 20)) * 3:
            tried = ("p1",) if number == "p0" else ("p0",)
            route_request = request(service="intake", tried=tried)
            decision = subject.choose(route_request, now_ms=0)
            subject.record_attempt_start("a", route_request, decision, now_ms=0)
            subject.record_attempt_end("a", now_ms=elapsed_ms)
        self.assertEqual(subject.choose(fresh_request, now_ms=500).chosen, "p1")


class ZoneTest(unittest.TestCase):
    def setUp(self):
        self.subject = router([member("near"), member("far", zone="b")])
        self.subject.apply_load("near", report(1, waiting_tokens=80_000), now_ms=1)
        self.subject.apply_load("far", report(1), now_ms=1)

    def test_overflows_when_local_would_miss_the_target(self):
        decision = self.subject.choose(request(target_ms=3_000), now_ms=1)
        self.assertEqual(decision.chosen, "far")
        self.assertEqual(decision.rule, "predicted-completion/elsewhere")

    def test_stays_local_when_local_meets_the_target(self):
        self.assertEqual(self.subject.choose(request(), now_ms=1).chosen, "near")

    def test_an_unreachable_zone_is_not_used(self):
        self.subject.set_unreachable_zones(frozenset({"b"}))
        decision = self.subject.choose(request(target_ms=3_000), now_ms=1)
        self.assertEqual(decision.chosen, "near")


class HerdTest(unittest.TestCase):
    def test_many_instances_do_not_all_choose_the_one_idle_endpoint(self):
        members = [member(f"w{i}") for i in range(10)]
        chosen = Counter()
        for seed in range(60):
            instance = router(members, seed=seed)
            instance.set_peer_count(59)
            for number in range(20):
                self._send(instance, number, number * 10)
            for number in range(10):
                tokens = 0 if number == 0 else 2_000
                instance.apply_load(f"w{number}", report(200, tokens), now_ms=400)
            for number in range(20, 23):
                chosen[self._send(instance, number, 400)] += 1
        self.assertLessEqual(chosen["w0"], 2 * 180 // 10)

    def _send(self, instance, number, now_ms):
        route_request = request(request_id=f"r{number}")
        decision = instance.choose(route_request, now_ms)
        instance.record_attempt_start(f"r{number}.1", route_request, decision, now_ms)
        return decision.chosen


class TieTest(unittest.TestCase):
    def test_instances_without_fresh_reports_spread_over_near_ties(self):
        members = [member(f"w{i}") for i in range(10)]
        shared = tuple(range(10))
        chosen = Counter()
        for seed in range(60):
            instance = router(members, seed=seed)
            event = CacheEvent(1, CacheEventKind.STORED, shared[:4])
            instance.apply_cache_events("w3", [event])
            route_request = request(prompt_tokens=4_000, prefix_blocks=shared)
            chosen[instance.choose(route_request, now_ms=1).chosen] += 1
        self.assertLessEqual(max(chosen.values()), 60 // 3)

    def test_long_answers_are_admitted_before_any_answer_was_observed(self):
        subject = router(FIVE_ENDPOINTS)
        route_request = request(max_tokens=4_000, target_ms=2_000)
        decision = subject.choose(route_request, now_ms=1)
        self.assertEqual(
            subject.admit(route_request, decision, "c", "quick", 1).rule, "room"
        )


class AdmitTest(unittest.TestCase):
    def test_admission_is_limited_to_this_instance_share_of_the_slots(self):
        subject = router(FIVE_ENDPOINTS[:2])
        subject.set_peer_count(3)
        for name in ("w0", "w1"):
            subject.apply_load(name, report(1, max_running=4), now_ms=1)
        subject.update_slots()
        rules = []
        for number in range(3):
            route_request = request(request_id=f"r{number}")
            decision = subject.choose(route_request, now_ms=1)
            rules.append(subject.admit(route_request, decision, "c", "quick", 1).rule)
        self.assertEqual(rules, ["room", "room", "fair-queue"])


class RouterBreakerTest(unittest.TestCase):
    def _fail_attempt(self, subject, now_ms=1, delivery=Delivery.MAYBE, **changes):
        route_request = request(**changes)
        decision = subject.choose(route_request, now_ms)
        if isinstance(decision, Failure):
            return decision
        subject.record_attempt_start("x", route_request, decision, now_ms)
        failure = Failure(Reason.PEER_ERROR, "call", delivery=delivery)
        subject.record_attempt_end("x", now_ms, failure)
        return decision

    def test_a_failing_endpoint_gets_no_more_requests(self):
        subject = router(FIVE_ENDPOINTS[:2])
        for _ in range(5):
            self._fail_attempt(subject, tried=("w1",))
        chosen = {subject.choose(request(), now_ms=2).chosen for _ in range(20)}
        self.assertEqual(chosen, {"w1"})

    def test_an_endpoint_that_asks_for_a_pause_gets_no_request_until_its_end(self):
        subject = router(FIVE_ENDPOINTS[:2])
        refusal = Failure(
            Reason.UNAVAILABLE, "e", delivery=Delivery.REFUSED, retry_after_ms=2_000
        )
        for attempt in ("r1.1", "r1.2"):
            decision = subject.choose(request(), now_ms=1)
            subject.record_attempt_start(attempt, request(), decision, now_ms=1)
            subject.record_attempt_end(attempt, 1, refusal)
            if attempt == "r1.1":
                others = [subject.choose(request(), now_ms=5) for _ in range(9)]
                self.assertNotIn(decision.chosen, {each.chosen for each in others})
        failure = subject.choose(request(), now_ms=501)
        self.assertEqual(
            (failure.reason, failure.retry_after_ms), (Reason.UNAVAILABLE, 1_500)
        )
        self.assertIn("pause", failure.detail)
        self.assertNotIsInstance(subject.choose(request(), now_ms=2_001), Failure)

    def test_a_pause_outlasts_the_loss_of_the_endpoint_s_list_entry(self):
        subject = router(FIVE_ENDPOINTS[:1])
        decision = subject.choose(request(), now_ms=1)
        subject.record_attempt_start("r1.1", request(), decision, now_ms=1)
        refusal = Failure(
            Reason.UNAVAILABLE, "e", delivery=Delivery.REFUSED, retry_after_ms=2_000
        )
        subject.record_attempt_end("r1.1", 1, refusal)
        subject.apply_members([], 100)
        subject.apply_members(FIVE_ENDPOINTS[:1], 200)
        self.assertIsInstance(subject.choose(request(), now_ms=500), Failure)
        self.assertNotIsInstance(subject.choose(request(), now_ms=2_002), Failure)

    def test_refusals_open_no_breaker(self):
        subject = router(FIVE_ENDPOINTS[:1])
        for _ in range(50):
            self._fail_attempt(subject, delivery=Delivery.REFUSED)
        self.assertEqual(subject.choose(request(), now_ms=2).chosen, "w0")

    def test_a_version_failing_on_one_route_is_avoided_on_that_route_only(self):
        new = [member(f"n{i}", version="v2") for i in range(30)]
        subject = router([member("old"), *new])
        for _ in range(24):
            self._fail_attempt(subject, route="/x", versions={"v2": 1.0})
        shares = {"v1": 0.5, "v2": 0.5}
        chosen = {
            route: {
                subject.choose(request(route=route, versions=shares), 2).version
                for _ in range(40)
            }
            for route in ("/x", "/y")
        }
        self.assertEqual(chosen, {"/x": {"v1"}, "/y": {"v1", "v2"}})

    def test_unreachable_endpoints_do_not_open_the_version_breaker(self):
        subject = router([member(f"w{i}") for i in range(30)])
        failed = {
            self._fail_attempt(subject, delivery=Delivery.NOT_SENT).chosen
            for _ in range(29)
        }
        self.assertEqual(len(failed), 29, "each endpoint is avoided after one failure")
        self.assertNotIn(subject.choose(request(), 2).chosen, failed)

    def test_calls_stop_when_all_endpoints_fail(self):
        subject = router(FIVE_ENDPOINTS)
        sent_count = sum(
            not isinstance(self._fail_attempt(subject), Failure) for _ in range(500)
        )
        self.assertLessEqual(sent_count, 5 * 5)
        refusal = self._fail_attempt(subject)
        self.assertIs(refusal.reason, Reason.UNAVAILABLE)
        self.assertGreater(refusal.retry_after_ms, 0)


class InvariantTest(unittest.TestCase):
    @INVARIANT
    @given(
        seed=st.integers(0, 1_000),
        count=st.integers(1, 40),
        tried=st.sets(st.integers(0, 39), max_size=12),
        leaving=st.sets(st.integers(0, 39), max_size=30),
        policy=st.sampled_from(
            ["predicted-completion", "round-robin", "least-outstanding"]
        ),
    )
    def test_never_chooses_a_leaving_or_tried_endpoint(
        self, seed, count, tried, leaving, policy
    ):
        rng = random.Random(seed)
        members = [member(f"w{i}") for i in range(count)]
        subject = router(members, seed=seed, policy=policy)
        for number in leaving:
            if rng.random() < 0.5:
                subject.mark_leaving(f"w{number}", now_ms=1)
            elif number < count:
                members[number] = member(f"w{number}", state=MemberState.LEAVING)
        subject.apply_members(members, now_ms=2)
        subject.apply_members([member(f"w{i}") for i in range(count)], now_ms=3)
        excluded = {f"w{i}" for i in leaving | tried}
        names = tuple(f"w{i}" for i in tried)
        result = subject.choose(request(tried=names), now_ms=4)
        if isinstance(result, Failure):
            self.assertLessEqual({f"w{i}" for i in range(count)}, excluded)
        else:
            self.assertNotIn(result.chosen, excluded)
            self.assertNotIn(result.runner_up, excluded)


if __name__ == "__main__":
    unittest.main()
