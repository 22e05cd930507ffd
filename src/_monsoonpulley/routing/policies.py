"""Ways to pick an endpoint from a pool, by name.

``predicted-completion`` is what the product uses; the others are baselines
for measurements.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

import msgspec

from ..config.document import ServiceKind
from ..ids import EndpointId, RequestId, ServiceId, VersionId, ZoneId
from ..registry import Registry
from .pool import Pool
from .prediction import (
    Prediction,
    backlog_tokens,
    expected_peer_tokens,
    fill_lowest,
    predict_model,
    predict_plain,
)
from .prefixindex import PrefixIndex
from .view import EndpointView, FleetView

FULL_SCAN_ENDPOINTS = 6
SAMPLE_ENDPOINTS = 6
PREFIX_ENDPOINTS = 2
TIE_RATIO = 0.1


class RouteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a request when an endpoint is chosen for it.

    Attributes
    ----------
    target_ms : int
        Time left to meet the class target: to the first token of a stream,
        else to the whole answer.
    stream : bool
        Whether the answer is a token stream.
    prompt_tokens, max_tokens : int
        Prompt length and most tokens to generate; 0 for plain services.
    prefix_blocks : tuple of int
        Chained hashes of the prompt's blocks (`prefixindex.block_hashes`).
    tried : tuple of EndpointId
        Endpoints that must not be chosen.
    versions : dict
        Allowed versions and their shares of traffic; empty allows all LIVE
        versions in equal shares. What one can't serve goes to those named
        before it.
    deadline_ms : int or None
        When the request is given up, in ``now_ms``'s clock.
    zone : ZoneId or None
        Preferred data centre; ``None`` for the router's own.
    route : str
        Route within the service, for breakers of (version, route).
    """

    request_id: RequestId
    service: ServiceId
    target_ms: int
    stream: bool = False
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_blocks: tuple[int, ...] = ()
    tried: tuple[EndpointId, ...] = ()
    versions: dict[VersionId, float] = {}
    deadline_ms: int | None = None
    zone: ZoneId | None = None
    route: str = ""


class Usable(Protocol):
    """Says whether an endpoint may be chosen now."""

    def __call__(self, view: EndpointView) -> bool:
        """Return whether the endpoint may be chosen."""
        ...


class Policy(Protocol):
    """Ranks endpoints of a pool for a request."""

    def rank(
        self, request: RouteRequest, pool: Pool, usable: Usable, now_ms: int
    ) -> list[Prediction]:
        """Return the looked-at usable endpoints, the chosen one first."""
        ...


class Scorer:
    """Predicts for one endpoint, by the kind of its service."""

    def __init__(self, fleet: FleetView, prefixes: PrefixIndex):
        self.fleet = fleet
        self.prefixes = prefixes
        self.kinds: dict[ServiceId, ServiceKind] = {}

    def predict(
        self,
        request: RouteRequest,
        view: EndpointView,
        now_ms: int,
        peer_tokens: float = 0.0,
        backlog: float | None = None,
    ) -> Prediction:
        """Return the prediction for ``request`` at ``view``."""
        if self.is_plain(request):
            return predict_plain(view)
        cached = self.prefixes.cached_tokens(view.id, request.prefix_blocks)
        return predict_model(
            view,
            self.fleet,
            request.prompt_tokens,
            cached,
            request.max_tokens,
            peer_tokens,
            now_ms,
            backlog,
        )

    def predict_all(
        self,
        request: RouteRequest,
        views: Sequence[EndpointView],
        endpoints: int,
        now_ms: int,
    ) -> list[Prediction]:
        """Return predictions that take in what peers sent unseen.

        ``endpoints`` is how many share the traffic, looked at or not.
        """
        if self.is_plain(request) or not self.fleet.peers:
            return [self.predict(request, view, now_ms) for view in views]
        fleet = self.fleet
        amount = sum(expected_peer_tokens(v, fleet, endpoints, now_ms) for v in views)
        backlogs = [backlog_tokens(view, now_ms) for view in views]
        fills = fill_lowest(backlogs, amount)
        return [
            self.predict(request, view, now_ms, fill, backlog)
            for view, fill, backlog in zip(views, fills, backlogs, strict=True)
        ]

    def is_plain(self, request: RouteRequest) -> bool:
        """Return whether the request is for a plain service."""
        return self.kinds.get(request.service) is ServiceKind.PLAIN


PolicyFactory = type
POLICIES: Registry[PolicyFactory] = Registry("routing policy")


