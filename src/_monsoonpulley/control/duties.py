"""Duties: control work that one entry instance at a time does for all.

A kind of duty is a class registered by a decorator. Each kind has shards, and each
shard is one duty with a lease of its own, named ``KIND/SHARD``.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from functools import lru_cache
from typing import Protocol

import xxhash

from ..clock import Clock
from ..ids import InstanceId
from ..observability.log import Log
from ..registry import Registry
from ..supervisor import Supervisor
from .leases import Hold, Leases
from .leasestate import LeaseSettings
from .parts import DutyParts

LiveEntries = Callable[[], Sequence[InstanceId]]
SCORE_CACHE_SIZE = 32_768
STOP_TIMEOUT_MS = 1_000
"""How long a cancelled duty may keep running before its lease is released anyway."""


class Duty(Protocol):
    """One kind of duty, as run by one instance."""

    def shards(self) -> Sequence[str]:
        """Return the names of the shards, each of which has its own lease."""
        ...

    async def run(self, shard: str, hold: Hold) -> None:
        """Do the work of one shard until cancelled."""
        ...


duty_kinds: Registry[Callable[[DutyParts], Duty]] = Registry("duty")
"""Constructors of the kinds of duties, which take the instance's `DutyParts`."""


def make_duties(parts: DutyParts) -> dict[str, Duty]:
    """Return an object of each registered kind of duty, by name."""
    return {name: duty_kinds.get(name)(parts) for name in duty_kinds}


@lru_cache(maxsize=SCORE_CACHE_SIZE)
def _rendezvous_score(duty: str, instance: InstanceId) -> tuple[int, InstanceId]:
    text = f"{duty}\0{instance}"
    return xxhash.xxh3_64_intdigest(text.encode()), instance


def rendezvous_order(duty: str, instances: Sequence[InstanceId]) -> list[InstanceId]:
    """Return the instances by rendezvous hashing, the preferred holder first."""
    return sorted(
        instances, key=lambda each: _rendezvous_score(duty, each), reverse=True
    )


class Candidates:
    """Rank of one instance among the candidates of each duty.

    Ranks are cached until the live instances change.
    """

    def __init__(self, instance: InstanceId, live_entries: LiveEntries):
        self._instance = instance
        self._live_entries = live_entries
        self._instances: tuple[InstanceId, ...] = ()
        self._ranks: dict[str, int] = {}

    def refresh(self) -> None:
        """Update the live instances."""
        instances = tuple(self._live_entries())
        if instances != self._instances:
            self._instances = instances
            self._ranks.clear()

    def rank(self, duty: str) -> int:
        """Return the rank; an instance that isn't listed as live yet comes last."""
        if duty not in self._ranks:
            order = rendezvous_order(duty, self._instances)
            is_listed = self._instance in order
            rank = order.index(self._instance) if is_listed else len(order)
            self._ranks[duty] = rank
        return self._ranks[duty]

    def successor(self, duty: str) -> InstanceId:
        """Return the preferred one of the other instances, empty if there is none."""
        others = [each for each in self._instances if each != self._instance]
        order = rendezvous_order(duty, others)
        return order[0] if order else InstanceId("")


