"""Links from this instance to the endpoints, as its own connections show them.

A link counts as lost from a failed connection until a probe or a request connects. A
lost link says nothing of its endpoint, which other instances may reach. When several
links are lost and nothing was heard from any endpoint since, this instance is
presumably cut off from all of them.
"""

from __future__ import annotations

import msgspec

from ..fleet.model import Endpoint
from ..ids import EndpointId

MIN_CUT_OFF_LINKS = 2
"""Links that must be lost before those that weren't tried are presumed lost, too: one
may be lost because its endpoint has ended."""

BROKEN_MEMORY_MS = 1_000
"""A link that is lost this soon after a connection broke off was lost with it."""

MAX_PROBES = 16
"""Probes at a time: together they take a few percent of the smallest instance."""


class _LostLink(msgspec.Struct):
    endpoint: Endpoint
    lost_ms: int
    probed_ms: int


class EndpointLinks:
    """Which endpoints this instance can connect to."""

    def __init__(self) -> None:
        self._lost: dict[EndpointId, _LostLink] = {}
        self._broken_ms: dict[EndpointId, int] = {}
        self._last_contact_ms: int | None = None

    @property
    def lost_count(self) -> int:
        """Number of lost links."""
        return len(self._lost)

    def record_lost(self, endpoint: Endpoint, now_ms: int) -> bool:
        """Record a connection that failed; return whether the link was not lost yet."""
        known = self._lost.get(endpoint.id)
        if known is not None and known.endpoint.is_same_incarnation(endpoint):
            return False
        broken_ms = self._broken_ms.pop(endpoint.id, None)
        is_recent = broken_ms is not None and now_ms - broken_ms <= BROKEN_MEMORY_MS
        lost_ms = broken_ms if broken_ms is not None and is_recent else now_ms
        self._lost[endpoint.id] = _LostLink(endpoint, lost_ms, now_ms)
        return True

    def record_broken(self, endpoint: EndpointId, now_ms: int) -> None:
        """Record a connection that broke off: the link may have been lost then."""
        self._broken_ms[endpoint] = now_ms

    def record_connected(self, endpoint: EndpointId, now_ms: int) -> int | None:
        """Record a connection; return for how long a lost link was lost (ms)."""
        self._last_contact_ms = now_ms
        lost = self._lost.pop(endpoint, None)
        return None if lost is None else now_ms - lost.lost_ms

    def record_contact(self, now_ms: int) -> None:
        """Record an answer of any endpoint, on a connection that was open before."""
        self._last_contact_ms = now_ms

    def is_lost(self, endpoint: EndpointId) -> bool:
        """Return whether the last connection to an endpoint failed."""
        return endpoint in self._lost

    def is_cut_off(self) -> bool:
        """Return whether this instance presumably reaches no endpoint at all."""
        since_ms = self._last_contact_ms
        silent = sum(
            since_ms is None or link.lost_ms > since_ms for link in self._lost.values()
        )
        return silent >= MIN_CUT_OFF_LINKS

    def reachable(self, endpoints: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
        """Return the endpoints to which this instance presumably has a link."""
        if not self._lost:
            return endpoints
        if self.is_cut_off():
            return ()
        return tuple(e for e in endpoints if e.id not in self._lost)

    def take_probes(self, now_ms: int, interval_ms: int) -> list[Endpoint]:
        """Return endpoints whose lost links are due for a probe, oldest probe first.

        Each is due again after ``interval_ms``.
        """
        due = [e for e in self._lost.values() if now_ms - e.probed_ms >= interval_ms]
        due.sort(key=lambda link: link.probed_ms)
        for link in due[:MAX_PROBES]:
            link.probed_ms = now_ms
        return [link.endpoint for link in due[:MAX_PROBES]]

    def retain(self, endpoints: list[Endpoint]) -> None:
        """Remove the state of all endpoints but these.

        Connections to one that is gone may end after its removal.
        """
        if not self._lost and not self._broken_ms:
            return
        ids = {endpoint.id for endpoint in endpoints}
        for known in (self._lost, self._broken_ms):
            for endpoint_id in known.keys() - ids:
                del known[endpoint_id]

    def remove(self, endpoint: EndpointId) -> None:
        """Remove the state of an endpoint that no longer exists."""
        self._lost.pop(endpoint, None)
        self._broken_ms.pop(endpoint, None)

    def unreachable_count(self, endpoints: tuple[Endpoint, ...]) -> int:
        """Return to how many of the endpoints this instance presumably has no link."""
        return len(endpoints) - len(self.reachable(endpoints))
