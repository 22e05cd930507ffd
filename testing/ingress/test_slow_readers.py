"""Callers and endpoints that read nothing for a while, with full buffers between."""

from __future__ import annotations

import asyncio
import socket
import unittest

from .site import (
    EndpointStandin,
    Site,
    configuration,
    endpoint_row,
    read_answer,
    request,
)

PAUSE_S = 4.0
"""Longer than `UNACKNOWLEDGED_TIMEOUT_MS`, at which the kernel ends the connection to a
peer without room for more bytes, too."""

LARGE_BYTES = 4_000_000
"""More than the kernel's buffers hold that `small_socket` leaves."""


def small_socket() -> socket.socket:
    """Return a socket whose buffer for received bytes is small."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    return sock


class TestSlowReaders(unittest.IsolatedAsyncioTestCase):
    """Guards against sound connections that are cut for a peer that reads slowly."""

    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)

    async def connect_slowly(self) -> socket.socket:
        sock = small_socket()
        sock.setblocking(False)
        address = self.site.service.caller_server.address()
        await asyncio.get_running_loop().sock_connect(sock, address)
        return sock

    async def receive_after_pause(self, sock: socket.socket):
        await asyncio.sleep(PAUSE_S)
        reader, writer = await asyncio.open_connection(sock=sock)
        got = await asyncio.wait_for(read_answer(reader), 5)
        writer.close()
        return got

    async def test_a_plain_answer(self):
        for size in (300_000, LARGE_BYTES):
            with self.subTest(size=size):

                async def large(call, size=size) -> None:
                    call.answer(body=b"x" * size)

                await self.site.add_endpoint(large)
                await self.site.start(configuration(timeout_ms=10_000))
                sock = await self.connect_slowly()
                sock.send(request(deadline_ms=10_000))
                got = await self.receive_after_pause(sock)
                self.assertTrue(got.is_whole)
                await self.site.stop()
                self.site = Site()

    async def test_a_stream(self):
        async def stream(call) -> None:
            call.start_stream()
            for number in range(1, 9):
                call.write_chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * 500_000))
                await call.writer.drain()
            call.write_chunk(b"")

        await self.site.add_endpoint(stream)
        await self.site.start(configuration(kind="streaming", timeout_ms=10_000))
        sock = await self.connect_slowly()
        sock.send(request(deadline_ms=10_000))
        self.assertTrue((await self.receive_after_pause(sock)).is_whole)

    async def test_a_request_with_a_long_body(self):
        async def take(call) -> None:
            call.answer()

        sock = small_socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        ip, port = sock.getsockname()
        endpoint = EndpointStandin(take)
        self.site.store.put("servers", "i-1", endpoint_row(f"{ip}:{port}"))
        await self.site.start(configuration(timeout_ms=10_000))
        sending = asyncio.create_task(
            self.site.send_request(body=b"x" * LARGE_BYTES, deadline_ms=10_000)
        )
        await asyncio.sleep(PAUSE_S)
        server = await asyncio.start_server(endpoint._serve, sock=sock)
        self.addCleanup(server.close)
        self.assertEqual((await sending).status, 200)


if __name__ == "__main__":
    unittest.main()
