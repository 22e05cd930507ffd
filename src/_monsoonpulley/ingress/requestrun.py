"""One caller's request, from its arrival to its final answer."""

from __future__ import annotations

import asyncio
import math
import random

from ..fleet.model import Configuration, Endpoint, Route
from ..ids import EndpointId, InstanceId, ServiceId
from ..limits.quota import QuotaRefusal
from ..limits.returntimes import (
    draw_elsewhere_ms,
    has_returned,
    is_on_time,
    kept_share,
    tell_return_time,
)
from ..placing.endpointgate import Admission
from ..placing.placer import (
    MAX_RETRY_MS,
    NO_ENDPOINT_RETRY_MS,
    Choice,
    PlacementRefusal,
    Requirements,
)
from ..placing.regiongate import Regions, combine_regions
from ..placing.requestwork import predict_work_ms
from ..platform.answerheaders import PeerOutcome
from ..quarantine.evidence import Entry
from ..quarantine.quarantine import RETRY_AFTER_MS
from ..sharing.helpers import choose_helper, find_helpers
from ..sharing.members import Member
from ..wire.events import TimerExpired
from ..wire.serverconnection import Exchange
from .attempt import Attempt
from .parts import IngressParts
from .peerattempt import PeerAttempt
from .requestlog import AttemptEnded, PeerAttemptEnded, RequestEnded, Result
from .requeststate import UNAVAILABLE_RETRY_MS, RequestState

NO_CONFIGURATION_RETRY_MS = 1_000
"""Retry time while no configuration is known, and after an unexpected error.

An instance that has just started has its configuration after this time.
"""

MAX_UNREACHABLE_ENDPOINTS = 3
"""The request is refused after this many endpoints were unreachable."""


MAX_HELPERS = 2
"""Other instances that are asked to serve a request: the digests that tell who reaches
endpoints may be older than a cut."""


RETRY_SPREAD = 0.25
"""Retry times while nothing may be sent are spread over this share of them, so that the
callers don't return together, as in `placing.endpointgate`."""

MIN_LOST_SHARE = 0.5
"""Share of a service's endpoints from which on lost links are the reason for a refusal.
With fewer of them lost, the others are as busy as for any other instance."""


