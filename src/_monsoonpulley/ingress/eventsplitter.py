"""Splitting of an event stream into events."""

from __future__ import annotations

import msgspec

EVENT_END = b"\n\n"

MAX_EVENT_BYTES = 1_048_576
"""Limit of one event, as in the gateway; a faulty engine may never end one."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event as received, with its id if it has one."""

    raw: bytes
    id: bytes | None

    @property
    def has_data(self) -> bool:
        """Whether it is more than a comment, as servers send to keep a stream open."""
        return self.raw.startswith(b"data") or b"\ndata" in self.raw


class EventSplitter:
    """Buffers bytes until they complete an event."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())

    @property
    def is_too_large(self) -> bool:
        """Whether the incomplete event exceeds `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        pieces = (self._buffer + data).split(EVENT_END)
        self._buffer = pieces.pop()
        return [StreamEvent(p + EVENT_END, _event_id(p)) for p in pieces]


def _event_id(event: bytes) -> bytes | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


def is_after(event_id: bytes, last_id: bytes | None) -> bool:
    """Return whether an event comes after the last one.

    Ids are compared as numbers; other ids only have to differ.
    """
    if last_id is None:
        return True
    try:
        return int(event_id) > int(last_id)
    except ValueError:
        return event_id != last_id
