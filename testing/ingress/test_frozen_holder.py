"""Instances in processes of their own, one of which stands still in a roll-out."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import tempfile
import unittest
from pathlib import Path

from ..soak.callers import Caller
from ..soak.endpoints import Behaviour
from ..soak.world import World, zone_of
from .site import endpoint_row

SERVICE = "other"
DURATION_S = 13.0
"""The shortest in which a version has all traffic for long enough before its end."""

FROZEN_AFTER_S, FROZEN_S = 0.6, 1.1
"""From the first moment of all traffic; without the others the version would be done
as the holder wakes."""

CALLERS_PER_INSTANCE = 2
MAX_WAIT_S = DURATION_S + 3


class TestFrozenHolder(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.world = World(Path(folder.name), random.Random(1), instance_count=3)
        self.addAsyncCleanup(self.world.stop)
        await self.world.start()
        callers = [
            Caller(self.world, f"{name}-{number}", name, random.Random(number))
            for name in self.world.instances
            for number in range(CALLERS_PER_INSTANCE)
        ]
        tasks = [asyncio.create_task(self.send_calls(each)) for each in callers]
        self.addAsyncCleanup(self.end_calls, tasks, callers)

    async def send_calls(self, caller):
        while True:
            await caller.call(SERVICE)
            await asyncio.sleep(0.03)

    async def end_calls(self, tasks, callers):
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for caller in callers:
            caller.close()

    async def add_new_endpoints(self):
        """Start endpoints of version v2 and return them."""
        new = [await self.world.add_endpoint(SERVICE) for _ in range(2)]
        for each in new:
            ip, port = self.world._addresses[each.name]
            row = endpoint_row(
                f"{ip}:{port}", service=SERVICE, zone=zone_of(each.name), version="v2"
            )
            self.world.store.put("servers", each.name, row)
        return new

    async def wait_for_all_traffic(self, endpoints):
        """Wait until the endpoints alone have got requests for a while."""
        names = {each.name for each in endpoints}
        async with asyncio.timeout(MAX_WAIT_S):
            while True:
                await asyncio.sleep(0.02)
                since_ms = self.world.clock.now_ms() - 400
                got = self.runs_since(since_ms)
                if len(got) >= 8 and {run.endpoint for run in got} <= names:
                    return

    def runs_since(self, since_ms):
        calls = self.world.records.calls.values()
        runs = [run for call in calls for run in call.runs]
        return [
            run for run in runs if run.service == SERVICE and run.arrived_ms > since_ms
        ]

    def status(self):
        value = self.world.store.read_value("status", f"rollout/{SERVICE}")
        return json.loads(value)["state"] if value else None

    def holder(self):
        value = self.world.store.read_value("control", "lease/control")
        return self.world.instances[json.loads(value)["holder"]]

    # EXPOSURE: as it woke, the holder wrote `done` for a version that the others had
    # rolled back, and all requests of the failing route failed for good (review/6).
    async def test_a_version_that_the_others_rolled_back_is_not_completed(self):
        order = {"service": SERVICE, "to": "v2", "duration_s": DURATION_S}
        self.world.store.put("op", f"rollout/{SERVICE}", order)
        new = await self.add_new_endpoints()
        await self.wait_for_all_traffic(new)
        await asyncio.sleep(FROZEN_AFTER_S)
        holder = self.holder()
        holder.signal(signal.SIGSTOP)
        for each in new:
            each.behaviour = Behaviour.FAILING
        await asyncio.sleep(FROZEN_S)
        holder.signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        self.assertEqual(self.status(), "rolled_back")
        since_ms = self.world.clock.now_ms()
        await asyncio.sleep(1.0)
        got = self.runs_since(since_ms)
        self.assertGreater(len(got), 10)
        self.assertFalse({run.endpoint for run in got} & {each.name for each in new})


if __name__ == "__main__":
    unittest.main()