class RequestRun(RequestState):
    """Admits one request, attempts it at endpoints and answers its caller.

    Parameters
    ----------
    exchange : Exchange
        The request and the writer of its answer.
    parts : IngressParts
        State that all requests share.
    rng : random.Random
        Splits a route's traffic between services.
    is_from_peer : bool
        Whether another instance sent the request on; it is not sent on again.
    """

    def __init__(
        self,
        exchange: Exchange,
        parts: IngressParts,
        rng: random.Random,
        *,
        is_from_peer: bool = False,
    ):
        super().__init__(exchange, parts, is_from_peer=is_from_peer)
        self._rng = rng
        self._quota_cost = 0.0
        self._unreachable_count = 0
        self._admission = Admission(())
        self._helper_ids: set[InstanceId] = set()
        self._is_demand_counted = False
        self._holds_retry = False
        self._spent_ms = 0
        self._predicted_ms = 0.0
        self._return_draw: float | None = None
        self._share_factor = 1.0
        self._has_precedence = False
        self._is_return_kept: bool | None = None
        self._handled_ms = parts.clock.now_ms()

    async def run(self) -> None:
        """Serve the request and end its exchange."""
        self.parts.counters.in_progress.inc()
        try:
            if self._admit():
                await self._serve()
        except Exception as error:
            # An unexpected error. 502 means that the request may have run, 503 that
            # it has not.
            self.parts.log.event(
                "request_error", request=self.request_id, error=repr(error)
            )
            if self.may_have_run:
                self.respond(502, "internal error")
            else:
                self.respond(503, "internal error", NO_CONFIGURATION_RETRY_MS)
        finally:
            if not self.exchange.is_over:
                self.exchange.abort()
            self.parts.counters.in_progress.dec()
            self._log_request()

    def end_now(self) -> None:
        """Let the time for the request be up, as the process is about to end."""
        self.is_ended_by_stop = True
        self.deadline_ms = min(self.deadline_ms, self.parts.clock.now_ms())
        self.exchange.mailbox.put(self, TimerExpired("stop"))

    def try_move_stream(self, endpoint: EndpointId) -> bool:
        """Take a retry for the rest of a stream, if another endpoint would get it."""
        self.tried_ids.add(endpoint)
        admission = self._admission
        choice = self._choose()
        self._admission = admission
        if isinstance(choice, PlacementRefusal):
            return False
        self.parts.gate.refund(choice.endpoint.id, self.parts.clock.now_ms())
        self._holds_retry = self._may_retry(Result.INVALID)
        return self._holds_retry

    def _admit(self) -> bool:
        configuration = self.configuration
        if configuration is None:
            self.respond(503, "no configuration is known", NO_CONFIGURATION_RETRY_MS)
            return False
        facts = self.facts
        route = configuration.find_route(facts.host, facts.path)
        if route is None:
            self.respond(404, "no route")
            return False
        self.route = route
        if not self._authenticate(configuration, route):
            return False
        if not facts.request_id:
            self.respond(400, "no request id")
            return False
        timeout_ms = route.timeout_ms
        if facts.timeout_ms is not None:
            timeout_ms = min(timeout_ms, facts.timeout_ms)
        self.deadline_ms = self.exchange.request.received_ms + timeout_ms
        service = configuration.services.get(self._pick_service(route))
        if service is None:
            self.respond(
                503, "the route's service is not configured", UNAVAILABLE_RETRY_MS
            )
            return False
        self.service = service
        if self._refuse_late():
            return False
        entry = self.find_quarantine_entry()
        if entry is not None and not self._may_try(entry):
            self._refuse_quarantined(entry)
            return False
        self._spent_ms = self.parts.wait_limits.spent_ms(
            route, facts.timeout_ms, self.parts.clock.now_ms()
        )
        if self._is_shed():
            self._refuse_here("the instance is short of processor time")
            return False
        self.parts.retry_budget.count_request(service.id, self.parts.clock.now_ms())
        return self._consume_quota()

    def _refuse_late(self) -> bool:
        """Refuse a request that has not run if the stop leaves it too little time."""
        gate, now_ms = self.parts.stop_gate, self.parts.clock.now_ms()
        if self.may_have_run or gate.may_begin(now_ms, self.deadline_ms):
            return False
        refusal = gate.explain(self.request_id, now_ms, self.deadline_ms)
        self.parts.log.decision(refusal)
        self.parts.counters.stopped_requests.labels("refused").inc()
        self.is_own_refusal = True
        if self.parts.members.has_serving():
            self._refuse_here("the instance stops")
        else:
            restart_ms = refusal.left_ms + NO_CONFIGURATION_RETRY_MS
            self.respond(503, "all instances stop", self._spread_ms(restart_ms))
        return True

    def _refuse_here(self, detail: str) -> None:
        """Refuse a request that the caller should send to another instance."""
        self.respond(503, detail, draw_elsewhere_ms(self._rng))

    def _is_shed(self) -> bool:
        """Return whether to reject a request, as this process falls behind."""
        if self.is_from_peer:
            return False
        share = self.parts.process_load.shed_share(self.rank)
        return share > 0 and self._rng.random() < share

    def _authenticate(self, configuration: Configuration, route: Route) -> bool:
        """Set the customer of the key, or answer 401 if the route requires one."""
        if not configuration.has_customers:
            return True
        customer_id = configuration.customer_by_key.get(self.facts.api_key)
        if customer_id is not None:
            self.customer = configuration.customers[customer_id]
        elif route.requires_key:
            self.respond(401, "unknown key")
            return False
        return True

    def _pick_service(self, route: Route) -> ServiceId:
        if len(route.services) == 1:
            return route.services[0][0]
        names = [service for service, _ in route.services]
        weights = [weight for _, weight in route.services]
        return self._rng.choices(names, weights)[0]

    def _consume_quota(self) -> bool:
        if self.customer is None:
            return True
        quotas = self.parts.quotas
        facts = self.facts
        self._quota_cost = quotas.cost(
            self.customer.id, facts.prompt_tokens, facts.max_output_tokens
        )
        # None if the cost was charged or the customer has no quota.
        refusal = quotas.consume(
            self.customer.id, self._quota_cost, self.parts.clock.now_ms()
        )
        if isinstance(refusal, QuotaRefusal):
            self._quota_cost = 0.0
            if self.exchange.has_started:
                # Its first endpoint was charged for: the rest is no further request.
                return True
            self.respond(
                429, f"quota used up: {refusal.level:.0f} left", refusal.retry_after_ms
            )
            return False
        return True

    async def _serve(self) -> None:
        timer = asyncio.get_running_loop().call_later(
            max(0, self.remaining_ms()) / 1000,
            self.exchange.mailbox.put,
            self,
            TimerExpired("deadline"),
        )
        try:
            await self._try_endpoints()
        finally:
            timer.cancel()
            if not self.may_have_run and self.customer is not None:
                self.parts.quotas.refund(self.customer.id, self._quota_cost)

    async def _try_endpoints(self) -> None:
        while not self.exchange.is_over:
            entry = self.find_quarantine_entry()
            if entry is not None:
                self._refuse_quarantined(entry)
                return
            choice = self._choose()
            if isinstance(choice, PlacementRefusal):
                helpers = self._find_helpers()
                if helpers:
                    await self._ask_one_of(helpers)
                    continue
            self._count_demand(choice)
            if isinstance(choice, PlacementRefusal):
                self._refuse(choice)
                return
            attempt = Attempt(self, choice)
            try:
                result = await attempt.run()
            finally:
                if not attempt.was_sent:
                    now_ms = self.parts.clock.now_ms()
                    self.parts.gate.refund(choice.endpoint.id, now_ms)
            self._log_attempt(attempt, result)
            self.tried_ids.add(choice.endpoint.id)
            if self.exchange.is_over or self._refuse_late():
                return
            if result is Result.UNREACHABLE:
                # Nothing was sent, so this uses neither an attempt nor retry budget.
                self._unreachable_count += 1
                if self._unreachable_count < MAX_UNREACHABLE_ENDPOINTS:
                    continue
                helpers = self._find_helpers(0.0)
                if helpers:
                    await self._ask_one_of(helpers)
                    continue
                self.is_own_refusal = not attempt.was_connected
                self._refuse(
                    PlacementRefusal("endpoints are unreachable", UNAVAILABLE_RETRY_MS)
                )
                return
            if not self._may_retry(result):
                attempt.give_final_answer(result, self._not_run_retry_ms())
                return

    def _find_helpers(self, min_lost_share: float = MIN_LOST_SHARE) -> list[Member]:
        """Return the instances that can perhaps serve what this one would refuse.

        They have more links to endpoints; there are none while this instance has lost
        a smaller share than ``min_lost_share`` of its own.
        """
        assert self.service is not None and self.configuration is not None
        parts = self.parts
        if self.is_from_peer or len(self._helper_ids) >= MAX_HELPERS:
            return []
        untried = self._untried_endpoints()
        lost_count = parts.links.unreachable_count(untried)
        if not lost_count or lost_count < min_lost_share * len(untried):
            return []
        return find_helpers(
            parts.members,
            self.service.id,
            lost_count,
            self.configuration.version,
            self._helper_ids,
            self._may_help,
        )

    def _may_help(self, member: Member) -> bool:
        """Return whether another instance complies with what this one knows.

        One that has not read of an evacuation, or whose build knows of none, would send
        the request to the evacuated data centre; the same applies to allowed regions.
        """
        if not self.parts.evacuations.zones <= member.evacuated:
            return False
        allowed = self._allowed_regions()
        return allowed is None or (
            member.applies_regions
            and self.parts.region_gate.may_send_body(member.zone, allowed)
        )

    async def _ask_one_of(self, helpers: list[Member]) -> None:
        """Let another instance serve the request and answer, unless it can't."""
        helper = choose_helper(helpers, self._rng)
        self._helper_ids.add(helper.instance)
        self._release_charges()
        attempt = PeerAttempt(self, helper)
        result = await attempt.run()
        self._log_peer_attempt(attempt, result, len(helpers))
        if self.exchange.is_over:
            return
        is_unserved = result is Result.UNREACHABLE or (
            result is Result.NOT_RUN and attempt.outcome is PeerOutcome.NO_LINK
        )
        # A failure is final: the other instance has used the attempts that were left.
        may_go_on = result is Result.INVALID or (
            result is Result.NOT_RUN and self.exchange.has_started
        )
        if is_unserved or (may_go_on and self._may_retry(result)):
            if not self._refuse_late():
                self._charge_again()
            return
        attempt.give_final_answer(result, UNAVAILABLE_RETRY_MS)

    def _release_charges(self) -> None:
        """Uncount the request here, as the other instance counts it."""
        assert self.service is not None
        self.parts.retry_budget.uncount_request(self.service.id)
        if self.customer is not None:
            self.parts.quotas.refund(self.customer.id, self._quota_cost)
        self._quota_cost = 0.0

    def _charge_again(self) -> None:
        """Count a request that the other instance didn't serve."""
        assert self.service is not None
        self.parts.retry_budget.count_request(
            self.service.id, self.parts.clock.now_ms()
        )
        self._consume_quota()

    def _open_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints of the service that this request may be sent to."""
        assert self.service is not None
        return self.parts.evacuations.open_endpoints(self._regional_endpoints())

    def _regional_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints of the service that are in allowed regions."""
        assert self.service is not None
        ready = self.parts.directory.ready_endpoints(self.service.id)
        return self.parts.region_gate.allowed_endpoints(ready, self._allowed_regions())

    def _allowed_regions(self) -> Regions | None:
        """Return the regions that the request may reach, None for all.

        What was allowed when it arrived and what is allowed now both apply, as streams
        are resumed long after their arrival.
        """
        assert self.route is not None
        route_limit = self.route.allowed_regions
        customer_limit = self.customer.allowed_regions if self.customer else None
        current = self.parts.configuration.current
        if current is self.configuration or current is None:
            return combine_regions(route_limit, customer_limit)
        route = current.find_route(self.facts.host, self.facts.path)
        customer = current.customers.get(self.customer.id) if self.customer else None
        return combine_regions(
            route_limit,
            customer_limit,
            route.allowed_regions if route is not None else None,
            customer.allowed_regions if customer is not None else None,
        )

    def _untried_endpoints(self) -> tuple[Endpoint, ...]:
        assert self.service is not None
        eligible = self.parts.rollouts.eligible_endpoints(
            self.service.id, self._open_endpoints()
        )
        return tuple(e for e in eligible if e.id not in self.tried_ids)

    def _untried_old_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints of the version that a roll-out in progress replaces."""
        assert self.service is not None
        old = self.parts.rollouts.old_endpoints(self.service.id, self._open_endpoints())
        return tuple(e for e in old if e.id not in self.tried_ids)

    def _may_try(self, entry: Entry) -> bool:
        """Return whether this request may show that an entry no longer holds."""
        assert self.service is not None
        ready = self._open_endpoints()
        versions = {endpoint.version for endpoint in ready}
        self.is_trial = self.parts.quarantine.try_acquire_trial(entry, versions)
        return self.is_trial

    def _choose(self) -> Choice | PlacementRefusal:
        assert self.service is not None and self.route is not None
        parts = self.parts
        now_ms = parts.clock.now_ms()
        parts.observe_capacity(self.service, now_ms)
        requirements = Requirements(
            is_generation=self.service.engine is not None,
            parts=self.facts.parts,
            prompt_tokens=self.facts.prompt_tokens,
            held_tokens=self.facts.held_tokens,
            remaining_ms=self.remaining_ms(),
            max_wait_ms=self._max_wait_ms(now_ms),
        )
        untried = self._untried_endpoints()
        if not self._linked_endpoints(untried):
            # The few endpoints of a new version were tried, or can't be reached.
            untried = self._untried_old_endpoints() or untried
        if not untried:
            closed = self._refuse_closed()
            if closed is not None:
                return closed
        linked = self._linked_endpoints(untried)
        if untried and not linked:
            self.is_own_refusal = True
            return PlacementRefusal("endpoints are unreachable", UNAVAILABLE_RETRY_MS)
        self._admission = parts.gate.admit(linked, now_ms)
        if self._admission.cold_count:
            parts.counters.requests_kept_off_cold.labels(self.service.id).inc()
        if not self._admission.usable:
            self._admit_old_version(linked, now_ms)
        if linked and not self._admission.usable:
            return parts.gate.refuse(linked, self.facts.prompt_tokens, now_ms)
        choice = self._place(requirements, self._admission.usable, now_ms)
        if isinstance(choice, Choice):
            self._predicted_ms = choice.predicted_ms
            parts.gate.record_choice(choice.endpoint, now_ms)
        return choice

    def _admit_old_version(self, drawn: tuple[Endpoint, ...], now_ms: int) -> None:
        """Let the old version serve what endpoints of a new one can't take."""
        parts = self.parts
        untried = tuple(e for e in self._untried_old_endpoints() if e not in drawn)
        if not untried:
            return
        admission = parts.gate.admit(self._linked_endpoints(untried), now_ms)
        if admission.usable:
            self._admission = admission

    def _place(
        self, requirements: Requirements, usable: tuple[Endpoint, ...], now_ms: int
    ) -> Choice | PlacementRefusal:
        """Choose an endpoint; data centres that take traffic back get it in steps."""
        parts = self.parts
        unreachable_zones = parts.zone_reach.unreachable_zones(now_ms)

        def choose(candidates: tuple[Endpoint, ...]) -> Choice | PlacementRefusal:
            return parts.placer.choose(
                requirements,
                candidates,
                self.tried_ids,
                parts.zone,
                now_ms,
                unreachable_zones,
                self._admission.cold_ids,
            )

        if parts.evacuations.is_returning:
            preferred = self._without_deferred(usable)
            choice = choose(preferred)
            if isinstance(choice, Choice):
                return choice
            # A request that others can't serve may use idle endpoints at once.
        return choose(usable)

    def _without_deferred(
        self, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        if self._return_draw is None:
            self._return_draw = self._rng.random()
        evacuations, draw = self.parts.evacuations, self._return_draw
        return tuple(e for e in endpoints if not evacuations.is_deferred(e.zone, draw))

    def _refuse_closed(self) -> PlacementRefusal | None:
        """Return the refusal of a request that no known endpoint may get, if so."""
        if self._open_endpoints():
            return None
        allowed = self._allowed_regions()
        has_regional = bool(self._regional_endpoints())
        if allowed is not None and not has_regional:
            return self._refuse_region(allowed)
        if not has_regional:
            return None
        return PlacementRefusal(
            "all data centres with endpoints are evacuated",
            self._spread_ms(NO_ENDPOINT_RETRY_MS),
            self.facts.prompt_tokens,
        )

    def _refuse_region(self, allowed: Regions) -> PlacementRefusal:
        """Return the refusal of a request for which no allowed region has an endpoint.

        If none is allowed at all, only another configuration helps: it is no work that
        more endpoints could do, and a caller needn't come back soon.
        """
        assert self.service is not None
        self.parts.counters.region_rejections.labels(self.service.id).inc()
        if not allowed:
            self._is_demand_counted = True
            return PlacementRefusal(
                "no region is allowed", self._spread_ms(MAX_RETRY_MS)
            )
        return PlacementRefusal(
            f"no endpoint in an allowed region: {', '.join(sorted(allowed))}",
            self._spread_ms(NO_ENDPOINT_RETRY_MS),
            self.facts.prompt_tokens,
        )

    def _spread_ms(self, retry_ms: int) -> int:
        return round(retry_ms * self._rng.uniform(1.0, 1.0 + RETRY_SPREAD))

    def _barred_count(self) -> int:
        """Return how many endpoints are left out by region or evacuation."""
        assert self.service is not None
        if not self.parts.evacuations.zones and self._allowed_regions() is None:
            return 0
        ready = self.parts.directory.ready_endpoints(self.service.id)
        return len(ready) - len(self._open_endpoints())

    def _linked_endpoints(
        self, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints to try from here.

        These are the ones to which there presumably are links. Once no other instance
        can help, all are tried to which the link isn't known to be lost, or to which
        a connection is open.
        """
        links, upstreams = self.parts.links, self.parts.upstreams
        reachable = links.reachable(endpoints)
        if reachable or self._find_helpers():
            return reachable
        return tuple(
            e for e in endpoints if not links.is_lost(e.id) or upstreams.has_idle(e)
        )

    def _not_run_retry_ms(self) -> int:
        """Return when a request that endpoints refused to run may return."""
        assert self.service is not None
        ready = self._open_endpoints()
        now_ms = self.parts.clock.now_ms()
        if not ready or self.parts.gate.admit(ready, now_ms).usable:
            return UNAVAILABLE_RETRY_MS
        refusal = self.parts.gate.refuse(ready, 0, now_ms)
        return max(UNAVAILABLE_RETRY_MS, refusal.retry_after_ms)

    def _max_wait_ms(self, now_ms: int) -> float:
        """Return the longest wait for an endpoint; work that was begun has no limit."""
        assert self.route is not None
        if self.send_count:
            return math.inf
        elapsed_ms = self._spent_ms + now_ms - self.exchange.request.received_ms
        if self.customer is not None and self.service is not None:
            shares = self.parts.fair_shares
            self._share_factor = shares.limit_factor(
                self.service.id, self.rank, self.customer.id, now_ms
            )
            self._has_precedence = shares.work(
                self.service.id, now_ms
            ).is_short and is_on_time(self._spent_ms, self.remaining_ms())
        return self.parts.wait_limits.max_wait_ms(
            self.route,
            elapsed_ms,
            self.rank,
            self._share_factor,
            has_precedence=self._has_precedence,
        )

    def _count_demand(self, choice: Choice | PlacementRefusal) -> None:
        """Count the request once as work that arrived for its service."""
        assert self.service is not None
        if self._is_demand_counted:
            return
        self._is_demand_counted = True
        parts, tokens = self.parts, choice.prefill_tokens
        parts.demand.record(self.service.id, tokens)
        is_admitted = isinstance(choice, Choice)
        # Other refusals, as those for allowed regions, show no lack of capacity.
        is_counted = is_admitted or (
            choice.is_busy and not has_returned(self._spent_ms)
        )
        if self.customer is not None and is_counted:
            parts.fair_shares.record(
                self.service.id,
                self.rank,
                self.customer.id,
                predict_work_ms(parts.endpoint_models, self.service, tokens),
                parts.clock.now_ms(),
                is_admitted=is_admitted,
            )

    def _may_retry(self, result: Result) -> bool:
        assert self.route is not None and self.service is not None
        if self._holds_retry:
            self._holds_retry = False
            return True
        if self.send_count >= self.route.max_attempts or not self.position.is_known:
            return False
        if result is not Result.NOT_RUN and not self.route.is_idempotent:
            return False
        now_ms = self.parts.clock.now_ms()
        if not self.parts.stop_gate.may_repeat(now_ms, self._predicted_ms):
            return False
        return self.parts.retry_budget.try_acquire(self.service.id, now_ms)

    def _refuse(self, refusal: PlacementRefusal) -> None:
        """Answer that no endpoint is available for the request."""
        if self.may_have_run:
            self.respond(502, refusal.reason)
        else:
            self.respond(503, refusal.reason, self._retry_after_ms(refusal))

    def _retry_after_ms(self, refusal: PlacementRefusal) -> int:
        """Return when the caller may return; in an overload, when there is capacity."""
        if self.customer is None or self.service is None or not refusal.is_busy:
            return refusal.retry_after_ms
        if self.facts.timeout_ms is None:
            # How long the caller would wait is not known.
            return refusal.retry_after_ms
        parts, service = self.parts, self.service.id
        work = parts.fair_shares.work(service, parts.clock.now_ms())
        if not work.is_short:
            return refusal.retry_after_ms
        share = kept_share(work, parts.capacities.get(service).work_ms_per_s)
        left_ms = max(0, self.remaining_ms())
        told = tell_return_time(refusal.retry_after_ms, left_ms, share, self._rng)
        self._is_return_kept = told.is_kept
        return told.retry_after_ms

    def _refuse_quarantined(self, entry: Entry) -> None:
        """Answer that requests like this one crash endpoints."""
        self.parts.quarantine.record_refusal(entry)
        detail = f"quarantined: {entry.key} crashed {len(entry.endpoints)} endpoints"
        if self.may_have_run:
            self.respond(502, detail)
        else:
            self.respond(503, detail, RETRY_AFTER_MS)

    def _log_attempt(self, attempt: Attempt, result: Result) -> None:
        assert self.service is not None
        choice = attempt.choice
        reachable_count, member_count = self.parts.members.last_counts
        self.parts.counters.attempts.labels(self.service.id, result.value).inc()
        self.parts.log.decision(
            AttemptEnded(
                rule="least_predicted_time",
                request=self.request_id,
                attempt=self.send_count,
                endpoint=choice.endpoint.id,
                service=self.service.id,
                predicted_ms=choice.predicted_ms,
                running=choice.running_count,
                unread_tokens=choice.prefill_tokens,
                backlog_tokens=choice.backlog_tokens,
                held_tokens=choice.held_tokens,
                rank=self.rank,
                runner_up=choice.runner_up_id,
                candidates=choice.candidate_count,
                limited=self._admission.limited_count,
                paused=self._admission.paused_count,
                full=self._admission.full_count,
                cold=self._admission.cold_count,
                heard=reachable_count,
                members=member_count,
                left_ms=self.remaining_ms(),
                took_ms=attempt.elapsed_ms,
                first_ms=attempt.first_byte_ms,
                result=result.value,
                detail=attempt.detail,
                status=attempt.status,
                foreign=attempt.foreign_count,
                events=attempt.event_count,
                barred=self._barred_count(),
                longest_gap_ms=attempt.longest_gap_ms,
                speed_factor=choice.speed_factor,
                parts=self.part_fingerprints() if attempt.broke_off else (),
            )
        )

    def _log_peer_attempt(
        self, attempt: PeerAttempt, result: Result, helper_count: int
    ) -> None:
        assert self.service is not None
        parts = self.parts
        now_ms = parts.clock.now_ms()
        ready = self._open_endpoints()
        outcome = attempt.outcome
        parts.counters.peer_attempts.labels(self.service.id, result.value).inc()
        parts.log.decision(
            PeerAttemptEnded(
                rule="no_link_to_an_endpoint",
                request=self.request_id,
                peer=attempt.peer.instance,
                service=self.service.id,
                helpers=helper_count,
                lost=sum(parts.links.is_lost(endpoint.id) for endpoint in ready),
                known=len(ready),
                is_cut_off=parts.links.is_cut_off(),
                digest_age_ms=now_ms - (attempt.peer.last_received_ms or 0),
                left_ms=self.remaining_ms(),
                took_ms=attempt.elapsed_ms,
                first_ms=attempt.first_byte_ms,
                result=result.value,
                outcome=outcome.value.decode() if outcome is not None else "",
                detail=attempt.detail,
                status=attempt.status,
                foreign=attempt.foreign_count,
            )
        )

    def _log_request(self) -> None:
        now_ms = self.parts.clock.now_ms()
        request = self.exchange.request
        received_ms, arrival = request.received_ms, request.arrival
        kind = self.route.kind if self.route else None
        kind_name = kind.value if kind else ""
        if not self.is_from_peer:
            self._count_answer(kind_name)
        since_ms = self.parts.configuration.in_force_since_ms
        self.parts.log.decision(
            RequestEnded(
                rule="final_answer",
                request=self.request_id,
                route=self.route.name if self.route else "",
                kind=kind_name,
                customer=self.customer.id if self.customer else "",
                service=self.service.id if self.service else "",
                status=self.status,
                detail=self.detail,
                may_have_run=self.may_have_run,
                attempts=self.send_count,
                took_ms=now_ms - received_ms,
                first_ms=self.first_byte_ms,
                retry_after_ms=self.retry_after_ms,
                rank=self.rank,
                spent_ms=self._spent_ms,
                share_factor=round(self._share_factor, 2),
                has_precedence=self._has_precedence,
                is_return_kept=self._is_return_kept,
                is_from_peer=self.is_from_peer,
                configuration=self.configuration.version if self.configuration else 0,
                configuration_age_ms=now_ms - since_ms if since_ms is not None else 0,
                connection_age_ms=arrival.connection_age_ms,
                earlier_requests=arrival.earlier_requests,
                idle_ms=arrival.idle_ms,
                receive_ms=arrival.receive_ms,
                queued_ms=self._handled_ms - received_ms - arrival.receive_ms,
                stopping_for_ms=self.parts.stop_gate.stopping_for_ms(self._handled_ms),
            )
        )

    def _count_answer(self, kind_name: str) -> None:
        """Count the answer to a caller in the metrics."""
        counters = self.parts.counters
        # Only the text before the colon is a metric label; the rest varies by request.
        reason = self.detail.partition(":")[0]
        counters.requests.labels(kind_name, str(self.status), reason).inc()
        if self.first_byte_ms is not None:
            counters.first_byte_s.labels(kind_name).observe(self.first_byte_ms / 1000)
