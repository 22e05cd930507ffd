"""Fair shares of the work of a service between its customers.

Load addressed: a customer above its usual load, a large one, or a burst of one kind of
request takes the capacity that others need.

Every instance sums up the work that arrived and the work that was admitted, by service,
rank and customer, with weights that decay, and sends its own sums in full digests.
While less is admitted than arrives, the shares are those of max-min fairness: what
arrives from a customer, up to a level that is the same for all. A customer's share is
for its most urgent requests first. Requests of a customer that has had more than its
share get a shorter limit on waits, so that they are refused first; while nobody waits,
nobody is refused. Kinds of requests keep their order, and a least share each.

The sums are used as ratios alone, so that an instance that hears nobody decides by its
own view, and the parts of a cut fleet by theirs.
"""

from __future__ import annotations

import heapq
import math

import msgspec

from ..ids import CustomerId, InstanceId, ServiceId
from .waitlimit import RANK_FACTOR

TIME_CONSTANT_MS = 3_000
"""Time constant of the sums: that of the measured demand, as bursts last seconds."""

MAX_DIGEST_ENTRIES = 16
"""Entries of a digest, those with the most work: 350 bytes. Digests have to fit into
one packet, and a round of them into what a link of 5 Mbit/s takes at once."""

MAX_ENTRIES = 1_024
"""Bound on the entries that an instance keeps of its own requests: about 200 KB."""

MIN_WORK_MS = 1.0
"""An entry with less work than this is removed."""

REFRESH_MS = 100
"""Interval of computing shares: shorter than that of digests."""

UTILIZATION = 0.85
"""Share of its time that an endpoint works if requests wait for it only shortly."""

ENTRY_REFRESH_MS = 0.1
"""Least interval for each entry: an entry takes about 2 us, so that thousands of
customers take a fiftieth of the process's time."""

MIN_SHORTAGE = 0.02
"""Share of the arriving work that has to be refused before shares matter: single
refusals come from long prompts at busy moments."""

FLOOR_SHARE = 0.4
"""A customer, or a kind, is admitted at least so often, relative to all requests.
Callers need at least a quarter; the rest covers late digests, and requests that are
admitted and not answered before their deadline."""

MIN_FACTOR = 0.1
"""Lowest factor on the limit of a wait. Above 0, as endpoints with a short queue are
never idle: so much of the limit keeps them busy between two requests."""

EXCESS_GAIN = 5.0
"""Fall of the factor for each multiple of the share above the share: what a customer
has beyond its share is missing to others, so it is at most 0.18 of the share."""

ORDER_GAIN = 10.0
"""Fall of the factor of a kind for each unit by which it is admitted more often than a
more urgent one: lowest at 8 in 100, with 5 in 100 allowed."""

WorkEntry = tuple[int, int, int, int]
"""Work that arrived and that was admitted, in ms of an endpoint's time, and requests
that arrived and were admitted, in tenths; as in digests."""

Entries = dict[str, dict[int, dict[str, WorkEntry]]]
"""Entries by service, rank and customer."""

_Key = tuple[ServiceId, int, str]


class _Sums(msgspec.Struct):
    """Decayed sums of one customer's requests of one service and rank."""

    arrived_ms: float = 0.0
    admitted_ms: float = 0.0
    arrived: float = 0.0
    admitted: float = 0.0

    def add(self, other: _Sums, weight: float = 1.0) -> None:
        self.arrived_ms += weight * other.arrived_ms
        self.admitted_ms += weight * other.admitted_ms
        self.arrived += weight * other.arrived
        self.admitted += weight * other.admitted


class Standing(msgspec.Struct, frozen=True):
    """A customer's work and its fair share, among the requests of its kind.

    Attributes
    ----------
    admitted_ms, share_ms : float
        Admitted work of the last seconds, and what would have been fair.
    factor : float
        Factor on the limit of a wait; 1 for a customer within its share.
    """

    admitted_ms: float = 0.0
    share_ms: float = math.inf
    factor: float = 1.0


IN_SHARE = Standing()


