"""Sequential test of a version against the one that it replaces.

Each result is good or bad; failures and slowness are tested separately. Under the
null hypothesis a result is bad with a probability of at most ``p0``, a confidence bound
of the base version's rate at the time. The statistic is a mixture likelihood ratio
(mixture SPRT, Robbins 1970) over three faults, each a share of the results that would
else be good, and over the result from which on the version is bad, so
that a late fault is detected as fast as one at the start. It is a nonnegative
supermartingale that starts at 1 at most; by Ville's inequality it ever reaches
``1 / alpha`` with a probability of at most ``alpha``.
"""

from __future__ import annotations

from collections import deque

import msgspec

from ..ids import EndpointId, ServiceId, VersionId
from .versionresults import (
    TOLERATED_SHARE,
    Counts,
    RouteCounts,
    Trait,
    VersionResults,
)

FALSE_ALARM_RATE = 0.01
"""Probability that a good version is rolled back, over all entry instances and
routes."""

FAULT_SHARES = (0.2, 0.5, 0.95)
FAULT_WEIGHTS = (0.2, 0.2, 0.6)
"""Mixture weights of the fault shares; they sum to 1."""
MIN_P0 = 0.002
MAX_P0 = 0.95
"""Above it next to nothing can be told from the results."""
MAX_BASELINE_TIMES = 200
LIMIT_REFRESH_COUNT = 10
"""Times of the base version after which its limit is computed again."""
MIN_BASELINE_TIMES = 20
SLOW_QUANTILE = 0.95
SLOW_FACTOR = 1.5
SLOW_SLACK_MS = 10
CRASH_WINDOW_MS = 20
"""Failures of one endpoint within this time count once: one crash fails all its
requests."""


