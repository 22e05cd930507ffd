"""How long a request may wait for an endpoint before it is refused instead.

While more work arrives than the endpoints carry, waits grow until every answer is late.
Refusing the requests that would wait longest keeps the answers to the others in time.
The limit is on the wait alone and not on the whole predicted time, so that requests
with long prompts are refused no more often than others.
"""

from __future__ import annotations

from ..fleet.model import Configuration, Route

WAIT_SHARE = 0.7
"""Longest wait of a request that can still be answered in time, as a share of its
target; the rest is for the request itself and for errors of the prediction."""

LATE_SHARE = 0.5
"""Limit of a request whose target has passed, relative to one that can be answered in
time: it yields to them, and gets what capacity they leave."""

RANK_FACTOR = 0.9
"""Factor on the limit for each rank: less urgent requests are refused first."""

PRECEDENCE_FACTOR = 3.0
"""Limit of a caller that returns on time, relative to the most urgent new requests: in
large fleets, whose digests are late, queues are at times longer than all limits of new
ones. With 2, 0.74 of the played returns with 300 instances found capacity, with 3 0.87
and with 4 0.88."""


TIMEOUT_MEMORY_MS = 10_000
"""Time for which the longest time-out of a route's callers counts, once or twice. Some
wait for longer than the others, which would all seem to have waited before."""


class _LongestTimeout:
    """The longest time-out of the callers of a route in the present and last period."""

    def __init__(self, now_ms: int):
        self._since_ms = now_ms
        self._present_ms = 0
        self._last_ms = 0

    def record(self, timeout_ms: int, now_ms: int) -> int:
        """Count a caller's time-out; return the longest one."""
        if now_ms - self._since_ms >= TIMEOUT_MEMORY_MS:
            is_next = now_ms - self._since_ms < 2 * TIMEOUT_MEMORY_MS
            self._last_ms = self._present_ms if is_next else 0
            self._since_ms, self._present_ms = now_ms, 0
        self._present_ms = max(self._present_ms, timeout_ms)
        return max(self._present_ms, self._last_ms)


class WaitLimits:
    """Limits of the routes in force.

    A route never gets a longer limit than a more urgent one to the same service, even
    if its target is longer: otherwise the more urgent requests were refused first.
    """

    def __init__(self) -> None:
        self._target_ms_by_route: dict[str, int] = {}
        self._longest: dict[str, _LongestTimeout] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply the targets and ranks of a configuration."""
        routes = [r for group in configuration.routes_by_host.values() for r in group]
        targets_ms: dict[tuple[str, int], int] = {}
        for route in routes:
            for service, _ in route.services:
                key = (service, route.rank)
                known_ms = targets_ms.get(key, route.target_latency_ms)
                targets_ms[key] = min(known_ms, route.target_latency_ms)
        self._target_ms_by_route = {
            route.name: _shortest_target_ms(route, targets_ms) for route in routes
        }
        self._longest = {
            name: longest
            for name, longest in self._longest.items()
            if name in self._target_ms_by_route
        }

    def spent_ms(self, route: Route, timeout_ms: int | None, now_ms: int = 0) -> int:
        """Return how long a caller has presumably waited before it sent a request.

        Callers that return after a refusal wait for less long than they did at first,
        which is the longest that any caller of the route waited lately.

        Parameters
        ----------
        route : Route
            The request's route.
        timeout_ms : int or None
            How long the caller waits from now on; None if it did not say.
        now_ms : int
            Monotonic time.
        """
        if timeout_ms is None:
            return 0
        timeout_ms = min(timeout_ms, route.timeout_ms)
        known = self._longest.get(route.name)
        if known is None:
            known = self._longest[route.name] = _LongestTimeout(now_ms)
        return known.record(timeout_ms, now_ms) - timeout_ms

    def max_wait_ms(
        self,
        route: Route,
        elapsed_ms: float,
        rank: int,
        share_factor: float = 1.0,
        *,
        has_precedence: bool = False,
    ) -> float:
        """Return the longest wait for which a request is not refused.

        Parameters
        ----------
        route : Route
            The request's route.
        elapsed_ms : float
            Time since the caller first sent the request.
        rank : int
            Priority of the request; 0 is the most urgent.
        share_factor : float
            Factor by the customer's share, see `FairShares.limit_factor`.
        has_precedence : bool
            Whether the caller returns at the time that it was told, see `returntimes`.
        """
        target_ms = route.target_latency_ms
        reference_ms = self._target_ms_by_route.get(route.name, target_ms)
        if has_precedence:
            return PRECEDENCE_FACTOR * WAIT_SHARE * reference_ms
        limit_ms = WAIT_SHARE * reference_ms * RANK_FACTOR**rank * share_factor
        left_ms = max(0.0, target_ms - elapsed_ms)
        return min(limit_ms, max(LATE_SHARE * limit_ms, left_ms))


def _shortest_target_ms(route: Route, targets_ms: dict[tuple[str, int], int]) -> int:
    """Return the shortest target of a route and the more urgent ones to its services.

    ``targets_ms`` has the shortest target by service and rank.
    """
    services = {service for service, _ in route.services}
    more_urgent_ms = [
        target_ms
        for (service, rank), target_ms in targets_ms.items()
        if service in services and rank < route.rank
    ]
    return min([route.target_latency_ms, *more_urgent_ms])
