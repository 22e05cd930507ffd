import unittest

from _monsoonpulley.stopgate import StopGate

LISTEN_MS = 2_600


def stop(end_ms: int | None, began_ms: int = 1_000) -> StopGate:
    gate = StopGate()
    gate.begin(began_ms, LISTEN_MS, end_ms)
    return gate


class TestStopGate(unittest.TestCase):
    def test_an_instance_that_does_not_stop_begins_everything(self):
        gate = StopGate()
        self.assertTrue(gate.may_begin(5_000, 10**9))
        self.assertTrue(gate.may_repeat(5_000, 10**9))
        self.assertIsNone(gate.stopping_for_ms(5_000))

    def test_requests_are_begun_while_callers_are_sent_here(self):
        gate = stop(end_ms=8_400)
        self.assertTrue(gate.may_begin(1_000 + LISTEN_MS - 1, 10**9))
        self.assertFalse(gate.may_begin(1_000 + LISTEN_MS, 8_401))

    def test_a_late_request_is_begun_if_its_deadline_comes_before_the_end(self):
        gate = stop(end_ms=8_400)
        self.assertTrue(gate.may_begin(8_399, 8_400))
        self.assertFalse(gate.may_begin(8_399, 8_401))

    def test_a_short_stop_leaves_half_of_it_to_what_is_begun_in_any_case(self):
        gate = stop(end_ms=2_000)
        self.assertTrue(gate.may_begin(1_499, 10**9))
        self.assertFalse(gate.may_begin(1_500, 2_001))

    def test_a_stop_without_end_has_room_for_everything(self):
        gate = stop(end_ms=None)
        self.assertTrue(gate.may_begin(10**8, 10**9))
        self.assertTrue(gate.may_repeat(10**8, 10**9))

    def test_a_repeat_has_to_be_answered_before_the_end(self):
        gate = stop(end_ms=8_400)
        self.assertTrue(gate.may_repeat(8_000, 400))
        self.assertFalse(gate.may_repeat(8_000, 401))

    def test_a_second_call_only_brings_the_end_forward(self):
        gate = stop(end_ms=8_400)
        gate.begin(4_000, LISTEN_MS, 9_000)
        self.assertEqual((gate.began_ms, gate.end_ms), (1_000, 8_400))
        gate.begin(4_000, LISTEN_MS, 6_000)
        self.assertEqual(gate.end_ms, 6_000)
        line = gate.explain("a1", 5_000, 7_000)
        self.assertEqual(
            (line.stopping_for_ms, line.left_ms, line.needed_ms), (4_000, 1_000, 2_000)
        )


if __name__ == "__main__":
    unittest.main()