class ServiceWork(msgspec.Struct, frozen=True):
    """Recent work of all customers of a service, in ms of its endpoints' time."""

    arrived_ms_per_s: float = 0.0
    admitted_ms_per_s: float = 0.0

    @property
    def is_short(self) -> bool:
        """Whether so much is refused that shares matter."""
        return self.admitted_ms_per_s < (1 - MIN_SHORTAGE) * self.arrived_ms_per_s


class _Shares(msgspec.Struct):
    """Standings in all groups of a service, as of one moment."""

    computed_ms: int
    work: ServiceWork = ServiceWork()
    standings: dict[tuple[int, str], Standing] = {}
    kind_factors: dict[int, float] = {}


class FairShares:
    """Recent work of the customers at all instances, and their fair shares."""

    def __init__(self) -> None:
        self._own: dict[_Key, _Sums] = {}
        self._decayed_ms = 0
        self._peers: dict[InstanceId, Entries] = {}
        self._peer_totals: dict[_Key, list[int]] = {}
        self._shares: dict[ServiceId, _Shares] = {}
        self._capacities: dict[ServiceId, tuple[float, float]] = {}

    def set_capacity(
        self, service: ServiceId, work_ms_per_s: float, lasting_share: float
    ) -> None:
        """Set the capacity of a service; a loss makes shares matter at once.

        Parameters
        ----------
        service : ServiceId
            The service.
        work_ms_per_s : float
            Work that its endpoints do in a second.
        lasting_share : float
            Share that is left of the capacity of the last seconds.
        """
        capacity = (work_ms_per_s, lasting_share)
        previous = self._capacities.get(service, capacity)
        self._capacities[service] = capacity
        if lasting_share < previous[1]:
            self._shares.pop(service, None)

    def record(
        self,
        service: ServiceId,
        rank: int,
        customer: CustomerId,
        work_ms: float,
        now_ms: int,
        *,
        is_admitted: bool,
    ) -> None:
        """Count a request that arrived, and its work if it was admitted.

        Requests that are refused once more after their callers returned don't count.

        Parameters
        ----------
        service : ServiceId
            Its service.
        rank : int
            Priority of the request; 0 is the most urgent.
        customer : CustomerId
            Its customer.
        work_ms : float
            Predicted time that it takes of an endpoint.
        now_ms : int
            Monotonic time.
        is_admitted : bool
            Whether it is sent to an endpoint.
        """
        self._decay(now_ms)
        key = (service, rank, customer)
        sums = self._own.get(key)
        if sums is None:
            if len(self._own) >= MAX_ENTRIES:
                return
            sums = self._own[key] = _Sums()
        admitted = float(is_admitted)
        sums.add(_Sums(work_ms, work_ms * admitted, 1.0, admitted))

    def standing(
        self, service: ServiceId, rank: int, customer: CustomerId, now_ms: int
    ) -> Standing:
        """Return a customer's work and fair share among the requests of a rank."""
        return self._refreshed(service, now_ms).standings.get(
            (rank, customer), IN_SHARE
        )

    def limit_factor(
        self, service: ServiceId, rank: int, customer: CustomerId, now_ms: int
    ) -> float:
        """Return the factor on the longest wait of a customer's requests.

        It is 1 while as much is admitted as arrives, and while only one customer sends
        requests; above 1 for a kind that is served too seldom.
        """
        shares = self._refreshed(service, now_ms)
        standing = shares.standings.get((rank, customer), IN_SHARE)
        kind = shares.kind_factors.get(rank, 1.0)
        return kind if standing.factor == 1.0 else min(standing.factor, kind)

    def work(self, service: ServiceId, now_ms: int) -> ServiceWork:
        """Return the recent work of a service; none while one customer sends it all."""
        return self._refreshed(service, now_ms).work

    def above_share(self, service: ServiceId, now_ms: int) -> dict[str, float]:
        """Return the customers above their shares, with their lowest factor."""
        above: dict[str, float] = {}
        standings = self._refreshed(service, now_ms).standings
        for (_, customer), standing in standings.items():
            if standing.factor < 1.0:
                above[customer] = min(above.get(customer, 1.0), standing.factor)
        return above

    def own_entries(self, now_ms: int) -> Entries:
        """Return the largest of this instance's sums, for its digest."""
        self._decay(now_ms)
        largest = heapq.nlargest(
            MAX_DIGEST_ENTRIES, self._own.items(), key=lambda item: item[1].arrived_ms
        )
        entries: Entries = {}
        for (service, rank, customer), sums in largest:
            entries.setdefault(service, {}).setdefault(rank, {})[customer] = (
                round(sums.arrived_ms),
                round(sums.admitted_ms),
                round(10 * sums.arrived),
                round(10 * sums.admitted),
            )
        return entries

    def update_peer(self, peer: InstanceId, entries: Entries) -> None:
        """Replace a peer's sums by those in its latest full digest."""
        previous = self._peers.get(peer, {})
        if entries == previous:
            return
        self._peers[peer] = entries
        self._add_to_peers(entries, 1)
        self._add_to_peers(previous, -1)

    def remove_peer(self, peer: InstanceId) -> None:
        """Remove the sums of a peer that is not reachable any more."""
        self.update_peer(peer, {})
        self._peers.pop(peer, None)

    def _add_to_peers(self, entries: Entries, sign: int) -> None:
        for service, ranks in entries.items():
            for rank, customers in ranks.items():
                for customer, entry in customers.items():
                    key = (ServiceId(service), rank, customer)
                    totals = self._peer_totals.setdefault(key, [0] * len(entry))
                    for index, value in enumerate(entry):
                        totals[index] += sign * value
                    if not any(totals):
                        del self._peer_totals[key]

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._decayed_ms
        if elapsed_ms < REFRESH_MS:
            return
        self._decayed_ms = now_ms
        lost = math.exp(-elapsed_ms / TIME_CONSTANT_MS) - 1.0
        for key, sums in list(self._own.items()):
            sums.add(sums, lost)
            if sums.arrived_ms < MIN_WORK_MS:
                del self._own[key]

    def _refreshed(self, service: ServiceId, now_ms: int) -> _Shares:
        shares = self._shares.get(service)
        count = len(self._own) + len(self._peer_totals)
        interval_ms = max(REFRESH_MS, ENTRY_REFRESH_MS * count)
        if shares is None or now_ms - shares.computed_ms >= interval_ms:
            self._decay(now_ms)
            shares = self._shares[service] = self._compute(service, now_ms)
        return shares

    def _still_admitted_ms(self, service: ServiceId, admitted_ms: float) -> float:
        """Return how much of the admitted work could be admitted after a loss."""
        work_ms_per_s, lasting_share = self._capacities.get(service, (0.0, 1.0))
        if lasting_share >= 1.0 or not work_ms_per_s:
            return admitted_ms
        # At least what was admitted could be done before.
        left_ms = UTILIZATION * work_ms_per_s * TIME_CONSTANT_MS / 1_000
        return min(admitted_ms, max(left_ms, lasting_share * admitted_ms))

    def _compute(self, service: ServiceId, now_ms: int) -> _Shares:
        groups: dict[int, dict[str, _Sums]] = {}
        sums_by_key = [
            *self._own.items(),
            *((key, _decode(totals)) for key, totals in self._peer_totals.items()),
        ]
        for (name, rank, customer), sums in sums_by_key:
            if name == service:
                group = groups.setdefault(rank, {})
                group.setdefault(customer, _Sums()).add(sums)
        shares = _Shares(now_ms, ServiceWork(), {}, {})
        if len({customer for group in groups.values() for customer in group}) < 2:
            return shares
        every = [sums for group in groups.values() for sums in group.values()]
        arrived_ms = sum(sums.arrived_ms for sums in every)
        admitted_ms = self._still_admitted_ms(
            service, sum(sums.admitted_ms for sums in every)
        )
        per_s = 1_000 / TIME_CONSTANT_MS
        shares.work = ServiceWork(per_s * arrived_ms, per_s * admitted_ms)
        if shares.work.is_short:
            shares.standings = _standings(groups, admitted_ms)
            shares.kind_factors = _kind_factors(groups)
        return shares


