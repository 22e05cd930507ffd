"""A server's connection to a caller."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import httptools
import msgspec

from ..clock import Clock
from .bodybuffer import BodyBuffer
from .clientconnection import NO_BODY_STATUSES, ClientConnection
from .events import CallerDisconnected, HeaderList, Mailbox
from .messagemeter import MessageMeter
from .requestmessage import Arrival, RequestMessage
from .sockets import UnreadWatch, enable_keepalive

LINGER_MS = 500
"""How long input is discarded after the last answer: a close with unread bytes
resets the connection, and the answer could be lost on its way."""

MAX_PIPELINED_REQUESTS = 4
"""Requests that may wait behind the one in progress before reading pauses."""


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
    ):
        self._on_request = on_request
        self._get_limits = get_limits
        self._clock = clock
        self._on_lost = on_lost
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._unread_watch: UnreadWatch | None = None
        self._queued_requests: deque[RequestMessage] = deque()
        self._current: Exchange | None = None
        self._refusal_status: int | None = None
        self._is_lingering = False
        self._meter = MessageMeter()
        self._request_started_ms: int | None = None
        self._accepted_ms = self._last_used_ms = clock.now_ms()
        self._request_count = 0
        self._answer_ended_ms: int | None = None
        self._target = b""
        self._headers: HeaderList = []
        self._body = BodyBuffer()
        self._body_pieces: list[bytes] = []
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
        enable_keepalive(transport)
        self._unread_watch = UnreadWatch(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start the next complete request."""
        if self._is_lingering or self._refusal_status is not None:
            return
        self._last_used_ms = self._clock.now_ms()
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
        if (
            len(self._queued_requests) > MAX_PIPELINED_REQUESTS
            and self._transport is not None
        ):
            self._transport.pause_reading()
        self._start_next()

    def eof_received(self) -> bool:
        """Treat a caller that stopped sending as disconnected."""
        self._handle_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler and drop queued requests."""
        self._transport = None
        self._handle_disconnect()
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Pause the source of the answer while the caller doesn't read."""
        if self._unread_watch is not None:
            self._unread_watch.on_pause()
        if self.upstream is not None:
            self.upstream.pause_reading()

    def resume_writing(self) -> None:
        """Resume the source of the answer."""
        if self._unread_watch is not None:
            self._unread_watch.on_resume()
        if self.upstream is not None:
            self.upstream.resume_reading()

    def on_message_begin(self) -> None:
        """Start parsing a request."""
        if self._request_started_ms is None:
            self._request_started_ms = self._last_used_ms
        self._meter.begin_message()
        self._target = b""
        self._headers = []
        self._body.clear()

    def on_url(self, url: bytes) -> None:
        """Add a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are discarded."""
        if self._meter.add_header(name, value):
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head against the limits; answer ``Expect: 100-continue``."""
        fields = dict((name.lower(), value) for name, value in reversed(self._headers))
        size = self._meter.end_head(len(self._target), len(self._headers))
        length = fields.get(b"content-length", b"0")
        if size > self._get_limits().max_header_bytes:
            self._refusal_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        elif length.isdigit() and int(length) > self._get_limits().max_body_bytes:
            self._refusal_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        elif fields.get(b"expect", b"").lower() == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body, of which there may be thousands in a read."""
        self._body_pieces.append(data)

    def _add_body(self) -> None:
        """Add the pieces of the body, up to the limit."""
        if not self._body_pieces:
            return
        data = b"".join(self._body_pieces)
        self._body_pieces.clear()
        self._meter.add_body(len(data))
        if self._meter.body_bytes > self._get_limits().max_body_bytes:
            self._refusal_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        elif self._refusal_status is None:
            self._body.add(data)

    def on_message_complete(self) -> None:
        """Queue the request."""
        self._add_body()
        if self._refusal_status is not None:
            return
        started_ms = self._request_started_ms
        if started_ms is None:
            started_ms = self._last_used_ms
        self._request_started_ms = None
        self._meter.end_message()
        self._queued_requests.append(
            RequestMessage(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                fields={name.lower(): value for name, value in reversed(self._headers)},
                body=self._body.take(),
                is_keep_alive=self._parser.should_keep_alive(),
                received_ms=started_ms,
                arrival=self._describe_arrival(started_ms),
            )
        )
        self._request_count += 1

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
        if (
            self._transport is not None
            and len(self._queued_requests) <= MAX_PIPELINED_REQUESTS
        ):
            self._transport.resume_reading()
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
        if self._queued_requests:
            self._current = Exchange(self._queued_requests.popleft(), self)
            self._on_request(self._current)
        elif self._refusal_status is not None and not self._is_lingering:
            self._refuse(self._refusal_status)

    def _refuse(self, status: int) -> None:
        self.write(
            b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            % (status, _reason_phrase(status))
        )
        self._linger()

    def _linger(self) -> None:
        self._is_lingering = True
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
