"""An instance whose store comes back from an older copy."""

from __future__ import annotations

import asyncio
import unittest

from _monsoonpulley.duties.controllease import NUMBERS_PER_ERA
from _monsoonpulley.standins.rowstore import StoreFault

from .site import KEY, Site, configuration


async def answer(call) -> None:
    call.answer(body=b"whole answer")


class TestStoreEras(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)
        self.site.store.era = 1
        self.endpoint = await self.site.add_endpoint(answer)
        await self.site.start(configuration(1))
        await self.site.wait_until(self.is_registered)

    def is_registered(self) -> bool:
        return self.site.store.read_value("instances", "instance-1") is not None

    async def lose_writes(self, copy) -> None:
        self.site.store.fault = StoreFault.BUSY
        await asyncio.sleep(0.2)
        self.site.store.return_to(copy)
        self.site.store.fault = StoreFault.NONE
        await self.site.wait_until(lambda: self.site.log_events("store_lost_writes"))

    async def test_no_acknowledged_configuration_goes_back(self):
        copy = self.site.store.take_copy()
        newest = configuration(
            2, tenants=[{"name": "customer-1", "api_keys": [KEY, "key-2"]}]
        )
        self.site.store.put("op", "config", newest)
        holder = self.site.service.parts.configuration
        await self.site.wait_until(lambda: holder.current.version == 2)
        await self.lose_writes(copy)
        for _ in range(20):
            got = await self.site.send_request("a1", key="key-2")
            self.assertEqual(got.status, 200)
            await asyncio.sleep(0.05)
        self.site.store.put("op", "config", newest)
        third = configuration(
            3, tenants=[{"name": "customer-1", "api_keys": ["key-3"]}]
        )
        self.site.store.put("op", "config", third)
        await self.site.wait_until(lambda: holder.current.version == 3)
        self.assertEqual((await self.site.send_request("a2", key="key-2")).status, 401)

    async def test_changes_after_the_loss_are_read_though_versions_repeat(self):
        copy = self.site.store.take_copy()
        for number in range(30):
            self.site.store.put("other", "row", {"n": number})
        await asyncio.sleep(1.0)
        await self.lose_writes(copy)
        self.site.store.put("op", "config", configuration(2))
        holder = self.site.service.parts.configuration
        await self.site.wait_until(lambda: holder.current.version == 2)

    async def test_the_row_of_the_instance_is_written_again(self):
        copy = self.site.store.take_copy()
        copy.rows.pop(("instances", "instance-1"))
        await self.lose_writes(copy)
        await self.site.wait_until(self.is_registered)

    async def test_the_duties_are_given_up_and_taken_with_a_higher_number(self):
        lease = self.site.service._control.lease
        await self.site.wait_until(lambda: lease.hold() is not None)
        copy = self.site.store.take_copy()
        await self.lose_writes(copy)
        self.assertIsNone(lease.hold())
        await self.site.wait_until(lambda: lease.hold() is not None)
        self.assertGreater(lease.fencing_number(), 2 * NUMBERS_PER_ERA)
