"""A fleet of instances and engines played on simulated time, without a network."""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict

import msgspec

from _monsoonpulley.fleet.model import Endpoint
from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from _monsoonpulley.placing.health import EndpointHealth
from _monsoonpulley.placing.loadboard import LoadBoard
from _monsoonpulley.placing.placer import Choice, Need, Placer
from _monsoonpulley.placing.promptmemory import PromptMemory, PromptPart

ZONE = ZoneId("zone-a")
DIGEST_MS = 150
READ_TOKENS_PER_MS = 64.0
FIRST_EVENT_MS = 50.0
SLOTS = 32
SIGMA = 1.0
"""Of the lengths of requests' own parts."""


class Kind(msgspec.Struct, frozen=True):
    """A kind of request: how many, what they share, and how long they stream."""

    name: str
    per_s: float
    common: tuple[int, int]
    """Number of parts that many subjects share, and their tokens."""
    subjects: tuple[int, int]
    """Number of subjects, and their tokens."""
    own_tokens: int
    """Mean of a log-normal distribution."""
    stream_ms: float


LONG_SHARED = Kind("long", 43, (3, 512), (382, 4_870), 6_610, 1_500)
QUICK = Kind("quick", 71, (16, 119), (630, 79), 628, 1_100)
SHORT = Kind("short", 70, (80, 341), (933, 227), 1_800, 150)
"""As on the users' sheet of a grown deployment."""


class Engine:
    """Reads prompts one after another and keeps what it has read, up to a limit."""

    def __init__(self, endpoint: Endpoint, kept_tokens: int):
        self.endpoint = endpoint
        self.read_tokens = 0
        self.kept: OrderedDict[str, int] = OrderedDict()
        self._limit = kept_tokens
        self._free_ms = 0.0

    def take(self, parts: tuple[PromptPart, ...], now_ms: float) -> tuple[float, int]:
        """Return when the prompt is read, and the tokens found kept."""
        found = 0
        for part in parts:
            if part.id not in self.kept:
                break
            self.kept.move_to_end(part.id)
            found += part.tokens
        tokens = sum(part.tokens for part in parts) - found
        for part in parts:
            self.kept[part.id] = part.tokens
            self.kept.move_to_end(part.id)
        while sum(self.kept.values()) > self._limit:
            self.kept.popitem(last=False)
        self.read_tokens += tokens
        self._free_ms = max(self._free_ms, now_ms) + tokens / READ_TOKENS_PER_MS
        return self._free_ms, found


class Result(msgspec.Struct):
    """What callers of one kind got."""

    first_ms: list[float] = msgspec.field(default_factory=list)
    refused: int = 0
    shared_tokens: int = 0
    kept_tokens: int = 0

    def quantile_ms(self, share: float) -> float:
        """Return the time to the first event that a share of the callers had."""
        return sorted(self.first_ms)[int(share * (len(self.first_ms) - 1))]

    def kept_share(self) -> float:
        """Return the part of the shared tokens that was not read again."""
        return self.kept_tokens / self.shared_tokens


class Instance:
    """One instance's part in placing."""

    def __init__(self, name: str, seed: int):
        self.name = InstanceId(name)
        self.board = LoadBoard()
        self.memory = PromptMemory()
        self.placer = Placer(
            self.board, EndpointHealth(), self.memory, random.Random(seed)
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
                Engine(_endpoint(f"engine-{n}"), 575_000) for n in range(engines)
            )
        }
        self.results = {kind.name: Result() for kind in kinds}
        self._ends: list[tuple[float, int, Instance, EndpointId, int]] = []
        self._number = 0

    def play(self, length_ms: int, warm_ms: int) -> None:
        """Let requests come; those of the first ``warm_ms`` are not counted."""
        total_per_ms = sum(kind.per_s for kind in self.kinds) / 1000
        weights = [kind.per_s for kind in self.kinds]
        now_ms, digest_ms = 0.0, 0
        while now_ms < length_ms:
            now_ms += self.rng.expovariate(total_per_ms)
            while digest_ms <= now_ms:
                self._end_until(digest_ms)
                self._exchange(digest_ms)
                digest_ms += DIGEST_MS
            self._end_until(now_ms)
            kind = self.rng.choices(self.kinds, weights)[0]
            self._request(kind, now_ms, now_ms >= warm_ms)

    def _request(self, kind: Kind, now_ms: float, counts: bool) -> None:
        instance = self.rng.choice(self.instances)
        self._number += 1
        parts = self._parts(kind)
        tokens = sum(part.tokens for part in parts)
        need = Need(True, parts, tokens, 12_000)
        endpoints = tuple(engine.endpoint for engine in self.engines.values())
        choice = instance.placer.choose(need, endpoints, set(), ZONE, round(now_ms))
        result = self.results[kind.name]
        if not isinstance(choice, Choice):
            result.refused += counts
            return
        chosen = choice.endpoint.id
        instance.board.sent(chosen, choice.unread_tokens)
        instance.memory.remember(parts[:-1], chosen, round(now_ms))
        read_ms, kept = self.engines[chosen].take(parts, now_ms)
        first_ms = read_ms + FIRST_EVENT_MS
        if counts:
            result.first_ms.append(first_ms - now_ms)
            result.shared_tokens += tokens - parts[-1].tokens
            result.kept_tokens += kept
        end = (first_ms, self._number, instance, chosen, choice.unread_tokens)
        heapq.heappush(self._ends, end)
        stream_ms = kind.stream_ms * self.rng.expovariate(1)
        end = (first_ms + stream_ms, -self._number, instance, chosen, 0)
        heapq.heappush(self._ends, end)

    def _parts(self, kind: Kind) -> tuple[PromptPart, ...]:
        subject = self.rng.randrange(kind.subjects[0])
        common = subject % kind.common[0]
        return (
            PromptPart(f"{kind.name}-c{common}", kind.common[1]),
            PromptPart(f"{kind.name}-s{subject}", kind.subjects[1]),
            PromptPart(f"own-{self._number}", self._own_tokens(kind)),
        )

    def _own_tokens(self, kind: Kind) -> int:
        drawn = self.rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
        return max(1, round(kind.own_tokens * drawn))

    def _end_until(self, now_ms: float) -> None:
        """Let first events and ends of streams come."""
        while self._ends and self._ends[0][0] <= now_ms:
            _, number, instance, chosen, unread_tokens = heapq.heappop(self._ends)
            if number > 0:
                instance.board.was_read(chosen, unread_tokens)
            else:
                instance.board.ended(chosen)

    def _exchange(self, now_ms: int) -> None:
        loads = {each.name: each.board.own_loads() for each in self.instances}
        for each in self.instances:
            for name, load in loads.items():
                if name != each.name:
                    each.board.hear(name, load, now_ms)


def _endpoint(name: str) -> Endpoint:
    return Endpoint(
        id=EndpointId(name),
        started_wall_ms=None,
        service=ServiceId("model"),
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
    """Print what callers get with plenty of engines, and with busy ones."""
    kinds = (LONG_SHARED, QUICK, SHORT)
    for engines in (20, 14):
        fleet = Fleet(24, engines, kinds, seed=1)
        fleet.play(length_ms=40_000, warm_ms=20_000)
        for name, result in fleet.results.items():
            print(
                f"{engines} engines, {name}: kept {result.kept_share():.2f},"
                f" first event of half {result.quantile_ms(0.5):.0f} ms,"
                f" of 90 % {result.quantile_ms(0.9):.0f} ms"
            )


if __name__ == "__main__":
    main()
