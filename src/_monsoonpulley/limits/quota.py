"""Customers' quotas over all instances.

Every instance keeps a token bucket for each customer, for the usage of all
instances together. It charges its own requests at once and those of its peers when
their digests arrive. While some instances are unreachable, the bucket refills only
by the share of the reachable ones, so that the groups of a partitioned network
together stay within the quota.
"""

from __future__ import annotations

import msgspec

from ..fleet.model import Configuration, Quota
from ..ids import CustomerId, InstanceId

OVERDRAFT_SHARE = 0.4
"""Share of the platform's tolerance beyond a quota that may be overdrawn, divided
between the instances; the rest covers usage that digests report late."""


class QuotaRefusal(msgspec.Struct, frozen=True):
    """Refusal of a request beyond its customer's quota, with a retry time."""

    retry_after_ms: int
    level: float


class _Bucket(msgspec.Struct):
    quota: Quota
    level: float
    refilled_ms: int
    overdraft_from_ms: int | None
    """Start of the window over which the overdraft grows; None once it is full."""

    total_used: float = 0.0


class QuotaLedger:
    """Token buckets of the customers.

    Parameters
    ----------
    window_s, overage, slack : float
        The platform's window and tolerance; see `Bounds`.
    starts_full : bool
        Whether nothing can have been used before: the deployment's first start.
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
        """Apply the customers' quotas and keep the bucket levels."""
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
        # Peers may already have served the customers of later configurations.
        self._starts_full = False

    def set_tolerance(self, window_s: float, overage: float, slack: float) -> None:
        """Set the platform's window and tolerance."""
        self._window_s = window_s
        self._overage = overage
        self._slack = slack

    def set_member_counts(
        self, reachable_count: int, member_count: int, now_ms: int
    ) -> None:
        """Set how many instances there are and how many are reachable.

        Parameters
        ----------
        reachable_count, member_count : int
            Both include this instance.
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
            Limit of the tokens to generate; None if the request gives no count.
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
        """Charge ``cost`` to the customer's quota, or return a refusal."""
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
        """Credit the cost of a request that did not run."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.level = min(bucket.level + cost, bucket.quota.burst)
            bucket.total_used -= cost

    def used_by_customer(self) -> dict[str, float]:
        """Return each customer's usage on this instance since its start."""
        return {
            customer: bucket.total_used for customer, bucket in self._buckets.items()
        }

    def record_peer_usage(
        self, peer: InstanceId, incarnation: int, used: dict[str, float]
    ) -> None:
        """Charge what a peer has used since its last full digest.

        Digests that aren't full carry no usage: ``used`` is empty.
        """
        if not used:
            return
        previous_incarnation, previous = self._peer_usage.get(peer, (incarnation, None))
        self._peer_usage[peer] = (incarnation, used)
        if previous is None:
            # The peer's usage so far dates from before this bucket.
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
        """Return how far the level may fall below zero.

        After a restart the overdraft grows over one window, as the previous
        process may have used its own within the same window.
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
