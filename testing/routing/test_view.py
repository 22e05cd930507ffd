import unittest

from _monsoonpulley.external.livelist import MemberState
from _monsoonpulley.routing.prediction import (
    expected_peer_tokens,
    fill_lowest,
    predict_model,
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

    def test_an_older_report_changes_nothing(self):
        self.fleet.apply_load("w0", report(200, waiting_tokens=8_000), 300)
        self.fleet.apply_load("w0", report(100), 310)
        self.assertEqual(self.view.report.waiting_tokens, 8_000)
        self.assertEqual(self.view.measured_ms, 200)

    def test_a_report_is_dated_by_its_age_on_the_wall(self):
        self.fleet.apply_load("w0", report(5_000), now_ms=300, wall_ms=5_200)
        self.assertEqual(self.view.measured_ms, 100)

    def test_a_report_from_a_clock_ahead_counts_as_fresh(self):
        self.fleet.apply_load("w0", report(9_000), now_ms=300)
        self.assertEqual(self.view.measured_ms, 300)

    def test_prefill_since_the_report_is_taken_off(self):
        self.fleet.apply_load("w0", report(0, waiting_tokens=8_000), 0)
        self.assertAlmostEqual(self._queue_ms(0), 1_000)
        self.assertAlmostEqual(self._queue_ms(600), 400)

    def test_what_was_sent_after_the_report_is_added(self):
        self.fleet.apply_load("w0", report(100), 150)
        self.fleet.record_start("early.1", "w0", 800, 50, 50)
        self.fleet.apply_load("w0", report(120), 150)
        self.assertEqual(self.view.sent_tokens, 0)
        self.fleet.record_start("late.1", "w0", 1_600, 50, 150)
        self.assertEqual(self.view.sent_tokens, 1_600)
        self.assertGreaterEqual(self._queue_ms(150), 200)

    def test_what_was_sent_queues_behind_what_was_reported(self):
        self.fleet.apply_load("w0", report(100, waiting_tokens=8_000), 100)
        self.fleet.record_start("r1.1", "w0", 1_600, 50, 101)
        self.assertGreaterEqual(self._queue_ms(101), 1_190)

    def test_counts_return_to_zero_whatever_the_order_of_ends(self):
        for number in range(6):
            self.fleet.record_start(f"r{number}.1", "w0", 100, 10, number)
        self.fleet.record_progress("r0.1", 10)
        self.fleet.apply_load("w0", report(3), 12)
        for number in (3, 0, 5, 1, 4, 2):
            self.fleet.record_end(f"r{number}.1", 20, ok=number % 2 == 0)
        self.fleet.record_end("r2.1", 21)
        view = self.view
        counts = (view.pending_tokens, view.decoding_tokens, view.sent_requests)
        self.assertEqual((*counts, len(view.attempts)), (0, 0, 0, 0))

    def test_failed_attempts_do_not_make_an_endpoint_look_fast(self):
        self.fleet.record_start("r1.1", "w0", 0, 0, 0)
        self.fleet.record_end("r1.1", 1, ok=False)
        self.assertIsNone(self.view.service_time_ms)


class PeerTrafficTest(unittest.TestCase):
    def test_what_peers_sent_goes_to_the_shortest_queues_first(self):
        self.assertEqual(fill_lowest([100, 0, 500], 50), [0, 50, 0])
        self.assertEqual(fill_lowest([100, 0, 500], 300), [100, 200, 0])
        self.assertEqual(sum(fill_lowest([3, 1, 2], 600)), 600)
        self.assertEqual(fill_lowest([], 5), [])

    def test_more_is_expected_of_more_peers_and_an_older_report(self):
        fleet = FleetView()
        fleet.apply_members([member("w0")], 0)
        view = fleet.endpoints["w0"]
        for number in range(50):
            fleet.record_start(f"r{number}.1", "w0", 100, 10, number)
        found = []
        for peers, measured_ms in ((0, 0), (2, 40), (8, 40), (8, 0)):
            fleet.peers = peers
            view.measured_ms = measured_ms
            found.append(expected_peer_tokens(view, fleet, 1, 50))
        self.assertEqual(found[0], 0)
        self.assertEqual(sorted(set(found)), found)


class MemberTest(unittest.TestCase):
    def test_an_endpoint_missing_from_the_list_comes_back(self):
        fleet = FleetView()
        fleet.apply_members([member("w0"), member("w1")], 0)
        fleet.apply_members([member("w1")], 1)
        self.assertEqual(fleet.pool_size("model"), 1)
        fleet.apply_members([member("w0"), member("w1")], 2)
        self.assertEqual(fleet.pool_size("model"), 2)

    def test_a_notice_may_come_before_the_list_names_the_endpoint(self):
        fleet = FleetView()
        fleet.mark_leaving("w0", 0)
        fleet.apply_members([member("w0")], 1)
        self.assertEqual(fleet.pool_size("model"), 0)
        self.assertIs(fleet.endpoints["w0"].state, MemberState.LEAVING)

    def test_a_new_version_moves_the_endpoint_to_its_pool(self):
        fleet = FleetView()
        fleet.apply_members([member("w0")], 0)
        fleet.apply_members([member("w0", version="v2")], 1)
        self.assertEqual(fleet.versions("model"), ["v2"])


class PriorityTest(unittest.TestCase):
    def test_less_slack_runs_first_and_waiting_makes_urgent(self):
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
