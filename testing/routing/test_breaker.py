import random
import unittest

from _monsoonpulley.routing.breaker import BreakerRule, Breakers, BreakerState


class BreakerTest(unittest.TestCase):
    def setUp(self):
        self.breakers = Breakers(BreakerRule(), random.Random(1))

    def _call(self, succeeded, now_ms):
        is_probe = self.breakers.start_call("k", now_ms)
        self.breakers.record_result("k", succeeded, is_probe, now_ms)

    def _open(self, now_ms=0):
        for _ in range(5):
            self._call(False, now_ms)

    def test_opens_by_failure_ratio_and_never_below_the_minimum_of_results(self):
        for _ in range(4):
            self._call(False, 0)
        self.assertTrue(self.breakers.allows("k", 0))
        self._call(False, 0)
        self.assertFalse(self.breakers.allows("k", 0))

    def test_stays_closed_while_most_calls_succeed(self):
        for _ in range(30):
            self._call(True, 0)
            self._call(True, 0)
            self._call(False, 0)
        self.assertTrue(self.breakers.allows("k", 0))

    def test_failures_outside_the_window_do_not_count(self):
        for second in range(40):
            self._call(False, second * 3_000)
        self.assertTrue(self.breakers.allows("k", 120_000))

    def test_half_open_lets_one_probe_pass_at_a_time(self):
        self._open()
        self.assertIs(self.breakers.state("k", 1_300), BreakerState.HALF_OPEN)
        self.assertTrue(self.breakers.start_call("k", 1_300))
        self.assertFalse(self.breakers.allows("k", 1_300))

    def test_closes_after_two_successful_probes_and_opens_longer_after_a_failed_one(
        self,
    ):
        self._open()
        self._call(False, 1_300)
        self.assertGreater(self.breakers.remaining_open_ms("k", 1_300), 1_500)
        self._call(True, 4_000)
        self.assertIs(self.breakers.state("k", 4_000), BreakerState.HALF_OPEN)
        self._call(True, 4_001)
        self.assertIs(self.breakers.state("k", 4_001), BreakerState.CLOSED)

    def test_a_late_result_from_before_opening_does_not_close_it(self):
        self._open()
        self.breakers.record_result("k", True, False, 1_300)
        self.assertIs(self.breakers.state("k", 1_300), BreakerState.HALF_OPEN)

    def test_a_probe_without_result_does_not_block_calls_for_ever(self):
        self._open()
        self.breakers.start_call("k", 1_300)
        self.assertFalse(self.breakers.allows("k", 50_000))
        self.assertTrue(self.breakers.allows("k", 62_000))


if __name__ == "__main__":
    unittest.main()
