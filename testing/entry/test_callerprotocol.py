"""Callers' connections to an entry instance."""

from __future__ import annotations

import asyncio
import socket
import unittest

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse
from starlette.routing import Route

from _monsoonpulley.callerbudget import BudgetLimits, CallerBudget
from _monsoonpulley.entry.callerprotocol import RequestLimits
from _monsoonpulley.entry.httpserver import HttpServer
from _monsoonpulley.errors import Failure
from _monsoonpulley.gateway.body import read_body
from _monsoonpulley.gateway.requestholding import holding_of

TIMEOUT_S = 5
MB = 1_000_000

SMALL = b"GET /echo HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = b"POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class ProtocolCase(unittest.IsolatedAsyncioTestCase):
    """A server with small limits and an application that is told what to do."""

    max_bytes = 10 * MB
    max_connections = 20
    limits = RequestLimits(
        max_header_bytes=4_096,
        max_in_progress=3,
        header_timeout_ms=300,
        idle_timeout_ms=300,
    )

    async def asyncSetUp(self):
        self.started_count = 0
        self.results = []
        self.release = asyncio.Event()
        self.release.set()
        app = Starlette(
            routes=[
                Route("/echo", self.echo),
                Route("/body", self.read, methods=["POST"]),
                Route("/early", self.answer_early, methods=["POST"]),
                Route("/large", self.large),
                Route("/answer", self.answer_at_length),
            ]
        )
        self.budget = CallerBudget(BudgetLimits(self.max_bytes, self.max_connections))
        self.server = HttpServer(app, "127.0.0.1", 0, self.budget, self.limits)
        running = asyncio.create_task(self.server.run())
        self.addAsyncCleanup(self.end, running)
        while not self.server.started:
            await asyncio.sleep(0.01)

    async def end(self, running):
        self.release.set()
        self.server.force_exit = True
        self.server.stop()
        await running

    async def echo(self, request: Request):
        self.started_count += 1
        await self.release.wait()
        return JSONResponse(dict(request.headers))

    async def read(self, request: Request):
        self.started_count += 1
        body = await read_body(request, 4 * MB)
        self.results.append(body)
        status = 429 if isinstance(body, Failure) else 200
        await self.release.wait()
        return JSONResponse(dict(request.headers), status)

    async def answer_early(self, request: Request):
        return PlainTextResponse("no", 401)

    async def answer_at_length(self, request: Request):
        # The kernel keeps up to 4 MB of each.
        return PlainTextResponse("x" * 9 * MB)

    async def large(self, request: Request):
        held = holding_of(request).try_add(int(request.query_params["bytes"]))
        return PlainTextResponse("kept" if held else "refused")

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, data: bytes) -> bytes:
        """Send data and return what the server sends until it closes."""
        reader, writer = await self.connect()
        writer.write(data)
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read()

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)


class TestMessages(ProtocolCase):
    """Guards against messages without end, which the server library keeps."""

    async def test_trailers_are_no_headers(self):
        reader, writer = await self.connect()
        writer.write(CHUNKED + b"4\r\nwork\r\n0\r\nAuthorization: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        self.assertNotIn(b"authorization", await reader.readuntil(b"}"))
        self.assertEqual(self.results, [b"work"])

    async def test_trailers_without_end_are_refused(self):
        got = await self.exchange(CHUNKED + b"4\r\nwork\r\n0\r\n" + b"a: b\r\n" * 5_000)
        self.assertIn(b" 429 ", got.split(b"\r\n")[0])
        self.assertNotIn(b"work", self.results)

    async def test_a_head_without_end_is_refused(self):
        for line in (b"a: b\r\n", b"a"):
            got = await self.exchange(SMALL[:-2] + line * 8_000)
            self.assertTrue(got.startswith(b"HTTP/1.1 431 "), got[:60])
        self.assertEqual(self.started_count, 0)

    async def test_a_head_that_is_late_is_refused(self):
        got = await self.exchange(SMALL[:-2])
        self.assertTrue(got.startswith(b"HTTP/1.1 408 "), got[:60])

    async def test_a_connection_without_a_request_is_closed(self):
        self.assertEqual(await self.exchange(b""), b"")

    async def test_a_body_behind_its_answer_is_not_read_for_long(self):
        reader, writer = await self.connect()
        writer.write(CHUNKED.replace(b"/body", b"/early"))
        async with asyncio.timeout(TIMEOUT_S):
            await reader.readuntil(b"no")
            with self.assertRaises(ConnectionError):
                while True:
                    writer.write(b"4\r\nwork\r\n")
                    await writer.drain()
                    await asyncio.sleep(0.01)


