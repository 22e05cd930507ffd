"""Placement by the router, which records how each attempt goes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId, EndpointId, RequestId, ServiceId, VersionId
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..routing.policies import RouteRequest
from ..routing.priority import engine_priority
from ..routing.retries import RetryRequest
from ..routing.routedecision import RouteDecision
from ..routing.router import Router
from .context import RequestContext
from .crashguard import CrashGuard
from .placement import AttemptEnd, PlacedAttempt, Retry


class VersionShares(Protocol):
    """Source of the traffic shares of a service's versions."""

    def shares(self, service: ServiceId) -> dict[VersionId, float]:
        """Return the share of each version that may get traffic."""
        ...


class AttemptObserver(Protocol):
    """Records attempts besides the router."""

    def record_start(
        self, context: RequestContext, placed: PlacedAttempt, attempt: AttemptId
    ) -> None:
        """Record that an attempt is being sent."""
        ...

    def record_progress(self, attempt: AttemptId) -> None:
        """Record a token of an attempt."""
        ...

    def record_end(
        self,
        context: RequestContext,
        placed: PlacedAttempt,
        attempt: AttemptId,
        end: AttemptEnd,
    ) -> None:
        """Record the end of an attempt."""
        ...


PREVIEW_EXPIRY_MS = 2
"""How long a choice made for admission stays valid for the first attempt."""


class Preview(msgspec.Struct, frozen=True):
    """A choice made for admission, which the first attempt can use."""

    route: RouteRequest
    decision: RouteDecision
    expires_ms: int


