"""Rate limits that endpoints name in their answers, for all instances together.

An instance learns of a limit from answers and from the digests of others. A few of all
instances (`limits.sharers`) send to a limited endpoint, each at its share of the limit.
In any time they together send at most the limit and what their buckets hold, however
many instances there are and whatever digests are lost. The others place their requests
elsewhere.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import msgspec

from ..fleet.model import Endpoint
from ..ids import EndpointId, InstanceId
from .sharers import Sharers

MIN_SHARER_COUNT = 4
"""Instances that share a low limit. Each may have saved up one request, so that they
send four at once; users allow five beyond one and a half times the limit."""

SHARERS_PER_UNIT = 0.5
"""Further sharers for each request a second of the limit, so that a high one can be
used whose requests arrive at many instances."""

BURST_S = 0.25
"""Time at its share for which a sharer may save up requests beyond the first one."""

MIN_RATE_PER_S = 0.2
"""Rate at an endpoint that allows less: only its answers tell when the limit ends."""

MIN_RETRY_MS = 100
MAX_RETRY_MS = 5_000
"""Bounds of the retry time of requests that limits exclude."""

NOTICE_AGE_MS = 10_000
"""Own notices are passed on in digests until this age. The sharers of a limit hear of
it again sooner."""

Notice = tuple[float | None, int]
"""Requests a second, None for no limit, and the notice's age in ms, as in digests."""


class _Limit(msgspec.Struct):
    """What is known of an endpoint's limit.

    Attributes
    ----------
    per_s : float or None
        Requests a second from all instances; None if the limit has ended.
    heard_ms : int
        Time of the endpoint's last answer that is known to this instance.
    heard_here_ms : int or None
        Time of its last answer to this instance.
    level : float
        Requests that may be sent now.
    refilled_ms : int
        Time at which ``level`` was updated.
    share_per_s : float
        This instance's share; 0 if it is no sharer.
    revision : int
        That of the sharers for which the share was computed.
    """

    per_s: float | None
    heard_ms: int
    heard_here_ms: int | None
    refilled_ms: int
    level: float = 0.0
    share_per_s: float = 0.0
    revision: int = 0

    @property
    def capacity(self) -> float:
        """Requests that may be saved up."""
        return 1.0 + BURST_S * self.share_per_s

    def refill(self, now_ms: int) -> None:
        """Update the level."""
        elapsed_s = max(0, now_ms - self.refilled_ms) / 1000
        self.level = min(self.capacity, self.level + elapsed_s * self.share_per_s)
        self.refilled_ms = now_ms


