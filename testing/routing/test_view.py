import unittest

from _monsoonpulley.external.livelist import MemberState
from _monsoonpulley.routing.prediction import (
    expected_peer_tokens,
    predict_model,
    water_fill,
)
from _monsoonpulley.routing.priority import MAX_PRIORITY, engine_priority
from _monsoonpulley.routing.view import FleetView

from .fixtures import member, report


class ReportTest(unittest.TestCase):
    def setUp(self):
        self.fleet = FleetView()
        self.fleet.apply_members([member("w0")], 0)
        self.view = self.fleet.endpoints["w0"]

    def _queue_ms(self, now_ms):
        return predict_model(self.view, self.fleet, 800, 0, 50, 0.0, now_ms).queue_ms

    def test_an_older_report_is_ignored(self):
        self.fleet.apply_load("w0", report(200, waiting_tokens=8_000), 300)
        self.fleet.apply_load("w0", report(100), 310)
        self.assertEqual(self.view.report.waiting_tokens, 8_000)
        self.assertEqual(self.view.measured_ms, 200)

    def test_a_report_is_dated_by_its_wall_clock_age(self):
        self.fleet.apply_load("w0", report(5_000), now_ms=300, wall_ms=5_200)
        self.assertEqual(self.view.measured_ms, 100)

    def test_a_report_from_a_clock_ahead_counts_as_fresh(self):
        self.fleet.apply_load("w0", report(9_000), now_ms=300)
        self.assertEqual(self.view.measured_ms, 300)

    def test_prefill_since_the_report_is_subtracted(self):
        self.fleet.apply_load("w0", report(0, waiting_tokens=8_000), 0)
        self.assertAlmostEqual(self._queue_ms(0), 1_000)
        self.assertAlmostEqual(self._queue_ms(600), 400)

    def test_requests_sent_after_the_report_are_added(self):
        self.fleet.apply_load("w0", report(100), 150)
        self.fleet.record_attempt_start("early.1", "w0", 800, 50, 50)
        self.fleet.apply_load("w0", report(120), 150)
        self.assertEqual(self.view.unreported_tokens, 0)
        self.fleet.record_attempt_start("late.1", "w0", 1_600, 50, 150)
        self.assertEqual(self.view.unreported_tokens, 1_600)
        self.assertGreaterEqual(self._queue_ms(150), 200)

    def test_sent_requests_queue_behind_reported_ones(self):
        self.fleet.apply_load("w0", report(100, waiting_tokens=8_000), 100)
        self.fleet.record_attempt_start("r1.1", "w0", 1_600, 50, 101)
        self.assertGreaterEqual(self._queue_ms(101), 1_190)

    def test_counts_return_to_zero_whatever_the_order_of_ends(self):
        for number in range(6):
            self.fleet.record_attempt_start(f"r{number}.1", "w0", 100, 10, number)
        self.fleet.record_token("r0.1", 10)
        self.fleet.apply_load("w0", report(3), 12)
        for number in (3, 0, 5, 1, 4, 2):
            self.fleet.record_attempt_end(f"r{number}.1", 20, succeeded=number % 2 == 0)
        self.fleet.record_attempt_end("r2.1", 21)
        view = self.view
        counts = (
            view.tokens_to_prefill,
            view.tokens_to_decode,
            view.unreported_requests,
        )
        self.assertEqual((*counts, len(view.attempts)), (0, 0, 0, 0))

    def test_failed_attempts_do_not_make_an_endpoint_look_fast(self):
        self.fleet.record_attempt_start("r1.1", "w0", 0, 0, 0)
        self.fleet.record_attempt_end("r1.1", 1, succeeded=False)
        self.assertIsNone(self.view.mean_service_time_ms)


class PeerTrafficTest(unittest.TestCase):
    def test_peer_traffic_is_assumed_to_fill_the_shortest_queues_first(self):
        self.assertEqual(water_fill([100, 0, 500], 50), [0, 50, 0])
        self.assertEqual(water_fill([100, 0, 500], 300), [100, 200, 0])
        self.assertEqual(sum(water_fill([3, 1, 2], 600)), 600)
        self.assertEqual(water_fill([], 5), [])

    def test_expected_peer_traffic_grows_with_peers_and_report_age(self):
        fleet = FleetView()
        fleet.apply_members([member("w0")], 0)
        view = fleet.endpoints["w0"]
        for number in range(50):
            fleet.record_attempt_start(f"r{number}.1", "w0", 100, 10, number)
        expected_tokens = []
        for peers, measured_ms in ((0, 0), (2, 40), (8, 40), (8, 0)):
            fleet.peer_count = peers
            view.measured_ms = measured_ms
            expected_tokens.append(expected_peer_tokens(view, fleet, 1, 50))
        self.assertEqual(expected_tokens[0], 0)
        self.assertEqual(sorted(set(expected_tokens)), expected_tokens)


class MemberTest(unittest.TestCase):
    def test_an_endpoint_missing_from_the_list_comes_back(self):
        fleet = FleetView()
        fleet.apply_members([member("w0"), member("w1")], 0)
        fleet.apply_members([member("w1")], 1)
        self.assertEqual(fleet.live_endpoint_count("model"), 1)
        fleet.apply_members([member("w0"), member("w1")], 2)
        self.assertEqual(fleet.live_endpoint_count("model"), 2)

    def test_a_leaving_notice_may_arrive_before_the_endpoint_is_listed(self):
        fleet = FleetView()
        fleet.mark_leaving("w0", 0)
        fleet.apply_members([member("w0")], 1)
        self.assertEqual(fleet.live_endpoint_count("model"), 0)
        self.assertIs(fleet.endpoints["w0"].state, MemberState.LEAVING)

    def test_a_new_version_moves_the_endpoint_to_its_pool(self):
        fleet = FleetView()
        fleet.apply_members([member("w0")], 0)
        fleet.apply_members([member("w0", version="v2")], 1)
        self.assertEqual(fleet.versions("model"), ["v2"])


class PriorityTest(unittest.TestCase):
    def test_less_slack_and_longer_waiting_raise_the_priority(self):
        wall_ms = 1_780_000_000_000
        quick = engine_priority(wall_ms, 500)
        report_now = engine_priority(wall_ms, 60_000)
        quick_later = engine_priority(wall_ms + 60_000, 500)
        self.assertLess(quick, report_now)
        self.assertLess(report_now, quick_later)

    def test_fits_32_bits(self):
        self.assertEqual(engine_priority(0, 0), 0)
        self.assertEqual(engine_priority(1 << 60, 0), MAX_PRIORITY)


if __name__ == "__main__":
    unittest.main()
