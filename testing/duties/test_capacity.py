"""Orders of endpoints are sent only while the lease is held."""

from __future__ import annotations

import random
import unittest

import msgspec

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.control.leases import Hold
from _monsoonpulley.duties.capacity import CapacityDuty
from _monsoonpulley.duties.capacityneed import CapacityNeed
from _monsoonpulley.duties.closedzones import ClosedZones
from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.fleet.evacuations import Evacuations
from _monsoonpulley.fleet.model import (
    Configuration,
    Endpoint,
    ScalingSpec,
    Service,
)
from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from _monsoonpulley.limits.coldendpoints import ColdEndpoints
from _monsoonpulley.limits.sharers import Sharers
from _monsoonpulley.observability.log import Log
from _monsoonpulley.placing.demandmeter import Demand, DemandMeter
from _monsoonpulley.placing.endpointmodels import EndpointModels
from _monsoonpulley.placing.loadboard import LoadBoard
from _monsoonpulley.placing.servicecapacity import ServiceCapacities
from _monsoonpulley.platform.cloud import CALL_TIMEOUT_MS
from _monsoonpulley.platform.rollouts import RolloutOrder
from _monsoonpulley.platform.store import Row, Rows
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

RETURN_MS = 5_000


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
        self.evacuations = Evacuations(self.clock, log, RETURN_MS)
        self.board = LoadBoard()
        closed_zones = ClosedZones(
            self.evacuations, self.directory, self.board, self.clock, RETURN_MS
        )
        sharers = Sharers(InstanceId("own"))
        self.cold = ColdEndpoints(sharers, random.Random(1), 1.5, 5)
        self.duty = CapacityDuty(
            Holder(),
            self.directory,
            EndpointModels(),
            self.demand,
            self.rollouts,
            ServiceCapacities(self.rollouts.carries_load, lambda *change: None),
            self.cold,
            self.cloud,
            self.clock,
            log,
            closed_zones.find,
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

    def set_evacuated(self, version: int, *, is_removed: bool = False) -> None:
        row = Row("evacuate/zone-a", None if is_removed else b"{}", version)
        self.evacuations.apply(Rows((row,), version), False)

    async def test_endpoints_of_an_evacuated_data_centre_are_replaced_at_once(self):
        self.directory.endpoints = endpoints("v1", 2, is_reclaimable=True)
        await self.run_duty(10_000)
        self.cloud.orders.clear()
        self.set_evacuated(5)
        await self.run_duty(500)
        ordered = {(zone, count) for _, zone, count, kind in self.cloud.orders if kind}
        self.assertEqual(ordered, {("zone-b", 4)})

    async def test_replacements_stay_until_the_returned_endpoints_bear_load(self):
        need = CapacityNeed(4, 4, 2, "slots", Demand(9.0, 0.0, 0.0))
        self.duty._compute_need = lambda *_: need
        self.directory.endpoints = endpoints("v1", 2, is_reclaimable=True)
        self.set_evacuated(5)
        await self.run_duty(1_000)
        self.directory.endpoints = endpoints("v1", 4, is_reclaimable=True)[2:]
        await self.run_duty(30_000)
        self.set_evacuated(6, is_removed=True)
        self.cloud.orders.clear()
        for endpoint in self.directory.endpoints[2:]:
            self.board.record_dispatch(endpoint.id, 0)
        await self.run_duty(60_000)
        self.assertEqual(self.cloud.orders, [])
        for endpoint in self.directory.endpoints[:2]:
            self.board.record_dispatch(endpoint.id, 0)
        await self.run_duty(10_000)
        released = {(zone, count) for _, zone, count, kind in self.cloud.orders if kind}
        self.assertIn(("zone-b", 2), released)

    async def test_a_data_centre_that_never_gets_its_load_counts_again(self):
        """Guards against endpoints that are out of the plan for good."""
        need = CapacityNeed(4, 4, 2, "slots", Demand(9.0, 0.0, 0.0))
        self.duty._compute_need = lambda *_: need
        self.directory.endpoints = endpoints("v1", 4, is_reclaimable=True)
        self.set_evacuated(5)
        await self.run_duty(1_000)
        self.set_evacuated(6, is_removed=True)
        for endpoint in self.directory.endpoints[4:]:
            self.board.record_dispatch(endpoint.id, 0)
        await self.run_duty(60_000)
        self.cloud.orders.clear()
        await self.run_duty(90_000)
        released = {(zone, count) for _, zone, count, kind in self.cloud.orders if kind}
        self.assertIn(("zone-b", 2), released)

    async def test_more_are_ordered_while_cold_ones_leave_too_little(self):
        # One warm endpoint would carry 40 requests a second; a cold one gets one.
        self.directory.endpoints = endpoints("v1", 1, is_reclaimable=True)
        await self.run_duty(25_000, 20)
        self.cloud.orders.clear()
        service = msgspec.structs.replace(SERVICE, cold_start_ms=60_000, cold_per_s=1)
        self.cold.configure(
            Configuration(2, {}, {SERVICE.id: service}, {}, {}, False, CallerLimits())
        )
        await self.run_duty(1_000, 20)
        self.assertEqual(self.cloud.orders, [])
        for endpoint in self.directory.endpoints:
            self.cold.record_row(endpoint, 1, True, self.clock.now_ms())
        await self.run_duty(1_000, 20)
        self.assertEqual([order[2:] for order in self.cloud.orders], [(2, True)])

    async def run_duty(self, duration_ms: int, requests: int = 1) -> None:
        for _ in range(duration_ms // 500):
            self.clock.advance_ms(500)
            for _ in range(requests):
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
