import asyncio
import socket
import unittest

from starlette.responses import PlainTextResponse

from _monsoonpulley.httpserver import HttpServer


class HttpServerTest(unittest.TestCase):
    def test_connections_send_without_delay(self):
        async def main():
            server = HttpServer(PlainTextResponse("ok"), "127.0.0.1", 0)
            loop = asyncio.get_running_loop()
            listener = server._listener
            listener.setblocking(False)
            client = socket.socket()
            client.setblocking(False)
            await loop.sock_connect(client, listener.getsockname())
            connection, _ = await loop.sock_accept(listener)
            transport, _ = await loop.connect_accepted_socket(
                asyncio.Protocol, connection
            )
            raw = transport.get_extra_info("socket")
            value = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            transport.close()
            client.close()
            listener.close()
            return value

        self.assertNotEqual(asyncio.run(main()), 0)