class Result(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Result of one attempt; instances send each other those of canaries.

    Attributes
    ----------
    route : str
        Request class and path; times of different routes aren't compared.
    is_failure : bool
        Whether it failed in a way that is evidence against its version.
    first_answer_ms : int
        Time to the first token or to the whole answer.
    gap_ms : float or None
        Mean time between tokens.
    target_ms : int
        Target of the request class for the first answer.
    is_crash : bool or None
        Whether it failed as its connection broke, which one crash does to all
        requests of an endpoint; None if a build before didn't say.
    is_censored : bool
        Whether the times are lower bounds: the caller left before the answer.
    is_cold : bool
        Whether the endpoint was cold, so that the times would not hold when warm.
    """

    service: ServiceId
    version: VersionId
    route: str
    endpoint: EndpointId
    is_failure: bool
    first_answer_ms: int
    target_ms: int
    gap_ms: float | None = None
    is_crash: bool | None = None
    is_censored: bool = False
    is_cold: bool = False


class ChangeTest:
    """Sequential test for bad results more frequent than ``p0``.

    Parameters
    ----------
    alpha : float
        Probability of ever raising an alarm under the null hypothesis.
    """

    def __init__(self, alpha: float):
        self.alpha = alpha
        self.count = 0
        self.bad_count = 0
        self._sums = [0.0 for _ in FAULT_SHARES]

    def add(self, is_bad: bool, p0: float) -> bool:
        """Add a result; return whether the alarm is raised."""
        self.count += 1
        self.bad_count += is_bad
        if p0 > MAX_P0:
            return False
        start_weight = 1.0 / (self.count * (self.count + 1))
        for index, fault in enumerate(FAULT_SHARES):
            rate = p0 + (1.0 - p0) * fault
            ratio = rate / p0 if is_bad else (1.0 - rate) / (1.0 - p0)
            self._sums[index] = (self._sums[index] + start_weight) * ratio
        return self.statistic() >= 1.0 / self.alpha

    def statistic(self) -> float:
        """Return the mixture likelihood ratio so far."""
        pairs = zip(self._sums, FAULT_WEIGHTS, strict=True)
        return sum(each * weight for each, weight in pairs)


class BaselineTimes:
    """Newest times of the base version on one route."""

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=MAX_BASELINE_TIMES)
        self._limit_ms: float | None = None
        self._added_since_limit = 0

    def add(self, time_ms: float) -> None:
        """Add a time."""
        self._times.append(time_ms)
        self._added_since_limit += 1
        if self._added_since_limit >= LIMIT_REFRESH_COUNT:
            self._limit_ms = None

    def limit_ms(self) -> float | None:
        """Return the time above which a result is slow, ``None`` with few times."""
        if len(self._times) < MIN_BASELINE_TIMES:
            return None
        if self._limit_ms is None:
            self._added_since_limit = 0
            ordered = sorted(self._times)
            quantile_ms = ordered[int(SLOW_QUANTILE * (len(ordered) - 1))]
            self._limit_ms = quantile_ms * SLOW_FACTOR + SLOW_SLACK_MS
        return self._limit_ms


class _RouteBaseline:
    """Times of the base version on one route."""

    def __init__(self) -> None:
        self.first_answer_times = BaselineTimes()
        self.gap_times = BaselineTimes()


class _RouteTests:
    """Tests of one version on one route."""

    def __init__(self, alpha: float):
        self.failure = ChangeTest(alpha / 2)
        self.slow = ChangeTest(alpha / 2)


class Verdict:
    """Tests of one version of a service in one entry instance.

    Parameters
    ----------
    alpha : float
        Share of `FALSE_ALARM_RATE` for this entry instance.
    """

    def __init__(self, alpha: float):
        self._alpha = alpha
        self._tests: dict[str, _RouteTests] = {}
        self._crashes = CrashFilter()
        self.result_count = 0
        self.bad_count = 0

    def add(
        self,
        result: Result,
        baseline: BaselineResults,
        now_ms: int,
        *,
        is_traffic_moving: bool = False,
    ) -> str:
        """Add a result; return why the version is bad, empty if it isn't.

        Parameters
        ----------
        result : Result
            The result.
        baseline : BaselineResults
            Results of the version that has the traffic.
        now_ms : int
            Current time.
        is_traffic_moving : bool
            Whether most of the traffic moves to the version: the caches of its
            endpoints fill, so that more answers are slow than later.
        """
        if not baseline.is_evidence(result) or self._crashes.is_repeated(
            result, now_ms
        ):
            return ""
        tests = self._tests.get(result.route)
        if tests is None:
            rank = len(self._tests) + 1
            tests = _RouteTests(self._alpha / (rank * (rank + 1)))
            self._tests[result.route] = tests
        is_slow = not result.is_failure and baseline.is_slow(result)
        self.result_count += 1
        self.bad_count += result.is_failure or is_slow
        failure_p0 = baseline.failure_p0(result.route)
        if tests.failure.add(result.is_failure, failure_p0):
            return _describe_alarm("failed", tests.failure, failure_p0, result.route)
        if result.is_failure:
            return ""
        slow_p0 = baseline.slow_p0(result.route)
        if is_traffic_moving:
            slow_p0 += TOLERATED_SHARE[Trait.SLOW.value] * (1.0 - slow_p0)
        if tests.slow.add(is_slow, slow_p0):
            return _describe_alarm("were slow", tests.slow, slow_p0, result.route)
        return ""

    def is_doubtful(self) -> bool:
        """Return whether the evidence on any route is rather against the version."""
        return any(
            test.statistic() >= 1.0
            for tests in self._tests.values()
            for test in (tests.failure, tests.slow)
        )


class CrashFilter:
    """Recognizes failures that follow from a crash that was counted."""

    def __init__(self) -> None:
        self._last_ms: dict[EndpointId, int] = {}

    def is_repeated(self, result: Result, now_ms: int) -> bool:
        """Return whether a result is one more failure of one crash."""
        if not result.is_failure or result.is_crash is False:
            return False
        last_ms = self._last_ms.get(result.endpoint)
        if last_ms is not None and now_ms - last_ms < CRASH_WINDOW_MS:
            return True
        self._last_ms[result.endpoint] = now_ms
        return False


class BaselineResults:
    """Results of the version that has the traffic, by route.

    Attributes
    ----------
    results : VersionResults
        Numbers of its results, and of the new version's.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _RouteBaseline] = {}
        self._crashes = CrashFilter()
        self.results = VersionResults()

    def add(self, result: Result, now_ms: int) -> None:
        """Add a result of the base version."""
        counts = self.add_result(result, False, now_ms)
        if counts is not None:
            self.results.add(result.route, RouteCounts(old=counts), now_ms)

    def add_result(self, result: Result, is_new: bool, now_ms: int) -> Counts | None:
        """Learn the times of a result; return its counts, None if it is no evidence.

        The caller adds the counts to ``results``.
        """
        if not self.is_evidence(result) or self._crashes.is_repeated(result, now_ms):
            return None
        is_slow = not result.is_failure and self.is_slow(result)
        has_times = not (result.is_failure or result.is_cold or result.is_censored)
        if has_times and not is_new:
            baseline = self._by_route.setdefault(result.route, _RouteBaseline())
            baseline.first_answer_times.add(result.first_answer_ms)
            if result.gap_ms is not None:
                baseline.gap_times.add(result.gap_ms)
        return Counts(1, int(result.is_failure), int(is_slow))

    def is_evidence(self, result: Result) -> bool:
        """Return whether a result says anything of its version.

        An answer that was at least as late as its caller left says something if that is
        slow.
        """
        return not result.is_censored or self.is_slow(result)

    def failure_p0(self, route: str) -> float:
        """Return an upper bound of the base version's failure rate."""
        return max(MIN_P0, self.results.old_upper_share(route, Trait.FAILED))

    def slow_p0(self, route: str) -> float:
        """Return an upper bound of the base version's rate of slow results."""
        return max(MIN_P0, self.results.old_upper_share(route, Trait.SLOW))

    def is_slow(self, result: Result) -> bool:
        """Return whether a result is slow, compared with the base version's."""
        if result.is_cold:
            return False
        limit_ms = self.first_answer_limit_ms(result.route, result.target_ms)
        if result.first_answer_ms > limit_ms:
            return True
        baseline = self._by_route.get(result.route)
        gap_ms = baseline.gap_times.limit_ms() if baseline else None
        if gap_ms is None or result.gap_ms is None:
            return False
        return result.gap_ms > gap_ms

    def first_answer_limit_ms(self, route: str, target_ms: int) -> float:
        """Return the time above which a first answer is slow.

        It is the class target while the base version has too few times.
        """
        baseline = self._by_route.get(route)
        limit_ms = baseline.first_answer_times.limit_ms() if baseline else None
        return float(target_ms) if limit_ms is None else limit_ms


def _describe_alarm(what: str, test: ChangeTest, p0: float, route: str) -> str:
    return (
        f"{test.bad_count} of {test.count} results {what} on {route}"
        f" (at most {p0:.3f} expected, false-alarm rate {test.alpha:.2g})"
    )
