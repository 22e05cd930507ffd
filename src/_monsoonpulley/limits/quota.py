"""Customers' quotas over all instances.

Every instance keeps an account of each customer's usage over the sliding window of the
quotas, for all instances together: its own requests at once, those of its peers when
their digests arrive, and an estimate of what these used since. While a customer
requests more than its quota leaves, each instance admits the same share of the requests
that reach it, so that all of them together admit what is left. In a partitioned
network, the groups of instances that hear each other divide the quota by their sizes.
"""

from __future__ import annotations

import math
import random

import msgspec

from ..fleet.model import Configuration, Quota
from ..ids import CustomerId, InstanceId
from .quotademand import (
    DEMAND_MEMORY_MS,
    RETURN_CLASS,
    DemandRates,
    KindCosts,
    PeerDemand,
    Rates,
    share_in_order,
)
from .quotawindow import SLOT_COUNT, SlotUsage, departing, reserve_for

AIM_SHARE = 0.28
"""Share of the platform's tolerance beyond a quota that admission aims at, so that
what is within the quota is admitted in spite of errors."""

MAX_AIM_AGE_MS = 2_000
"""Mean age of digests from which on admission aims at the quota alone: at eight times
its usual load, a customer uses most of a window's quota in this time."""

LIMIT_SHARE = 0.4
"""Share of the tolerance that known and estimated usage may reach; the rest covers
errors of the estimate and the shares of lost instances."""

RELEASED_SHARE = 0.3
"""Share of the tolerance for which the larger part of the instances takes over the
shares of those that it doesn't hear. They may still use these, too."""

STEADY_SHARE = 0.5
"""Part of its rate that a customer is left at all times, also after a burst that used
up the window, and in the first window of an instance whose peers don't tell what is
left. Customers usually use about half of their rates."""

REFRESH_MS = 20
"""Interval of updating the estimates: at eight times a customer's usual load, a tenth
of a usual second of work arrives in it."""

DEPARTURE_MS = 200
"""Time for which the usage that leaves the window is foreseen, most of a slot."""

PROFILE_MS = 2_000
"""Time for which a window's usage is told after an instance has started: two intervals
of the slowest digests."""

REPORTS_MARK = ""
"""Key in the digests of senders that report customers near their quotas."""

MIN_HORIZON_MS = 200
"""Least time over which the rest of a quota is spread, to admit a steady share."""

HORIZON_AGES = 1.5
"""The same as a multiple of the digests' mean age: corrections are made no faster than
their effect is seen."""

OVERDUE_FACTOR = 3.0
"""A peer is overdue after this multiple of the digests' median age, one and a half
intervals."""

MAX_AGE_MS = 3_000
"""Longest time for which peers' usage is estimated; see `BUNDLED_SILENCE_MS`."""

RECENT_MS = 400.0
"""Time constant of the peers' recent usage, about an interval of full digests."""

PRESSURE_FACTOR = 2.0
"""Demand is reported to peers from on when the quota allows less than this multiple
of it, so that they know it before the quota is used up."""

PRESSURE_MEMORY_MS = 2_000
"""Time for which demand is reported further: the oldest digests are that late."""


MIN_RETRY_MS = 50
"""Shortest retry time: callers open a new connection first. A request with less time
spent is new, as deadlines of new ones differ by less."""

RETRY_LEFT_SHARE = 0.33
"""Callers honour a retry time up to a third of the time that they have left."""

PLACE_SHARE = 0.25
"""Part of what is allowed for which places are given to refused callers; the rest is
for new requests, which have not waited yet."""

RETURN_LIMIT_SHARE = 0.12
"""Further share of the tolerance for requests that return, as the time of their places
was told before the usage until then was known."""

RETURN_BURST_S = 1.0
"""Time of a quota's rate that may be used at once by requests that return: a refused
caller of a second ago may have a request as large as a usual burst."""

MAX_SAVED_PLACES_MS = 1_000
"""Places that were not given are kept for so long, about the time until one in a large
fleet is asked for again."""

