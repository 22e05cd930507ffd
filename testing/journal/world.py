"""Several instances on one table, with faults, and the invariants of the journal."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import msgspec

from _monsoonpulley.ids import ClassId, CustomerId, IdempotencyKey, InstanceId
from _monsoonpulley.journal.collection import Collection, CollectionSettings
from _monsoonpulley.journal.journal import Journal
from _monsoonpulley.journal.record import decode_record, row_key
from _monsoonpulley.journal.recovery import Recovery, RecoverySettings
from _monsoonpulley.journal.settings import JournalSettings
from _monsoonpulley.journal.submission import Submission
from _monsoonpulley.observability.log import Log
from _monsoonpulley.outcome import Outcome
from _monsoonpulley.standins.manualloop import ManualLoop

from .faults import (
    CallEffect,
    Fault,
    FaultyEndpoints,
    FaultyObjects,
    FaultyTable,
    Gate,
    Gated,
    GatedClock,
    GatedEndpoints,
)

INSTANCES = 3
RETENTION_MS = 60_000
MAX_DELAY_MS = 8_000
MAX_PAUSE_MS = 45_000
HEAL_MS = 90_000
SETTINGS = JournalSettings(
    max_inline_bytes=16,
    endpoint_timeout_ms=2_000,
    max_dispatch_age_ms=2_000,
    settle_timeout_ms=1_000,
    lookup_timeout_ms=4_000,
    repeat_wait_ms=5_000,
    retry_max_ms=400,
    max_group_writes=4,
)


def submission(key: str, body: bytes = b"book", tag: int = 0) -> Submission:
    return Submission(
        customer=CustomerId("customer"),
        class_id=ClassId("booking"),
        key=IdempotencyKey(key),
        method="POST",
        path="/bookings",
        headers=(("tag", str(tag)),),
        body=body,
        timeout_ms=1_000,
        retention_ms=RETENTION_MS,
    )


class Instance:
    def __init__(self, name, incarnation, world):
        self.gate = Gate()
        self.name = name
        self.incarnation = incarnation
        clock = GatedClock(world.clock, self.gate)
        table = Gated(world.table, self.gate)
        objects = Gated(world.objects, self.gate)
        log = Log(world.clock, world.on_log, name)
        self.dispatcher = GatedEndpoints(world.endpoints, self.gate, clock)
        self.journal = Journal(
            table,
            objects,
            clock,
            random.Random(f"{world.seed}/{name}/{incarnation}"),
            InstanceId(name),
            incarnation,
            self.dispatcher,
            log,
            world.settings,
        )
        self.recovery = Recovery(self.journal, table, log, RecoverySettings())
        settings = CollectionSettings(clock_margin_ms=0)
        self.collection = Collection(table, objects, clock, log, settings)


class World:
    """Instances, platform and endpoints on one event loop with manual time."""

    def __init__(self, seed: int, *, can_look_up: bool = True, merge: bool = True):
        self.seed = seed
        self.settings = msgspec.structs.replace(SETTINGS, merge_first_writes=merge)
        self.rng = random.Random(seed)
        self.loop = ManualLoop()
        self.clock = self.loop.clock()
        self.faults_per_hundred = 0
        self.table = FaultyTable(self._next_fault, self._delay_ms)
        self.objects = FaultyObjects()
        self.endpoints = FaultyEndpoints(
            ("e1", "e2", "e3"), self.rng, self._on_run, can_look_up=can_look_up
        )
        self.endpoints.next_effect = self._next_effect
        self.endpoints.delay_ms = self._delay_ms
        self.violations: list[str] = []
        self.outcomes: Counter = Counter()
        self.on_log = lambda line: None
        self._run_counts: Counter = Counter()
        self._executed_tags: set[int] = set()
        self._refused_tags: set[int] = set()
        self._closed_epochs: set[tuple] = set()
        self._last_tag = 0
        self._tasks: set[asyncio.Task] = set()
        self.gone_holders: set[tuple] = set()
        # References that keep tasks that wait at a closed gate from being destroyed.
        self._stopped_instances: list[Instance] = []
        self.instances = [Instance(f"i{n}", 1, self) for n in range(INSTANCES)]

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    # Actions.

    def submit(self, index: int, key: str, body: bytes = b"book") -> asyncio.Task:
        self._last_tag += 1
        work = submission(key, body, self._last_tag)
        return self._spawn(self._submit(self.instances[index], work, self._last_tag))

    def tick(self, duration_ms: int):
        self.loop.run_until_complete(asyncio.sleep(duration_ms / 1000))

    def crash(self, index: int):
        stopped = self.instances[index]
        stopped.gate.close()
        self.gone_holders.add((stopped.name, stopped.incarnation))
        self._stopped_instances.append(stopped)
        self.instances[index] = Instance(stopped.name, stopped.incarnation + 1, self)

    def stop(self, index: int, drain_ms: int):
        """Drain an instance and replace it at once."""
        leaving = self.instances[index]
        self._stopped_instances.append(leaving)
        self.instances[index] = Instance(leaving.name, leaving.incarnation + 1, self)
        self._spawn(self._drain(leaving, drain_ms))

    async def _drain(self, leaving: Instance, drain_ms: int):
        await leaving.journal.drain(self.clock.now_ms() + drain_ms)
        self.gone_holders.add((leaving.name, leaving.incarnation))

    def pause(self, index: int):
        self.instances[index].gate.close()

    def resume(self, index: int):
        """End a pause; if a checked send waited too long, crash the instance."""
        if self.instances[index].dispatcher.max_wait_ms() > MAX_PAUSE_MS:
            self.crash(index)
        self.instances[index].gate.open()

    def recover(self, index: int, suspected: int | None = None):
        """Adopt from stopped instances and from one that is wrongly suspected."""
        name = None if suspected is None else self.instances[suspected].name

        def is_gone(holder, incarnation):
            return holder == name or (holder, incarnation) in self.gone_holders

        self._spawn(self.instances[index].recovery.recover(is_gone))

    def collect(self, index: int):
        self._spawn(self.instances[index].collection.collect())

    def heal(self):
        """End all faults and let all work reach a terminal state."""
        self.faults_per_hundred = 0
        self.table.is_down = self.objects.is_down = False
        self.endpoints.has_room = True
        for index in range(len(self.instances)):
            self.resume(index)
        for stopped in self._stopped_instances:
            self.gone_holders.add((stopped.name, stopped.incarnation))
        for _ in range(6):
            self.recover(0)
            self.tick(HEAL_MS // 6)
        for row in self.table.rows.values():
            record = decode_record(row.value)
            if not record.is_terminal():
                self.violations.append(
                    f"record not settled, state {record.state}: {record}"
                )

    # Invariants.

    async def _submit(self, instance, work, tag):
        result = await instance.journal.submit(work)
        await instance.gate.pass_through()
        self.outcomes[result.outcome] += 1
        epoch = self._epoch(work)
        if result.outcome is Outcome.DONE:
            ran_epoch = epoch if self._run_counts[epoch] else (epoch[0], epoch[1] - 1)
            if not self._run_counts[ran_epoch]:
                self.violations.append(f"reported done but did not run: {work}")
            if result.answer and result.answer.body != b"answer to " + work.body:
                self.violations.append(f"answer belongs to another call: {result}")
        if result.outcome is Outcome.NOT_RUN:
            self._refused_tags.add(tag)
            if tag in self._executed_tags:
                self.violations.append(f"reported not run after it ran: {work}")
            if result.key_closed:
                self._closed_epochs.add(epoch)
                if self._run_counts[epoch]:
                    self.violations.append(
                        f"key closed as not run after it ran: {work}"
                    )
        return result

    def _on_run(self, work):
        tag = int(dict(work.headers)["tag"])
        epoch = self._epoch(work)
        self._run_counts[epoch] += 1
        self._executed_tags.add(tag)
        if self._run_counts[epoch] > 1:
            self.violations.append(f"ran {self._run_counts[epoch]} times: {work}")
        if tag in self._refused_tags:
            self.violations.append(f"ran after it was reported not run: {work}")
        if epoch in self._closed_epochs:
            self.violations.append(f"ran although its key was closed: {work}")

    def _epoch(self, work) -> tuple:
        """Return the key and how often its record was deleted by collection."""
        key = row_key(work.request_id)
        return key, self.table.deletions.get(key, 0)

    def _spawn(self, work) -> asyncio.Task:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.violations.append(f"task raised an exception: {task.exception()!r}")

    def _next_fault(self) -> Fault:
        if self.rng.randrange(100) >= self.faults_per_hundred:
            return Fault.NONE
        faults = [fault for fault in Fault if fault is not Fault.NONE]
        return self.rng.choice(faults)

    def _next_effect(self) -> CallEffect:
        if self.rng.randrange(100) >= self.faults_per_hundred:
            return CallEffect.ANSWER
        return self.rng.choice(list(CallEffect))

    def _delay_ms(self) -> int:
        return self.rng.randrange(1, MAX_DELAY_MS)
