"""Lifecycle of an entry instance and the count of its requests in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from typing import TypeVar

from ..clock import Clock
from ..ids import RequestId
from ..observability.log import Log
from ..stopgate import StopGate

LEAVE_GRACE_MS = 2_000
"""How long a leaving instance still accepts requests, since the load balancer
sends them until it has seen the readiness check fail."""

RECLAIM_MARGIN_MS = 1_000
"""How long before the deadline an instance stops waiting for requests and hands
over the rest."""

T = TypeVar("T")


class Phase(Enum):
    """Lifecycle phase of an entry instance."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Lifecycle:
    """Lifecycle phase of the instance, and its requests in progress."""

    def __init__(self, clock: Clock, log: Log):
        self._clock = clock
        self._log = log
        self._in_progress_count = 0
        self._idle_event = asyncio.Event()
        self._idle_event.set()
        self._stop_gate = StopGate()
        self._request_scopes: set[asyncio.Timeout] = set()
        self._requests_end_s: float | None = None
        self._leaving_event = asyncio.Event()
        self._ready_event = asyncio.Event()
        self.phase = Phase.STARTING
        self.deadline_ms: int | None = None

    @property
    def in_progress_count(self) -> int:
        """Number of requests in progress."""
        return self._in_progress_count

    def mark_ready(self) -> None:
        """Enter ``READY``, unless the instance is leaving already."""
        if self.phase is Phase.STARTING:
            self.phase = Phase.READY
            self._log.event("instance_ready")
        self._ready_event.set()

    def leave(self, reason: str, deadline_ms: int | None) -> None:
        """Enter ``LEAVING``; a second call may only bring the deadline forward.

        Parameters
        ----------
        reason : str
            Reason to log.
        deadline_ms : int or None
            Monotonic time at which requests in progress are aborted; ``None``
            to wait for all of them.
        """
        if self.phase is Phase.STOPPED:
            return
        end_ms = None
        if deadline_ms is not None:
            earlier_ms = self.deadline_ms
            self.deadline_ms = min(deadline_ms, earlier_ms or deadline_ms)
            end_ms = self.deadline_ms - RECLAIM_MARGIN_MS
        self.phase = Phase.LEAVING
        self._stop_gate.begin(self._clock.now_ms(), LEAVE_GRACE_MS, end_ms)
        self._leaving_event.set()
        self._log.event(
            "instance_leaving",
            reason=reason,
            deadline_ms=self.deadline_ms,
            in_progress=self._in_progress_count,
        )

    def stop(self) -> None:
        """Enter ``STOPPED``."""
        self.phase = Phase.STOPPED
        self._log.event("instance_stopped", in_progress=self._in_progress_count)

    def accepts_requests(self) -> bool:
        """Return whether new requests are accepted now.

        The listener stays open until the instance has drained, so that it would never
        drain if it accepted them for longer.
        """
        if self.phase is Phase.READY:
            return True
        leaving_ms = self._stop_gate.stopping_for_ms(self._clock.now_ms())
        if self.phase is not Phase.LEAVING or leaving_ms is None:
            return False
        return leaving_ms < LEAVE_GRACE_MS

    def may_begin(self, request_id: RequestId, deadline_ms: int) -> bool:
        """Return whether a request may start now that has this deadline."""
        return self.accepts_requests() and self.may_begin_admitted(
            request_id, deadline_ms
        )

    def may_repeat(self, predicted_ms: float) -> bool:
        """Return whether to send a request once more.

        Parameters
        ----------
        predicted_ms : float
            Time until its answer presumably begins.
        """
        return self._stop_gate.may_repeat(self._clock.now_ms(), predicted_ms)

    def may_begin_admitted(self, request_id: RequestId, deadline_ms: int) -> bool:
        """Return whether a request that was accepted and has waited may start now."""
        now_ms = self._clock.now_ms()
        if self._stop_gate.may_begin(now_ms, deadline_ms):
            return True
        self._log.decision(self._stop_gate.explain(request_id, now_ms, deadline_ms))
        return False

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in progress within the ``with`` block."""
        self._in_progress_count += 1
        self._idle_event.clear()
        try:
            yield
        finally:
            self._in_progress_count -= 1
            if not self._in_progress_count:
                self._idle_event.set()

    async def run_until_end(
        self, work: Awaitable[T], make_default: Callable[[], T]
    ) -> T:
        """Return the result of ``work``, or ``make_default()`` if the stop ends it."""
        scope = asyncio.timeout_at(self._requests_end_s)
        self._request_scopes.add(scope)
        try:
            async with scope:
                return await work
        except TimeoutError:
            if not scope.expired():
                raise
            return make_default()
        finally:
            self._request_scopes.discard(scope)

    def end_requests(self) -> None:
        """End the work in progress, so that its callers have an answer in time."""
        if self._requests_end_s is not None:
            return
        self._requests_end_s = asyncio.get_running_loop().time()
        for scope in self._request_scopes:
            scope.reschedule(self._requests_end_s)

    async def wait_ready(self) -> None:
        """Wait until the instance is or has been ready."""
        await self._ready_event.wait()

    async def wait_no_requests(self) -> None:
        """Wait until no request is in progress."""
        await self._idle_event.wait()

    async def wait_leaving(self) -> None:
        """Wait until the instance is leaving."""
        await self._leaving_event.wait()

    async def wait_drained(self, margin_ms: int) -> bool:
        """Wait until no request is in progress; return ``False`` at the deadline.

        Requests may still arrive during `LEAVE_GRACE_MS`, so an idle instance
        waits that long too. The wait ends ``margin_ms`` before the deadline.
        """
        await self._sleep_until(
            (self._stop_gate.began_ms or 0) + LEAVE_GRACE_MS, margin_ms
        )
        while self._in_progress_count:
            remaining_ms = self._remaining_ms(margin_ms)
            if remaining_ms is not None and remaining_ms <= 0:
                return False
            timeout_s = None if remaining_ms is None else remaining_ms / 1000
            try:
                await asyncio.wait_for(self._idle_event.wait(), timeout_s)
            except TimeoutError:
                return False
        return True

    async def _sleep_until(self, until_ms: int, margin_ms: int) -> None:
        wait_ms = until_ms - self._clock.now_ms()
        remaining_ms = self._remaining_ms(margin_ms)
        if remaining_ms is not None:
            wait_ms = min(wait_ms, remaining_ms)
        if wait_ms > 0:
            await self._clock.sleep_ms(wait_ms)

    def _remaining_ms(self, margin_ms: int) -> int | None:
        if self.deadline_ms is None:
            return None
        return self.deadline_ms - margin_ms - self._clock.now_ms()
