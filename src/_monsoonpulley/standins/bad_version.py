"""Bad versions of endpoints: which fail or are slow, and under which conditions."""

from __future__ import annotations

from enum import Enum

import msgspec


class BadEffect(Enum):
    """Effect of a bad version on requests."""

    FAIL = "fail"
    SLOW = "slow"


class BadVersion(msgspec.Struct, frozen=True):
    """Effect of a bad version, and the conditions, all of which must hold.

    Attributes
    ----------
    after_ms : int
        Least time since the endpoint loaded the version.
    after_requests : int
        Least number of requests started with the version.
    above_running : int
        Number of running requests that must be exceeded.
    path : str
        Affected route; empty for all.
    probability : float
        Share of the requests that are affected, 0 to 1.
    slow_factor : float
        Multiplier of the duration of work, for ``SLOW``.
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
        """Return a version that fails every request."""
        return cls(BadEffect.FAIL)

    @classmethod
    def slow_at_once(cls, slow_factor: float = 10.0) -> BadVersion:
        """Return a version that is slow for every request."""
        return cls(BadEffect.SLOW, slow_factor=slow_factor)

    @classmethod
    def delayed(
        cls, effect: BadEffect, after_ms: int = 0, after_requests: int = 0
    ) -> BadVersion:
        """Return a version that turns bad after a time or a number of requests."""
        return cls(effect, after_ms=after_ms, after_requests=after_requests)

    @classmethod
    def under_load(cls, effect: BadEffect, above_running: int) -> BadVersion:
        """Return a version that is bad while more than ``above_running`` run."""
        return cls(effect, above_running=above_running)

    @classmethod
    def on_route(cls, effect: BadEffect, path: str) -> BadVersion:
        """Return a version that is bad on one route only."""
        return cls(effect, path=path)

    def is_active(self, age_ms: int, requests: int, running: int) -> bool:
        """Return whether the conditions on time, request count and load hold."""
        return (
            age_ms >= self.after_ms
            and requests >= self.after_requests
            and running > self.above_running
        )

    def affects(self, path: str, draw: float) -> bool:
        """Return whether a request with the random number ``draw`` is affected."""
        return self.path in ("", path) and draw < self.probability
