"""Changes of the configuration, outages of the store, and the stop of an instance."""

from __future__ import annotations

import asyncio
import unittest

from _monsoonpulley.limits.processload import SLOT_COUNT, SLOT_MS, Neighbours
from _monsoonpulley.standins.rowstore import StoreFault

from .site import Site, configuration, endpoint_row, read_answer, request


async def answer(call) -> None:
    call.answer(body=b"whole answer")


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)

    async def readiness_status(self) -> int:
        ip, port = self.site.service._readiness_server.address()
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        got = await read_answer(reader)
        writer.close()
        return got.status


class TestChanges(ServiceTest):
    async def test_a_new_configuration_is_in_force_within_a_second(self):
        await self.site.add_endpoint(answer)
        await self.site.start(configuration(1))
        self.site.store.put("op", "config", configuration(2, tenants=[]))
        await asyncio.wait_for(
            self.site.wait_until(
                lambda: self.site.log_events("configuration_in_force")[1:]
            ),
            1,
        )
        self.assertEqual((await self.site.send_request(key=None)).status, 200)

    async def test_a_draining_endpoint_gets_no_further_requests(self):
        first = await self.site.add_endpoint(answer)
        await self.site.add_endpoint(answer)
        await self.site.start(configuration())
        await self.site.send_request()
        host, port = first._server.sockets[0].getsockname()
        row = endpoint_row(f"{host}:{port}", state="draining")
        self.site.store.put("servers", "i-1", row)
        directory = self.site.service.parts.directory
        await asyncio.wait_for(
            self.site.wait_until(lambda: len(directory.ready_endpoints("svc")) == 1), 2
        )
        before = len(first.calls)
        for number in range(5):
            await self.site.send_request(f"b{number}")
        self.assertEqual(len(first.calls), before)

    async def test_the_table_is_read_anew_after_its_history_is_lost(self):
        await self.site.add_endpoint(answer)
        await self.site.start(configuration(1))
        self.site.store.discard_history()
        self.site.store.put("op", "config", configuration(5))
        self.site.store.discard_history()
        self.site.store.put("op", "config", configuration(6))
        holder = self.site.service.parts.configuration
        await self.site.wait_until(lambda: holder.current.version == 6)


class TestProcessorTime(ServiceTest):
    async def test_an_instance_that_falls_behind_sheds_load_and_rests(self):
        await self.site.add_endpoint(answer)
        await self.site.start(configuration(timeout_ms=60_000))
        parts, clock = self.site.service.parts, self.site.clock
        # Any delay is too long from now on.
        parts.process_load.set_pass_ms(1e-6)
        parts.process_load.record_delay(100)
        self.assertEqual((await self.site.send_request()).status, 200)

        def neighbours(zone: str) -> Neighbours:
            return Neighbours(clock.wall_ms() // SLOT_MS % SLOT_COUNT, 9, 9)

        parts.members.neighbours = neighbours
        await self.site.wait_until(lambda: self.site.log_events("readiness_withdrawn"))
        self.assertEqual(await self.readiness_status(), 503)
        answers = [await self.site.send_request(f"b{n}") for n in range(20)]
        shed = [got for got in answers if got.status == 503]
        self.assertTrue(0 < len(shed) < 20)
        self.assertTrue(all("retry-after" in got.headers for got in shed))
        parts.process_load.set_pass_ms(10_000)
        await self.site.wait_until(lambda: self.site.log_events("readiness_restored"))
        self.assertEqual(await self.readiness_status(), 200)


class TestStoreOutage(ServiceTest):
    async def test_requests_are_served_during_a_store_outage(self):
        await self.site.add_endpoint(answer)
        await self.site.start(configuration())
        for fault in (StoreFault.BUSY, StoreFault.SILENT, StoreFault.LOST_ANSWER):
            self.site.store.fault = fault
            with self.subTest(fault=fault):
                self.assertEqual((await self.site.send_request()).status, 200)
                self.assertEqual(await self.readiness_status(), 200)

    async def test_a_store_outage_is_logged_once_for_each_table(self):
        await self.site.add_endpoint(answer)
        await self.site.start(configuration())
        self.site.store.fault = StoreFault.BUSY
        await self.site.wait_until(lambda: self.site.log_events("dependency_lost"))
        await asyncio.sleep(0.5)
        self.site.store.fault = StoreFault.NONE
        await self.site.wait_until(lambda: self.site.log_events("dependency_regained"))
        tables = [line["table"] for line in self.site.log_events("dependency_lost")]
        self.assertEqual(len(tables), len(set(tables)))

    async def test_endpoints_whose_rows_expired_in_an_outage_are_still_used(self):
        await self.site.add_endpoint(answer)
        await self.site.start(configuration())
        self.site.store.fault = StoreFault.BUSY
        await self.site.wait_until(
            lambda: [
                line
                for line in self.site.log_events("dependency_lost")
                if line["table"] == "servers"
            ]
        )
        row = self.site.store.read_value("servers", "i-1")
        self.site.store.remove("servers", "i-1")
        self.site.store.fault = StoreFault.NONE
        await self.site.wait_until(
            lambda: [
                line
                for line in self.site.log_events("dependency_regained")
                if line["table"] == "servers"
            ]
        )
        self.assertEqual((await self.site.send_request()).status, 200)
        self.site.store.put("servers", "i-1", row)
        await asyncio.sleep(1)
        self.assertEqual((await self.site.send_request()).status, 200)

    async def test_an_instance_started_without_a_store_is_not_ready(self):
        self.site.store.fault = StoreFault.BUSY
        await self.site.start(None)
        self.assertEqual(await self.readiness_status(), 503)
        self.assertEqual((await self.site.send_request()).status, 503)
        self.site.store.put("op", "config", configuration())
        self.site.store.fault = StoreFault.NONE
        await self.site.wait_until(lambda: self.site.service.is_ready)
        self.assertEqual(await self.readiness_status(), 200)


class TestStop(ServiceTest):
    async def test_a_stop_fails_the_readiness_check_and_completes_all_requests(self):
        release = asyncio.Event()

        async def slow(call) -> None:
            await release.wait()
            call.answer(body=b"whole answer")

        endpoint = await self.site.add_endpoint(slow)
        await self.site.start(configuration(timeout_ms=8_000))
        address = self.site.service.caller_server.address()
        reader, writer = await self.site.connect()
        writer.write(request("a1"))
        await self.site.wait_until(lambda: endpoint.calls)
        stopping = asyncio.create_task(self.site.service.stop())
        await asyncio.sleep(0.05)
        self.assertEqual(await self.readiness_status(), 503)
        late = asyncio.create_task(self.site.send_request("a2"))
        await self.site.wait_until(lambda: len(endpoint.calls) == 2)
        await asyncio.sleep(2.8)
        with self.assertRaises(OSError):
            await asyncio.open_connection(*address)
        self.assertFalse(stopping.done())
        release.set()
        got = await read_answer(reader)
        self.assertEqual((got.status, got.headers["connection"]), (200, "close"))
        self.assertEqual((await late).status, 200)
        await asyncio.wait_for(stopping, 2)
        writer.close()


if __name__ == "__main__":
    unittest.main()
