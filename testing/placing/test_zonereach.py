"""Data centres that are cut off, as told by silence and timeouts together."""

from __future__ import annotations

import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.ids import InstanceId, ZoneId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.placing.zonereach import HOLD_MS, ZoneReach
from _monsoonpulley.sharing.digest import Digest
from _monsoonpulley.sharing.members import ZONE_SILENCE_MS, Members

from .test_placer import Placing, endpoint, need

OWN, OTHER = ZoneId("zone-a"), ZoneId("zone-b")


class TestZoneReach(unittest.TestCase):
    def test_silence_or_a_timeout_alone_cuts_nothing_off(self):
        reach = ZoneReach()
        reach.timed_out(OTHER, 0)
        self.assertEqual(reach.cut(0), frozenset())
        reach.set_silent(frozenset({OTHER}))
        self.assertEqual(reach.cut(0), frozenset())

    def test_both_together_do_until_an_instance_is_heard(self):
        reach = ZoneReach()
        reach.set_silent(frozenset({OTHER}))
        reach.timed_out(OTHER, 0)
        self.assertEqual(reach.cut(100), {OTHER})
        reach.set_silent(frozenset())
        self.assertEqual(reach.cut(200), frozenset())

    def test_without_another_sign_it_is_tried_again(self):
        reach = ZoneReach()
        reach.set_silent(frozenset({OTHER}))
        reach.timed_out(OTHER, 0)
        self.assertEqual(reach.cut(HOLD_MS), frozenset())

    def test_endpoints_that_can_be_reached_take_the_requests(self):
        placing = Placing()
        placing.endpoints = (endpoint("a", OWN), endpoint("b", OTHER))
        for _ in range(20):
            placing.board.sent(placing.endpoints[0].id, 1_000)
        choice = placing.placer.choose(
            need(), placing.endpoints, set(), OWN, 0, frozenset({OTHER})
        )
        self.assertEqual(choice.endpoint.id, "a")
        choice = placing.placer.choose(
            need(), placing.endpoints, {"a"}, OWN, 0, frozenset({OTHER})
        )
        self.assertEqual(choice.endpoint.id, "b")


class TestSilentZones(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.members = Members(
            InstanceId("own"), self.clock, Log(self.clock, lambda line: None)
        )

    def hear(self, name, zone, sequence=1, **changes):
        self.members.record_digest(
            Digest(name, 1, sequence, "10.0.0.1", 7600, zone=zone, **changes)
        )

    def test_a_zone_is_silent_once_none_of_its_instances_is_heard(self):
        self.hear("a", OWN)
        self.hear("b1", OTHER)
        self.hear("b2", OTHER)
        self.clock.advance_ms(ZONE_SILENCE_MS + 1)
        self.hear("b2", OTHER, 2)
        self.assertEqual(self.members.silent_zones(OWN), frozenset())
        self.clock.advance_ms(ZONE_SILENCE_MS + 1)
        self.assertEqual(self.members.silent_zones(OWN), {OTHER})

    def test_instances_that_stop_are_not_missed(self):
        self.hear("b1", OTHER, is_leaving=True)
        self.clock.advance_ms(ZONE_SILENCE_MS + 1)
        self.assertEqual(self.members.silent_zones(OWN), frozenset())
