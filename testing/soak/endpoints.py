"""Endpoints that record the requests they get and misbehave on demand."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from enum import Enum

from _monsoonpulley.clock import Clock
from _monsoonpulley.wire.sockets import reset

from .records import Call, Records, Run, Statement, StatementKind

STREAM_EVENT_COUNT = 12
"""Events in a complete stream."""

EVENT_GAP_MS = 40
"""Time between two events of a stream."""

REPORT_GAP_MS = 330
"""The same in a report; it outlasts the time in which a stop begins any request."""

MAX_COPY_DELAY_S = 0.2
"""Longest delay of a second copy; the connection is presumably in use again by then."""

UNNAMED_REFUSAL = (
    b"HTTP/1.1 503 Status\r\nMonsoonpulley-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

FLOOD_BYTES, FLOOD_INTERVAL_S = 20_000, 0.02
"""What an endpoint sends without end: 1 MB a second."""

INTERIM_ANSWER = b"HTTP/1.1 103 Early Hints\r\n\r\n"

MEDIAN_SERVICE_MS = 30
"""Median service time of a call that isn't a stream."""


class Behaviour(Enum):
    """How an endpoint handles requests."""

    HEALTHY = "healthy"
    SLOW = "slow"
    REFUSING = "refusing"
    """Refuses requests and states that they did not run."""
    PAUSING = "pausing"
    """Refuses requests and asks for a pause of ``Endpoint.pause_s``."""
    FAILING = "failing"
    """Runs requests and answers 500."""
    RESETTING = "resetting"
    """Runs requests and resets the connection in the middle of the answer."""
    WRONG_REQUEST = "wrong_request"
    """Answers with the id of another request."""
    HANGING = "hanging"
    """Runs requests and doesn't answer."""
    REPEATING = "repeating"
    """Sends a second copy of an answer a while after it, on the same connection, or a
    refusal without an id."""
    FLOODING = "flooding"
    """Runs requests and sends empty events, or interim answers, without end."""
    CUTTING = "cutting"
    """Runs requests and closes the connection within the head of the answer."""


