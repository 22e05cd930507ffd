"""Instances that only run leases and duties, on one table stand-in."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict

from _monsoonpulley.control.duties import DutyRunner
from _monsoonpulley.control.leases import Hold, Leases
from _monsoonpulley.control.leasestate import LeaseSettings
from _monsoonpulley.identity import Identity
from _monsoonpulley.observability.log import Log
from _monsoonpulley.observability.metrics import NoMetrics
from _monsoonpulley.standins.manualloop import running_clock
from _monsoonpulley.standins.table import TableStandin

ACT_MS = 50


class RecordingDuty:
    """A duty that records each time at which it may act."""

    def __init__(self, group: LeaseGroup, name: str, shards: int):
        self._group = group
        self._name = name
        self._shards = [str(number) for number in range(shards)]

    def shards(self) -> list[str]:
        return self._shards

    async def run(self, shard: str, hold: Hold) -> None:
        clock = self._group.clock
        acts = self._group.acts[f"act/{shard}"]
        while True:
            if hold.may_act():
                acts.append((clock.now_ms(), self._name, hold.fencing_number))
            await clock.sleep_ms(ACT_MS)


class RunningInstance:
    """One instance of a group."""

    def __init__(self, group: LeaseGroup, name: str, shards: int, settings):
        clock = group.clock
        rng = random.Random(group.rng.getrandbits(64))
        log = Log(clock, group.log_lines.append, name)
        kinds = {"act": RecordingDuty(group, name, shards)}
        self.duties = DutyRunner(
            name, kinds, lambda: group.live, settings, clock, log, rng
        )
        identity = Identity(name, "zone-a", "region", clock.wall_ms())
        table = group.table.connect(name, "zone-a")
        self.leases = Leases(
            table, identity, self.duties, clock, rng, log, NoMetrics(), settings
        )
        self.duties.bind(self.leases)
        self.task = asyncio.create_task(self.leases.run())

    def kill(self) -> None:
        self.task.cancel()
        self.duties.cancel()


class LeaseGroup:
    """A group of instances; `live` is the list of live instances that all use."""

    def __init__(self, seed: int, size: int, shards: int, settings=None):
        self.clock = running_clock()
        self.rng = random.Random(seed)
        self.table = TableStandin(self.clock, random.Random(seed))
        self.log_lines: list[str] = []
        self.acts: defaultdict[str, list[tuple[int, str, int]]] = defaultdict(list)
        self.settings = settings or LeaseSettings()
        self.shards = shards
        self.live = [f"entry-{number}" for number in range(size)]
        self.running: dict[str, RunningInstance] = {}
        for name in self.live:
            self.start(name)

    def start(self, name: str) -> RunningInstance:
        self.running[name] = RunningInstance(self, name, self.shards, self.settings)
        return self.running[name]

    def kill(self, name: str) -> None:
        self.running.pop(name).kill()

    def stop(self) -> None:
        for running in self.running.values():
            running.kill()

    def holders(self) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        for name, running in self.running.items():
            for duty in running.duties.running_duties():
                found.setdefault(duty, []).append(name)
        return found

    def first_act_ms(self, duty: str, after_ms: int) -> int | None:
        """Return the time of the first act on the duty after ``after_ms``."""
        return next((at for at, _, _ in self.acts[duty] if at > after_ms), None)

    def assert_invariants(self) -> None:
        """Assert that fencing numbers never fall and each belongs to one instance."""
        for duty, acts in self.acts.items():
            numbers = [number for _, _, number in acts]
            assert numbers == sorted(numbers), duty
            assert len({(name, number) for _, name, number in acts}) == len(
                set(numbers)
            ), duty
