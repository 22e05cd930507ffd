"""Moves this instance's generations off engines that are about to be reclaimed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..errors import Failure
from ..ids import AttemptId, EndpointId, attempt_id
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..routing.view import FleetView
from .evacuation import (
    Conditions,
    EngineStream,
    EvacuationMethod,
    EvacuationPlan,
    EvacuationStep,
    plan_evacuation,
)
from .generation import Connect, Generation, Switch
from .placement import PlacedAttempt, Placement
from .streams import RunningStream, Streams

INITIAL_BYTES_PER_TOKEN = 4_096
INITIAL_BYTES_PER_MS = 65_536
"""Size and speed of KV caches that are assumed until a transfer was measured."""

NEW_SAMPLE_WEIGHT = 0.3
"""Weight of a new transfer in the moving averages of size and speed."""


SpeedOf = Callable[[EndpointId], "EngineSpeed"]
Planner = Callable[..., EvacuationPlan]


class EngineSpeed(msgspec.Struct, frozen=True):
    """Speeds of an engine from its newest report, or defaults without one."""

    decode_ms_per_token: float = 20.0
    prefill_tokens_per_s: float = 4_000.0


def reported_speeds(fleet: FleetView) -> SpeedOf:
    """Return a function that returns an engine's speeds from its newest report."""

    def speed_of(endpoint: EndpointId) -> EngineSpeed:
        view = fleet.endpoints.get(endpoint)
        if view is None or view.report is None:
            return EngineSpeed()
        report = view.report
        return EngineSpeed(report.decode_ms_per_token, report.prefill_tokens_per_s)

    return speed_of


class TransferRates:
    """Moving averages of the size and speed of KV cache transfers."""

    def __init__(self) -> None:
        self.bytes_per_token = float(INITIAL_BYTES_PER_TOKEN)
        self.bytes_per_ms = float(INITIAL_BYTES_PER_MS)

    def record_transfer(self, tokens: int, size_bytes: int, duration_ms: int) -> None:
        """Record a completed transfer."""
        weight = NEW_SAMPLE_WEIGHT
        per_token = size_bytes / max(1, tokens)
        per_ms = size_bytes / max(1, duration_ms)
        self.bytes_per_token += weight * (per_token - self.bytes_per_token)
        self.bytes_per_ms += weight * (per_ms - self.bytes_per_ms)


