"""Simulation of instances and engines in virtual time, without a network."""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict

import msgspec

from _monsoonpulley.fleet.model import Endpoint
from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from _monsoonpulley.placing.endpointmodels import EndpointModels
from _monsoonpulley.placing.health import EndpointHealth
from _monsoonpulley.placing.loadboard import LoadBoard
from _monsoonpulley.placing.placer import Choice, Placer, Requirements
from _monsoonpulley.placing.promptcacheindex import PromptCacheIndex, PromptPart

ZONE = ZoneId("zone-a")
SERVICE = ServiceId("model")
DIGEST_MS = 150
PREFILL_TOKENS_PER_MS = 64.0
FIRST_EVENT_MS = 50.0
SLOTS = 32
SIGMA = 1.0
"""Parameter of the log-normal lengths of requests' own parts."""


class Kind(msgspec.Struct, frozen=True):
    """A kind of request: its rate, its prompt parts and the length of its streams."""

    name: str
    per_s: float
    common_parts: tuple[int, int]
    """Number of parts that several subjects share, and tokens of each."""
    subjects: tuple[int, int]
    """Number of subjects, and tokens of each."""
    own_tokens: int
    """Mean of a log-normal distribution."""
    stream_ms: float


LONG_SHARED = Kind("long", 43, (3, 512), (382, 4_870), 6_610, 1_500)
QUICK = Kind("quick", 71, (16, 119), (630, 79), 628, 1_100)
SHORT = Kind("short", 70, (80, 341), (933, 227), 1_800, 150)
"""Kinds of requests in a large deployment of the users."""


class EngineModel:
    """Engine that prefills prompts one by one and caches their parts up to a limit."""

    def __init__(self, endpoint: Endpoint, cache_capacity_tokens: int):
        self.endpoint = endpoint
        self.prefilled_tokens = 0
        self.cached: OrderedDict[str, int] = OrderedDict()
        self._cache_capacity_tokens = cache_capacity_tokens
        self._idle_from_ms = 0.0

    def prefill(
        self, parts: tuple[PromptPart, ...], now_ms: float
    ) -> tuple[float, int]:
        """Return when the prefill ends, and the tokens found in the cache."""
        cached_tokens = 0
        for part in parts:
            if part.id not in self.cached:
                break
            self.cached.move_to_end(part.id)
            cached_tokens += part.tokens
        tokens = sum(part.tokens for part in parts) - cached_tokens
        for part in parts:
            self.cached[part.id] = part.tokens
            self.cached.move_to_end(part.id)
        while sum(self.cached.values()) > self._cache_capacity_tokens:
            self.cached.popitem(last=False)
        self.prefilled_tokens += tokens
        self._idle_from_ms = (
            max(self._idle_from_ms, now_ms) + tokens / PREFILL_TOKENS_PER_MS
        )
        return self._idle_from_ms, cached_tokens


class Result(msgspec.Struct):
    """Results of the requests of one kind."""

    first_ms: list[float] = msgspec.field(default_factory=list)
    refused_count: int = 0
    shared_tokens: int = 0
    cached_tokens: int = 0

    def quantile_ms(self, share: float) -> float:
        """Return the quantile ``share`` of the time to the first event."""
        return sorted(self.first_ms)[int(share * (len(self.first_ms) - 1))]

    def cached_share(self) -> float:
        """Return the share of the common tokens that was found in a cache."""
        return self.cached_tokens / self.shared_tokens


class Instance:
    """The placer of one instance with its state."""

    def __init__(self, name: str, seed: int):
        self.name = InstanceId(name)
        self.board = LoadBoard()
        self.cache_index = PromptCacheIndex()
        self.models = EndpointModels()
        self.health = EndpointHealth()
        self.placer = Placer(
            self.board,
            self.health,
            self.cache_index,
            self.models,
            random.Random(seed),
        )


