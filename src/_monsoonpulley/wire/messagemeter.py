"""Sizes of a message while it is received, for both front ends."""

from __future__ import annotations

from http import HTTPStatus

PARSE_BYTES = 4_096
"""Received bytes that are parsed at once: sizes are checked, and requests that wait are
counted, after so many."""

MAX_PIPELINED_REQUESTS = 4
"""Requests that may wait behind the one in progress before reading pauses."""

HEADER_LINE_OVERHEAD_BYTES = 4
"""The colon, space and line end of a header line."""

MAX_FRAMING_FACTOR = 16
"""Bytes of chunk framing for each byte of a body, beyond as many as a head may have: a
chunk of one byte has five, and one with a long extension more."""

RECEIVE_BUFFER_BYTES = 65_536
"""Received bytes that the kernel keeps for a connection, over a round trip at the rate
of the users' links; without a limit it would keep megabytes for one that isn't read."""

RETRY_AFTER_S = 1
"""When a caller may return that was shed: those that hold too much are overdue then."""


class MessageMeter:
    """Counts the head, the body, the trailers and the framing of a message.

    Attributes
    ----------
    is_in_head : bool
        Whether no head is complete whose body is not.
    is_begun : bool
        Whether a message has begun and is not complete.
    head_bytes : int
        Bytes read of a head that is incomplete.
    text_bytes : int
        Bytes of names and values in the head.
    body_bytes : int
        Bytes of the body.
    """

    __slots__ = (
        "_before_read",
        "_framing_bytes",
        "_message_count",
        "_trailer_bytes",
        "_unframed_bytes",
        "body_bytes",
        "head_bytes",
        "is_begun",
        "is_in_head",
        "text_bytes",
    )

    def __init__(self) -> None:
        self.is_in_head = True
        self.is_begun = False
        self._message_count = 0
        self._before_read: tuple[int, int, int] | None = None
        self.head_bytes = 0
        self.begin_message()
        self.is_begun = False

    def begin_message(self) -> None:
        """Begin to count a message, whose head has begun."""
        self.is_begun = True
        self._message_count += 1
        self.text_bytes = 0
        self.body_bytes = 0
        self._trailer_bytes = 0
        self._framing_bytes = 0
        self._unframed_bytes = 0

    def add_header(self, name: bytes, value: bytes) -> bool:
        """Count a header; return whether it is one of the head and no trailer."""
        size_bytes = len(name) + len(value)
        if not self.is_in_head:
            self._trailer_bytes += size_bytes + HEADER_LINE_OVERHEAD_BYTES
            return False
        self.text_bytes += size_bytes
        return True

    def end_head(self, target_bytes: int, header_count: int) -> int:
        """Return the size of the head, which is complete."""
        self.is_in_head = False
        self.head_bytes = 0
        lines_bytes = header_count * HEADER_LINE_OVERHEAD_BYTES
        return target_bytes + self.text_bytes + lines_bytes

    def add_body(self, size_bytes: int) -> None:
        """Count bytes of the body."""
        self.body_bytes += size_bytes
        self._framing_bytes -= size_bytes

    def end_message(self) -> None:
        """Expect the next message."""
        self.is_in_head = True
        self.is_begun = False
        self.head_bytes = 0

    def begin_read(self, size_bytes: int) -> None:
        """Count bytes before they are parsed."""
        if self.is_in_head:
            self._before_read = None
            self.head_bytes += size_bytes
        else:
            self._before_read = self._progress()
            self._framing_bytes += size_bytes
            self._unframed_bytes += size_bytes

    def end_read(self, max_header_bytes: int) -> HTTPStatus | None:
        """Return the status to refuse what was parsed with, None if it is allowed."""
        if self.is_in_head:
            if self.head_bytes > max_header_bytes:
                return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            return None
        if self._before_read is None:
            return None
        # A trailer or an extension of a chunk that is incomplete is not reported.
        if self._progress() != self._before_read:
            self._unframed_bytes = 0
        if max(self._trailer_bytes, self._unframed_bytes) > max_header_bytes:
            return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        allowed_bytes = max_header_bytes + MAX_FRAMING_FACTOR * self.body_bytes
        if self._framing_bytes - self._trailer_bytes > allowed_bytes:
            return HTTPStatus.BAD_REQUEST
        return None

    def _progress(self) -> tuple[int, int, int]:
        return self._message_count, self.body_bytes, self._trailer_bytes


def refusal(status: int) -> bytes:
    """Return the answer to a request that was not read to its end, and never runs."""
    phrase = HTTPStatus(status).phrase.encode()
    retry_line = b""
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        retry_line = b"Retry-After: %d\r\n" % RETRY_AFTER_S
    return b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\n%sConnection: close\r\n\r\n" % (
        status,
        phrase,
        retry_line,
    )
