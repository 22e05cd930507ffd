"""Which links to endpoints count as lost."""

from __future__ import annotations

import unittest

import msgspec

from _monsoonpulley.placing.endpointlinks import (
    BROKEN_MEMORY_MS,
    MAX_PROBES,
    EndpointLinks,
)

from .test_endpointgate import ENDPOINTS, A, B, C, endpoint

PROBE_MS = 500


class LinksTest(unittest.TestCase):
    def setUp(self):
        self.links = EndpointLinks()


class TestLoss(LinksTest):
    def test_a_link_is_lost_until_a_connection_opens(self):
        self.assertTrue(self.links.record_lost(A, 100))
        self.assertFalse(self.links.record_lost(A, 200))
        self.assertEqual(self.links.reachable(ENDPOINTS), (B, C))
        self.assertEqual(self.links.unreachable_count(ENDPOINTS), 1)
        self.assertEqual(self.links.record_connected(A.id, 700), 600)
        self.assertEqual(self.links.reachable(ENDPOINTS), ENDPOINTS)

    def test_another_incarnation_is_another_link(self):
        self.links.record_lost(A, 100)
        restarted = msgspec.structs.replace(A, started_wall_ms=5)
        self.assertTrue(self.links.record_lost(restarted, 200))

    def test_a_removed_endpoint_has_no_link(self):
        self.links.record_lost(A, 100)
        self.links.remove(A.id)
        self.assertEqual(self.links.lost_count, 0)

    def test_a_loss_that_is_noticed_after_an_endpoint_s_end_is_forgotten(self):
        self.links.remove(A.id)
        self.links.record_lost(A, 100)
        self.links.record_lost(B, 100)
        self.links.retain([B, C])
        self.assertTrue(self.links.is_lost(B.id))
        self.assertEqual(self.links.lost_count, 1)


class TestCutOff(LinksTest):
    def test_one_lost_link_says_nothing_of_the_others(self):
        self.links.record_lost(A, 100)
        self.assertFalse(self.links.is_cut_off())

    def test_several_lost_links_without_a_sign_of_any_endpoint_are_a_cut(self):
        self.links.record_contact(50)
        self.links.record_lost(A, 100)
        self.links.record_lost(B, 150)
        self.assertTrue(self.links.is_cut_off())
        self.assertEqual(self.links.reachable(ENDPOINTS), ())
        self.assertEqual(self.links.unreachable_count(ENDPOINTS), 3)

    def test_an_answer_of_any_endpoint_ends_the_presumption(self):
        self.links.record_lost(A, 100)
        self.links.record_lost(B, 150)
        self.links.record_contact(200)
        self.assertEqual(self.links.reachable(ENDPOINTS), (C,))

    def test_endpoints_that_end_one_after_the_other_are_no_cut(self):
        # The second one was connected to after the first one had broken off.
        self.links.record_broken(A.id, 100)
        self.links.record_connected(B.id, 110)
        self.links.record_lost(A, 190)
        self.links.record_broken(B.id, 200)
        self.links.record_lost(B, 290)
        self.assertFalse(self.links.is_cut_off())

    def test_a_connection_that_broke_off_long_ago_does_not_date_a_loss(self):
        self.links.record_broken(A.id, 100)
        self.links.record_contact(200)
        self.links.record_lost(A, 101 + BROKEN_MEMORY_MS)
        self.links.record_lost(B, 102 + BROKEN_MEMORY_MS)
        self.assertTrue(self.links.is_cut_off())


class TestProbes(LinksTest):
    def test_each_lost_link_is_due_once_in_an_interval(self):
        self.links.record_lost(A, 0)
        self.assertEqual(self.links.take_probes(PROBE_MS - 1, PROBE_MS), [])
        self.assertEqual(self.links.take_probes(PROBE_MS, PROBE_MS), [A])
        self.assertEqual(self.links.take_probes(PROBE_MS + 1, PROBE_MS), [])

    def test_many_links_are_probed_in_turn(self):
        lost = [endpoint(f"e-{n}") for n in range(2 * MAX_PROBES)]
        for each in lost:
            self.links.record_lost(each, 0)
        first = self.links.take_probes(PROBE_MS, PROBE_MS)
        second = self.links.take_probes(PROBE_MS + 250, PROBE_MS)
        self.assertEqual(len(first), MAX_PROBES)
        self.assertEqual({e.id for e in (*first, *second)}, {e.id for e in lost})


if __name__ == "__main__":
    unittest.main()
