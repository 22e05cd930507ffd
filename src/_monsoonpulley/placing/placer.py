"""Choice of an endpoint for a request.

The endpoint with the lowest predicted time to the first event, or to the answer
of a plain service, gets the request. The prefill time is weighted more than once
since later requests wait for it too, so that prompts with common parts go to the
same engines while these are busy. A request that no endpoint can answer before
its deadline, or that would wait longer than its limit, is refused at once.
"""

from __future__ import annotations

import math
import random

import msgspec

from ..fleet.model import Endpoint
from ..ids import EndpointId, ZoneId
from .endpointmodels import EndpointModels
from .endpointspeeds import EndpointSpeed
from .health import EndpointHealth
from .loadboard import Load, LoadBoard
from .promptcacheindex import PromptCacheIndex, PromptPart

FAILURE_PENALTY_MS = 100.0
"""Added to the predicted time for each unit of failure weight."""

PREFILL_COST_FACTOR = 4.0
"""Weight of a request's prefill time on top of its own wait: other requests wait for
it too, and the cached parts that it evicts are prefilled again. With 0, `test_fleet`
misses its latency targets; ``python -m testing.placing.fleetplay`` prints them."""

UNEVEN_PREFILL_COST_FACTOR = 7.0
"""The same where the endpoints differ in speed, on top of the prefill time without
waiting, which is about 4/7 of the one that all answers show. It weighs the mean time
and not that of the endpoint: a fast one is delayed for less time, but more requests
wait for it."""

STREAM_COST_FACTOR = 0.1
"""Weight of the prefill time for each request that already runs at an endpoint: a
prompt delays its next event."""

UNSEEN_WORK_MS = 30.0
"""Work of peers at an endpoint that their digests don't show yet. Where endpoints
differ, instances choose at random between those whose costs differ by about as much,
and don't all send to the fastest one: with 0, ``testing.placing.unevenplay`` has more
late streams than without learned speeds."""

MIN_EXPONENTIAL = 1e-9
"""Random numbers are not smaller, so that they have a logarithm."""

OTHER_ZONE_ROUND_TRIP_MS = 1.0
"""Round trip to another data centre; decides between otherwise equal endpoints."""

COLD_TIME_FACTOR = 2.0
"""A cold endpoint may be slower than predicted, by an unknown factor, and bears few
requests. It gets those that cost this many times as much at any warm one: short and
cached prompts before long ones, and only while warm ones are busy. These have as many
times its predicted time left, unless the warm ones would answer too late."""

NO_ENDPOINT_RETRY_MS = 1_000
"""Retry time while no endpoint is available; all instances know a newly started
endpoint by then."""

MIN_RETRY_MS = 100
MAX_RETRY_MS = 5_000
"""Bounds of the retry time after a predicted time-out; predictions are not useful
beyond."""


class Requirements(msgspec.Struct, frozen=True):
    """Requirements of a request on its endpoint.

    Attributes
    ----------
    is_generation : bool
        Whether the request needs an engine.
    parts : tuple of PromptPart
        Parts of the prompt that may be cached, in order.
    prompt_tokens : int
        Length of the whole prompt.
    held_tokens : int
        Tokens of an engine's memory that the request needs.
    remaining_ms : int
        Time until the request's deadline or its route's timeout.
    max_wait_ms : float
        Longest wait for an endpoint; see `limits.waitlimit`.
    """

    is_generation: bool
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    held_tokens: int
    remaining_ms: int
    max_wait_ms: float = math.inf


class Choice(msgspec.Struct, frozen=True):
    """The endpoint chosen for a request, and the figures behind the choice.

    Attributes
    ----------
    predicted_ms : float
        Time to the first event, or to the answer of a plain service.
    prefill_tokens : int
        Prompt tokens that are presumably not cached at the endpoint.
    backlog_tokens : int
        Tokens of other prompts left to prefill at the endpoint.
    running_count, held_tokens : int
        Known requests in progress at the endpoint, and the tokens that they hold.
    runner_up_id : str
        Second-best endpoint; empty if there is none.
    candidate_count : int
        Number of endpoints compared.
    is_cold : bool
        Whether the endpoint was cold.
    speed_factor : float
        Time that the endpoint takes relative to others of its service.
    """

    endpoint: Endpoint
    predicted_ms: float
    prefill_tokens: int
    backlog_tokens: int
    running_count: int
    held_tokens: int
    runner_up_id: str
    candidate_count: int
    is_cold: bool = False
    speed_factor: float = 1.0


