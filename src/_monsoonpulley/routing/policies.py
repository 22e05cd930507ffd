"""Routing policies by name: how to choose an endpoint from a pool.

``predicted-completion`` is used in production; the others are baselines for
benchmarks.
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
    predict_model,
    predict_plain,
    water_fill,
)
from .prefixindex import PrefixIndex
from .view import EndpointView, FleetView

MAX_FULL_SCAN_ENDPOINTS = 6
"""Pools up to this size are ranked without sampling."""
SAMPLE_SIZE = 6
MAX_PREFIX_HOLDERS = 2
TIE_RATIO = 0.1
"""Times to first token within this share of the best one's count as equal."""


class RouteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The properties of a request that the choice of an endpoint depends on.

    Attributes
    ----------
    target_ms : int
        Time remaining to meet the class target: to the first token of a
        stream, else to the complete answer.
    stream : bool
        Whether the answer is a token stream.
    prompt_tokens, max_tokens : int
        Prompt length and maximum tokens to generate; 0 for plain services.
    prefix_blocks : tuple of int
        Chained hashes of the prompt's blocks (`prefixindex.block_hashes`).
    tried : tuple of EndpointId
        Endpoints that must not be chosen.
    versions : dict
        Allowed versions and their shares of traffic; empty allows all LIVE
        versions in equal shares. Requests that a version can't serve go to
        those named before it.
    deadline_ms : int or None
        Time at which the request is given up, in the clock of ``now_ms``.
    zone : ZoneId or None
        Preferred data centre; ``None`` for the router's own.
    route : str
        Route within the service, part of the key of version breakers.
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


class EndpointFilter(Protocol):
    """Predicate that tells whether an endpoint may be chosen now."""

    def __call__(self, view: EndpointView) -> bool:
        """Return whether the endpoint may be chosen."""
        ...


class Policy(Protocol):
    """Ranking of a pool's endpoints for a request."""

    def rank(
        self, request: RouteRequest, pool: Pool, is_usable: EndpointFilter, now_ms: int
    ) -> list[Prediction]:
        """Return predictions for the endpoints compared, the chosen one first."""
        ...


class Predictor:
    """Predictions for single endpoints, by the kind of their service."""

    def __init__(self, fleet: FleetView, prefixes: PrefixIndex):
        self.fleet = fleet
        self.prefixes = prefixes
        self.service_kinds: dict[ServiceId, ServiceKind] = {}

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
        endpoint_count: int,
        now_ms: int,
    ) -> list[Prediction]:
        """Return predictions that include the estimated traffic of peers.

        ``endpoint_count`` is the number of endpoints that share the traffic,
        whether or not they are in ``views``.
        """
        if self.is_plain(request) or not self.fleet.peer_count:
            return [self.predict(request, view, now_ms) for view in views]
        fleet = self.fleet
        total_tokens = sum(
            expected_peer_tokens(v, fleet, endpoint_count, now_ms) for v in views
        )
        backlogs = [backlog_tokens(view, now_ms) for view in views]
        shares = water_fill(backlogs, total_tokens)
        return [
            self.predict(request, view, now_ms, share, backlog)
            for view, share, backlog in zip(views, shares, backlogs, strict=True)
        ]

    def is_plain(self, request: RouteRequest) -> bool:
        """Return whether the request is for a plain service."""
        return self.service_kinds.get(request.service) is ServiceKind.PLAIN


PolicyFactory = type
POLICIES: Registry[PolicyFactory] = Registry("routing policy")


