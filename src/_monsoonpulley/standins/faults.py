"""Faults of the platform's stand-ins, planned by tests and by the demo."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from enum import Enum
from random import Random

import msgspec

from ..ids import ZoneId

PLATFORM = ZoneId("platform")
"""Name under which a `Network` knows the platform itself."""
P99_SIGMAS = 2.326
"""Standard deviations between the median and the 99th percentile."""


class Part(Enum):
    """A service of the platform; the first word of its steps."""

    TABLE = "table"
    OBJECTS = "objects"
    LIVELIST = "livelist"
    CLOUD = "cloud"


class FaultKind(Enum):
    """What goes wrong with one call."""

    REFUSED = "refused"
    """Declined at once, without effect."""
    LOST_REQUEST = "lost_request"
    """Never arrives; the calling instance waits until its timeout."""
    LOST_ANSWER = "lost_answer"
    """Takes effect, but the calling instance waits until its timeout."""
    DELAYED_EFFECT = "delayed_effect"
    """Is evaluated, with its conditions, only after the calling instance's timeout."""


class Latency(msgspec.Struct, frozen=True):
    """A log-normal distribution of one-way delays in milliseconds."""

    median_ms: float
    p99_ms: float

    def draw_ms(self, rng: Random) -> float:
        """Return one delay."""
        if self.median_ms <= 0:
            return 0.0
        sigma = math.log(max(1.0, self.p99_ms / self.median_ms)) / P99_SIGMAS
        return rng.lognormvariate(math.log(self.median_ms), sigma)


class Network:
    """Which zones reach each other and the platform; all do at first."""

    def __init__(self) -> None:
        self._disconnected_pairs: set[frozenset[str]] = set()

    def disconnect(self, zone: str, other: str = PLATFORM) -> None:
        """Stop traffic between two zones, or a zone and the platform."""
        if zone == other:
            raise ValueError(f"{zone} can't be cut off from itself")
        self._disconnected_pairs.add(frozenset((zone, other)))

    def reconnect(self, zone: str, other: str = PLATFORM) -> None:
        """Let traffic between the two through again."""
        self._disconnected_pairs.discard(frozenset((zone, other)))

    def partition(self, zones: set[str], others: set[str]) -> None:
        """Disconnect each of ``zones`` from each of ``others``."""
        for zone in zones:
            for other in others:
                self.disconnect(zone, other)

    def reconnect_all(self) -> None:
        """Let all traffic through again."""
        self._disconnected_pairs.clear()

    def is_connected(self, zone: str, other: str = PLATFORM) -> bool:
        """Return whether traffic passes between the two."""
        return zone == other or frozenset((zone, other)) not in self._disconnected_pairs


class CallPlan(msgspec.Struct, frozen=True):
    """How one call goes: its fault, if any, and its delays each way."""

    fault: FaultKind | None
    request_ms: float
    response_ms: float


class Faults:
    """The fault plan that all stand-ins of a platform share.

    Parameters
    ----------
    rng : Random
        Decides by probability and draws latencies.
    effect_delay_ms : int
        How long after the calling instance's timeout a delayed effect occurs.
    """

    def __init__(self, rng: Random, effect_delay_ms: int = 3_000):
        self.network = Network()
        self.effect_delay_ms = effect_delay_ms
        self._rng = rng
        self._down: dict[Part, FaultKind] = {}
        self._windows: list[tuple[Part, int, int, FaultKind]] = []
        self._next: defaultdict[tuple[str, str], deque[FaultKind]] = defaultdict(deque)
        self._chances: defaultdict[str, dict[FaultKind, float]] = defaultdict(dict)
        self._latencies: dict[Part, Latency] = {}

    def outage(
        self, on: bool, part: Part | None = None, *, hanging: bool = False
    ) -> None:
        """Take a part, or all of them, down or up again.

        In a hanging outage requests get no answer; in another they are refused.
        """
        kind = FaultKind.LOST_REQUEST if hanging else FaultKind.REFUSED
        for each in _parts(part):
            if on:
                self._down[each] = kind
            else:
                self._down.pop(each, None)

    def outage_window(
        self,
        from_ms: int,
        until_ms: int,
        part: Part | None = None,
        *,
        hanging: bool = False,
    ) -> None:
        """Plan an outage between two readings of the stand-in's clock."""
        kind = FaultKind.LOST_REQUEST if hanging else FaultKind.REFUSED
        self._windows += [(each, from_ms, until_ms, kind) for each in _parts(part)]

    def slow(self, latency: Latency | None, part: Part | None = None) -> None:
        """Set the one-way delay of a part, or of all; ``None`` for no delay."""
        for each in _parts(part):
            if latency is None:
                self._latencies.pop(each, None)
            else:
                self._latencies[each] = latency

    def next_call(
        self, step: str, kind: FaultKind, count: int = 1, *, peer: str = ""
    ) -> None:
        """Let the next ``count`` calls of a step, such as ``cloud.start``, fail.

        With ``peer`` only calls of this instance count.
        """
        self._next[step, peer].extend([kind] * count)

    def next_commit(self, kind: FaultKind, count: int = 1, *, peer: str = "") -> None:
        """Let the next ``count`` table commits, of all or one instance, fail."""
        self.next_call("table.commit", kind, count, peer=peer)

    def chance(self, step: str, kind: FaultKind, probability: float) -> None:
        """Let calls of a step fail by chance; probability 0 ends it."""
        if not 0 <= probability <= 1:
            raise ValueError(f"a probability can't be {probability}")
        self._chances[step][kind] = probability

    def clear(self) -> None:
        """End all faults, planned ones too, and let all traffic through."""
        self.network.reconnect_all()
        for each in (self._down, self._windows, self._next):
            each.clear()
        self._chances.clear()
        self._latencies.clear()

    def outage_kind(self, part: Part, now_ms: int) -> FaultKind | None:
        """Return how the part is down now, or ``None`` where it is up."""
        if part in self._down:
            return self._down[part]
        for down, from_ms, until_ms, kind in self._windows:
            if down is part and from_ms <= now_ms < until_ms:
                return kind
        return None

    def plan(self, step: str, peer: str, now_ms: int) -> CallPlan:
        """Decide how the call of ``step`` that ``peer`` starts now goes."""
        part = part_of(step)
        fault = self.outage_kind(part, now_ms) or self._fault(step, peer)
        return CallPlan(fault, *self._delays_ms(part))

    def _delays_ms(self, part: Part) -> tuple[float, float]:
        latency = self._latencies.get(part)
        if latency is None:
            return 0.0, 0.0
        return latency.draw_ms(self._rng), latency.draw_ms(self._rng)

    def _fault(self, step: str, peer: str) -> FaultKind | None:
        for planned in (self._next[step, peer], self._next[step, ""]):
            if planned:
                return planned.popleft()
        for kind, probability in self._chances[step].items():
            if self._rng.random() < probability:
                return kind
        return None


def part_of(step: str) -> Part:
    """Return the part that carries a step, such as ``table.commit``."""
    return Part(step.partition(".")[0])


def _parts(part: Part | None) -> tuple[Part, ...]:
    return tuple(Part) if part is None else (part,)
