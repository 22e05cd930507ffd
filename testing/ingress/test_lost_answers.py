"""What callers are told of requests that may have run, once their answer is lost."""

from __future__ import annotations

import asyncio
import unittest

from .linked import LinkedFleet, Loss
from .site import KEY, Site, configuration


class TestFailedAnswers(unittest.IsolatedAsyncioTestCase):
    """Guards against callers that repeat what has run, told that it has not."""

    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)

    async def test_a_status_that_promises_is_not_passed_on_without_proof(self):
        async def fail(call) -> None:
            call.answer(self.status, b"why", extra="Retry-After: 1\r\n")

        endpoint = await self.site.add_endpoint(fail)
        await self.site.start(configuration(kind="unsafe"))
        for self.status in (408, 429, 503):
            with self.subTest(status=self.status):
                endpoint.calls.clear()
                self.site.service.parts.pauses.remove("i-1")
                got = await self.site.send_request(f"q{self.status}")
                self.assertEqual((got.status, got.body), (502, b"why"))
                self.assertNotIn("retry-after", got.headers)
                # A seal is for the status that the endpoint gave.
                self.assertNotIn("monsoonpulley-response-seal", got.headers)
                self.assertEqual(len(endpoint.calls), 1)

    async def test_a_refusal_after_an_attempt_that_may_have_run_says_so(self):
        """`RequestState.respond` has the last word on each refusal."""

        async def lose(call) -> None:
            call.writer.close()

        async def refuse(call) -> None:
            call.answer(503, b"", seal=None, extra="Monsoonpulley-Not-Executed: 1\r\n")

        await self.site.add_endpoint(lose)
        await self.site.add_endpoint(refuse)
        await self.site.start(configuration(max_attempts=3))
        # The first choice loses the answer, and the second one refuses.
        self.site.service.parts.health.record_failure("i-2", self.site.clock.now_ms())
        got = await self.site.send_request()
        self.assertEqual(got.status, 502)


class TestHelpers(unittest.IsolatedAsyncioTestCase):
    async def test_a_quota_used_up_after_a_lost_helper_is_no_refusal(self):
        """Guards against a 429 for a request that another instance may have run."""

        async def never(call) -> None:
            await asyncio.sleep(10)

        tenant = {"name": "customer-1", "api_keys": [KEY], "rate_per_s": 0.001}
        fleet = LinkedFleet(2)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(never, tenants=[{**tenant, "burst": 10}], timeout_ms=8_000)
        cut, helper = fleet.sites
        fleet.lose_links([cut], Loss.SILENT)
        for endpoint in cut.service.parts.directory.all():
            cut.service.parts.links.record_lost(endpoint, cut.clock.now_ms())
        sending = asyncio.create_task(fleet.send(cut, deadline_ms=8_000))
        await cut.wait_until(lambda: any(each.calls for each in fleet.endpoints))
        quotas = cut.service.parts.quotas
        while quotas.consume("customer-1", 1, cut.clock.now_ms()) is None:
            pass
        for connection in list(helper.service.peer_server._connections):
            connection.abort()
        self.assertEqual((await sending).status, 502)


if __name__ == "__main__":
    unittest.main()