class Endpoint:
    """One endpoint of a service.

    Parameters
    ----------
    name, service : str
        Its id and its service's name.
    records : Records
        Record of the requests that it gets.
    clock, rng : Clock, random.Random
        For arrival times; for service times, bodies and seals.

    Attributes
    ----------
    says_leaving : bool
        Whether all answers say that it leaves.
    limit_per_s : float or None
        Requests a second that all answers name as its limit.
    pause_s : float
        Pause that it asks for while it is pausing.
    max_running : int or None
        Requests that it has room for; it turns others away. None: any number.
    refusals_per_s : float or None
        Requests a second that it bears to turn away, as all answers say; None: any.
    on_crash, on_fall : callable
        Called with the endpoint's name and the cause when a request crashes it; and
        with its name when it has turned too many requests away.
    """

    def __init__(
        self,
        name: str,
        service: str,
        records: Records,
        clock: Clock,
        rng: random.Random,
    ):
        self.name = name
        self.service = service
        self.behaviour = Behaviour.HEALTHY
        self.says_leaving = False
        self.limit_per_s: float | None = None
        self.pause_s = 1.0
        self.max_running: int | None = None
        self.refusals_per_s: float | None = None
        self._running_count = 0
        self._copy_count = 0
        self._refused_ms: deque[int] = deque()
        self.on_fall: Callable[[str], None] = lambda name: None
        self.on_crash: Callable[[str, str], None] = lambda name, cause: None
        self._records = records
        self._clock = clock
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int) -> None:
        """Accept connections at an address."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    def crash(self) -> None:
        """Stop listening and reset all connections, as a lost machine does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer.transport)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:])
                    if name
                }
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                await self._answer(writer, lines[0], fields, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The caller disconnected; its request is recorded.
        except asyncio.CancelledError:
            return  # The run is over.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        request_line: str,
        fields: dict[str, str],
        body: bytes,
    ) -> None:
        request_id = fields.get("monsoonpulley-request-id", "")
        run = Run(
            endpoint=self.name,
            service=self.service,
            arrived_ms=self._clock.now_ms(),
            was_run=True,
            customer=fields.get("monsoonpulley-tenant", ""),
            request_body=body,
        )
        call = self._records.calls.get(request_id)
        if call is None:
            self._records.unknown_runs.append((request_id, run))
        else:
            call.runs.append(run)
        if fields.get("monsoonpulley-expect-instance") != self.name:
            run.was_run = False
            self._write(writer, run, request_id, 421, b"another endpoint")
            return
        if self.behaviour in (Behaviour.REFUSING, Behaviour.PAUSING):
            run.was_run = False
            self._write(writer, run, request_id, 503, b"full")
            return
        if self.max_running is not None and self._running_count >= self.max_running:
            run.was_run = False
            self._write(writer, run, request_id, 503, b"full")
            self._record_refusal()
            return
        self._running_count += 1
        try:
            await self._run(writer, run, request_line, fields, call)
        finally:
            self._running_count -= 1

    def _record_refusal(self) -> None:
        now_ms = self._clock.now_ms()
        self._refused_ms.append(now_ms)
        while self._refused_ms[0] <= now_ms - 1_000:
            self._refused_ms.popleft()
        if (
            self.refusals_per_s is not None
            and len(self._refused_ms) > self.refusals_per_s
        ):
            self.on_fall(self.name)

    async def _run(
        self,
        writer: asyncio.StreamWriter,
        run: Run,
        request_line: str,
        fields: dict[str, str],
        call: Call | None,
    ) -> None:
        request_id = fields.get("monsoonpulley-request-id", "")
        if call is not None and call.cause:
            await asyncio.sleep(MEDIAN_SERVICE_MS / 1000)
            self.on_crash(self.name, call.cause)
            return
        if "/stream/" in request_line:
            await self._stream(writer, run, request_id, fields, EVENT_GAP_MS)
            return
        if "/report/" in request_line:
            await self._stream(writer, run, request_id, fields, REPORT_GAP_MS)
            return
        await self._call(writer, run, request_id)

    async def _call(
        self, writer: asyncio.StreamWriter, run: Run, request_id: str
    ) -> None:
        service_ms = MEDIAN_SERVICE_MS * self._rng.lognormvariate(0, 0.5)
        if self.behaviour is Behaviour.SLOW:
            service_ms *= 20
        await asyncio.sleep(service_ms / 1000)
        if self.behaviour is Behaviour.HANGING:
            await asyncio.Event().wait()
        if self.behaviour is Behaviour.FLOODING:
            await self._flood(writer, INTERIM_ANSWER)
            return
        if self.behaviour is Behaviour.FAILING:
            self._write(writer, run, request_id, 500, b"failed")
            return
        body = self._rng.randbytes(self._rng.choice((10, 800, 40_000)))
        if self.behaviour is Behaviour.WRONG_REQUEST:
            self._write(writer, run, "another-request", 200, body)
            run.body = None
            return
        if self.behaviour is Behaviour.RESETTING:
            self._write(writer, run, request_id, 200, body, missing_bytes=7)
            await writer.drain()
            reset(writer.transport)
            return
        if self.behaviour is Behaviour.CUTTING:
            await self._close_within_head(writer, run, request_id)
            return
        data = self._write(writer, run, request_id, 200, body)
        if self.behaviour is Behaviour.REPEATING:
            later_s = self._rng.uniform(0.001, MAX_COPY_DELAY_S)
            self._copy_count += 1
            copy = UNNAMED_REFUSAL if self._copy_count % 2 else data
            asyncio.get_running_loop().call_later(later_s, writer.write, copy)
        await writer.drain()

    async def _flood(
        self, writer: asyncio.StreamWriter, piece: bytes, *, is_chunked: bool = False
    ) -> None:
        """Send a piece over and over until the instance closes the connection."""
        block = piece * (FLOOD_BYTES // len(piece))
        if is_chunked:
            block = b"%x\r\n%s\r\n" % (len(block), block)
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(FLOOD_INTERVAL_S)

    async def _close_within_head(
        self, writer: asyncio.StreamWriter, run: Run, request_id: str
    ) -> None:
        run.status = 200
        head = (
            f"HTTP/1.1 200 Status\r\nMonsoonpulley-Request-Id: {request_id}\r\n"
            f"Monsoonpulley-Response-Seal: {self.name}\r\nContent-Length: 10\r\n\r\n"
        ).encode()
        writer.write(head[: self._rng.randrange(1, len(head))])
        await writer.drain()
        writer.close()

    def _write(
        self,
        writer: asyncio.StreamWriter,
        run: Run,
        request_id: str,
        status: int,
        body: bytes,
        missing_bytes: int = 0,
    ) -> bytes:
        """Write an answer and return its bytes."""
        run.status = status
        run.seal = f"{self.name}-{self._rng.getrandbits(32):08x}"
        run.body = body if status == 200 and not missing_bytes else None
        head = f"HTTP/1.1 {status} Status\r\nMonsoonpulley-Request-Id: {request_id}\r\n"
        if run.was_run:
            head += f"Monsoonpulley-Response-Seal: {run.seal}\r\n"
        else:
            head += "Monsoonpulley-Not-Executed: 1\r\n"
        head += self._statements(request_id)
        if status == 503 and self.behaviour is Behaviour.PAUSING:
            head += f"Retry-After: {self.pause_s:.2f}\r\n"
            self._record(StatementKind.PAUSE, request_id, self.pause_s)
        head += f"Content-Length: {len(body)}\r\n\r\n"
        data = head.encode() + body[: len(body) - missing_bytes]
        writer.write(data)
        return data

    def _statements(self, request_id: str) -> str:
        """Return the headers in which the endpoint speaks of itself."""
        lines = ""
        if self.says_leaving:
            lines += "Server-Leaving: 1\r\n"
            self._record(StatementKind.LEAVING, request_id, 1)
        if self.limit_per_s is not None:
            lines += f"Server-Limit: {self.limit_per_s}\r\n"
            self._record(StatementKind.LIMIT, request_id, self.limit_per_s)
        if self.refusals_per_s is not None:
            lines += f"Server-Brittle: {self.refusals_per_s:.0f}\r\n"
        return lines

    def _record(self, kind: StatementKind, request_id: str, value: float) -> None:
        call = self._records.calls.get(request_id)
        if call is not None:
            now_ms = self._clock.now_ms()
            self._records.statements.append(
                Statement(kind, self.name, call.instance, now_ms, value)
            )

    async def _stream(
        self,
        writer: asyncio.StreamWriter,
        run: Run,
        request_id: str,
        fields: dict[str, str],
        gap_ms: int,
    ) -> None:
        if self.behaviour is Behaviour.CUTTING:
            await self._close_within_head(writer, run, request_id)
            return
        run.status = 200
        run.seal = f"{self.name}-{self._rng.getrandbits(32):08x}"
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + f"Monsoonpulley-Request-Id: {request_id}\r\n".encode()
            + f"Monsoonpulley-Response-Seal: {run.seal}\r\n".encode()
            + self._statements(request_id).encode()
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        first = int(fields.get("last-event-id") or 0) + 1
        for number in range(first, STREAM_EVENT_COUNT + 1):
            if self.behaviour is Behaviour.HANGING:
                await asyncio.Event().wait()
            if self.behaviour is Behaviour.FLOODING:
                await self._flood(writer, b"\n", is_chunked=True)
                return
            if self.behaviour is Behaviour.RESETTING and number > first + 3:
                reset(writer.transport)
                return
            slow_factor = 5 if self.behaviour is Behaviour.SLOW else 1
            await asyncio.sleep(gap_ms * slow_factor / 1000)
            event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
