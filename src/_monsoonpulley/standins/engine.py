"""An in-process stand-in of a model engine, timed by the running event loop."""

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
from .engine_orders import OrderHistory, OrderVerdict
from .engine_profile import EngineProfile
from .engine_streams import OpenStreams, StreamItem


class EngineStandin:
    """Stand-in of one model engine; implements ``EngineClient``.

    Parameters
    ----------
    endpoint_id : EndpointId
        Identifier of the engine, given as ``peer`` in failures.
    version : VersionId
        Version loaded at the start.
    clock : Clock
        Clock of the running event loop.
    rng : random.Random
        Source of event delays, event losses and random faults.
    profile : EngineProfile
        Performance and behaviour.
    computed : ComputedBlocks, optional
        Shared by the engines of a fleet to count recomputed tokens.

    Attributes
    ----------
    adapters : list of str
        Loaded adapters, in the order of loading.
    counters : EngineCounters
        Counters of tokens and executions.
    faults : EngineFaults
        Faults of streams, set by tests.
    executed_orders : list of Order
        Orders that took effect, in that order.
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
        self.executed_orders: list[Order] = []
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
        self._step_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._order_history = OrderHistory(profile.checks_fencing)
        self._crash_count = 0

    @property
    def version(self) -> VersionId:
        """The loaded version."""
        return self._core.version

    @property
    def role(self) -> str:
        """The role set by the last order; empty before the first."""
        return self._core.role

    async def generate(self, call: EngineCall) -> AsyncIterator[StreamItem]:
        """Generate tokens, then yield one ``Finished`` or ``Failure``."""
        step = "engine.generate"
        if self.is_crashed:
            yield self._failure(Reason.UNAVAILABLE, step, Delivery.NOT_SENT)
            return
        if call.attempt_id in self._streams:
            yield self._failure(Reason.CONFLICT, step, Delivery.REFUSED)
            return
        self._open_stream(call)
        timeout_ms = call.first_token_timeout_ms
        try:
            while True:
                item = await self._next_item(call.attempt_id, timeout_ms)
                yield item
                if not isinstance(item, Token):
                    return
                late_token = self.faults.pop_late_token(call.request_id)
                if late_token is not None:
                    yield late_token
                timeout_ms = call.token_timeout_ms
        finally:
            self._close_stream(call.attempt_id)

    async def cancel(self, attempt: AttemptId) -> CancelOutcome | Failure:
        """Stop an attempt and return whether it had started."""
        failure = await self._check_reachable("engine.cancel")
        if failure:
            return failure
        outcome = self._core.cancel(attempt)
        if outcome is CancelOutcome.NOT_STARTED:
            self._end_cancelled_stream(attempt, Delivery.REFUSED)
        elif outcome is CancelOutcome.STOPPED:
            self._end_cancelled_stream(attempt, Delivery.MAYBE)
        return outcome

    async def load_report(self) -> LoadReport | Failure:
        """Return the load as it was ``report_lag_ms`` ago."""
        failure = await self._check_reachable("engine.load")
        return failure or self._core.load()

    async def cache_events(self, after_seq: int) -> tuple[CacheEvent, ...] | Failure:
        """Return the events after ``after_seq`` that are visible by now."""
        failure = await self._check_reachable("engine.cache_events")
        return failure or self._core.cache_events(after_seq)

    async def export_kv(self, attempt: AttemptId) -> bytes | Failure:
        """Return the KV cache of a running attempt."""
        step = "engine.export_kv"
        failure = await self._check_reachable(step)
        if failure:
            return failure
        state = self._core.export_kv_state(attempt)
        if state is None:
            return self._failure(Reason.NOT_FOUND, step)
        data = encode_kv(state)
        await self._clock.sleep_ms(len(data) / self.profile.kv_bytes_per_ms)
        return await self._check_reachable(step) or data

    async def import_kv(self, attempt: AttemptId, data: bytes) -> Failure | None:
        """Import a KV cache from which ``attempt`` starts."""
        step = "engine.import_kv"
        failure = await self._check_reachable(step)
        if failure:
            return failure
        state = decode_kv(data)
        if state is None:
            return self._failure(Reason.INVALID, step)
        await self._clock.sleep_ms(len(data) / self.profile.kv_bytes_per_ms)
        failure = await self._check_reachable(step)
        if failure is None:
            self._core.imports.add(attempt, state)
        return failure

    async def execute_order(self, order: Order) -> Failure | None:
        """Execute an order, once per ``order_id``.

        A paused engine executes it when resumed, even if the calling code has
        stopped waiting by then.
        """
        task = self._spawn(self._execute_order(order))
        timeout_ms = self.profile.control_timeout_ms + self.profile.order_ms
        done, _ = await asyncio.wait((task,), timeout=timeout_ms / 1000)
        if not done:
            return self._failure(Reason.TIMEOUT, "engine.order", Delivery.MAYBE)
        return task.result()

    def crash(self) -> None:
        """Crash the process: streams end with ``PEER_ERROR``, new calls can't connect.

        The cache, the received orders and their fencing numbers are lost.
        """
        self.is_crashed = True
        self._crash_count += 1
        self._order_history = OrderHistory(self.profile.checks_fencing)
        self._stop_steps()
        self._core.clear()
        self._streams.end_all(self._core.broken_stream_failure())
        self._resumed.set()

    def restart(self) -> None:
        """Restart after a crash, with an empty cache."""
        self.is_crashed = False
        self.is_leaving = False

    def pause(self) -> None:
        """Pause the process: no progress and no answers until `resume`."""
        self._resumed.clear()

    def resume(self) -> None:
        """Continue after a pause."""
        self._resumed.set()

    def start_leaving(self) -> None:
        """Record that the platform announced the reclaim; the engine still serves."""
        self.is_leaving = True

    def reclaim(self, notice_ms: int) -> None:
        """Start leaving now and crash after ``notice_ms``."""
        self.start_leaving()
        self._spawn(self._crash_after(notice_ms))

    def close(self) -> None:
        """Cancel the tasks of the stand-in."""
        self._stop_steps()
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

    async def _execute_order(self, order: Order) -> Failure | None:
        step = "engine.order"
        crash_count = self._crash_count
        await self._resumed.wait()
        if self.is_crashed or self._crash_count != crash_count:
            return self._failure(Reason.UNAVAILABLE, step)
        verdict = self._order_history.register(order)
        if verdict is OrderVerdict.FENCED:
            return self._failure(Reason.FENCED, step)
        if verdict is OrderVerdict.REPEATED:
            return None
        await self._clock.sleep_ms(self.profile.order_ms)
        await self._resumed.wait()
        if self._crash_count != crash_count:
            return self._failure(Reason.PEER_ERROR, step, Delivery.MAYBE)
        self._core.execute_order(order)
        self.executed_orders.append(order)
        return None

    def _stop_steps(self) -> None:
        if self._step_task is not None:
            self._step_task.cancel()
        self._step_task = None

    def _failure(
        self, reason: Reason, step: str, delivery: Delivery | None = None
    ) -> Failure:
        return Failure(reason, step, peer=self.endpoint_id, delivery=delivery)

    async def _check_reachable(self, step: str) -> Failure | None:
        timeout_s = self.profile.control_timeout_ms / 1000
        try:
            await asyncio.wait_for(self._resumed.wait(), timeout_s)
        except TimeoutError:
            return self._failure(Reason.TIMEOUT, step)
        if self.is_crashed:
            return self._failure(Reason.UNAVAILABLE, step)
        return None

    def _open_stream(self, call: EngineCall) -> None:
        self._streams.open(call.attempt_id)
        if self.is_leaving:
            self.counters.starts_while_leaving += 1
        self._core.submit(call)
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.get_running_loop().create_task(self._run_steps())

    def _close_stream(self, attempt: AttemptId) -> None:
        self._streams.close(attempt)
        self._core.cancel(attempt)

    def _end_cancelled_stream(self, attempt: AttemptId, delivery: Delivery) -> None:
        failure = self._failure(Reason.CANCELLED, "engine.generate", delivery)
        self._streams.emit([(attempt, failure)])

    async def _next_item(self, attempt: AttemptId, timeout_ms: int) -> StreamItem:
        try:
            return await self._streams.next_item(attempt, timeout_ms)
        except TimeoutError:
            return self._failure(Reason.TIMEOUT, "engine.generate", Delivery.MAYBE)

    async def _run_steps(self) -> None:
        while not self._core.batch.is_empty:
            await self._resumed.wait()
            plan, failures = self._core.start_step()
            self._streams.emit(failures)
            await self._clock.sleep_ms(plan.duration_ms)
            await self._resumed.wait()
            self._streams.emit(self._core.finish_step(plan))
