"""Whether an endpoint of the gateway still listens."""

from __future__ import annotations

import asyncio
import unittest

from _monsoonpulley.errors import Reason
from _monsoonpulley.external.livelist import Member, Role
from _monsoonpulley.requests.crashguard import probe_address


def member(address: str) -> Member:
    return Member("engine-1", Role.ENDPOINT, "zone-a", address)


class TestProbe(unittest.IsolatedAsyncioTestCase):
    async def test_an_endpoint_that_accepts_connections_listens(self):
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        self.assertIsNone(await probe_address(member(f"{ip}:{port}")))
        server.close()
        await server.wait_closed()
        failure = await probe_address(member(f"{ip}:{port}"))
        self.assertEqual(failure.reason, Reason.NOT_LISTENING)

    async def test_an_address_that_can_not_be_read_shows_nothing(self):
        failure = await probe_address(member("somewhere"))
        self.assertEqual(failure.reason, Reason.UNAVAILABLE)
