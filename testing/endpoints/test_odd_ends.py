"""Answers that end oddly, at every reader of answers of the gateway."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
import unittest

import msgspec

from _monsoonpulley.clock import Clock
from _monsoonpulley.commandline.operatorclient import OperatorClient
from _monsoonpulley.commandline.placement import fetch_explanation
from _monsoonpulley.endpoints.engine import CancelOutcome, LoadReport
from _monsoonpulley.endpoints.engine_metrics import format_metrics
from _monsoonpulley.endpoints.service import Execution, Lookup
from _monsoonpulley.errors import Failure
from _monsoonpulley.explain.peeroperators import HttpPeerOperatorClient
from _monsoonpulley.external.connect import open_platform_session
from _monsoonpulley.external.http_objects import HttpObjectStore
from _monsoonpulley.external.httpapi import HttpApi
from _monsoonpulley.operator_wire import ExplainBody
from _monsoonpulley.placement_wire import PlacementExplanation, PlacementQuery
from _monsoonpulley.wire.httpclient import HttpClient

from ..standins.fleet import engine_call
from .rawserver import client, raw_server
from .test_http_service import service_call

OK = b"HTTP/1.1 200 OK\r\n"
SMALL, LARGE = b"x" * 10, b"x" * 24_000_000
"""The kernel's buffers for a connection hold up to some 10 MB."""

MAX_TAKEN_S = 1.5
"""Less than any call's time limit."""


LOAD = format_metrics(LoadReport(1_000, 3, 2, 900, 0.25, 8000.0, 12.5, 16)).encode()
EXPLANATION = msgspec.json.encode(ExplainBody("request/r1", ()))
PLACEMENT = msgspec.json.encode(PlacementExplanation("instance", "zone-a", 1))


async def generate(engine):
    return [item async for item in engine.generate(engine_call())][-1]


async def fetch_object(client):
    return await HttpObjectStore(client).get("name")


async def store_call(store, body=b""):
    return await store.call("POST", "/x", body=body, timeout_ms=3_000)


@contextlib.asynccontextmanager
async def platform_api(port):
    session = open_platform_session()
    try:
        yield HttpApi(session, f"http://127.0.0.1:{port}", 3_000)
    finally:
        await session.close()


@contextlib.asynccontextmanager
async def http_client(port):
    found = HttpClient("127.0.0.1", port, Clock.from_system())
    try:
        yield found
    finally:
        found.close()


@contextlib.asynccontextmanager
async def peer_operator_client(port):
    session = open_platform_session()
    try:
        yield lambda: HttpPeerOperatorClient(session).explain_local(
            "instance", f"127.0.0.1:{port}", "request/r1", ""
        )
    finally:
        await session.close()


def operator_client(port):
    url = f"http://127.0.0.1:{port}"
    return OperatorClient(url, "", Clock.from_system(), random.Random(1))


@contextlib.asynccontextmanager
async def placement_client(port):
    query = PlacementQuery("site.example")
    yield lambda: fetch_explanation(f"http://127.0.0.1:{port}", query)


def service(port):
    return client("http", port, has_lookup=True)


def engine(port):
    return client("openai", port)


EVENTS = b"content-type: text/event-stream\r\n"

READERS = {
    "call": (
        service,
        lambda c: c.call(service_call(body=SMALL, timeout_ms=3_000)),
        b"part",
    ),
    "lookup": (
        service,
        lambda c: c.lookup("r1"),
        msgspec.json.encode(Lookup(Execution.NOT_RUN)),
    ),
    "cancel": (
        engine,
        lambda c: c.cancel("r1.1"),
        msgspec.json.encode({"outcome": CancelOutcome.STOPPED}),
    ),
    "load": (engine, lambda c: c.load_report(), LOAD),
    "cache events": (engine, lambda c: c.cache_events(0), b'{"events":[]}'),
    "cache": (engine, lambda c: c.export_kv("r1.1"), b"part"),
    "generate": (engine, generate, b'data: {"choices":[]}\n\n'),
    "object": (platform_api, fetch_object, b"part"),
    "platform": (platform_api, lambda c: c.send_change("s", "POST", "/x", SMALL), b""),
    "store": (http_client, store_call, b"part"),
    "other instance": (peer_operator_client, lambda c: c(), EXPLANATION),
    "explain place": (placement_client, lambda c: c(), PLACEMENT),
    "command line": (operator_client, lambda c: c.explain("request/r1"), EXPLANATION),
}
"""Readers of the gateway and of the command line, and that of the platform's store and
cloud in the ingress: the client, a call and a body that the call takes for a whole
one."""

