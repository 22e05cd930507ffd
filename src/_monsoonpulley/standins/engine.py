"""A stand-in of one model engine, in process, on the running loop's time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

from ..clock import Clock
from ..endpoints.engine import (
    CacheEvent,
    CancelOutcome,
    EngineCall,
    LoadReport,
    Order,
    Token,
)
from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId, EndpointId, VersionId
from .engine_core import EngineCore, StreamItem
from .engine_counters import ComputedBlocks, EngineCounters
from .engine_faults import EngineFaults
from .engine_kv import decode_kv, encode_kv
from .engine_profile import EngineProfile


class EngineStandin:
    """One worker of a model engine; implements ``EngineClient``.

    Parameters
    ----------
    endpoint_id : EndpointId
        Its name, the ``peer`` of failures.
    version : VersionId
        Version loaded at the start.
    clock : Clock
        The running loop's time.
    rng : random.Random
        Draws event delays, losses and faults by share.
    profile : EngineProfile
        Performance and habits.
    computed : ComputedBlocks, optional
        Shared by a fleet's engines to count recomputed tokens.
    """

    def __init__(
        self,
        endpoint_id: EndpointId,
        version: VersionId,
        clock: Clock,
        rng: random.Random,
        profile: EngineProfile,
        computed: ComputedBlocks | None = None,
    ):
        self.endpoint_id = endpoint_id
        self.profile = profile
        self.orders_done: list[Order] = []
        self.is_crashed = False
        self.is_leaving = False
        self._clock = clock
        self._core = EngineCore(
            endpoint_id, version, clock, rng, profile, computed or ComputedBlocks()
        )
        self._streams: dict[AttemptId, asyncio.Queue[StreamItem]] = {}
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._worker: asyncio.Task[None] | None = None
        self._reclaims: set[asyncio.Task[None]] = set()
        self._highest_fencing = 0

    @property
    def version(self) -> VersionId:
        """The version that is loaded."""
        return self._core.version

    @property
    def role(self) -> str:
        """The role last ordered; empty at first."""
        return self._core.role

    @property
    def adapters(self) -> list[str]:
        """The adapters that are loaded."""
        return self._core.adapters

    @property
    def counters(self) -> EngineCounters:
        """What the engine has counted."""
        return self._core.counters

    @property
    def faults(self) -> EngineFaults:
        """Faults of streams, to be set by tests."""
        return self._core.faults

    async def generate(self, call: EngineCall) -> AsyncIterator[StreamItem]:
        """Yield tokens, then one ``Finished`` or ``Failure``."""
        step = "engine.generate"
        if self.is_crashed:
            yield self._failure(Reason.UNAVAILABLE, step, Delivery.NOT_SENT)
            return
        if call.attempt_id in self._streams:
            yield self._failure(Reason.CONFLICT, step, Delivery.REFUSED)
            return
        stream = self._open(call)
        timeout_ms = call.first_token_timeout_ms
        try:
            while True:
                item = await self._next_item(stream, timeout_ms)
                yield item
                if not isinstance(item, Token):
                    return
                stray = self.faults.take_stray(call.request_id)
                if stray is not None:
                    yield stray
                timeout_ms = call.token_timeout_ms
        finally:
            self._close(call.attempt_id)

    async def cancel(self, attempt: AttemptId) -> CancelOutcome | Failure:
        """Stop an attempt and say whether it had started."""
        failure = await self._unreachable("engine.cancel")
        if failure:
            return failure
        outcome = self._core.cancel(attempt)
        if outcome is CancelOutcome.NOT_STARTED:
            self._end_cancelled(attempt, Delivery.REFUSED)
        elif outcome is CancelOutcome.STOPPED:
            self._end_cancelled(attempt, Delivery.MAYBE)
        return outcome

    async def load(self) -> LoadReport | Failure:
        """Return the load as it was ``report_lag_ms`` ago."""
        failure = await self._unreachable("engine.load")
        return failure or self._core.load()

    async def cache_events(self, after_seq: int) -> tuple[CacheEvent, ...] | Failure:
        """Return the events after ``after_seq`` that can be seen by now."""
        failure = await self._unreachable("engine.cache_events")
        return failure or self._core.cache_events(after_seq)

    async def export_kv(self, attempt: AttemptId) -> bytes | Failure:
        """Return the KV cache of a running attempt."""
        step = "engine.export_kv"
        failure = await self._unreachable(step)
        if failure:
            return failure
        state = self._core.export_state(attempt)
        if state is None:
            return self._failure(Reason.NOT_FOUND, step)
        data = encode_kv(state)
        await self._clock.sleep_ms(len(data) / self.profile.kv_bytes_per_ms)
        return await self._unreachable(step) or data

    async def import_kv(self, attempt: AttemptId, data: bytes) -> Failure | None:
        """Take in a KV cache so that ``attempt`` starts from it."""
        step = "engine.import_kv"
        failure = await self._unreachable(step)
        if failure:
            return failure
        state = decode_kv(data)
        if state is None:
            return self._failure(Reason.INVALID, step)
        await self._clock.sleep_ms(len(data) / self.profile.kv_bytes_per_ms)
        failure = await self._unreachable(step)
        if failure is None:
            self._core.imports.put(attempt, state)
        return failure

    async def order(self, order: Order) -> Failure | None:
        """Carry out an order, once per ``order_id``."""
        step = "engine.order"
        failure = await self._unreachable(step)
        if failure:
            return failure
        if self.profile.checks_fencing and order.fencing_number < self._highest_fencing:
            return self._failure(Reason.FENCED, step)
        self._highest_fencing = max(self._highest_fencing, order.fencing_number)
        if any(done.order_id == order.order_id for done in self.orders_done):
            return None
        self.orders_done.append(order)
        await self._clock.sleep_ms(self.profile.order_ms)
        failure = await self._unreachable(step)
        if failure is None:
            self._core.carry_out(order)
        return failure

    def crash(self) -> None:
        """Die: streams end with ``PEER_ERROR``, new calls can't connect."""
        self.is_crashed = True
        self._stop_worker()
        self._core.clear()
        for stream in self._streams.values():
            stream.put_nowait(self._core.broken_stream())
        self._resumed.set()

    def restart(self) -> None:
        """Come back after a crash with an empty cache."""
        self.is_crashed = False
        self.is_leaving = False

    def pause(self) -> None:
        """Stop all progress and answers until `resume`."""
        self._resumed.clear()

    def resume(self) -> None:
        """Go on after a pause."""
        self._resumed.set()

    def leave(self) -> None:
        """Note that the platform announced the reclaim; go on serving."""
        self.is_leaving = True

    def reclaim(self, notice_ms: int) -> None:
        """Leave now and crash when the notice is over."""
        self.leave()
        task = asyncio.get_running_loop().create_task(self._crash_after(notice_ms))
        self._reclaims.add(task)
        task.add_done_callback(self._reclaims.discard)

    def close(self) -> None:
        """Stop the stand-in's tasks."""
        self._stop_worker()
        for task in self._reclaims:
            task.cancel()

    async def _crash_after(self, notice_ms: int) -> None:
        await self._clock.sleep_ms(notice_ms)
        self.crash()

    def _stop_worker(self) -> None:
        if self._worker is not None:
            self._worker.cancel()
        self._worker = None

    def _failure(
        self, reason: Reason, step: str, delivery: Delivery | None = None
    ) -> Failure:
        return Failure(reason, step, peer=self.endpoint_id, delivery=delivery)

    async def _unreachable(self, step: str) -> Failure | None:
        timeout_s = self.profile.control_timeout_ms / 1000
        try:
            await asyncio.wait_for(self._resumed.wait(), timeout_s)
        except TimeoutError:
            return self._failure(Reason.TIMEOUT, step)
        if self.is_crashed:
            return self._failure(Reason.UNAVAILABLE, step)
        return None

    def _open(self, call: EngineCall) -> asyncio.Queue[StreamItem]:
        stream: asyncio.Queue[StreamItem] = asyncio.Queue()
        self._streams[call.attempt_id] = stream
        if self.is_leaving:
            self.counters.starts_while_leaving += 1
        self._core.submit(call)
        if self._worker is None or self._worker.done():
            self._worker = asyncio.get_running_loop().create_task(self._work())
        return stream

    def _close(self, attempt: AttemptId) -> None:
        del self._streams[attempt]
        self._core.cancel(attempt)

    def _end_cancelled(self, attempt: AttemptId, delivery: Delivery) -> None:
        failure = self._failure(Reason.CANCELLED, "engine.generate", delivery)
        self._emit([(attempt, failure)])

    async def _next_item(
        self, stream: asyncio.Queue[StreamItem], timeout_ms: int
    ) -> StreamItem:
        try:
            return await asyncio.wait_for(stream.get(), timeout_ms / 1000)
        except TimeoutError:
            return self._failure(Reason.TIMEOUT, "engine.generate", Delivery.MAYBE)

    async def _work(self) -> None:
        while not self._core.batch.is_empty:
            await self._resumed.wait()
            plan, failures = self._core.begin_step()
            self._emit(failures)
            await self._clock.sleep_ms(plan.duration_ms)
            await self._resumed.wait()
            self._emit(self._core.end_step(plan))

    def _emit(self, items: list[tuple[AttemptId, StreamItem]]) -> None:
        for attempt, item in items:
            stream = self._streams.get(attempt)
            if stream is not None:
                stream.put_nowait(item)
