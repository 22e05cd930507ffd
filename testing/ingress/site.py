"""An ingress instance on loopback with stand-ins around it."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

from _monsoonpulley.clock import Clock
from _monsoonpulley.ids import InstanceId, ZoneId
from _monsoonpulley.ingress.counters import Counters
from _monsoonpulley.ingress.service import IngressService
from _monsoonpulley.observability.log import Log
from _monsoonpulley.platform.localsettings import Address, Bounds, LocalSettings
from _monsoonpulley.standins.rowstore import RowStoreStandin

TIMEOUT_S = 10
"""Limit of each wait, after which a hanging test fails."""

HOST = "site.example"
KEY = "key-1"

Script = Callable[["EndpointCall"], Awaitable[None]]


class EndpointCall:
    """A request at an endpoint stand-in."""

    def __init__(self, head: bytes, body: bytes, writer: asyncio.StreamWriter):
        self.head = head
        self.body = body
        self.writer = writer
        lines = head.split(b"\r\n")
        self.request_line = lines[0].decode()
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.decode().partition(":") for line in lines[1:])
            if name
        }

    @property
    def request_id(self) -> str:
        return self.headers["monsoonpulley-request-id"]

    def answer(
        self,
        status: int = 200,
        body: bytes = b"answer",
        *,
        seal: str | None = "seal-1",
        request_id: str | None = None,
        extra: str = "",
        length: int | None = None,
    ) -> None:
        """Write an answer; ``length`` replaces the true length of the body."""
        head = f"HTTP/1.1 {status} Status\r\n"
        head += f"Monsoonpulley-Request-Id: {request_id or self.request_id}\r\n"
        if seal is not None:
            head += f"Monsoonpulley-Response-Seal: {seal}\r\n"
        head += f"Content-Length: {len(body) if length is None else length}\r\n"
        self.writer.write(head.encode() + extra.encode() + b"\r\n" + body)

    def start_stream(self) -> None:
        """Write the head of an event stream with a chunked body."""
        self.writer.write(
            b"HTTP/1.1 200 OK\r\n"
            + f"Monsoonpulley-Request-Id: {self.request_id}\r\n".encode()
            + b"Monsoonpulley-Response-Seal: seal-1\r\n"
            + b"Content-Type: text/event-stream\r\n"
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )

    def write_chunk(self, data: bytes) -> None:
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def write_event(self, number: int) -> None:
        self.write_chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))


class EndpointStandin:
    """An endpoint that runs a script for each request."""

    def __init__(self, script: Script, answers_before_body: bool = False):
        self.script = script
        self.answers_before_body = answers_before_body
        self.calls: list[EndpointCall] = []
        self.connections_lost = 0
        self._server: asyncio.Server | None = None

    async def listen(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        return f"{ip}:{port}"

    def close(self) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n"))[:-4]
                call = EndpointCall(head, b"", writer)
                if self.answers_before_body:
                    await self.script(call)
                call.body = await reader.readexactly(
                    int(call.headers.get("content-length", 0))
                )
                self.calls.append(call)
                if not self.answers_before_body:
                    await self.script(call)
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.connections_lost += 1
        except asyncio.CancelledError:
            # The test ended while the script was still waiting.
            return
        finally:
            writer.close()


def configuration(
    version: int = 1,
    *,
    kind: str = "safe",
    max_attempts: int = 2,
    timeout_ms: int = 2_000,
    **changes: object,
) -> dict:
    """Return a configuration of one route and one customer."""
    route = {
        "name": "r-1",
        "host": HOST,
        "prefix": "/app/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 200,
        "priority": 1,
        "service": "svc",
        "max_attempts": max_attempts,
        "allow_anonymous": False,
        "resume_streams": changes.pop("resume_streams", False),
    }
    document = {
        "version": version,
        "routes": [route],
        "services": [{"name": "svc", "max_connections": 100}],
        "limits": {"idle_timeout_ms": 15_000},
        "tenants": [{"name": "customer-1", "api_keys": [KEY]}],
    }
    return {**document, **changes}


def endpoint_row(address: str, **changes: object) -> dict:
    """Return an endpoint's row."""
    row = {
        "service": "svc",
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    }
    return {**row, **changes}


