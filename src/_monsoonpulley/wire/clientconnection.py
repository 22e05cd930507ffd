"""A client's connection to a server."""

from __future__ import annotations

import asyncio
from enum import Enum

import httptools

from ..clock import Clock
from .events import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    AnswerIncomplete,
    Event,
    HeaderList,
    Mailbox,
)
from .sockets import UnreadWatch, enable_keepalive, reset

MAX_OVERHEAD_BYTES = 524_288
"""Bytes of one exchange that are no part of the answer's body, beyond as many as the
body has: head, framing, trailers and answers that are skipped. Over thirty times the
largest head that callers may send; a faulty server can send them without end. A long
stream in small chunks has more framing, but less than body."""

MAX_REFUSED_IDS = 256
"""Requests that a server may refuse on a connection before it is replaced: their ids
take some 20 KB, and one request in so many waits for a new connection."""

MAX_REFUSED_ID_BYTES = 64
"""Longer ids, which callers choose up to the limit of a head, are not remembered: the
connection is replaced."""

MAX_TIMEOUT_DIGITS = 6
"""Digits of an idle time-out in seconds, eleven days; a longer number is no time."""

NO_BODY_STATUSES = frozenset({204, 304})

MIN_STATUS, MAX_STATUS = 100, 599
"""Status codes that HTTP has (RFC 9110, 15)."""


class _Owner(Enum):
    """The request that an answer belongs to."""

    CURRENT = "current"
    OTHER = "other"
    PRESUMED = "presumed"
    """The current one: there was no other, but the answer has no id."""
    UNKNOWN = "unknown"


class PauseCause(Enum):
    """Why an answer is not read for a while."""

    CALLER = "caller"
    """Its caller does not read what was forwarded."""
    BACKLOG = "backlog"
    """What was read before has not been handled."""


