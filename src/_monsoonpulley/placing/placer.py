"""The choice of an endpoint for a request.

Answers for every load: the endpoint with the least predicted time to the first
event, or to the answer of a plain service, takes the request. What it would have
to read counts more than once, for those behind it: where engines are busy,
prompts that share parts keep together. A request that can't be answered before
its deadline anywhere is refused at once.
"""

from __future__ import annotations

import random

import msgspec

from ..fleet.model import Endpoint
from ..ids import EndpointId, ZoneId
from .health import EndpointHealth
from .loadboard import LoadBoard
from .promptcacheindex import PromptCacheIndex, PromptPart

PREFILL_TOKENS_PER_MS = 60.0
"""Prompt tokens that an engine reads in a ms: the lower of the users' sheets."""

IDLE_FIRST_EVENT_MS = 60.0
"""Prefill of nothing and the tokens of one event, on an idle engine."""

FIRST_EVENT_MS_PER_RUNNING = 0.8
"""What each running request adds to the time to a first event: longer steps."""

MEAN_STREAM_MS = 1_500.0
"""Time that a stream holds its slot, at the mean of the sheets."""

MEAN_SERVICE_MS = 80.0
"""Time of a plain service's request, at the mean of the sheets."""

SERVICE_SLOWDOWN_SHARE = 0.2
"""By which a plain service's request takes longer on an endpoint that is full: such
endpoints slow down, so that the emptier one is preferred."""

FAILURE_PENALTY_MS = 100.0
"""What one recent failure counts in predicted time."""

PREFILL_COST_FACTOR = 4.0
"""How many times what a request has to read counts besides its own wait: others
wait for it too, and what it displaces is read again. From the load played by
``python -m testing.placing.fleetplay``; 0 misses the aims of `test_fleet`."""

OTHER_ZONE_ROUND_TRIP_MS = 1.0
"""A round trip to another data centre, which decides between equals."""

NO_ENDPOINT_RETRY_MS = 1_000
"""An endpoint that has just started is known to all instances by then."""

MIN_RETRY_MS = 100
MAX_RETRY_MS = 5_000
"""Of what a refused caller is told: predictions reach no further."""


class Requirements(msgspec.Struct, frozen=True):
    """What a request asks of an endpoint.

    Attributes
    ----------
    is_generation : bool
        Whether an engine runs it.
    parts : tuple of PromptPart
        Parts of its prompt that may be cached, in order.
    prompt_tokens : int
        Whole length of its prompt.
    remaining_ms : int
        Time until its deadline or its route's timeout.
    """

    is_generation: bool
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    remaining_ms: int


class Choice(msgspec.Struct, frozen=True):
    """The endpoint that takes the request, and why.

    Attributes
    ----------
    predicted_ms : float
        Until its first event, or its answer.
    prefill_tokens : int
        Prompt tokens that it is thought to read.
    running_count : int
        Requests known to be there.
    runner_up_id : str
        The next best, empty for none.
    candidate_count : int
        Endpoints that were compared.
    """

    endpoint: Endpoint
    predicted_ms: float
    prefill_tokens: int
    running_count: int
    runner_up_id: str
    candidate_count: int


class PlacementRefusal(msgspec.Struct, frozen=True):
    """Why no endpoint takes the request, and when one may."""

    reason: str
    retry_after_ms: int


class Placer:
    """Chooses endpoints by predicted time.

    Parameters
    ----------
    board, health, cache_index : LoadBoard, EndpointHealth, PromptCacheIndex
        What is known of the endpoints.
    rng : random.Random
        Breaks ties, so that instances don't all choose the same.
    """

    def __init__(
        self,
        board: LoadBoard,
        health: EndpointHealth,
        cache_index: PromptCacheIndex,
        rng: random.Random,
    ):
        self._board = board
        self._health = health
        self._cache_index = cache_index
        self._rng = rng

    def choose(
        self,
        requirements: Requirements,
        endpoints: tuple[Endpoint, ...],
        tried_ids: set[EndpointId],
        own_zone: str,
        now_ms: int,
        unreachable_zones: frozenset[ZoneId] = frozenset(),
    ) -> Choice | PlacementRefusal:
        """Return the endpoint for a request, or why there is none.

        Parameters
        ----------
        requirements : Requirements
            The request.
        endpoints : tuple of Endpoint
            Those of the service that take requests.
        tried_ids : set of EndpointId
            Those that had the request already.
        own_zone : str
            The data centre of this instance.
        now_ms : int
            Monotonic time.
        unreachable_zones : frozenset of ZoneId
            Data centres that can't be reached.
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
        ranked: list[tuple[float, float, Endpoint, int, int]] = []
        for endpoint in candidates:
            prefill_tokens = max(
                0, requirements.prompt_tokens - cached.get(endpoint.id, 0)
            )
            load = self._board.load(endpoint.id)
            if requirements.is_generation:
                time_ms = _predict_first_event_ms(
                    load.running_count,
                    load.prefill_tokens + prefill_tokens,
                    endpoint.slots,
                )
            else:
                time_ms = _predict_answer_ms(load.running_count, endpoint.slots)
            time_ms += self._health.excess_ms(endpoint.id, now_ms)
            time_ms += FAILURE_PENALTY_MS * self._health.failure_weight(
                endpoint.id, now_ms
            )
            if endpoint.zone != own_zone:
                time_ms += OTHER_ZONE_ROUND_TRIP_MS
            time_ms += self._rng.random()
            cost_ms = time_ms
            if requirements.is_generation:
                cost_ms += PREFILL_COST_FACTOR * prefill_tokens / PREFILL_TOKENS_PER_MS
            ranked.append(
                (cost_ms, time_ms, endpoint, prefill_tokens, load.running_count)
            )
        ranked.sort(key=lambda entry: entry[0])
        in_time = [entry for entry in ranked if entry[1] <= requirements.remaining_ms]
        if not in_time:
            shortest_ms = min(entry[1] for entry in ranked)
            return PlacementRefusal(
                "no endpoint can answer in time",
                _retry_after_ms(shortest_ms - requirements.remaining_ms),
            )
        _, time_ms, endpoint, prefill_tokens, running_count = in_time[0]
        return Choice(
            endpoint,
            round(time_ms, 1),
            prefill_tokens,
            running_count,
            in_time[1][2].id if len(in_time) > 1 else "",
            len(candidates),
        )


def _predict_first_event_ms(
    running_count: int, prefill_tokens: int, slots: int
) -> float:
    """Return the predicted time to a first event at an engine."""
    time_ms = IDLE_FIRST_EVENT_MS + prefill_tokens / PREFILL_TOKENS_PER_MS
    time_ms += FIRST_EVENT_MS_PER_RUNNING * running_count
    queued = running_count + 1 - slots
    if queued > 0:
        time_ms += queued * MEAN_STREAM_MS / slots
    return time_ms


def _predict_answer_ms(running_count: int, slots: int) -> float:
    """Return the predicted time to the answer of a plain service."""
    queued = max(0, running_count + 1 - slots)
    return MEAN_SERVICE_MS * (
        1 + (SERVICE_SLOWDOWN_SHARE * running_count + queued) / slots
    )


def _retry_after_ms(late_ms: float) -> int:
    """Return when the queue will have drained by ``late_ms``."""
    return max(MIN_RETRY_MS, min(MAX_RETRY_MS, round(late_ms)))
