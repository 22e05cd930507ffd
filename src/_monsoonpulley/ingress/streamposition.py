"""How far the caller of a stream has got, and what may follow from elsewhere."""

from __future__ import annotations

from .eventsplitter import StreamEvent, is_after


class StreamPosition:
    """The caller's position in a stream.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last event that was forwarded.
    is_known : bool
        Whether that event is the last one with data, so that a stream that goes on
        after it repeats nothing.
    """

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self.is_known = True

    def advance(self, event: StreamEvent) -> None:
        """Record that an event was forwarded."""
        if event.id is not None:
            self.last_id = event.id
            self.is_known = True
        elif event.has_data:
            self.is_known = False

    def is_behind(self, event: StreamEvent) -> bool:
        """Return whether the caller has got this event already."""
        return event.id is not None and not is_after(event.id, self.last_id)

    def is_continued_by(self, event: StreamEvent) -> bool:
        """Return whether another endpoint's event may be the next one.

        An event with data needs an id for that, and a number after a number.
        """
        if self.last_id is None:
            return True
        if event.id is None:
            return not event.has_data
        return event.id.isdigit() or not self.last_id.isdigit()
