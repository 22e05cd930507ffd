"""Backoff for markets that refused a start or reclaimed an instance."""

from __future__ import annotations

import msgspec

from .fleet import Market


class RefusalSettings(msgspec.Struct, frozen=True):
    """How long no instances are ordered in a market.

    Attributes
    ----------
    first_delay_ms, max_delay_ms : int
        Delay after the first refusal; it doubles with each further one, up to the
        maximum.
    reclaim_delay_ms : int
        Delay after a reclaim notice; a wave seldom reclaims only one instance.
    """

    first_delay_ms: int = 10_000
    max_delay_ms: int = 600_000
    reclaim_delay_ms: int = 180_000


class Refusal(msgspec.Struct, frozen=True):
    """Consecutive refusals of a market, and until when it is blocked."""

    count: int
    until_ms: int


class Refusals:
    """Markets in which no instances are ordered for now.

    Parameters
    ----------
    settings : RefusalSettings
        How long a market is blocked.
    """

    def __init__(self, settings: RefusalSettings):
        self._settings = settings
        self._refusals: dict[Market, Refusal] = {}

    def record_refusal(self, market: Market, now_ms: int) -> Refusal:
        """Record that the market refused a start, and block it."""
        previous = self._refusals.get(market, Refusal(0, now_ms))
        wait_ms = self._settings.first_delay_ms * 2 ** min(previous.count, 30)
        wait_ms = min(wait_ms, self._settings.max_delay_ms)
        until_ms = max(previous.until_ms, now_ms + wait_ms)
        self._refusals[market] = Refusal(previous.count + 1, until_ms)
        return self._refusals[market]

    def record_reclaim(self, market: Market, now_ms: int) -> None:
        """Record that an instance of the market is being reclaimed, and block it."""
        previous = self._refusals.get(market, Refusal(0, now_ms))
        until_ms = max(previous.until_ms, now_ms + self._settings.reclaim_delay_ms)
        self._refusals[market] = Refusal(previous.count, until_ms)

    def record_start(self, market: Market) -> None:
        """Record that a start succeeded, which unblocks the market."""
        self._refusals.pop(market, None)

    def blocked_markets(self, now_ms: int) -> frozenset[Market]:
        """Return the markets that are blocked now."""
        return frozenset(
            market
            for market, refusal in self._refusals.items()
            if now_ms < refusal.until_ms
        )
