"""How an engine stand-in performs and which of its versions are bad."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..endpoints.tokens import BLOCK_TOKENS
from ..ids import VersionId


class BadEffect(Enum):
    """What a bad version does to requests."""

    FAIL = "fail"
    SLOW = "slow"


class BadVersion(msgspec.Struct, frozen=True):
    """When a version is bad, and how; all conditions must hold together.

    Attributes
    ----------
    after_ms : int
        Time since the engine loaded the version.
    after_requests : int
        Requests that the engine started with the version.
    above_running : int
        The batch must hold more requests than this.
    path : str
        Route that is affected; empty for all.
    probability : float
        Share of the requests that are affected.
    slow_factor : float
        By how much steps take longer, for ``SLOW``.
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
    def late(
        cls, effect: BadEffect, after_ms: int = 0, after_requests: int = 0
    ) -> BadVersion:
        """Good for a time or a number of requests, then bad."""
        return cls(effect, after_ms=after_ms, after_requests=after_requests)

    @classmethod
    def under_load(cls, effect: BadEffect, above_running: int) -> BadVersion:
        """Bad only while the batch holds more than ``above_running``."""
        return cls(effect, above_running=above_running)

    @classmethod
    def on_route(cls, effect: BadEffect, path: str) -> BadVersion:
        """Bad on one route only."""
        return cls(effect, path=path)

    def is_active(self, age_ms: int, requests: int, running: int) -> bool:
        """Return whether the conditions on the engine as a whole hold."""
        return (
            age_ms >= self.after_ms
            and requests >= self.after_requests
            and running > self.above_running
        )

    def affects(self, path: str, draw: float) -> bool:
        """Return whether a request is affected; ``draw`` is its own, 0 to 1."""
        return self.path in ("", path) and draw < self.probability


class EngineProfile(msgspec.Struct, frozen=True):
    """Performance and habits of an engine stand-in.

    Attributes
    ----------
    max_running : int
        Most requests in the batch.
    prefill_tokens_per_s : float
        Prefill speed, shared by the batch.
    prefill_chunk_tokens : int
        Most prompt tokens prefilled in one step.
    decode_base_ms, decode_ms_per_running : float
        A decode step takes the base plus this much per request that decodes.
    block_tokens, kv_blocks : int
        Tokens in a KV block and blocks in memory.
    report_lag_ms : int
        Age of a load report.
    event_delay_ms : int
        Longest delay of a cache event.
    event_drop_probability : float
        Share of cache events that are lost.
    events_kept : int
        Cache events that can still be asked for.
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    order_ms : int
        Time an order takes.
    kv_bytes_per_token : int
        Size of exported KV cache.
    kv_bytes_per_ms : int
        Speed of export and import.
    control_timeout_ms : int
        After this long a paused engine's silence is a ``Failure``.
    bad_versions : dict
        Versions that are bad, and how.
    """

    max_running: int = 8
    prefill_tokens_per_s: float = 8_000.0
    prefill_chunk_tokens: int = 512
    decode_base_ms: float = 10.0
    decode_ms_per_running: float = 1.0
    block_tokens: int = BLOCK_TOKENS
    kv_blocks: int = 4_096
    report_lag_ms: int = 500
    event_delay_ms: int = 200
    event_drop_probability: float = 0.0
    events_kept: int = 1_024
    checks_fencing: bool = False
    order_ms: int = 50
    kv_bytes_per_token: int = 64
    kv_bytes_per_ms: int = 65_536
    control_timeout_ms: int = 1_000
    bad_versions: dict[VersionId, BadVersion] = {}
