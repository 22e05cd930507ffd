"""Chooses the endpoint for each attempt of a request.

One `Router` holds all state of routing, admission and retries of a daemon.
It does no I/O: the daemon feeds it lists, reports, events and results.
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
from .admission import Admission, AdmissionRequest, Admit, Refuse, Wait
from .attemptbreakers import AttemptBreakers
from .overflow import EQUAL_PRICES, OVERFLOW_RULES, OverflowRule, Prices, ZoneOffer
from .policies import POLICIES, RouteRequest, Scorer
from .prediction import Prediction
from .prefixindex import PrefixIndex
from .retries import Retries
from .routedecision import RouteDecision, target_time_ms
from .view import EndpointView, FleetView

DEFAULT_OVERFLOW = "local-first-by-prediction"
SLOTS_RATIO = 1.0


class Router:
    """Routing, admission and retries of one daemon.

    Parameters
    ----------
    zone : ZoneId
        The daemon's data centre.
    rng : random.Random
        For sampling and jitter.
    policy : str
        Name in `policies.POLICIES`.
    overflow : OverflowRule, optional
        Choice between data centres; local first by default.
    prices : Prices
        What work costs by data centre, for rules that weigh it.

    Attributes
    ----------
    held_back : frozenset of EndpointId
        Endpoints that get nothing while a canary is kept on few.
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
        self._scorer = Scorer(self.fleet, self.prefixes)
        self._policy_name = policy
        self._policy = POLICIES.get(policy)(self._scorer, rng)
        self._rng = rng
        self._overflow = overflow or OVERFLOW_RULES.get(DEFAULT_OVERFLOW)()
        self._prices = prices
        self._cut_off_zones: frozenset[ZoneId] = frozenset()
        self.held_back: frozenset[EndpointId] = frozenset()

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
        """Take in another document; what was learnt is kept."""
        kinds = {name: service.kind for name, service in document.services.items()}
        self._scorer.kinds = kinds
        self.admission.reconfigure(document)

    def set_peers(self, count: int) -> None:
        """Set how many other daemons send to the same endpoints."""
        self.fleet.peers = max(0, count)

    def set_cut_off_zones(self, zones: frozenset[ZoneId]) -> None:
        """Set the data centres that can't be reached now."""
        self._cut_off_zones = zones

    def apply_members(self, members: Sequence[Member], now_ms: int) -> None:
        """Take in the platform's list, which lags."""
        before = set(self.fleet.endpoints)
        self.fleet.apply_members(members, now_ms)
        for endpoint in before - set(self.fleet.endpoints):
            self.prefixes.forget(endpoint)
            self.breakers.endpoints.forget(endpoint)

    def mark_leaving(self, endpoint: EndpointId, now_ms: int) -> None:
        """Give an endpoint no new work from now on."""
        self.fleet.mark_leaving(endpoint, now_ms)

    def apply_load(
        self,
        endpoint: EndpointId,
        report: LoadReport,
        now_ms: int,
        wall_ms: int | None = None,
    ) -> None:
        """Take in a load report (see `FleetView.apply_load`)."""
        self.fleet.apply_load(endpoint, report, now_ms, wall_ms)

    def apply_cache_events(
        self, endpoint: EndpointId, events: Sequence[CacheEvent]
    ) -> bool:
        """Take in cache events; return whether a resync is wanted."""
        return self.prefixes.apply(endpoint, events)

    def update_slots(self) -> None:
        """Bound admission by this daemon's part of the endpoints' batches.

        Call it when reports or peers changed; services without reports are
        not bounded.
        """
        slots: dict[ServiceId, float] = {}
        for view in self.fleet.endpoints.values():
            if view.report is not None and view.state is MemberState.LIVE:
                slots[view.service] = (
                    slots.get(view.service, 0.0) + view.report.max_running
                )
        daemons = self.fleet.peers + 1
        for service, count in slots.items():
            self.admission.set_slots(service, SLOTS_RATIO * count / daemons)

    def choose(self, request: RouteRequest, now_ms: int) -> RouteDecision | Failure:
        """Choose an endpoint; nothing changes until `started`.

        Returns
        -------
        RouteDecision or Failure
            ``TARGET_UNREACHABLE`` past the deadline, ``NO_ENDPOINT`` if none
            is LIVE, ``UNAVAILABLE`` if breakers keep back or the request has
            tried all that are.
        """
        if request.deadline_ms is not None and now_ms >= request.deadline_ms:
            return Failure(
                Reason.TARGET_UNREACHABLE,
                "routing.choose",
                detail="the deadline has passed",
                delivery=Delivery.NOT_SENT,
            )
        for version in self._versions_in_order(request):
            if not self._version_allows(request, version, now_ms):
                continue
            found = self._rank_zones(request, version, now_ms)
            if found is not None:
                return found
        return self._nowhere(request, now_ms)

    def _versions_in_order(self, request: RouteRequest) -> list[VersionId]:
        """Draw a version by share; then those named before it, or of share 1.

        A version never takes over what one named before it can't serve, so a
        canary's share stays what was decided, also where it sends most for a
        moment. Versions that all have the full share stand in for each other.
        """
        shares = request.versions
        if not shares:
            names = self.fleet.versions(request.service)
            self._rng.shuffle(names)
            return names
        if len(shares) == 1:
            return list(shares)
        names = list(shares)
        drawn = self._rng.choices(names, weights=[shares[n] for n in names])[0]
        before = names[: names.index(drawn)]
        full = [n for n in names if shares[n] >= 1.0 and n not in (drawn, *before)]
        return [drawn, *before, *full]

    def _version_allows(
        self, request: RouteRequest, version: VersionId, now_ms: int
    ) -> bool:
        key = (request.service, version, request.route)
        return self.breakers.versions.allows(key, now_ms)

    def _rank_zones(
        self, request: RouteRequest, version: VersionId, now_ms: int
    ) -> RouteDecision | None:
        """Look at the local data centre, and at others if it is too slow."""
        pools = self.fleet.pools(request.service, version)
        tried = request.tried
        breakers = self.breakers.endpoints

        def usable(view: EndpointView) -> bool:
            if view.id in self.held_back:
                return False
            return view.id not in tried and breakers.allows(view.id, now_ms)

        local_zone = request.zone or self.zone
        local = pools.get(local_zone)
        found: list[Prediction] = []
        if local is not None:
            found = self._policy.rank(request, local, usable, now_ms)
        here = self._offer(request, found, local_zone) if found else None
        if here and self._overflow.is_local_enough(here, request.target_ms):
            return self._decision(request, version, found, "local", now_ms)
        others: list[Prediction] = []
        offers: list[ZoneOffer] = []
        zones = [z for z in pools if z != local_zone and z not in self._cut_off_zones]
        self._rng.shuffle(zones)
        for looked_at, zone in enumerate(zones):
            if looked_at >= self._overflow.max_other_zones and others:
                break
            there = self._policy.rank(request, pools[zone], usable, now_ms)
            there.sort(key=lambda prediction: target_time_ms(request, prediction))
            if there:
                others += there
                offers.append(self._offer(request, there, local_zone))
        others.sort(key=lambda prediction: target_time_ms(request, prediction))
        if not offers:
            if not found:
                return None
            return self._decision(request, version, found, "local", now_ms)
        if here is None:
            return self._decision(request, version, others, "only-elsewhere", now_ms)
        chosen = self._overflow.choose(here, offers)
        if chosen.zone == local_zone:
            return self._decision(request, version, found + others, "local", now_ms)
        first = next(p for p in others if p.zone == chosen.zone)
        ranked = [first, *(p for p in others if p is not first), *found]
        return self._decision(request, version, ranked, "elsewhere", now_ms)

    def _offer(
        self, request: RouteRequest, ranked: list[Prediction], local: ZoneId
    ) -> ZoneOffer:
        time_ms = target_time_ms(request, ranked[0])
        tokens = request.prompt_tokens + request.max_tokens
        return ZoneOffer.from_predictions(ranked, time_ms, local, tokens, self._prices)

    def _decision(
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

    def _nowhere(self, request: RouteRequest, now_ms: int) -> Failure:
        live = self.fleet.pool_size(request.service)
        waits = [
            wait_ms
            for version in self.fleet.versions(request.service)
            if (wait_ms := self._version_wait_ms(request, version, now_ms))
        ]
        if not live:
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
            f"none of {live} live endpoints may be chosen: tried or breaker open",
            Delivery.NOT_SENT,
            max(waits, default=1_000),
        )

    def _version_wait_ms(
        self, request: RouteRequest, version: VersionId, now_ms: int
    ) -> int:
        key = (request.service, version, request.route)
        return self.breakers.versions.open_for_ms(key, now_ms)

    def admit(
        self,
        request: RouteRequest,
        decision: RouteDecision,
        customer: CustomerId,
        request_class: ClassId,
        now_ms: int,
    ) -> Admit | Wait | Refuse:
        """Ask admission for a request that `choose` found a place for.

        After ``Wait`` and its turn, choose again. After ``Admit``,
        ``admission.release`` must follow when the request ends.
        """
        traffic = self.fleet.traffic_of(request.service)
        output = min(request.max_tokens, round(traffic.output_tokens))
        uncached = max(0, request.prompt_tokens - decision.cached_tokens)
        offer = AdmissionRequest(
            request_id=request.request_id,
            service=request.service,
            customer=customer,
            request_class=request_class,
            cost_tokens=max(1, uncached + output),
            target_ms=request.target_ms,
            predicted_ms=decision.predicted_ms,
            queue_ms=decision.queue_ms,
        )
        return self.admission.offer(offer, now_ms)

    def record_start(
        self,
        attempt: AttemptId,
        request: RouteRequest,
        decision: RouteDecision,
        now_ms: int,
    ) -> None:
        """Note that the attempt of ``decision`` is being sent."""
        version_route = (request.service, decision.version, request.route)
        self.breakers.begin(attempt, decision.chosen, version_route, now_ms)
        uncached = max(0, request.prompt_tokens - decision.cached_tokens)
        self.fleet.record_start(
            attempt, decision.chosen, uncached, request.max_tokens, now_ms
        )
        if request.prefix_blocks:
            self.prefixes.expect(decision.chosen, request.prefix_blocks)

    def record_progress(self, attempt: AttemptId, now_ms: int) -> None:
        """Note a token of the attempt."""
        self.fleet.record_progress(attempt, now_ms)

    def record_end(
        self,
        attempt: AttemptId,
        now_ms: int,
        failure: Failure | None = None,
        output_tokens: int = 0,
    ) -> None:
        """Note the attempt's end; a refusal or a cancel opens no breaker."""
        self.fleet.record_end(attempt, now_ms, failure is None, output_tokens)
        self.breakers.end(attempt, failure, now_ms)