class Fleet:
    """Instances that place requests of some kinds at engines."""

    def __init__(
        self, instances: int, engines: int, kinds: tuple[Kind, ...], seed: int
    ):
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.instances = [Instance(f"i-{n}", n) for n in range(instances)]
        self.engines = {
            each.endpoint.id: each
            for each in (
                EngineModel(make_endpoint(f"engine-{n}"), 575_000)
                for n in range(engines)
            )
        }
        self.learns_speeds = True
        self.chosen: list[EndpointId] = []
        self.results = {kind.name: Result() for kind in kinds}
        self._events: list[tuple[float, int, Instance, EndpointId, int]] = []
        self._request_count = 0

    def run(self, length_ms: int, warmup_ms: int) -> None:
        """Simulate requests; those of the first ``warmup_ms`` are not counted."""
        total_per_ms = sum(kind.per_s for kind in self.kinds) / 1000
        weights = [kind.per_s for kind in self.kinds]
        now_ms, digest_ms = 0.0, 0
        while now_ms < length_ms:
            now_ms += self.rng.expovariate(total_per_ms)
            while digest_ms <= now_ms:
                self._apply_events_until(digest_ms)
                self._exchange_digests(digest_ms)
                digest_ms += DIGEST_MS
            self._apply_events_until(now_ms)
            kind = self.rng.choices(self.kinds, weights)[0]
            self._place_request(kind, now_ms, now_ms >= warmup_ms)

    def _place_request(self, kind: Kind, now_ms: float, is_counted: bool) -> None:
        instance = self.rng.choice(self.instances)
        self._request_count += 1
        parts = self._parts(kind)
        tokens = sum(part.tokens for part in parts)
        requirements = Requirements(True, parts, tokens, tokens, 12_000)
        endpoints = tuple(engine.endpoint for engine in self.engines.values())
        choice = instance.placer.choose(
            requirements, endpoints, set(), ZONE, round(now_ms)
        )
        result = self.results[kind.name]
        if not isinstance(choice, Choice):
            result.refused_count += is_counted
            return
        model = instance.models.engine(SERVICE)
        chosen = choice.endpoint.id
        instance.board.record_dispatch(chosen, choice.prefill_tokens)
        instance.cache_index.record(parts[:-1], chosen, round(now_ms))
        prefilled_ms, cached_tokens = self.engines[chosen].prefill(parts, now_ms)
        first_ms = prefilled_ms + FIRST_EVENT_MS
        model.record_first_event(
            choice.backlog_tokens + choice.prefill_tokens,
            first_ms - now_ms,
            round(now_ms),
        )
        if self.learns_speeds:
            instance.models.speeds.record_first_event(
                chosen,
                choice.backlog_tokens + choice.prefill_tokens,
                first_ms - now_ms,
                round(now_ms),
            )
        self.chosen.append(chosen)
        if is_counted:
            result.first_ms.append(first_ms - now_ms)
            result.shared_tokens += tokens - parts[-1].tokens
            result.cached_tokens += cached_tokens
        end = (first_ms, self._request_count, instance, chosen, choice.prefill_tokens)
        heapq.heappush(self._events, end)
        stream_ms = kind.stream_ms * self.rng.expovariate(1)
        end = (first_ms + stream_ms, -self._request_count, instance, chosen, 0)
        heapq.heappush(self._events, end)

    def _parts(self, kind: Kind) -> tuple[PromptPart, ...]:
        subject = self.rng.randrange(kind.subjects[0])
        common = subject % kind.common_parts[0]
        return (
            PromptPart(f"{kind.name}-c{common}", kind.common_parts[1]),
            PromptPart(f"{kind.name}-s{subject}", kind.subjects[1]),
            PromptPart(f"own-{self._request_count}", self._own_tokens(kind)),
        )

    def _own_tokens(self, kind: Kind) -> int:
        factor = self.rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
        return max(1, round(kind.own_tokens * factor))

    def _apply_events_until(self, now_ms: float) -> None:
        """Apply the first events and the ends of streams that are due."""
        while self._events and self._events[0][0] <= now_ms:
            _, number, instance, chosen, prefill_tokens = heapq.heappop(self._events)
            if number > 0:
                instance.board.record_prefill_end(chosen, prefill_tokens)
            else:
                instance.board.record_end(chosen)

    def _exchange_digests(self, now_ms: int) -> None:
        loads = {each.name: each.board.own_loads() for each in self.instances}
        sums = {each.name: each.models.own_sums(now_ms) for each in self.instances}
        samples = {
            each.name: each.models.speeds.drain_outbox() for each in self.instances
        }
        endpoints = [engine.endpoint for engine in self.engines.values()]
        for each in self.instances:
            for name, load in loads.items():
                if name != each.name:
                    each.board.update_peer(name, load)
                    each.models.update_peer(name, sums[name])
                    each.models.speeds.apply_peer(samples[name], now_ms)
            each.models.refresh_speeds(endpoints, now_ms)


def make_endpoint(name: str) -> Endpoint:
    return Endpoint(
        id=EndpointId(name),
        started_wall_ms=None,
        service=SERVICE,
        ip="127.0.0.1",
        port=9_000,
        zone=ZONE,
        version=VersionId("v1"),
        slots=SLOTS,
        is_draining=False,
        is_reclaimable=False,
        leaves_in_ms=None,
    )


def main() -> None:
    """Print latencies and cache hits with idle and with busy engines."""
    kinds = (LONG_SHARED, QUICK, SHORT)
    for engines in (20, 14):
        fleet = Fleet(24, engines, kinds, seed=1)
        fleet.run(length_ms=40_000, warmup_ms=20_000)
        for name, result in fleet.results.items():
            print(
                f"{engines} engines, {name}: cached {result.cached_share():.2f},"
                f" first event p50 {result.quantile_ms(0.5):.0f} ms,"
                f" p90 {result.quantile_ms(0.9):.0f} ms"
            )


if __name__ == "__main__":
    main()
