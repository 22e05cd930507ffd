"""Simulation of engines that differ in speed, and of streams that prompts delay.

Extends `fleetplay`: engines generate tokens in steps, prefill a chunk of a prompt
between two steps, and are slower for short spells. Placing, learning and what
instances tell each other are the product's own code.
"""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from collections import OrderedDict, deque

import msgspec

from _monsoonpulley.fleet.model import Endpoint, EngineSpec
from _monsoonpulley.ids import EndpointId, ZoneId
from _monsoonpulley.placing.placer import Choice, Requirements
from _monsoonpulley.placing.promptcacheindex import PromptPart

from .fleetplay import (
    LONG_SHARED,
    QUICK,
    SERVICE,
    SHORT,
    SLOTS,
    Instance,
    Kind,
    make_endpoint,
)

ZONES = tuple(ZoneId(f"zone-{name}") for name in "abc")
SPEEDS = (0.6, 1.0, 1.6)
SPELL_MS, SPELL_FACTOR = 600.0, 2.5
MEAN_SPELL_INTERVAL_MS = 10_000.0
PREFILL_TOKENS_PER_MS, CHUNK_TOKENS = 57.0, 1_024
STEP_MS, STEP_MS_PER_REQUEST = 3.8, 0.09
EVENT_TOKENS = 7
CACHE_TOKENS = 575_000
MAX_OWN_TOKENS = 54_600
DIGEST_MS, REMOTE_ROUNDS = 150, 4
HINT_SIGMA = 0.7
"""Parameter of the log-normal error of the length hint; its median is right."""

TARGETS_MS = {"long": 1_045, "quick": 519, "short": 522}
TARGET_GAP_MS = 400
OUTPUT_TOKENS = {"long": 240, "quick": 180, "short": 40}
"""Mean tokens to generate, by kind."""


