import asyncio
import socket
import unittest

from _monsoonpulley.entry.httpserver import listening_socket


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