def _decode(entry: list[int]) -> _Sums:
    arrived_ms, admitted_ms, arrived, admitted = entry
    return _Sums(float(arrived_ms), float(admitted_ms), arrived / 10, admitted / 10)


def _standings(
    groups: dict[int, dict[str, _Sums]], admitted_ms: float
) -> dict[tuple[int, str], Standing]:
    """Return the standings of the customers of one service, by rank and customer.

    A customer's share of the admitted work is divided between its kinds by their ranks,
    except for the least share of each.
    """
    totals: dict[str, _Sums] = {}
    for group in groups.values():
        for customer, sums in group.items():
            totals.setdefault(customer, _Sums()).add(sums)
    arrived_ms = sum(sums.arrived_ms for sums in totals.values())
    floor = FLOOR_SHARE * admitted_ms / arrived_ms
    level_ms = fair_level(
        [(floor * sums.arrived_ms, sums.arrived_ms) for sums in totals.values()],
        admitted_ms,
    )
    standings = {}
    for customer, total in totals.items():
        share_ms = min(total.arrived_ms, max(floor * total.arrived_ms, level_ms))
        if share_ms == total.arrived_ms:
            continue
        least = FLOOR_SHARE * share_ms / max(MIN_WORK_MS, total.arrived_ms)
        left_ms = share_ms - least * total.arrived_ms
        for rank in sorted(groups):
            sums = groups[rank].get(customer)
            if sums is None:
                continue
            extra_ms = min(left_ms, (1 - least) * sums.arrived_ms)
            left_ms -= extra_ms
            part_ms = least * sums.arrived_ms + extra_ms
            factor = _factor(sums.admitted_ms, part_ms)
            standings[rank, customer] = Standing(sums.admitted_ms, part_ms, factor)
    return standings


