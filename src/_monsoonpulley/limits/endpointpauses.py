"""Pauses that endpoints ask an instance for when they refuse its requests."""

from __future__ import annotations

from ..ids import EndpointId

MAX_PAUSE_MS = 3_600_000
"""Longer pauses count as an hour. Until its end only a restart of the endpoint or of
this instance lets requests through, so that a wrong value must not last for days."""


class EndpointPauses:
    """When each endpoint takes requests of this instance again.

    Pauses concern this instance alone. Times are those of a clock that also runs while
    the machine is suspended, so that a freeze doesn't lengthen a pause.
    """

    def __init__(self) -> None:
        self._until_ms: dict[EndpointId, int] = {}

    def record_refusal(self, endpoint: EndpointId, pause_ms: int, now_ms: int) -> None:
        """Record that an endpoint refused a request and wants a pause.

        A shorter pause that was asked for later doesn't end a longer one: the answers
        of requests in progress may overtake each other.
        """
        self._expire(now_ms)
        until_ms = now_ms + min(pause_ms, MAX_PAUSE_MS)
        self._until_ms[endpoint] = max(until_ms, self._until_ms.get(endpoint, 0))

    def wait_ms(self, endpoint: EndpointId, now_ms: int) -> int:
        """Return the time until the endpoint takes requests again."""
        until_ms = self._until_ms.get(endpoint)
        if until_ms is None:
            return 0
        if until_ms <= now_ms:
            del self._until_ms[endpoint]
            return 0
        return until_ms - now_ms

    def remove(self, endpoint: EndpointId) -> None:
        """Remove the pause of an endpoint whose process has ended.

        A row or list entry that is missing for a moment doesn't end a pause.
        """
        self._until_ms.pop(endpoint, None)

    def _expire(self, now_ms: int) -> None:
        for endpoint in [e for e, until in self._until_ms.items() if until <= now_ms]:
            del self._until_ms[endpoint]
