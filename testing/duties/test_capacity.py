"""Orders of endpoints are sent only while the lease is held."""

from __future__ import annotations

import random
import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.control.leases import Hold
from _monsoonpulley.duties.capacity import CapacityDuty
from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.fleet.model import (
    Configuration,
    Endpoint,
    ScalingSpec,
    Service,
)
from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.placing.demandmeter import DemandMeter
from _monsoonpulley.placing.endpointmodels import EndpointModels
from _monsoonpulley.placing.servicecapacity import ServiceCapacities
from _monsoonpulley.platform.cloud import CALL_TIMEOUT_MS
from _monsoonpulley.platform.rollouts import RolloutOrder
from _monsoonpulley.rollouts.rollouts import Phase, Rollouts
from _monsoonpulley.wire.serverconnection import CallerLimits

SERVICE = Service(
    ServiceId("svc"),
    "/health",
    100,
    scaling=ScalingSpec(
        1, 5, 4_000, 0.2, {ZoneId("zone-a"): 1.0, ZoneId("zone-b"): 1.0}
    ),
)


class Holder:
    """The configuration in force."""

    current = Configuration(1, {}, {SERVICE.id: SERVICE}, {}, {}, False, CallerLimits())


class Directory:
    """A directory that has been read."""

    is_loaded = True
    loaded_ms = 0

    def __init__(self):
        self.endpoints: list[Endpoint] = []

    def all(self):
        return self.endpoints

    def ready_endpoints(self, service):
        return tuple(self.endpoints)


def endpoints(version: str, per_zone: int, *, is_reclaimable: bool) -> list[Endpoint]:
    """Return endpoints of a version in each data centre."""
    return [
        Endpoint(
            EndpointId(f"{version}-{zone}-{n}"),
            None,
            SERVICE.id,
            "10.0.0.1",
            80,
            zone,
            VersionId(version),
            4,
            is_reclaimable=is_reclaimable,
        )
        for zone in SERVICE.scaling.zone_prices
        for n in range(per_zone)
    ]


class Cloud:
    """Records the orders; fails on request."""

    def __init__(self):
        self.orders = []
        self.is_failing = False

    async def order_endpoints(self, number, service, zone, count, *, is_reclaimable):
        self.orders.append((number, zone, count, is_reclaimable))
        return Failure(Reason.TIMEOUT, "cloud/scaling") if self.is_failing else None


class TestCapacityDuty(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(10_000)
        self.cloud = Cloud()
        log = Log(self.clock, lambda line: None)
        self.directory = Directory()
        self.demand = DemandMeter(InstanceId("own"))
        self.rollouts = Rollouts(self.clock, log, random.Random(1))
        self.duty = CapacityDuty(
            Holder(),
            self.directory,
            EndpointModels(),
            self.demand,
            self.rollouts,
            ServiceCapacities(self.rollouts.carries_load, lambda *change: None),
            self.cloud,
            self.clock,
            log,
        )

    async def test_orders_carry_the_fencing_number(self):
        await self.duty.step(Hold(7, lambda *_: True))
        self.assertEqual({order[0] for order in self.cloud.orders}, {7})
        self.assertEqual(
            {order[1] for order in self.cloud.orders}, {"zone-a", "zone-b"}
        )

    async def test_no_order_is_sent_that_may_outlast_the_lease(self):
        remaining_ms = CALL_TIMEOUT_MS - 1
        await self.duty.step(Hold(7, lambda number, for_ms: for_ms <= remaining_ms))
        self.assertEqual(self.cloud.orders, [])

    async def test_a_holder_that_returns_orders_anew(self):
        await self.duty.step(Hold(7, lambda *_: True))
        given = len(self.cloud.orders)
        await self.duty.step(Hold(7, lambda *_: True))
        self.assertEqual(len(self.cloud.orders), given)
        await self.duty.step(Hold(9, lambda *_: True))
        self.assertEqual(len(self.cloud.orders), 2 * given)

    async def test_no_endpoint_is_given_back_while_a_version_is_rolled_out(self):
        # Little traffic: the minimum of one in each data centre would be enough.
        order = RolloutOrder(SERVICE.id, VersionId("v2"), 15_000, 3)
        self.directory.endpoints = endpoints("v1", 3, is_reclaimable=True)
        await self.run_duty(1_000)
        self.rollouts.set_order(order)
        self.directory.endpoints += endpoints("v2", 2, is_reclaimable=False)
        self.cloud.orders.clear()
        for phase in (Phase.HELD, Phase.CANARY, Phase.HALF):
            self.rollouts.advance(order, phase, "")
            await self.run_duty(15_000)
            self.assertEqual(self.cloud.orders, [], phase)
        self.rollouts.advance(order, Phase.TAKEN_BACK, "")
        await self.run_duty(1_000)
        self.assertEqual(self.cloud.orders, [])
        self.directory.endpoints = endpoints("v1", 3, is_reclaimable=True)
        await self.run_duty(1_000)
        self.assertTrue(self.cloud.orders)

    async def run_duty(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 500):
            self.clock.advance_ms(500)
            self.demand.record(SERVICE.id, 0)
            self.demand.refresh_own(self.clock.now_ms())
            await self.duty.step(Hold(7, lambda *_: True))

    async def test_an_order_without_an_answer_is_sent_again(self):
        self.cloud.is_failing = True
        hold = Hold(7, lambda *_: True)
        await self.duty.step(hold)
        given = len(self.cloud.orders)
        self.clock.advance_ms(500)
        await self.duty.step(hold)
        self.assertEqual(len(self.cloud.orders), 2 * given)
