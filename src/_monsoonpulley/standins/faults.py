"""Fault plan of the platform's stand-ins, set by tests and the demo."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from enum import Enum
from random import Random

import msgspec

from ..ids import ZoneId

PLATFORM = ZoneId("platform")
"""Name of the platform itself in a `Network`."""
P99_SIGMAS = 2.326
"""Standard deviations between the median and the 99th percentile."""


class PlatformService(Enum):
    """A service of the platform; the value is the first word of its steps."""

    TABLE = "table"
    OBJECTS = "objects"
    LIVELIST = "livelist"
    CLOUD = "cloud"


class FaultKind(Enum):
    """Fault of one call."""

    REFUSED = "refused"
    """Refused at once, without effect."""
    LOST_REQUEST = "lost_request"
    """The request never arrives; the calling code waits until its timeout."""
    LOST_ANSWER = "lost_answer"
    """The call takes effect, but the calling code waits until its timeout."""
    DELAYED_EFFECT = "delayed_effect"
    """The call and its conditions are evaluated only after the timeout."""


class Latency(msgspec.Struct, frozen=True):
    """Log-normal distribution of one-way delays."""

    median_ms: float
    p99_ms: float

    def draw_ms(self, rng: Random) -> float:
        """Return a random delay in milliseconds."""
        if self.median_ms <= 0:
            return 0.0
        sigma = math.log(max(1.0, self.p99_ms / self.median_ms)) / P99_SIGMAS
        return rng.lognormvariate(math.log(self.median_ms), sigma)


class Network:
    """Connectivity of the zones and the platform; at first all are connected."""

    def __init__(self) -> None:
        self._disconnected_pairs: set[frozenset[str]] = set()

    def disconnect(self, zone: str, other: str = PLATFORM) -> None:
        """Stop traffic between two zones, or between a zone and the platform."""
        if zone == other:
            raise ValueError(f"{zone} can't be disconnected from itself")
        self._disconnected_pairs.add(frozenset((zone, other)))

    def reconnect(self, zone: str, other: str = PLATFORM) -> None:
        """Restore traffic between the two."""
        self._disconnected_pairs.discard(frozenset((zone, other)))

    def partition(self, zones: set[str], other_zones: set[str]) -> None:
        """Disconnect each of ``zones`` from each of ``other_zones``."""
        for zone in zones:
            for other in other_zones:
                self.disconnect(zone, other)

    def reconnect_all(self) -> None:
        """Restore all traffic."""
        self._disconnected_pairs.clear()

    def is_connected(self, zone: str, other: str = PLATFORM) -> bool:
        """Return whether traffic passes between the two."""
        return zone == other or frozenset((zone, other)) not in self._disconnected_pairs


class CallPlan(msgspec.Struct, frozen=True):
    """Fault of one call, if any, and its delay in each direction."""

    fault: FaultKind | None
    request_ms: float
    response_ms: float


class Faults:
    """Fault plan shared by all stand-ins of a platform.

    Parameters
    ----------
    rng : Random
        Source of random faults and latencies.
    effect_delay_ms : int
        Time from the timeout of a call to its delayed effect.
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
        """Start or end an outage of one service, or of all.

        A hanging outage leaves requests unanswered instead of refusing them.
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
        """Schedule an outage from ``from_ms`` until ``until_ms`` on the clock."""
        kind = FaultKind.LOST_REQUEST if hanging else FaultKind.REFUSED
        self._outage_windows += [
            (each, from_ms, until_ms, kind) for each in _services(service)
        ]

    def set_latency(
        self, latency: Latency | None, service: PlatformService | None = None
    ) -> None:
        """Set the one-way delay of one service, or of all; ``None`` removes it."""
        for each in _services(service):
            if latency is None:
                self._latencies.pop(each, None)
            else:
                self._latencies[each] = latency

    def fail_next_calls(
        self, step: str, kind: FaultKind, count: int = 1, *, peer: str = ""
    ) -> None:
        """Make the next ``count`` calls of a step, such as ``cloud.start``, fail.

        ``peer`` limits this to calls of one instance.
        """
        self._planned_faults[step, peer].extend([kind] * count)

    def fail_next_commits(
        self, kind: FaultKind, count: int = 1, *, peer: str = ""
    ) -> None:
        """Make the next ``count`` table commits, of all or one instance, fail."""
        self.fail_next_calls("table.commit", kind, count, peer=peer)

    def set_fault_probability(
        self, step: str, kind: FaultKind, probability: float
    ) -> None:
        """Make calls of a step fail with a probability; 0 ends this."""
        if not 0 <= probability <= 1:
            raise ValueError(f"probability must be from 0 to 1, got {probability}")
        self._fault_probabilities[step][kind] = probability

    def clear(self) -> None:
        """End all current and planned faults, and restore all traffic."""
        self.network.reconnect_all()
        for each in (self._outages, self._outage_windows, self._planned_faults):
            each.clear()
        self._fault_probabilities.clear()
        self._latencies.clear()

    def current_outage(self, service: PlatformService, now_ms: int) -> FaultKind | None:
        """Return the fault of a service's current outage, or ``None``."""
        if service in self._outages:
            return self._outages[service]
        for affected, from_ms, until_ms, kind in self._outage_windows:
            if affected is service and from_ms <= now_ms < until_ms:
                return kind
        return None

    def plan(self, step: str, peer: str, now_ms: int) -> CallPlan:
        """Return the fault and delays of a call that ``peer`` starts now."""
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
    """Return the service of a step, such as ``table.commit``."""
    return PlatformService(step.partition(".")[0])


def _services(service: PlatformService | None) -> tuple[PlatformService, ...]:
    return tuple(PlatformService) if service is None else (service,)
