"""The figure for a service's capacity."""

from __future__ import annotations

import unittest

from _monsoonpulley.fleet.model import Endpoint, EngineSpec, Service
from _monsoonpulley.ids import (
    CustomerId,
    EndpointId,
    ServiceId,
    VersionId,
    ZoneId,
)
from _monsoonpulley.limits.fairshare import FairShares
from _monsoonpulley.placing.servicecapacity import ServiceCapacities

ENGINES = Service(ServiceId("model"), "/", 100, engine=EngineSpec(8, 1_000))


def endpoints(count):
    return tuple(
        Endpoint(
            EndpointId(f"e-{n}"),
            None,
            ENGINES.id,
            "127.0.0.1",
            9_000,
            ZoneId("zone-a"),
            VersionId("v1"),
            8,
        )
        for n in range(count)
    )


class TestServiceCapacity(unittest.TestCase):
    def setUp(self):
        self.changes = []
        self.capacities = ServiceCapacities(
            lambda endpoint: True, lambda *change: self.changes.append(change)
        )

    def test_a_loss_shows_at_once_and_is_noted_once(self):
        self.capacities.observe(ENGINES, endpoints(6), 0)
        for now_ms in (5_000, 5_000, 5_100):
            capacity = self.capacities.observe(ENGINES, endpoints(2), now_ms)
        self.assertEqual((capacity.ready_count, capacity.work_ms_per_s), (2, 2_000))
        self.assertLess(capacity.lasting_share, 0.4)
        self.assertEqual(len(self.changes), 2)

    def test_a_loss_is_forgotten_as_the_admitted_work_is(self):
        self.capacities.observe(ENGINES, endpoints(6), 0)
        remaining = endpoints(2)
        for now_ms in range(5_000, 20_000, 250):
            capacity = self.capacities.observe(ENGINES, remaining, now_ms)
        self.assertGreater(capacity.lasting_share, 0.95)

    def test_shares_matter_from_the_loss_on_and_urgent_requests_are_spared(self):
        # Before the first refusal, which comes when queues have grown.
        shares = FairShares()
        for customer, count in (("small", 10), ("large", 60)):
            for rank in (0, 1):
                for _ in range(count):
                    shares.record(
                        ENGINES.id,
                        rank,
                        CustomerId(customer),
                        100.0,
                        0,
                        is_admitted=True,
                    )
        large = CustomerId("large")
        self.assertEqual(shares.limit_factor(ENGINES.id, 1, large, 200), 1.0)
        shares.set_capacity(ENGINES.id, 6_000, 1.0)
        shares.set_capacity(ENGINES.id, 3_000, 0.5)
        self.assertLess(shares.limit_factor(ENGINES.id, 1, large, 210), 1.0)
        urgent, other = (
            shares.standing(ENGINES.id, rank, large, 210) for rank in (0, 1)
        )
        self.assertGreater(urgent.share_ms, other.share_ms)
        small = CustomerId("small")
        self.assertEqual(shares.limit_factor(ENGINES.id, 1, small, 210), 1.0)
