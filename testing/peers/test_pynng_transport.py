import asyncio
import unittest

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.observability.metrics import NoMetrics
from _monsoonpulley.peers.pynng_transport import SEND_QUEUE_MESSAGES, PynngTransport

ANY_PORT = "tcp://127.0.0.1:0"
TIMEOUT_S = 5


def open_transport(listen=ANY_PORT):
    transport = PynngTransport(listen, NoMetrics())
    failure = transport.open()
    if failure is not None:
        raise RuntimeError(str(failure))
    return transport


class PynngTransportTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.one, self.other = open_transport(), open_transport()

    async def asyncTearDown(self):
        await self.one.close()
        await self.other.close()

    async def receive_within_timeout(self, transport):
        async with asyncio.timeout(TIMEOUT_S):
            return await transport.receive()

    async def test_messages_arrive_both_ways(self):
        self.one.send(self.other.address, b"there")
        self.assertEqual(await self.receive_within_timeout(self.other), b"there")
        self.other.send(self.one.address, b"back")
        self.assertEqual(await self.receive_within_timeout(self.one), b"back")

    async def test_a_restarted_peer_is_reached_again(self):
        self.one.send(self.other.address, b"first")
        await self.receive_within_timeout(self.other)
        address = self.other.address
        await self.other.close()
        for _ in range(SEND_QUEUE_MESSAGES * 2):
            self.one.send(address, b"while it is away")
        self.other = open_transport(address)
        self.assertEqual(
            await self.receive_within_timeout(self.other), b"while it is away"
        )

    async def test_an_address_in_use_is_a_failure(self):
        second = PynngTransport(self.one.address, NoMetrics())
        failure = second.open()
        self.assertIsInstance(failure, Failure)
        self.assertEqual(failure.reason, Reason.UNAVAILABLE)

    async def test_a_malformed_address_does_not_affect_other_sends(self):
        self.one.send("no address", b"lost")
        self.one.send(self.other.address, b"there")
        self.assertEqual(await self.receive_within_timeout(self.other), b"there")