class DutyRunner:
    """Runs the duties that this instance holds; implements `leases.DutyPlacement`.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    kinds : dict of str to Duty
        The kinds of duties by name.
    live_entries : callable
        Returns the live entry instances.
    settings : LeaseSettings
        The same as of the leases.
    clock, log, rng
        Shared with the rest of the instance.
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
        self._candidates = Candidates(instance, live_entries)
        self._settings = settings
        self._clock = clock
        self._log = log
        self._rng = rng
        self._leases: Leases | None = None
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._fencing_numbers: dict[str, int] = {}
        self._misplaced_since_ms: dict[str, int] = {}
        self._stopping_since_ms: dict[str, int] = {}
        self._known_duties: frozenset[str] = frozenset()
        self._is_leaving = False

    def bind(self, leases: Leases) -> None:
        """Set the leases under which the duties run; call it before their `run`."""
        self._leases = leases
        leases.after_tick = self.update

    def duties(self) -> list[str]:
        """Return the names of all existing duties, and refresh the candidates."""
        names = [
            f"{name}/{shard}"
            for name, kind in self._kinds.items()
            for shard in kind.shards()
        ]
        self._known_duties = frozenset(names)
        self._candidates.refresh()
        return names

    def rank(self, duty: str) -> int | None:
        """Return this instance's rank, ``None`` if it should release the lease."""
        if self._should_release(duty):
            return None if self._try_stop(duty) else self._candidates.rank(duty)
        self._stopping_since_ms.pop(duty, None)
        return self._candidates.rank(duty)

    def successor(self, duty: str) -> InstanceId:
        """Return the preferred one of the other instances."""
        return self._candidates.successor(duty)

    def running_duties(self) -> dict[str, int]:
        """Return the fencing number of each duty that runs here."""
        return dict(self._fencing_numbers)

    def update(self) -> None:
        """Start the duties whose lease is held, and cancel the others."""
        for duty in list(self._tasks):
            hold = self._leases.hold(duty)
            if hold is None or hold.fencing_number != self._fencing_numbers.get(duty):
                self._stop(duty)
            if self._tasks[duty].done():
                del self._tasks[duty]
        for duty in [
            each for each in self._stopping_since_ms if self._is_released(each)
        ]:
            del self._stopping_since_ms[duty]
            self._misplaced_since_ms.pop(duty, None)
        for duty in self.duties():
            if duty not in self._tasks and duty not in self._stopping_since_ms:
                self._start(duty)

    async def hand_over_all(self) -> None:
        """Stop all duties and hand their leases over, within a bounded time."""
        self._is_leaving = True
        deadline_ms = self._clock.now_ms() + 2 * self._settings.call_timeout_ms
        deadline_ms += STOP_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            if not self._tasks and not self._has_unreleased():
                return
            await self._clock.sleep_ms(self._settings.tick_interval_ms)

    def cancel(self) -> None:
        """Cancel all duties without waiting for them."""
        for task in self._tasks.values():
            task.cancel()

    def _has_unreleased(self) -> bool:
        states = [self._leases.state(duty) for duty in self.duties()]
        return any(state.held or state.pending for state in states)

    def _should_release(self, duty: str) -> bool:
        """Return whether the lease should be released.

        That is so while this instance is leaving, when the duty no longer exists,
        and when another instance has been preferred for the hand-over delay.
        """
        if self._is_leaving or duty not in self._known_duties:
            return True
        now_ms = self._clock.now_ms()
        if duty not in self._fencing_numbers or self._candidates.rank(duty) == 0:
            if duty not in self._stopping_since_ms:
                self._misplaced_since_ms.pop(duty, None)
                return False
        since_ms = self._misplaced_since_ms.setdefault(duty, now_ms)
        return now_ms - since_ms >= self._settings.hand_over_delay_ms

    def _try_stop(self, duty: str) -> bool:
        """Cancel the duty's task and return whether its lease may be released."""
        now_ms = self._clock.now_ms()
        stopping_since_ms = self._stopping_since_ms.setdefault(duty, now_ms)
        task = self._tasks.get(duty)
        if task is None or task.done():
            return True
        self._stop(duty)
        return now_ms - stopping_since_ms >= STOP_TIMEOUT_MS

    def _is_released(self, duty: str) -> bool:
        state = self._leases.state(duty)
        if state.held or state.pending or state.observed is None:
            return False
        row = state.observed.row
        return row is None or row.holder != self._instance

    def _stop(self, duty: str) -> None:
        if duty in self._fencing_numbers:
            del self._fencing_numbers[duty]
            self._tasks[duty].cancel()

    def _start(self, duty: str) -> None:
        hold = self._leases.hold(duty)
        if hold is None:
            return
        name, _, shard = duty.partition("/")
        kind = self._kinds[name]
        supervisor = Supervisor(f"duty/{name}", self._clock, self._log, self._rng)
        supervisor.add(shard, lambda: kind.run(shard, hold))
        self._fencing_numbers[duty] = hold.fencing_number
        self._tasks[duty] = asyncio.create_task(supervisor.run(), name=f"duty/{duty}")
