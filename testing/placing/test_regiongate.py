"""Requests with allowed regions reach nothing elsewhere."""

from __future__ import annotations

import json
import unittest

from _monsoonpulley.fleet.model import Endpoint
from _monsoonpulley.ids import EndpointId, RegionId, ServiceId, VersionId, ZoneId
from _monsoonpulley.placing.regiongate import RegionGate, combine_regions
from _monsoonpulley.platform.configuration import decode_configuration

from ..ingress.site import configuration

NORTH, SOUTH, WEST = map(RegionId, ("north", "south", "west"))
ZONES = {ZoneId("n1"): NORTH, ZoneId("n2"): NORTH, ZoneId("s1"): SOUTH}


def endpoint(zone: str) -> Endpoint:
    return Endpoint(
        EndpointId(zone), 1, ServiceId("svc"), "", 1, ZoneId(zone), VersionId("v1"), 4
    )


class TestRegionGate(unittest.TestCase):
    def setUp(self):
        self.gate = RegionGate(ZONES, ZoneId("s1"), SOUTH)

    def allowed(self, *regions: RegionId) -> list[str]:
        endpoints = tuple(map(endpoint, ("n1", "n2", "s1", "unknown", "")))
        limit = frozenset(regions) if regions else None
        found = self.gate.allowed_endpoints(endpoints, limit)
        return [each.zone for each in found]

    def test_without_a_limit_all_endpoints_are_allowed(self):
        self.assertEqual(self.allowed(), ["n1", "n2", "s1", "unknown", ""])

    def test_a_data_centre_of_unknown_region_is_not_allowed(self):
        self.assertEqual(self.allowed(NORTH), ["n1", "n2"])
        self.assertEqual(self.allowed(NORTH, SOUTH, WEST), ["n1", "n2", "s1"])

    def test_limits_of_route_and_customer_both_apply(self):
        north, both = frozenset((NORTH,)), frozenset((NORTH, SOUTH))
        self.assertIsNone(combine_regions(None, None))
        self.assertEqual(combine_regions(None, both), both)
        self.assertEqual(combine_regions(north, both), north)
        self.assertEqual(combine_regions(north, frozenset((SOUTH,))), frozenset())

    def test_a_body_goes_to_allowed_regions_and_the_callers_own(self):
        north = frozenset((NORTH,))
        sent = [z for z in ("n1", "s1", "w1", "") if self.gate.may_send_body(z, north)]
        self.assertEqual(sent, ["n1", "s1"])
        unknown = RegionGate({}, ZoneId("x"), RegionId(""))
        self.assertFalse(unknown.may_send_body(ZoneId("x"), north))

    def test_a_configuration_tells_whether_regions_matter(self):
        for limits, is_in_use, unknown in (
            ([], False, set()),
            (["west"], True, {WEST}),
        ):
            document = configuration()
            document["routes"][0]["allowed_regions"] = limits
            decoded = decode_configuration(json.dumps(document).encode())
            self.assertEqual(self.gate.configure(decoded), unknown)
            self.assertEqual(self.gate.is_in_use, is_in_use)


if __name__ == "__main__":
    unittest.main()
