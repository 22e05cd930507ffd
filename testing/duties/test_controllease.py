"""The duties' lease over a group of instances that exchange digests."""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest

from _monsoonpulley.control.leasestate import lease_key
from _monsoonpulley.duties.controllease import NUMBERS_PER_ERA, ControlLease
from _monsoonpulley.duties.controlloop import ControlLoop
from _monsoonpulley.duties.placement import CONTROL
from _monsoonpulley.external.table import Write
from _monsoonpulley.identity import Identity
from _monsoonpulley.ids import InstanceId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.platform.cloud import CALL_TIMEOUT_MS
from _monsoonpulley.sharing.digest import Digest, decode_message, encode_message
from _monsoonpulley.sharing.members import Members
from _monsoonpulley.standins.manualloop import run_manual, running_clock
from _monsoonpulley.standins.table import TableStandin

LEASE_KEY = lease_key(CONTROL)
LEASE_MS = 3_000
DIGEST_MS = 150
SETTLED_MS = 40_000
"""Longer than the lease, so that what candidates observed at their start is old."""

MAX_TAKEOVER_MS = LEASE_MS + 1_000
"""One lease, and the time to notice its end and to claim it."""


class Instance:
    """One instance with its lease; a process that dies stops sending digests."""

    def __init__(self, group: Group, name: str):
        self._group = group
        self.name = InstanceId(name)
        clock, log = group.clock, Log(group.clock, lambda line: None)
        self.members = Members(self.name, clock, log)
        self.reaches_store = True
        self.is_alive = self.is_heard = True
        self.is_leaving = False
        self.zone = f"zone-{name}"
        self.lease = ControlLease(
            Identity(self.name, self.zone, "", 1),
            group.table.connect(name, self.zone),
            self.members,
            LEASE_MS,
            clock,
            random.Random(name),
            log,
            lambda: self.is_leaving,
            lambda: group.era,
        )
        self._sequence = 0
        self.task = asyncio.create_task(self.lease.run())

    def digest(self) -> bytes:
        self._sequence += 1
        digest = Digest(
            self.name,
            1,
            self._sequence,
            "10.0.0.1",
            7600,
            reaches_store=self.reaches_store,
            is_leaving=self.is_leaving,
            lease_token=self.lease.fencing_number(),
            lease_row=self.lease.announced_row(),
        )
        return encode_message(digest)

    def receive(self, data: bytes) -> None:
        digest = decode_message(data)
        if self.members.record_digest(digest) and digest.lease_row is not None:
            self.lease.observe_row(digest.lease_row)


class Group:
    """Instances that exchange digests and share one table."""

    def __init__(self, count: int):
        self.clock = running_clock()
        self.table = TableStandin(self.clock, random.Random(1))
        self.instances = [Instance(self, f"i-{n:03d}") for n in range(count)]
        self.held: list[tuple[int, InstanceId]] = []
        self.numbers: list[tuple[int, InstanceId, int]] = []
        self.era = 1

    async def run(self, for_ms: int) -> None:
        end_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < end_ms:
            alive = [each for each in self.instances if each.is_alive]
            data = {each.name: each.digest() for each in alive if each.is_heard}
            for each in alive:
                for name, digest in data.items():
                    if name != each.name and each.is_heard:
                        each.receive(digest)
                each.lease.check_holder()
                hold = each.lease.hold()
                if hold is not None:
                    now_ms = self.clock.now_ms()
                    self.held.append((now_ms, each.name))
                    self.numbers.append((now_ms, each.name, hold.fencing_number))
            await self.clock.sleep_ms(DIGEST_MS)

    def holder(self) -> Instance:
        (holder,) = [e for e in self.instances if e.lease.hold() is not None]
        return holder

    def cut_from_store(self, instance: Instance) -> None:
        self.table.faults.network.disconnect(instance.zone)
        instance.reaches_store = False

    def kill(self, instance: Instance) -> None:
        instance.is_alive = False
        instance.task.cancel()

    def takeover_ms(self, lost: Instance, lost_ms: int) -> int:
        """Return the time from the loss of a holder to its successor's first act."""
        since = [ms for ms, n in self.held if ms >= lost_ms and n != lost.name]
        return min(since) - lost_ms


