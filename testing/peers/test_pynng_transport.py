import asyncio
import unittest

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.observability.metrics import NoMetrics
from _monsoonpulley.peers.pynng_transport import SEND_QUEUE_MESSAGES, PynngTransport

ANY_PORT = "tcp://127.0.0.1:0"
TIMEOUT_S = 5


def opened(listen=ANY_PORT):
    transport = PynngTransport(listen, NoMetrics())
    failure = transport.open()
    if failure is not None:
        raise RuntimeError(str(failure))
    return transport


class PynngTransportTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.one, self.other = opened(), opened()

    async def asyncTearDown(self):
        await self.one.close()
        await self.other.close()

    async def received(self, transport):
        async with asyncio.timeout(TIMEOUT_S):
            return await transport.receive()

    async def test_messages_arrive_both_ways(self):
        self.one.send(self.other.address, b"there")
        self.assertEqual(await self.received(self.other), b"there")
        self.other.send(self.one.address, b"back")
        self.assertEqual(await self.received(self.one), b"back")

    async def test_a_peer_that_starts_again_is_reached_again(self):
        self.one.send(self.other.address, b"first")
        await self.received(self.other)
        address = self.other.address
        await self.other.close()
        for _ in range(SEND_QUEUE_MESSAGES * 2):
            self.one.send(address, b"while it is away")
        self.other = opened(address)
        self.assertEqual(await self.received(self.other), b"while it is away")

    async def test_an_address_that_is_taken_is_a_failure(self):
        second = PynngTransport(self.one.address, NoMetrics())
        failure = second.open()
        self.assertIsInstance(failure, Failure)
        self.assertEqual(failure.reason, Reason.UNAVAILABLE)

    async def test_a_broken_address_does_no_harm(self):
        self.one.send("no address", b"lost")
        self.one.send(self.other.address, b"there")
        self.assertEqual(await self.received(self.other), b"there")
