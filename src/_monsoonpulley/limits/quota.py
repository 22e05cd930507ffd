"""Customers' quotas over all instances.

Every instance keeps a token bucket for each customer, for the usage of all
instances together. It charges its own requests at once and those of its peers when
their digests arrive. While some instances are unreachable, the bucket refills only
by the share of the reachable ones, so that the groups of a partitioned network
together stay within the quota. What an unreachable instance used after its last
digest is estimated as what this one used since, until its digests arrive again.
"""

from __future__ import annotations

import msgspec

from ..fleet.model import Configuration, Quota
from ..ids import CustomerId, InstanceId

OVERDRAFT_SHARE = 0.2
"""Share of the platform's tolerance beyond a quota that may be overdrawn by all
instances together; the rest covers usage that digests report late. With 0.4, a customer
at six times its usual at 65 instances exceeded the whole tolerance by a tenth."""


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


class _PeerUsage(msgspec.Struct):
    """Usage of a peer as of its last digest.

    Attributes
    ----------
    used : dict
        The peer's usage by customer since its start.
    own_used : dict
        Usage of this instance when the digest arrived.
    estimated : dict
        Usage charged for the time since, while the peer is unreachable.
    """

    incarnation: int
    used: dict[str, float]
    own_used: dict[str, float]
    estimated: dict[str, float] = {}


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
        self._peer_usage: dict[InstanceId, _PeerUsage] = {}
        self._own_used: dict[str, float] | None = None
        self._reachable_ids: frozenset[InstanceId] = frozenset()
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
        self._own_used = None
        # Peers may already have served the customers of later configurations.
        self._starts_full = False

    def set_tolerance(self, window_s: float, overage: float, slack: float) -> None:
        """Set the platform's window and tolerance."""
        self._window_s = window_s
        self._overage = overage
        self._slack = slack

    def set_members(
        self, reachable_ids: frozenset[InstanceId], member_count: int, now_ms: int
    ) -> None:
        """Set which other instances are reachable, and how many there are.

        Parameters
        ----------
        reachable_ids : frozenset of InstanceId
            The other instances whose digests arrive.
        member_count : int
            Number of all instances, this one included.
        """
        member_count = max(len(reachable_ids) + 1, member_count)
        if (reachable_ids, member_count) == (self._reachable_ids, self._member_count):
            return
        for bucket in self._buckets.values():
            self._refill(bucket, now_ms)
        for peer in self._reachable_ids - reachable_ids:
            self._charge_estimate(peer)
        self._reachable_ids, self._member_count = reachable_ids, member_count

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
        self._own_used = None
        return None

    def refund(self, customer: CustomerId, cost: float) -> None:
        """Credit the cost of a request that did not run."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.level = min(bucket.level + cost, bucket.quota.burst)
            bucket.total_used -= cost
            self._own_used = None

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
        previous = self._peer_usage.get(peer)
        self._peer_usage[peer] = _PeerUsage(incarnation, used, self._own_usage())
        if previous is None:
            # The peer's usage so far dates from before this bucket.
            return
        charged = previous.estimated
        if previous.incarnation == incarnation:
            charged = _sum(charged, previous.used)
        for customer, total in used.items():
            bucket = self._buckets.get(CustomerId(customer))
            if bucket is not None:
                bucket.level -= total - charged.get(customer, 0.0)

    def _charge_estimate(self, peer: InstanceId) -> None:
        """Charge what a peer may have used unnoticed before its loss was detected.

        Callers are spread over the instances, so that it presumably used as much as
        this one since its last digest.
        """
        usage = self._peer_usage.get(peer)
        if usage is None or usage.estimated:
            return
        for customer, bucket in self._buckets.items():
            estimate = bucket.total_used - usage.own_used.get(customer, 0.0)
            if estimate > 0:
                usage.estimated[customer] = estimate
                bucket.level -= estimate

    def _own_usage(self) -> dict[str, float]:
        """Return this instance's usage; the same object until it changes."""
        if self._own_used is None:
            self._own_used = self.used_by_customer()
        return self._own_used

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
        overdraft = OVERDRAFT_SHARE * tolerated * self._reachable_share()
        if bucket.overdraft_from_ms is None:
            return overdraft
        window_share = (now_ms - bucket.overdraft_from_ms) / (self._window_s * 1000)
        if window_share >= 1:
            bucket.overdraft_from_ms = None
        return overdraft * min(1.0, max(0.0, window_share))

    def _reachable_share(self) -> float:
        """Return the share of the instances that this one knows the usage of."""
        return (len(self._reachable_ids) + 1) / self._member_count

    def _refill(self, bucket: _Bucket, now_ms: int) -> None:
        share = self._reachable_share()
        elapsed_s = max(0, now_ms - bucket.refilled_ms) / 1000
        bucket.refilled_ms = now_ms
        max_level = bucket.quota.burst * share
        gained = bucket.quota.rate_per_s * share * elapsed_s
        bucket.level = min(bucket.level + gained, max_level)


def _sum(first: dict[str, float], second: dict[str, float]) -> dict[str, float]:
    """Return the sums of the values of both by key."""
    if not first:
        return second
    keys = first.keys() | second.keys()
    return {key: first.get(key, 0.0) + second.get(key, 0.0) for key in keys}
