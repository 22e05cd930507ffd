"""HTTP connections of callers, limited by what all of them hold together."""

from __future__ import annotations

import asyncio
from collections import deque
from http import HTTPStatus
from typing import Any

import msgspec
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from ..callerbudget import CallerBudget, Holding, Stage
from ..clock import Clock
from ..gateway.body import malformed, no_room
from ..gateway.requestholding import RequestHolding, set_holding
from ..wire.messagemeter import (
    MAX_PIPELINED_REQUESTS,
    PARSE_BYTES,
    RECEIVE_BUFFER_BYTES,
    MessageMeter,
    refusal,
)
from .callertransport import LINGER_MS, CallerFlow, LingeringTransport

CONNECTION_BYTES = 8_192
"""Memory of a connection without a request."""

REQUEST_BYTES = 32_768
"""Memory of a request without headers and body, with its task and its call to an
endpoint."""

HEADER_LINE_BYTES = 600
"""Memory of a header line without its text: the server, the application and the call to
the endpoint each have their own copy."""

BODY_COPIES = 2
"""A body is kept for another attempt while a copy of it is written to an endpoint."""

WAKE_BYTE = b"\0"
"""Wakes an application that waits for a body which was dropped; it is never used."""


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits of requests, whatever their class.

    Attributes
    ----------
    max_header_bytes : int
        Largest head of a request, and trailers of its body.
    max_body_bytes : int
        Largest body; classes may allow less.
    max_in_progress : int
        Requests that may be in progress on all connections.
    header_timeout_ms : int
        Time limit from the first byte of a head to its last.
    idle_timeout_ms : int
        How long a connection stays open before its first request.
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 67_108_864
    max_in_progress: int = 4_096
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


