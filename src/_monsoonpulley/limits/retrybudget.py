"""How often requests may be sent again, over all instances.

Answers for endpoints that fail many requests at once: repeats then stay a small
share of the load. Each instance lives on its own share, which is safe without
hearing from the others: a ratio of its own requests, and the fixed extra
divided by the number of instances.
"""

from __future__ import annotations

from collections import deque

from ..ids import ServiceId

RATIO_SHARE = 0.85
"""Share of the platform's ratio that is spent; windows are counted by arrival
at the endpoints, which may lag behind the decision here."""

EXTRA_SHARE = 0.7
"""Share of the fixed extra that is divided between the instances."""


class _Window:
    """Counts of events in the last ``length_ms``."""

    def __init__(self, length_ms: int):
        self.length_ms = length_ms
        self._times: deque[int] = deque()

    def add(self, now_ms: int) -> None:
        """Count one event."""
        self._times.append(now_ms)

    def count(self, now_ms: int) -> int:
        """Return the events of the last window."""
        while self._times and self._times[0] <= now_ms - self.length_ms:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Repeats that this instance may still send, by service.

    Parameters
    ----------
    ratio, window_s, extra : float
        Limit over all instances: see `Bounds`.
    """

    def __init__(self, ratio: float, window_s: float, extra: float):
        self._ratio = ratio
        self._window_ms = round(window_s * 1000)
        self._extra = extra
        self._members = 1
        self._requests: dict[ServiceId, _Window] = {}
        self._repeats: dict[ServiceId, _Window] = {}

    def set_limit(self, ratio: float, window_s: float, extra: float) -> None:
        """Take over a limit that changed."""
        self._ratio = ratio
        self._window_ms = round(window_s * 1000)
        self._extra = extra
        for window in (*self._requests.values(), *self._repeats.values()):
            window.length_ms = self._window_ms

    def set_members(self, members: int) -> None:
        """Take over how many instances share the fixed extra."""
        self._members = max(1, members)

    def count_request(self, service: ServiceId, now_ms: int) -> None:
        """Count a caller's request for a service."""
        self._window(self._requests, service).add(now_ms)

    def take(self, service: ServiceId, now_ms: int) -> bool:
        """Take one repeat from the budget; return whether there was one."""
        requests = self._window(self._requests, service).count(now_ms)
        repeats = self._window(self._repeats, service)
        extra = EXTRA_SHARE * self._extra / self._members
        if repeats.count(now_ms) + 1 > RATIO_SHARE * self._ratio * requests + extra:
            return False
        repeats.add(now_ms)
        return True

    def _window(self, of: dict[ServiceId, _Window], service: ServiceId) -> _Window:
        window = of.get(service)
        if window is None:
            window = of[service] = _Window(self._window_ms)
        return window
