"""Whether a failed attempt may be followed by another, and when.

Retries of a service are paid from a budget that fresh requests fill: each
adds ``ratio``, each retry or hedge takes 1. With ``n`` fresh requests since
the start, at most ``max(1, ratio * n)`` were taken, so attempts for each
request stay at or under ``1 + ratio`` from the ``1 / ratio``-th request on.
The one initial retry is a loan: the first ``1 / ratio`` requests add nothing.
At most `MAX_CREDIT` is kept, so an outage after good times adds no more than
that number of retries to ``ratio * n``. Budgets of several daemons add up to
the same ratio, since each counts its own fresh requests.
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
HEDGE_AFTER_RATIO = 2.0


class RetryBudget:
    """Budget of one service.

    Parameters
    ----------
    ratio : float
        Retries for each fresh request.
    max_credit : float
        Most retries kept for later.
    """

    def __init__(self, ratio: float = RETRY_RATIO, max_credit: float = MAX_CREDIT):
        if not 0.0 < ratio <= 1.0:
            raise ValueError(f"the ratio must be over 0 and at most 1, not {ratio}")
        self._ratio = ratio
        self._max_credit = max(1.0, max_credit)
        self._loan_credit = 1.0
        self.credit = 1.0

    def count_first_attempt(self) -> None:
        """Count a fresh request, which first pays off the initial retry."""
        if self._loan_credit > 1e-9:
            self._loan_credit -= self._ratio
            return
        self.credit = min(self._max_credit, self.credit + self._ratio)

    def try_consume(self) -> bool:
        """Pay for one retry; return ``False`` without credit."""
        if self.credit < 1.0 - 1e-9:
            return False
        self.credit = max(0.0, self.credit - 1.0)
        return True


class RetryRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A failed or slow attempt and its request.

    Attributes
    ----------
    repeats : int
        The class's repeats; 0 for work that runs at most once.
    attempts : int
        Attempts made so far, 1 or more.
    idempotent : bool
        Whether it may run again.
    delivery : Delivery or None
        What is known of the failed attempt.
    deadline_ms : int or None
        When the request is given up.
    predicted_ms : float
        Predicted time of another attempt.
    retry_after_ms : int or None
        The endpoint's own hint.
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
    """Whether to try again, after how long, and why.

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
    """Retries of one daemon, with a budget for each service."""

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

        An allowed retry is paid for at once.
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
        """Decide on a second attempt beside a slow one, for idempotent work.

        It must have taken twice what was predicted, and comes from the same
        repeats and budget as retries.
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
        if not self.budget(request.service).try_consume():
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