UNPRESSED_SHARE = 0.5
"""Share of a quota that is presumed used before the start of this process while no
peer reports the customer near its quota: customers usually use about half of it."""


class QuotaRefusal(msgspec.Struct, frozen=True):
    """Refusal of a request beyond its customer's quota, with a retry time.

    Attributes
    ----------
    retry_after_ms : int
        When to return; beyond the caller's deadline if it couldn't be served then.
    level : float
        Cost of the largest request that would be admitted.
    share : float
        Share of the requests of the same class that is admitted.
    request_class : int
        Order within the quota by rank and mean cost; -1 for one that returned.
    place_ms : int or None
        Time until the place that was reserved for it; None if there is none.
    fleet_used : float
        What all instances used in the last window, as known here.
    """

    retry_after_ms: int
    level: float
    share: float = 0.0
    request_class: int = 0
    place_ms: int | None = None
    fleet_used: float = 0.0


class _Peer(msgspec.Struct):
    """What a peer's last full digest said.

    Attributes
    ----------
    used : dict
        The peer's usage by customer since its start.
    known_ms : float
        Time at which it presumably made that digest.
    is_lost : bool
        Whether it has become unreachable since.
    """

    incarnation: int
    used: dict[str, float]
    known_ms: float
    is_lost: bool = False


class _Account:
    """Usage and demand of one customer."""

    def __init__(
        self,
        quota: Quota,
        window_ms: float,
        presumed_until_ms: int | None,
        now_ms: int,
        rng: random.Random,
    ):
        self.quota = quota
        self.usage = SlotUsage(window_ms, now_ms)
        self.presumed_until_ms = presumed_until_ms
        """Time before which usage isn't known, and presumed to be all of the quota."""
        self.total_used = 0.0
        self.demand = DemandRates()
        self.peer_demand = PeerDemand()
        self.recent_peer_usage = 0.0
        self.recent_updated_ms = now_ms
        self.used_per_instance_per_ms = 0.0
        self.refreshed_ms: int | None = None
        self.room = 0.0
        self.shares: dict[int, float] = {}
        self.default_share = 1.0
        self.pressed_until_ms: int | None = None
        self.kinds = KindCosts()
        self.place_per_ms = 0.0
        self.return_room = 0.0
        self.next_place_ms: float | None = None
        self._rng = rng
        self._turns: dict[int, float] = {}

    def take_turn(self, request_class: int) -> bool:
        """Return whether the next request of a class is among those to admit.

        Turns are spaced evenly; where they start is random, so that the instances
        don't admit or refuse at the same time.
        """
        share = self.shares.get(request_class, self.default_share)
        if share >= 1:
            return True
        turn = self._turns.get(request_class)
        turn = (self._rng.random() if turn is None else turn) + share
        is_due = turn >= 1
        self._turns[request_class] = turn - is_due
        return is_due

    def find_place(self, cost: float, now_ms: int, latest_ms: float) -> int | None:
        """Reserve a part of what will be allowed; return the time until then.

        None if none is free before ``latest_ms``. Every instance gives its share of
        the places; how far the first one is off is random.
        """
        if self.place_per_ms <= 0:
            return None
        length_ms = cost / self.place_per_ms
        if self.next_place_ms is None:
            self.next_place_ms = now_ms + self._rng.random() * length_ms
        at_ms = max(self.next_place_ms, now_ms + MIN_RETRY_MS)
        if at_ms > latest_ms:
            return None
        oldest_ms = now_ms - MAX_SAVED_PLACES_MS
        self.next_place_ms = max(self.next_place_ms, oldest_ms) + length_ms
        return math.ceil(at_ms - now_ms)

    def add_recent(self, cost: float, now_ms: int) -> None:
        """Count usage of a peer as recent."""
        self.recent_peer_usage = self.recent(now_ms) + cost
        self.recent_updated_ms = now_ms

    def recent(self, now_ms: int) -> float:
        """Return the recent usage of peers."""
        elapsed_ms = now_ms - self.recent_updated_ms
        return self.recent_peer_usage * math.exp(-elapsed_ms / RECENT_MS)