@POLICIES.register("predicted-completion")
class PredictedCompletion:
    """Least predicted completion among a bounded sample.

    The sample is random, so that daemons with the same reports look at
    different endpoints, and adds the holders of the longest cached prefixes.
    Small pools are looked at whole.
    """

    full_scan_endpoints = FULL_SCAN_ENDPOINTS
    sample_endpoints = SAMPLE_ENDPOINTS
    prefix_endpoints = PREFIX_ENDPOINTS
    tie_ratio = TIE_RATIO

    def __init__(self, scorer: Scorer, rng: random.Random):
        self._scorer = scorer
        self._rng = rng

    def rank(
        self, request: RouteRequest, pool: Pool, usable: Usable, now_ms: int
    ) -> list[Prediction]:
        """Return the sample's usable endpoints, best first."""
        views = self._sample(request, pool, usable)
        count = len(pool.endpoints)
        found = self._scorer.predict_all(request, views, count, now_ms)
        if len(found) > 1:
            self._rng.shuffle(found)
        found.sort(key=_by_first_token if request.stream else _by_completion)
        return self._settle_ties(found)

    def _settle_ties(self, found: list[Prediction]) -> list[Prediction]:
        """Put one of those that are as good as the best first, at random.

        Differences below the error of predictions would send a burst from
        all daemons to one endpoint before any report shows it.
        """
        if len(found) < 2 or self.tie_ratio <= 0.0:
            return found
        best = found[0]
        limit_ms = best.first_token_ms * self.tie_ratio
        slower_ms = [
            prediction.first_token_ms - best.first_token_ms for prediction in found
        ]
        ties = [i for i, late_ms in enumerate(slower_ms) if abs(late_ms) <= limit_ms]
        least = min(found[i].own_requests for i in ties)
        ties = [i for i in ties if found[i].own_requests == least]
        chosen = found.pop(self._rng.choice(ties))
        return [chosen, *found]

    def _sample(
        self, request: RouteRequest, pool: Pool, usable: Usable
    ) -> list[EndpointView]:
        endpoints = pool.endpoints
        if len(endpoints) <= self.full_scan_endpoints:
            return [view for view in endpoints if usable(view)]
        views = {v.id: v for v in self._rng.sample(endpoints, self.sample_endpoints)}
        fleet = self._scorer.fleet.endpoints
        holders = self._scorer.prefixes.holders(
            request.prefix_blocks, self.prefix_endpoints
        )
        for worker in holders:
            view = fleet.get(worker)
            if view is not None and pool.holds(view.id):
                views[view.id] = view
        chosen = [view for view in views.values() if usable(view)]
        if chosen:
            return chosen
        return [view for view in endpoints if usable(view)][: self.sample_endpoints]


def _by_first_token(prediction: Prediction) -> tuple[float, int]:
    return prediction.first_token_ms, prediction.own_requests


def _by_completion(prediction: Prediction) -> tuple[float, int]:
    return prediction.completion_ms, prediction.own_requests


@POLICIES.register("full-scan")
class FullScan(PredictedCompletion):
    """Least predicted completion among all endpoints, for comparison."""

    full_scan_endpoints = 1_000_000


@POLICIES.register("two-choices")
class TwoChoices(PredictedCompletion):
    """Least predicted completion of two at random, for comparison."""

    full_scan_endpoints = 2
    sample_endpoints = 2
    prefix_endpoints = 1


@POLICIES.register("round-robin")
class RoundRobin:
    """Each usable endpoint in turn."""

    def __init__(self, scorer: Scorer, rng: random.Random):
        self._scorer = scorer
        self._next = rng.randrange(1 << 16)

    def rank(
        self, request: RouteRequest, pool: Pool, usable: Usable, now_ms: int
    ) -> list[Prediction]:
        """Return the next usable endpoint and the one after it."""
        usables = [view for view in pool.endpoints if usable(view)]
        if not usables:
            return []
        self._next += 1
        picked = [usables[(self._next + i) % len(usables)] for i in range(2)]
        views = picked[: len(usables)]
        return self._scorer.predict_all(request, views, len(pool.endpoints), now_ms)


@POLICIES.register("least-outstanding")
class LeastOutstanding:
    """The usable endpoint with the fewest own attempts in progress."""

    def __init__(self, scorer: Scorer, rng: random.Random):
        self._scorer = scorer
        self._rng = rng

    def rank(
        self, request: RouteRequest, pool: Pool, usable: Usable, now_ms: int
    ) -> list[Prediction]:
        """Return the two with the fewest attempts, ties at random."""
        usables = [view for view in pool.endpoints if usable(view)]
        self._rng.shuffle(usables)
        usables.sort(key=lambda view: len(view.attempts))
        views = usables[:2]
        return self._scorer.predict_all(request, views, len(pool.endpoints), now_ms)