class TestTakeOver(unittest.TestCase):
    def run_group(self, script, count=7):
        async def main():
            group = Group(count)
            await group.run(SETTLED_MS)
            await script(group)

        run_manual(main())

    def test_a_holder_that_the_store_refuses_is_replaced_within_one_lease(self):
        async def script(group):
            lost, lost_ms = group.holder(), group.clock.now_ms()
            group.cut_from_store(lost)
            await group.run(3 * LEASE_MS)
            self.assertLessEqual(group.takeover_ms(lost, lost_ms), MAX_TAKEOVER_MS)

        self.run_group(script)

    def test_a_killed_holder_is_replaced_within_one_lease(self):
        async def script(group):
            lost, lost_ms = group.holder(), group.clock.now_ms()
            group.kill(lost)
            await group.run(3 * LEASE_MS)
            self.assertLessEqual(group.takeover_ms(lost, lost_ms), MAX_TAKEOVER_MS)

        self.run_group(script)

    def test_candidates_that_the_store_refuses_do_not_delay_the_take_over(self):
        async def script(group):
            lost, lost_ms = group.holder(), group.clock.now_ms()
            for each in group.instances[:5]:
                group.cut_from_store(each)
            await group.run(3 * LEASE_MS)
            self.assertLessEqual(group.takeover_ms(lost, lost_ms), MAX_TAKEOVER_MS)

        self.run_group(script)

    def test_no_two_instances_hold_the_lease_at_once(self):
        async def script(group):
            for lost in (group.instances[0], group.instances[1]):
                group.cut_from_store(lost)
                await group.run(3 * LEASE_MS)
            by_time: dict[int, set[InstanceId]] = {}
            for ms, name in group.held:
                by_time.setdefault(ms, set()).add(name)
            self.assertEqual({len(names) for names in by_time.values()}, {1})

        self.run_group(script)

    def test_few_instances_read_the_lease_however_many_there_are(self):
        async def script(group):
            before = group.table.counts.scans
            await group.run(30_000)
            quiet = group.table.counts.scans - before
            group.cut_from_store(group.holder())
            await group.run(2 * LEASE_MS)
            self.assertLessEqual(quiet, 60)
            self.assertLessEqual(group.table.counts.scans - before - quiet, 20)

        self.run_group(script, count=60)


class OrderingDuty:
    """A duty whose orders take as long as a call may, and that remembers them."""

    def __init__(self, group: Group, name: str, orders: list):
        self._group = group
        self._name = name
        self._orders = orders

    async def step(self, hold) -> None:
        for _ in range(3):
            if not hold.may_act(CALL_TIMEOUT_MS):
                return
            sent_ms = self._group.clock.now_ms()
            await self._group.clock.sleep_ms(CALL_TIMEOUT_MS - 1)
            arrived_ms = self._group.clock.now_ms()
            self._orders.append((sent_ms, arrived_ms, self._name))


class IdleDuty:
    def observe_era(self) -> None:
        return

    async def step(self, hold) -> None:
        pass


class TestHandOver(unittest.TestCase):
    """Guards against two holders that act around a hand-over.

    An order may arrive until the end of its call, so that no other instance may send
    one before.
    """

    def run_orders(self, script):
        """Return the orders sent, with the times of sending and latest arrival."""
        orders: list[tuple[int, int, str]] = []

        async def main():
            group = Group(5)
            loops = []
            for each in group.instances:
                log = Log(group.clock, lambda line: None)
                loop = ControlLoop(
                    each.lease,
                    IdleDuty(),
                    OrderingDuty(group, each.name, orders),
                    IdleDuty(),
                    group.clock,
                    log,
                )
                loops.append(asyncio.create_task(loop.run()))
            await group.run(SETTLED_MS)
            await script(group)
            for task in loops:
                task.cancel()

        run_manual(main())
        return orders

    def assert_one_at_a_time(self, orders):
        names = [name for _, _, name in orders]
        self.assertGreater(len(set(names)), 1)
        for (_, arrived_ms, before), (sent_ms, _, after) in itertools.pairwise(
            sorted(orders)
        ):
            if before != after:
                self.assertGreaterEqual(sent_ms, arrived_ms)

    def test_a_holder_that_stops_finishes_its_order_first(self):
        """`ControlLease.is_acting` keeps the lease until `ControlLoop` is done."""
        for offset_ms in range(0, 1_500, 100):
            with self.subTest(offset_ms=offset_ms):

                async def script(group, offset_ms=offset_ms):
                    await group.clock.sleep_ms(offset_ms)
                    group.holder().is_leaving = True
                    for _ in range(20):
                        # The others may scan the lease at any time.
                        for each in group.instances:
                            each.lease._leases.request_scan()
                        await group.run(DIGEST_MS)
                    await group.run(LEASE_MS)

                self.assert_one_at_a_time(self.run_orders(script))

    def test_a_holder_that_stops_hands_over_within_its_listening(self):
        """It listens on for 2.6 s, and the rest of a lease would take longer."""

        async def script(group):
            holder, stop_ms = group.holder(), group.clock.now_ms()
            holder.is_leaving = True
            await group.run(3 * LEASE_MS)
            self.assertLessEqual(group.takeover_ms(holder, stop_ms), 2_600)

        self.run_orders(script)

    def test_a_holder_that_loses_a_renewal_sends_nothing_too_late(self):
        """`control.leases.Hold.may_act` asks whether the lease outlasts the call."""

        async def script(group):
            group.cut_from_store(group.holder())
            await group.run(3 * LEASE_MS)

        self.assert_one_at_a_time(self.run_orders(script))

    def test_a_frozen_holder_that_wakes_sends_nothing(self):
        """`control.leasestate.LeaseState.may_act` compares with the clock.

        What it had decided on before is not sent, as `wire.httpclient.HttpClient.call`
        sends nothing after its time-out (`testing.wire.test_httpclient`).
        """

        async def main():
            group = Group(5)
            await group.run(SETTLED_MS)
            frozen = group.holder()
            hold = frozen.lease.hold()
            self.assertTrue(hold.may_act(CALL_TIMEOUT_MS))
            group.kill(frozen)
            await group.run(2 * LEASE_MS)
            self.assertIsNot(group.holder(), frozen)
            frozen.is_alive = True
            frozen.task = asyncio.create_task(frozen.lease.run())
            self.assertFalse(hold.may_act())
            self.assertIsNone(frozen.lease.hold())
            await group.run(LEASE_MS)
            self.assertFalse(hold.may_act())
            self.assertIsNone(frozen.lease.hold())

        run_manual(main())


