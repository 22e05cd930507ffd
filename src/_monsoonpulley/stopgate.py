"""The stop of an instance: when it began, and what it still begins."""

from __future__ import annotations


class StopGate:
    """A planned stop of an instance.

    Attributes
    ----------
    began_ms : int or None
        Monotonic time at which the stop began; None before.
    """

    def __init__(self) -> None:
        self.began_ms: int | None = None

    def begin(self, now_ms: int) -> None:
        """Begin the stop; a second call changes nothing."""
        if self.began_ms is None:
            self.began_ms = now_ms

    def stopping_for_ms(self, at_ms: int) -> int | None:
        """Return the time from the start of the stop to ``at_ms``, None if none began.

        It is negative for what happened before.
        """
        return None if self.began_ms is None else at_ms - self.began_ms
