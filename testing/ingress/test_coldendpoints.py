"""Cold endpoints behind a whole instance."""

from __future__ import annotations

import asyncio
import time
import unittest

from _monsoonpulley.ids import EndpointId, ServiceId, VersionId
from _monsoonpulley.platform.rollouts import RolloutOrder
from _monsoonpulley.rollouts.rollouts import Phase

from .site import Answer, Site, configuration, endpoint_row

PER_S, OVERAGE, SLACK = 4.0, 1.5, 5
SERVICE = {
    "name": "svc",
    "max_connections": 100,
    "cold_start_s": 3.0,
    "cold_per_s": PER_S,
}


async def answer(call) -> None:
    call.answer(body=b"whole answer")


class TestColdEndpoints(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)
        self.arrived_s: list[float] = []

    async def answer(self, call):
        self.arrived_s.append(time.monotonic())
        await answer(call)

    async def start(self, **row) -> None:
        await self.site.add_endpoint(self.answer, **row)
        await self.site.start(
            configuration(services=[SERVICE]), cold_overage=OVERAGE, cold_slack=SLACK
        )
        await self.site.wait_until(lambda: self.site.service.parts.sharers.is_settled)

    async def send_many(self, count: int) -> list[Answer]:
        answers = []
        for number in range(count):
            got = await self.site.send_request(f"{time.monotonic()}-{number}")
            answers.append(got)
            await asyncio.sleep(0.02)
        return answers

    def learned_count(self) -> float:
        models = self.site.service.parts.endpoint_models
        return models.plain(ServiceId("svc")).sums.totals()[0]

    async def test_the_bound_holds_and_nothing_is_learned_until_a_row_says_warm(self):
        await self.start(cold_remaining_ms=30_000)
        answers = await self.send_many(60)
        for end_s in self.arrived_s:
            count = sum(end_s - 1 <= each_s <= end_s for each_s in self.arrived_s)
            self.assertLessEqual(count, PER_S * OVERAGE + SLACK)
        self.assertEqual({each.status for each in answers}, {200, 503})
        for each in answers:
            if each.status == 503:
                self.assertGreater(float(each.headers["retry-after"]), 0)
        self.assertEqual(self.learned_count(), 0)
        metrics = self.site.service.counters.render()
        self.assertIn(b"monsoonpulley_cold_endpoints 1.0", metrics)
        self.assertIn(b'kept_off_cold_total{service="svc"}', metrics)
        listed = self.site.service.parts.directory.get(EndpointId("i-1"))
        row = endpoint_row(listed.address, cold_remaining_ms=0)
        self.site.store.put("servers", "i-1", row)
        await self.site.wait_until(lambda: self.site.log_events("endpoint_warm"))
        answers = await self.send_many(30)
        self.assertEqual({each.status for each in answers}, {200})
        self.assertGreater(self.learned_count(), 0)
        cold = self.site.log_events("endpoint_cold")
        self.assertEqual([line["source"] for line in cold], ["row"])

    async def test_requests_beyond_the_share_go_to_warm_endpoints(self):
        warm = await self.site.add_endpoint(answer)
        await self.start(cold_remaining_ms=30_000)
        answers = await self.send_many(60)
        self.assertEqual({each.status for each in answers}, {200})
        self.assertGreater(len(warm.calls), len(self.arrived_s))

    async def test_the_old_version_serves_what_a_cold_new_one_can_not(self):
        await self.site.add_endpoint(answer, version="v0")
        await self.start(cold_remaining_ms=30_000)
        rollouts = self.site.service.parts.rollouts
        order = RolloutOrder(ServiceId("svc"), VersionId("v1"), 60_000, 1)
        rollouts.set_order(order)
        rollouts.advance(order, Phase.FULL, "")
        answers = await self.send_many(40)
        self.assertEqual({each.status for each in answers}, {200})
        self.assertGreater(len(self.arrived_s), 0)

    async def test_an_endpoint_that_starts_is_presumed_cold_if_its_row_is_silent(self):
        await self.start()
        self.assertEqual(self.site.log_events("endpoint_cold"), [])
        await self.site.add_endpoint(answer, cold_remaining_ms=None)
        await self.site.wait_until(lambda: self.site.log_events("endpoint_cold"))
        line = self.site.log_events("endpoint_cold")[0]
        self.assertEqual((line["endpoint"], line["source"]), ("i-2", "start"))