class PlacementRefusal(msgspec.Struct, frozen=True):
    """Why no endpoint was chosen, and when to retry.

    ``prefill_tokens`` are the prompt tokens that the request would have needed, and
    ``is_busy`` says whether it is refused only for the work of others.
    """

    reason: str
    retry_after_ms: int
    prefill_tokens: int = 0
    is_busy: bool = False


class _Estimate(msgspec.Struct, frozen=True):
    """Predicted times of a request at one endpoint.

    Attributes
    ----------
    cost_ms : float
        Time that decides between endpoints; see `PREFILL_COST_FACTOR`.
    time_ms, wait_ms : float
        Time to the first event, or to the answer of a plain service; and the part of
        it for which the request waits for others.
    """

    cost_ms: float
    time_ms: float
    wait_ms: float
    endpoint: Endpoint
    prefill_tokens: int
    load: Load
    speed_factor: float = 1.0


class Placer:
    """Choice of endpoints by predicted time.

    Parameters
    ----------
    board, health, cache_index : LoadBoard, EndpointHealth, PromptCacheIndex
        State of the endpoints.
    models : EndpointModels
        Predict their times.
    rng : random.Random
        Breaks ties, so that instances don't all choose the same endpoint.
    """

    def __init__(
        self,
        board: LoadBoard,
        health: EndpointHealth,
        cache_index: PromptCacheIndex,
        models: EndpointModels,
        rng: random.Random,
    ):
        self._board = board
        self._health = health
        self._cache_index = cache_index
        self._models = models
        self._rng = rng

    def choose(
        self,
        requirements: Requirements,
        endpoints: tuple[Endpoint, ...],
        tried_ids: set[EndpointId],
        own_zone: str,
        now_ms: int,
        unreachable_zones: frozenset[ZoneId] = frozenset(),
        cold_ids: frozenset[EndpointId] = frozenset(),
    ) -> Choice | PlacementRefusal:
        """Return the endpoint for a request, or a refusal with its reason.

        Parameters
        ----------
        requirements : Requirements
            Requirements of the request.
        endpoints : tuple of Endpoint
            Endpoints of the service that accept requests.
        tried_ids : set of EndpointId
            Endpoints that the request was already sent to.
        own_zone : str
            Data centre of this instance.
        now_ms : int
            Monotonic time.
        unreachable_zones : frozenset of ZoneId
            Data centres to avoid; used only if no other has an endpoint.
        cold_ids : frozenset of EndpointId
            Endpoints that are cold; see `COLD_TIME_FACTOR`.
        """
        candidates = [e for e in endpoints if e.id not in tried_ids]
        if not candidates:
            return PlacementRefusal("no endpoint takes requests", NO_ENDPOINT_RETRY_MS)
        reachable = [e for e in candidates if e.zone not in unreachable_zones]
        candidates = reachable or candidates
        healthy = [e for e in candidates if not self._health.is_avoided(e.id, now_ms)]
        candidates = healthy or candidates
        cached = (
            self._cache_index.cached_tokens(
                requirements.parts, [e.id for e in candidates], now_ms
            )
            if requirements.parts
            else {}
        )
        ranked = [
            self._estimate(
                endpoint, requirements, cached.get(endpoint.id, 0), own_zone, now_ms
            )
            for endpoint in candidates
        ]
        in_time = [e for e in ranked if e.time_ms <= requirements.remaining_ms]
        admitted = [e for e in in_time if e.wait_ms <= requirements.max_wait_ms]
        if not admitted:
            return _refuse(ranked, bool(in_time), requirements, self._rng)
        admitted.sort(
            key=lambda e: (
                e.cost_ms * (COLD_TIME_FACTOR if e.endpoint.id in cold_ids else 1)
            )
        )
        best = admitted[0]
        return Choice(
            best.endpoint,
            round(best.time_ms, 1),
            best.prefill_tokens,
            best.load.prefill_tokens,
            best.load.running_count,
            best.load.held_tokens,
            admitted[1].endpoint.id if len(admitted) > 1 else "",
            len(candidates),
            best.endpoint.id in cold_ids,
            round(best.speed_factor, 2),
        )

    def _estimate(
        self,
        endpoint: Endpoint,
        requirements: Requirements,
        cached_tokens: int,
        own_zone: str,
        now_ms: int,
    ) -> _Estimate:
        load = self._board.load(endpoint.id)
        prefill_tokens = max(0, requirements.prompt_tokens - cached_tokens)
        excess_ms = self._health.excess_ms(endpoint.id, now_ms)
        other_ms = FAILURE_PENALTY_MS * self._health.failure_weight(endpoint.id, now_ms)
        if endpoint.zone != own_zone:
            other_ms += OTHER_ZONE_ROUND_TRIP_MS
        other_ms += self._rng.random()
        speed = self._models.speed(endpoint.id)
        if not requirements.is_generation:
            factor = 1.0 if speed is None else speed.plain_factor
            plain = self._models.plain(endpoint.service)
            predicted_ms = excess_ms + factor * plain.predict_answer_ms(
                load.running_count, endpoint.slots
            )
            wait_ms = predicted_ms - factor * plain.service_ms()
            time_ms = predicted_ms + other_ms
            return _Estimate(time_ms, time_ms, wait_ms, endpoint, 0, load, factor)
        engine = self._models.engine(endpoint.service)
        predicted_ms = engine.predict_first_event_ms(
            load, prefill_tokens, requirements.held_tokens, endpoint.slots
        )
        idle_ms = engine.idle_ms(prefill_tokens)
        if speed is None:
            predicted_ms = excess_ms + predicted_ms
            time_ms = predicted_ms + other_ms
            prefill_ms = engine.prefill_ms(prefill_tokens)
            cost_ms = time_ms + PREFILL_COST_FACTOR * prefill_ms
            wait_ms = predicted_ms - idle_ms
            return _Estimate(cost_ms, time_ms, wait_ms, endpoint, prefill_tokens, load)
        factor = speed.prefill_factor
        wait_ms = factor * (predicted_ms - idle_ms) + excess_ms
        time_ms = factor * idle_ms + wait_ms + other_ms
        batch_wait_ms = engine.batch_wait_ms(
            load, requirements.held_tokens, endpoint.slots
        )
        cost_ms = excess_ms + other_ms + speed.step_factor * batch_wait_ms
        cost_ms += self._uneven_cost_ms(speed, load, prefill_tokens)
        return _Estimate(
            cost_ms, time_ms, wait_ms, endpoint, prefill_tokens, load, factor
        )

    def _uneven_cost_ms(
        self, speed: EndpointSpeed, load: Load, prefill_tokens: int
    ) -> float:
        """Return the cost of a request at one of several engines that differ.

        It is the time to the first event there, and the delay of others: of requests
        that come later, and of the streams that run there.
        """
        ahead_kilotokens = (load.prefill_tokens + prefill_tokens) / 1000
        own_ms = speed.gap_ms(load.running_count) + speed.prefill_ms * ahead_kilotokens
        others = UNEVEN_PREFILL_COST_FACTOR + STREAM_COST_FACTOR * load.running_count
        delay_ms = others * speed.mean_prefill_ms * prefill_tokens / 1000
        # The lowest of costs with Gumbel noise is a choice by the logit model.
        noise = math.log(max(MIN_EXPONENTIAL, self._rng.expovariate(1.0)))
        return own_ms + delay_ms + UNSEEN_WORK_MS * noise


def _refuse(
    estimates: list[_Estimate],
    is_overload: bool,
    requirements: Requirements,
    rng: random.Random,
) -> PlacementRefusal:
    """Return the refusal of a request that no endpoint can serve.

    The retry time is when the shortest queue is short enough, if it drains, and is
    spread so that refused callers don't return together.
    """
    prefill_tokens = min(estimate.prefill_tokens for estimate in estimates)
    if is_overload:
        shortest_ms = min(estimate.wait_ms for estimate in estimates)
        late_ms = shortest_ms - requirements.max_wait_ms / 2
        retry_after_ms = _retry_after_ms(late_ms * rng.uniform(1.0, 2.0))
        return PlacementRefusal("overload", retry_after_ms, prefill_tokens, True)
    shortest_ms = min(estimate.time_ms for estimate in estimates)
    return PlacementRefusal(
        "no endpoint can answer in time",
        _retry_after_ms(shortest_ms - requirements.remaining_ms),
        prefill_tokens,
        is_busy=True,
    )


def _retry_after_ms(late_ms: float) -> int:
    """Return a retry time by which the queue is ``late_ms`` shorter, within bounds."""
    return max(MIN_RETRY_MS, min(MAX_RETRY_MS, round(late_ms)))
