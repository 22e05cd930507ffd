"""Backoff of markets that refused a start or were reclaimed of late."""

from __future__ import annotations

import msgspec

from .fleet import Market


class RefusalSettings(msgspec.Struct, frozen=True):
    """How long a market is left alone.

    Attributes
    ----------
    first_ms, longest_ms : int
        After the first refusal, doubled with each one more, up to the longest.
    reclaimed_ms : int
        After a reclaim notice; a wave seldom takes only one instance.
    """

    first_delay_ms: int = 10_000
    max_delay_ms: int = 600_000
    reclaim_delay_ms: int = 180_000


class Refusal(msgspec.Struct, frozen=True):
    """Refusals in a row of a market, and until when it is left alone."""

    count: int
    until_ms: int


class Refusals:
    """Which markets are left alone.

    Parameters
    ----------
    settings : RefusalSettings
        How long.
    """

    def __init__(self, settings: RefusalSettings):
        self._settings = settings
        self._refusals: dict[Market, Refusal] = {}

    def record_refusal(self, market: Market, now_ms: int) -> Refusal:
        """Take in that a start was refused."""
        previous = self._refusals.get(market, Refusal(0, now_ms))
        wait_ms = self._settings.first_delay_ms * 2 ** min(previous.count, 30)
        wait_ms = min(wait_ms, self._settings.max_delay_ms)
        until_ms = max(previous.until_ms, now_ms + wait_ms)
        self._refusals[market] = Refusal(previous.count + 1, until_ms)
        return self._refusals[market]

    def record_reclaim(self, market: Market, now_ms: int) -> None:
        """Take in that an instance of a reclaimable market is reclaimed."""
        previous = self._refusals.get(market, Refusal(0, now_ms))
        until_ms = max(previous.until_ms, now_ms + self._settings.reclaim_delay_ms)
        self._refusals[market] = Refusal(previous.count, until_ms)

    def record_start(self, market: Market) -> None:
        """Take in that a start succeeded."""
        self._refusals.pop(market, None)

    def blocked_markets(self, now_ms: int) -> frozenset[Market]:
        """Return the markets that are left alone now."""
        return frozenset(
            market
            for market, refusal in self._refusals.items()
            if now_ms < refusal.until_ms
        )
