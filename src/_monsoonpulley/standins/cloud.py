"""Stand-in of the platform's cloud API: instances, prices and reclaims."""

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
from .calls import DEFAULT_TIMEOUT_MS, Caller
from .faults import Faults

STARTED_PREFIX = "cloud-"
"""Prefix of the names of instances that were started through the API."""


class CloudState(Enum):
    """State of an instance."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPED = "stopped"
    """Stopped through the API."""
    KILLED = "taken"
    """Reclaimed by the platform, or its process crashed."""


class CloudInstance(msgspec.Struct):
    """An instance; times are those of the stand-in's monotonic clock.

    Attributes
    ----------
    ready_ms : int
        When it becomes, or became, ready to run.
    ended_ms : int or None
        When it was stopped or killed.
    """

    name: str
    spec: InstanceSpec
    state: CloudState
    started_ms: int
    ready_ms: int
    ended_ms: int | None = None

    @property
    def is_alive(self) -> bool:
        """Whether the instance is starting or running."""
        return self.state in (CloudState.STARTING, CloudState.RUNNING)


InstanceCallback = Callable[[CloudInstance], None]


class CloudStandin:
    """The cloud's record of instances, without processes behind them.

    Callbacks report when an instance becomes ready, is to be reclaimed and
    ends. Starts and reclaims set timers on the running loop.

    Attributes
    ----------
    instances : dict of str to CloudInstance
        All instances by name, ended ones included.
    startup_ms : int
        Time from an instance's start until it runs.
    on_ready, on_notice, on_ended : list of callable
        Called with the instance when it becomes ready, when its reclaim is
        announced, and when it has been stopped or killed.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        faults: Faults | None = None,
        *,
        startup_ms: int = 0,
    ):
        self.faults = faults or Faults(rng)
        self.instances: dict[str, CloudInstance] = {}
        self.startup_ms = startup_ms
        self.on_ready: list[InstanceCallback] = []
        self.on_notice: list[InstanceCallback] = []
        self.on_ended: list[InstanceCallback] = []
        self._clock = clock
        self._rng = rng
        self._name_by_token: dict[str, str] = {}
        self._notice_by_instance: dict[str, ReclaimNotice] = {}
        self._refused_patterns: set[tuple[str | None, str | None, bool | None]] = set()
        self._price_by_offer: dict[tuple[str, str, bool], Price] = {}

    def connect(
        self, peer: str, zone: ZoneId, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> CloudConnection:
        """Return the cloud as the instance ``peer`` sees it."""
        caller = Caller(self.faults, self._clock, peer, zone, timeout_ms)
        return CloudConnection(self, caller)

    def add_running(self, name: str, spec: InstanceSpec) -> CloudInstance:
        """Add an instance that is already running.

        Raises
        ------
        ValueError
            If the name is in use or starts with ``cloud-``.
        """
        if name in self.instances or name.startswith(STARTED_PREFIX):
            raise ValueError(f"instance name {name} is in use or reserved")
        now_ms = self._clock.now_ms()
        instance = CloudInstance(name, spec, CloudState.RUNNING, now_ms, now_ms)
        self.instances[name] = instance
        return instance

    def set_prices(self, prices: Iterable[Price]) -> None:
        """Set the prices, each for its zone, machine class and reclaimability."""
        for price in prices:
            key = (price.zone, price.machine_class, price.reclaimable)
            self._price_by_offer[key] = price

    def refuse_starts(
        self,
        on: bool,
        *,
        zone: str | None = None,
        machine_class: str | None = None,
        reclaimable: bool | None = None,
    ) -> None:
        """Refuse starts that match, or accept them again; ``None`` matches all."""
        pattern = (zone, machine_class, reclaimable)
        if on:
            self._refused_patterns.add(pattern)
        else:
            self._refused_patterns.discard(pattern)

    def reclaim(
        self, instance: str, notice_ms: int, *, crash_after_ms: int | None = None
    ) -> None:
        """Announce a reclaim and kill the instance ``notice_ms`` later.

        With ``crash_after_ms`` the process crashes that long after the notice,
        if that is sooner. A further reclaim can bring the deadline of an
        announced one forward but not put it off.
        """
        reclaimed = self.instances[instance]
        if not reclaimed.is_alive:
            return
        deadline_wall_ms = self._clock.wall_ms() + notice_ms
        previous = self._notice_by_instance.get(instance)
        if previous is None or deadline_wall_ms < previous.deadline_wall_ms:
            self._notice_by_instance[instance] = ReclaimNotice(
                instance, deadline_wall_ms
            )
        delay_ms = (
            notice_ms if crash_after_ms is None else min(notice_ms, crash_after_ms)
        )
        if previous is None and notice_ms > 0:
            _call_each(self.on_notice, reclaimed)
        self._call_later(delay_ms, self.kill, instance)

    def reclaim_zone(
        self,
        zone: str,
        notice_ms: int,
        *,
        include_on_demand: bool = False,
        early_crash_probability: float = 0.0,
    ) -> tuple[str, ...]:
        """Reclaim a zone's instances at once and return their names.

        Each crashes at a random time within the notice with probability
        ``early_crash_probability``.
        """
        names = tuple(
            each.name
            for each in self.instances.values()
            if each.is_alive
            and each.spec.zone == zone
            and (each.spec.reclaimable or include_on_demand)
        )
        for name in names:
            crash_after_ms = None
            if self._rng.random() < early_crash_probability:
                crash_after_ms = self._rng.randrange(max(1, notice_ms))
            self.reclaim(name, notice_ms, crash_after_ms=crash_after_ms)
        return names

    def kill(self, instance: str) -> None:
        """End an instance now, without notice."""
        self._end_instance(instance, CloudState.KILLED)

    def notices(self) -> tuple[ReclaimNotice, ...]:
        """Return the notices of instances that are still alive."""
        return tuple(self._notice_by_instance.values())

    def prices(self) -> tuple[Price, ...]:
        """Return the current prices."""
        return tuple(self._price_by_offer.values())

    def start(self, token: str, spec: InstanceSpec) -> str | Failure:
        """Start an instance and return its name.

        A token that was used before returns the instance that it started.
        """
        if token in self._name_by_token:
            return self._find_started(self._name_by_token[token], spec)
        if self._is_refused(spec):
            return Failure(
                Reason.OVERLOADED,
                "cloud.start",
                "platform",
                "no capacity for this zone and machine class",
            )
        name = f"{STARTED_PREFIX}{len(self._name_by_token) + 1}"
        now_ms = self._clock.now_ms()
        ready_ms = now_ms + self.startup_ms
        self.instances[name] = CloudInstance(
            name, spec, CloudState.STARTING, now_ms, ready_ms
        )
        self._name_by_token[token] = name
        self._call_later(self.startup_ms, self._mark_running, name)
        return name

    def stop(self, instance: str) -> Failure | None:
        """Stop an instance now; succeeds if it has ended before."""
        if instance not in self.instances:
            return Failure(Reason.NOT_FOUND, "cloud.stop", "platform", instance)
        self._end_instance(instance, CloudState.STOPPED)
        return None

    def _find_started(self, name: str, spec: InstanceSpec) -> str | Failure:
        if self.instances[name].spec != spec:
            detail = "the token was used for another spec"
            return Failure(Reason.KEY_REUSED, "cloud.start", "platform", detail)
        return name

    def _is_refused(self, spec: InstanceSpec) -> bool:
        values = (spec.zone, spec.machine_class, spec.reclaimable)
        return any(
            all(
                expected is None or expected == value
                for expected, value in zip(pattern, values, strict=True)
            )
            for pattern in self._refused_patterns
        )

    def _mark_running(self, name: str) -> None:
        instance = self.instances[name]
        if instance.state is CloudState.STARTING:
            instance.state = CloudState.RUNNING
            _call_each(self.on_ready, instance)

    def _end_instance(self, name: str, state: CloudState) -> None:
        instance = self.instances[name]
        if not instance.is_alive:
            return
        instance.state = state
        instance.ended_ms = self._clock.now_ms()
        self._notice_by_instance.pop(name, None)
        _call_each(self.on_ended, instance)

    def _call_later(
        self, delay_ms: float, callback: Callable[[str], None], instance: str
    ) -> None:
        asyncio.get_running_loop().call_later(delay_ms / 1000, callback, instance)


class CloudConnection:
    """An `external.cloud.Cloud` that one instance uses, on the stand-in."""

    def __init__(self, cloud: CloudStandin, caller: Caller):
        self._cloud = cloud
        self._caller = caller

    async def notices(self) -> tuple[ReclaimNotice, ...] | Failure:
        """Return the reclaim notices of instances that are still alive."""
        return await self._caller.read("cloud.notices", self._cloud.notices)

    async def start(self, token: str, spec: InstanceSpec) -> str | Failure:
        """Start an instance and return its name; a reused token starts no second."""
        return await self._caller.change(
            "cloud.start", lambda: self._cloud.start(token, spec)
        )

    async def stop(self, instance: str) -> Failure | None:
        """Stop an instance; succeeds if it has ended before."""
        return await self._caller.change(
            "cloud.stop", lambda: self._cloud.stop(instance)
        )

    async def prices(self) -> tuple[Price, ...] | Failure:
        """Return the current prices."""
        return await self._caller.read("cloud.prices", self._cloud.prices)


def _call_each(callbacks: list[InstanceCallback], instance: CloudInstance) -> None:
    for callback in callbacks:
        callback(instance)
