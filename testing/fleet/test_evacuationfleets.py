"""Fleets of instances learn of an evacuation in time, without any digests."""

from __future__ import annotations

import asyncio
import random
import unittest

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.fleet.evacuations import Evacuations
from _monsoonpulley.fleet.tablefollower import TableFollower
from _monsoonpulley.ids import ZoneId
from _monsoonpulley.ingress.service import (
    CONFIGURATION_LONG_POLL_MS,
    CONFIGURATION_MAX_SILENCE_MS,
)
from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.manualloop import run_manual, running_clock

from .test_tablefollower import FakeStore

EVACUATION_MS = 5_000
"""The operators' bound from the acknowledgement on."""

STABLE_WINDOW_MS = 4_000
"""Time for which an instance must have been undisturbed to be held to it."""

ZONE = ZoneId("zone-a")


class Link:
    """An instance's client of the store, which holds calls until there is a change."""

    def __init__(self, store: FakeStore, clock):
        self._store = store
        self._clock = clock
        self.is_cut = False

    async def read_table(self, table, timeout_ms):
        if self.is_cut:
            await self._clock.sleep_ms(timeout_ms)
            return Failure(Reason.TIMEOUT, "store.get")
        return await self._store.read_table(table)

    async def read_changes(self, table, after, wait_ms, timeout_ms):
        until_ms = self._clock.now_ms() + wait_ms
        while not self.is_cut and self._store.version <= after:
            await self._clock.sleep_ms(4)
            if self._clock.now_ms() >= until_ms:
                break
        if self.is_cut:
            await self._clock.sleep_ms(timeout_ms)
            return Failure(Reason.TIMEOUT, "store.feed")
        return await self._store.read_changes(table, after, wait_ms)


class Fleet:
    """Followers of the operators' table, the first two of which read for the others."""

    def __init__(self, count: int, loss_ratio: float):
        self.clock = running_clock()
        self.store = FakeStore()
        self.store.put("config", b"{}")
        self._rng = random.Random(count)
        self._loss_ratio = loss_ratio
        self.links = [Link(self.store, self.clock) for _ in range(count)]
        log = Log(self.clock, lambda line: None)
        self.evacuations = [
            Evacuations(self.clock, log, EVACUATION_MS) for _ in range(count)
        ]
        self.has_read = [False] * count
        self.followers = [self._make(n, log) for n in range(count)]
        self.tasks = [asyncio.create_task(f.run()) for f in self.followers]

    def _make(self, number: int, log: Log) -> TableFollower:
        def apply(rows, is_snapshot):
            self.evacuations[number].apply(rows, is_snapshot)
            self.has_read[number] = True

        return TableFollower(
            self.links[number],
            "op",
            apply,
            self.clock,
            log,
            wait_ms=CONFIGURATION_LONG_POLL_MS,
            pause_ms=0,
            max_silence_ms=CONFIGURATION_MAX_SILENCE_MS,
            max_timeout_ms=CONFIGURATION_LONG_POLL_MS,
            carries_rows=False,
            is_reader=lambda: number < 2,
            send=lambda relays: self._send(number, relays),
        )

    def _send(self, sender: int, relays) -> None:
        for number, follower in enumerate(self.followers):
            is_cut = self.links[sender].is_cut or self.links[number].is_cut
            if number != sender and not is_cut:
                for relay in relays:
                    if self._rng.random() >= self._loss_ratio:
                        follower.handle_relay(relay)

    def start_again(self, number: int) -> None:
        """Replace an instance by one that has read nothing yet."""
        self.tasks[number].cancel()
        log = Log(self.clock, lambda line: None)
        self.evacuations[number] = Evacuations(self.clock, log, EVACUATION_MS)
        self.has_read[number] = False
        self.followers[number] = self._make(number, log)
        self.tasks[number] = asyncio.create_task(self.followers[number].run())

    def unaware(self) -> list[int]:
        """Return the instances that might send, and don't know of the evacuation."""
        return [
            number
            for number, each in enumerate(self.evacuations)
            if self.has_read[number] and not each.is_evacuated(ZONE)
        ]


class TestFleets(unittest.TestCase):
    def test_all_instances_in_touch_know_of_it_in_time(self):
        for count in (9, 65, 300):
            for loss_ratio in (0.5, 1.0):
                with self.subTest(count=count, loss_ratio=loss_ratio):
                    run_manual(self.play(count, loss_ratio))

    async def play(self, count: int, loss_ratio: float) -> None:
        fleet = Fleet(count, loss_ratio)
        await fleet.clock.sleep_ms(3_000)
        for link in fleet.links[2::3]:
            link.is_cut = True
        # Soon after those have read that hear no relays, which is worst for them.
        await fleet.clock.sleep_ms(3_100)
        fleet.tasks[0].cancel()  # A reader is killed, and the row written.
        fleet.has_read[0] = False
        fleet.store.put(f"evacuate/{ZONE}", b"{}")
        await fleet.clock.sleep_ms(EVACUATION_MS - STABLE_WINDOW_MS)
        for link in fleet.links:
            link.is_cut = False
        fleet.start_again(count - 1)
        await fleet.clock.sleep_ms(STABLE_WINDOW_MS)
        self.assertEqual(fleet.unaware(), [])
        self.assertTrue(fleet.has_read[count - 1])
        # The history is dropped, so that the removal shows in a snapshot only.
        fleet.store.put(f"evacuate/{ZONE}", None)
        fleet.store.oldest_version = fleet.store.version
        await fleet.clock.sleep_ms(EVACUATION_MS)
        ended = [each for each in fleet.evacuations[1:] if not each.zones]
        self.assertEqual(len(ended), count - 1)
        for task in fleet.tasks:
            task.cancel()


if __name__ == "__main__":
    unittest.main()
