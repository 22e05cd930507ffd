"""Selection of the endpoint for each attempt of a request.

One `Router` holds the state of routing, admission and retries of an entry
instance. It does no I/O: the calling code passes in member lists, load reports,
cache events and results of attempts.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from ..config.document import Document
from ..endpoints.engine import CacheEvent, LoadReport
from ..errors import Delivery, Failure, Reason
from ..external.livelist import Member, MemberState
from ..ids import (
    AttemptId,
    ClassId,
    CustomerId,
    EndpointId,
    ServiceId,
    VersionId,
    ZoneId,
)
from ..limits.endpointpauses import EndpointPauses
from .admission import Admission, AdmissionRequest, Admit, Refuse, Wait
from .attemptbreakers import AttemptBreakers
from .overflow import EQUAL_PRICES, OVERFLOW_RULES, OverflowRule, Prices, ZoneOffer
from .policies import POLICIES, Predictor, RouteRequest
from .prediction import Prediction
from .prefixindex import PrefixIndex
from .retries import Retries
from .routedecision import RouteDecision, target_time_ms
from .view import EndpointView, FleetView

DEFAULT_OVERFLOW = "local-first-by-prediction"
ADMITTED_PER_SLOT = 1.0
"""Requests admitted for each slot of the endpoints' batches."""


