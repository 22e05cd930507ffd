"""How many requests a new version may get before it has shown that it is sound.

A bad version may get a share of all requests until the deadline, and some more. This
is spent on results: as many as it takes to find the least fault, or a small share of
all requests where those are more, evenly over the time in which a fault may show.
"""

from __future__ import annotations

import msgspec

from .versionresults import Trait, results_to_find_fault

MIN_EVIDENCE_REQUESTS = 75
MAX_EVIDENCE_REQUESTS = 200
"""Least and most requests to find the least fault. A fault on one of several routes
needs some of each even where sound endpoints hardly ever fail."""

EVIDENCE_MARGIN = 1.5
"""Requests for each result that is needed: some have none, or not yet, and the old
version's failures are known from results, too."""

WATCH_SHARE = 0.04
"""Share of all requests that a busy service's new version gets: less than half of what
a bad one may get, as a fault may begin when it has all traffic."""

MAX_CANARY_SHARE = 0.5
"""Share of the requests up to which a quiet service's new version gets them, so that
the old one shows as much of the same time."""

FIRST_SHARE = 0.1
FIRST_REQUESTS = 20
"""Share until this many requests of the service have shown its rate."""

FORECAST_WEIGHT = 0.75
"""Part of the forecast requests that counts: the traffic may fall."""

NEWS_DELAY_MS = 300
"""Mean time after which requests sent by other instances are known: half the interval
of digests between data centres."""

MIN_REQUIRED_RESULTS = 30
REQUIRED_SHARE = 0.15
"""Results without which a version isn't known to be sound: this many, or this share of
its service's requests if those are fewer."""

MIN_RESULTS_PER_SENT = 0.25
"""Part of a new version's requests that must end with a result, compared with the old
version's: of one whose requests mostly end otherwise little is known."""


class Traffic(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of a service since a roll-out was ordered, as one instance knows them.

    Attributes
    ----------
    new_sent, old_sent : int
        Requests sent to either version.
    elapsed_ms, left_ms : int
        Time since the order, and to its deadline.
    watch_left_ms : int
        Time in which the new version is to get requests before it is judged.
    known_share : float
        Share of the instances whose requests are counted.
    usual_failure_share : float
        Share of the old version's requests that fail.
    """

    new_sent: int
    old_sent: int
    elapsed_ms: int
    left_ms: int
    watch_left_ms: int
    known_share: float = 1.0
    usual_failure_share: float = 0.0

    @property
    def sent(self) -> int:
        """Requests sent to both versions."""
        return self.new_sent + self.old_sent

    @property
    def rate_per_ms(self) -> float:
        """Mean rate of requests since the order."""
        return self.sent / max(1, self.elapsed_ms)

    @property
    def forecast(self) -> float:
        """Requests until the deadline, those that were sent included."""
        return self.sent + self.rate_per_ms * max(0, self.left_ms)


class ExposureLimits(msgspec.Struct, frozen=True):
    """Bound of the requests that a bad version may get until the deadline.

    Attributes
    ----------
    share : float
        Share of all requests of its service.
    slack : float
        Requests beyond that.
    """

    share: float = 0.1
    slack: float = 50

    def budget(self, traffic: Traffic) -> float:
        """Return how many requests a version that may be bad may get."""
        expected = FORECAST_WEIGHT * (traffic.forecast - traffic.sent)
        return self.share * (traffic.sent + expected) + self.slack * traffic.known_share

    def canary_share(self, traffic: Traffic) -> float:
        """Return the share of the next requests for a version that may be bad."""
        if traffic.sent < FIRST_REQUESTS:
            return FIRST_SHARE
        wanted = max(
            evidence_requests(traffic.usual_failure_share),
            WATCH_SHARE * traffic.forecast,
        )
        watch_left_ms = max(traffic.watch_left_ms, NEWS_DELAY_MS)
        left = min(wanted, self.budget(traffic)) - traffic.new_sent
        # What others send until their news arrive is spent, too.
        left *= watch_left_ms / (watch_left_ms + NEWS_DELAY_MS)
        share = left / (traffic.rate_per_ms * watch_left_ms)
        return min(max(share, 0.0), MAX_CANARY_SHARE)

    def is_quiet(self, traffic: Traffic) -> bool:
        """Return whether a service gets so few requests that none exceeds the bound."""
        return traffic.forecast <= self.share * traffic.forecast + self.slack


def evidence_requests(usual_failure_share: float) -> float:
    """Return how many requests it takes to find the least fault."""
    needed = results_to_find_fault(usual_failure_share, Trait.FAILED)
    wanted = EVIDENCE_MARGIN * needed
    return min(max(wanted, MIN_EVIDENCE_REQUESTS), MAX_EVIDENCE_REQUESTS)


DEFAULT_LIMITS = ExposureLimits()


def lacks_results(
    limits: ExposureLimits, traffic: Traffic, new_count: int, old_count: int
) -> str:
    """Return which results are missing to know that a version is sound; empty if none.

    Parameters
    ----------
    limits : ExposureLimits
        Bound of the requests of a bad version.
    traffic : Traffic
        Requests of the service.
    new_count, old_count : int
        Results of the new and of the old version.
    """
    if limits.is_quiet(traffic):
        return ""
    required = min(MIN_REQUIRED_RESULTS, REQUIRED_SHARE * traffic.forecast)
    usual = min(1.0, old_count / max(1, traffic.old_sent))
    ended = MIN_RESULTS_PER_SENT * usual * traffic.new_sent
    if new_count >= max(required, ended):
        return ""
    return (
        f"{new_count} results of {traffic.new_sent} requests,"
        f" {max(required, ended):.0f} are required"
    )
