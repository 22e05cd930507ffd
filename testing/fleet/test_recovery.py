"""Endpoints of an instance that was cut off from the store, while rows expired."""

from __future__ import annotations

import asyncio
import unittest

from _monsoonpulley.fleet.directory import EndpointDirectory
from _monsoonpulley.fleet.relay import Relay
from _monsoonpulley.fleet.tablefollower import TableFollower
from _monsoonpulley.ids import ServiceId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.manualloop import run_manual, running_clock

from .test_directory import row_value
from .test_tablefollower import DRAIN_BOUND_MS, FakeStore, FakeStoreClient

CUT_MS = 5_500
STABLE_MS = 3_000
"""Time after a disruption's end from which users hold an instance to its bounds."""

RETURN_MS = 1_900
"""Rows of endpoints that run are back about 2 s after the store's return."""


class CutInstance:
    """A follower and a directory behind a link that can be cut."""

    def __init__(self, *, is_reader: bool = True):
        self.clock = running_clock()
        self.store = FakeStore()
        self.client = FakeStoreClient(self.store, answer_ms=0)
        log = Log(self.clock, lambda line: None)
        self.directory = EndpointDirectory(self.clock, log, lambda endpoint: None)
        self.follower = TableFollower(
            self.client,
            "t",
            self.directory.apply,
            self.clock,
            log,
            wait_ms=0,
            pause_ms=500,
            max_silence_ms=1_000,
            carries_rows=True,
            is_reader=lambda: is_reader,
            on_recovered=self.directory.on_store_recovered,
        )

    async def run_through_cut(self) -> None:
        """Run to the end of a cut in which the row of an endpoint expired."""
        self.task = asyncio.create_task(self.follower.run())
        for key in ("a", "b"):
            self.store.put(key, row_value())
        await self.clock.sleep_ms(1_000)
        self.client.is_partitioned = True
        await self.clock.sleep_ms(CUT_MS / 2)
        self.store.put("a", None)
        await self.clock.sleep_ms(CUT_MS / 2)
        self.client.is_partitioned = False

    def is_ready(self, key: str) -> bool:
        self.directory.expire()
        ready = self.directory.ready_endpoints(ServiceId("svc"))
        return key in {endpoint.id for endpoint in ready}


class TestCut(unittest.TestCase):
    def run_cut(self, script, **kwargs):
        async def main():
            instance = CutInstance(**kwargs)
            await instance.run_through_cut()
            await script(instance)
            instance.task.cancel()

        run_manual(main())

    def test_an_endpoint_that_left_without_a_row_gets_nothing_after_the_bound(self):
        async def script(instance):
            await instance.clock.sleep_ms(DRAIN_BOUND_MS)
            self.assertFalse(instance.is_ready("a"))
            self.assertTrue(instance.is_ready("b"))

        self.run_cut(script)

    def test_an_endpoint_whose_row_returns_is_used_throughout(self):
        async def script(instance):
            for _ in range(RETURN_MS // 100):
                await instance.clock.sleep_ms(100)
                self.assertTrue(instance.is_ready("a"))
            instance.store.put("a", row_value(sequence=2))
            for _ in range(40):
                await instance.clock.sleep_ms(100)
                self.assertTrue(instance.is_ready("a"))

        self.run_cut(script)

    def test_an_endpoint_that_left_in_a_cut_gets_nothing_once_relays_return(self):
        # Rules that bind within a time do so from 3 s after the cut's end on.
        async def script(instance):
            version = instance.store.version
            await instance.clock.sleep_ms(20)
            instance.follower.handle_relay(Relay("t", version, version))
            await instance.clock.sleep_ms(STABLE_MS - 20)
            self.assertFalse(instance.is_ready("a"))
            self.assertTrue(instance.is_ready("b"))

        self.run_cut(script, is_reader=False)