class Answer:
    """An answer as read by a caller, and whether it was complete."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, is_whole: bool
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole


class Site:
    """One ingress instance with its store and endpoints.

    Parameters
    ----------
    number : int
        Number of the instance, and of its data centre in the alphabet.
    ip, peer_port : str, int
        Where it listens, and receives messages of other instances; 0 is any port.
    store : RowStoreStandin or None
        A store that it shares with others and that listens already.

    Attributes
    ----------
    region_by_zone : dict
        Region of each data centre, read at the start.
    """

    def __init__(
        self,
        number: int = 1,
        ip: str = "127.0.0.1",
        peer_port: int = 0,
        store: RowStoreStandin | None = None,
    ) -> None:
        self.clock = Clock.from_system()
        self.name = f"instance-{number}"
        self._zone = f"zone-{'abcdef'[number - 1]}"
        self._ip = ip
        self._peer_port = peer_port
        self.region_by_zone: dict[str, str] = {}
        self._shares_store = store is not None
        self.store = store or RowStoreStandin(self.clock)
        self.log_lines: list[dict] = []
        self.endpoints: list[EndpointStandin] = []
        self.service: IngressService | None = None
        self._tasks: list[asyncio.Task] = []

    async def add_endpoint(
        self, script: Script, *, answers_before_body: bool = False, **row: object
    ) -> EndpointStandin:
        endpoint = EndpointStandin(script, answers_before_body)
        address = await endpoint.listen()
        self.endpoints.append(endpoint)
        name = f"i-{len(self.endpoints)}"
        self.store.put("servers", name, endpoint_row(address, **row))
        return endpoint

    async def start(self, document: dict | None, **bounds: float) -> None:
        if self._shares_store:
            ip, port = self.store.address()
        else:
            ip, port = await self.store.listen()
        if document is not None:
            self.store.put("op", "config", document)
        settings = LocalSettings(
            instance=InstanceId(self.name),
            zone=ZoneId(self._zone),
            caller_address=Address(self._ip, 0),
            readiness_address=Address(self._ip, 0),
            peer_ip=self._ip,
            peer_ports=(self._peer_port, self._peer_port),
            store_address=Address(ip, port),
            cloud_address=None,
            duties=(),
            bounds=Bounds(**bounds),
            is_first_start=True,
            region=self.region_by_zone.get(self._zone, ""),
            region_by_zone=self.region_by_zone,
        )
        log = Log(
            self.clock,
            lambda line: self.log_lines.append(json.loads(line)),
            self.name,
            keeps_lines=False,
        )
        self.service = IngressService(
            settings, self.clock, log, Counters(), random.Random(1)
        )
        await self.service.listen(0)
        for _, run in self.service.supervised_tasks():
            self._tasks.append(asyncio.create_task(run()))
        if document is not None:
            await self.wait_until(lambda: self.service.is_ready)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.service is not None:
            self.service.caller_server.stop_listening()
            self.service.peer_server.stop_listening()
            self.service.digest_exchange.close()
            self.service.store.close()
        if not self._shares_store:
            self.store.close()
        for endpoint in self.endpoints:
            endpoint.close()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)

    async def connect(self):
        return await asyncio.open_connection(*self.service.caller_server.address())

    async def send_request(self, request_id: str = "a1", **kwargs) -> Answer:
        """Send one request on a new connection and read its answer."""
        reader, writer = await self.connect()
        writer.write(request(request_id, **kwargs))
        try:
            return await asyncio.wait_for(read_answer(reader), TIMEOUT_S)
        finally:
            writer.close()

    def log_events(self, name: str) -> list[dict]:
        return [line for line in self.log_lines if line["event"] == name]


def request(
    request_id: str = "a1",
    *,
    method: str = "POST",
    path: str = "/app/x?q=1",
    key: str | None = KEY,
    body: bytes = b"work",
    deadline_ms: int = 5_000,
    extra: str = "",
    host: str = HOST,
) -> bytes:
    """Return the bytes of a caller's request."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    if request_id:
        head += f"Monsoonpulley-Request-Id: {request_id}\r\n"
    head += f"Monsoonpulley-Deadline-Milliseconds: {deadline_ms}\r\n"
    if key is not None:
        head += f"Authorization: Bearer {key}\r\n"
    head += f"Content-Length: {len(body)}\r\n"
    return (head + extra + "\r\n").encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; if it ends early, its ``is_whole`` is false."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    status = int(lines[0].split()[1])
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
        if name
    }
    if "content-length" in headers:
        length = int(headers["content-length"])
        body = await reader.read(length)
        while len(body) < length and (more := await reader.read(length - len(body))):
            body += more
        return Answer(status, headers, body, len(body) == length)
    body = b""
    while True:
        try:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, headers, body, False)
        if size == 0:
            return Answer(status, headers, body, True)
        body += data[:-2]