class EndpointRateLimits:
    """The rate limits of endpoints, and this instance's shares of them.

    Parameters
    ----------
    own : InstanceId
        This instance.
    sharers : Sharers
        Divides the limits.
    rng : random.Random
        Spreads retry times, so that refused callers don't return together.
    on_change : callable
        Called with the endpoint's id, the old and the new limit in requests a second
        (None for none) and the instance that heard of it.
    """

    def __init__(
        self,
        own: InstanceId,
        sharers: Sharers,
        rng: random.Random,
        on_change: Callable[
            [EndpointId, float | None, float | None, InstanceId], None
        ] = lambda endpoint, before, after, source: None,
    ):
        self._own = own
        self._sharers = sharers
        self._rng = rng
        self._on_change = on_change
        self._limits: dict[EndpointId, _Limit] = {}

    def record_answer(
        self, endpoint: EndpointId, per_s: float | None, now_ms: int
    ) -> None:
        """Record the limit in an answer to this instance; None if it has none."""
        if per_s is None and endpoint not in self._limits:
            return
        limit = self._apply(endpoint, per_s, now_ms, now_ms, self._own)
        limit.heard_here_ms = now_ms

    def update_peer(
        self, peer: InstanceId, notices: dict[str, Notice], now_ms: int
    ) -> None:
        """Apply the notices in a peer's digest that are newer than what is known."""
        for name, (per_s, age_ms) in notices.items():
            endpoint = EndpointId(name)
            known = self._limits.get(endpoint)
            heard_ms = now_ms - max(0, age_ms)
            if known is None and per_s is None:
                continue
            if known is None or heard_ms > known.heard_ms:
                self._apply(endpoint, per_s, heard_ms, now_ms, peer)

    def own_notices(self, now_ms: int) -> dict[str, Notice]:
        """Return what this instance has heard lately itself, for its digest."""
        notices: dict[str, Notice] = {}
        for endpoint, limit in list(self._limits.items()):
            heard_ms = limit.heard_here_ms
            if heard_ms is not None and now_ms - heard_ms <= NOTICE_AGE_MS:
                if heard_ms >= limit.heard_ms:
                    notices[endpoint] = (limit.per_s, now_ms - heard_ms)
            elif limit.per_s is None and now_ms - limit.heard_ms > NOTICE_AGE_MS:
                del self._limits[endpoint]
        return notices

    def usable_endpoints(
        self, endpoints: tuple[Endpoint, ...], now_ms: int
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints that this instance may send a request to now."""
        if not self._limits:
            return endpoints
        return tuple(e for e in endpoints if self.wait_ms(e.id, now_ms) == 0)

    def wait_ms(self, endpoint: EndpointId, now_ms: int) -> float:
        """Return the time until a request may be sent; infinite if none may."""
        limit = self._limits.get(endpoint)
        if limit is None or limit.per_s is None:
            return 0
        self._refill(endpoint, limit, now_ms)
        if limit.level >= 1:
            return 0
        if not limit.share_per_s:
            return math.inf
        return math.ceil((1 - limit.level) / limit.share_per_s * 1000)

    def retry_after_ms(self, endpoints: tuple[Endpoint, ...], now_ms: int) -> int:
        """Return when a request that all these endpoints' limits exclude may return.

        That is when one of them may get this instance's next request, or the next of
        any instance if this one has no share.
        """
        waits_ms = [self.wait_ms(endpoint.id, now_ms) for endpoint in endpoints]
        shortest_ms = min(waits_ms, default=math.inf)
        if math.isinf(shortest_ms):
            total_per_s = sum(
                max(MIN_RATE_PER_S, limit.per_s)
                for endpoint in endpoints
                if (limit := self._limits.get(endpoint.id)) and limit.per_s is not None
            )
            shortest_ms = 1000 / total_per_s if total_per_s else MAX_RETRY_MS
        spread_ms = shortest_ms * self._rng.uniform(1.0, 2.0)
        return max(MIN_RETRY_MS, min(MAX_RETRY_MS, round(spread_ms)))

    def record_send(self, endpoint: EndpointId, now_ms: int) -> None:
        """Count a request that is about to be sent."""
        limit = self._limits.get(endpoint)
        if limit is not None and limit.per_s is not None:
            self._refill(endpoint, limit, now_ms)
            limit.level -= 1

    def refund(self, endpoint: EndpointId, now_ms: int) -> None:
        """Uncount a request that was not sent after all."""
        limit = self._limits.get(endpoint)
        if limit is not None and limit.per_s is not None:
            self._refill(endpoint, limit, now_ms)
            limit.level = min(limit.capacity, limit.level + 1)

    def is_limited(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint has a rate limit."""
        limit = self._limits.get(endpoint)
        return limit is not None and limit.per_s is not None

    def limited_count(self) -> int:
        """Return the number of endpoints with a limit."""
        return sum(limit.per_s is not None for limit in self._limits.values())

    def remove(self, endpoint: EndpointId) -> None:
        """Remove the state of an endpoint that no longer exists."""
        self._limits.pop(endpoint, None)

    def _apply(
        self,
        endpoint: EndpointId,
        per_s: float | None,
        heard_ms: int,
        now_ms: int,
        source: InstanceId,
    ) -> _Limit:
        limit = self._limits.get(endpoint)
        before = None if limit is None else limit.per_s
        if limit is None:
            limit = self._limits[endpoint] = _Limit(per_s, heard_ms, None, now_ms)
        elif before is None and per_s is not None:
            # Nothing was saved up: requests in progress count, too.
            limit.level, limit.refilled_ms = 0.0, now_ms
        limit.per_s, limit.heard_ms = per_s, heard_ms
        if per_s != before:
            self._update_share(endpoint, limit, now_ms)
            self._on_change(endpoint, before, per_s, source)
        return limit

    def _refill(self, endpoint: EndpointId, limit: _Limit, now_ms: int) -> None:
        if limit.revision != self._sharers.revision:
            self._update_share(endpoint, limit, now_ms)
        limit.refill(now_ms)

    def _update_share(self, endpoint: EndpointId, limit: _Limit, now_ms: int) -> None:
        limit.refill(now_ms)
        limit.revision = self._sharers.revision
        if limit.per_s is None:
            limit.share_per_s = 0.0
            return
        count = MIN_SHARER_COUNT + math.floor(SHARERS_PER_UNIT * limit.per_s)
        rate_per_s = max(MIN_RATE_PER_S, limit.per_s)
        limit.share_per_s = rate_per_s * self._sharers.own_fraction(endpoint, count)
        is_sharer = limit.share_per_s > 0
        limit.level = min(limit.level, limit.capacity) if is_sharer else 0.0
