"""Nothing is sent to endpoints of evacuated data centres."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from _monsoonpulley.standins.rowstore import StoreFault
from _monsoonpulley.wire.pool import ConnectionPool

from .linked import LinkedFleet, Loss
from .site import Site, configuration, read_answer, request

STOP_S = 5.0
"""The operators' bound ``evacuation_ms``."""


async def answer(call) -> None:
    call.answer(body=b"whole answer")


class TestEvacuations(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)

    async def start(self, script=answer, other_script=answer, **changes) -> None:
        self.left = await self.site.add_endpoint(script, zone="zone-a")
        self.right = await self.site.add_endpoint(other_script, zone="zone-b")
        await self.site.start(configuration(**changes))
        self.evacuations = self.site.service.parts.evacuations

    async def evacuate(self, *zones: str) -> None:
        for zone in zones:
            self.site.store.put("op", f"evacuate/{zone}", {})
        async with asyncio.timeout(STOP_S):
            await self.site.wait_until(lambda: self.evacuations.zones == set(zones))

    async def send_many(self, count: int = 20) -> list[int]:
        gots = [await self.site.send_request(f"m{n}") for n in range(count)]
        return [got.status for got in gots]

    async def test_only_the_other_data_centre_gets_requests_until_the_end(self):
        await self.start()
        await self.evacuate("zone-a")
        self.assertEqual(await self.send_many(), [200] * 20)
        self.assertEqual((len(self.left.calls), len(self.right.calls)), (0, 20))
        self.assertTrue(self.site.service.is_ready)
        self.site.store.remove("op", "evacuate/zone-a")
        await self.site.wait_until(lambda: not self.evacuations.zones)
        await self.site.wait_until(lambda: not self.evacuations.is_returning)
        await self.send_many()
        self.assertGreater(len(self.left.calls), 0)

    async def test_a_snapshot_without_the_row_ends_it(self):
        await self.start()
        await self.evacuate("zone-a")
        self.site.store.fault = StoreFault.SILENT
        self.site.store.remove("op", "evacuate/zone-a")
        self.site.store.discard_history()
        await asyncio.sleep(0.2)
        self.site.store.fault = StoreFault.NONE
        await self.site.wait_until(lambda: not self.evacuations.zones)

    async def test_requests_are_refused_at_once_if_all_are_evacuated(self):
        await self.start()
        await self.evacuate("zone-a", "zone-b")
        got = await asyncio.wait_for(self.site.send_request(), 0.5)
        self.assertEqual(got.status, 503)
        self.assertGreater(float(got.headers["retry-after"]), 0)
        self.assertIn("evacuated", self.site.log_events("request")[-1]["detail"])

    async def test_an_instance_that_starts_sends_nothing_before_it_has_read(self):
        self.site.store.put("op", "evacuate/zone-a", {})
        await self.start()
        self.assertEqual(await self.send_many(5), [200] * 5)
        self.assertEqual(len(self.left.calls), 0)

    async def test_a_request_that_is_connecting_is_not_sent(self):
        await self.start()
        self.site.store.remove("servers", "i-2")
        directory = self.site.service.parts.directory
        await self.site.wait_until(lambda: len(directory.all()) == 1)
        connecting, go_on = asyncio.Event(), asyncio.Event()
        acquire = ConnectionPool.acquire

        async def acquire_late(pool, request_id):
            connecting.set()
            await go_on.wait()
            return await acquire(pool, request_id)

        ConnectionPool.acquire = acquire_late
        self.addCleanup(setattr, ConnectionPool, "acquire", acquire)
        sending = asyncio.create_task(self.site.send_request())
        await connecting.wait()
        await self.evacuate("zone-a")
        go_on.set()
        self.assertEqual((await sending).status, 503)
        self.assertEqual(self.left.calls, [])

    async def test_a_stream_runs_on_and_is_resumed_elsewhere_if_it_breaks_off(self):
        for breaks_off in (False, True):
            with self.subTest(breaks_off=breaks_off):
                self.site = Site()
                self.addAsyncCleanup(self.site.stop)
                await self.check_stream(breaks_off)

    async def check_stream(self, breaks_off: bool) -> None:
        go_on = asyncio.Event()

        async def stream(call) -> None:
            first = int(call.headers.get("last-event-id", 0)) + 1
            call.start_stream()
            for number in range(first, 5):
                call.write_event(number)
                if number == 2:
                    await go_on.wait()
                    if breaks_off:
                        call.writer.transport.abort()
                        return
            call.writer.write(b"0\r\n\r\n")

        await self.start(stream, stream, kind="streaming", resume_streams=True)
        reader, writer = await self.site.connect()
        writer.write(request("s1"))
        await self.site.wait_until(lambda: self.left.calls or self.right.calls)
        began = self.left if self.left.calls else self.right
        other = self.right if self.left.calls else self.left
        await self.evacuate("zone-a" if began is self.left else "zone-b")
        await asyncio.sleep(0.1)
        go_on.set()
        got = await asyncio.wait_for(read_answer(reader), 5)
        writer.close()
        self.assertTrue(got.is_whole)
        self.assertEqual(got.body.count(b"id: "), 4)
        self.assertEqual((len(began.calls), len(other.calls)), (1, int(breaks_off)))


class TestHelpers(unittest.IsolatedAsyncioTestCase):
    async def test_an_instance_that_does_not_know_of_it_is_not_asked(self):
        fleet = LinkedFleet(2)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(answer)
        cut, other = fleet.sites
        fleet.lose_links([cut], Loss.CLOSED)
        await cut.wait_until(
            lambda: cut.service.parts.members.all()[0].evacuated == set()
        )
        self.assertEqual((await fleet.send(cut)).status, 200)
        # The other one behaves as an older build, whose digests don't name it.
        build = other.service.digest_exchange._build_digest
        other.service.digest_exchange._build_digest = lambda *args: (
            msgspec.structs.replace(build(*args), evacuated={})
        )
        fleet.store.put("op", "evacuate/zone-f", {})
        evacuations = cut.service.parts.evacuations
        await cut.wait_until(lambda: evacuations.zones)
        self.assertEqual((await fleet.send(cut)).status, 503)


if __name__ == "__main__":
    unittest.main()
