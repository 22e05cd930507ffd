"""Performance, behaviour and bad versions of an engine stand-in."""

from __future__ import annotations

import msgspec

from ..endpoints.tokens import BLOCK_TOKENS
from ..ids import VersionId
from .bad_version import BadEffect, BadVersion

__all__ = ["BadEffect", "BadVersion", "EngineProfile"]


class EngineProfile(msgspec.Struct, frozen=True):
    """Performance and behaviour of an engine stand-in.

    Attributes
    ----------
    max_running : int
        Largest number of runs in the batch.
    prefill_tokens_per_s : float
        Prefill speed of the whole batch.
    prefill_chunk_tokens : int
        Largest number of prompt tokens prefilled in one step.
    decode_base_ms, decode_ms_per_running : float
        Duration of a decode step: the base plus this much per decoding run.
    block_tokens, kv_blocks : int
        Tokens per KV block, and number of blocks in memory.
    report_lag_ms : int
        Age of a load report.
    event_delay_ms : int
        Longest delay of a cache event.
    event_drop_probability : float
        Probability that a cache event is lost.
    max_kept_events : int
        Number of newest cache events kept for readers.
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    order_ms : int
        Time to execute an order.
    kv_bytes_per_token : int
        Size of an exported KV cache.
    kv_bytes_per_ms : int
        Speed of export and import.
    control_timeout_ms : int
        Time after which a call to a paused engine fails with ``TIMEOUT``.
    bad_versions : dict
        Bad versions, and how they behave.
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
    max_kept_events: int = 1_024
    checks_fencing: bool = False
    order_ms: int = 50
    kv_bytes_per_token: int = 64
    kv_bytes_per_ms: int = 65_536
    control_timeout_ms: int = 1_000
    bad_versions: dict[VersionId, BadVersion] = {}
