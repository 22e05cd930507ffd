"""Pauses that endpoints ask for."""

from __future__ import annotations

import unittest

from _monsoonpulley.ids import EndpointId
from _monsoonpulley.limits.endpointpauses import MAX_PAUSE_MS, EndpointPauses

ENDPOINT = EndpointId("e-1")


class TestPauses(unittest.TestCase):
    def setUp(self):
        self.pauses = EndpointPauses()

    def test_a_pause_lasts_to_its_end(self):
        self.pauses.record_refusal(ENDPOINT, 2_000, 1_000)
        self.assertEqual(self.pauses.wait_ms(ENDPOINT, 1_000), 2_000)
        self.assertEqual(self.pauses.wait_ms(ENDPOINT, 2_999), 1)
        self.assertEqual(self.pauses.wait_ms(ENDPOINT, 3_000), 0)

    def test_a_shorter_pause_does_not_end_a_longer_one(self):
        self.pauses.record_refusal(ENDPOINT, 5_000, 0)
        self.pauses.record_refusal(ENDPOINT, 100, 50)
        self.assertEqual(self.pauses.wait_ms(ENDPOINT, 1_000), 4_000)

    def test_pauses_are_bounded(self):
        self.pauses.record_refusal(ENDPOINT, 10**12, 0)
        self.assertEqual(self.pauses.wait_ms(ENDPOINT, 0), MAX_PAUSE_MS)

    def test_endpoints_pause_on_their_own(self):
        self.pauses.record_refusal(ENDPOINT, 1_000, 0)
        self.assertEqual(self.pauses.wait_ms(EndpointId("e-2"), 0), 0)
        self.pauses.remove(ENDPOINT)
        self.assertEqual(self.pauses.wait_ms(ENDPOINT, 0), 0)
