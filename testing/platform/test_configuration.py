"""Decoding of configurations and of endpoints' rows."""

from __future__ import annotations

import unittest

import msgspec

from _monsoonpulley.errors import Failure
from _monsoonpulley.fleet.model import Configuration, Endpoint
from _monsoonpulley.ids import CustomerId, ServiceId
from _monsoonpulley.platform.configuration import decode_configuration
from _monsoonpulley.platform.endpoints import decode_endpoint

ROW = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "state": "ready",
}


def decode(document: dict) -> Configuration:
    configuration = decode_configuration(msgspec.json.encode(document))
    assert isinstance(configuration, Configuration), configuration
    return configuration


class TestConfiguration(unittest.TestCase):
    def test_allowed_regions_of_routes_and_customers_are_not_lost(self):
        route = {"host": "h", "prefix": "/a/", "allowed_regions": ["west", "east"]}
        tenant = {"name": "desk", "allowed_regions": ["west"]}
        decoded = decode({"version": 1, "routes": [route], "tenants": [tenant]})
        self.assertEqual(
            decoded.routes_by_host["h"][0].allowed_regions, {"west", "east"}
        )
        customer = decoded.customers[CustomerId("desk")]
        self.assertEqual(customer.allowed_regions, {"west"})

    def test_an_empty_or_missing_list_of_regions_does_not_exclude_all(self):
        routes = [
            {"host": "h", "prefix": "/a/", "allowed_regions": []},
            {"host": "h", "prefix": "/b/"},
        ]
        decoded = decode({"version": 1, "routes": routes})
        regions = [route.allowed_regions for route in decoded.routes_by_host["h"]]
        self.assertEqual(regions, [None, None])

    def test_figures_of_cold_endpoints_are_decoded_with_their_units(self):
        services = [{"name": "cold", "cold_start_s": 3.0, "cold_per_s": 8.8}]
        services.append({"name": "warm"})
        decoded = decode({"version": 1, "services": services})
        cold, warm = (decoded.services[ServiceId(n)] for n in ("cold", "warm"))
        self.assertEqual((cold.cold_start_ms, cold.cold_per_s), (3_000, 8.8))
        self.assertEqual((warm.cold_start_ms, warm.cold_per_s), (0, 0.0))


class TestEndpoint(unittest.TestCase):
    def decode(self, row: dict) -> Endpoint | Failure:
        return decode_endpoint("e-1", msgspec.json.encode(row))

    def test_a_row_that_says_warm_differs_from_one_that_says_nothing(self):
        said = self.decode({**ROW, "cold_remaining_ms": 0})
        silent = self.decode(ROW)
        self.assertEqual((said.cold_for_ms, silent.cold_for_ms), (0, None))

    def test_a_negative_time_does_not_count_as_cold(self):
        row = {**ROW, "cold_remaining_ms": -5}
        self.assertEqual(self.decode(row).cold_for_ms, 0)

    def test_a_row_of_another_writer_names_no_endpoint(self):
        row = {**ROW, "cold_remaining_ms": "soon"}
        self.assertIsInstance(self.decode(row), Failure)