class Evacuator:
    """Carries out evacuation plans.

    Parameters
    ----------
    streams : Streams
        Lists the generations in progress.
    placement : Placement
        Chooses the endpoints at which they continue.
    connect : callable
        Returns an engine's client, ``None`` if it is no longer listed.
    speed_of : callable
        Returns an engine's speeds.
    clock, log, metrics
        The instance's.
    planner : callable
        Makes the plan.

    Attributes
    ----------
    planner : callable
        Makes the plan.
    rates : TransferRates
        Measured by the transfers so far.
    """

    def __init__(
        self,
        streams: Streams,
        placement: Placement,
        connect: Connect,
        speed_of: SpeedOf,
        clock: Clock,
        log: Log,
        metrics: Metrics,
        planner: Planner = plan_evacuation,
    ):
        self._streams = streams
        self._placement = placement
        self._connect = connect
        self._speed_of = speed_of
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self.planner = planner
        self._notices: asyncio.Queue[tuple[EndpointId, int]] = asyncio.Queue()
        self.rates = TransferRates()

    def on_reclaim_notice(self, endpoint: EndpointId, deadline_ms: int) -> None:
        """Queue an evacuation of an engine reclaimed at ``deadline_ms``, monotonic."""
        self._notices.put_nowait((endpoint, deadline_ms))

    async def run(self) -> None:
        """Evacuate engines for which reclaim notices arrive, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                endpoint, deadline_ms = await self._notices.get()
                group.create_task(self._evacuate(endpoint, deadline_ms))

    async def _evacuate(self, endpoint: EndpointId, deadline_ms: int) -> None:
        running = self._streams.running_at(endpoint)
        if not running:
            return
        now_ms = self._clock.now_ms()
        conditions = self._conditions(endpoint, deadline_ms - now_ms)
        streams = [self._describe(each) for each in running]
        plan = self.planner(endpoint, streams, conditions, now_ms)
        self._log.decision(plan)
        moves = {each.context.request_id: _Move(each) for each in running}
        transfer_lock = asyncio.Lock()
        async with asyncio.TaskGroup() as group:
            for step in plan.steps:
                if step.way is not EvacuationMethod.FINISH:
                    move = moves[step.request_id]
                    group.create_task(self._run_step(step, move, now_ms, transfer_lock))

    async def _run_step(
        self,
        step: EvacuationStep,
        move: _Move,
        planned_ms: int,
        transfer_lock: asyncio.Lock,
    ) -> None:
        wait_ms = planned_ms + step.start_ms - self._clock.now_ms()
        if wait_ms > 0:
            await self._clock.sleep_ms(wait_ms)
        if step.way is EvacuationMethod.RECOMPUTE:
            await self._recompute(move)
            return
        # Transfers share the bandwidth, so they run one after the other.
        async with transfer_lock:
            failure = await self._transfer(move)
        if failure is not None:
            self._metrics.incr("evacuation.transfer_failed")
            self._log.event(
                "transfer_failed", request_id=step.request_id, failure=failure
            )
            await self._recompute(move)

    async def _transfer(self, move: _Move) -> Failure | None:
        """Move a generation together with its KV cache."""
        if move.has_left():
            return None
        generation = move.generation
        placed = self._choose(move)
        source = self._connect(move.endpoint)
        target = self._connect(placed.endpoint) if placed is not None else None
        if placed is None or source is None or target is None:
            return None
        started_ms = self._clock.now_ms()
        tokens = move.context.prompt_tokens + generation.assembler.next_offset
        data = await source.export_kv(move.attempt)
        if isinstance(data, Failure):
            return data
        number = generation.reserve_attempt()
        new_attempt = attempt_id(move.context.request_id, number)
        failure = await target.import_kv(new_attempt, data)
        if failure is not None:
            return failure
        self.rates.record_transfer(tokens, len(data), self._clock.now_ms() - started_ms)
        if generation.switch(move.attempt, Switch(placed, number)):
            self._metrics.incr("evacuation.transferred")
        return None

    async def _recompute(self, move: _Move) -> None:
        """Continue a generation at another engine from its prompt and text."""
        generation = move.generation
        if move.has_left():
            return
        placed = self._choose(move)
        if placed is None:
            return
        switch = Switch(placed, generation.reserve_attempt())
        if not generation.switch(move.attempt, switch):
            return
        self._metrics.incr("evacuation.recomputed")
        client = self._connect(move.endpoint)
        if client is not None and not generation.has_progress:
            await client.cancel(move.attempt)

    def _choose(self, move: _Move) -> PlacedAttempt | None:
        """Return where a generation can continue; ``None`` if it must stay."""
        generation = move.generation
        tried = generation.tried_ids | {move.endpoint}
        placed = self._placement.choose(generation.resumed_context(), tried)
        return None if isinstance(placed, Failure) else placed

    def _conditions(self, endpoint: EndpointId, remaining_ms: int) -> Conditions:
        speed = self._speed_of(endpoint)
        return Conditions(
            notice_left_ms=remaining_ms,
            bytes_per_ms=self.rates.bytes_per_ms,
            decode_ms_per_token=speed.decode_ms_per_token,
            prefill_tokens_per_s=speed.prefill_tokens_per_s,
        )

    def _describe(self, running: RunningStream) -> EngineStream:
        context = running.context
        generated_tokens = running.generation.assembler.next_offset
        tokens = context.prompt_tokens + generated_tokens
        return EngineStream(
            request_id=context.request_id,
            prompt_tokens=context.prompt_tokens,
            generated_tokens=generated_tokens,
            tokens_left=max(0, context.max_tokens - generated_tokens),
            kv_bytes=round(tokens * self.rates.bytes_per_token),
            is_prefilled=running.generation.has_progress,
        )


class _Move:
    """A generation and the attempt that ran when its evacuation was planned."""

    def __init__(self, running: RunningStream):
        self.context = running.context
        self.generation: Generation = running.generation
        self.attempt: AttemptId = running.generation.attempt
        self.endpoint: EndpointId = running.generation.placed.endpoint

    def has_left(self) -> bool:
        """Return whether that attempt is over, by its end or a retry elsewhere."""
        return not self.generation.is_running(self.attempt)