def fair_level(ranges: list[tuple[float, float]], total: float) -> float:
    """Return the level at which the shares add up to a total.

    Parameters
    ----------
    ranges : list of tuple of float
        Least and largest share of each customer; the share is the level, within these.
    total : float
        Sum of the shares, at most the sum of the largest ones.
    """
    left = total - sum(least for least, _ in ranges)
    level, rising = 0.0, 0
    bounds = [(least, 1) for least, _ in ranges] + [(most, -1) for _, most in ranges]
    for bound, change in sorted(bounds):
        used = rising * (bound - level)
        if used > left:
            return level + max(0.0, left) / rising
        left -= used
        level = bound
        rising += change
    return level


def _kind_factors(groups: dict[int, dict[str, _Sums]]) -> dict[int, float]:
    """Return the factors on the limits of the kinds of one service, by rank.

    A kind that is admitted too seldom gets the limit of the most urgent one, and the
    others yield to it; one that is admitted more often than a more urgent one yields.
    """
    totals: dict[int, _Sums] = {}
    for rank in sorted(groups):
        totals[rank] = _Sums()
        for sums in groups[rank].values():
            totals[rank].add(sums)
    # A share of less than one request says nothing.
    totals = {rank: sums for rank, sums in totals.items() if sums.arrived >= 1}
    if len(totals) < 2:
        return {}
    shares = {rank: sums.admitted / sums.arrived for rank, sums in totals.items()}
    floor = FLOOR_SHARE * (
        sum(sums.admitted for sums in totals.values())
        / sum(sums.arrived for sums in totals.values())
    )
    lack = max(0.0, 1.0 - min(shares.values()) / max(1e-9, floor))
    factors = {}
    least_share = 1.0
    for rank, share in shares.items():
        if share < floor:
            factors[rank] = RANK_FACTOR**-rank
        else:
            excess = ORDER_GAIN * max(0.0, share - least_share)
            factors[rank] = max(MIN_FACTOR, 1.0 - max(lack, excess))
        least_share = min(least_share, share)
    return factors


def _factor(admitted_ms: float, share_ms: float) -> float:
    """Return the factor on a limit for work that was admitted beyond a share."""
    excess = max(0.0, admitted_ms / max(MIN_WORK_MS, share_ms) - 1.0)
    return max(MIN_FACTOR, 1.0 - EXCESS_GAIN * excess)
