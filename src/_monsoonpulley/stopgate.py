"""Which requests an instance still begins while it stops.

Load addressed: requests that arrive late in a stop, on connections that are still open.
Those that the end of the stop would cut off are left to other instances.
"""

from __future__ import annotations

from .observability.log import Decision

MAX_OPEN_SHARE = 0.5
"""Longest time in which a stopping instance begins any request, as a share of the time
until it ends those in progress: each has at least as long as that."""


class LateRefusal(Decision, frozen=True, tag="late_refusal", kw_only=True):
    """A request that is not begun, as the stop may end before it.

    Attributes
    ----------
    stopping_for_ms : int
        Time since the stop began.
    left_ms : int
        Time until the stop ends the requests in progress.
    needed_ms : int
        Time until the request's deadline.
    """

    request: str
    stopping_for_ms: int
    left_ms: int
    needed_ms: int


class StopGate:
    """A planned stop of an instance, and which requests fit into it.

    While callers are still sent here, any request is begun. Later ones are begun only
    if their deadline comes before requests in progress are ended, so that they have
    their answer in any case.

    Attributes
    ----------
    began_ms : int or None
        Monotonic time at which the stop began; None before.
    end_ms : int or None
        Monotonic time at which requests in progress are ended; None for never.
    """

    def __init__(self) -> None:
        self.began_ms: int | None = None
        self.end_ms: int | None = None
        self._max_open_ms = 0

    def begin(self, now_ms: int, max_open_ms: int, end_ms: int | None) -> None:
        """Begin the stop; a second call may only bring its end forward.

        Parameters
        ----------
        now_ms : int
            Monotonic time.
        max_open_ms : int
            Time for which callers are still sent to the instance.
        end_ms : int or None
            See `StopGate`.
        """
        if self.began_ms is None:
            self.began_ms = now_ms
            self._max_open_ms = max_open_ms
        if end_ms is not None:
            self.end_ms = end_ms if self.end_ms is None else min(end_ms, self.end_ms)

    def stopping_for_ms(self, at_ms: int) -> int | None:
        """Return the time from the start of the stop to ``at_ms``, None if none began.

        It is negative for what happened before.
        """
        return None if self.began_ms is None else at_ms - self.began_ms

    def may_begin(self, now_ms: int, deadline_ms: int) -> bool:
        """Return whether to begin a request that has not run anywhere."""
        return self._is_open(now_ms) or self._ends_before(deadline_ms)

    def may_repeat(self, now_ms: int, predicted_ms: float) -> bool:
        """Return whether to send a request that may have run once more.

        Parameters
        ----------
        now_ms : int
            Monotonic time.
        predicted_ms : float
            Time until its answer presumably begins.
        """
        return self.began_ms is None or self._ends_before(now_ms + predicted_ms)

    def explain(self, request_id: str, now_ms: int, deadline_ms: int) -> LateRefusal:
        """Return the log line of a request that may not begin."""
        assert self.began_ms is not None and self.end_ms is not None
        return LateRefusal(
            rule="deadline_beyond_the_stop",
            request=request_id,
            stopping_for_ms=now_ms - self.began_ms,
            left_ms=self.end_ms - now_ms,
            needed_ms=deadline_ms - now_ms,
        )

    def _is_open(self, now_ms: int) -> bool:
        if self.began_ms is None:
            return True
        open_ms: float = self._max_open_ms
        if self.end_ms is not None:
            open_ms = min(open_ms, MAX_OPEN_SHARE * (self.end_ms - self.began_ms))
        return now_ms - self.began_ms < open_ms

    def _ends_before(self, due_ms: float) -> bool:
        return self.end_ms is None or due_ms <= self.end_ms