@POLICIES.register("predicted-completion")
class PredictedCompletion:
    """Least predicted completion among a bounded sample.

    The sample is random, so that entry instances with the same reports consider
    different endpoints; the holders of the longest cached prefixes are added.
    Small pools are ranked completely.
    """

    max_full_scan_endpoints = MAX_FULL_SCAN_ENDPOINTS
    sample_size = SAMPLE_SIZE
    max_prefix_holders = MAX_PREFIX_HOLDERS
    tie_ratio = TIE_RATIO

    def __init__(self, predictor: Predictor, rng: random.Random):
        self._predictor = predictor
        self._rng = rng

    def rank(
        self, request: RouteRequest, pool: Pool, is_usable: EndpointFilter, now_ms: int
    ) -> list[Prediction]:
        """Return the sample's usable endpoints, best first."""
        views = self._sample(request, pool, is_usable)
        count = len(pool.endpoints)
        predictions = self._predictor.predict_all(request, views, count, now_ms)
        if len(predictions) > 1:
            self._rng.shuffle(predictions)
        predictions.sort(key=_first_token_key if request.stream else _completion_key)
        return self._break_ties(predictions)

    def _break_ties(self, predictions: list[Prediction]) -> list[Prediction]:
        """Move a random one of the endpoints as good as the best to the front.

        Differences below the prediction error would otherwise send a burst from
        all entry instances to one endpoint before any report shows it.
        """
        if len(predictions) < 2 or self.tie_ratio <= 0.0:
            return predictions
        best = predictions[0]
        tolerance_ms = best.first_token_ms * self.tie_ratio
        gaps_ms = [
            prediction.first_token_ms - best.first_token_ms
            for prediction in predictions
        ]
        ties = [i for i, gap_ms in enumerate(gaps_ms) if abs(gap_ms) <= tolerance_ms]
        fewest_requests = min(predictions[i].own_requests for i in ties)
        ties = [i for i in ties if predictions[i].own_requests == fewest_requests]
        chosen = predictions.pop(self._rng.choice(ties))
        return [chosen, *predictions]

    def _sample(
        self, request: RouteRequest, pool: Pool, is_usable: EndpointFilter
    ) -> list[EndpointView]:
        endpoints = pool.endpoints
        if len(endpoints) <= self.max_full_scan_endpoints:
            return [view for view in endpoints if is_usable(view)]
        views = {v.id: v for v in self._rng.sample(endpoints, self.sample_size)}
        known_views = self._predictor.fleet.endpoints
        holders = self._predictor.prefixes.holders(
            request.prefix_blocks, self.max_prefix_holders
        )
        for endpoint in holders:
            view = known_views.get(endpoint)
            if view is not None and pool.contains(view.id):
                views[view.id] = view
        chosen = [view for view in views.values() if is_usable(view)]
        if chosen:
            return chosen
        return [view for view in endpoints if is_usable(view)][: self.sample_size]


def _first_token_key(prediction: Prediction) -> tuple[float, int]:
    return prediction.first_token_ms, prediction.own_requests


def _completion_key(prediction: Prediction) -> tuple[float, int]:
    return prediction.completion_ms, prediction.own_requests


@POLICIES.register("full-scan")
class FullScan(PredictedCompletion):
    """Least predicted completion among all endpoints, for comparison."""

    max_full_scan_endpoints = 1_000_000


@POLICIES.register("two-choices")
class TwoChoices(PredictedCompletion):
    """Least predicted completion of two at random, for comparison."""

    max_full_scan_endpoints = 2
    sample_size = 2
    max_prefix_holders = 1


@POLICIES.register("round-robin")
class RoundRobin:
    """Each usable endpoint in turn, as a baseline."""

    def __init__(self, predictor: Predictor, rng: random.Random):
        self._predictor = predictor
        self._next = rng.randrange(1 << 16)

    def rank(
        self, request: RouteRequest, pool: Pool, is_usable: EndpointFilter, now_ms: int
    ) -> list[Prediction]:
        """Return the next usable endpoint and the one after it."""
        candidates = [view for view in pool.endpoints if is_usable(view)]
        if not candidates:
            return []
        self._next += 1
        picked = [candidates[(self._next + i) % len(candidates)] for i in range(2)]
        views = picked[: len(candidates)]
        return self._predictor.predict_all(request, views, len(pool.endpoints), now_ms)


@POLICIES.register("least-outstanding")
class LeastOutstanding:
    """The usable endpoint with the fewest own attempts, as a baseline."""

    def __init__(self, predictor: Predictor, rng: random.Random):
        self._predictor = predictor
        self._rng = rng

    def rank(
        self, request: RouteRequest, pool: Pool, is_usable: EndpointFilter, now_ms: int
    ) -> list[Prediction]:
        """Return the two endpoints with the fewest attempts, ties at random."""
        candidates = [view for view in pool.endpoints if is_usable(view)]
        self._rng.shuffle(candidates)
        candidates.sort(key=lambda view: len(view.attempts))
        views = candidates[:2]
        return self._predictor.predict_all(request, views, len(pool.endpoints), now_ms)
