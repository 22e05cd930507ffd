"""Plans how running generations leave an engine that is about to be reclaimed."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

import msgspec

from ..ids import EndpointId, RequestId
from ..observability.log import Decision

MARGIN_MS = 500
"""How long before the reclaim deadline an engine should be empty."""

MAX_TRANSFER_BYTES = 64 * 1024 * 1024
"""Largest KV cache that is transferred; it passes through this process's memory."""


class EvacuationMethod(Enum):
    """How a generation leaves its engine."""

    FINISH = "finish"
    """It is finished at its engine before the deadline."""
    TRANSFER = "transfer"
    """Its KV cache is exported and imported by another engine."""
    RECOMPUTE = "recompute"
    """Another engine continues from its prompt and text, without the KV cache."""


class EngineStream(msgspec.Struct, frozen=True, kw_only=True):
    """A generation at the engine that is evacuated.

    Attributes
    ----------
    prompt_tokens, generated_tokens : int
        Tokens that another engine computes again without the KV cache.
    tokens_left : int
        Largest number of tokens still to be generated.
    kv_bytes : int
        Predicted size of its KV cache.
    is_prefilled : bool
        Whether there is a KV cache to export.
    """

    request_id: RequestId
    prompt_tokens: int
    generated_tokens: int
    tokens_left: int
    kv_bytes: int
    is_prefilled: bool

    @property
    def recomputed_tokens(self) -> int:
        """Tokens that are computed again if its KV cache is not transferred."""
        return self.prompt_tokens + self.generated_tokens if self.is_prefilled else 0


class Conditions(msgspec.Struct, frozen=True, kw_only=True):
    """Time and speeds on which an evacuation plan depends.

    Attributes
    ----------
    notice_left_ms : int
        Time until the engine is reclaimed.
    bytes_per_ms : float
        Speed of a transfer, export and import together; transfers share it.
    decode_ms_per_token : float
        Decode time of the engine that is evacuated.
    prefill_tokens_per_s : float
        Prefill speed of the engines that continue its generations.
    """

    notice_left_ms: int
    bytes_per_ms: float
    decode_ms_per_token: float
    prefill_tokens_per_s: float
    margin_ms: int = MARGIN_MS
    max_transfer_bytes: int = MAX_TRANSFER_BYTES


class EvacuationStep(msgspec.Struct, frozen=True):
    """The planned handling of one generation.

    ``start_ms`` counts from the plan's time; ``transfer_ms`` is 0 unless the
    KV cache is transferred.
    """

    request_id: RequestId
    way: EvacuationMethod
    start_ms: int
    transfer_ms: int
    recomputed_tokens: int


class EvacuationPlan(Decision, frozen=True, kw_only=True, tag="evacuation"):
    """The evacuation plan of one engine; steps are ordered by their start."""

    endpoint: EndpointId
    steps: tuple[EvacuationStep, ...]
    streams: tuple[EngineStream, ...]
    conditions: Conditions
    now_ms: int


def plan_evacuation(
    endpoint: EndpointId,
    streams: Sequence[EngineStream],
    conditions: Conditions,
    now_ms: int,
) -> EvacuationPlan:
    """Return the evacuation plan of an engine that is about to be reclaimed.

    A generation that ends in time stays. The others are transferred with their
    KV caches, one after the other, in order of recomputation saved per
    millisecond. Those for which the time is too short are recomputed at other
    engines: as late as possible, since they may still end before, but spread so
    that their prefills don't coincide.
    """
    available_ms = conditions.notice_left_ms - conditions.margin_ms
    steps: list[EvacuationStep] = []
    to_move: list[EngineStream] = []
    for stream in streams:
        if stream.tokens_left * conditions.decode_ms_per_token <= available_ms:
            steps.append(
                EvacuationStep(stream.request_id, EvacuationMethod.FINISH, 0, 0, 0)
            )
        else:
            to_move.append(stream)
    to_recompute: list[EngineStream] = []
    busy_ms = 0
    for stream in sorted(to_move, key=lambda each: _transfer_order(each, conditions)):
        transfer_ms = _predicted_transfer_ms(stream, conditions)
        fits = stream.kv_bytes <= conditions.max_transfer_bytes
        if not stream.is_prefilled:
            steps.append(
                EvacuationStep(stream.request_id, EvacuationMethod.RECOMPUTE, 0, 0, 0)
            )
        elif fits and busy_ms + transfer_ms <= available_ms:
            steps.append(
                EvacuationStep(
                    stream.request_id,
                    EvacuationMethod.TRANSFER,
                    busy_ms,
                    transfer_ms,
                    0,
                )
            )
            busy_ms += transfer_ms
        else:
            to_recompute.append(stream)
    steps += _recompute_steps(to_recompute, available_ms, conditions)
    return EvacuationPlan(
        rule="saved-per-ms",
        endpoint=endpoint,
        steps=tuple(sorted(steps, key=lambda step: step.start_ms)),
        streams=tuple(streams),
        conditions=conditions,
        now_ms=now_ms,
    )


def _transfer_order(
    stream: EngineStream, conditions: Conditions
) -> tuple[float, int, str]:
    """Return a sort key: most tokens saved per millisecond, then most tokens."""
    saved_tokens = stream.recomputed_tokens
    return (
        -saved_tokens / _predicted_transfer_ms(stream, conditions),
        -saved_tokens,
        stream.request_id,
    )


def _predicted_transfer_ms(stream: EngineStream, conditions: Conditions) -> int:
    return 1 + int(stream.kv_bytes / conditions.bytes_per_ms)


def _recompute_steps(
    streams: list[EngineStream], available_ms: int, conditions: Conditions
) -> list[EvacuationStep]:
    """Return steps that start as late as their prefills, one after the other, allow."""
    steps = []
    start_ms = float(available_ms)
    for stream in sorted(streams, key=lambda each: each.recomputed_tokens):
        tokens = stream.recomputed_tokens
        start_ms -= tokens * 1000 / conditions.prefill_tokens_per_s
        at_ms = max(0, int(start_ms))
        steps.append(
            EvacuationStep(
                stream.request_id, EvacuationMethod.RECOMPUTE, at_ms, 0, tokens
            )
        )
    return steps