class TestLostWrites(unittest.TestCase):
    """The store comes back from a copy with an older row of the lease."""

    def run_loss(self, *, notice_ms: int) -> tuple[Group, InstanceId]:
        """Return the group after a loss that the last holder hears of late.

        The copy is from the time of the holder before it.
        """

        async def main():
            group = Group(5)
            await group.run(SETTLED_MS)
            first = group.holder()
            old_row = group.table.read(LEASE_KEY)
            group.cut_from_store(first)
            await group.run(3 * LEASE_MS)
            group.table.faults.network.reconnect(first.zone)
            first.reaches_store = True
            last = group.holder()
            newest = group.table.read(LEASE_KEY)
            group.table.commit([Write(LEASE_KEY, old_row.value, newest.revision)])
            group.era += 1
            group.numbers.clear()
            for each in group.instances:
                if each is not last:
                    each.lease.handle_era_change()
            # It is cut off from the store and from the others meanwhile.
            group.table.faults.network.disconnect(last.zone)
            last.is_heard = False
            await group.run(notice_ms)
            group.table.faults.network.reconnect(last.zone)
            last.is_heard = True
            last.lease.handle_era_change()
            await group.run(6 * LEASE_MS)
            return group, last.name

        return run_manual(main())

    def test_no_fencing_number_repeats_or_falls(self):
        for notice_ms in (0, 400, 1_200, 2_700, 6_000):
            group, _ = self.run_loss(notice_ms=notice_ms)
            numbers = [number for _, _, number in group.numbers]
            self.assertEqual(numbers, sorted(numbers))
            holders: dict[int, set[InstanceId]] = {}
            for _, name, number in group.numbers:
                holders.setdefault(number, set()).add(name)
            self.assertTrue(all(len(names) == 1 for names in holders.values()))
            self.assertGreater(numbers[-1], 2 * NUMBERS_PER_ERA)

    def test_nobody_acts_within_one_lease_of_another_holder(self):
        for notice_ms in (0, 400, 1_200, 2_700, 6_000):
            group, last = self.run_loss(notice_ms=notice_ms)
            acts: dict[InstanceId, list[int]] = {}
            for ms, name, _ in group.numbers:
                acts.setdefault(name, []).append(ms)
            successors = [times for name, times in acts.items() if name != last]
            ends_ms = max(
                (
                    ms
                    for ms, name, number in group.numbers
                    if name == last and number < 2 * NUMBERS_PER_ERA
                ),
                default=0,
            )
            self.assertTrue(
                all(min(times) > ends_ms for times in successors), notice_ms
            )

    def test_the_holder_stops_when_it_hears_of_the_loss(self):
        async def main():
            group = Group(3)
            await group.run(SETTLED_MS)
            holder = group.holder()
            hold = holder.lease.hold()
            holder.lease.handle_era_change()
            self.assertFalse(hold.may_act())
            self.assertIsNone(holder.lease.hold())
            await group.run(LEASE_MS - DIGEST_MS)
            self.assertIsNone(holder.lease.hold())

        run_manual(main())