class ClientConnection(asyncio.Protocol):
    """A connection to a server that carries one exchange at a time.

    It parses answers and puts their events into the mailbox of the exchange.

    Parameters
    ----------
    clock : Clock
        Source of `last_used_ms`.

    Attributes
    ----------
    is_open : bool
        Whether the transport is connected.
    is_reusable : bool
        Whether another request may be sent: the last answer was complete and named
        its request, and nothing was received that belongs to no request.
    idle_timeout_ms : int or None
        How long the server keeps the connection idle, by its ``Keep-Alive``.
    foreign_count : int
        Answers in the current or last exchange that belong to other requests, or may.
    last_used_ms : int
        Monotonic time at which the last exchange ended or the connection opened.
    reading_since_ms : int or None
        Monotonic time from which answers are read; None while reading is paused.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._unread_watch: UnreadWatch | None = None
        self._mailbox: Mailbox | None = None
        self._expected_id: tuple[bytes, bytes] | None = None
        self._headers: HeaderList = []
        self._body_pieces: list[bytes] = []
        self._is_head_request = False
        self._is_skipping_message = False
        self._ends_at_close = False
        self._has_ended_unframed = False
        self._may_get_foreign_answer = False
        self._sent_count = 0
        self._refused_ids: set[bytes] = set()
        self._has_unknown_refusal = False
        self._overhead_bytes = 0
        self._body_bytes = 0
        self.is_open = False
        self.is_reusable = False
        self.idle_timeout_ms: int | None = None
        self.foreign_count = 0
        self.last_used_ms = clock.now_ms()
        self.reading_since_ms: int | None = self.last_used_ms
        self._pause_causes: set[PauseCause] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and make it fail if the peer is silent."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_keepalive(transport)
        self._unread_watch = UnreadWatch(transport)
        self.is_open = True
        self.is_reusable = True

    def send(
        self,
        data: bytes,
        mailbox: Mailbox,
        *,
        expected_id: tuple[bytes, bytes] | None = None,
        is_head: bool = False,
    ) -> None:
        """Send one request; put the events of its answer into ``mailbox``.

        Parameters
        ----------
        data : bytes
            The complete request.
        mailbox : Mailbox
            Receives the events, with this connection as their source.
        expected_id : tuple of bytes or None
            Lower-case name and value of the header that ties an answer to this
            request; complete answers with another value are skipped. An answer
            without it is the connection's last, and is in doubt unless it is also
            the first one; so is one with several values, of which one is this.
        is_head : bool
            Whether the method is ``HEAD``: the answer then has no body, whatever
            its headers say.
        """
        if self._transport is None:
            # Lost since it was taken from its pool.
            mailbox.put(self, AnswerIncomplete("connection lost before it was used"))
            return
        self._mailbox = mailbox
        self._expected_id = expected_id
        self._is_head_request = is_head
        self._sent_count += 1
        self.foreign_count = 0
        self._overhead_bytes = self._body_bytes = 0
        self.is_reusable = False
        self._transport.write(data)

    def record_refusal(self) -> None:
        """Record that the answer says that the server refused the request."""
        if self._expected_id is None:
            return
        request_id = self._expected_id[1]
        if len(request_id) > MAX_REFUSED_ID_BYTES:
            self._has_unknown_refusal = True
        else:
            self._refused_ids.add(request_id)

    def may_carry(self, request_id: bytes) -> bool:
        """Return whether no earlier refusal could be taken for that of a request."""
        if self._has_unknown_refusal or len(self._refused_ids) >= MAX_REFUSED_IDS:
            return False
        return request_id not in self._refused_ids

    def pause_reading(self, cause: PauseCause = PauseCause.CALLER) -> None:
        """Pause reading the answer until every cause is resolved."""
        if self._transport is not None and self.is_open:
            self._pause_causes.add(cause)
            self._transport.pause_reading()
            self.reading_since_ms = None

    def resume_reading(self, cause: PauseCause = PauseCause.CALLER) -> None:
        """Resume reading the answer unless it is paused for another cause."""
        if cause not in self._pause_causes:
            return
        self._pause_causes.remove(cause)
        if self._transport is not None and self.is_open and not self._pause_causes:
            self._transport.resume_reading()
            self.reading_since_ms = self._clock.now_ms()

    def pause_writing(self) -> None:
        """Start watching whether a server reads a long request."""
        if self._unread_watch is not None:
            self._unread_watch.on_pause()

    def resume_writing(self) -> None:
        """Expect the usual acknowledgements again."""
        if self._unread_watch is not None:
            self._unread_watch.on_resume()

    def abort(self) -> None:
        """Reset the connection; the mailbox gets no further events."""
        self._mailbox = None
        self.is_reusable = False
        if self._transport is not None:
            reset(self._transport)

    def close(self) -> None:
        """Close an idle connection."""
        self._mailbox = None
        self.is_reusable = False
        if self._transport is not None:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; those that belong to no request end the connection."""
        if self._mailbox is None:
            self.abort()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail_exchange(f"malformed answer: {error}")
            return
        self._put_body()
        excess_bytes = self._overhead_bytes - self._body_bytes
        if self._mailbox is not None and excess_bytes > MAX_OVERHEAD_BYTES:
            self._fail_exchange("malformed answer: too many bytes outside of its body")

    def eof_received(self) -> bool:
        """Complete an answer without a length; fail the exchange of any other.

        While the rest of the request is to be written, the answer is complete only once
        it has been: until then the server may reset the connection, which could not be
        seen after the end of what it has sent.
        """
        if not self._ends_at_close or self._mailbox is None:
            self._fail_exchange("connection closed")
        elif self._has_unsent_bytes():
            # The transport closes once it has written them.
            self._has_ended_unframed = True
            self.is_reusable = False
        else:
            self._finish(is_framed=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current exchange, unless its answer has ended."""
        self._transport = None
        self.is_open = False
        self.is_reusable = False
        if self._has_ended_unframed and exc is None and self._mailbox is not None:
            self._finish(is_framed=False)
        self._fail_exchange(
            f"connection lost: {exc or 'closed'}",
            is_timeout=isinstance(exc, TimeoutError),
        )

    def on_message_begin(self) -> None:
        """Start parsing an answer."""
        self._headers = []
        self._is_skipping_message = False
        if self._mailbox is None:
            # An answer without a request.
            self.is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the current answer."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Put the head into the mailbox unless it answers another request."""
        status = self._parser.get_status_code()
        fields = {name.lower(): value.strip() for name, value in self._headers}
        if not MIN_STATUS <= status <= MAX_STATUS:
            self._is_skipping_message = True
            self._fail_exchange(f"malformed answer: status {status:03}")
            return
        if status < 200:
            self._is_skipping_message = True
            return
        owner = self._find_owner()
        if owner is not _Owner.CURRENT:
            # Another copy of it could not be told from the next request's answer.
            self._may_get_foreign_answer = True
        if owner in (_Owner.OTHER, _Owner.UNKNOWN):
            self.foreign_count += 1
        if owner is _Owner.OTHER:
            self._is_skipping_message = True
            return
        self.idle_timeout_ms = _idle_timeout_ms(fields.get(b"keep-alive"))
        has_length = b"content-length" in fields or b"transfer-encoding" in fields
        has_no_body = self._is_head_request or status in NO_BODY_STATUSES
        self._ends_at_close = not has_length and not has_no_body
        is_in_doubt = owner is _Owner.UNKNOWN
        self._put(AnswerHead(status, self._headers, fields, is_in_doubt))
        if self._is_head_request:
            self._finish()
            self.abort()

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body to what this read has brought."""
        if not self._is_skipping_message:
            self._overhead_bytes -= len(data)
            self._body_bytes += len(data)
            self._body_pieces.append(data)

    def on_message_complete(self) -> None:
        """End the exchange unless the answer belongs to another request."""
        if self._is_skipping_message or self._mailbox is None:
            return
        transport = self._transport
        self.is_reusable = (
            self._parser.should_keep_alive()
            and not self._may_get_foreign_answer
            and self.is_open
            and transport is not None
            and not transport.is_closing()
            and not self._has_unsent_bytes()
        )
        self._finish()

    def _has_unsent_bytes(self) -> bool:
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def _find_owner(self) -> _Owner:
        """Return the request that an answer belongs to, by the ids in its head."""
        if self._expected_id is None:
            return _Owner.CURRENT
        name, value = self._expected_id
        ids = {v.strip() for n, v in self._headers if n.lower() == name}
        if ids == {value}:
            return _Owner.CURRENT
        if ids:
            return _Owner.UNKNOWN if value in ids else _Owner.OTHER
        # Later it may be an earlier answer, sent again without its id.
        is_first = self._sent_count == 1 and not self._may_get_foreign_answer
        return _Owner.PRESUMED if is_first else _Owner.UNKNOWN

    def _finish(self, *, is_framed: bool = True) -> None:
        self._ends_at_close = False
        self.last_used_ms = self._clock.now_ms()
        self._put(AnswerEnd(is_framed))
        self._mailbox = None

    def _fail_exchange(self, detail: str, *, is_timeout: bool = False) -> None:
        self._put(AnswerIncomplete(detail, is_timeout))
        self.abort()

    def _put(self, event: Event) -> None:
        self._put_body()
        if self._mailbox is not None:
            self._mailbox.put(self, event)

    def _put_body(self) -> None:
        """Put what was read of the body as one event, however small its chunks are."""
        if self._body_pieces and self._mailbox is not None:
            self._mailbox.put(self, AnswerData(b"".join(self._body_pieces)))
        self._body_pieces.clear()


def _idle_timeout_ms(keep_alive: bytes | None) -> int | None:
    """Return the ``timeout`` of a ``Keep-Alive`` header in ms, if it has one."""
    if keep_alive is None:
        return None
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        is_time = value.strip().isdigit() and len(value) <= MAX_TIMEOUT_DIGITS
        if name.lower() == b"timeout" and is_time:
            return int(value) * 1000
    return None