class IncomingRequest(RequestHolding):
    """A request on a connection, from its head to the end of its answer.

    Parameters
    ----------
    protocol : CallerProtocol
        The connection.
    head_bytes : int
        Memory of its head.
    """

    def __init__(self, protocol: CallerProtocol, head_bytes: int):
        super().__init__(protocol.max_body_bytes)
        self._protocol = protocol
        self._head_bytes = head_bytes
        self._added_bytes = 0
        self.body_bytes = 0
        self.is_complete = False
        self.cycle: RequestResponseCycle | None = None

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes."""
        body_bytes = BODY_COPIES * self.body_bytes
        return REQUEST_BYTES + self._head_bytes + body_bytes + self._added_bytes

    def try_add(self, size_bytes: int) -> bool:
        """Count memory until the answer is complete, unless there is too little."""
        self._added_bytes += size_bytes
        if self._protocol.has_room():
            return True
        self.release(size_bytes)
        return False

    def release(self, size_bytes: int) -> None:
        """Uncount memory that is free again."""
        self._added_bytes -= size_bytes
        self._protocol.count()


class CallerProtocol(HttpToolsProtocol):
    """A caller's connection.

    The server library has no limits of its own but for the bytes of a body that its
    application has not read.

    Parameters
    ----------
    budget : CallerBudget
        Counts what the connection holds.
    clock : Clock
        Measures how long requests take to arrive.
    limits : RequestLimits
        Limits of its requests.
    **kwargs
        Parameters of the server library.
    """

    def __init__(
        self,
        budget: CallerBudget,
        clock: Clock,
        limits: RequestLimits,
        **kwargs: Any,
    ):
        super().__init__(**kwargs)
        self.budget = budget
        self._clock = clock
        self._limits = limits
        self._holding: Holding | None = None
        self._requests: deque[IncomingRequest] = deque()
        self._incoming: IncomingRequest | None = None
        self._opened_ms = clock.now_ms()
        self._head_begun_ms: int | None = None
        self._answered_early_ms: int | None = None
        self._has_begun_any = False
        self._meter = MessageMeter()
        self._is_refused = False
        self._unparsed = b""
        self._unsent_bytes = 0
        self._body_pieces: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Count the connection, or close it if there is no room."""
        lingering = LingeringTransport(transport, self._is_receiving)
        super().connection_made(lingering)  # type: ignore[arg-type]
        self.flow = CallerFlow(lingering)  # type: ignore[arg-type]
        self._holding = self.budget.open(self, self._opened_ms, CONNECTION_BYTES)
        if self._holding is None:
            self._is_refused = True
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Uncount the connection and drop the requests that wait."""
        if self._holding is not None:
            self.budget.close(self._holding)
        self._is_refused = True
        self._drop_waiting()
        # The connection and its requests refer to each other, and are freed late.
        for request in self._requests:
            if request.cycle is not None:
                request.cycle.body = bytearray()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes unless a request was refused."""
        if self._is_refused:
            return
        if self._holding is not None:
            self._holding.moved_bytes += len(data)
        if self._unparsed:
            self._unparsed += data
        else:
            self._parse(data)
        self.count()
        self.budget.relieve(self._clock.now_ms())

    def on_message_begin(self) -> None:
        """Start parsing a request."""
        super().on_message_begin()
        self._has_begun_any = True
        self._head_begun_ms = self._clock.now_ms()
        self._meter.begin_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are discarded."""
        if not self._is_refused and self._meter.add_header(name, value):
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the size of the head, and start the request."""
        size_bytes = self._meter.end_head(len(self.url), len(self.headers))
        if size_bytes > self._limits.max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self._is_busy() or not self.has_room():
            # The application, which keeps the head, is not started.
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        if self._is_refused:
            return
        self._head_begun_ms = None
        request = IncomingRequest(self, self._incoming_head_bytes())
        set_holding(self.scope, request)
        super().on_headers_complete()
        request.cycle = self.cycle
        self._requests.append(request)
        self._incoming = request

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body, of which there may be thousands in a read."""
        self._body_pieces.append(body)

    def _add_body(self) -> None:
        """Add the pieces of the body, unless the request is refused or answered."""
        if not self._body_pieces:
            return
        body = b"".join(self._body_pieces)
        self._body_pieces.clear()
        self._meter.add_body(len(body))
        if self._incoming is not None and not self._is_refused:
            self._incoming.body_bytes += len(body)
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Complete the request."""
        self._add_body()
        self._meter.end_message()
        self._answered_early_ms = None
        if self._is_refused:
            return
        if self._incoming is not None:
            self._incoming.is_complete = True
            self._incoming = None
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Start the next request, and parse what was left."""
        if self._requests:
            answered = self._requests.popleft()
            if answered is self._incoming:
                self._incoming = None
                self._answered_early_ms = self._clock.now_ms()
        super().on_response_complete()
        data, self._unparsed = self._unparsed, b""
        self._parse(data)
        self.count()

    def send_400_response(self, msg: str) -> None:
        """Refuse malformed bytes, behind the answers to the requests before."""
        self._refuse(HTTPStatus.BAD_REQUEST)

    def pause_writing(self) -> None:
        """Let the application wait until the caller reads."""
        super().pause_writing()
        self._count_unsent()

    def resume_writing(self) -> None:
        """Let the application write on."""
        super().resume_writing()
        self._count_unsent()

    @property
    def max_body_bytes(self) -> int:
        """Largest body that is allowed and of which there is memory for all copies."""
        keepable_bytes = self.budget.limits.max_large_bytes // BODY_COPIES
        return min(self._limits.max_body_bytes, keepable_bytes)

    def check_timeouts(self, now_ms: int) -> None:
        """Close the connection if its caller takes too long."""
        self._count_unsent()
        limits = self._limits
        if not self._has_begun_any:
            if now_ms - self._opened_ms >= limits.idle_timeout_ms:
                self.transport.close()
        elif self._head_begun_ms is not None:
            if now_ms - self._head_begun_ms >= limits.header_timeout_ms:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif self._answered_early_ms is not None:
            if now_ms - self._answered_early_ms >= LINGER_MS:
                self._is_refused = True
                self.transport.close()

    def drop_pending(self) -> None:
        """Drop and refuse what the caller has not finished."""
        if self._unsent_bytes:
            if self._holding is not None:
                self.budget.close(self._holding)
            self.transport.abort()
            return
        self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def disconnect(self) -> None:
        """Close the connection, on which no request is being served."""
        self.drop_pending()
        self.transport.abort()

    def _is_receiving(self) -> bool:
        """Return whether the caller may be sending a request that has its answer."""
        return self._is_refused or self._answered_early_ms is not None

    def has_room(self) -> bool:
        """Return whether there is memory for what the connection holds now."""
        holding = self._holding
        self.count()
        self.budget.relieve(self._clock.now_ms())
        return holding is None or self.budget.has_room_for(holding)

    def count(self) -> None:
        """Tell the budget what the connection holds."""
        if self._holding is None:
            return
        kept_bytes, stage = CONNECTION_BYTES, Stage.IDLE
        pending_bytes = len(self._unparsed) + self._unsent_bytes
        if self._head_begun_ms is not None and not self._is_refused:
            pending_bytes += self._incoming_head_bytes()
        if self.flow.is_full:
            pending_bytes += RECEIVE_BUFFER_BYTES
        pending_bytes += sum(request.held_bytes for request in self._requests)
        if self._requests and (self._requests[0].is_complete or self._is_refused):
            stage = Stage.SERVING
            kept_bytes += self._requests[0].held_bytes
            pending_bytes -= self._requests[0].held_bytes
        elif pending_bytes:
            stage = Stage.RECEIVING
        self.budget.update(
            self._holding,
            stage,
            self._clock.now_ms(),
            kept_bytes,
            pending_bytes,
            self._unsent_bytes,
        )

    def _incoming_head_bytes(self) -> int:
        """Return the memory of the head that is being received."""
        return (
            self._meter.head_bytes
            + len(self.url)
            + 4 * self._meter.text_bytes
            + HEADER_LINE_BYTES * len(self.headers)
        )

    def _count_unsent(self) -> None:
        """Tell the budget how much of the answers the caller has not read."""
        unsent_bytes = self.transport.get_write_buffer_size()
        read_bytes = self._unsent_bytes - unsent_bytes
        if not read_bytes:
            return
        self._unsent_bytes = unsent_bytes
        if self._holding is not None:
            self._holding.moved_bytes += max(0, read_bytes)
        self.count()
        if read_bytes < 0:
            self.budget.relieve(self._clock.now_ms())

    def _parse(self, data: bytes) -> None:
        """Parse received bytes until enough requests wait or one is refused."""
        start = 0
        view = memoryview(data)
        while start < len(data) and not self._is_refused:
            if self.transport.is_closing():
                return
            if len(self.pipeline) > MAX_PIPELINED_REQUESTS:
                break
            self._feed(view[start : start + PARSE_BYTES])
            start += PARSE_BYTES
        if self._is_refused or self.transport.is_closing():
            return
        self._unparsed = data[start:]
        self.flow.is_full = len(self.pipeline) > MAX_PIPELINED_REQUESTS
        if self.flow.is_full:
            self.flow.pause_reading()
        elif not self.pipeline:
            self.flow.resume_reading()

    def _feed(self, data: memoryview) -> None:
        """Parse a few bytes and check the size of what is incomplete."""
        self._meter.begin_read(len(data))
        super().data_received(data)  # type: ignore[arg-type]
        self._add_body()
        status = self._meter.end_read(self._limits.max_header_bytes)
        if status is not None:
            self._refuse(status)

    def _drop_waiting(self) -> None:
        """Drop the requests that have not begun, and what was not parsed."""
        self._unparsed = b""
        self.pipeline.clear()
        while len(self._requests) > 1:
            self._requests.pop()

    def _refuse(self, status: int) -> None:
        """Refuse what is being received, behind the answer that is in progress."""
        if self._is_refused:
            return
        self._is_refused = True
        self.budget.record_refusal(status)
        self._drop_waiting()
        self._head_begun_ms = None
        self.headers, self.url = [], b""
        self.scope = {}  # type: ignore[typeddict-item]
        self.flow.is_full = False
        # What else the caller sends is discarded.
        self.flow.resume_reading()
        if self._requests:
            self._end_with_answer(self._requests[0], status)
        else:
            self.transport.write(refusal(status))
            self.transport.close()
        self.count()

    def _end_with_answer(self, request: IncomingRequest, status: int) -> None:
        """Close the connection after the answer to the request in progress."""
        cycle = request.cycle
        if cycle is None:
            return
        cycle.keep_alive = False
        if request.is_complete:
            return
        # The application, which waits for the body, answers.
        was_shed = status == HTTPStatus.SERVICE_UNAVAILABLE
        request.refusal = no_room() if was_shed else malformed()
        request.body_bytes = 0
        cycle.body = bytearray(WAKE_BYTE)
        cycle.message_event.set()

    def _is_busy(self) -> bool:
        """Return whether too many requests are in progress to begin another one."""
        return not self._requests and len(self.tasks) >= self._limits.max_in_progress
