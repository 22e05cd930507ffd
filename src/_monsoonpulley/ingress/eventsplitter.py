"""Splitting of an event stream into events."""

from __future__ import annotations

import re

import msgspec

EVENT_END = b"\n\n"

MAX_EVENT_BYTES = 1_048_576
"""Limit of one event, as in the gateway; a faulty engine may never end one."""

_FIELD_OF_CONTENT = re.compile(rb"^(?:data|id:)", re.MULTILINE)


class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event as received, or a run of events with neither data nor id.

    Attributes
    ----------
    raw : bytes
        The bytes, to be forwarded unchanged.
    id : bytes or None
        The event's id, if it has one.
    has_data : bool
        Whether it is more than comments and empty lines, as servers send to keep a
        stream open.
    """

    raw: bytes
    id: bytes | None
    has_data: bool


class EventSplitter:
    """Buffers bytes until they complete an event."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        # The events in the buffer that were not taken, and where the last one ends.
        self._next = 0
        self._end = 0

    @property
    def has_events(self) -> bool:
        """Whether complete events wait to be taken."""
        return self._next < self._end

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer[self._end :].strip())

    @property
    def is_too_large(self) -> bool:
        """Whether the incomplete event exceeds `MAX_EVENT_BYTES`."""
        return len(self._buffer) - self._end > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> None:
        """Add bytes that may complete events."""
        # The last byte before may be the first half of an event's end.
        searched = max(self._end, len(self._buffer) - 1)
        self._buffer += data
        found = self._buffer.rfind(EVENT_END, searched)
        if found >= 0:
            self._end = found + len(EVENT_END)

    def take_events(self, max_count: int) -> list[StreamEvent]:
        """Remove and return the first events that are complete.

        A run of events without content is returned as one, since endpoints may send
        such events in any number.
        """
        events: list[StreamEvent] = []
        while self.has_events and len(events) < max_count:
            events.append(self._take_event())
        if not self.has_events:
            del self._buffer[: self._end]
            self._next = self._end = 0
        return events

    def _take_event(self) -> StreamEvent:
        buffer, start = self._buffer, self._next
        field = _FIELD_OF_CONTENT.search(buffer, start, self._end)
        if field is None:
            self._next = self._end
            return StreamEvent(bytes(buffer[start : self._end]), None, False)
        before = buffer.rfind(EVENT_END, start, field.start())
        if before >= 0:
            self._next = before + len(EVENT_END)
            return StreamEvent(bytes(buffer[start : self._next]), None, False)
        self._next = buffer.find(EVENT_END, field.start()) + len(EVENT_END)
        raw = bytes(buffer[start : self._next])
        return StreamEvent(raw, _event_id(raw), _has_data(raw))


def _has_data(event: bytes) -> bool:
    return event.startswith(b"data") or b"\ndata" in event


def _event_id(event: bytes) -> bytes | None:
    if not event.startswith(b"id:") and b"\nid:" not in event:
        return None
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
