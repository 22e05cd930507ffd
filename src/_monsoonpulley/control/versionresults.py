"""Results of a new version, compared with the old version's of the same time and route.

Results are counted by route and time. The old version's shares of each period say how
many failures and slow answers the new version would have if it were as good; how well
these shares are known counts as well. A fault that begins outside of both versions
changes both in the same period, and is no evidence.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Iterator
from enum import Enum
from statistics import NormalDist

import msgspec

MIN_PERIOD_RESULTS = 60
"""Results of the old version in a period: their share of failures is then known to
about 0.05, so that periods of a quiet route are longer."""

MIN_PERIOD_MS = 1_000
MAX_PERIODS = 32
"""Periods that are kept of a route; of more, neighbours are joined."""

NEWEST_RESULTS = 30
"""Newest results of the old version that show that its share has just changed."""

PRIOR_RESULTS = 10
"""Results at the overall share that are added to a period's, which may have none."""

BOUND_QUANTILE = 1.645
"""Standard deviations of a one-sided 95% confidence bound."""

MIN_SHARE_RESULTS = 20
"""Results that a share is taken to be known from at least."""

LEAST_FAULT_SHARE = {"failed": 0.15, "slow": 0.4}
"""Least fault to be found, as a share of the requests that would else succeed."""

TOLERATED_SHARE = {"failed": 0.02, "slow": 0.15}
"""Excess that is no fault, however many results show it: answers of new endpoints are
slow more often while their caches fill and their load grows."""

FOUND_PROBABILITY = 0.98
"""Probability with which the least fault is to be found, if `MAX_FALSE_ALARM_RATE`
allows it."""

FALSE_ALARM_RATE = 0.01
"""Probability that a sound version is rolled back, where that suffices to find the
least fault."""

MAX_FALSE_ALARM_RATE = 0.15
"""The same where the old version fails so often that it takes more to find it, but at
most the share of its requests that fail: callers suffer from a bad version until it is
replaced, from a sound one that is rolled back only until it is ordered again."""


class Trait(Enum):
    """What makes a result a bad one."""

    FAILED = "failed"
    SLOW = "slow"


class Counts(msgspec.Struct, array_like=True):
    """Numbers of results, of failed ones, and of slow ones among the others."""

    total: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: Counts) -> None:
        """Add other results."""
        self.total += other.total
        self.failed += other.failed
        self.slow += other.slow

    def minus(self, earlier: Counts) -> Counts:
        """Return what was added since ``earlier``, or all if counting began anew."""
        if earlier.total > self.total:
            return msgspec.structs.replace(self)
        return Counts(
            self.total - earlier.total,
            max(0, self.failed - earlier.failed),
            max(0, self.slow - earlier.slow),
        )

    def tested(self, trait: Trait) -> int:
        """Return the number of results that may have a trait."""
        return self.total if trait is Trait.FAILED else self.total - self.failed

    def bad(self, trait: Trait) -> int:
        """Return the number of results that have a trait."""
        return self.failed if trait is Trait.FAILED else self.slow


class RouteCounts(msgspec.Struct, array_like=True):
    """Results of both versions on one route."""

    old: Counts = msgspec.field(default_factory=Counts)
    new: Counts = msgspec.field(default_factory=Counts)

    def add(self, other: RouteCounts) -> None:
        """Add other results."""
        self.old.add(other.old)
        self.new.add(other.new)

    def minus(self, earlier: RouteCounts) -> RouteCounts:
        """Return what was added since ``earlier``."""
        return RouteCounts(self.old.minus(earlier.old), self.new.minus(earlier.new))


class Comparison(msgspec.Struct, frozen=True):
    """Results of a new version, and what the old version's results let expect.

    Attributes
    ----------
    count, bad : int
        Results of the new version, and bad ones among them.
    expected : float
        Bad results that are expected if the new version is as good as the old one.
    variance : float
        Variance of ``expected``, as the old version's results are few.
    """

    count: int
    bad: int
    expected: float
    variance: float

    def __add__(self, other: Comparison) -> Comparison:
        return Comparison(
            self.count + other.count,
            self.bad + other.bad,
            self.expected + other.expected,
            self.variance + other.variance,
        )

    def bad_limit(
        self, trait: Trait, max_false_alarm_rate: float = MAX_FALSE_ALARM_RATE
    ) -> int:
        """Return the least number of bad results that is evidence of a fault."""
        strict = self._false_alarm_limit(
            FALSE_ALARM_RATE, self.share_with_fault(TOLERATED_SHARE[trait.value])
        )
        faulty = self.share_with_fault(LEAST_FAULT_SHARE[trait.value])
        found = _largest_limit(self.count, *faulty, 1.0 - FOUND_PROBABILITY)
        usual = self.share_with_fault(0.0)
        rate = min(max_false_alarm_rate, max(FALSE_ALARM_RATE, usual[0]))
        loose = self._false_alarm_limit(rate, usual)
        return min(strict, max(found, loose))

    def route_bad_limit(self, trait: Trait, route_count: int) -> int:
        """Return the same for one of several routes, which are tested one by one."""
        share = TOLERATED_SHARE[trait.value]
        rate = FALSE_ALARM_RATE / max(1, route_count)
        return self._false_alarm_limit(rate, self.share_with_fault(share))

    def share_with_fault(self, fault: float) -> tuple[float, float]:
        """Return mean and variance of the share of bad results with a fault."""
        if not self.count:
            return 0.5, 0.0
        mean = self.expected / self.count
        variance = self.variance / self.count**2
        return fault + (1.0 - fault) * mean, (1.0 - fault) ** 2 * variance

    def _false_alarm_limit(self, rate: float, share: tuple[float, float]) -> int:
        return _smallest_limit(self.count, *share, rate)


