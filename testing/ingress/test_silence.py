"""Machines that are silent, or late to report, while work runs at them."""

from __future__ import annotations

import asyncio
import unittest

from _monsoonpulley.sharing.members import MAX_SILENCE_MS

from .linked import LinkedFleet, Loss
from .site import Site, configuration, endpoint_row

SILENCE_S = 4.0
"""Longer than the time-outs of connections whose peer doesn't acknowledge."""


class TestEndpoints(unittest.IsolatedAsyncioTestCase):
    """Guards against work that is begun again, or given up, at a silent endpoint."""

    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)
        self.release = asyncio.Event()

    async def start(self, script, kind):
        for _ in range(2):
            await self.site.add_endpoint(script)
        document = configuration(kind=kind, timeout_ms=9_000, resume_streams=True)
        await self.site.start(document)
        sending = asyncio.create_task(self.site.send_request(deadline_ms=9_000))
        await self.site.wait_until(self.calls)
        return sending

    def calls(self):
        return [call for each in self.site.endpoints for call in each.calls]

    async def lose_row(self) -> None:
        """Let the row of the endpoint that has the request expire."""
        (number,) = [n for n, e in enumerate(self.site.endpoints, 1) if e.calls]
        self.site.store.remove("servers", f"i-{number}")
        directory = self.site.service.parts.directory
        await self.site.wait_until(lambda: directory.get(f"i-{number}") is None)
        await asyncio.sleep(0.6)

    async def test_a_request_outlasts_the_row_of_its_endpoint(self):
        """`ingress.upstreams.Upstreams.remove` closes idle connections only."""

        async def slow(call) -> None:
            await self.release.wait()
            call.answer(body=b"whole")

        for kind in ("safe", "unsafe"):
            with self.subTest(kind=kind):
                sending = await self.start(slow, kind)
                await self.lose_row()
                self.release.set()
                self.assertEqual((await sending).body, b"whole")
                self.assertEqual(len(self.calls()), 1)
                await self.site.stop()
                self.site = Site()
                self.release.clear()

    async def test_a_stream_outlasts_the_row_of_its_endpoint(self):
        async def stream(call) -> None:
            call.start_stream()
            call.write_event(1)
            await self.release.wait()
            call.write_event(2)
            call.write_chunk(b"")

        sending = await self.start(stream, "streaming")
        await self.lose_row()
        self.release.set()
        got = await sending
        self.assertTrue(got.is_whole)
        self.assertEqual(got.body.count(b"data"), 2)
        self.assertEqual(len(self.calls()), 1)

    async def test_a_request_at_a_silent_endpoint_is_waited_for(self):
        """`wire.sockets` ends connections without acknowledgements only."""

        async def slow(call) -> None:
            await asyncio.sleep(SILENCE_S)
            call.answer(body=b"whole")

        sending = await self.start(slow, "safe")
        self.assertEqual((await sending).body, b"whole")
        self.assertEqual(len(self.calls()), 1)

    async def test_a_request_outlasts_a_link_that_counts_as_lost(self):
        """`placing.endpointlinks` keeps new requests away and ends none."""

        async def slow(call) -> None:
            await self.release.wait()
            call.answer(body=b"whole")

        sending = await self.start(slow, "safe")
        parts = self.site.service.parts
        for endpoint in parts.directory.all():
            parts.links.record_lost(endpoint, self.site.clock.now_ms())
            parts.health.record_failure(endpoint.id, self.site.clock.now_ms(), 9.0)
        await asyncio.sleep(0.6)
        self.release.set()
        self.assertEqual((await sending).body, b"whole")
        self.assertEqual(len(self.calls()), 1)

    async def test_a_request_outlasts_a_row_that_says_that_its_endpoint_drains(self):
        async def slow(call) -> None:
            await self.release.wait()
            call.answer(body=b"whole")

        sending = await self.start(slow, "safe")
        directory = self.site.service.parts.directory
        for endpoint in directory.all():
            row = endpoint_row(endpoint.address, state="draining", sequence=2)
            self.site.store.put("servers", endpoint.id, row)
        await self.site.wait_until(lambda: not directory.ready_endpoints("svc"))
        await asyncio.sleep(0.3)
        self.release.set()
        self.assertEqual((await sending).body, b"whole")
        self.assertEqual(len(self.calls()), 1)


class TestInstances(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_outlasts_the_silence_of_the_instance_that_helps(self):
        """Guards against requests sent to a second helper while the first serves.

        `ingress.peerattempt.PeerAttempt` follows its connection, not the digests.
        """
        release = asyncio.Event()

        async def slow(call) -> None:
            await release.wait()
            call.answer(body=b"whole")

        fleet = LinkedFleet(3)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(slow, timeout_ms=9_000)
        cut = fleet.sites[0]
        parts = cut.service.parts
        fleet.lose_links([cut], Loss.SILENT)
        for endpoint in parts.directory.all():
            parts.links.record_lost(endpoint, cut.clock.now_ms())
        sending = asyncio.create_task(fleet.send(cut, deadline_ms=9_000))
        await cut.wait_until(lambda: any(each.calls for each in fleet.endpoints))
        parts.members.record_digest = lambda digest, is_bundled=False: False
        await asyncio.sleep(MAX_SILENCE_MS / 1000 + 0.3)
        await cut.wait_until(lambda: not parts.members.reachable_ids)
        release.set()
        self.assertEqual((await sending).body, b"whole")
        self.assertEqual(sum(len(each.calls) for each in fleet.endpoints), 1)


if __name__ == "__main__":
    unittest.main()
