import asyncio
import socket
import unittest

from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from _monsoonpulley.entry.httpserver import HttpServer, listening_socket

MAX_WAIT_MS = 1_000

REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nwork"


class ListeningSocketTest(unittest.IsolatedAsyncioTestCase):
    async def test_accepted_connections_send_without_delay(self):
        accepted = asyncio.get_running_loop().create_future()

        def accept(reader, writer):
            sock = writer.get_extra_info("socket")
            accepted.set_result(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            writer.close()

        server = await asyncio.start_server(
            accept, sock=listening_socket("127.0.0.1", 0)
        )
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        self.assertTrue(await accepted)
        writer.close()
        await writer.wait_closed()
        server.close()
        await server.wait_closed()


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Guards against accepted requests that a planned stop cuts off."""

    async def asyncSetUp(self):
        self.release = asyncio.Event()
        self.release.set()

        async def handle(request):
            await request.body()
            await self.release.wait()
            return PlainTextResponse("x" * 1_000_000)

        app = Starlette(routes=[Route("/", handle, methods=["POST"])])
        self.server = HttpServer(app, "127.0.0.1", 0)
        self.running = asyncio.create_task(self.server.run())
        self.addAsyncCleanup(self.end)
        while not self.server.started:
            await asyncio.sleep(0.01)

    async def end(self):
        self.server.stop(MAX_WAIT_MS)
        await self.running

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.server.port)

    async def assert_answered(self, reader, writer):
        got = await asyncio.wait_for(reader.read(), 5)
        self.assertTrue(got.startswith(b"HTTP/1.1 200"), got[:40])
        self.assertTrue(got.endswith(b"x" * 1_000_000))
        writer.close()

    async def test_a_connection_accepted_last_gets_its_request_answered(self):
        reader, writer = await self.connect()
        await asyncio.sleep(0.05)
        self.server.stop(MAX_WAIT_MS)
        await asyncio.sleep(0.4)
        writer.write(REQUEST)
        await self.assert_answered(reader, writer)

    async def test_a_connection_that_waits_to_be_accepted_is_served(self):
        self.server._max_idle_wait_ms = MAX_WAIT_MS
        with socket.create_connection(("127.0.0.1", self.server.port)) as caller:
            caller.sendall(REQUEST)
            stopping = asyncio.create_task(
                self.server.shutdown([self.server._listener])
            )
            self.addAsyncCleanup(asyncio.wait, [stopping])
            caller.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=caller)
            await self.assert_answered(reader, writer)

    async def test_a_body_that_still_arrives_is_waited_for(self):
        reader, writer = await self.connect()
        writer.write(REQUEST[:-2])
        await asyncio.sleep(0.05)
        self.server.stop(MAX_WAIT_MS)
        await asyncio.sleep(0.4)
        writer.write(REQUEST[-2:])
        await self.assert_answered(reader, writer)

    async def test_pipelined_requests_are_all_answered(self):
        self.release.clear()
        reader, writer = await self.connect()
        writer.write(REQUEST + REQUEST)
        await asyncio.sleep(0.05)
        self.server.stop(MAX_WAIT_MS)
        await asyncio.sleep(0.4)
        self.release.set()
        got = await asyncio.wait_for(reader.read(), 5)
        self.assertEqual(got.count(b"HTTP/1.1 200"), 2)
        writer.close()

    async def test_idle_connections_delay_a_stop_by_a_bounded_time(self):
        _, writer = await self.connect()
        self.server.stop(MAX_WAIT_MS)
        await asyncio.wait_for(self.running, MAX_WAIT_MS / 1000 + 1)
        writer.close()
