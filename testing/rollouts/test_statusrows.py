"""Status rows of orders over the calls of the platform's store."""

from __future__ import annotations

import random
import unittest

import msgspec

from _monsoonpulley.clock import Clock, ManualClock
from _monsoonpulley.ids import ServiceId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.platform.names import OPERATOR_TABLE
from _monsoonpulley.platform.rollouts import (
    STATUS_TABLE,
    RolloutStatus,
    decode_order,
    decode_status,
    rollout_key,
)
from _monsoonpulley.platform.store import Store
from _monsoonpulley.platform.storeversion import join_version
from _monsoonpulley.rollouts.rollouts import Phase, Rollouts
from _monsoonpulley.rollouts.statusrows import RolloutStatusRows
from _monsoonpulley.standins.rowstore import RowStoreStandin, StoreFault
from _monsoonpulley.wire.httpclient import HttpClient

KEY = rollout_key(ServiceId("svc"))


class TestStatusRows(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = RowStoreStandin(Clock.from_system())
        self.addCleanup(self.standin.close)
        self.address = await self.standin.listen()
        self.order = self.place_order()
        self.rollouts, self.rows = self.make_instance()

    def place_order(self, version="v2"):
        document = {"service": "svc", "to": version, "duration_s": 12}
        row_version = self.standin.put(OPERATOR_TABLE, KEY, document)
        value = self.standin.read_value(OPERATOR_TABLE, KEY)
        return decode_order(value, row_version)

    def make_instance(self):
        store = Store(HttpClient(*self.address, Clock.from_system()))
        self.addCleanup(store.close)
        clock = ManualClock(1_000)
        log = Log(clock, lambda line: None)
        rollouts = Rollouts(clock, log, random.Random(1))
        rollouts.set_order(self.order)
        return rollouts, RolloutStatusRows(rollouts, store, log)

    def stored(self):
        value = self.standin.read_value(STATUS_TABLE, KEY)
        return None if value is None else decode_status(value)

    async def test_statuses_are_stored_one_after_the_other(self):
        for status in (RolloutStatus.RUNNING, RolloutStatus.DONE):
            self.assertTrue(await self.rows.write(self.order, status, "test"))
            self.assertEqual(self.stored(), ("v2", status))
        self.assertIs(self.rollouts.phase(self.order), Phase.DONE)

    async def test_the_end_that_is_stored_second_is_refused_and_adopted(self):
        # EXPOSURE: of two instances, each of which knew only its own end, the later
        # one replaced the other's.
        ends = {
            RolloutStatus.DONE: Phase.DONE,
            RolloutStatus.ROLLED_BACK: Phase.TAKEN_BACK,
        }
        for first, phase in ends.items():
            for second in ends.keys() - {first}:
                with self.subTest(first=first, second=second):
                    self.order = self.place_order()
                    _, earlier = self.make_instance()
                    rollouts, later = self.make_instance()
                    for rows in (earlier, later):
                        await rows.read(self.order)
                    self.assertTrue(await earlier.write(self.order, first, "test"))
                    for _ in range(3):
                        is_stored = await later.write(self.order, second, "test")
                        self.assertFalse(is_stored)
                    self.assertEqual(self.stored(), ("v2", first))
                    self.assertIs(rollouts.phase(self.order), phase)

    async def test_a_roll_back_replaces_a_running_status_in_one_call_of_write(self):
        _, holder = self.make_instance()
        await holder.write(self.order, RolloutStatus.RUNNING, "test")
        self.assertTrue(
            await self.rows.write(self.order, RolloutStatus.ROLLED_BACK, "test")
        )
        self.assertEqual(self.stored(), ("v2", RolloutStatus.ROLLED_BACK))

    async def test_a_replaced_or_removed_order_gets_no_status(self):
        # Its status would end the next order of the service.
        changes = {
            "replaced": lambda: self.place_order("v3"),
            "ordered again": lambda: self.place_order("v2"),
            "removed": lambda: self.standin.remove(OPERATOR_TABLE, KEY),
        }
        for name, change in changes.items():
            with self.subTest(name):
                self.order = self.place_order()
                _, rows = self.make_instance()
                await rows.write(self.order, RolloutStatus.RUNNING, "test")
                change()
                for status in (RolloutStatus.DONE, RolloutStatus.ROLLED_BACK):
                    self.assertFalse(await rows.write(self.order, status, "test"))
                self.assertEqual(self.stored(), ("v2", RolloutStatus.RUNNING))

    async def test_a_roll_back_that_the_store_has_lost_is_written_again(self):
        self.standin.era = 1
        rollouts, rows = self.make_instance()
        rows._store._on_era = lambda before, after: rows.handle_era_change()
        await rows.read(self.order)
        order = msgspec.structs.replace(
            self.order, row_version=join_version(1, self.order.row_version)
        )
        rollouts.set_order(order)
        await rows.write(order, RolloutStatus.RUNNING, "test")
        copy = self.standin.take_copy()
        await rows.write(order, RolloutStatus.ROLLED_BACK, "test")
        self.standin.return_to(copy)
        await rows.read(order)
        # Its condition is of the era before until the order has been read again.
        self.assertFalse(await rows.write(order, RolloutStatus.ROLLED_BACK, "test"))
        self.assertEqual(self.stored(), ("v2", RolloutStatus.RUNNING))
        order = msgspec.structs.replace(
            order, row_version=join_version(2, self.order.row_version)
        )
        rollouts.set_order(order)
        self.assertIs(rollouts.phase(order), Phase.TAKEN_BACK)
        self.assertTrue(await rows.write(order, RolloutStatus.ROLLED_BACK, "test"))
        self.assertEqual(self.stored(), ("v2", RolloutStatus.ROLLED_BACK))

    async def test_an_end_whose_answer_is_lost_counts_once_it_is_read(self):
        self.standin.fault = StoreFault.LOST_ANSWER
        self.assertFalse(await self.rows.write(self.order, RolloutStatus.DONE, "test"))
        self.assertIs(self.rollouts.phase(self.order), Phase.HELD)
        self.standin.fault = StoreFault.NONE
        self.assertFalse(
            await self.rows.write(self.order, RolloutStatus.ROLLED_BACK, "test")
        )
        self.assertEqual(self.stored(), ("v2", RolloutStatus.DONE))
        self.assertIs(self.rollouts.phase(self.order), Phase.DONE)


if __name__ == "__main__":
    unittest.main()
