"""Unreachable data centres, detected by silence together with time-outs."""

from __future__ import annotations

import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.ids import InstanceId, ZoneId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.placing.zonereach import UNREACHABLE_EXPIRY_MS, ZoneReach
from _monsoonpulley.sharing.digest import Digest
from _monsoonpulley.sharing.members import ZONE_SILENCE_MS, Members

from .test_placer import Placing, endpoint, make_requirements

OWN, OTHER = ZoneId("zone-a"), ZoneId("zone-b")


class TestZoneReach(unittest.TestCase):
    def test_silence_or_a_timeout_alone_is_not_enough(self):
        reach = ZoneReach()
        reach.record_connect_timeout(OTHER, 0)
        self.assertEqual(reach.unreachable_zones(0), frozenset())
        reach.set_silent_zones(frozenset({OTHER}))
        self.assertEqual(reach.unreachable_zones(0), frozenset())

    def test_both_make_a_zone_unreachable_until_a_digest_arrives(self):
        reach = ZoneReach()
        reach.set_silent_zones(frozenset({OTHER}))
        reach.record_connect_timeout(OTHER, 0)
        self.assertEqual(reach.unreachable_zones(100), {OTHER})
        reach.set_silent_zones(frozenset())
        self.assertEqual(reach.unreachable_zones(200), frozenset())

    def test_without_another_timeout_a_zone_is_tried_again(self):
        reach = ZoneReach()
        reach.set_silent_zones(frozenset({OTHER}))
        reach.record_connect_timeout(OTHER, 0)
        self.assertEqual(reach.unreachable_zones(UNREACHABLE_EXPIRY_MS), frozenset())

    def test_endpoints_in_unreachable_zones_are_used_last(self):
        placing = Placing()
        placing.endpoints = (endpoint("a", OWN), endpoint("b", OTHER))
        for _ in range(20):
            placing.board.record_dispatch(placing.endpoints[0].id, 1_000)
        choice = placing.placer.choose(
            make_requirements(), placing.endpoints, set(), OWN, 0, frozenset({OTHER})
        )
        self.assertEqual(choice.endpoint.id, "a")
        choice = placing.placer.choose(
            make_requirements(), placing.endpoints, {"a"}, OWN, 0, frozenset({OTHER})
        )
        self.assertEqual(choice.endpoint.id, "b")


class TestSilentZones(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.members = Members(
            InstanceId("own"), self.clock, Log(self.clock, lambda line: None)
        )

    def receive_digest(self, name, zone, sequence=1, **changes):
        self.members.record_digest(
            Digest(name, 1, sequence, "10.0.0.1", 7600, zone=zone, **changes)
        )

    def test_a_zone_is_silent_once_no_digests_arrive_from_it(self):
        self.receive_digest("a", OWN)
        self.receive_digest("b1", OTHER)
        self.receive_digest("b2", OTHER)
        self.clock.advance_ms(ZONE_SILENCE_MS + 1)
        self.receive_digest("b2", OTHER, 2)
        self.assertEqual(self.members.silent_zones(OWN), frozenset())
        self.clock.advance_ms(ZONE_SILENCE_MS + 1)
        self.assertEqual(self.members.silent_zones(OWN), {OTHER})

    def test_instances_that_announced_their_stop_do_not_count(self):
        self.receive_digest("b1", OTHER, is_leaving=True)
        self.clock.advance_ms(ZONE_SILENCE_MS + 1)
        self.assertEqual(self.members.silent_zones(OWN), frozenset())
