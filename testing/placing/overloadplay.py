"""Simulation of callers, instances and engines through losses and bursts.

Placing, refusing and ordering of endpoints are the product's own code. Engines are
bounded by prefill, slots and memory; callers that are refused return once.
`customerplay` adds customers and faults between the instances.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable

import msgspec

from _monsoonpulley.duties.capacityneed import compute_engine_need
from _monsoonpulley.duties.capacityplan import CapacityPlan, Order, ZoneFleet
from _monsoonpulley.fleet.model import (
    Configuration,
    Endpoint,
    EngineSpec,
    Route,
    RouteKind,
    ScalingSpec,
)
from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from _monsoonpulley.limits.waitlimit import WaitLimits
from _monsoonpulley.placing.demandmeter import DemandMeter
from _monsoonpulley.placing.endpointmodels import EndpointModels
from _monsoonpulley.placing.health import EndpointHealth
from _monsoonpulley.placing.loadboard import LoadBoard
from _monsoonpulley.placing.placer import Choice, PlacementRefusal, Placer, Requirements
from _monsoonpulley.placing.promptcacheindex import PromptCacheIndex, PromptPart
from _monsoonpulley.wire.serverconnection import CallerLimits

SERVICE = ServiceId("model")
ZONES = tuple(ZoneId(f"zone-{name}") for name in "abc")
SPEC = EngineSpec(slots=32, cache_tokens=150_000)
SCALING = ScalingSpec(1, 6, 4_000, 0.22, dict.fromkeys(ZONES, 1.0))

PREFILL_TOKENS_PER_MS = 25.0
"""Much slower than the models assume before they have seen answers."""

BASE_MS = 50.0
MS_PER_OUTPUT_TOKEN = 8.0
DIGEST_MS, PLAN_MS = 150, 500
RETURN_SHARE = 1 / 3
"""Callers wait for the retry time up to this share of the time that they have left."""


class RequestClass(msgspec.Struct, frozen=True):
    """A class of requests; prompts have a part for each subject, and an own one."""

    name: str
    rank: int
    per_s: float
    target_ms: int
    deadline_ms: int
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    subject_count: int = 60


CLASSES = (
    RequestClass("summary", 0, 16, 800, 4_000, 600, 1_800, 24),
    RequestClass("draft", 1, 11, 1_000, 6_000, 5_000, 2_900, 50),
    RequestClass("chat", 2, 18, 600, 15_000, 200, 550, 240),
)


ROUTES = {
    kind.name: Route(
        kind.name,
        "host",
        b"/",
        RouteKind.STREAMING,
        ((SERVICE, 1.0),),
        kind.deadline_ms,
        kind.target_ms,
        rank=kind.rank,
    )
    for kind in CLASSES
}
CONFIGURATION = Configuration(
    1, {"host": tuple(ROUTES.values())}, {}, {}, {}, False, CallerLimits()
)


class Tally(msgspec.Struct):
    """Outcomes of the requests of one class, by second of their arrival."""

    asked: dict[int, int] = {}
    in_time: dict[int, int] = {}
    late: dict[int, int] = {}

    def in_time_share(self, start_s: int, end_s: int) -> float:
        """Return the share of requests whose first event met the target."""
        asked = sum(n for s, n in self.asked.items() if start_s <= s < end_s)
        in_time = sum(n for s, n in self.in_time.items() if start_s <= s < end_s)
        return in_time / max(1, asked)

    def served_share(self, start_s: int, end_s: int) -> float:
        """Return the share of requests that were answered at all."""
        asked = sum(n for s, n in self.asked.items() if start_s <= s < end_s)
        late = sum(n for s, n in self.late.items() if start_s <= s < end_s)
        return self.in_time_share(start_s, end_s) + late / max(1, asked)


class Engine:
    """Engine that admits requests in order and prefills them one by one."""

    def __init__(self, endpoint: Endpoint):
        self.endpoint = endpoint
        self._cached: set[str] = set()
        self._prefill_free_ms = 0.0
        self._admitted_ms = 0.0
        self._ends: list[tuple[float, int]] = []
        self._held_tokens = 0

    def run(
        self, parts: tuple[PromptPart, ...], output_tokens: int, now_ms: float
    ) -> tuple[float, float]:
        """Return the times of the first event and of the end of the answer."""
        needed = sum(part.tokens for part in parts) + output_tokens
        start_ms = max(now_ms, self._admitted_ms)
        while self._ends and (
            self._ends[0][0] <= start_ms
            or len(self._ends) >= SPEC.slots
            or self._held_tokens + needed > SPEC.cache_tokens
        ):
            end_ms, held = heapq.heappop(self._ends)
            self._held_tokens -= held
            start_ms = max(start_ms, end_ms)
        self._admitted_ms = start_ms
        tokens = sum(part.tokens for part in parts if part.id not in self._cached)
        self._cached.update(part.id for part in parts[:-1])
        begin_ms = max(start_ms, self._prefill_free_ms)
        self._prefill_free_ms = begin_ms + tokens / PREFILL_TOKENS_PER_MS
        first_ms = self._prefill_free_ms + BASE_MS
        end_ms = first_ms + output_tokens * MS_PER_OUTPUT_TOKEN
        heapq.heappush(self._ends, (end_ms, needed))
        self._held_tokens += needed
        return first_ms, end_ms


class Instance:
    """The decisions of one instance, with their state."""

    def __init__(self, name: str, seed: int, zone: ZoneId = ZONES[0]):
        self.name = InstanceId(name)
        self.zone = zone
        self.board = LoadBoard()
        self.cache_index = PromptCacheIndex()
        self.models = EndpointModels()
        self.models.engine(SERVICE).spec = SPEC
        self.demand = DemandMeter(self.name)
        self.placer = Placer(
            self.board,
            EndpointHealth(),
            self.cache_index,
            self.models,
            random.Random(seed),
        )


class Request(msgspec.Struct):
    """One caller's request; ``arrived_ms`` is when it was first sent."""

    kind: RequestClass
    parts: tuple[PromptPart, ...]
    arrived_ms: float
    has_returned: bool = False
    customer: str = ""

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt."""
        return sum(part.tokens for part in self.parts)


class Play:
    """A day of traffic in virtual time.

    Parameters
    ----------
    seed : int
        Seed of all randomness.
    refuses_long_waits : bool
        Whether requests are refused that would wait too long.
    replaces_losses : bool
        Whether endpoints are ordered.
    """

    scaling = SCALING

    def __init__(
        self,
        seed: int,
        *,
        refuses_long_waits: bool = True,
        replaces_losses: bool = True,
    ):
        self.rng = random.Random(seed)
        self.tallies = {kind.name: Tally({}, {}, {}) for kind in CLASSES}
        self.load_factor: Callable[[float], float] = lambda second: 1.0
        self.is_dry = False
        self._refuses_long_waits = refuses_long_waits
        self._replaces_losses = replaces_losses
        self._instances = [Instance(f"i-{n}", seed + n) for n in range(4)]
        self._plan = CapacityPlan()
        self._wait_limits = WaitLimits()
        self._wait_limits.configure(CONFIGURATION)
        self._engines: dict[EndpointId, Engine] = {}
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._pending: dict[tuple[ZoneId, bool], int] = {}
        self.now_ms = 0.0
        for zone in ZONES:
            self._add_engine(zone, True)
            self._add_engine(zone, True)

    def run(self, length_s: int) -> None:
        """Play the given time."""
        for time_ms in range(0, length_s * 1000, DIGEST_MS):
            self._at(time_ms, self._exchange_digests)
        for time_ms in range(0, length_s * 1000, PLAN_MS):
            self._at(time_ms, self._order_endpoints)
        for kind in CLASSES:
            self._schedule_arrival(kind, length_s * 1000)
        while self._events:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def at_s(self, second: float, action: Callable[[], None]) -> None:
        """Call an action at a time."""
        self._at(second * 1000, action)

    def lose_zone(self, zone: ZoneId) -> None:
        """Take all reclaimable engines of a data centre away."""
        for engine_id, engine in list(self._engines.items()):
            if engine.endpoint.zone == zone and engine.endpoint.is_reclaimable:
                del self._engines[engine_id]

    def _at(self, time_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_ms, next(self._numbers), action))

    def _add_engine(self, zone: ZoneId, is_reclaimable: bool) -> None:
        endpoint = Endpoint(
            EndpointId(f"engine-{next(self._numbers)}"),
            None,
            SERVICE,
            "127.0.0.1",
            9_000,
            zone,
            VersionId("v1"),
            SPEC.slots,
            is_reclaimable=is_reclaimable,
        )
        self._engines[endpoint.id] = Engine(endpoint)

    def _schedule_arrival(self, kind: RequestClass, end_ms: int) -> None:
        per_ms = kind.per_s / 1000 * self._rate_factor(kind)
        time_ms = self.now_ms + self.rng.expovariate(per_ms)
        if time_ms < end_ms:
            self._at(time_ms, lambda: self._arrive(kind, end_ms))

    def _rate_factor(self, kind: RequestClass) -> float:
        return self.load_factor(self.now_ms / 1000)

    def _arrive(self, kind: RequestClass, end_ms: int) -> None:
        subject = f"{kind.name}-{self.rng.randrange(kind.subject_count)}"
        own_tokens = round(kind.own_tokens * self.rng.lognormvariate(-0.32, 0.8))
        parts = (
            PromptPart(subject, kind.shared_tokens),
            PromptPart(f"own-{next(self._numbers)}", max(1, own_tokens)),
        )
        self._count(self.tallies[kind.name].asked, self.now_ms)
        self._start_request(Request(kind, parts, self.now_ms))
        self._schedule_arrival(kind, end_ms)

    def _start_request(self, request: Request) -> None:
        self._send(request)

    def _send(self, request: Request) -> None:
        kind, instance = request.kind, self._choose_instance(request)
        elapsed_ms = self.now_ms - request.arrived_ms
        limit_ms = self._max_wait_ms(instance, request, elapsed_ms)
        requirements = Requirements(
            True,
            request.parts,
            request.prompt_tokens,
            request.prompt_tokens + kind.output_tokens,
            round(kind.deadline_ms - elapsed_ms),
            limit_ms if self._refuses_long_waits else math.inf,
        )
        endpoints = tuple(engine.endpoint for engine in self._engines.values())
        choice = instance.placer.choose(
            requirements, endpoints, set(), instance.zone, round(self.now_ms)
        )
        instance.demand.record(SERVICE, choice.prefill_tokens)
        self._record_choice(request, instance, choice)
        if isinstance(choice, Choice):
            self._run(request, instance, choice)
        else:
            self._handle_refusal(request, instance, choice)

    def _choose_instance(self, request: Request) -> Instance:
        return self.rng.choice(self._instances)

    def _max_wait_ms(
        self, instance: Instance, request: Request, elapsed_ms: float
    ) -> float:
        kind = request.kind
        return self._wait_limits.max_wait_ms(ROUTES[kind.name], elapsed_ms, kind.rank)

    def _record_choice(
        self, request: Request, instance: Instance, choice: Choice | PlacementRefusal
    ) -> None:
        """Note what became of a request at an instance."""

    def _handle_refusal(
        self, request: Request, instance: Instance, refusal: PlacementRefusal
    ) -> None:
        if request.has_returned:
            return
        request.has_returned = True
        left_ms = request.kind.deadline_ms - (self.now_ms - request.arrived_ms)
        delay_ms = min(refusal.retry_after_ms, RETURN_SHARE * left_ms)
        self._at(self.now_ms + delay_ms, lambda: self._send(request))

    def _run(self, request: Request, instance: Instance, choice: Choice) -> None:
        kind, chosen = request.kind, choice.endpoint.id
        held_tokens = request.prompt_tokens + kind.output_tokens
        instance.board.record_dispatch(chosen, choice.prefill_tokens, held_tokens)
        instance.cache_index.record(request.parts, chosen, round(self.now_ms))
        sent_ms = self.now_ms
        first_ms, end_ms = self._engines[chosen].run(
            request.parts, kind.output_tokens, sent_ms
        )
        deadline_ms = request.arrived_ms + kind.deadline_ms
        model = instance.models.engine(SERVICE)
        ahead_tokens = choice.backlog_tokens + choice.prefill_tokens

        def record_first() -> None:
            instance.board.record_prefill_end(chosen, choice.prefill_tokens)
            model.record_first_event(
                ahead_tokens, first_ms - sent_ms, round(self.now_ms)
            )

        def record_end() -> None:
            instance.board.record_end(chosen, held_tokens)
            model.record_end(
                choice.prefill_tokens,
                end_ms - first_ms,
                held_tokens,
                round(self.now_ms),
            )

        self._at(first_ms, record_first)
        self._at(end_ms, record_end)
        if first_ms - request.arrived_ms <= kind.target_ms:
            self._record_served(request, first_ms, is_in_time=True)
        elif end_ms <= deadline_ms:
            self._record_served(request, first_ms, is_in_time=False)

    def _record_served(
        self, request: Request, first_ms: float, *, is_in_time: bool
    ) -> None:
        tally = self.tallies[request.kind.name]
        counts = tally.in_time if is_in_time else tally.late
        self._count(counts, request.arrived_ms)

    def _count(self, counts: dict[int, int], time_ms: float) -> None:
        second = int(time_ms / 1000)
        counts[second] = counts.get(second, 0) + 1

    def _exchange_digests(self) -> None:
        now_ms = round(self.now_ms)
        for sender in self._instances:
            loads = sender.board.own_loads()
            sums = sender.models.own_sums(now_ms)
            totals = sender.demand.own_totals()
            sender.demand.refresh_own(now_ms)
            for receiver in self._instances:
                if receiver is not sender:
                    receiver.board.update_peer(sender.name, loads)
                    receiver.models.update_peer(sender.name, sums)
                    receiver.demand.update(sender.name, 1, totals, now_ms)

    def _order_endpoints(self) -> None:
        if not self._replaces_losses:
            return
        now_ms, holder = round(self.now_ms), self._instances[0]
        fleet = {zone: ZoneFleet() for zone in ZONES}
        for engine in self._engines.values():
            each = fleet[engine.endpoint.zone]
            if engine.endpoint.is_reclaimable:
                each.reclaimable_count += 1
            else:
                each.on_demand_count += 1
        need = compute_engine_need(
            holder.demand.demand(SERVICE),
            holder.models.engine(SERVICE),
            min(kind.target_ms for kind in CLASSES),
        )
        for order in self._plan.due_orders(self.scaling, fleet, need, now_ms, now_ms):
            if order.is_reclaimable and self.is_dry:
                self._plan.record_refusal(order, now_ms)
            else:
                self._plan.record_accepted(order, now_ms)
                self._accept(order)

    def _accept(self, order: Order) -> None:
        key = (order.zone, order.is_reclaimable)
        running = [
            engine_id
            for engine_id, engine in self._engines.items()
            if (engine.endpoint.zone, engine.endpoint.is_reclaimable) == key
        ]
        for engine_id in running[order.count :]:
            del self._engines[engine_id]
        missing = order.count - len(running) - self._pending.get(key, 0)
        for _ in range(missing):
            self._pending[key] = self._pending.get(key, 0) + 1
            self._at(self.now_ms + self.scaling.boot_ms, lambda: self._start(key))

    def _start(self, key: tuple[ZoneId, bool]) -> None:
        self._pending[key] -= 1
        self._add_engine(*key)
