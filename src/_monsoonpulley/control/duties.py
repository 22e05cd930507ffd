"""Duties: work that one entry instance at a time does for the whole system.

A kind of duty is a class that a decorator registers. Each kind has shards; each
shard is one duty with its own lease, called ``KIND/SHARD``.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Protocol

import xxhash

from ..clock import Clock
from ..ids import InstanceId
from ..log import Log
from ..registry import Registry
from ..supervisor import Supervisor
from .leases import Hold, Leases
from .leasestate import LeaseSettings
from .parts import DutyParts

LiveEntries = Callable[[], Sequence[InstanceId]]
STOP_WITHIN_MS = 1_000
"""How long a cancelled duty may take to end before its lease is released."""


class Duty(Protocol):
    """One kind of duty on one instance."""

    def shards(self) -> Sequence[str]:
        """Return the names of the parts, each of which has its own lease."""
        ...

    async def run(self, shard: str, hold: Hold) -> None:
        """Do the work of one part until cancelled."""
        ...


duty_kinds: Registry[Callable[[DutyParts], Duty]] = Registry("duty")
"""Kinds of duties; each is made from the instance's `DutyParts`."""


def make_duties(parts: DutyParts) -> dict[str, Duty]:
    """Return every registered kind of duty, made for one instance."""
    return {name: duty_kinds.get(name)(parts) for name in duty_kinds}


def rendezvous(duty: str, instances: Sequence[InstanceId]) -> list[InstanceId]:
    """Return the instances in the order in which they should hold a duty."""

    def score(instance: InstanceId) -> tuple[int, InstanceId]:
        text = f"{duty}\0{instance}"
        return xxhash.xxh3_64_intdigest(text.encode()), instance

    return sorted(instances, key=score, reverse=True)


class Candidates:
    """The order of candidates of each duty, kept until the instances change."""

    def __init__(self, live_entries: LiveEntries):
        self._live_entries = live_entries
        self._instances: tuple[InstanceId, ...] = ()
        self._orders: dict[str, list[InstanceId]] = {}

    def order(self, duty: str) -> list[InstanceId]:
        """Return the live instances, the preferred one first."""
        instances = tuple(sorted(self._live_entries()))
        if instances != self._instances:
            self._instances = instances
            self._orders.clear()
        if duty not in self._orders:
            self._orders[duty] = rendezvous(duty, instances)
        return self._orders[duty]


class DutyRunner:
    """Runs the duties that this instance holds; a `leases.Placement`.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    kinds : dict of str to Duty
        The kinds of duties by name.
    live_entries : callable
        Returns the live entry instances.
    settings : LeaseSettings
        Times.
    clock, log, rng
        Of the instance.
    """

    def __init__(
        self,
        instance: InstanceId,
        kinds: dict[str, Duty],
        live_entries: LiveEntries,
        settings: LeaseSettings,
        clock: Clock,
        log: Log,
        rng: random.Random,
    ):
        self._instance = instance
        self._kinds = kinds
        self._candidates = Candidates(live_entries)
        self._settings = settings
        self._clock = clock
        self._log = log
        self._rng = rng
        self._leases: Leases | None = None
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._numbers: dict[str, int] = {}
        self._misplaced_ms: dict[str, int] = {}
        self._stopping_ms: dict[str, int] = {}
        self._known: frozenset[str] = frozenset()
        self._is_leaving = False

    def bind(self, leases: Leases) -> None:
        """Set the leases under which the duties run; before `run`."""
        self._leases = leases
        leases.after_tick = self.update

    def duties(self) -> list[str]:
        """Return the names of all duties that there are."""
        names = [
            f"{name}/{shard}"
            for name, kind in self._kinds.items()
            for shard in kind.shards()
        ]
        self._known = frozenset(names)
        return names

    def rank(self, duty: str) -> int | None:
        """Return this instance's place, ``None`` if it should let go."""
        if self._should_let_go(duty):
            return None if self._has_stopped(duty) else self._place(duty)
        self._stopping_ms.pop(duty, None)
        return self._place(duty)

    def successor(self, duty: str) -> InstanceId:
        """Return the preferred one of the others."""
        order = self._candidates.order(duty)
        others = [each for each in order if each != self._instance]
        return others[0] if others else InstanceId("")

    def held(self) -> dict[str, int]:
        """Return the fencing number of each duty that runs here."""
        return dict(self._numbers)

    def update(self) -> None:
        """Start the duties whose lease is held, cancel the others."""
        for duty in list(self._tasks):
            hold = self._leases.hold(duty)
            if hold is None or hold.fencing_number != self._numbers.get(duty):
                self._stop(duty)
            if self._tasks[duty].done():
                del self._tasks[duty]
        for duty in [each for each in self._stopping_ms if self._is_released(each)]:
            del self._stopping_ms[duty]
            self._misplaced_ms.pop(duty, None)
        for duty in self.duties():
            if duty not in self._tasks and duty not in self._stopping_ms:
                self._start(duty)

    async def leave(self) -> None:
        """Stop all duties and hand their leases over."""
        self._is_leaving = True
        deadline_ms = self._clock.now_ms() + 2 * self._settings.call_ms
        deadline_ms += STOP_WITHIN_MS
        while self._clock.now_ms() < deadline_ms:
            if not self._tasks and not self._unreleased():
                return
            await self._clock.sleep_ms(self._settings.tick_ms)

    def cancel(self) -> None:
        """Cancel every duty at once."""
        for task in self._tasks.values():
            task.cancel()

    def _unreleased(self) -> bool:
        states = [self._leases.state(duty) for duty in self.duties()]
        return any(state.held or state.pending for state in states)

    def _place(self, duty: str) -> int:
        """Return the rank; an instance that isn't listed yet comes last."""
        order = self._candidates.order(duty)
        if self._instance in order:
            return order.index(self._instance)
        return len(order)

    def _should_let_go(self, duty: str) -> bool:
        """Tell whether the duty belongs elsewhere, and has for long enough."""
        if self._is_leaving or duty not in self._known:
            return True
        now_ms = self._clock.now_ms()
        if duty not in self._numbers or self._place(duty) == 0:
            if duty not in self._stopping_ms:
                self._misplaced_ms.pop(duty, None)
                return False
        since_ms = self._misplaced_ms.setdefault(duty, now_ms)
        return now_ms - since_ms >= self._settings.hand_over_ms

    def _has_stopped(self, duty: str) -> bool:
        """Stop the duty's task and tell whether its lease may be released."""
        now_ms = self._clock.now_ms()
        began_ms = self._stopping_ms.setdefault(duty, now_ms)
        task = self._tasks.get(duty)
        if task is None or task.done():
            return True
        self._stop(duty)
        return now_ms - began_ms >= STOP_WITHIN_MS

    def _is_released(self, duty: str) -> bool:
        state = self._leases.state(duty)
        if state.held or state.pending or state.observed is None:
            return False
        row = state.observed.row
        return row is None or row.holder != self._instance

    def _stop(self, duty: str) -> None:
        if duty in self._numbers:
            del self._numbers[duty]
            self._tasks[duty].cancel()

    def _start(self, duty: str) -> None:
        hold = self._leases.hold(duty)
        if hold is None:
            return
        name, _, shard = duty.partition("/")
        kind = self._kinds[name]
        supervisor = Supervisor(f"duty/{name}", self._clock, self._log, self._rng)
        supervisor.add(shard, lambda: kind.run(shard, hold))
        self._numbers[duty] = hold.fencing_number
        self._tasks[duty] = asyncio.create_task(supervisor.run(), name=f"duty/{duty}")
