"""Endpoints of the gateway that send bytes without end, until their caller closes."""

import asyncio
import time
import unittest

from _monsoonpulley.endpoints.http_engine_control import MAX_CONTROL_BYTES
from _monsoonpulley.endpoints.http_service import MAX_ANSWER_BYTES
from _monsoonpulley.errors import Failure, Reason

from ..standins.fleet import engine_call
from .rawserver import client, raw_server, read_request
from .test_http_service import service_call

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
STREAM = OK + b"content-type: text/event-stream\r\n"

HEADS = {
    "noise": (b"", b"\x00\x01noise"),
    "empty lines": (b"", b"\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"OK"),
    "header": (OK + b"x-more: ", b"more"),
    "headers": (OK, b"x-more: more\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
}
BODIES = {
    "body": (OK + b"\r\n", b"more"),
    "chunks": (CHUNKED, b"4\r\nmore\r\n"),
    "chunk extension": (CHUNKED + b"4;", b"more"),
    "trailer": (CHUNKED + b"4\r\nmore\r\n0\r\n", b"x-more: more\r\n"),
}
EVENTS = {
    "empty events": (STREAM + b"\r\n", b"\n"),
    "comments": (STREAM + b"\r\n", b":\n\n"),
    "ids": (STREAM + b"\r\n", b"id: 1\n\n"),
    "line": (STREAM + b"\r\n", b"data: more"),
    "event": (STREAM + b"\r\n", b"data: more\n"),
}

CALL_TIMEOUT_MS = 8_000
MAX_TAKEN_S = 4.0
"""Half of the calls' time limit."""

SOCKET_BYTES = 8_000_000
"""What may wait in the buffers of both sockets, and what is read at once."""


async def call_engine(engine):
    return [item async for item in engine.generate(engine_call())][-1]


CALLS = {
    "generate": ("openai", call_engine, 2_000_000),
    "load": ("openai", lambda c: c.load_report(), MAX_CONTROL_BYTES),
    "cache events": ("openai", lambda c: c.cache_events(0), MAX_CONTROL_BYTES),
    "cancel": ("openai", lambda c: c.cancel("r1.1"), MAX_CONTROL_BYTES),
    "call": (
        "http",
        lambda c: c.call(service_call(timeout_ms=CALL_TIMEOUT_MS)),
        MAX_ANSWER_BYTES,
    ),
    "lookup": ("http", lambda c: c.lookup("r1"), 2 * MAX_ANSWER_BYTES),
}


class TestEndlessAnswers(unittest.IsolatedAsyncioTestCase):
    async def send_call(self, name, start, piece):
        """Return a call's result, the bytes that were sent and the time it took."""
        kind, call, _ = CALLS[name]
        block = piece * max(1, 65_536 // len(piece))
        sent_bytes = 0

        async def answer_without_end(reader, writer):
            nonlocal sent_bytes
            await read_request(reader)
            writer.write(start)
            while True:
                writer.write(block)
                await writer.drain()
                sent_bytes += len(block)
                await asyncio.sleep(0)

        async with (
            raw_server(answer_without_end) as port,
            client(kind, port, has_lookup=True) as endpoint,
        ):
            started_s = time.monotonic()
            result = await call(endpoint)
            return result, sent_bytes, time.monotonic() - started_s

    async def check(self, name, answers):
        for answer, (start, piece) in answers.items():
            with self.subTest(call=name, answer=answer):
                result, sent_bytes, taken_s = await self.send_call(name, start, piece)
                self.assertIsInstance(result, Failure)
                self.assertEqual(result.reason, Reason.PROTOCOL)
                self.assertLess(taken_s, MAX_TAKEN_S)
                self.assertLess(sent_bytes, CALLS[name][2] + SOCKET_BYTES)

    async def test_a_head_without_end_fails(self):
        for name in CALLS:
            await self.check(name, HEADS)

    async def test_a_body_without_end_fails(self):
        for name in CALLS:
            await self.check(name, BODIES)

    async def test_events_without_end_fail(self):
        await self.check("generate", EVENTS)
