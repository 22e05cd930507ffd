"""Number of endpoints that the arriving work of a service needs.

What binds is computed for each resource by itself: the time to prefill prompts, slots,
and memory. An engine's prefill works like a single server, so that waits grow with its
utilization and with the variation of prompts; the utilization is bounded such that the
mean wait leaves most of the latency target to the request itself.
"""

from __future__ import annotations

import math

import msgspec

from ..placing.demandmeter import Demand
from ..placing.enginemodel import EngineModel
from ..placing.servicemodel import ServiceModel

TARGET_SHARE = 0.5
"""Share of the latency target that the mean time to a first event may use: the rest
is for requests that meet a burst."""

ON_DEMAND_TARGET_SHARE = 0.75
"""The same where only on-demand endpoints are to be had, which cost several times as
much."""

MIN_WAIT_SHARE = 0.3
"""Wait that is planned for in any case, as a share of the target: with a lower one
the number of endpoints would grow without bound as the target is approached."""

BURST_FACTOR = 2.0
"""Callers send in groups, each of whose requests waits for half of the others."""

MIN_UTILIZATION, MAX_UTILIZATION = 0.35, 0.7
"""Bounds of the planned utilization of prefill. At the lower one the mean wait is half
of the mean rest of a prefill; twice as many engines would only save half of that."""

MEMORY_UTILIZATION = 0.6
"""Planned share of an engine's memory for running requests; the rest caches prompts."""

LOST_UTILIZATION = 0.9
"""Utilization that endpoints bear for the time in which lost ones are replaced."""


class CapacityNeed(msgspec.Struct, frozen=True):
    """Endpoints that a service needs, and what binds.

    Attributes
    ----------
    count : int
        Endpoints that serve the work within its target.
    on_demand_count : int
        Endpoints of which the last ones are worth the price of on-demand ones.
    least_count : int
        Endpoints that can carry it at all, with later answers.
    binding : str
        Resource that determines ``count``.
    demand : Demand
        The arriving work.
    """

    count: int
    on_demand_count: int
    least_count: int
    binding: str
    demand: Demand


def compute_engine_need(
    demand: Demand, model: EngineModel, target_ms: float
) -> CapacityNeed:
    """Return the engines that a service needs.

    Parameters
    ----------
    demand : Demand
        Arriving work.
    model : EngineModel
        What its engines carry.
    target_ms : float
        The tightest target for the time to the first event.
    """
    spec = model.spec
    prefill = model.prefill_ms(1_000 * demand.kilotokens_per_s) / 1_000
    concurrent = demand.requests_per_s * model.occupancy_ms() / 1_000
    memory = 0.0
    if spec.cache_tokens:
        memory = concurrent * model.mean_held_tokens() / spec.cache_tokens
    others = {
        "slots": concurrent / usable_slots(spec.slots),
        "memory": memory / MEMORY_UTILIZATION,
    }
    counts = {}
    for share in (TARGET_SHARE, ON_DEMAND_TARGET_SHARE):
        utilization = _prefill_utilization(demand, model, share * target_ms)
        counts[share] = {"prefill": prefill / utilization, **others}
    return CapacityNeed(
        count=math.ceil(max(counts[TARGET_SHARE].values())),
        on_demand_count=math.ceil(max(counts[ON_DEMAND_TARGET_SHARE].values())),
        least_count=math.ceil(
            max(prefill, concurrent / spec.slots, memory) / LOST_UTILIZATION
        ),
        binding=max(counts[TARGET_SHARE], key=counts[TARGET_SHARE].get),
        demand=demand,
    )


def compute_service_need(
    demand: Demand, model: ServiceModel, slots: int
) -> CapacityNeed:
    """Return the endpoints that a plain service needs.

    Parameters
    ----------
    demand : Demand
        Arriving work.
    model : ServiceModel
        What its endpoints carry.
    slots : int
        Requests that an endpoint processes at once.
    """
    concurrent = demand.requests_per_s * model.service_ms() / 1_000
    count = math.ceil(concurrent / usable_slots(slots))
    least_count = math.ceil(concurrent / slots / LOST_UTILIZATION)
    return CapacityNeed(count, count, least_count, "slots", demand)


def lost_to_cold(need: CapacityNeed, cold_per_s: float) -> float:
    """Return the part of an endpoint's work that it does not carry while it is cold.

    Parameters
    ----------
    need : CapacityNeed
        What the arriving work needs of warm endpoints.
    cold_per_s : float
        Requests a second that a cold endpoint gets.
    """
    if not need.least_count or not need.demand.requests_per_s:
        return 0.0
    carried_per_s = need.demand.requests_per_s / need.least_count
    return max(0.0, 1 - cold_per_s / carried_per_s)


def add_for_cold(
    need: CapacityNeed, endpoint_count: int, lost_count: float
) -> CapacityNeed:
    """Return the need while some of the endpoints are cold.

    Load addressed: many endpoints that start at the same time, and leave their work to
    few warm ones. Others are needed once the warm ones, with what the cold ones bear,
    would be used beyond `LOST_UTILIZATION`. What is missing is added to the need, not
    to the present endpoints, so that replacements that are cold too add nothing.

    Parameters
    ----------
    need : CapacityNeed
        What the arriving work needs of warm endpoints.
    endpoint_count : int
        Endpoints with the service's traffic, cold ones included.
    lost_count : float
        What the cold ones don't carry, in warm endpoints.
    """
    missing = math.ceil(need.least_count - (endpoint_count - lost_count))
    if not lost_count or missing <= 0:
        return need
    return msgspec.structs.replace(
        need,
        count=need.count + missing,
        on_demand_count=need.on_demand_count + missing,
        binding="cold endpoints",
    )


def usable_slots(slots: int) -> float:
    """Return how many slots may be in use on average.

    The number of requests in progress varies by about its square root.
    """
    return max(0.5, slots - math.sqrt(slots))


def _prefill_utilization(
    demand: Demand, model: EngineModel, mean_target_ms: float
) -> float:
    """Return the utilization at which the mean time to a first event is on target.

    By the Pollaczek-Khinchine formula the mean wait is ``u / (1 - u)`` times the mean
    rest of the prefill in progress.
    """
    if not demand.kilotokens_per_s or not demand.requests_per_s:
        return MAX_UTILIZATION
    mean_ms = model.prefill_ms(1_000 * demand.kilotokens_per_s / demand.requests_per_s)
    residual_ms = model.prefill_ms(
        1_000 * demand.square_kilotokens_per_s / (2 * demand.kilotokens_per_s)
    )
    allowed_ms = mean_target_ms - model.base_ms() - mean_ms
    allowed_ms = max(MIN_WAIT_SHARE * mean_target_ms, allowed_ms)
    utilization = allowed_ms / (allowed_ms + BURST_FACTOR * residual_ms)
    return min(MAX_UTILIZATION, max(MIN_UTILIZATION, utilization))
