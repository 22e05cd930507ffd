"""Server-sent events: formatting and incremental parsing."""

from __future__ import annotations

import re

_LINE_END = re.compile(rb"\r\n|\r|\n")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"

MAX_BYTES_WITHOUT_DATA = 524_288
"""Bytes of lines between two with data, as in the ingress; a faulty engine can send
comments and empty lines without end."""

DONE = b"[DONE]"
"""Data of the last event of an OpenAI-compatible stream."""


def sse_event(data: bytes, event_id: str = "") -> bytes:
    """Return one event; ``data`` must not contain a line end."""
    head = f"id: {event_id}\n".encode() if event_id else b""
    return head + b"data: " + data + b"\n\n"


class SseOverflowError(ValueError):
    """An event exceeds the size limit of the parser."""


class SseParser:
    """Parser of bytes, split anywhere, into the data of events.

    Memory is bounded: an event or line over the limit is an error, and so are too many
    lines without data.

    Parameters
    ----------
    max_event_bytes : int
        Maximum size of the data of one event.
    max_bytes_without_data : int
        Maximum size of the lines between two with data.
    """

    def __init__(
        self,
        max_event_bytes: int = 1_048_576,
        max_bytes_without_data: int = MAX_BYTES_WITHOUT_DATA,
    ):
        self._max_event_bytes = max_event_bytes
        self._max_bytes_without_data = max_bytes_without_data
        self._bytes_without_data = 0
        self._partial = bytearray()
        self._data: list[bytes] = []
        self._data_bytes = 0
        self._skip_line_feed = False
        self._is_first_line = True

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of the events that ``chunk`` completes.

        Raises
        ------
        SseOverflowError
            If an event is too large, or too many bytes come without data.
        """
        if self._skip_line_feed and chunk:
            chunk = chunk.removeprefix(b"\n")
            self._skip_line_feed = False
        if not chunk:
            return []
        self._skip_line_feed = chunk.endswith(b"\r")
        *whole_lines, rest = _LINE_END.split(chunk)
        events = []
        for line in whole_lines:
            data = self._handle_line(self._complete_line(line))
            if data is not None:
                events.append(data)
        self._partial += rest
        self._check_size(len(self._partial))
        return events

    def _complete_line(self, line: bytes) -> bytes:
        if self._partial:
            line = bytes(self._partial) + line
            self._partial.clear()
        if self._is_first_line:
            self._is_first_line = False
            line = line.removeprefix(_BYTE_ORDER_MARK)
        return line

    def _handle_line(self, line: bytes) -> bytes | None:
        name, _, value = line.partition(b":")
        if name == b"data":
            value = value.removeprefix(b" ")
            self._data_bytes += len(value) + 1
            self._check_size(self._data_bytes)
            self._bytes_without_data = 0
            self._data.append(value)
            return None
        self._bytes_without_data += len(line) + 1
        if self._bytes_without_data > self._max_bytes_without_data:
            raise SseOverflowError(
                f"more than {self._max_bytes_without_data} bytes come without data"
            )
        return self._end_event() if not line else None

    def _end_event(self) -> bytes | None:
        if not self._data:
            return None
        data = b"\n".join(self._data)
        self._data.clear()
        self._data_bytes = 0
        return data

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self._max_event_bytes:
            raise SseOverflowError(f"an event exceeds {self._max_event_bytes} bytes")
