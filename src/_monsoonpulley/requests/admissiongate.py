"""Makes requests wait until admission lets them start."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..errors import Failure
from ..ids import RequestId, ServiceId
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..routing.admission import AdmissionRequest, Admit, Refuse, Wait
from ..routing.router import Router
from .context import RequestContext
from .routed import RoutedPlacement

MAX_IDLE_MS = 1_000
"""Longest wait between two checks of the queue."""


class AdmissionGate:
    """Admits requests in the order that admission decides.

    Parameters
    ----------
    router : Router
        Holds the admission state.
    placement : RoutedPlacement
        Describes requests to the router.
    clock, log, metrics
        The instance's.

    Attributes
    ----------
    check_stop : callable
        Returns a failure if a stop of the instance leaves a request that has waited
        too little time.
    """

    def __init__(
        self,
        router: Router,
        placement: RoutedPlacement,
        clock: Clock,
        log: Log,
        metrics: Metrics,
    ):
        self._router = router
        self._placement = placement
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._turn_by_request: dict[RequestId, asyncio.Future[Admit | Refuse]] = {}
        self._queue_changed = asyncio.Event()
        self.check_stop: Callable[[RequestContext], Failure | None] = lambda _: None

    async def admit(self, context: RequestContext) -> Failure | None:
        """Wait until the request is admitted; return a failure if it is refused.

        `release` must follow for each admitted request, however it ends.
        """
        now_ms = self._clock.now_ms()
        preview = self._placement.preview(context)
        if isinstance(preview, Failure):
            return preview
        request = AdmissionRequest(
            request_id=context.request_id,
            service=context.request_class.service,
            customer=context.customer,
            request_class=context.class_id,
            cost_tokens=context.prompt_tokens + context.max_tokens,
            target_ms=context.target_ms - now_ms,
            predicted_ms=preview.predicted_ms,
        )
        decision = self._router.admission.submit(request, now_ms)
        self._log.decision(decision)
        if not isinstance(decision, Admit):
            self._placement.discard_preview(context.request_id)
        if isinstance(decision, Wait):
            decision = await self._wait_for_turn(request)
            failure = self.check_stop(context)
            if failure is not None and isinstance(decision, Admit):
                self.release(context, 0)
                return failure
        if isinstance(decision, Refuse):
            self._metrics.incr(f"admission.refused.{decision.rule}")
            return decision.failure()
        return None

    def release(self, context: RequestContext, used_tokens: int | None = None) -> None:
        """Record the end of an admitted request and admit others in its place."""
        service = context.request_class.service
        self._router.admission.release(
            service, context.request_id, self._clock.now_ms(), used_tokens
        )
        self._answer_ready_requests()

    async def run(self) -> None:
        """Admit or refuse waiting requests when they are due, until cancelled."""
        while True:
            self._queue_changed.clear()
            self._answer_ready_requests()
            await self._wait_for_queue_change()

    async def _wait_for_turn(self, request: AdmissionRequest) -> Admit | Refuse:
        turn: asyncio.Future[Admit | Refuse] = asyncio.Future()
        self._turn_by_request[request.request_id] = turn
        self._queue_changed.set()
        try:
            return await turn
        except asyncio.CancelledError:
            self._withdraw(request.service, request.request_id, turn)
            raise
        finally:
            self._turn_by_request.pop(request.request_id, None)

    def _withdraw(
        self,
        service: ServiceId,
        request_id: RequestId,
        turn: asyncio.Future[Admit | Refuse],
    ) -> None:
        """Remove a cancelled request, and release it if it was admitted already."""
        admission = self._router.admission
        if admission.withdraw(service, request_id):
            return
        if turn.done() and not turn.cancelled() and isinstance(turn.result(), Admit):
            admission.release(service, request_id, self._clock.now_ms(), 0)
            self._queue_changed.set()

    def _answer_ready_requests(self) -> None:
        for decision in self._router.admission.pop_decisions(self._clock.now_ms()):
            self._log.decision(decision)
            turn = self._turn_by_request.get(decision.request_id)
            if turn is not None and not turn.done():
                turn.set_result(decision)
            elif isinstance(decision, Admit):
                self._router.admission.release(
                    decision.service, decision.request_id, self._clock.now_ms(), 0
                )

    async def _wait_for_queue_change(self) -> None:
        expiry_ms = self._router.admission.next_expiry_ms()
        wait_ms = MAX_IDLE_MS
        if expiry_ms is not None:
            wait_ms = min(wait_ms, max(expiry_ms - self._clock.now_ms(), 1))
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await self._queue_changed.wait()
        except TimeoutError:
            return
