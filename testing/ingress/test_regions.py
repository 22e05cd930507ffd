"""Requests with allowed regions reach no endpoint or instance elsewhere."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from .linked import LinkedFleet, Loss
from .site import KEY, Site, configuration, read_answer, request

REGIONS = {"zone-a": "north", "zone-b": "south", "zone-c": "west"}


async def answer(call) -> None:
    call.answer(body=b"whole answer")


async def refuse(call) -> None:
    call.answer(503, seal=None, extra="Monsoonpulley-Not-Executed: 1\r\n")


def regional(*regions: str, customer: tuple[str, ...] = (), **changes) -> dict:
    document = configuration(**changes)
    document["routes"][0]["allowed_regions"] = list(regions)
    tenant = {"name": "customer-1", "api_keys": [KEY]}
    document["tenants"] = [{**tenant, "allowed_regions": list(customer)}]
    return document


class TestRegions(unittest.IsolatedAsyncioTestCase):
    async def start(self, document: dict, north=answer, south=answer) -> None:
        self.site = Site()
        self.site.region_by_zone = REGIONS
        self.addAsyncCleanup(self.site.stop)
        self.north = await self.site.add_endpoint(north, zone="zone-a")
        self.south = await self.site.add_endpoint(south, zone="zone-b")
        self.unknown = await self.site.add_endpoint(answer, zone="zone-x")
        await self.site.start(document)

    async def refused_detail(self) -> str:
        got = await asyncio.wait_for(self.site.send_request(), 0.5)
        self.assertEqual(got.status, 503)
        self.assertGreater(float(got.headers["retry-after"]), 0)
        return self.site.log_events("request")[-1]["detail"]

    async def test_requests_and_retries_stay_in_the_allowed_region(self):
        await self.start(regional("south", max_attempts=3), south=refuse)
        for number in range(10):
            got = await self.site.send_request(f"q{number}")
            self.assertEqual(got.status, 503)
        self.assertEqual((self.north.calls, self.unknown.calls), ([], []))
        self.assertGreater(len(self.south.calls), 0)

    async def test_a_request_without_an_allowed_region_is_refused_at_once(self):
        await self.start(regional("north", customer=("south",)))
        self.assertEqual(await self.refused_detail(), "no region is allowed")
        self.site.store.put("op", "config", regional("west", version=2))
        holder = self.site.service.parts.configuration
        await self.site.wait_until(lambda: holder.current.version == 2)
        self.assertIn("in an allowed region: west", await self.refused_detail())
        rejections = self.site.service.counters.region_rejections.labels("svc")
        self.assertEqual(rejections._value.get(), 2)
        self.assertEqual((self.north.calls, self.south.calls), ([], []))

    async def test_a_stream_is_not_resumed_where_it_is_no_longer_allowed(self):
        go_on = asyncio.Event()

        async def break_off(call) -> None:
            call.start_stream()
            call.write_event(1)
            await go_on.wait()
            call.writer.transport.abort()

        streaming = {"kind": "streaming", "resume_streams": True}
        await self.start(regional("south", "north", **streaming), break_off, break_off)
        reader, writer = await self.site.connect()
        writer.write(request("s1"))
        await self.site.wait_until(lambda: self.north.calls or self.south.calls)
        began = "north" if self.north.calls else "south"
        self.site.store.put("op", "config", regional(began, version=2, **streaming))
        holder = self.site.service.parts.configuration
        await self.site.wait_until(lambda: holder.current.version == 2)
        go_on.set()
        self.assertFalse((await asyncio.wait_for(read_answer(reader), 5)).is_whole)
        writer.close()
        self.assertEqual(len(self.north.calls) + len(self.south.calls), 1)


class TestHelpers(unittest.IsolatedAsyncioTestCase):
    async def test_a_body_goes_only_to_helpers_that_may_have_it(self):
        fleet = LinkedFleet(3)
        self.addAsyncCleanup(fleet.stop)
        for site in fleet.sites:
            site.region_by_zone = REGIONS
        limits = regional("north", "west")
        await fleet.start(answer, routes=limits["routes"])
        cut, _, west = fleet.sites
        fleet.lose_links([cut], Loss.CLOSED)
        members = cut.service.parts.members
        await cut.wait_until(lambda: all(m.applies_regions for m in members.all()))
        for _ in range(6):
            self.assertEqual((await fleet.send(cut)).status, 200)
        asked = {line["peer"] for line in cut.log_events("peer_attempt")}
        self.assertEqual(asked, {west.name})
        # It now behaves as an older build, which knows of no regions.
        build = west.service.digest_exchange._build_digest
        west.service.digest_exchange._build_digest = lambda *args: (
            msgspec.structs.replace(build(*args), applies_regions=False)
        )
        await cut.wait_until(lambda: not all(m.applies_regions for m in members.all()))
        self.assertEqual((await fleet.send(cut)).status, 503)

    async def test_a_helper_applies_the_regions_itself(self):
        site = Site()
        site.region_by_zone = REGIONS
        self.addAsyncCleanup(site.stop)
        north = await site.add_endpoint(answer, zone="zone-a")
        await site.start(regional("south"))
        reader, writer = await asyncio.open_connection(
            *site.service.peer_server.address()
        )
        writer.write(request("p1", extra="Monsoonpulley-Peer-Sends: 0\r\n"))
        got = await asyncio.wait_for(read_answer(reader), 5)
        writer.close()
        self.assertEqual((got.status, north.calls), (503, []))


if __name__ == "__main__":
    unittest.main()