class QuotaLedger:
    """Accounts of the customers.

    Parameters
    ----------
    window_s, overage, slack : float
        The platform's window and tolerance; see `Bounds`.
    starts_full : bool
        Whether nothing can have been used before: the deployment's first start.
    rng : random.Random or None
        Spreads the turns of the instances; None for a fixed sequence.
    """

    def __init__(
        self,
        window_s: float,
        overage: float,
        slack: float,
        *,
        starts_full: bool,
        rng: random.Random | None = None,
    ):
        self._window_s = window_s
        self._overage = overage
        self._slack = slack
        self._starts_full = starts_full
        self._was_first_start = starts_full
        self._started_ms: int | None = None
        self._peer_started_ms: int | None = None
        self._rng = rng if rng is not None else random.Random(1)
        self._accounts: dict[CustomerId, _Account] = {}
        self._peers: dict[InstanceId, _Peer] = {}
        self._reachable_ids: frozenset[InstanceId] = frozenset()
        # Peers that report the customers near their quotas; older builds don't.
        self._reporting_peers: set[InstanceId] = set()
        self._member_count = 1
        self._recent_ms = 0.0
        self._recent_updated_ms = 0
        self._due_ms = self._overdue_ms = 0.0
        self._ages_updated_ms = -REFRESH_MS
        self._slot_ms = window_s * 1000 / SLOT_COUNT
        self._slot_index: int | None = None
        # Instances whose usage is in each slot, this one included.
        self._coverage = [1] * (SLOT_COUNT + 1)
        self._coverage_version = 0
        self._peer_shares_key: tuple[float, int, int] | None = None
        self._cached_peer_shares: list[float] = []

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Apply the customers' quotas and keep their usage."""
        accounts: dict[CustomerId, _Account] = {}
        for customer in configuration.customers.values():
            quota = customer.quota
            if quota is None:
                continue
            account = self._accounts.get(customer.id)
            if account is None:
                account = self._new_account(quota, now_ms)
            else:
                self._change_quota(account, quota)
            accounts[customer.id] = account
        self._accounts = accounts
        if self._started_ms is None:
            self._started_ms = now_ms
        # Peers may already have served the customers of later configurations.
        self._starts_full = False

    def set_tolerance(self, window_s: float, overage: float, slack: float) -> None:
        """Set the platform's window and tolerance."""
        self._overage = overage
        self._slack = slack
        if window_s == self._window_s:
            return
        self._window_s = window_s
        self._slot_ms = window_s * 1000 / SLOT_COUNT
        self._slot_index = None
        for account in self._accounts.values():
            account.usage = SlotUsage(window_s * 1000, 0)
            account.presumed_until_ms = account.refreshed_ms
            account.refreshed_ms = None

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
        self._advance(now_ms)
        for name in self._reachable_ids - reachable_ids:
            self._lose_peer(name, now_ms)
        self._reachable_ids, self._member_count = reachable_ids, member_count
        self._ages_updated_ms = -REFRESH_MS
        for account in self._accounts.values():
            account.refreshed_ms = None

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
        account = self._accounts.get(customer)
        if account is None or not account.quota.counts_tokens:
            return 1.0
        if output_tokens is None:
            return float(account.quota.plain_tokens)
        return float(prompt_tokens + output_tokens)

    def consume(
        self,
        customer: CustomerId,
        cost: float,
        now_ms: int,
        *,
        kind: str = "",
        rank: int = 0,
        left_ms: int | None = None,
        spent_ms: int = 0,
    ) -> QuotaRefusal | None:
        """Charge ``cost`` to the customer's quota, or return a refusal.

        Addresses customers that request several times their quota: what is urgent and
        cheap goes first, and a caller gets a retry time that it can use only if there
        is a place for it.

        Parameters
        ----------
        customer, cost, now_ms : CustomerId, float, int
            Who sends the request, what it costs, and the monotonic time.
        kind, rank : str, int
            The request's route, and its priority; 0 is the most urgent.
        left_ms : int or None
            Time until the caller's deadline; None if it isn't known.
        spent_ms : int
            Time since the caller first sent it. Requests that return after a refusal
            go before new ones.
        """
        account = self._accounts.get(customer)
        if account is None:
            return None
        request_class = account.kinds.record(kind, rank, cost)
        if spent_ms >= MIN_RETRY_MS:
            request_class = RETURN_CLASS
        account.demand.record(request_class, cost, now_ms)
        if self._is_due(account, now_ms):
            self._refresh(account, now_ms)
        room = account.room
        if request_class == RETURN_CLASS:
            room += account.return_room
        if room < cost:
            return self._refuse(
                account, cost, cost - room, request_class, left_ms, now_ms
            )
        if not account.take_turn(request_class):
            return self._refuse(account, cost, cost, request_class, left_ms, now_ms)
        account.usage.add_own(cost, now_ms)
        account.total_used += cost
        account.room -= cost
        return None

    def _refuse(
        self,
        account: _Account,
        cost: float,
        missing: float,
        request_class: int,
        left_ms: int | None,
        now_ms: int,
    ) -> QuotaRefusal:
        """Return a refusal, with a place if one is free while the caller waits."""
        retry_ms = self._wait_ms(account, missing, now_ms)
        place_ms = None
        if left_ms is not None:
            if request_class != RETURN_CLASS:
                latest_ms = now_ms + RETRY_LEFT_SHARE * left_ms
                place_ms = account.find_place(cost, now_ms, latest_ms)
            # Without a place, the retry time tells the caller not to wait for one.
            retry_ms = max(retry_ms, left_ms + 1) if place_ms is None else place_ms
        return QuotaRefusal(
            retry_ms,
            account.room,
            share=account.shares.get(request_class, account.default_share),
            request_class=request_class,
            place_ms=place_ms,
            fleet_used=self._fleet_used(account, now_ms),
        )

    def refund(self, customer: CustomerId, cost: float) -> None:
        """Credit the cost of a request that did not run."""
        account = self._accounts.get(customer)
        if account is not None and cost:
            account.usage.take_back(cost)
            account.total_used -= cost
            account.room += cost

    def used_by_customer(self) -> dict[str, float]:
        """Return each customer's usage on this instance since its start."""
        return {
            customer: account.total_used for customer, account in self._accounts.items()
        }

    def offered_by_customer(self, now_ms: int) -> dict[str, dict[int, int]]:
        """Return what customers near their quotas request here, for the digest.

        Rates of cost per second by class of requests, the mark of senders that report
        them beside.
        """
        if not self._accounts:
            return {}
        offered = {
            customer: self._offered(account, now_ms)
            for customer, account in self._accounts.items()
            if account.pressed_until_ms is not None
            and now_ms < account.pressed_until_ms
        }
        if any(a.presumed_until_ms is not None for a in self._accounts.values()):
            # This process doesn't know yet which customers are near their quotas.
            return offered
        return {**offered, REPORTS_MARK: {}}

    def _offered(self, account: _Account, now_ms: int) -> dict[int, int]:
        offered = {
            request_class: round(rate)
            for request_class, rate in account.demand.rates(now_ms).items()
            if rate >= 0.5
        }
        return offered

    def profiles(self, now_ms: int) -> dict[str, tuple[int, ...]]:
        """Return the usage of customers near their quotas over the window.

        It is for the digests to instances that have started lately, and empty while
        there are none.
        """
        started_ms = self._peer_started_ms
        if started_ms is None or now_ms - started_ms > PROFILE_MS:
            return {}
        return {
            customer: account.usage.profile(
                now_ms, self._unreported(account, 0, now_ms)
            )
            for customer, account in self._accounts.items()
            if account.presumed_until_ms is None
            and account.pressed_until_ms is not None
            and now_ms < account.pressed_until_ms
        }

    def adopt_profiles(self, profiles: dict[str, tuple[int, ...]], now_ms: int) -> None:
        """Take over a peer's knowledge of the window before the own start."""
        for customer, profile in profiles.items():
            account = self._accounts.get(CustomerId(customer))
            if account is None or account.presumed_until_ms is None or not profile:
                continue
            self._advance(now_ms)
            account.usage.adopt(profile, now_ms)
            account.presumed_until_ms = None
            account.refreshed_ms = None

    def fleet_usage(self, now_ms: int) -> dict[str, float]:
        """Return each customer's usage in the last window, on all instances.

        It includes the estimate of what peers have used since their last digests.
        """
        return {
            customer: self._fleet_used(account, now_ms)
            for customer, account in self._accounts.items()
        }

    def _fleet_used(self, account: _Account, now_ms: int) -> float:
        slots = account.usage.by_slot(now_ms, [1.0] * (SLOT_COUNT + 1))
        return sum(slots) + self._unreported(account, 0.0, now_ms)

    def record_peer_usage(
        self,
        peer: InstanceId,
        incarnation: int,
        used: dict[str, float],
        now_ms: int,
        *,
        offered: dict[str, dict[int, int]] | None = None,
        lag_ms: float = 0.0,
    ) -> None:
        """Charge what a peer has used since its last full digest.

        Digests that aren't full carry no usage: ``used`` is empty.

        Parameters
        ----------
        peer, incarnation : InstanceId, int
            The sender and its start.
        used : dict
            Its usage by customer since its start.
        now_ms : int
            Monotonic time.
        offered : dict or None
            What is requested at the peer; see `offered_by_customer`.
        lag_ms : float
            Time for which the digest was presumably on its way.
        """
        if not used:
            return
        self._advance(now_ms)
        known_ms = now_ms - lag_ms
        previous = self._peers.get(peer)
        self._peers[peer] = _Peer(incarnation, used, known_ms)
        self._record_offers(peer, offered or {})
        if peer not in self._reachable_ids:
            reachable_ids = self._reachable_ids | {peer}
            self.set_members(reachable_ids, self._member_count, now_ms)
        if previous is None:
            self._peer_started_ms = now_ms
            if not self._was_first_start:
                # The peer's usage so far may date from before the window.
                return
            previous = _Peer(incarnation, {}, self._started_ms or 0)
        since_ms = previous.known_ms
        known_ms = max(known_ms, since_ms)
        self._recent_ms = self._decayed_recent_ms(now_ms) + known_ms - since_ms
        if previous.is_lost:
            self._cover(since_ms, now_ms, 1)
        base = previous.used
        if previous.incarnation != incarnation:
            base = {}
            self._peer_started_ms = now_ms
            self._charge_estimate(since_ms, now_ms)
        for customer, total in used.items():
            delta = total - base.get(customer, 0.0)
            if not delta:
                continue
            account = self._accounts.get(CustomerId(customer))
            if account is not None:
                if previous.is_lost:
                    account.usage.add_alike(delta, since_ms, now_ms)
                else:
                    account.usage.add_peers(delta, since_ms, known_ms, now_ms)
                account.add_recent(delta, now_ms)

    def _record_offers(
        self, peer: InstanceId, offered: dict[str, dict[int, int]]
    ) -> None:
        if REPORTS_MARK in offered:
            self._reporting_peers.add(peer)
        else:
            self._reporting_peers.discard(peer)
        for customer, account in self._accounts.items():
            account.peer_demand.update(peer, offered.get(customer))

    def _charge_estimate(self, since_ms: float, now_ms: int) -> None:
        """Charge what a process that ended may have used after its last digest."""
        span_ms = min(now_ms - since_ms, self._mean_age_ms(now_ms))
        for account in self._accounts.values():
            estimate = account.used_per_instance_per_ms * span_ms
            account.usage.add_peers(estimate, since_ms, since_ms + span_ms, now_ms)

    def _lose_peer(self, name: InstanceId, now_ms: int) -> None:
        self._reporting_peers.discard(name)
        for account in self._accounts.values():
            account.peer_demand.update(name, None)
        peer = self._peers.get(name)
        if peer is not None and not peer.is_lost:
            peer.is_lost = True
            self._cover(peer.known_ms, now_ms, -1)

    # Slots and the instances that they cover

    def _advance(self, now_ms: int) -> None:
        index = int(now_ms // self._slot_ms)
        if self._slot_index is None:
            self._slot_index = index
            return
        if index <= self._slot_index:
            return
        covered = 1 + sum(not peer.is_lost for peer in self._peers.values())
        size = len(self._coverage)
        for new in range(max(self._slot_index + 1, index - SLOT_COUNT), index + 1):
            self._coverage[new % size] = covered
        self._slot_index = index

    def _cover(self, since_ms: float, now_ms: int, change: int) -> None:
        """Change the number of instances whose usage is in the slots since a time."""
        self._coverage_version += 1
        last = int(now_ms // self._slot_ms)
        first = max(last - SLOT_COUNT, int(since_ms // self._slot_ms) + 1)
        size = len(self._coverage)
        for index in range(first, last + 1):
            self._coverage[index % size] = max(1, self._coverage[index % size] + change)

    def _peer_shares(self, group_count: float) -> list[float]:
        """Return the share of the peers' usage that is of this group, by slot."""
        assert self._slot_index is not None
        start = (self._slot_index + 1) % len(self._coverage)
        key = (group_count, start, self._coverage_version)
        if key != self._peer_shares_key:
            counts = self._coverage[start:] + self._coverage[:start]
            self._peer_shares_key = key
            others = group_count - 1
            self._cached_peer_shares = [
                min(1.0, others / (count - 1)) if count > 1 else min(1.0, others)
                for count in counts
            ]
        return self._cached_peer_shares

    # Estimates

    def _is_due(self, account: _Account, now_ms: int) -> bool:
        refreshed_ms = account.refreshed_ms
        return refreshed_ms is None or now_ms - refreshed_ms >= REFRESH_MS

    def _refresh(self, account: _Account, now_ms: int) -> None:
        """Update what is left of a quota, and which share of the requests fits."""
        self._advance(now_ms)
        limit, tolerance = self._limits(account.quota)
        group_count = self._group_count(limit, tolerance)
        is_alone = self._is_alone(account)
        if is_alone:
            group_count = 1.0
        part = group_count / self._member_count
        if is_alone:
            # What the previous process left, also after a burst.
            limit = STEADY_SHARE * account.quota.rate_per_s * self._window_s
        age_ms = self._mean_age_ms(now_ms)
        # The older the digests, the later a burst is noticed.
        aim_share = AIM_SHARE * max(0.0, 1 - age_ms / MAX_AIM_AGE_MS)
        aim = part * (limit + aim_share * tolerance)
        slots = self._slots(account, group_count, aim, now_ms)
        if is_alone:
            demand = dict(account.demand.rates(now_ms))
        else:
            demand = self._fleet_demand(account, now_ms)
        total = sum(demand.values())
        elapsed_ms = REFRESH_MS
        if account.refreshed_ms is not None:
            elapsed_ms = now_ms - account.refreshed_ms
        account.refreshed_ms = now_ms
        unreported = 0.0
        if not is_alone:
            released = (group_count - len(self._reachable_ids) - 1) * limit
            covered = RELEASED_SHARE * tolerance - released / self._member_count
            unreported = self._unreported(account, covered, now_ms)
        horizon_ms = max(MIN_HORIZON_MS, HORIZON_AGES * age_ms)
        elapsed_share = account.usage.elapsed_share(now_ms)
        leaving = departing(slots, self._slot_ms, elapsed_share, DEPARTURE_MS)
        steady_per_ms = part * STEADY_SHARE * account.quota.rate_per_s / 1000
        left = sum(slots) + reserve_for(
            steady_per_ms, slots, self._slot_ms, elapsed_share
        )
        allowed_per_s = (aim - left - unreported) * 1000 / horizon_ms
        allowed_per_s += leaving * 1000 / DEPARTURE_MS
        room = aim - left - unreported
        extra = part * (LIMIT_SHARE - AIM_SHARE) * tolerance
        if account.presumed_until_ms is not None:
            # The previous process may have used its part within the same window.
            since_s = (now_ms - account.presumed_until_ms) / 1000
            extra *= min(1.0, since_s / self._window_s)
        account.room = room + extra
        account.return_room = part * RETURN_LIMIT_SHARE * tolerance
        # Places were given for a part of what is allowed; they go before new requests,
        # up to some time of the quota's rate, as some callers may only seem to return.
        places_per_s = PLACE_SHARE * max(0.0, allowed_per_s)
        account.place_per_ms = places_per_s / (len(self._reachable_ids) + 1) / 1000
        returning = demand.pop(RETURN_CLASS, 0.0)
        at_once = part * account.quota.rate_per_s * RETURN_BURST_S
        served = min(returning, at_once * 1000 / DEMAND_MEMORY_MS)
        account.shares = share_in_order(demand, allowed_per_s - served)
        account.shares[RETURN_CLASS] = served / returning if returning else 1.0
        was_free = account.default_share >= 1.0
        account.default_share = 1.0
        if total > max(0.0, allowed_per_s):
            account.default_share = max(0.0, allowed_per_s) / total
        if allowed_per_s < PRESSURE_FACTOR * total:
            account.pressed_until_ms = now_ms + PRESSURE_MEMORY_MS
        expected = min(total, max(0.0, allowed_per_s)) / 1000
        expected /= len(self._reachable_ids) + 1
        weight = min(1.0, elapsed_ms / max(REFRESH_MS, age_ms))
        if was_free:
            # A burst that has just begun is seen late enough.
            weight = 1.0
        account.used_per_instance_per_ms += weight * (
            expected - account.used_per_instance_per_ms
        )

    def _limits(self, quota: Quota) -> tuple[float, float]:
        """Return what a window allows, and the platform's tolerance beyond."""
        limit = quota.rate_per_s * self._window_s + quota.burst
        return limit, limit * self._overage + self._slack

    def _is_alone(self, account: _Account) -> bool:
        """Return whether an instance keeps to its own share although it hears others.

        It does after its start, until peers tell how much is left.
        """
        return account.presumed_until_ms is not None and not self._reporting_peers

    def _group_count(self, limit: float, tolerance: float) -> float:
        """Return how many instances' shares this group of instances may use.

        The larger part of the instances takes over what the tolerance covers of the
        shares of the others, which may have ended.
        """
        count = len(self._reachable_ids) + 1
        lost_count = self._member_count - count
        if not lost_count or 2 * count <= self._member_count or not limit:
            return count
        covered = RELEASED_SHARE * tolerance / limit * self._member_count
        return count + min(lost_count, covered)

    def _slots(
        self, account: _Account, group_count: float, aim: float, now_ms: int
    ) -> list[float]:
        slots = account.usage.by_slot(now_ms, self._peer_shares(group_count))
        presumed_ms = account.presumed_until_ms
        if presumed_ms is None:
            return slots
        last = account.usage.index_of(presumed_ms)
        first = account.usage.index_of(now_ms) - SLOT_COUNT
        if last < first:
            account.presumed_until_ms = None
            return slots
        presumed = aim / SLOT_COUNT
        if self._reporting_peers and not account.peer_demand.reporting_count:
            presumed *= UNPRESSED_SHARE
        for index in range(min(last - first + 1, len(slots))):
            slots[index] = max(slots[index], presumed)
        slots[0] = min(slots[0], presumed * (1 - account.usage.elapsed_share(now_ms)))
        return slots

    def _fleet_demand(self, account: _Account, now_ms: int) -> Rates:
        """Return the rates of what is requested at all reachable instances."""
        own = account.demand.rates(now_ms)
        peer_count = len(self._reachable_ids)
        if not peer_count:
            return dict(own)
        recent_ms = self._decayed_recent_ms(now_ms)
        used_per_s = 0.0
        if recent_ms > 0:
            used_per_s = account.recent(now_ms) / recent_ms * 1000 * peer_count
        # Peers that don't report refuse nothing: what they used was requested.
        peers = account.peer_demand
        silent_share = max(0.0, 1 - peers.reporting_count / peer_count)
        reported = sum(peers.sums.values())
        added = max(used_per_s * silent_share, used_per_s - reported)
        mix = peers.sums if reported > 0 else own
        total = sum(mix.values())
        if total <= 0:
            mix, total = {0: 1.0}, 1.0
        rates = dict(own)
        for request_class, rate in mix.items():
            peer_rate = peers.sums.get(request_class, 0.0) + added * rate / total
            rates[request_class] = rates.get(request_class, 0.0) + peer_rate
        return rates

    def _unreported(self, account: _Account, covered: float, now_ms: int) -> float:
        """Return what peers presumably used since their last digests.

        Peers whose digests are overdue may have ended: what they would use is left out
        as far as the tolerance covers it.
        """
        self._update_ages(now_ms)
        rate = account.used_per_instance_per_ms
        overdue = rate * self._overdue_ms
        return rate * self._due_ms + max(0.0, overdue - max(0.0, covered))

    def _mean_age_ms(self, now_ms: int) -> float:
        """Return the mean time since the reachable peers' last full digests."""
        self._update_ages(now_ms)
        if not self._reachable_ids:
            return 0.0
        return self._due_ms / len(self._reachable_ids)

    def _update_ages(self, now_ms: int) -> None:
        if 0 <= now_ms - self._ages_updated_ms < REFRESH_MS:
            return
        self._ages_updated_ms = now_ms
        ages_ms = sorted(
            min(MAX_AGE_MS, now_ms - peer.known_ms)
            for name in self._reachable_ids
            if (peer := self._peers.get(name)) is not None
        )
        self._due_ms = self._overdue_ms = 0.0
        if not ages_ms:
            return
        longest_ms = OVERDUE_FACTOR * ages_ms[len(ages_ms) // 2]
        self._due_ms = sum(min(age_ms, longest_ms) for age_ms in ages_ms)
        self._overdue_ms = sum(ages_ms) - self._due_ms

    def _decayed_recent_ms(self, now_ms: int) -> float:
        """Return the time that the peers' recent usage covers."""
        elapsed_ms = now_ms - self._recent_updated_ms
        self._recent_updated_ms = now_ms
        self._recent_ms *= math.exp(-elapsed_ms / RECENT_MS)
        return self._recent_ms

    def _wait_ms(self, account: _Account, missing: float, now_ms: int) -> int:
        """Return after which time so much more is left of a quota."""
        part = (len(self._reachable_ids) + 1) / self._member_count
        rate_per_ms = part * STEADY_SHARE * account.quota.rate_per_s / 1000
        wait_ms = missing / rate_per_ms if rate_per_ms else self._window_s * 1000
        return max(MIN_RETRY_MS, math.ceil(wait_ms))

    def _new_account(self, quota: Quota, now_ms: int) -> _Account:
        presumed_until_ms = None if self._starts_full else now_ms
        return _Account(
            quota, self._window_s * 1000, presumed_until_ms, now_ms, self._rng
        )

    def _change_quota(self, account: _Account, quota: Quota) -> None:
        before, _ = self._limits(account.quota)
        after, _ = self._limits(quota)
        if before > after > 0:
            # What was used under a higher limit must not block the lower one.
            account.usage.scale(after / before)
        account.quota = quota
        account.refreshed_ms = None
