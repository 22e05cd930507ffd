"""Versions of endpoints that fail or slow down, and when."""

from __future__ import annotations

from enum import Enum

import msgspec


class BadEffect(Enum):
    """What a bad version does to requests."""

    FAIL = "fail"
    SLOW = "slow"


class BadVersion(msgspec.Struct, frozen=True):
    """When a version is bad, and how; all conditions must hold together.

    Attributes
    ----------
    after_ms : int
        Time since the endpoint loaded the version.
    after_requests : int
        Requests that the endpoint started with the version.
    above_running : int
        The endpoint must run more requests than this.
    path : str
        Route that is affected; empty for all.
    probability : float
        Share of the requests that are affected.
    slow_factor : float
        By how much work takes longer, for ``SLOW``.
    """

    effect: BadEffect
    after_ms: int = 0
    after_requests: int = 0
    above_running: int = 0
    path: str = ""
    probability: float = 1.0
    slow_factor: float = 10.0

    @classmethod
    def fails_at_once(cls) -> BadVersion:
        """Every request fails from the start."""
        return cls(BadEffect.FAIL)

    @classmethod
    def slow_at_once(cls, slow_factor: float = 10.0) -> BadVersion:
        """Every request is slow from the start."""
        return cls(BadEffect.SLOW, slow_factor=slow_factor)

    @classmethod
    def bad_after(
        cls, effect: BadEffect, after_ms: int = 0, after_requests: int = 0
    ) -> BadVersion:
        """Good for a time or a number of requests, then bad."""
        return cls(effect, after_ms=after_ms, after_requests=after_requests)

    @classmethod
    def under_load(cls, effect: BadEffect, above_running: int) -> BadVersion:
        """Bad only while the endpoint runs more than ``above_running``."""
        return cls(effect, above_running=above_running)

    @classmethod
    def on_route(cls, effect: BadEffect, path: str) -> BadVersion:
        """Bad on one route only."""
        return cls(effect, path=path)

    def is_active(self, age_ms: int, requests: int, running: int) -> bool:
        """Return whether the conditions on the endpoint as a whole hold."""
        return (
            age_ms >= self.after_ms
            and requests >= self.after_requests
            and running > self.above_running
        )

    def affects(self, path: str, draw: float) -> bool:
        """Return whether a request is affected; ``draw`` is its own, 0 to 1."""
        return self.path in ("", path) and draw < self.probability
