"""Followers of a store that leaves calls unanswered for a while."""

from __future__ import annotations

import asyncio
import itertools
import json
import unittest

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.fleet.tablefollower import TableFollower
from _monsoonpulley.ingress.service import (
    CONFIGURATION_LONG_POLL_MS,
    CONFIGURATION_MAX_SILENCE_MS,
)
from _monsoonpulley.observability.log import Log
from _monsoonpulley.platform.store import Row, Rows
from _monsoonpulley.standins.manualloop import run_manual, running_clock

CONFIGURATION_BOUND_MS = 3_000
"""Time after the store's return in which a configuration must be in force."""

ANSWER_MS = 4


class SilentStore:
    """One table; calls that meet a silence get no answer, also after its end."""

    def __init__(self):
        self.clock = running_clock()
        self.version = 1
        self.is_silent = False
        self.refuses = False
        self.answer_ms = ANSWER_MS
        self.silence_count = 0
        self._changed = asyncio.Event()

    def set_silent(self, is_silent: bool) -> None:
        self.is_silent = is_silent
        self.silence_count += is_silent

    def put(self) -> None:
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def read_table(self, table, timeout_ms):
        return await self._call(timeout_ms, 0, 0)

    async def read_changes(self, table, after, wait_ms, timeout_ms):
        return await self._call(wait_ms + timeout_ms, wait_ms, after)

    async def _call(self, limit_ms, wait_ms, after):
        if self.refuses:
            return Failure(Reason.UNAVAILABLE, "store.call")
        try:
            async with asyncio.timeout(limit_ms / 1000):
                return await self._answer(wait_ms, after)
        except TimeoutError:
            return Failure(Reason.TIMEOUT, "store.call")

    async def _answer(self, wait_ms, after):
        met_silences = self.silence_count
        was_silent = self.is_silent
        if self.version <= after and wait_ms and not was_silent:
            changed = self._changed
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                pass  # No change: the answer has no rows.
        await self.clock.sleep_ms(self.answer_ms)
        if was_silent or self.silence_count != met_silences:
            await asyncio.Event().wait()
        rows = (Row("config", b"", self.version),) if self.version > after else ()
        return Rows(rows, self.version)


class Reader:
    """A follower of configurations that reads them for others too."""

    def __init__(
        self, store: SilentStore, *, is_reader: bool = True, next_recovery=asyncio.Event
    ):
        self.store = store
        self.clock = store.clock
        self.version = 0
        self.lines: list[str] = []
        self.follower = TableFollower(
            store,
            "op",
            self._apply,
            self.clock,
            Log(self.clock, self.lines.append),
            wait_ms=CONFIGURATION_LONG_POLL_MS,
            pause_ms=0,
            max_silence_ms=CONFIGURATION_MAX_SILENCE_MS,
            max_timeout_ms=CONFIGURATION_LONG_POLL_MS,
            carries_rows=False,
            is_reader=lambda: is_reader,
            next_recovery=next_recovery,
        )

    def _apply(self, rows, is_snapshot):
        self.version = max([self.version, *(row.row_version for row in rows.rows)])


def run_outage(before_ms: int, silence_ms: int, *, is_reader: bool = True) -> Reader:
    """Return a reader at the bound after a silence that began at ``before_ms``."""

    async def main():
        store = SilentStore()
        reader = Reader(store, is_reader=is_reader)
        task = asyncio.create_task(reader.follower.run())
        await store.clock.sleep_ms(before_ms)
        store.set_silent(True)
        await store.clock.sleep_ms(silence_ms)
        store.set_silent(False)
        store.put()
        await store.clock.sleep_ms(CONFIGURATION_BOUND_MS)
        task.cancel()
        return reader

    return run_manual(main())


class TestOutage(unittest.TestCase):
    def check_outages(self, **kwargs):
        for before_ms in range(3_000, 5_000, 250):
            for silence_ms in range(400, 12_000, 230):
                reader = run_outage(before_ms, silence_ms, **kwargs)
                self.assertEqual(reader.version, 2, (before_ms, silence_ms))

    def test_a_call_lost_in_an_outage_does_not_delay_a_reader_s_configuration(self):
        self.check_outages(is_reader=True)

    def test_a_call_lost_in_an_outage_does_not_delay_a_configuration(self):
        self.check_outages(is_reader=False)

    def test_each_failed_read_is_logged_with_its_times(self):
        reader = run_outage(3_000, 6_000)
        lines = [json.loads(line) for line in reader.lines]
        failed = [line for line in lines if line["event"] == "table_read_failed"]
        self.assertGreaterEqual(len(failed), 2)
        for line in failed:
            limit_ms = line["wait_ms"] + line["timeout_ms"]
            self.assertAlmostEqual(line["took_ms"], limit_ms, delta=1)
        for before, after in itertools.pairwise(failed):
            elapsed_ms = after["wall_ms"] - before["wall_ms"]
            planned_ms = before["retry_ms"] + after["took_ms"]
            self.assertAlmostEqual(elapsed_ms, planned_ms, delta=2)


class TestRecovery(unittest.TestCase):
    """Other calls of the instance show that the store answers again."""

    def run_recovery(self, script) -> int:
        """Return the time from the recovery to the configuration in force."""

        async def main():
            store = SilentStore()
            recovery = asyncio.Event()
            reader = Reader(store, next_recovery=lambda: recovery)
            task = asyncio.create_task(reader.follower.run())
            await store.clock.sleep_ms(3_100)
            await script(store)
            recovery.set()
            recovery = asyncio.Event()
            recovered_ms = store.clock.now_ms()
            while reader.version < 2:
                await store.clock.sleep_ms(1)
            task.cancel()
            return store.clock.now_ms() - recovered_ms

        return run_manual(main())

    def test_a_call_lost_on_a_silent_connection_is_repeated_after_a_recovery(self):
        async def script(store):
            # The call in progress is lost; new connections work.
            store.set_silent(True)
            store.set_silent(False)
            store.put()
            await store.clock.sleep_ms(700)

        self.assertLess(self.run_recovery(script), 10 * ANSWER_MS)

    def test_a_recovery_ends_the_pause_after_a_failed_call(self):
        async def script(store):
            store.refuses = True
            await store.clock.sleep_ms(9_000)
            store.refuses = False
            store.put()

        self.assertLess(self.run_recovery(script), 10 * ANSWER_MS)

    def test_frequent_recoveries_of_a_slow_store_do_not_starve_a_call(self):
        async def main():
            store = SilentStore()
            store.answer_ms = 1_500
            recovery = asyncio.Event()
            reader = Reader(store, next_recovery=lambda: recovery, is_reader=False)
            task = asyncio.create_task(reader.follower.run())
            for _ in range(20):
                await store.clock.sleep_ms(500)
                recovery.set()
                recovery = asyncio.Event()
            task.cancel()
            return reader.version

        self.assertEqual(run_manual(main()), 1)
