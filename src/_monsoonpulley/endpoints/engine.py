"""Interface of model engines: streams, load, cache events, KV cache, orders."""

from __future__ import annotations

from collections.abc import AsyncIterator
from enum import Enum
from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import AttemptId, RequestId, VersionId


class EngineCall(msgspec.Struct, frozen=True):
    """One attempt at a generation.

    Attributes
    ----------
    path : str
        ``/v1/chat/completions`` or ``/v1/completions``.
    body : dict
        The caller's JSON body, as sent by the caller.
    text_so_far : str
        Text that earlier attempts generated; generation continues after it.
    tokens_so_far : int
        Number of tokens in ``text_so_far``.
    priority : int
        Lower values run first.
    first_token_timeout_ms, token_timeout_ms : int
        Time limits for the first token and between tokens.
    """

    request_id: RequestId
    attempt_id: AttemptId
    path: str
    body: dict
    text_so_far: str = ""
    tokens_so_far: int = 0
    priority: int = 0
    first_token_timeout_ms: int = 60_000
    token_timeout_ms: int = 10_000


class Token(msgspec.Struct, frozen=True):
    """One generated token.

    Attributes
    ----------
    attempt_id : AttemptId
        Attempt that generated it; tokens of abandoned attempts are dropped.
    offset : int
        Position in the whole answer, from 0, earlier attempts included.
    text : str
        Text of the token.
    """

    attempt_id: AttemptId
    offset: int
    text: str


class Finished(msgspec.Struct, frozen=True):
    """The end of a generation.

    ``cached_tokens`` is how many prompt tokens were found in the prefix cache.
    """

    attempt_id: AttemptId
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int = 0


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an engine at ``measured_wall_ms``.

    Attributes
    ----------
    running, waiting : int
        Requests in the batch, and queued before it.
    waiting_tokens : int
        Prompt tokens queued for prefill.
    kv_used_ratio : float
        Share of the KV cache in use, 0 to 1.
    prefill_tokens_per_s, decode_ms_per_token : float
        Recent speeds.
    max_running : int
        Maximum number of requests in the batch.
    """

    measured_wall_ms: int
    running: int
    waiting: int
    waiting_tokens: int
    kv_used_ratio: float
    prefill_tokens_per_s: float
    decode_ms_per_token: float
    max_running: int


class CacheEventKind(Enum):
    """What happened to a block of the prefix cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache.

    ``seq`` rises by 1 with each event, so that gaps can be detected. ``blocks``
    are chained hashes as from `tokens.block_hashes`; empty for ``CLEARED``.
    """

    seq: int
    kind: CacheEventKind
    blocks: tuple[int, ...] = ()


class CancelOutcome(Enum):
    """State in which a cancellation found the request."""

    NOT_STARTED = "not_started"
    """The engine dropped the request before running any of it."""
    STOPPED = "stopped"
    UNKNOWN = "unknown"


class OrderKind(Enum):
    """Kinds of orders to an engine."""

    LOAD_VERSION = "load_version"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class Order(msgspec.Struct, frozen=True):
    """An order to an engine, idempotent by ``order_id``, with a fencing number."""

    order_id: str
    kind: OrderKind
    fencing_number: int
    version: VersionId = VersionId("")
    argument: str = ""


class EngineClient(Protocol):
    """Client of one model engine. Failures of calls carry a ``delivery``."""

    def generate(self, call: EngineCall) -> AsyncIterator[Token | Finished | Failure]:
        """Yield tokens, then one ``Finished`` or ``Failure``.

        Closing the iterator early cancels the generation.
        """
        ...

    async def cancel(self, attempt: AttemptId) -> CancelOutcome | Failure:
        """Stop an attempt and return whether it had started."""
        ...

    async def load_report(self) -> LoadReport | Failure:
        """Return the latest load report."""
        ...

    async def cache_events(self, after_seq: int) -> tuple[CacheEvent, ...] | Failure:
        """Return events after ``after_seq`` that the engine still has."""
        ...

    async def export_kv(self, attempt: AttemptId) -> bytes | Failure:
        """Return the KV cache of a running attempt."""
        ...

    async def import_kv(self, attempt: AttemptId, data: bytes) -> Failure | None:
        """Import a KV cache from which ``attempt`` starts."""
        ...

    async def execute_order(self, order: Order) -> Failure | None:
        """Execute an order; fail with ``Reason.FENCED`` if its number is old."""
        ...
