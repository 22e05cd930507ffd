"""A TCP server that sends scripted bytes, and clients connected to it."""

import asyncio
import contextlib
import socket

from _monsoonpulley.clock import Clock
from _monsoonpulley.endpoints import builtin  # noqa: F401
from _monsoonpulley.endpoints.adapters import (
    EndpointTarget,
    engine_adapters,
    service_adapters,
)
from _monsoonpulley.endpoints.http_transport import HttpSessions


class ScriptedHandler:
    """Handler that answers each request with the next bytes, then closes.

    ``None`` in ``answers`` closes the connection after the request, unanswered. With
    ``keep_open`` further requests are read on the same connection.
    """

    def __init__(self, *answers, keep_open=False, close_delay_s=0.0):
        self.answers = list(answers)
        self.keep_open = keep_open
        self.close_delay_s = close_delay_s
        self.requests = []

    async def __call__(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                self.requests.append(request)
                answer = self.answers.pop(0) if self.answers else None
                if answer is None:
                    break
                await self._send(writer, answer)
                if not self.keep_open:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _send(self, writer, answer):
        pieces = [answer] if isinstance(answer, bytes) else answer
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        await asyncio.sleep(self.close_delay_s)


async def read_request(reader):
    """Return the head and body of a request, ``None`` at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line.split(b":")[1])
    return head, await reader.readexactly(size)


@contextlib.asynccontextmanager
async def raw_server(handler):
    tasks = set()

    async def handle(reader, writer):
        tasks.add(asyncio.current_task())
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await handler(reader, writer)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks)


@contextlib.asynccontextmanager
async def client(kind, port, **target):
    """Yield a client connected to ``port``; ``kind`` is ``openai`` or ``http``."""
    sessions = HttpSessions()
    registry = engine_adapters if kind == "openai" else service_adapters
    endpoint_target = EndpointTarget("e1", f"127.0.0.1:{port}", **target)
    try:
        adapter = registry.get(kind)
        yield adapter.connect(endpoint_target, sessions, Clock.from_system())
    finally:
        await sessions.close()


def answer(body=b"ok", status="200 OK", *headers):
    lines = [f"HTTP/1.1 {status}".encode(), *headers]
    lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def free_port():
    """Return a port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
