"""Whole events out of the pieces of an event stream."""

from __future__ import annotations

import msgspec

EVENT_END = b"\n\n"


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event as received, with its id if it has one."""

    raw: bytes
    id: bytes | None


class EventSplitter:
    """Collects bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._buffer.strip())

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
    """Return whether an event comes after the last one; ids are numbers."""
    if last_id is None:
        return True
    try:
        return int(event_id) > int(last_id)
    except ValueError:
        return event_id != last_id
