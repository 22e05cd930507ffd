"""Instances that lose their links to endpoints while callers reach them."""

from __future__ import annotations

import asyncio
import unittest

from .linked import LinkedFleet, Loss

STABLE_WINDOW_S = 3.0
"""Time after which requests of callers have to be served again."""

MIN_SHARE_OF_OTHERS = 0.95
"""Goal for first tries served at instances without links, as a share of those at the
others."""

REQUEST_COUNT = 50


async def answer(call) -> None:
    await asyncio.sleep(0.01)
    call.answer(body=b"whole answer")


async def stream(call) -> None:
    call.start_stream()
    for number in (1, 2, 3):
        call.write_event(number)
    call.writer.write(b"0\r\n\r\n")


class LostLinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = LinkedFleet(4)
        self.addAsyncCleanup(self.fleet.stop)


class TestAllLinks(LostLinksTest):
    async def check_served_like_others(self, loss: Loss) -> None:
        cut, others = self.fleet.sites[:2], self.fleet.sites[2:]
        await self.fleet.count_served(self.fleet.sites, 8)
        self.fleet.lose_links(cut, loss)
        await self.fleet.count_served(self.fleet.sites, round(STABLE_WINDOW_S / 0.04))
        served = await self.fleet.count_served(cut, REQUEST_COUNT)
        other_served = await self.fleet.count_served(others, REQUEST_COUNT)
        self.assertGreaterEqual(served, MIN_SHARE_OF_OTHERS * other_served)
        self.assertGreater(other_served, 0)

    async def test_callers_of_instances_with_silent_links_are_served(self):
        await self.fleet.start(answer)
        await self.check_served_like_others(Loss.SILENT)

    async def test_callers_of_instances_with_reset_links_are_served(self):
        await self.fleet.start(answer)
        await self.check_served_like_others(Loss.RESET)

    async def test_callers_of_instances_with_closed_links_are_served(self):
        await self.fleet.start(answer)
        await self.check_served_like_others(Loss.CLOSED)

    async def test_callers_of_instances_without_new_connections_are_served(self):
        await self.fleet.start(answer)
        await self.check_served_like_others(Loss.REFUSED)

    async def test_streams_of_instances_with_silent_links_are_served(self):
        await self.fleet.start(stream, kind="streaming")
        await self.check_served_like_others(Loss.SILENT)

    async def test_once_only_requests_of_instances_with_silent_links_are_served(self):
        await self.fleet.start(answer, kind="unsafe")
        await self.check_served_like_others(Loss.SILENT)


class TestBlame(LostLinksTest):
    async def test_lost_links_are_not_taken_for_crashes_under_requests(self):
        async def never(call) -> None:
            call.start_stream()
            await asyncio.sleep(30)

        await self.fleet.start(never, kind="streaming", timeout_ms=8_000)
        cut = self.fleet.sites[0]
        calls = [
            asyncio.create_task(self.fleet.send(cut, body=b"the same"))
            for _ in range(12)
        ]
        await cut.wait_until(
            lambda: all(endpoint.calls for endpoint in self.fleet.endpoints)
        )
        self.fleet.lose_links([cut], Loss.CLOSED)
        await cut.wait_until(lambda: cut.log_events("endpoint_checked"))
        await asyncio.sleep(0.5)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        self.assertEqual(len(cut.log_events("endpoint_checked")), 3)
        self.assertTrue(cut.service.parts.quarantine.is_idle)


if __name__ == "__main__":
    unittest.main()
