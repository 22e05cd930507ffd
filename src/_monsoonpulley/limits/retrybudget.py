"""Limit of retries over all instances.

Keeps retries a small share of the load when endpoints fail many requests at once.
Each instance has a share of the budget that needs no messages from its peers: a
ratio of its own requests, and the fixed extra divided by the number of instances.
"""

from __future__ import annotations

from collections import deque

from ..ids import ServiceId

SPENDABLE_RATIO_SHARE = 0.85
"""Share of the platform's ratio that is used. The platform counts by arrival at the
endpoints, which may be later than the decision here."""

SPENDABLE_EXTRA_SHARE = 0.7
"""Share of the platform's fixed extra that is used, divided between the instances."""


class _SlidingWindow:
    """Count of the events in the last ``length_ms``."""

    def __init__(self, length_ms: int):
        self.length_ms = length_ms
        self._event_times_ms: deque[int] = deque()

    def add(self, now_ms: int) -> None:
        """Record one event."""
        self._event_times_ms.append(now_ms)

    def remove_newest(self) -> None:
        """Remove the newest event, if it is still in the window."""
        if self._event_times_ms:
            self._event_times_ms.pop()

    def count(self, now_ms: int) -> int:
        """Return the number of events in the window that ends now."""
        while (
            self._event_times_ms and self._event_times_ms[0] <= now_ms - self.length_ms
        ):
            self._event_times_ms.popleft()
        return len(self._event_times_ms)


class RetryBudget:
    """Retries that this instance may still send, by service.

    Parameters
    ----------
    ratio, window_s, extra : float
        Limit over all instances; see `Bounds`.
    """

    def __init__(self, ratio: float, window_s: float, extra: float):
        self._ratio = ratio
        self._window_ms = round(window_s * 1000)
        self._extra = extra
        self._member_count = 1
        self._requests: dict[ServiceId, _SlidingWindow] = {}
        self._retries: dict[ServiceId, _SlidingWindow] = {}

    def set_limit(self, ratio: float, window_s: float, extra: float) -> None:
        """Set the limit over all instances."""
        self._ratio = ratio
        self._window_ms = round(window_s * 1000)
        self._extra = extra
        for window in (*self._requests.values(), *self._retries.values()):
            window.length_ms = self._window_ms

    def set_member_count(self, member_count: int) -> None:
        """Set how many instances share the fixed extra."""
        self._member_count = max(1, member_count)

    def count_request(self, service: ServiceId, now_ms: int) -> None:
        """Record a caller's request for a service."""
        self._window_of(self._requests, service).add(now_ms)

    def uncount_request(self, service: ServiceId) -> None:
        """Remove the newest recorded request: another instance counts it."""
        self._window_of(self._requests, service).remove_newest()

    def try_acquire(self, service: ServiceId, now_ms: int) -> bool:
        """Take one retry from the budget; return whether one was left."""
        requests = self._window_of(self._requests, service).count(now_ms)
        retries = self._window_of(self._retries, service)
        extra = SPENDABLE_EXTRA_SHARE * self._extra / self._member_count
        if (
            retries.count(now_ms) + 1
            > SPENDABLE_RATIO_SHARE * self._ratio * requests + extra
        ):
            return False
        retries.add(now_ms)
        return True

    def _window_of(
        self, windows: dict[ServiceId, _SlidingWindow], service: ServiceId
    ) -> _SlidingWindow:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _SlidingWindow(self._window_ms)
        return window
