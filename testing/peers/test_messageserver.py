"""What anybody may send to the port for messages of other instances."""

from __future__ import annotations

import asyncio
import unittest

from _monsoonpulley.callerbudget import BudgetLimits, CallerBudget
from _monsoonpulley.peers.envelope import MAX_MESSAGE_BYTES
from _monsoonpulley.peers.messageserver import (
    LENGTH_BYTES,
    MAX_QUEUED_MESSAGES,
    PULL_HEADER,
    PUSH_HEADER,
    MessageServer,
)

TIMEOUT_S = 5


def frame(message: bytes) -> bytes:
    return len(message).to_bytes(LENGTH_BYTES, "big") + message


class TestMessageServer(unittest.IsolatedAsyncioTestCase):
    """Guards against messages and connections that take memory or descriptors."""

    async def asyncSetUp(self):
        self.budget = CallerBudget(BudgetLimits(10_000_000, 8))
        self.server = MessageServer(self.budget)
        self.addAsyncCleanup(self.server.close)
        self.address = self.server.open("127.0.0.1", 0)

    async def connect(self):
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        return reader, writer

    async def receive(self) -> bytes:
        async with asyncio.timeout(TIMEOUT_S):
            return await self.server.receive()

    async def assert_closed(self, reader) -> None:
        """Check that a connection is closed while messages are received."""
        receiving = asyncio.create_task(self.server.receive())
        self.addCleanup(receiving.cancel)
        async with asyncio.timeout(TIMEOUT_S):
            try:
                while await reader.read(100):
                    pass
            except ConnectionError:
                pass
        self.assertFalse(receiving.done())
        report = self.budget.take_report()
        self.assertEqual(report.shed, {"malformed message": 1})

    async def test_messages_arrive_whole_and_in_order(self):
        reader, writer = await self.connect()
        messages = [b"", b"one", b"x" * MAX_MESSAGE_BYTES, b"last"]
        data = PUSH_HEADER + b"".join(map(frame, messages))
        writer.write(data[:3])
        await writer.drain()
        writer.write(data[3:])
        self.assertEqual([await self.receive() for _ in messages], messages)
        self.assertEqual(await reader.readexactly(len(PULL_HEADER)), PULL_HEADER)

    async def test_a_closed_server_has_no_connection_that_senders_could_use(self):
        """Guards against messages that are sent to an instance that has ended."""
        _, writer = await self.connect()
        writer.write(PUSH_HEADER + frame(b"first"))
        await self.receive()
        await self.server.close()
        self.assertEqual(self.server._connections, set())
        self.assertEqual(self.budget.connection_count, 0)

    async def test_another_header_closes_the_connection(self):
        reader, writer = await self.connect()
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await self.assert_closed(reader)

    async def test_a_message_that_is_too_large_closes_the_connection(self):
        reader, writer = await self.connect()
        length = (MAX_MESSAGE_BYTES + 1).to_bytes(LENGTH_BYTES, "big")
        writer.write(PUSH_HEADER + length + b"x" * 1_000)
        await self.assert_closed(reader)

    async def test_a_full_queue_pauses_reading_and_loses_nothing(self):
        _, writer = await self.connect()
        count = 3 * MAX_QUEUED_MESSAGES
        writer.write(PUSH_HEADER + b"".join(frame(b"%d" % n) for n in range(count)))
        self.assertEqual(await self.receive(), b"0")
        await asyncio.sleep(0.2)
        self.assertTrue(self.server.is_full)
        self.assertLessEqual(len(self.server._messages), MAX_QUEUED_MESSAGES)
        for number in range(1, count):
            self.assertEqual(await self.receive(), b"%d" % number)

    async def test_what_is_received_is_counted_until_it_is_taken(self):
        _, writer = await self.connect()
        writer.write(PUSH_HEADER + frame(b"x" * 500_000) * 2 + frame(b"y" * 500)[:-1])
        await self.receive()
        await asyncio.sleep(0.2)
        self.assertGreater(self.budget.held_bytes, 500_000)
        await self.receive()
        self.assertLess(self.budget.held_bytes, 10_000)
        writer.close()
        async with asyncio.timeout(TIMEOUT_S):
            while self.budget.held_bytes:
                await asyncio.sleep(0.01)

    async def test_connections_without_messages_make_room_for_a_sender(self):
        _, sender = await self.connect()
        sender.write(PUSH_HEADER + frame(b"first"))
        self.assertEqual(await self.receive(), b"first")
        for _ in range(30):
            await self.connect()
        await asyncio.sleep(0.1)
        self.assertLessEqual(self.budget.connection_count, 8)
        sender.write(frame(b"second"))
        self.assertEqual(await self.receive(), b"second")