class TestPipelines(ProtocolCase):
    async def test_no_more_requests_are_parsed_than_may_wait(self):
        self.release.clear()
        _, writer = await self.connect()
        writer.write(SMALL * 5_000)
        await self.wait_until(lambda: self.started_count)
        await asyncio.sleep(0.1)
        self.assertEqual(self.started_count, 1)
        (connection,) = self.server.server_state.connections
        self.assertLess(len(connection.pipeline), 200)

    async def test_all_requests_are_served_in_turn(self):
        reader, writer = await self.connect()
        writer.write(SMALL * 2_000)
        async with asyncio.timeout(TIMEOUT_S):
            for _ in range(2_000):
                await reader.readuntil(b"}")
        self.assertEqual(self.started_count, 2_000)

    async def test_malformed_bytes_are_refused_behind_the_request_before(self):
        self.release.clear()
        reader, writer = await self.connect()
        writer.write(SMALL + b"\0\0\0\r\n\r\n")
        await self.wait_until(lambda: self.started_count)
        await asyncio.sleep(0.05)
        self.release.set()
        async with asyncio.timeout(TIMEOUT_S):
            got = await reader.read()
        self.assertTrue(got.startswith(b"HTTP/1.1 200 "), got[:60])
        self.assertEqual(got.count(b"HTTP/1.1"), 1)


class TestBudget(ProtocolCase):
    """Guards against memory that is not counted, and against untrue refusals."""

    async def test_a_body_that_is_shed_is_refused_and_never_used(self):
        reader, writer = await self.connect()
        writer.write(CHUNKED + b"4\r\nwork\r\n")
        await self.wait_until(lambda: self.started_count)
        (connection,) = self.server.server_state.connections
        connection.drop_pending()
        writer.write(b"0\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            got = await reader.read()
        self.assertTrue(got.startswith(b"HTTP/1.1 429 "), got[:60])
        self.assertIsInstance(self.results[0], Failure)

    async def test_bodies_are_counted_until_they_are_answered(self):
        self.release.clear()
        reader, writer = await self.connect()
        writer.write(CHUNKED + b"%x\r\n%s\r\n0\r\n\r\n" % (MB, b"x" * MB))
        await self.wait_until(lambda: self.results)
        self.assertGreater(self.budget.held_bytes, 2 * MB)
        self.release.set()
        await reader.readuntil(b"}")
        await self.wait_until(lambda: self.budget.held_bytes < 0.1 * MB)

    async def test_a_request_without_room_is_not_begun(self):
        self.budget.add_shared(self.max_bytes)
        got = await self.exchange(SMALL)
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "), got[:60])
        self.assertEqual(self.started_count, 0)

    async def test_memory_beyond_the_body_is_refused_without_room(self):
        for size_bytes, expected in ((MB, b"kept"), (20 * MB, b"refused")):
            request = SMALL.replace(b"/echo", b"/large?bytes=%d" % size_bytes)
            request = request[:-2] + b"Connection: close\r\n\r\n"
            self.assertTrue((await self.exchange(request)).endswith(expected))

    async def test_requests_beyond_those_in_progress_are_refused(self):
        self.release.clear()
        for _ in range(self.limits.max_in_progress):
            _, writer = await self.connect()
            writer.write(SMALL)
        await self.wait_until(lambda: self.started_count == 3)
        got = await self.exchange(SMALL)
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "), got[:60])
        self.assertIn(b"Retry-After: 1\r\n", got)
        self.assertEqual(self.started_count, 3)

    async def test_idle_connections_make_room_for_new_ones(self):
        for _ in range(3 * self.max_connections):
            await self.connect()
        reader, writer = await self.connect()
        writer.write(SMALL)
        async with asyncio.timeout(TIMEOUT_S):
            await reader.readuntil(b"}")
        self.assertLessEqual(self.budget.connection_count, self.max_connections)


class TestUnreadAnswers(ProtocolCase):
    """Guards against answers that pile up as nobody reads them."""

    max_bytes = 16 * MB
    caller_count = 4
    limits = RequestLimits(max_in_progress=caller_count)

    async def test_answers_that_are_not_read_are_shed_down_to_the_limit(self):
        for _ in range(self.caller_count):
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, ("127.0.0.1", self.server.port))
            await loop.sock_sendall(sock, SMALL.replace(b"/echo", b"/answer"))
        reports = []
        await self.wait_until(
            lambda: reports.append(self.budget.take_report()) or reports[-1]
        )
        self.assertLessEqual(self.budget.held_bytes, self.max_bytes)
        self.assertGreater(self.budget.connection_count, 0)
        self.assertEqual(reports[-1].refused_statuses, {})
