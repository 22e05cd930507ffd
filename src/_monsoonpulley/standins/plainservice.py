"""A stand-in of one endpoint of a plain service, in process."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Coroutine
from typing import Any

import msgspec

from ..clock import Clock
from ..endpoints.service import Execution, Lookup, ServiceAnswer, ServiceCall
from ..errors import Delivery, Failure, Reason
from ..ids import EndpointId, RequestId, VersionId
from .bad_version import BadEffect, BadVersion
from .plainservice_profile import ExecutionLedger, PlainFault, PlainServiceProfile

__all__ = [
    "ExecutionLedger",
    "PlainFault",
    "PlainServiceProfile",
    "PlainServiceStandin",
]


class PlainServiceStandin:
    """One endpoint of a plain service; implements ``ServiceClient``.

    What it executed is kept over a crash, as a service's own records are.

    Parameters
    ----------
    endpoint_id : EndpointId
        Its name, the ``peer`` of failures.
    version : VersionId
        Its version.
    clock : Clock
        The running loop's time.
    rng : random.Random
        Varies the service time by up to a tenth.
    profile : PlainServiceProfile
        Performance and habits.
    ledger : ExecutionLedger, optional
        Shared by all endpoints of a test.
    """

    def __init__(
        self,
        endpoint_id: EndpointId,
        version: VersionId,
        clock: Clock,
        rng: random.Random,
        profile: PlainServiceProfile,
        ledger: ExecutionLedger | None = None,
    ):
        self.endpoint_id = endpoint_id
        self.version = version
        self.profile = profile
        self.ledger = ledger or ExecutionLedger()
        self.is_crashed = False
        self.is_leaving = False
        self.is_refusing = False
        self.starts_while_leaving = 0
        self._clock = clock
        self._rng = rng
        self._started_ms = clock.now_ms()
        self._starts = 0
        self._faults: deque[PlainFault] = deque()
        self._running = asyncio.Event()
        self._running.set()
        self._crashed = asyncio.Event()
        self._in_progress: Counter[RequestId] = Counter()
        self._answers: dict[RequestId, ServiceAnswer] = {}
        self._barred: set[RequestId] = set()
        self._tasks: set[asyncio.Task] = set()

    async def call(self, call: ServiceCall) -> ServiceAnswer | Failure:
        """Execute the call; the execution continues when the caller gives up."""
        if self.is_crashed:
            return self._failure(Reason.UNAVAILABLE, "service.call", Delivery.NOT_SENT)
        serving = self._spawn(self._serve(call))
        crash = self._spawn(self._crashed.wait())
        try:
            done, _ = await asyncio.wait(
                (serving, crash),
                timeout=call.timeout_ms / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            crash.cancel()
        if serving in done:
            return serving.result()
        reason = Reason.PEER_ERROR if crash in done else Reason.TIMEOUT
        return self._failure(reason, "service.call", Delivery.MAYBE)

    async def lookup(self, request_id: RequestId) -> Lookup | Failure:
        """Return whether the request ran here; after ``NOT_RUN`` it is refused here."""
        if self.is_crashed:
            return self._failure(Reason.UNAVAILABLE, "service.lookup")
        if not self._running.is_set():
            return self._failure(Reason.TIMEOUT, "service.lookup")
        if not self.profile.lookup:
            return Lookup(Execution.UNKNOWN)
        if request_id in self._answers:
            return Lookup(Execution.RAN, self._answers[request_id])
        if self._in_progress[request_id]:
            return Lookup(Execution.RUNNING)
        self._barred.add(request_id)
        return Lookup(Execution.NOT_RUN)

    def inject(self, fault: PlainFault, calls: int = 1) -> None:
        """Let the next ``calls`` calls meet a fault."""
        self._faults.extend([fault] * calls)

    def crash(self) -> None:
        """Crash: calls in progress fail and are not executed any more."""
        self.is_crashed = True
        self._crashed.set()
        self._in_progress.clear()
        self._running.set()

    def restart(self) -> None:
        """Restart after a crash, with the records of what was executed."""
        self.is_crashed = False
        self.is_leaving = False
        self._crashed = asyncio.Event()

    def pause(self) -> None:
        """Stop all progress until `resume`; unread calls stay unread."""
        self._running.clear()

    def resume(self) -> None:
        """Continue after a pause, also with calls whose callers gave up."""
        self._running.set()

    def leave(self) -> None:
        """Record that the platform announced the reclaim; continue to serve."""
        self.is_leaving = True

    def reclaim(self, notice_ms: int) -> None:
        """Leave now and crash when the notice is over."""
        self.leave()
        self._spawn(self._crash_after(notice_ms))

    def close(self) -> None:
        """Stop the stand-in's tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def _crash_after(self, notice_ms: int) -> None:
        await self._clock.sleep_ms(notice_ms)
        self.crash()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _failure(
        self, reason: Reason, step: str, delivery: Delivery | None = None
    ) -> Failure:
        return Failure(reason, step, peer=self.endpoint_id, delivery=delivery)

    async def _serve(self, call: ServiceCall) -> ServiceAnswer | Failure:
        lifetime = self._crashed
        fault = self._next_fault()
        if fault is PlainFault.EXECUTE_LATE:
            await self._clock.sleep_ms(self.profile.late_ms)
        await self._running.wait()
        if lifetime.is_set():
            return self._cut_off()
        if self.is_leaving:
            self.starts_while_leaving += 1
        if self.is_refusing or call.request_id in self._barred:
            return self._refusal()
        self._in_progress[call.request_id] += 1
        self._starts += 1
        return await self._serve_read(call, fault, lifetime)

    async def _serve_read(
        self, call: ServiceCall, fault: PlainFault | None, lifetime: asyncio.Event
    ) -> ServiceAnswer | Failure:
        if fault is PlainFault.CRASH_BEFORE:
            self.crash()
            return self._cut_off()
        if fault is PlainFault.HANG:
            await lifetime.wait()
            return self._cut_off()
        slow = self._bad(call, BadEffect.SLOW)
        factor = slow.slow_factor if slow else 1.0
        if fault is PlainFault.SLOW:
            factor = self.profile.slow_factor
        await self._clock.sleep_ms(self._service_ms() * factor)
        await self._running.wait()
        if lifetime.is_set():
            return self._cut_off()
        if self._bad(call, BadEffect.FAIL):
            self._in_progress[call.request_id] -= 1
            return ServiceAnswer(500, (), b"")
        answer = self._execute(call)
        if fault is PlainFault.CRASH_AFTER:
            self.crash()
        if fault in (PlainFault.CRASH_AFTER, PlainFault.RESET):
            return self._cut_off()
        return answer

    def _next_fault(self) -> PlainFault | None:
        return self._faults.popleft() if self._faults else None

    def _bad(self, call: ServiceCall, effect: BadEffect) -> BadVersion | None:
        bad = self.profile.bad_versions.get(self.version)
        if bad is None or bad.effect is not effect:
            return None
        age_ms = self._clock.now_ms() - self._started_ms
        running = self._in_progress.total()
        if not bad.is_active(age_ms, self._starts, running):
            return None
        route = call.path.partition("?")[0]
        return bad if bad.affects(route, self._rng.random()) else None

    def _service_ms(self) -> float:
        return self.profile.service_ms * self._rng.uniform(0.9, 1.1)

    def _execute(self, call: ServiceCall) -> ServiceAnswer:
        self.ledger.record(call.request_id, self.endpoint_id)
        self._in_progress[call.request_id] -= 1
        body = {
            "request_id": call.request_id,
            "endpoint": self.endpoint_id,
            "version": self.version,
            "path": call.path,
            "body_bytes": len(call.body),
        }
        headers = (("content-type", "application/json"),)
        answer = ServiceAnswer(200, headers, msgspec.json.encode(body))
        self._answers[call.request_id] = answer
        return answer

    def _cut_off(self) -> Failure:
        return self._failure(Reason.PEER_ERROR, "service.call", Delivery.MAYBE)

    def _refusal(self) -> Failure:
        failure = self._failure(Reason.UNAVAILABLE, "service.call", Delivery.REFUSED)
        detail = f"status {self.profile.refusal_status}"
        return msgspec.structs.replace(failure, detail=detail)
