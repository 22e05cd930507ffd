"""Stand-in of the platform's cloud API: instances and their reclaims."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from enum import Enum
from random import Random

import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..external.cloud import InstanceSpec, Price, ReclaimNotice
from ..ids import ZoneId
from .calls import DEFAULT_TIMEOUT_MS, PlatformConnection
from .faults import Faults

STARTED_PREFIX = "cloud-"
"""Begins the names of instances that were started by order."""


class CloudState(Enum):
    """Where an instance stands in its life."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPED = "stopped"
    """Stopped by order."""
    TAKEN = "taken"
    """Reclaimed by the platform, or its process died."""


class CloudInstance(msgspec.Struct):
    """An instance; times are of the stand-in's monotonic clock.

    Attributes
    ----------
    ready_ms : int
        When it runs, or ran, for the first time.
    ended_ms : int or None
        When it was stopped or taken.
    """

    name: str
    spec: InstanceSpec
    state: CloudState
    started_ms: int
    ready_ms: int
    ended_ms: int | None = None

    @property
    def alive(self) -> bool:
        """Whether it starts or runs."""
        return self.state in (CloudState.STARTING, CloudState.RUNNING)


Callback = Callable[[CloudInstance], None]


class CloudStandin:
    """Instances that are no processes: callbacks say when they come and go.

    Reclaims need a running loop, whose timers take the instances.

    Attributes
    ----------
    instances : dict of str to CloudInstance
        All instances that ever were, by name.
    lead_ms : int
        From start to running.
    on_ready, on_notice, on_ended : list of callable
        Called with the instance when it runs, when its reclaim is announced,
        and when it was stopped or taken.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        faults: Faults | None = None,
        *,
        lead_ms: int = 0,
    ):
        self.faults = faults or Faults(rng)
        self.instances: dict[str, CloudInstance] = {}
        self.lead_ms = lead_ms
        self.on_ready: list[Callback] = []
        self.on_notice: list[Callback] = []
        self.on_ended: list[Callback] = []
        self._clock = clock
        self._rng = rng
        self._tokens: dict[str, str] = {}
        self._notices: dict[str, ReclaimNotice] = {}
        self._refused: set[tuple[str | None, str | None, bool | None]] = set()
        self._prices: dict[tuple[str, str, bool], Price] = {}

    def connect(
        self, peer: str, zone: ZoneId, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> CloudConnection:
        """Return the handle of one instance."""
        caller = PlatformConnection(self.faults, self._clock, peer, zone, timeout_ms)
        return CloudConnection(self, caller)

    def adopt(self, name: str, spec: InstanceSpec) -> CloudInstance:
        """Add an instance that runs already; its name may not be ``cloud-N``."""
        if name in self.instances or name.startswith(STARTED_PREFIX):
            raise ValueError(f"the name {name} is taken")
        now_ms = self._clock.now_ms()
        instance = CloudInstance(name, spec, CloudState.RUNNING, now_ms, now_ms)
        self.instances[name] = instance
        return instance

    def set_prices(self, prices: Iterable[Price]) -> None:
        """Set or replace the prices of their zones and machine classes."""
        for price in prices:
            key = (price.zone, price.machine_class, price.reclaimable)
            self._prices[key] = price

    def refuse_starts(
        self,
        on: bool,
        *,
        zone: str | None = None,
        machine_class: str | None = None,
        reclaimable: bool | None = None,
    ) -> None:
        """Refuse starts that match, or take them again; ``None`` matches all."""
        pattern = (zone, machine_class, reclaimable)
        if on:
            self._refused.add(pattern)
        else:
            self._refused.discard(pattern)

    def reclaim(
        self, instance: str, notice_ms: int, *, dies_after_ms: int | None = None
    ) -> None:
        """Announce a reclaim and carry it out ``notice_ms`` later.

        With ``dies_after_ms`` the process dies so long after the notice, if
        that is sooner. A running notice may be moved forward, never back.
        """
        found = self.instances[instance]
        if not found.alive:
            return
        deadline_wall_ms = self._clock.wall_ms() + notice_ms
        held = self._notices.get(instance)
        if held is None or deadline_wall_ms < held.deadline_wall_ms:
            self._notices[instance] = ReclaimNotice(instance, deadline_wall_ms)
        left_ms = notice_ms if dies_after_ms is None else min(notice_ms, dies_after_ms)
        if held is None and notice_ms > 0:
            _call(self.on_notice, found)
        self._later(left_ms, self.take, instance)

    def reclaim_zone(
        self,
        zone: str,
        notice_ms: int,
        *,
        on_demand_too: bool = False,
        early_death_probability: float = 0.0,
    ) -> tuple[str, ...]:
        """Reclaim a zone's instances in one wave and return their names.

        Some die at random times within the notice, by the given probability.
        """
        names = tuple(
            each.name
            for each in self.instances.values()
            if each.alive
            and each.spec.zone == zone
            and (each.spec.reclaimable or on_demand_too)
        )
        for name in names:
            dies_after_ms = None
            if self._rng.random() < early_death_probability:
                dies_after_ms = self._rng.randrange(max(1, notice_ms))
            self.reclaim(name, notice_ms, dies_after_ms=dies_after_ms)
        return names

    def take(self, instance: str) -> None:
        """Take an instance now, without notice."""
        self._end(instance, CloudState.TAKEN)

    def notices(self) -> tuple[ReclaimNotice, ...]:
        """Return the notices in force."""
        return tuple(self._notices.values())

    def prices(self) -> tuple[Price, ...]:
        """Return the prices of now."""
        return tuple(self._prices.values())

    def start(self, token: str, spec: InstanceSpec) -> str | Failure:
        """Start an instance now; the same token gives the same instance."""
        if token in self._tokens:
            return self._started(self._tokens[token], spec)
        if self._refuses(spec):
            return Failure(
                Reason.OVERLOADED, "cloud.start", "platform", "no capacity for it"
            )
        name = f"{STARTED_PREFIX}{len(self._tokens) + 1}"
        now_ms = self._clock.now_ms()
        ready_ms = now_ms + self.lead_ms
        self.instances[name] = CloudInstance(
            name, spec, CloudState.STARTING, now_ms, ready_ms
        )
        self._tokens[token] = name
        self._later(self.lead_ms, self._ready, name)
        return name

    def stop(self, instance: str) -> Failure | None:
        """Stop an instance now; stopping a stopped one succeeds."""
        if instance not in self.instances:
            return Failure(Reason.NOT_FOUND, "cloud.stop", "platform", instance)
        self._end(instance, CloudState.STOPPED)
        return None

    def _started(self, name: str, spec: InstanceSpec) -> str | Failure:
        if self.instances[name].spec != spec:
            detail = "the token was used for another spec"
            return Failure(Reason.KEY_REUSED, "cloud.start", "platform", detail)
        return name

    def _refuses(self, spec: InstanceSpec) -> bool:
        facts = (spec.zone, spec.machine_class, spec.reclaimable)
        return any(
            all(want is None or want == is_ for want, is_ in zip(p, facts, strict=True))
            for p in self._refused
        )

    def _ready(self, name: str) -> None:
        instance = self.instances[name]
        if instance.state is CloudState.STARTING:
            instance.state = CloudState.RUNNING
            _call(self.on_ready, instance)

    def _end(self, name: str, state: CloudState) -> None:
        instance = self.instances[name]
        if not instance.alive:
            return
        instance.state = state
        instance.ended_ms = self._clock.now_ms()
        self._notices.pop(name, None)
        _call(self.on_ended, instance)

    def _later(
        self, delay_ms: float, call: Callable[[str], None], instance: str
    ) -> None:
        asyncio.get_running_loop().call_later(delay_ms / 1000, call, instance)


class CloudConnection:
    """A `platform.cloud.Cloud` of one instance on a stand-in."""

    def __init__(self, cloud: CloudStandin, caller: PlatformConnection):
        self._cloud = cloud
        self._caller = caller

    async def notices(self) -> tuple[ReclaimNotice, ...] | Failure:
        """Return the reclaim notices that are in force."""
        return await self._caller.read("cloud.notices", self._cloud.notices)

    async def start(self, token: str, spec: InstanceSpec) -> str | Failure:
        """Start an instance and return its name; same token, same instance."""
        return await self._caller.change(
            "cloud.start", lambda: self._cloud.start(token, spec)
        )

    async def stop(self, instance: str) -> Failure | None:
        """Stop an instance; stopping a stopped one succeeds."""
        return await self._caller.change(
            "cloud.stop", lambda: self._cloud.stop(instance)
        )

    async def prices(self) -> tuple[Price, ...] | Failure:
        """Return the prices of now."""
        return await self._caller.read("cloud.prices", self._cloud.prices)


def _call(callbacks: list[Callback], instance: CloudInstance) -> None:
    for callback in callbacks:
        callback(instance)
