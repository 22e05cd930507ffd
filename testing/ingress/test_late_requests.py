"""Requests that a stopping instance reads when little time is left."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from _monsoonpulley.ingress import service

from .site import Site, configuration, read_answer, request

LISTEN_MS = 200
"""Shortened time of listening during a stop."""

LATE_S = 0.35
"""Time after the start of a stop, after listening and before requests are ended."""

GRACE_PERIOD_S = 1.5

LONG_MS = 8_000
"""Longest time of a request, which exceeds the grace period."""

MAX_RETRY_S = 0.5
"""Other instances serve: callers are told to return soon."""

NOT_RUN = "Monsoonpulley-Not-Executed: 1\r\n"


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)
        self.release = asyncio.Event()

    async def start(self, script, **changes):
        endpoint = await self.site.add_endpoint(script)
        document = configuration(timeout_ms=LONG_MS, **changes)
        await self.site.start(document, grace_period_s=GRACE_PERIOD_S)
        self.site.service.parts.members.has_serving = lambda: True
        return endpoint

    async def add_other(self, script):
        endpoint = await self.site.add_endpoint(script)
        directory = self.site.service.parts.directory
        await self.site.wait_until(lambda: len(directory.all()) == 2)
        return endpoint

    async def hang(self, call) -> None:
        await asyncio.sleep(10)

    async def answer_first(self, call) -> None:
        """Answer the first request when released, and never the others."""
        if call.request_id != "a1":
            await self.hang(call)
        await self.release.wait()
        call.answer()

    async def stream_first(self, call) -> None:
        if call.request_id != "a1":
            call.start_stream()
            call.write_event(1)
            await self.hang(call)
        call.start_stream()
        call.write_event(1)
        await self.release.wait()
        call.write_chunk(b"")

    def begin_stop(self) -> asyncio.Task:
        stopping = asyncio.create_task(self.site.service.stop())
        self.addAsyncCleanup(asyncio.wait, [stopping])
        return stopping

    async def read(self, reader):
        return await asyncio.wait_for(read_answer(reader), 5)


class TestLateRequests(StopTest):
    """Guards against requests that are begun so late that the stop cuts them off."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        patch = mock.patch.object(service, "DRAIN_LISTEN_MS", LISTEN_MS)
        patch.start()
        self.addCleanup(patch.stop)

    async def assert_refused(self, reader, writer, endpoint, call_count=0):
        """Check that others are left to serve the request, which has not run."""
        got = await self.read(reader)
        self.assertEqual((got.status, got.headers["connection"]), (503, "close"))
        self.assertLessEqual(float(got.headers["retry-after"]), MAX_RETRY_S)
        self.assertEqual(len(endpoint.calls), call_count)
        writer.close()
        return got

    async def test_a_connection_that_carried_a_stream_is_used_again(self):
        endpoint = await self.start(self.stream_first, kind="streaming")
        reader, writer = await self.site.connect()
        writer.write(request("a1", deadline_ms=LONG_MS))
        await reader.readuntil(b"\r\n\r\n")
        self.begin_stop()
        await asyncio.sleep(LATE_S)
        self.release.set()
        await asyncio.wait_for(reader.readuntil(b"\r\n0\r\n\r\n"), 5)
        writer.write(request("a2", deadline_ms=LONG_MS))
        await self.assert_refused(reader, writer, endpoint, call_count=1)
        line = self.site.log_events("request")[-1]
        self.assertEqual(line["earlier_requests"], 1)
        self.assertGreaterEqual(line["stopping_for_ms"], LATE_S * 1000)

    async def test_a_connection_that_was_opened_late_is_used(self):
        endpoint = await self.start(self.hang)
        self.begin_stop()
        await asyncio.sleep(LISTEN_MS / 2000)
        reader, writer = await self.site.connect()
        await asyncio.sleep(LATE_S)
        writer.write(request(deadline_ms=LONG_MS))
        await self.assert_refused(reader, writer, endpoint)

    async def test_a_request_arrives_slowly(self):
        endpoint = await self.start(self.hang)
        reader, writer = await self.site.connect()
        data = request(deadline_ms=LONG_MS)
        writer.write(data[:-2])
        await asyncio.sleep(0.05)
        self.begin_stop()
        await asyncio.sleep(LATE_S)
        writer.write(data[-2:])
        await self.assert_refused(reader, writer, endpoint)
        line = self.site.log_events("request")[-1]
        self.assertGreaterEqual(line["receive_ms"], LATE_S * 1000)

    async def test_a_request_waits_behind_a_long_answer(self):
        endpoint = await self.start(self.answer_first)
        reader, writer = await self.site.connect()
        writer.write(request("a1") + request("a2", deadline_ms=LONG_MS))
        await self.site.wait_until(lambda: endpoint.calls)
        self.begin_stop()
        await asyncio.sleep(LATE_S)
        self.release.set()
        self.assertEqual((await self.read(reader)).status, 200)
        await self.assert_refused(reader, writer, endpoint, call_count=1)

    async def test_another_instance_asks_late(self):
        endpoint = await self.start(self.hang)
        address = self.site.service.peer_server.address()
        reader, writer = await asyncio.open_connection(*address)
        await asyncio.sleep(0.05)
        self.begin_stop()
        await asyncio.sleep(LATE_S)
        writer.write(
            request(deadline_ms=LONG_MS, extra="Monsoonpulley-Peer-Sends: 0\r\n")
        )
        got = await self.assert_refused(reader, writer, endpoint)
        self.assertEqual(got.headers["monsoonpulley-peer-outcome"], "no_link")

    async def test_a_request_that_did_not_run_is_not_begun_elsewhere_late(self):
        async def refuse_late(call) -> None:
            if len(self.site.endpoints[0].calls) + len(other.calls) > 1:
                await self.hang(call)
            await self.release.wait()
            call.answer(503, seal=None, extra=NOT_RUN)

        endpoint = await self.start(refuse_late)
        other = await self.add_other(refuse_late)
        reader, writer = await self.site.connect()
        writer.write(request(deadline_ms=LONG_MS))
        await self.site.wait_until(lambda: endpoint.calls or other.calls)
        self.begin_stop()
        await asyncio.sleep(LATE_S)
        self.release.set()
        got = await self.read(reader)
        self.assertEqual(got.status, 503)
        self.assertEqual(len(endpoint.calls) + len(other.calls), 1)
        writer.close()

    async def test_another_instance_is_not_told_that_nothing_was_sent(self):
        """Guards against a further send by the asking instance, beyond its retries."""

        async def refuse_late(call) -> None:
            await self.release.wait()
            call.answer(503, seal=None, extra=NOT_RUN)

        endpoint = await self.start(refuse_late)
        address = self.site.service.peer_server.address()
        reader, writer = await asyncio.open_connection(*address)
        extra = "Monsoonpulley-Peer-Sends: 0\r\n"
        writer.write(request(deadline_ms=LONG_MS, extra=extra))
        await self.site.wait_until(lambda: endpoint.calls)
        self.begin_stop()
        await asyncio.sleep(LATE_S)
        self.release.set()
        got = await self.assert_refused(reader, writer, endpoint, call_count=1)
        self.assertEqual(got.headers["monsoonpulley-peer-outcome"], "not_run")

    async def test_callers_are_not_sent_back_while_no_instance_serves(self):
        await self.start(self.hang)
        self.site.service.parts.members.has_serving = lambda: False
        reader, writer = await self.site.connect()
        self.begin_stop()
        await asyncio.sleep(LATE_S)
        writer.write(request(deadline_ms=LONG_MS))
        got = await self.read(reader)
        self.assertEqual(got.status, 503)
        left_s = GRACE_PERIOD_S - LATE_S
        self.assertGreater(float(got.headers["retry-after"]), left_s)
        writer.close()

    async def test_a_stream_that_broke_off_is_resumed_late(self):
        async def stream(call) -> None:
            is_resumed = "last-event-id" in call.headers
            call.start_stream()
            call.write_event(2 if is_resumed else 1)
            if not is_resumed:
                await self.release.wait()
                call.writer.transport.abort()
            call.write_chunk(b"")

        await self.start(stream, kind="streaming", resume_streams=True)
        await self.add_other(stream)
        reader, writer = await self.site.connect()
        writer.write(request(deadline_ms=LONG_MS))
        await reader.readuntil(b"\r\n\r\n")
        self.begin_stop()
        await asyncio.sleep(LATE_S)
        self.release.set()
        rest = await asyncio.wait_for(reader.readuntil(b"\r\n0\r\n\r\n"), 5)
        self.assertEqual((rest.count(b"id: 1"), rest.count(b"id: 2")), (1, 1))
        writer.close()

    async def test_a_stream_is_not_resumed_when_the_stop_ends(self):
        async def break_off(call) -> None:
            call.start_stream()
            call.write_event(1)
            await self.release.wait()
            call.writer.transport.abort()

        endpoint = await self.start(break_off, kind="streaming", resume_streams=True)
        other = await self.add_other(break_off)
        reader, writer = await self.site.connect()
        writer.write(request(deadline_ms=LONG_MS))
        await reader.readuntil(b"\r\n\r\n")
        now_ms = self.site.clock.now_ms()
        self.site.service.parts.stop_gate.begin(now_ms, 0, now_ms)
        self.release.set()
        rest = await asyncio.wait_for(reader.read(), 5)
        self.assertFalse(rest.endswith(b"0\r\n\r\n"))
        self.assertEqual(len(endpoint.calls) + len(other.calls), 1)
        writer.close()


class TestShortGracePeriod(StopTest):
    """The grace period ends before the usual time of listening does."""

    async def test_a_request_gets_an_answer_before_the_process_is_killed(self):
        await self.start(self.hang)
        reader, writer = await self.site.connect()
        writer.write(request(deadline_ms=LONG_MS))
        await asyncio.sleep(0.05)
        self.begin_stop()
        async with asyncio.timeout(GRACE_PERIOD_S):
            self.assertEqual((await self.read(reader)).status, 504)
        writer.close()

    async def test_requests_have_five_sixths_of_the_grace_period(self):
        async def answer_late(call) -> None:
            await asyncio.sleep(GRACE_PERIOD_S * 0.75)
            call.answer()

        await self.start(answer_late)
        reader, writer = await self.site.connect()
        writer.write(request(deadline_ms=LONG_MS))
        await asyncio.sleep(0.05)
        self.begin_stop()
        self.assertEqual((await self.read(reader)).status, 200)
        writer.close()


if __name__ == "__main__":
    unittest.main()