NO_COMPARISON = Comparison(0, 0, 0.0, 0.0)


class _Period:
    """Results of both versions in one period."""

    def __init__(self, started_ms: int):
        self.started_ms = started_ms
        self.counts = RouteCounts()

    def is_full(self, now_ms: int) -> bool:
        return (
            self.counts.old.total >= MIN_PERIOD_RESULTS
            and now_ms - self.started_ms >= MIN_PERIOD_MS
        )


class RouteResults:
    """Results of both versions on one route, by period."""

    def __init__(self) -> None:
        self._periods: list[_Period] = []
        self._newest_old: deque[Counts] = deque()
        self.total = RouteCounts()

    def add(self, counts: RouteCounts, now_ms: int) -> None:
        """Add results that ended lately."""
        if counts.old.total:
            self._newest_old.append(counts.old)
            self._drop_older()
        if not self._periods or self._periods[-1].is_full(now_ms):
            self._periods.append(_Period(now_ms))
        self._periods[-1].counts.add(counts)
        self.total.add(counts)
        if len(self._periods) > MAX_PERIODS:
            self._join_periods()

    def compare(self, trait: Trait) -> Comparison:
        """Compare the new version's results with the old version's, by period."""
        overall_share = self._overall_share(trait)
        comparison = NO_COMPARISON
        for period in self._periods:
            new = period.counts.new
            count = new.tested(trait)
            if not count:
                continue
            old = period.counts.old
            known = old.tested(trait) + PRIOR_RESULTS
            share = (old.bad(trait) + PRIOR_RESULTS * overall_share) / known
            comparison += Comparison(
                count,
                new.bad(trait),
                count * share,
                count**2 * share * (1.0 - share) / known,
            )
        return comparison

    def old_upper_share(self, trait: Trait) -> float:
        """Return a confidence bound of the old version's share of bad results now.

        All its results count unless newer ones show that the share has changed.
        """
        known = self.total.old.tested(trait), self.total.old.bad(trait)
        recent = self._recent_old(trait)
        lower, upper = share_bounds(*recent)
        share = known[1] / max(1, known[0])
        if not lower <= share <= upper:
            known = recent
        newest = _sum(self._newest_old)
        bounds = share_bounds(newest.tested(trait), newest.bad(trait))
        if bounds[0] > known[1] / max(1, known[0]):
            return bounds[1]
        return share_bounds(*known)[1]

    def _recent_old(self, trait: Trait) -> tuple[int, int]:
        count = bad = 0
        for period in reversed(self._periods):
            count += period.counts.old.tested(trait)
            bad += period.counts.old.bad(trait)
            if count >= MIN_PERIOD_RESULTS:
                break
        return count, bad

    def _overall_share(self, trait: Trait) -> float:
        old = self.total.old
        return (old.bad(trait) + 0.5) / (old.tested(trait) + 1.0)

    def _drop_older(self) -> None:
        newest = self._newest_old
        count = sum(each.total for each in newest)
        while count - newest[0].total >= NEWEST_RESULTS:
            count -= newest.popleft().total

    def _join_periods(self) -> None:
        for index in range(len(self._periods) // 2):
            later = self._periods.pop(index + 1)
            self._periods[index].counts.add(later.counts)


class VersionResults:
    """Results of a new version and of the one that it replaces, of one service."""

    def __init__(self) -> None:
        self._by_route: dict[str, RouteResults] = {}

    def add(self, route: str, counts: RouteCounts, now_ms: int) -> None:
        """Add results on a route."""
        self._by_route.setdefault(route, RouteResults()).add(counts, now_ms)

    def total(self) -> RouteCounts:
        """Return the sums over all routes."""
        total = RouteCounts()
        for results in self._by_route.values():
            total.add(results.total)
        return total

    def old_failure_share(self) -> float:
        """Return the share of the old version's results that are failures."""
        old = self.total().old
        return old.failed / max(1, old.total)

    def old_upper_share(self, route: str, trait: Trait) -> float:
        """Return a confidence bound of the old version's share of bad results now."""
        results = self._by_route.get(route)
        if results is None:
            return share_bounds(0, 0)[1]
        return results.old_upper_share(trait)

    def find_fault(
        self,
        traits: Iterable[Trait] = tuple(Trait),
        max_false_alarm_rate: float = MAX_FALSE_ALARM_RATE,
    ) -> str:
        """Return the evidence of a fault in all results; empty if there is none.

        Parameters
        ----------
        traits : iterable of Trait
            The kinds of faults that are looked for.
        max_false_alarm_rate : float
            Probability that a sound version looks faulty, at most.
        """
        for trait in traits:
            by_route = dict(self._comparisons(trait))
            total = sum(by_route.values(), NO_COMPARISON)
            limit = total.bad_limit(trait, max_false_alarm_rate)
            if total.bad >= limit:
                return _describe(total, trait, limit, "all routes")
            for route, comparison in by_route.items():
                limit = comparison.route_bad_limit(trait, len(by_route))
                if comparison.bad >= limit:
                    return _describe(comparison, trait, limit, route)
        return ""

    def _comparisons(self, trait: Trait) -> Iterator[tuple[str, Comparison]]:
        for route, results in self._by_route.items():
            yield route, results.compare(trait)


def share_bounds(count: int, bad_count: int) -> tuple[float, float]:
    """Return the lower and upper confidence bound of a share (Wilson 1927).

    With few results the others are taken for good ones.
    """
    count = max(count, MIN_SHARE_RESULTS)
    share, squared = bad_count / count, BOUND_QUANTILE**2
    spread = math.sqrt(share * (1.0 - share) / count + squared / (4.0 * count**2))
    middle = share + squared / (2.0 * count)
    scale = 1.0 + squared / count
    return (
        (middle - BOUND_QUANTILE * spread) / scale,
        (middle + BOUND_QUANTILE * spread) / scale,
    )


def _sum(counts: Iterable[Counts]) -> Counts:
    total = Counts()
    for each in counts:
        total.add(each)
    return total


def _describe(comparison: Comparison, trait: Trait, limit: int, where: str) -> str:
    what = "failed" if trait is Trait.FAILED else "were slow"
    return (
        f"{comparison.bad} of {comparison.count} results {what} on {where}"
        f" ({comparison.expected:.1f} expected, fewer than {limit} allowed)"
    )


def results_to_find_fault(usual_share: float, trait: Trait) -> float:
    """Return about how many results it takes to find the least fault.

    Parameters
    ----------
    usual_share : float
        Share of bad results of the old version.
    trait : Trait
        Kind of the fault.
    """
    fault = LEAST_FAULT_SHARE[trait.value] * (1.0 - usual_share)
    spread_sound = math.sqrt(usual_share * (1.0 - usual_share))
    faulty_share = usual_share + fault
    spread_faulty = math.sqrt(faulty_share * (1.0 - faulty_share))
    normal = NormalDist()
    needed = normal.inv_cdf(FOUND_PROBABILITY) * spread_faulty
    needed += normal.inv_cdf(1.0 - MAX_FALSE_ALARM_RATE) * spread_sound
    return (needed / fault) ** 2 if fault > 0 else math.inf


def share_reaching(comparison: Comparison, limit: int, fault: float) -> float:
    """Return the probability that a version with a fault has as many bad results.

    Parameters
    ----------
    comparison : Comparison
        Results of the new version, and how many bad ones are expected.
    limit : int
        Number of bad results.
    fault : float
        Share of the requests that would else succeed; 0 for a sound version.
    """
    share = comparison.share_with_fault(fault)
    below = list(_probabilities(comparison.count, *share))[:limit]
    return max(0.0, 1.0 - sum(below))


def _smallest_limit(count: int, mean: float, variance: float, rate: float) -> int:
    """Return the least number that is reached with at most this probability."""
    above = 1.0
    for number, probability in enumerate(_probabilities(count, mean, variance)):
        if above <= rate:
            return number
        above -= probability
    return count + 1


def _largest_limit(count: int, mean: float, variance: float, rate: float) -> int:
    """Return the largest number that is missed with at most this probability."""
    below = 0.0
    for number, probability in enumerate(_probabilities(count, mean, variance)):
        below += probability
        if below > rate:
            return number
    return count


def _probabilities(count: int, mean: float, variance: float) -> Iterable[float]:
    """Return the beta-binomial probabilities of 0 to ``count`` bad results.

    The share of bad results is beta-distributed with this mean and variance.
    """
    mean = min(max(mean, 1e-6), 1.0 - 1e-6)
    spread = mean * (1.0 - mean)
    weight = spread / max(variance, 1e-6 * spread) - 1.0
    a, b = mean * max(weight, 1e-3), (1.0 - mean) * max(weight, 1e-3)
    base = math.lgamma(count + 1) - _log_beta(a, b)
    return (
        math.exp(
            base
            - math.lgamma(number + 1)
            - math.lgamma(count - number + 1)
            + _log_beta(number + a, count - number + b)
        )
        for number in range(count + 1)
    )


def _log_beta(a: float, b: float) -> float:
    return math.lgamma(a) + math.lgamma(b) - math.lgamma(a + b)
