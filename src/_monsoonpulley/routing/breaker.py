"""Circuit breakers: closed, open, or half-open with a limited number of probes."""

from __future__ import annotations

import random
from collections.abc import Hashable
from enum import Enum

import msgspec

BUCKET_MS = 1_000
BUCKET_COUNT = 10
MAX_OPEN_MS = 30_000
PROBE_TIMEOUT_MS = 60_000
"""Probes without a result for this long no longer block further probes."""
MAX_BREAKERS = 20_000
"""Bounds memory; further keys get no breaker."""


class BreakerState(Enum):
    """Whether a breaker lets calls pass."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class BreakerRule(msgspec.Struct, frozen=True):
    """Conditions under which a breaker opens and closes.

    Attributes
    ----------
    failure_ratio : float
        Share of failures in the last 10 s at which it opens.
    min_results : int
        Minimum results in that window for it to open.
    open_ms : int
        Initial time it stays open; doubled each time a probe fails.
    max_probes : int
        Maximum concurrent probes when half-open.
    closing_successes : int
        Consecutive successful probes after which it closes.
    """

    failure_ratio: float = 0.5
    min_results: int = 5
    open_ms: int = 1_000
    max_probes: int = 1
    closing_successes: int = 2


class Breaker:
    """A circuit breaker over a sliding window of results.

    Parameters
    ----------
    rule : BreakerRule
        Conditions under which it opens and closes.
    rng : random.Random
        Source of jitter, so that entry instances don't probe all at once.
    """

    def __init__(self, rule: BreakerRule, rng: random.Random):
        self._rule = rule
        self._rng = rng
        self._buckets: dict[int, list[int]] = {}
        self._open_until_ms: int | None = None
        self._open_count = 0
        self._probe_count = 0
        self._last_probe_ms = 0
        self._probe_successes = 0

    def state(self, now_ms: int) -> BreakerState:
        """Return the state at ``now_ms``."""
        if self._open_until_ms is None:
            return BreakerState.CLOSED
        if now_ms < self._open_until_ms:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def allows(self, now_ms: int) -> bool:
        """Return whether a call may pass now; changes no state."""
        if self._open_until_ms is None:
            return True
        if now_ms < self._open_until_ms:
            return False
        if now_ms - self._last_probe_ms > PROBE_TIMEOUT_MS:
            return True
        return self._probe_count < self._rule.max_probes

    def remaining_open_ms(self, now_ms: int) -> int:
        """Return the time until a probe may pass; 0 unless open."""
        if self._open_until_ms is None:
            return 0
        return max(0, self._open_until_ms - now_ms)

    def start_call(self, now_ms: int) -> bool:
        """Record the start of a call; return whether it is a probe."""
        if self.state(now_ms) is not BreakerState.HALF_OPEN:
            return False
        if now_ms - self._last_probe_ms > PROBE_TIMEOUT_MS:
            self._probe_count = 0
        self._probe_count += 1
        self._last_probe_ms = now_ms
        return True

    def record_result(
        self, succeeded: bool | None, is_probe: bool, now_ms: int
    ) -> None:
        """Record a call's result; ``None`` is neither success nor failure."""
        if is_probe:
            self._record_probe_result(succeeded, now_ms)
            return
        if succeeded is None or self._open_until_ms is not None:
            return
        bucket = self._buckets.setdefault(now_ms // BUCKET_MS, [0, 0])
        bucket[0 if succeeded else 1] += 1
        self._drop_old_buckets(now_ms)
        if not succeeded and self._is_failing():
            self._open(now_ms)

    def force_open(self, now_ms: int) -> None:
        """Open at once, whatever the failure ratio; no effect unless closed."""
        if self._open_until_ms is None:
            self._open(now_ms)

    def _record_probe_result(self, succeeded: bool | None, now_ms: int) -> None:
        self._probe_count = max(0, self._probe_count - 1)
        if succeeded is None or self._open_until_ms is None:
            return
        if not succeeded:
            self._open(now_ms)
            return
        self._probe_successes += 1
        if self._probe_successes >= self._rule.closing_successes:
            self._open_until_ms = None
            self._open_count = 0
            self._buckets.clear()

    def _drop_old_buckets(self, now_ms: int) -> None:
        oldest = now_ms // BUCKET_MS - BUCKET_COUNT
        for key in [k for k in self._buckets if k <= oldest]:
            del self._buckets[key]

    def _is_failing(self) -> bool:
        successes = sum(bucket[0] for bucket in self._buckets.values())
        failures = sum(bucket[1] for bucket in self._buckets.values())
        if successes + failures < self._rule.min_results:
            return False
        return failures >= self._rule.failure_ratio * (successes + failures)

    def _open(self, now_ms: int) -> None:
        open_ms = min(self._rule.open_ms * 2**self._open_count, MAX_OPEN_MS)
        self._open_until_ms = now_ms + round(open_ms * self._rng.uniform(0.8, 1.2))
        self._open_count = min(self._open_count + 1, 16)
        self._probe_successes = 0
        self._buckets.clear()


class Breakers:
    """Breakers by key, created when a key first has a result."""

    def __init__(self, rule: BreakerRule, rng: random.Random):
        self._rule = rule
        self._rng = rng
        self._breakers: dict[Hashable, Breaker] = {}

    def allows(self, key: Hashable, now_ms: int) -> bool:
        """Return whether a call to ``key`` may pass now."""
        breaker = self._breakers.get(key)
        return breaker is None or breaker.allows(now_ms)

    def state(self, key: Hashable, now_ms: int) -> BreakerState:
        """Return the state of a key's breaker."""
        breaker = self._breakers.get(key)
        return breaker.state(now_ms) if breaker else BreakerState.CLOSED

    def remaining_open_ms(self, key: Hashable, now_ms: int) -> int:
        """Return the time until a probe of ``key`` may pass; 0 unless open."""
        breaker = self._breakers.get(key)
        return breaker.remaining_open_ms(now_ms) if breaker else 0

    def start_call(self, key: Hashable, now_ms: int) -> bool:
        """Record the start of a call; return whether it is a probe."""
        breaker = self._breakers.get(key)
        return breaker.start_call(now_ms) if breaker else False

    def record_result(
        self, key: Hashable, succeeded: bool | None, is_probe: bool, now_ms: int
    ) -> None:
        """Record a call's result; ``None`` is neither success nor failure."""
        breaker = self._breakers.get(key)
        if breaker is None:
            if succeeded is None or len(self._breakers) >= MAX_BREAKERS:
                return
            breaker = self._breakers[key] = Breaker(self._rule, self._rng)
        breaker.record_result(succeeded, is_probe, now_ms)

    def force_open(self, key: Hashable, now_ms: int) -> None:
        """Open a key's breaker at once."""
        breaker = self._breakers.get(key)
        if breaker is None:
            if len(self._breakers) >= MAX_BREAKERS:
                return
            breaker = self._breakers[key] = Breaker(self._rule, self._rng)
        breaker.force_open(now_ms)

    def remove(self, key: Hashable) -> None:
        """Remove the breaker of a key that no longer exists."""
        self._breakers.pop(key, None)