UPLOADS = {
    "call": (
        service,
        lambda c: c.call(service_call(body=LARGE, timeout_ms=3_000)),
        b"part",
    ),
    "cache": (engine, lambda c: c.import_kv("r1.1", LARGE), b"part"),
    "platform": (platform_api, lambda c: c.send_change("s", "POST", "/x", LARGE), b""),
    "store": (http_client, lambda c: store_call(c, LARGE), b"part"),
}
"""The same for requests that are still written when their answer begins."""


def reset(writer):
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def reset_at_once(reader, writer):
    reset(writer)


async def reset_later(reader, writer):
    await writer.drain()
    await asyncio.sleep(0.05)
    reset(writer)


async def end_and_reset(reader, writer):
    writer.write_eof()
    await reset_later(reader, writer)


async def end_and_read(reader, writer):
    writer.write_eof()
    while await reader.read(65_536):
        pass


async def keep_open(reader, writer):
    await writer.drain()
    await asyncio.sleep(MAX_TAKEN_S + 1)


class OddEndTest(unittest.IsolatedAsyncioTestCase):
    async def read(self, reader, head, end):
        """Return what a reader makes of an answer, and the time it took."""
        connect, call, body = reader

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + body)
            await end(reader, writer)

        async with raw_server(answer) as port, connect(port) as found:
            started_s = time.monotonic()
            result = await call(found)
            return result, time.monotonic() - started_s

    def head_for(self, name):
        return OK + (EVENTS if name == "generate" else b"") + b"\r\n"


class TestResets(OddEndTest):
    # MIXED: a part of an answer without a length, whose connection was reset while the
    # upload was still written, was passed on as a whole one.
    async def test_an_answer_without_a_length_that_is_reset_fails(self):
        for readers in (READERS, UPLOADS):
            for name, reader in readers.items():
                for end in (reset_at_once, reset_later):
                    with self.subTest(reader=name, end=end.__name__):
                        result, _ = await self.read(reader, self.head_for(name), end)
                        self.assertIsInstance(result, Failure)

    async def test_an_answer_that_is_reset_after_its_end_fails_during_an_upload(self):
        for name, reader in UPLOADS.items():
            with self.subTest(reader=name):
                result, _ = await self.read(reader, OK + b"\r\n", end_and_reset)
                self.assertIsInstance(result, Failure)

    async def test_an_answer_without_a_length_is_whole_at_its_connections_end(self):
        for readers in (READERS, UPLOADS):
            for name, reader in readers.items():
                if name == "generate":
                    continue  # It has an end of its own.
                with self.subTest(reader=name):
                    result, _ = await self.read(reader, OK + b"\r\n", end_and_read)
                    self.assertNotIsInstance(result, Failure)


class TestStatuses(OddEndTest):
    # MIXED: an answer with a status that HTTP doesn't have was passed on as an answer.
    async def test_an_answer_with_a_status_that_is_none_fails_at_once(self):
        for status in ("000", "001", "099", "600", "999", "20", "1000", "-20", "2x0"):
            for readers in (READERS, UPLOADS):
                for name, reader in readers.items():
                    with self.subTest(status=status, reader=name):
                        head = f"HTTP/1.1 {status} Odd\r\n".encode()
                        head += EVENTS if name == "generate" else b""
                        head += b"content-length: %d\r\n\r\n" % len(reader[2])
                        result, taken_s = await self.read(reader, head, keep_open)
                        self.assertIsInstance(result, Failure)
                        self.assertLess(taken_s, MAX_TAKEN_S)


if __name__ == "__main__":
    unittest.main()
