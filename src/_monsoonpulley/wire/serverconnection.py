"""A server's connection to a caller."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import httptools
import msgspec

from ..callerbudget import CallerBudget, Holding, Stage
from ..clock import Clock
from .bodybuffer import BodyBuffer
from .clientconnection import NO_BODY_STATUSES, ClientConnection
from .events import CallerDisconnected, HeaderList, Mailbox
from .messagemeter import (
    MAX_PIPELINED_REQUESTS,
    PARSE_BYTES,
    RECEIVE_BUFFER_BYTES,
    MessageMeter,
    refusal,
)
from .requestmessage import Arrival, RequestMessage
from .sockets import UnreadWatch, enable_keepalive

LINGER_MS = 500
"""How long input is discarded after the last answer: a close with unread bytes
resets the connection, and the answer could be lost on its way."""

CONNECTION_BYTES = 4_096
"""Memory of a connection without a request, measured: 3.4 KB."""

QUEUED_REQUEST_BYTES = 1_024
"""Memory of a request without headers and body that waits behind another one."""

SERVED_REQUEST_BYTES = 16_384
"""Memory of a request without headers and body that is being served, with the
connection to its endpoint, measured: 15 KB."""

HEADER_LINE_BYTES = 220
"""Memory of a header line without its text, measured: up to 200 bytes."""

LISTED_VALUE_BYTES, MIN_LIST_BYTES = 128, 1_024
"""Memory of each value in a header line that is a list, such as a part of a prompt; in
short lines there are too few of them to matter."""

BODY_COPIES = 2
"""A body is kept for another attempt while a copy of it is written to an endpoint."""


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits of the size of requests and the time to send them.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum sizes of a request's head and body.
    header_timeout_ms : int
        Time limit from the first byte of a head to its last.
    idle_timeout_ms : int
        How long a connection may stay open without a request, or without further
        bytes of a body.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Exchange:
    """One request and the writer of its answer.

    Parameters
    ----------
    request : RequestMessage
        The request.
    connection : ServerConnection
        The connection that the answer is written to.

    Attributes
    ----------
    mailbox : Mailbox
        Receives `CallerDisconnected`, and events that the handler lets others put.
    has_started : bool
        Whether the head of an answer was written.
    status : int
        Status in that head; 0 before.
    is_over : bool
        Whether the answer is complete or aborted.
    stays_open : bool
        Whether the head of the answer left the connection open for another request.
    """

    __slots__ = (
        "_chunked",
        "_connection",
        "_has_body",
        "has_started",
        "is_over",
        "mailbox",
        "request",
        "status",
        "stays_open",
    )

    def __init__(self, request: RequestMessage, connection: ServerConnection):
        self.request = request
        self.mailbox = Mailbox()
        self.has_started = False
        self.status = 0
        self.is_over = False
        self.stays_open = False
        self._chunked = False
        self._has_body = False
        self._connection = connection

    def respond(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Write a complete answer."""
        self.start(status, headers, length=len(body))
        if body:
            self.write(body)
        self.end()

    def start(
        self, status: int, headers: HeaderList, *, length: int | None = None
    ) -> None:
        """Write the head of an answer; without ``length`` the body is chunked.

        Raises
        ------
        RuntimeError
            If a head was written before.
        """
        if self.has_started:
            raise RuntimeError("the answer has a head already")
        self.has_started = True
        self.status = status
        has_framing = status not in NO_BODY_STATUSES
        self._has_body = has_framing and self.request.method != b"HEAD"
        self._chunked = self._has_body and length is None
        lines = [b"HTTP/1.1 %d %s" % (status, _reason_phrase(status))]
        lines += [b"%s: %s" % header for header in headers]
        if has_framing and length is None:
            lines.append(b"Transfer-Encoding: chunked")
        elif has_framing:
            lines.append(b"Content-Length: %d" % length)
        self.stays_open = self._connection.stays_open_after(self.request)
        if not self.stays_open:
            lines.append(b"Connection: close")
        self._connection.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def write(self, data: bytes) -> None:
        """Write a piece of the body, if the answer has one."""
        if not self._has_body:
            return
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._connection.write(data)

    def end(self) -> None:
        """Complete the answer."""
        if self.is_over:
            return
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self.is_over = True
        self._connection.on_exchange_end(self)

    def abort(self) -> None:
        """Abort the connection, so that the answer can't look complete."""
        self.is_over = True
        self._connection.abort()

    def set_upstream(self, upstream: ClientConnection | None) -> None:
        """Pause reading from ``upstream`` while the caller doesn't read the answer."""
        self._connection.upstream = upstream


