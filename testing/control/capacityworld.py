"""Capacity duty of one service on a stand-in of the whole platform."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import msgspec

from _monsoonpulley.control.capacitydecision import PlanSettings
from _monsoonpulley.control.capacityneed import unmet_constraints
from _monsoonpulley.control.fleet import FleetEndpoint, Market
from _monsoonpulley.control.fleetorders import FleetOrders
from _monsoonpulley.control.fleetparts import CapacityParts
from _monsoonpulley.control.fleetrows import PREFIX, FleetRow
from _monsoonpulley.control.leases import Hold
from _monsoonpulley.control.offers import MachineProfile
from _monsoonpulley.external.cloud import InstanceSpec, Price
from _monsoonpulley.external.livelist import Member, Role
from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.cloud import CloudState
from _monsoonpulley.standins.manualloop import running_clock
from _monsoonpulley.standins.platform import PlatformStandin
from _monsoonpulley.standins.weightstore import WeightStoreStandin

from .capacityfixtures import UNITS, ZONES, need

LAG_MS = 3_000
START_MS = 20_000
LOAD_MS = 5_000


class Holder:
    """A holder of the capacity duty; `may_act` stands for its lease."""

    def __init__(self, world, number):
        self.may_act = True
        hold = Hold(number, lambda *_: self.may_act)
        self.orders = FleetOrders(world.parts(f"entry-{number}", number), hold)
        self.task = asyncio.create_task(self.orders.run())

    def kill(self):
        self.may_act = False
        self.task.cancel()


class CapacityWorld:
    """A platform stand-in with the endpoint instances of one service."""

    def __init__(self, seed, required_need=None, **changes):
        self.clock = running_clock()
        self.rng = random.Random(seed)
        self.platform = PlatformStandin(
            self.clock, random.Random(seed), lag_ms=LAG_MS, startup_ms=START_MS
        )
        self.cloud, self.faults = self.platform.cloud, self.platform.faults
        self.weights = WeightStoreStandin(self.clock, LOAD_MS, 1_000)
        self.required_need = required_need or need()
        self.in_progress: dict[str, int] = {}
        self.stopped_while_busy: list[str] = []
        self.log_lines: list[str] = []
        self.changes = changes
        self.marked_leaving: list[str] = []
        self.cloud.on_ready.append(self._on_ready)
        self.cloud.on_ended.append(self._on_ended)
        self.set_prices((400, 430, 470, 520))

    def set_prices(self, prices):
        priced = zip(ZONES, prices, strict=True)
        self.cloud.set_prices(
            [Price(z, "small", True, p) for z, p in priced]
            + [Price(z, "small", False, 1_300) for z in ZONES]
        )

    def parts(self, name, number):
        platform = self.platform.connect(name, ZONES[number % 4])
        fields = {
            "service": "model",
            "table": platform.table,
            "cloud": platform.cloud,
            "livelist": platform.livelist,
            "weights": self.weights,
            "clock": self.clock,
            "rng": random.Random(self.rng.getrandbits(64)),
            "log": Log(self.clock, self.log_lines.append, name),
            "needs": lambda now_ms, lead_ms: (self.required_need,),
            "profiles": {"small": MachineProfile(UNITS, START_MS)},
            "in_progress": lambda endpoint: self.in_progress.get(endpoint, 0),
            "mark_leaving": self.marked_leaving.append,
            "planning": PlanSettings(overdue_ms=60_000, surplus_hold_ms=60_000),
        }
        return CapacityParts(**{**fields, **self.changes})

    async def sleep(self, seconds):
        await self.clock.sleep_ms(seconds * 1_000)

    async def wait_until_need_met(self, seconds):
        """Wait until serving endpoints meet the need; return the elapsed seconds."""
        start_ms = self.clock.now_ms()
        while self.clock.now_ms() - start_ms < seconds * 1_000:
            if not unmet_constraints(self.required_need, self.serving()):
                return (self.clock.now_ms() - start_ms) / 1_000
            await self.sleep(1)
        raise AssertionError(
            f"unmet: {unmet_constraints(self.required_need, self.serving())}"
        )

    def serving(self):
        return [
            FleetEndpoint(
                each.name,
                Market(each.spec.zone, "small", each.spec.reclaimable),
                each.spec.version,
                UNITS,
            )
            for each in self.alive()
            if each.state is CloudState.RUNNING
            and each.name in self.weights.loaded_instances
            and each.name not in self.marked_leaving
        ]

    def alive(self):
        return [each for each in self.cloud.instances.values() if each.is_alive]

    def states(self):
        return Counter(each.state for each in self.cloud.instances.values())

    async def rows(self):
        table = self.platform.table.connect("test", ZONES[0])
        rows = await table.scan(PREFIX)
        return [msgspec.json.decode(each.value, type=FleetRow) for each in rows]

    def events(self, name):
        parsed = [msgspec.json.decode(line) for line in self.log_lines]
        return [line for line in parsed if line["event"] == name]

    async def assert_invariants(self):
        """Assert that no busy instance was stopped and no live one is unknown."""
        assert self.stopped_while_busy == [], self.stopped_while_busy
        known = {row.instance for row in await self.rows()}
        listed = {each.instance for each in self.platform.livelist.actual_members()}
        lost = {each.name for each in self.alive()} - known - listed
        assert not lost, lost

    def _on_ready(self, instance):
        spec: InstanceSpec = instance.spec
        self.platform.livelist.set_member(
            Member(
                instance.name,
                Role.ENDPOINT,
                spec.zone,
                instance.name,
                service=spec.service,
                version=spec.version,
                machine_class=spec.machine_class,
                reclaimable=spec.reclaimable,
            )
        )

    def _on_ended(self, instance):
        is_order = instance.state is CloudState.STOPPED
        if is_order and self.in_progress.get(instance.name, 0):
            self.stopped_while_busy.append(instance.name)
