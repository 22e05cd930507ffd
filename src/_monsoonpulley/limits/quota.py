"""Customers' quotas over all instances.

Answers for load beyond what a customer is allowed: every instance keeps a token
bucket for each customer that stands for all instances together. Its own
requests are taken from it at once, those of the others as their digests tell.
While some instances are not heard, the bucket fills only by the share of those
that are, so that all groups together stay within the quota.
"""

from __future__ import annotations

import msgspec

from ..fleet.model import Configuration, Quota
from ..ids import CustomerId, InstanceId

OVERDRAFT_SHARE = 0.4
"""Share of what the platform tolerates beyond a quota that is lent out, divided
between the instances; the rest covers what digests report late."""


class QuotaRefusal(msgspec.Struct, frozen=True):
    """A request beyond its customer's quota, and when there may be room."""

    retry_after_ms: int
    level: float


class _Bucket(msgspec.Struct):
    quota: Quota
    level: float
    refilled_ms: int
    overdraft_from_ms: int | None
    """Start of the window over which the loan grows; None once it is lent whole."""

    total_used: float = 0.0


class QuotaLedger:
    """What each customer may still use.

    Parameters
    ----------
    window_s, overage, slack : float
        The platform's window and tolerance: see `Bounds`.
    starts_full : bool
        Whether nothing can have been used before: the first start of all.
    """

    def __init__(
        self, window_s: float, overage: float, slack: float, *, starts_full: bool
    ):
        self._window_s = window_s
        self._overage = overage
        self._slack = slack
        self._starts_full = starts_full
        self._buckets: dict[CustomerId, _Bucket] = {}
        self._peer_usage: dict[InstanceId, tuple[int, dict[str, float]]] = {}
        self._reachable_count = 1
        self._member_count = 1

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Take over the customers' quotas; levels stay where they are."""
        buckets: dict[CustomerId, _Bucket] = {}
        for customer in configuration.customers.values():
            quota = customer.quota
            if quota is None:
                continue
            bucket = self._buckets.get(customer.id)
            if bucket is None:
                bucket = self._new_bucket(quota, now_ms)
            else:
                self._refill(bucket, now_ms)
                bucket.quota = quota
                bucket.level = min(bucket.level, quota.burst)
            buckets[customer.id] = bucket
        self._buckets = buckets
        # Customers of a later configuration may have been served elsewhere.
        self._starts_full = False

    def set_tolerance(self, window_s: float, overage: float, slack: float) -> None:
        """Take over a tolerance that changed."""
        self._window_s = window_s
        self._overage = overage
        self._slack = slack

    def set_member_counts(
        self, reachable_count: int, member_count: int, now_ms: int
    ) -> None:
        """Take over how many instances there are, and how many are heard.

        Parameters
        ----------
        reachable_count, member_count : int
            Both with this instance itself.
        """
        if (reachable_count, member_count) == (
            self._reachable_count,
            self._member_count,
        ):
            return
        for bucket in self._buckets.values():
            self._refill(bucket, now_ms)
        self._reachable_count, self._member_count = (
            reachable_count,
            max(reachable_count, member_count),
        )

    def cost(
        self, customer: CustomerId, prompt_tokens: int, output_tokens: int | None
    ) -> float:
        """Return what a request costs its customer.

        Parameters
        ----------
        prompt_tokens : int
            Tokens in the prompt.
        output_tokens : int or None
            Most tokens to generate; None if the request names no tokens.
        """
        bucket = self._buckets.get(customer)
        if bucket is None or not bucket.quota.counts_tokens:
            return 1.0
        if output_tokens is None:
            return float(bucket.quota.plain_tokens)
        return float(prompt_tokens + output_tokens)

    def consume(
        self, customer: CustomerId, cost: float, now_ms: int
    ) -> QuotaRefusal | None:
        """Take ``cost`` from the customer's quota, or say when to come back."""
        bucket = self._buckets.get(customer)
        if bucket is None:
            return None
        self._refill(bucket, now_ms)
        shortfall = cost - bucket.level - self._overdraft(bucket, now_ms)
        if shortfall > 0:
            rate_per_ms = bucket.quota.rate_per_s / 1000
            wait_ms = shortfall / rate_per_ms if rate_per_ms else self._window_s * 1000
            return QuotaRefusal(max(1, round(wait_ms)), bucket.level)
        bucket.level -= cost
        bucket.total_used += cost
        return None

    def refund(self, customer: CustomerId, cost: float) -> None:
        """Return what a request took that did not run."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.level = min(bucket.level + cost, bucket.quota.burst)
            bucket.total_used -= cost

    def used_by_customer(self) -> dict[str, float]:
        """Return what was used here so far, by customer, for the digest."""
        return {
            customer: bucket.total_used for customer, bucket in self._buckets.items()
        }

    def record_peer_usage(
        self, peer: InstanceId, incarnation: int, used: dict[str, float]
    ) -> None:
        """Subtract what another instance has used since its last full digest.

        ``used`` is empty in other digests, which say nothing of it.
        """
        if not used:
            return
        previous_incarnation, previous = self._peer_usage.get(peer, (incarnation, None))
        self._peer_usage[peer] = (incarnation, used)
        if previous is None:
            # What it used before this instance started lies before the bucket.
            return
        if previous_incarnation != incarnation:
            previous = {}
        for customer, total in used.items():
            bucket = self._buckets.get(CustomerId(customer))
            if bucket is not None:
                bucket.level -= total - previous.get(customer, 0.0)

    def _new_bucket(self, quota: Quota, now_ms: int) -> _Bucket:
        if self._starts_full:
            return _Bucket(quota, quota.burst, now_ms, overdraft_from_ms=None)
        return _Bucket(quota, 0.0, now_ms, overdraft_from_ms=now_ms)

    def _overdraft(self, bucket: _Bucket, now_ms: int) -> float:
        """Return what is lent beyond the level.

        After a restart it grows over one window, as the process before may have
        used its loan within the same one.
        """
        allowed = bucket.quota.rate_per_s * self._window_s + bucket.quota.burst
        tolerated = allowed * self._overage + self._slack
        overdraft = OVERDRAFT_SHARE * tolerated / self._member_count
        if bucket.overdraft_from_ms is None:
            return overdraft
        window_share = (now_ms - bucket.overdraft_from_ms) / (self._window_s * 1000)
        if window_share >= 1:
            bucket.overdraft_from_ms = None
        return overdraft * min(1.0, max(0.0, window_share))

    def _refill(self, bucket: _Bucket, now_ms: int) -> None:
        share = self._reachable_count / self._member_count
        elapsed_s = max(0, now_ms - bucket.refilled_ms) / 1000
        bucket.refilled_ms = now_ms
        max_level = bucket.quota.burst * share
        gained = bucket.quota.rate_per_s * share * elapsed_s
        bucket.level = min(bucket.level + gained, max_level)