class Stream(msgspec.Struct, eq=False):
    """One request at an engine and what its caller sees."""

    kind: Kind
    instance: Instance
    choice: Choice
    parts: tuple[PromptPart, ...]
    output_tokens: int
    output_hint: int
    sent_ms: float
    is_counted: bool
    left_tokens: int = 0
    """Tokens of the prompt still to prefill."""
    generated_tokens: int = 0
    cached_tokens: int = 0
    first_ms: float | None = None
    last_event_ms: float = 0.0
    longest_gap_ms: float = 0.0
    gaps_ms: list[float] = []

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the whole prompt."""
        return sum(part.tokens for part in self.parts)


class UnevenEngine:
    """Engine that prefills chunks of prompts between the steps of its streams."""

    def __init__(self, endpoint: Endpoint, speed: float, rng: random.Random):
        self.endpoint = endpoint
        self.speed = speed
        self.queue: deque[Stream] = deque()
        self.running: list[Stream] = []
        self.is_stepping = False
        self.cached: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0
        self._held_tokens = 0
        self._rng = rng
        self._spell_ms = rng.expovariate(1 / MEAN_SPELL_INTERVAL_MS)

    def accept(self, stream: Stream) -> None:
        """Queue a prompt; its leading parts that are cached need no prefill."""
        for part in stream.parts:
            if part.id not in self.cached:
                break
            self.cached.move_to_end(part.id)
            stream.cached_tokens += part.tokens
        stream.left_tokens = stream.prompt_tokens - stream.cached_tokens
        self._held_tokens += stream.prompt_tokens
        for part in stream.parts[:-1]:
            if part.id not in self.cached:
                self._cached_tokens += part.tokens
            self.cached[part.id] = part.tokens
            self.cached.move_to_end(part.id)
        while self.cached and self._cached_tokens + self._held_tokens > CACHE_TOKENS:
            self._cached_tokens -= self.cached.popitem(last=False)[1]
        self.queue.append(stream)

    def begin_step(self, now_ms: float) -> tuple[float, list[Stream]]:
        """Return the time of a step, and the prompts that it finishes."""
        tokens, finished = CHUNK_TOKENS, []
        while self.queue and tokens and len(self.running) + len(finished) < SLOTS:
            stream = self.queue[0]
            taken = min(tokens, stream.left_tokens)
            stream.left_tokens -= taken
            tokens -= taken
            if not stream.left_tokens:
                finished.append(self.queue.popleft())
        took_ms = (CHUNK_TOKENS - tokens) / PREFILL_TOKENS_PER_MS
        if self.running or finished:
            took_ms += STEP_MS + STEP_MS_PER_REQUEST * len(self.running)
        return took_ms / self.speed * self._spell_factor(now_ms), finished

    def end(self, stream: Stream) -> None:
        """Remove a stream that is complete."""
        self.running.remove(stream)
        self._held_tokens -= stream.prompt_tokens

    def _spell_factor(self, now_ms: float) -> float:
        while now_ms >= self._spell_ms + SPELL_MS:
            self._spell_ms += SPELL_MS
            self._spell_ms += self._rng.expovariate(1 / MEAN_SPELL_INTERVAL_MS)
        return SPELL_FACTOR if now_ms >= self._spell_ms else 1.0


class UnevenFleet:
    """Instances in three data centres that place streams at uneven engines.

    Parameters
    ----------
    instances, engines : int
        How many there are.
    seed : int
        Seed of all randomness.
    speeds : tuple of float
        Speeds of the engines, in turn.
    load : float
        Factor on the rates of the kinds.
    """

    kinds = (LONG_SHARED, QUICK, SHORT)

    def __init__(
        self,
        instances: int,
        engines: int,
        seed: int,
        speeds: tuple[float, ...] = SPEEDS,
        load: float = 1.0,
    ):
        self.rng = random.Random(seed)
        self.instances = [
            Instance(f"i-{n}", 1_000 * seed + n) for n in range(instances)
        ]
        self.zones = {each.name: ZONES[n % 3] for n, each in enumerate(self.instances)}
        self.engines: dict[EndpointId, UnevenEngine] = {}
        for number in range(engines):
            endpoint = msgspec.structs.replace(
                make_endpoint(f"engine-{number}"), zone=ZONES[number // 3 % 3]
            )
            self.engines[endpoint.id] = UnevenEngine(
                endpoint, speeds[number % len(speeds)], random.Random(seed + number)
            )
        for each in self.instances:
            each.models.engine(SERVICE).spec = EngineSpec(SLOTS, CACHE_TOKENS)
        self.ended: list[Stream] = []
        self.refused_count = 0
        self._load = load
        self._events: list[tuple] = []
        self._numbers = itertools.count()
        self._round = 0

    def run(self, length_ms: int, warmup_ms: int) -> None:
        """Simulate requests; those of the first ``warmup_ms`` are not counted."""
        per_ms = self._load * sum(kind.per_s for kind in self.kinds) / 1000
        weights = [kind.per_s for kind in self.kinds]
        arrival_ms, digest_ms = 0.0, 0.0
        while arrival_ms < length_ms:
            arrival_ms += self.rng.expovariate(per_ms)
            while digest_ms <= arrival_ms:
                self._run_steps_until(digest_ms)
                self._exchange_digests(round(digest_ms))
                digest_ms += DIGEST_MS
            self._run_steps_until(arrival_ms)
            kind = self.rng.choices(self.kinds, weights)[0]
            self._place(kind, arrival_ms, arrival_ms >= warmup_ms)
        self._run_steps_until(length_ms + 20_000)

    def _place(self, kind: Kind, now_ms: float, is_counted: bool) -> None:
        instance = self.rng.choice(self.instances)
        parts = self._parts(kind)
        prompt_tokens = sum(part.tokens for part in parts)
        mean = OUTPUT_TOKENS[kind.name]
        output_tokens = max(2, round(mean * self.rng.lognormvariate(-0.32, 0.8)))
        hint = max(2, round(output_tokens * self.rng.lognormvariate(0, HINT_SIGMA)))
        requirements = self._requirements(kind, parts, prompt_tokens, hint)
        endpoints = tuple(engine.endpoint for engine in self.engines.values())
        choice = instance.placer.choose(
            requirements, endpoints, set(), self.zones[instance.name], round(now_ms)
        )
        if not isinstance(choice, Choice):
            self.refused_count += is_counted
            return
        stream = Stream(
            kind, instance, choice, parts, output_tokens, hint, now_ms, is_counted
        )
        stream.gaps_ms = []
        self._record_sent(stream, requirements, now_ms)
        engine = self.engines[choice.endpoint.id]
        engine.accept(stream)
        if not engine.is_stepping:
            self._step(engine, now_ms)

    def _requirements(
        self, kind: Kind, parts: tuple[PromptPart, ...], prompt_tokens: int, hint: int
    ) -> Requirements:
        return Requirements(True, parts, prompt_tokens, prompt_tokens + hint, 12_000)

    def _record_sent(
        self, stream: Stream, requirements: Requirements, now_ms: float
    ) -> None:
        instance, chosen = stream.instance, stream.choice.endpoint.id
        instance.board.record_dispatch(
            chosen, stream.choice.prefill_tokens, requirements.held_tokens
        )
        instance.cache_index.record(stream.parts, chosen, round(now_ms))

    def _parts(self, kind: Kind) -> tuple[PromptPart, ...]:
        subject = self.rng.randrange(kind.subjects[0])
        common = subject % kind.common_parts[0]
        own = kind.own_tokens * self.rng.lognormvariate(-0.5, 1.0)
        return (
            PromptPart(f"{kind.name}-c{common}", kind.common_parts[1]),
            PromptPart(f"{kind.name}-s{subject}", kind.subjects[1]),
            PromptPart(
                f"own-{next(self._numbers)}", max(1, min(MAX_OWN_TOKENS, round(own)))
            ),
        )

    def _step(self, engine: UnevenEngine, now_ms: float) -> None:
        engine.is_stepping = bool(engine.queue or engine.running)
        if engine.is_stepping:
            took_ms, finished = engine.begin_step(now_ms)
            heapq.heappush(
                self._events, (now_ms + took_ms, next(self._numbers), engine, finished)
            )

    def _run_steps_until(self, until_ms: float) -> None:
        while self._events and self._events[0][0] <= until_ms:
            now_ms, _, engine, finished = heapq.heappop(self._events)
            engine.running += finished
            ended = []
            for stream in engine.running:
                stream.generated_tokens += 1
                is_end = stream.generated_tokens >= stream.output_tokens
                if is_end or not stream.generated_tokens % EVENT_TOKENS:
                    self._on_event(stream, now_ms)
                if is_end:
                    ended.append(stream)
            for stream in ended:
                engine.end(stream)
                self._on_end(stream, now_ms)
            self._step(engine, now_ms)

    def _on_event(self, stream: Stream, now_ms: float) -> None:
        if stream.first_ms is None:
            stream.first_ms = now_ms - stream.sent_ms
            self._on_first_event(stream, now_ms)
        else:
            gap_ms = now_ms - stream.last_event_ms
            stream.longest_gap_ms = max(stream.longest_gap_ms, gap_ms)
            stream.gaps_ms.append(gap_ms)
        stream.last_event_ms = now_ms

    def _on_first_event(self, stream: Stream, now_ms: float) -> None:
        choice = stream.choice
        stream.instance.board.record_prefill_end(
            choice.endpoint.id, choice.prefill_tokens
        )
        stream.instance.models.engine(SERVICE).record_first_event(
            choice.backlog_tokens + choice.prefill_tokens,
            stream.first_ms,
            round(now_ms),
        )
        stream.instance.models.speeds.record_first_event(
            choice.endpoint.id,
            choice.backlog_tokens + choice.prefill_tokens,
            stream.first_ms,
            round(now_ms),
        )

    def _on_end(self, stream: Stream, now_ms: float) -> None:
        instance, choice = stream.instance, stream.choice
        held_tokens = stream.prompt_tokens + stream.output_hint
        instance.board.record_end(choice.endpoint.id, held_tokens)
        instance.models.engine(SERVICE).record_end(
            choice.prefill_tokens,
            now_ms - stream.sent_ms - stream.first_ms,
            held_tokens,
            round(now_ms),
        )
        instance.models.speeds.record_stream(
            choice.endpoint.id, choice.running_count, stream.gaps_ms, round(now_ms)
        )
        instance.health.record_answer(
            choice.endpoint.id,
            max(0.0, stream.first_ms - choice.predicted_ms),
            round(now_ms),
        )
        if stream.is_counted:
            self.ended.append(stream)

    def _exchange_digests(self, now_ms: int) -> None:
        self._round += 1
        if self._round % REMOTE_ROUNDS == 0:
            self._share_speeds(now_ms)
        for number, sender in enumerate(self.instances):
            digest = self._digest(sender, now_ms)
            for other, receiver in enumerate(self.instances):
                is_near = self.zones[receiver.name] == self.zones[sender.name]
                is_due = (self._round + number + other) % REMOTE_ROUNDS == 0
                if receiver is not sender and (is_near or is_due):
                    self._apply_digest(receiver, sender, digest, now_ms)

    def _share_speeds(self, now_ms: int) -> None:
        """Send the samples of all instances to all, as digests to all do."""
        samples = {
            each.name: each.models.speeds.drain_outbox() for each in self.instances
        }
        for receiver in self.instances:
            for name, sent in samples.items():
                if name != receiver.name:
                    receiver.models.speeds.apply_peer(sent, now_ms)
            endpoints = [engine.endpoint for engine in self.engines.values()]
            receiver.models.refresh_speeds(endpoints, now_ms)

    def _digest(self, sender: Instance, now_ms: int) -> dict:
        return {
            "loads": sender.board.own_loads(),
            "sums": sender.models.own_sums(now_ms),
        }

    def _apply_digest(
        self, receiver: Instance, sender: Instance, digest: dict, now_ms: int
    ) -> None:
        receiver.board.update_peer(sender.name, digest["loads"])
        receiver.models.update_peer(sender.name, digest["sums"])

    def shares(self, kind: str) -> dict[str, tuple[float, float, float]]:
        """Return shares late by first event, by a pause and by either, by size."""
        streams = [s for s in self.ended if s.kind.name == kind]
        streams.sort(key=lambda s: -s.prompt_tokens)
        tenth, fifth = len(streams) // 10, len(streams) // 5
        groups = {
            "all": streams,
            "largest tenth": streams[:tenth],
            "fifth below": streams[tenth : tenth + fifth],
        }
        return {name: _late_shares(group) for name, group in groups.items()}

    def describe(self) -> list[str]:
        """Return lines with the shares late, and the errors of the predictions."""
        lines = [f"refused {self.refused_count}"]
        for kind in TARGETS_MS:
            streams = [s for s in self.ended if s.kind.name == kind]
            first = sorted(s.first_ms for s in streams)
            gaps = sorted(s.longest_gap_ms for s in streams)
            ratio = sorted(s.first_ms / s.choice.predicted_ms for s in streams)
            lines.append(
                f"{kind}: {len(streams)} streams; first event {_quantiles(first)};"
                f" longest pause {_quantiles(gaps)};"
                f" over predicted {_quantiles(ratio, 2)}"
            )
            for group, shares in self.shares(kind).items():
                late = ", ".join(f"{100 * share:.1f}" for share in shares)
                lines.append(f"  {group}: late % (first, pause, either) {late}")
        return lines


def _late_shares(streams: list[Stream]) -> tuple[float, float, float]:
    count = max(1, len(streams))
    first = [s.first_ms > TARGETS_MS[s.kind.name] for s in streams]
    gap = [s.longest_gap_ms > TARGET_GAP_MS for s in streams]
    either = [a or b for a, b in zip(first, gap, strict=True)]
    return sum(first) / count, sum(gap) / count, sum(either) / count


def _quantiles(values: list[float], digits: int = 0) -> str:
    picked = [values[int(q * (len(values) - 1))] for q in (0.1, 0.5, 0.9, 0.99)]
    return "/".join(f"{value:.{digits}f}" for value in picked)


def main(args: list[str]) -> None:
    """Print what callers get, for each engine count given (default 30)."""
    for engines in [int(arg) for arg in args] or [30]:
        for seed in (1, 2):
            fleet = UnevenFleet(65, engines, seed)
            fleet.run(length_ms=40_000, warmup_ms=15_000)
            print(f"{engines} engines, seed {seed}", *fleet.describe(), sep="\n")


if __name__ == "__main__":
    main(sys.argv[1:])