class RoutedPlacement:
    """Chooses endpoints by the router and records attempts with it.

    Parameters
    ----------
    router : Router
        State and rules of routing.
    versions : VersionShares
        Gives the versions that may get traffic.
    clock, log, metrics
        The instance's.

    Attributes
    ----------
    observer : AttemptObserver or None
        Records each attempt besides the router.
    crash_guard : CrashGuard or None
        Refuses requests that crash endpoints.
    check_stop : callable
        Returns a failure if a stop of the instance leaves a retry too little time,
        given the predicted time until its answer.
    """

    def __init__(
        self,
        router: Router,
        versions: VersionShares,
        clock: Clock,
        log: Log,
        metrics: Metrics,
    ):
        self._router = router
        self._versions = versions
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._previews: dict[RequestId, Preview] = {}
        self.observer: AttemptObserver | None = None
        self.crash_guard: CrashGuard | None = None
        self.check_stop: Callable[[float], Failure | None] = lambda predicted_ms: None

    def choose(
        self, context: RequestContext, tried: frozenset[EndpointId]
    ) -> PlacedAttempt | Failure:
        """Choose an endpoint that is not in ``tried`` and log the decision."""
        now_ms = self._clock.now_ms()
        preview = self._previews.pop(context.request_id, None)
        if preview is not None and not tried and now_ms <= preview.expires_ms:
            route, decision = preview.route, preview.decision
        else:
            route = self.route_request(context, tried, now_ms)
            decision = self._refuse(context, route) or self._router.choose(
                route, now_ms
            )
        if isinstance(decision, Failure):
            self._metrics.incr("routing.no_choice")
            self._log.event(
                "route_failed", request=route, failure=decision, now_ms=now_ms
            )
            return decision
        self._log.decision(decision)
        slack_ms = route.target_ms - (decision.predicted_ms or 0.0)
        return PlacedAttempt(
            endpoint=decision.chosen,
            version=decision.version,
            priority=engine_priority(self._clock.wall_ms(), slack_ms),
            route=route,
            decision=decision,
        )

    def preview(self, context: RequestContext) -> RouteDecision | Failure:
        """Choose an endpoint for a first attempt that is sent at once.

        `choose` uses the same choice within `PREVIEW_EXPIRY_MS`; if `choose` is
        not called, `discard_preview` must be.
        """
        now_ms = self._clock.now_ms()
        route = self.route_request(context, frozenset(), now_ms)
        decision = self._refuse(context, route) or self._router.choose(route, now_ms)
        if isinstance(decision, Failure):
            self._log.event(
                "route_failed", request=route, failure=decision, now_ms=now_ms
            )
            return decision
        preview = Preview(route, decision, now_ms + PREVIEW_EXPIRY_MS)
        self._previews[context.request_id] = preview
        return decision

    def _refuse(self, context: RequestContext, route: RouteRequest) -> Failure | None:
        if self.crash_guard is None:
            return None
        return self.crash_guard.refuse(context, route.versions)

    def discard_preview(self, request_id: RequestId) -> None:
        """Drop the choice that `preview` made for a request."""
        self._previews.pop(request_id, None)

    def route_request(
        self, context: RequestContext, tried: frozenset[EndpointId], now_ms: int
    ) -> RouteRequest:
        """Return the router's input for a request."""
        service = context.request_class.service
        return RouteRequest(
            request_id=context.request_id,
            service=service,
            target_ms=context.target_ms - now_ms,
            stream=context.stream,
            prompt_tokens=context.prompt_tokens,
            max_tokens=context.max_tokens,
            prefix_blocks=context.prefix_blocks,
            tried=tuple(sorted(tried)),
            versions=self._versions.shares(service),
            deadline_ms=context.deadline_ms,
            route=context.path,
        )

    def record_start(
        self, context: RequestContext, placed: PlacedAttempt, attempt: AttemptId
    ) -> None:
        """Record that an attempt is being sent."""
        if attempt.endswith(".1"):
            self._router.retries.count_first_attempt(context.request_class.service)
        self._router.record_attempt_start(
            attempt, placed.route, placed.decision, self._clock.now_ms()
        )
        if self.observer is not None:
            self.observer.record_start(context, placed, attempt)

    def record_progress(self, attempt: AttemptId, tokens: int) -> None:
        """Record a token of an attempt."""
        self._router.record_token(attempt, self._clock.now_ms())
        if self.observer is not None:
            self.observer.record_progress(attempt)

    def record_end(
        self,
        context: RequestContext,
        placed: PlacedAttempt,
        attempt: AttemptId,
        end: AttemptEnd,
    ) -> None:
        """Record the end of an attempt."""
        now_ms = self._clock.now_ms()
        self._router.record_attempt_end(attempt, now_ms, end.failure, end.tokens)
        if self.observer is not None:
            self.observer.record_end(context, placed, attempt, end)
        if self.crash_guard is not None:
            self.crash_guard.record_end(context, placed, end)
        if end.failure is None:
            return
        self._metrics.incr(f"attempts.failed.{end.failure.reason.value}")
        self._log.event(
            "attempt_failed",
            attempt_id=attempt,
            endpoint=placed.endpoint,
            version=placed.version,
            failure=end.failure,
            tokens=end.tokens,
            total_ms=end.total_ms,
        )

    def may_retry(
        self,
        context: RequestContext,
        placed: PlacedAttempt,
        attempts: int,
        failure: Failure,
    ) -> Retry | Failure:
        """Decide whether to retry after ``attempts`` failed ones.

        ``placed`` is the last one, whose prediction is taken for the next.
        """
        stop_failure = self.check_stop(placed.decision.predicted_ms or 0.0)
        if stop_failure is not None:
            return stop_failure
        repeats = context.request_class.repeats
        ask = RetryRequest(
            request_id=context.request_id,
            service=context.request_class.service,
            repeats=repeats,
            attempts=attempts,
            idempotent=repeats > 0,
            delivery=failure.delivery,
            deadline_ms=context.deadline_ms,
            retry_after_ms=failure.retry_after_ms,
        )
        decision = self._router.retries.decide_retry(ask, self._clock.now_ms())
        self._log.decision(decision)
        if decision.allowed:
            self._metrics.incr("attempts.retried")
            return Retry(decision.wait_ms)
        return Failure(
            Reason.RETRIES_SPENT,
            failure.step,
            failure.peer,
            f"{decision.rule} after {attempts} attempts; last failure:"
            f" {failure.reason.value} {failure.detail}".rstrip(),
            failure.delivery or Delivery.MAYBE,
            failure.retry_after_ms,
        )