class Router:
    """Routing, admission and retries of one entry instance.

    Parameters
    ----------
    zone : ZoneId
        The instance's data centre.
    rng : random.Random
        Source of randomness for sampling, ties and jitter.
    policy : str
        Name in `policies.POLICIES`.
    overflow : OverflowRule, optional
        Rule for the choice between data centres; local first by default.
    prices : Prices
        Prices by data centre, for rules that weigh cost.

    Attributes
    ----------
    excluded_endpoints : frozenset of EndpointId
        Endpoints that get no requests, since a canary is limited to a few.
    """

    def __init__(
        self,
        zone: ZoneId,
        rng: random.Random,
        policy: str = "predicted-completion",
        overflow: OverflowRule | None = None,
        prices: Prices = EQUAL_PRICES,
    ):
        self.zone = zone
        self.fleet = FleetView()
        self.prefixes = PrefixIndex()
        self.admission = Admission(rng)
        self.retries = Retries(rng)
        self.breakers = AttemptBreakers(rng)
        self.pauses = EndpointPauses()
        self._predictor = Predictor(self.fleet, self.prefixes)
        self._policy_name = policy
        self._policy = POLICIES.get(policy)(self._predictor, rng)
        self._rng = rng
        self._overflow = overflow or OVERFLOW_RULES.get(DEFAULT_OVERFLOW)()
        self._prices = prices
        self._unreachable_zones: frozenset[ZoneId] = frozenset()
        self.excluded_endpoints: frozenset[EndpointId] = frozenset()

    @classmethod
    def from_config(
        cls,
        document: Document,
        zone: ZoneId,
        rng: random.Random,
        policy: str = "predicted-completion",
    ) -> Router:
        """Return a router for the services and customers of ``document``."""
        router = cls(zone, rng, policy)
        router.reconfigure(document)
        return router

    def reconfigure(self, document: Document) -> None:
        """Apply another document; learned loads, caches and breakers stay."""
        service_kinds = {
            name: service.kind for name, service in document.services.items()
        }
        self._predictor.service_kinds = service_kinds
        self.admission.reconfigure(document)

    def set_peer_count(self, count: int) -> None:
        """Set how many other entry instances send to the same endpoints."""
        self.fleet.peer_count = max(0, count)

    def set_unreachable_zones(self, zones: frozenset[ZoneId]) -> None:
        """Set the data centres that are unreachable now."""
        self._unreachable_zones = zones

    def apply_members(self, members: Sequence[Member], now_ms: int) -> None:
        """Apply the platform's member list, which lags behind."""
        known_before = set(self.fleet.endpoints)
        self.fleet.apply_members(members, now_ms)
        for endpoint in known_before - set(self.fleet.endpoints):
            self.prefixes.remove_endpoint(endpoint)
            self.breakers.endpoints.remove(endpoint)

    def mark_leaving(self, endpoint: EndpointId, now_ms: int) -> None:
        """Send an endpoint no new requests from now on."""
        self.fleet.mark_leaving(endpoint, now_ms)

    def apply_load(
        self,
        endpoint: EndpointId,
        report: LoadReport,
        now_ms: int,
        wall_ms: int | None = None,
    ) -> None:
        """Apply a load report (see `FleetView.apply_load`)."""
        self.fleet.apply_load(endpoint, report, now_ms, wall_ms)

    def apply_cache_events(
        self, endpoint: EndpointId, events: Sequence[CacheEvent]
    ) -> bool:
        """Apply cache events; return whether a resync is needed."""
        return self.prefixes.apply_events(endpoint, events)

    def update_slots(self) -> None:
        """Limit admission to this instance's share of the endpoints' batch slots.

        Call it when load reports or the peer count changed. Services without
        reports stay unlimited.
        """
        slots: dict[ServiceId, float] = {}
        for view in self.fleet.endpoints.values():
            if view.report is not None and view.state is MemberState.LIVE:
                slots[view.service] = (
                    slots.get(view.service, 0.0) + view.report.max_running
                )
        instance_count = self.fleet.peer_count + 1
        for service, count in slots.items():
            self.admission.set_slots(
                service, ADMITTED_PER_SLOT * count / instance_count
            )

    def choose(self, request: RouteRequest, now_ms: int) -> RouteDecision | Failure:
        """Choose an endpoint; state changes only in `record_attempt_start`.

        Returns
        -------
        RouteDecision or Failure
            ``TARGET_UNREACHABLE`` past the deadline, ``NO_ENDPOINT`` if no
            endpoint is LIVE, ``UNAVAILABLE`` if each LIVE endpoint has been
            tried, has an open breaker, is excluded or is unreachable.
        """
        if request.deadline_ms is not None and now_ms >= request.deadline_ms:
            return Failure(
                Reason.TARGET_UNREACHABLE,
                "routing.choose",
                detail="the deadline has passed",
                delivery=Delivery.NOT_SENT,
            )
        for version in self._versions_to_try(request):
            if not self._is_version_allowed(request, version, now_ms):
                continue
            decision = self._rank_zones(request, version, now_ms)
            if decision is not None:
                return decision
        return self._no_choice_failure(request, now_ms)

    def _versions_to_try(self, request: RouteRequest) -> list[VersionId]:
        """Draw a version by share; add its fallbacks.

        The fallbacks are the versions named before it and those of share 1.
        A version never gets the traffic of one named before it, so a canary
        doesn't exceed its share when the older version fails, even if its share
        is the larger one. Versions of full share are fallbacks for each other. If
        all shares are 0, no version gets traffic.
        """
        shares = request.versions
        if not shares:
            names = self.fleet.versions(request.service)
            self._rng.shuffle(names)
            return names
        if len(shares) == 1:
            return list(shares)
        if not any(shares.values()):
            return []
        names = list(shares)
        drawn = self._rng.choices(names, weights=[shares[n] for n in names])[0]
        preceding = names[: names.index(drawn)]
        full_share = [
            n for n in names if shares[n] >= 1.0 and n not in (drawn, *preceding)
        ]
        return [drawn, *preceding, *full_share]

    def _is_version_allowed(
        self, request: RouteRequest, version: VersionId, now_ms: int
    ) -> bool:
        key = (request.service, version, request.route)
        return self.breakers.versions.allows(key, now_ms)

    def _rank_zones(
        self, request: RouteRequest, version: VersionId, now_ms: int
    ) -> RouteDecision | None:
        """Rank the local data centre, and others if the local one is too slow."""
        pools = self.fleet.pools(request.service, version)
        tried = request.tried
        breakers = self.breakers.endpoints

        def is_usable(view: EndpointView) -> bool:
            if view.id in self.excluded_endpoints:
                return False
            if self.pauses.wait_ms(view.id, now_ms):
                return False
            return view.id not in tried and breakers.allows(view.id, now_ms)

        local_zone = request.zone or self.zone
        local_pool = pools.get(local_zone)
        local_ranked: list[Prediction] = []
        if local_pool is not None:
            local_ranked = self._policy.rank(request, local_pool, is_usable, now_ms)
        local_offer = (
            self._zone_offer(request, local_ranked, local_zone)
            if local_ranked
            else None
        )
        if local_offer and self._overflow.is_local_enough(
            local_offer, request.target_ms
        ):
            return self._build_decision(request, version, local_ranked, "local", now_ms)
        remote_ranked: list[Prediction] = []
        remote_offers: list[ZoneOffer] = []
        zones = [
            z for z in pools if z != local_zone and z not in self._unreachable_zones
        ]
        self._rng.shuffle(zones)
        for ranked_zone_count, zone in enumerate(zones):
            if (
                ranked_zone_count >= self._overflow.remote_zones_to_rank
                and remote_ranked
            ):
                break
            zone_ranked = self._policy.rank(request, pools[zone], is_usable, now_ms)
            zone_ranked.sort(key=lambda prediction: target_time_ms(request, prediction))
            if zone_ranked:
                remote_ranked += zone_ranked
                remote_offers.append(self._zone_offer(request, zone_ranked, local_zone))
        remote_ranked.sort(key=lambda prediction: target_time_ms(request, prediction))
        if not remote_offers:
            if not local_ranked:
                return None
            return self._build_decision(request, version, local_ranked, "local", now_ms)
        if local_offer is None:
            return self._build_decision(
                request, version, remote_ranked, "only-elsewhere", now_ms
            )
        chosen = self._overflow.choose(local_offer, remote_offers)
        if chosen.zone == local_zone:
            return self._build_decision(
                request, version, local_ranked + remote_ranked, "local", now_ms
            )
        first = next(p for p in remote_ranked if p.zone == chosen.zone)
        ranked = [first, *(p for p in remote_ranked if p is not first), *local_ranked]
        return self._build_decision(request, version, ranked, "elsewhere", now_ms)

    def _zone_offer(
        self, request: RouteRequest, ranked: list[Prediction], local: ZoneId
    ) -> ZoneOffer:
        time_ms = target_time_ms(request, ranked[0])
        tokens = request.prompt_tokens + request.max_tokens
        return ZoneOffer.from_predictions(ranked, time_ms, local, tokens, self._prices)

    def _build_decision(
        self,
        request: RouteRequest,
        version: VersionId,
        ranked: list[Prediction],
        rule: str,
        now_ms: int,
    ) -> RouteDecision:
        best = ranked[0]
        second = ranked[1] if len(ranked) > 1 else None
        return RouteDecision(
            rule=f"{self._policy_name}/{rule}",
            request_id=request.request_id,
            service=request.service,
            version=version,
            zone=best.zone,
            chosen=best.endpoint,
            address=self.fleet.endpoints[best.endpoint].address,
            predicted_ms=target_time_ms(request, best),
            queue_ms=best.queue_ms,
            runner_up=second.endpoint if second else None,
            runner_up_ms=target_time_ms(request, second) if second else None,
            candidate_count=len(ranked),
            target_ms=request.target_ms,
            stream=request.stream,
            prompt_tokens=request.prompt_tokens,
            cached_tokens=best.cached_tokens,
            tried=request.tried,
            versions=request.versions,
            candidates=tuple(ranked),
            now_ms=now_ms,
        )

    def _no_choice_failure(self, request: RouteRequest, now_ms: int) -> Failure:
        live_count = self.fleet.live_endpoint_count(request.service)
        waits_ms = [
            wait_ms
            for version in self.fleet.versions(request.service)
            if (wait_ms := self._version_wait_ms(request, version, now_ms))
        ]
        pause_ms = self._shortest_pause_ms(request.service, now_ms)
        if pause_ms:
            return Failure(
                Reason.UNAVAILABLE,
                "routing.choose",
                str(request.service),
                f"all {live_count} live endpoints want a pause",
                Delivery.NOT_SENT,
                pause_ms,
            )
        if not live_count:
            return Failure(
                Reason.NO_ENDPOINT,
                "routing.choose",
                str(request.service),
                "no endpoint of the service is live",
                Delivery.NOT_SENT,
                1_000,
            )
        return Failure(
            Reason.UNAVAILABLE,
            "routing.choose",
            str(request.service),
            f"none of {live_count} live endpoints is eligible: tried, breaker open,"
            " excluded for a canary or unreachable",
            Delivery.NOT_SENT,
            max(waits_ms, default=1_000),
        )

    def _shortest_pause_ms(self, service: ServiceId, now_ms: int) -> int:
        """Return when the first live endpoint's pause ends, 0 if one has none."""
        return min(
            (
                self.pauses.wait_ms(view.id, now_ms)
                for view in self.fleet.endpoints.values()
                if view.service == service and view.state is MemberState.LIVE
            ),
            default=0,
        )

    def _version_wait_ms(
        self, request: RouteRequest, version: VersionId, now_ms: int
    ) -> int:
        key = (request.service, version, request.route)
        return self.breakers.versions.remaining_open_ms(key, now_ms)

    def admit(
        self,
        request: RouteRequest,
        decision: RouteDecision,
        customer: CustomerId,
        request_class: ClassId,
        now_ms: int,
    ) -> Admit | Wait | Refuse:
        """Submit a request to admission, with the decision of `choose`.

        After ``Wait``, choose again once the request is admitted. After
        ``Admit``, call ``admission.release`` when the request ends.
        """
        traffic = self.fleet.traffic_of(request.service)
        output = min(request.max_tokens, round(traffic.mean_output_tokens))
        uncached = max(0, request.prompt_tokens - decision.cached_tokens)
        admission_request = AdmissionRequest(
            request_id=request.request_id,
            service=request.service,
            customer=customer,
            request_class=request_class,
            cost_tokens=max(1, uncached + output),
            target_ms=request.target_ms,
            predicted_ms=decision.predicted_ms,
            queue_ms=decision.queue_ms,
        )
        return self.admission.submit(admission_request, now_ms)

    def record_attempt_start(
        self,
        attempt: AttemptId,
        request: RouteRequest,
        decision: RouteDecision,
        now_ms: int,
    ) -> None:
        """Record that the attempt of ``decision`` is being sent."""
        version_route = (request.service, decision.version, request.route)
        self.breakers.start_attempt(attempt, decision.chosen, version_route, now_ms)
        uncached = max(0, request.prompt_tokens - decision.cached_tokens)
        self.fleet.record_attempt_start(
            attempt, decision.chosen, uncached, request.max_tokens, now_ms
        )
        if request.prefix_blocks:
            self.prefixes.add_expected(decision.chosen, request.prefix_blocks)

    def record_token(self, attempt: AttemptId, now_ms: int) -> None:
        """Record a token of the attempt."""
        self.fleet.record_token(attempt, now_ms)

    def record_attempt_end(
        self,
        attempt: AttemptId,
        now_ms: int,
        failure: Failure | None = None,
        output_tokens: int = 0,
    ) -> None:
        """Record an attempt's end; refusals and cancels don't affect breakers.

        A refusal with a retry time keeps the endpoint out until then.
        """
        endpoint = self.breakers.endpoint_of(attempt)
        if endpoint is not None and failure is not None and failure.retry_after_ms:
            if failure.delivery is Delivery.REFUSED:
                self.pauses.record_refusal(endpoint, failure.retry_after_ms, now_ms)
        self.fleet.record_attempt_end(attempt, now_ms, failure is None, output_tokens)
        self.breakers.end_attempt(attempt, failure, now_ms)
