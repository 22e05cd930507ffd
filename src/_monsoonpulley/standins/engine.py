"""A stand-in of one model engine, in process, on the running loop's time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Coroutine
from typing import Any

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
from .engine_core import EngineCore
from .engine_counters import ComputedBlocks
from .engine_kv import decode_kv, encode_kv
from .engine_orders import OrderBook, OrderVerdict
from .engine_profile import EngineProfile
from .engine_streams import OpenStreams, StreamItem


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

    Attributes
    ----------
    adapters : list of str
        Adapters that were loaded.
    counters : EngineCounters
        What the engine has counted.
    faults : EngineFaults
        Faults of streams, to be set by tests.
    orders_done : list of Order
        Orders that took effect.
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
        self.adapters = self._core.adapters
        self.counters = self._core.counters
        self.faults = self._core.faults
        self._streams = OpenStreams()
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._worker: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._orders = OrderBook(profile.checks_fencing)
        self._crashes = 0

    @property
    def version(self) -> VersionId:
        """The version that is loaded."""
        return self._core.version

    @property
    def role(self) -> str:
        """The role last ordered; empty at first."""
        return self._core.role

    async def generate(self, call: EngineCall) -> AsyncIterator[StreamItem]:
        """Yield tokens, then one ``Finished`` or ``Failure``."""
        step = "engine.generate"
        if self.is_crashed:
            yield self._failure(Reason.UNAVAILABLE, step, Delivery.NOT_SENT)
            return
        if call.attempt_id in self._streams:
            yield self._failure(Reason.CONFLICT, step, Delivery.REFUSED)
            return
        self._open(call)
        timeout_ms = call.first_token_timeout_ms
        try:
            while True:
                item = await self._next_item(call.attempt_id, timeout_ms)
                yield item
                if not isinstance(item, Token):
                    return
                stray = self.faults.pop_stray(call.request_id)
                if stray is not None:
                    yield stray
                timeout_ms = call.token_timeout_ms
        finally:
            self._close(call.attempt_id)

    async def cancel(self, attempt: AttemptId) -> CancelOutcome | Failure:
        """Stop an attempt and return whether it had started."""
        failure = await self._unreachable("engine.cancel")
        if failure:
            return failure
        outcome = self._core.cancel(attempt)
        if outcome is CancelOutcome.NOT_STARTED:
            self._end_cancelled(attempt, Delivery.REFUSED)
        elif outcome is CancelOutcome.STOPPED:
            self._end_cancelled(attempt, Delivery.MAYBE)
        return outcome

    async def load_report(self) -> LoadReport | Failure:
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
        """Import a KV cache from which ``attempt`` starts."""
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

    async def execute_order(self, order: Order) -> Failure | None:
        """Execute an order, once per ``order_id``.

        A paused engine carries it out when it is resumed, also if the caller
        has given up by then.
        """
        task = self._spawn(self._take_order(order))
        timeout_ms = self.profile.control_timeout_ms + self.profile.order_ms
        done, _ = await asyncio.wait((task,), timeout=timeout_ms / 1000)
        if not done:
            return self._failure(Reason.TIMEOUT, "engine.order", Delivery.MAYBE)
        return task.result()

    def crash(self) -> None:
        """Crash: streams end with ``PEER_ERROR``, new calls can't connect.

        The process also loses its cache, its orders and their numbers.
        """
        self.is_crashed = True
        self._crashes += 1
        self._orders = OrderBook(self.profile.checks_fencing)
        self._stop_worker()
        self._core.clear()
        self._streams.end_all(self._core.broken_stream())
        self._resumed.set()

    def restart(self) -> None:
        """Restart after a crash with an empty cache."""
        self.is_crashed = False
        self.is_leaving = False

    def pause(self) -> None:
        """Stop all progress and answers until `resume`."""
        self._resumed.clear()

    def resume(self) -> None:
        """Continue after a pause."""
        self._resumed.set()

    def leave(self) -> None:
        """Record that the platform announced the reclaim; continue to serve."""
        self.is_leaving = True

    def reclaim(self, notice_ms: int) -> None:
        """Leave now and crash when the notice is over."""
        self.leave()
        self._spawn(self._crash_after(notice_ms))

    def close(self) -> None:
        """Stop the stand-in's tasks."""
        self._stop_worker()
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _crash_after(self, notice_ms: int) -> None:
        await self._clock.sleep_ms(notice_ms)
        self.crash()

    async def _take_order(self, order: Order) -> Failure | None:
        step = "engine.order"
        crashes = self._crashes
        await self._resumed.wait()
        if self.is_crashed or self._crashes != crashes:
            return self._failure(Reason.UNAVAILABLE, step)
        verdict = self._orders.receive(order)
        if verdict is OrderVerdict.FENCED:
            return self._failure(Reason.FENCED, step)
        if verdict is OrderVerdict.REPEATED:
            return None
        await self._clock.sleep_ms(self.profile.order_ms)
        await self._resumed.wait()
        if self._crashes != crashes:
            return self._failure(Reason.PEER_ERROR, step, Delivery.MAYBE)
        self._core.apply_order(order)
        self.orders_done.append(order)
        return None

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

    def _open(self, call: EngineCall) -> None:
        self._streams.open(call.attempt_id)
        if self.is_leaving:
            self.counters.starts_while_leaving += 1
        self._core.submit(call)
        if self._worker is None or self._worker.done():
            self._worker = asyncio.get_running_loop().create_task(self._work())

    def _close(self, attempt: AttemptId) -> None:
        self._streams.close(attempt)
        self._core.cancel(attempt)

    def _end_cancelled(self, attempt: AttemptId, delivery: Delivery) -> None:
        failure = self._failure(Reason.CANCELLED, "engine.generate", delivery)
        self._streams.emit([(attempt, failure)])

    async def _next_item(self, attempt: AttemptId, timeout_ms: int) -> StreamItem:
        try:
            return await self._streams.next(attempt, timeout_ms)
        except TimeoutError:
            return self._failure(Reason.TIMEOUT, "engine.generate", Delivery.MAYBE)

    async def _work(self) -> None:
        while not self._core.batch.is_empty:
            await self._resumed.wait()
            plan, failures = self._core.begin_step()
            self._streams.emit(failures)
            await self._clock.sleep_ms(plan.duration_ms)
            await self._resumed.wait()
            self._streams.emit(self._core.end_step(plan))