class ServerConnection(asyncio.Protocol):
    """Parses the requests of one caller and has them handled one at a time.

    Parameters
    ----------
    on_request : callable
        Called with an `Exchange` for each request; starts its handling.
    get_limits : callable
        Returns the `CallerLimits` in force.
    clock : Clock
        Dates requests and measures idle time.
    on_lost : callable
        Called with this connection once it is closed.
    budget : CallerBudget
        Counts what the connection holds.

    Attributes
    ----------
    upstream : ClientConnection or None
        Source of the current answer, paused while the caller doesn't read.
    is_draining : bool
        Whether the connection closes after the current answer.
    """

    def __init__(
        self,
        on_request: Callable[[Exchange], None],
        get_limits: Callable[[], CallerLimits],
        clock: Clock,
        on_lost: Callable[[ServerConnection], None],
        budget: CallerBudget,
    ):
        self._on_request = on_request
        self._get_limits = get_limits
        self._clock = clock
        self._on_lost = on_lost
        self._budget = budget
        self._holding: Holding | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._unread_watch: UnreadWatch | None = None
        self._queued_requests: deque[RequestMessage] = deque()
        self._current: Exchange | None = None
        self._refusal_status: HTTPStatus | None = None
        self._is_lingering = False
        self._unparsed = b""
        self._unsent_bytes = 0
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._meter = MessageMeter()
        self._request_started_ms: int | None = None
        self._accepted_ms = self._last_used_ms = clock.now_ms()
        self._request_count = 0
        self._answer_ended_ms: int | None = None
        self._target = b""
        self._headers: HeaderList = []
        self._fields: dict[bytes, bytes] = {}
        self._listed_count = 0
        self._body = BodyBuffer()
        self._body_pieces: list[bytes] = []
        self._max_body_bytes = 0
        self.upstream: ClientConnection | None = None
        self.is_draining = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress, queued or being received."""
        return (
            self._current is None
            and self._request_started_ms is None
            and not self._queued_requests
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and make it fail if the caller is silent."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        now_ms = self._clock.now_ms()
        self._holding = self._budget.open(self, now_ms, CONNECTION_BYTES)
        if self._holding is None:
            self._is_lingering = True
            transport.abort()
            return
        enable_keepalive(transport)
        self._unread_watch = UnreadWatch(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start the next complete request."""
        if self._is_lingering or self._refusal_status is not None:
            return
        self._last_used_ms = self._clock.now_ms()
        if self._holding is not None:
            self._holding.moved_bytes += len(data)
        if self._unparsed:
            self._unparsed += data
        else:
            self._parse(data)
        self._count()
        # What can't be kept is refused before it is begun.
        self._budget.relieve(self._last_used_ms)
        self._start_next()

    def eof_received(self) -> bool:
        """Treat a caller that stopped sending as disconnected."""
        self._handle_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler and drop queued requests."""
        self._transport = None
        if self._holding is not None:
            self._budget.close(self._holding)
        # The connection and its parser refer to each other, and are freed late.
        self._forget_incoming()
        self._handle_disconnect()
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Pause the source of the answer while the caller doesn't read."""
        self._is_writing_paused = True
        if self._unread_watch is not None:
            self._unread_watch.on_pause()
        if self.upstream is not None:
            self.upstream.pause_reading()

    def resume_writing(self) -> None:
        """Resume the source of the answer, or start the next request."""
        self._is_writing_paused = False
        if self._unread_watch is not None:
            self._unread_watch.on_resume()
        if self.upstream is not None:
            self.upstream.resume_reading()
        self._count_unsent()
        self._start_next()

    def on_message_begin(self) -> None:
        """Start parsing a request."""
        if self._request_started_ms is None:
            self._request_started_ms = self._last_used_ms
        self._meter.begin_message()
        self._target = b""
        self._headers = []
        self._listed_count = 0
        self._body.clear()

    def on_url(self, url: bytes) -> None:
        """Add a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are discarded."""
        if self._meter.add_header(name, value):
            if len(value) >= MIN_LIST_BYTES:
                self._listed_count += value.count(b",")
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head against the limits; answer ``Expect: 100-continue``."""
        headers = self._headers
        self._fields = fields = {
            name.lower(): value for name, value in reversed(headers)
        }
        size = self._meter.end_head(len(self._target), len(headers))
        length = fields.get(b"content-length", b"0")
        limits = self._get_limits()
        # Of the bodies that are allowed, the largest that can be kept.
        keepable_bytes = self._budget.limits.max_large_bytes // BODY_COPIES
        self._max_body_bytes = min(limits.max_body_bytes, keepable_bytes)
        if size > limits.max_header_bytes:
            self._refusal_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        elif length.isdigit() and int(length) > self._max_body_bytes:
            self._refusal_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        elif fields.get(b"expect", b"").lower() == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body, of which there may be thousands in a read."""
        self._body_pieces.append(data)

    def on_message_complete(self) -> None:
        """Queue the request."""
        self._add_body()
        if self._refusal_status is not None:
            return
        started_ms = self._request_started_ms
        if started_ms is None:
            started_ms = self._last_used_ms
        self._request_started_ms = None
        held_bytes = self._incoming_bytes()
        self._meter.end_message()
        self._queued_requests.append(
            RequestMessage(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                fields=self._fields,
                body=self._body.take(),
                is_keep_alive=self._parser.should_keep_alive(),
                received_ms=started_ms,
                arrival=self._describe_arrival(started_ms),
                held_bytes=held_bytes,
            )
        )
        self._request_count += 1

    def drop_pending(self) -> None:
        """Drop and refuse what the caller has not finished."""
        if self._unsent_bytes:
            if self._holding is not None:
                self._budget.close(self._holding)
            self.abort()
        elif not self._is_lingering:
            self._refusal_status = HTTPStatus.SERVICE_UNAVAILABLE
            self._forget_pending()
            self._read_on()
            self._start_next()
            self._count()

    def disconnect(self) -> None:
        """Close the connection, on which no request is being served."""
        if self._request_started_ms is not None and not self._is_lingering:
            self.write(refusal(HTTPStatus.SERVICE_UNAVAILABLE))
        self._is_lingering = True
        self._forget_pending()
        if self._transport is not None:
            self._transport.close()

    def _parse(self, data: bytes) -> None:
        """Parse received bytes until enough requests wait or one is refused."""
        start = 0
        view = memoryview(data)
        while start < len(data) and self._refusal_status is None:
            if len(self._queued_requests) > MAX_PIPELINED_REQUESTS:
                break
            self._feed(view[start : start + PARSE_BYTES])
            start += PARSE_BYTES
        if self._refusal_status is not None:
            self._forget_incoming()
            return
        self._unparsed = data[start:]
        if len(self._queued_requests) > MAX_PIPELINED_REQUESTS:
            self._pause_reading()

    def _feed(self, data: memoryview) -> None:
        """Parse a few bytes and check the size of what is incomplete."""
        self._meter.begin_read(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._refusal_status is None:
                self._refusal_status = HTTPStatus.BAD_REQUEST
        except httptools.HttpParserUpgrade:
            self._refusal_status = HTTPStatus.BAD_REQUEST
        self._add_body()
        if self._refusal_status is None:
            max_header_bytes = self._get_limits().max_header_bytes
            self._refusal_status = self._meter.end_read(max_header_bytes)

    def _add_body(self) -> None:
        """Add the pieces of the body, up to the limit."""
        if not self._body_pieces:
            return
        data = b"".join(self._body_pieces)
        self._body_pieces.clear()
        self._meter.add_body(len(data))
        if self._meter.body_bytes > self._max_body_bytes:
            self._refusal_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        elif self._refusal_status is None:
            self._body.add(data)

    def _incoming_bytes(self) -> int:
        """Return the memory of the request that is being received."""
        return (
            QUEUED_REQUEST_BYTES
            + self._meter.head_bytes
            + len(self._target)
            + 2 * self._meter.text_bytes
            + HEADER_LINE_BYTES * len(self._headers)
            + LISTED_VALUE_BYTES * self._listed_count
            + BODY_COPIES * self._meter.body_bytes
        )

    def _count(self) -> None:
        """Tell the budget what the connection holds."""
        holding = self._holding
        if holding is None:
            return
        kept_bytes, stage = CONNECTION_BYTES, Stage.IDLE
        pending_bytes = len(self._unparsed) + self._unsent_bytes
        pending_bytes += sum(request.held_bytes for request in self._queued_requests)
        if self._request_started_ms is not None and self._refusal_status is None:
            pending_bytes += self._incoming_bytes()
        if self._is_reading_paused:
            pending_bytes += RECEIVE_BUFFER_BYTES
        if self._current is not None:
            stage = Stage.SERVING
            kept_bytes += SERVED_REQUEST_BYTES + self._current.request.held_bytes
        elif pending_bytes:
            stage = Stage.RECEIVING
        self._budget.update(
            holding,
            stage,
            self._clock.now_ms(),
            kept_bytes,
            pending_bytes,
            self._unsent_bytes,
        )

    def _count_unsent(self) -> None:
        """Tell the budget how much of the answers the caller has not read."""
        transport = self._transport
        unsent_bytes = 0 if transport is None else transport.get_write_buffer_size()
        read_bytes = self._unsent_bytes - unsent_bytes
        if not read_bytes:
            return
        self._unsent_bytes = unsent_bytes
        if self._holding is not None:
            self._holding.moved_bytes += max(0, read_bytes)
        self._count()
        if read_bytes < 0:
            self._budget.relieve(self._clock.now_ms())

    def _forget_incoming(self) -> None:
        """Drop the request that is being received, which is refused."""
        self._unparsed = b""
        self._target = b""
        self._headers = []
        self._fields = {}
        self._listed_count = 0
        self._body.clear()

    def _forget_pending(self) -> None:
        """Drop all requests that are not being served."""
        self._queued_requests.clear()
        self._forget_incoming()

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _read_on(self) -> None:
        if self._transport is not None and self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _resume_reading(self) -> None:
        """Parse what was left, and read on unless enough requests wait."""
        if len(self._queued_requests) > MAX_PIPELINED_REQUESTS:
            return
        data, self._unparsed = self._unparsed, b""
        self._parse(data)
        if len(self._queued_requests) <= MAX_PIPELINED_REQUESTS:
            self._read_on()

    def _describe_arrival(self, started_ms: int) -> Arrival:
        idle_ms = None
        if self._request_count:
            is_behind = self._current is not None or self._answer_ended_ms is None
            idle_ms = 0 if is_behind else max(0, started_ms - self._answer_ended_ms)
        return Arrival(
            connection_age_ms=started_ms - self._accepted_ms,
            earlier_requests=self._request_count,
            idle_ms=idle_ms,
            receive_ms=self._last_used_ms - started_ms,
        )

    def stays_open_after(self, request: RequestMessage) -> bool:
        """Return whether the connection stays after the answer to ``request``.

        A draining one stays for requests that were sent behind this one already.
        """
        has_more = bool(self._queued_requests) or self._request_started_ms is not None
        return request.is_keep_alive and (has_more or not self.is_draining)

    def write(self, data: bytes) -> None:
        """Write data unless the caller has disconnected."""
        if self._transport is not None:
            self._transport.write(data)
            self._count_unsent()

    def on_exchange_end(self, exchange: Exchange) -> None:
        """Start the next request, or close the connection."""
        if exchange is not self._current:
            return
        self._current = None
        self.upstream = None
        self._answer_ended_ms = self._last_used_ms = self._clock.now_ms()
        if not exchange.stays_open:
            self._linger()
            return
        self._resume_reading()
        self._count()
        # The handler of this exchange is still running: start the next one after it.
        asyncio.get_running_loop().call_soon(self._start_next)

    def abort(self) -> None:
        """Abort the connection without sending what is buffered."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self, now_ms: int, min_idle_ms: int) -> None:
        """Close now if the connection is idle, else after the current answer.

        Parameters
        ----------
        now_ms : int
            Monotonic time.
        min_idle_ms : int
            Time since its last use from which the connection counts as idle.
        """
        self.is_draining = True
        is_quiet = now_ms - self._last_used_ms >= min_idle_ms
        if self.is_idle and is_quiet and self._transport is not None:
            self._transport.close()

    def check_timeouts(self, now_ms: int) -> None:
        """Refuse a request that arrives too slowly; close an idle connection."""
        self._count_unsent()
        if self._transport is None or self._current is not None or self._is_lingering:
            return
        limits = self._get_limits()
        if self._request_started_ms is None:
            if now_ms - self._last_used_ms >= limits.idle_timeout_ms:
                self._transport.close()
        elif self._meter.is_in_head:
            if now_ms - self._request_started_ms >= limits.header_timeout_ms:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif now_ms - self._last_used_ms >= limits.idle_timeout_ms:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _start_next(self) -> None:
        if self._current is not None or self._transport is None:
            return
        if self._is_writing_paused:
            # The caller has not read the answer before.
            return
        if self._queued_requests:
            self._current = Exchange(self._queued_requests.popleft(), self)
            self._count()
            self._on_request(self._current)
        elif self._refusal_status is not None and not self._is_lingering:
            self._refuse(self._refusal_status)

    def _refuse(self, status: HTTPStatus) -> None:
        self._refusal_status = status
        self._budget.record_refusal(status)
        self.write(refusal(status))
        self._linger()

    def _linger(self) -> None:
        self._is_lingering = True
        self._forget_pending()
        self._count()
        transport = self._transport
        if transport is None:
            return
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_MS / 1000, transport.close)

    def _handle_disconnect(self) -> None:
        self._queued_requests.clear()
        exchange = self._current
        if exchange is not None and not exchange.is_over:
            exchange.is_over = True
            exchange.mailbox.put(self, CallerDisconnected())


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
