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


class PlatformService(Enum):
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
    """Never arrives; the caller waits until its timeout."""
    LOST_ANSWER = "lost_answer"
    """Takes effect, but the caller waits until its timeout."""
    DELAYED_EFFECT = "delayed_effect"
    """Is evaluated, conditions and all, only after the caller's timeout."""


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

    def heal(self, zone: str, other: str = PLATFORM) -> None:
        """Let traffic through again."""
        self._disconnected_pairs.discard(frozenset((zone, other)))

    def partition(self, zones: set[str], other_zones: set[str]) -> None:
        """Cut each of ``zones`` off from each of ``others``."""
        for zone in zones:
            for other in other_zones:
                self.disconnect(zone, other)

    def heal_all(self) -> None:
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
        How long after the caller's timeout a delayed effect lands.
    """

    def __init__(self, rng: Random, effect_delay_ms: int = 3_000):
        self.network = Network()
        self.effect_delay_ms = effect_delay_ms
        self._rng = rng
        self._outages: dict[PlatformService, FaultKind] = {}
        self._outage_windows: list[tuple[PlatformService, int, int, FaultKind]] = []
        self._planned_faults: defaultdict[tuple[str, str], deque[FaultKind]] = (
            defaultdict(deque)
        )
        self._fault_probabilities: defaultdict[str, dict[FaultKind, float]] = (
            defaultdict(dict)
        )
        self._latencies: dict[PlatformService, Latency] = {}

    def set_outage(
        self,
        is_down: bool,
        service: PlatformService | None = None,
        *,
        hanging: bool = False,
    ) -> None:
        """Take a part, or all of them, down or up again.

        A hanging outage swallows requests where another refuses them.
        """
        kind = FaultKind.LOST_REQUEST if hanging else FaultKind.REFUSED
        for each in _services(service):
            if is_down:
                self._outages[each] = kind
            else:
                self._outages.pop(each, None)

    def schedule_outage(
        self,
        from_ms: int,
        until_ms: int,
        service: PlatformService | None = None,
        *,
        hanging: bool = False,
    ) -> None:
        """Plan an outage between two readings of the stand-in's clock."""
        kind = FaultKind.LOST_REQUEST if hanging else FaultKind.REFUSED
        self._outage_windows += [
            (each, from_ms, until_ms, kind) for each in _services(service)
        ]

    def set_latency(
        self, latency: Latency | None, service: PlatformService | None = None
    ) -> None:
        """Set the one-way delay of a part, or of all; ``None`` for no delay."""
        for each in _services(service):
            if latency is None:
                self._latencies.pop(each, None)
            else:
                self._latencies[each] = latency

    def fail_next_calls(
        self, step: str, kind: FaultKind, count: int = 1, *, peer: str = ""
    ) -> None:
        """Let the next ``count`` calls of a step, such as ``cloud.start``, fail.

        With ``peer`` only calls of this instance count.
        """
        self._planned_faults[step, peer].extend([kind] * count)

    def fail_next_commits(
        self, kind: FaultKind, count: int = 1, *, peer: str = ""
    ) -> None:
        """Let the next ``count`` table commits, of all or one instance, fail."""
        self.fail_next_calls("table.commit", kind, count, peer=peer)

    def set_fault_probability(
        self, step: str, kind: FaultKind, probability: float
    ) -> None:
        """Let calls of a step fail by chance; probability 0 ends it."""
        if not 0 <= probability <= 1:
            raise ValueError(f"a probability can't be {probability}")
        self._fault_probabilities[step][kind] = probability

    def clear(self) -> None:
        """End all faults, planned ones too, and heal the network."""
        self.network.heal_all()
        for each in (self._outages, self._outage_windows, self._planned_faults):
            each.clear()
        self._fault_probabilities.clear()
        self._latencies.clear()

    def current_outage(self, service: PlatformService, now_ms: int) -> FaultKind | None:
        """Return how the part is down now, or ``None`` where it is up."""
        if service in self._outages:
            return self._outages[service]
        for affected, from_ms, until_ms, kind in self._outage_windows:
            if affected is service and from_ms <= now_ms < until_ms:
                return kind
        return None

    def plan(self, step: str, peer: str, now_ms: int) -> CallPlan:
        """Decide how the call of ``step`` that ``peer`` starts now goes."""
        service = service_of(step)
        fault = self.current_outage(service, now_ms) or self._fault(step, peer)
        return CallPlan(fault, *self._delays_ms(service))

    def _delays_ms(self, service: PlatformService) -> tuple[float, float]:
        latency = self._latencies.get(service)
        if latency is None:
            return 0.0, 0.0
        return latency.draw_ms(self._rng), latency.draw_ms(self._rng)

    def _fault(self, step: str, peer: str) -> FaultKind | None:
        for planned in (
            self._planned_faults[step, peer],
            self._planned_faults[step, ""],
        ):
            if planned:
                return planned.popleft()
        for kind, probability in self._fault_probabilities[step].items():
            if self._rng.random() < probability:
                return kind
        return None


def service_of(step: str) -> PlatformService:
    """Return the part that carries a step, such as ``table.commit``."""
    return PlatformService(step.partition(".")[0])


def _services(service: PlatformService | None) -> tuple[PlatformService, ...]:
    return tuple(PlatformService) if service is None else (service,)
