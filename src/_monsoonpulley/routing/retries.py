"""Retry budgets, and decisions on retries and hedges.

Each service has a budget: a first attempt adds ``ratio`` to it, a retry or hedge
consumes 1. After ``n`` first attempts at most ``max(1, ratio * n)`` retries have
been made, so attempts per request stay at or below ``1 + ratio`` from the
``1 / ratio``-th request on. The one initial retry is a loan: the first
``1 / ratio`` requests add nothing. At most `MAX_CREDIT` is kept, so an outage
after a period without retries adds no more than that number to ``ratio * n``.
The budgets of several entry instances add up to the same ratio, since each
counts its own first attempts.
"""

from __future__ import annotations

import random

import msgspec

from ..errors import Delivery
from ..ids import RequestId, ServiceId
from ..observability.log import Decision

RETRY_RATIO = 0.1
MAX_CREDIT = 10.0
BACKOFF_BASE_MS = 20
BACKOFF_CAP_MS = 1_000
MIN_UNSENT_REPEATS = 2
"""Minimum repeats of an attempt that certainly did not run, for any class."""
HEDGE_AFTER_RATIO = 2.0
"""Multiple of the predicted time after which an attempt may be hedged."""


class RetryBudget:
    """The retry budget of one service.

    Parameters
    ----------
    ratio : float
        Retries earned by each first attempt.
    max_credit : float
        Maximum retries kept for later; at least 1.
    """

    def __init__(self, ratio: float = RETRY_RATIO, max_credit: float = MAX_CREDIT):
        if not 0.0 < ratio <= 1.0:
            raise ValueError(f"retry ratio must be in (0, 1], got {ratio}")
        self._ratio = ratio
        self._max_credit = max(1.0, max_credit)
        self._loan_credit = 1.0
        self.credit = 1.0

    def count_first_attempt(self) -> None:
        """Count a first attempt; the earliest ones repay the initial retry."""
        if self._loan_credit > 1e-9:
            self._loan_credit -= self._ratio
            return
        self.credit = min(self._max_credit, self.credit + self._ratio)

    def try_acquire(self) -> bool:
        """Consume one retry; return ``False`` without credit."""
        if self.credit < 1.0 - 1e-9:
            return False
        self.credit = max(0.0, self.credit - 1.0)
        return True


class RetryRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request with a failed or slow attempt.

    Attributes
    ----------
    repeats : int
        Maximum repeats of the request class; 0 for work that runs at most once.
    attempts : int
        Attempts made so far, 1 or more.
    idempotent : bool
        Whether the request may run more than once.
    delivery : Delivery or None
        Whether the failed attempt may have run; ``None`` if unknown.
    deadline_ms : int or None
        Time at which the request is given up.
    predicted_ms : float
        Predicted time of another attempt.
    retry_after_ms : int or None
        Wait that the endpoint asked for.
    """

    request_id: RequestId
    service: ServiceId
    repeats: int
    attempts: int
    idempotent: bool
    delivery: Delivery | None = None
    deadline_ms: int | None = None
    predicted_ms: float = 0.0
    retry_after_ms: int | None = None


class RetryDecision(Decision, frozen=True, kw_only=True, tag="retry"):
    """Whether to start another attempt, after which wait, and by which rule.

    ``credit`` is the service's budget before the decision.
    """

    allowed: bool
    wait_ms: int
    hedge: bool
    request_id: RequestId
    service: ServiceId
    repeats: int
    attempts: int
    idempotent: bool
    delivery: Delivery | None
    deadline_ms: int | None
    predicted_ms: float
    credit: float
    now_ms: int


class Retries:
    """Retry decisions of one entry instance, with a budget for each service."""

    def __init__(self, rng: random.Random, ratio: float = RETRY_RATIO):
        self._rng = rng
        self._ratio = ratio
        self._budgets: dict[ServiceId, RetryBudget] = {}

    def budget(self, service: ServiceId) -> RetryBudget:
        """Return a service's budget."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._ratio)
        return budget

    def count_first_attempt(self, service: ServiceId) -> None:
        """Count the first attempt of a request."""
        self.budget(service).count_first_attempt()

    def decide_retry(self, request: RetryRequest, now_ms: int) -> RetryDecision:
        """Decide on another attempt after one that failed.

        An allowed retry is charged to the budget at once.
        """
        is_unsent = request.delivery in (Delivery.NOT_SENT, Delivery.REFUSED)
        if not request.idempotent and not is_unsent:
            return self._build_decision(request, "may-have-run", False, 0, now_ms)
        repeats = (
            max(request.repeats, MIN_UNSENT_REPEATS) if is_unsent else request.repeats
        )
        if request.attempts > repeats:
            return self._build_decision(request, "repeats-spent", False, 0, now_ms)
        wait_ms = self._backoff_ms(request)
        if _misses_deadline(request, now_ms + wait_ms):
            return self._build_decision(
                request, "deadline-too-near", False, wait_ms, now_ms
            )
        return self._charge_budget(request, "budget", wait_ms, False, now_ms)

    def decide_hedge(
        self, request: RetryRequest, elapsed_ms: int, now_ms: int
    ) -> RetryDecision:
        """Decide on a second attempt in parallel with a slow one.

        Only idempotent requests are hedged, once the first attempt has taken
        twice its predicted time. Hedges count as repeats and are charged to the
        same budget as retries.
        """
        if not request.idempotent or not request.repeats:
            return self._build_decision(
                request, "not-idempotent", False, 0, now_ms, True
            )
        if request.attempts > request.repeats:
            return self._build_decision(
                request, "repeats-spent", False, 0, now_ms, True
            )
        hedge_after_ms = HEDGE_AFTER_RATIO * request.predicted_ms
        if elapsed_ms < hedge_after_ms:
            wait_ms = round(hedge_after_ms - elapsed_ms)
            return self._build_decision(
                request, "not-slow", False, wait_ms, now_ms, True
            )
        if _misses_deadline(request, now_ms):
            return self._build_decision(
                request, "deadline-too-near", False, 0, now_ms, True
            )
        return self._charge_budget(request, "budget", 0, True, now_ms)

    def _charge_budget(
        self, request: RetryRequest, rule: str, wait_ms: int, hedge: bool, now_ms: int
    ) -> RetryDecision:
        credit = self.budget(request.service).credit
        if not self.budget(request.service).try_acquire():
            return self._build_decision(
                request, "budget-spent", False, wait_ms, now_ms, hedge
            )
        return self._build_decision(request, rule, True, wait_ms, now_ms, hedge, credit)

    def _backoff_ms(self, request: RetryRequest) -> int:
        """Return an exponential backoff with full jitter."""
        bound_ms = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** (request.attempts - 1))
        return round(self._rng.uniform(0, bound_ms)) + (request.retry_after_ms or 0)

    def _build_decision(
        self,
        request: RetryRequest,
        rule: str,
        allowed: bool,
        wait_ms: int,
        now_ms: int,
        hedge: bool = False,
        credit: float | None = None,
    ) -> RetryDecision:
        if credit is None:
            credit = self.budget(request.service).credit
        return RetryDecision(
            rule=rule,
            allowed=allowed,
            wait_ms=wait_ms,
            hedge=hedge,
            request_id=request.request_id,
            service=request.service,
            repeats=request.repeats,
            attempts=request.attempts,
            idempotent=request.idempotent,
            delivery=request.delivery,
            deadline_ms=request.deadline_ms,
            predicted_ms=request.predicted_ms,
            credit=credit,
            now_ms=now_ms,
        )


def _misses_deadline(request: RetryRequest, start_ms: int) -> bool:
    if request.deadline_ms is None:
        return False
    return start_ms + request.predicted_ms >= request.deadline_ms
