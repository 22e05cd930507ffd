"""Requests that are in progress when a gateway's stop ends."""

import asyncio
import unittest

from _monsoonpulley.standins.caller import Caller
from _monsoonpulley.standins.plainservice import PlainServiceProfile
from _monsoonpulley.standins.world import EndpointPlan

from ..support import ALICE, run_world, small_deployment

PATH = "/services/lookup/frames/3"
"""Of a class whose requests are given up after 3 s."""

LEFT_MS = 2_500


class StopTest(unittest.TestCase):
    """Guards against calls that have no answer when their gateway may be killed."""

    def check_answer(self, expected, admit=None):
        async def script(world):
            instance = world.entries["entry-1"].instance
            if admit is not None:
                instance.gate.admit = admit
            caller = Caller(instance.app, ALICE)
            call = asyncio.create_task(caller.post_json(PATH, {}))
            await world.clock.sleep_ms(100)
            instance.leave("test", world.clock.now_ms() + LEFT_MS)
            draining = asyncio.create_task(instance.drain())
            await world.clock.sleep_ms(LEFT_MS)
            self.assertTrue(draining.done())
            self.assertTrue(call.done(), "no answer")
            got = call.result()
            self.assertEqual((got.status, got.headers["x-outcome"]), expected)
            self.assertEqual(got.headers["connection"], "close")

        slow = PlainServiceProfile(service_ms=2_900)
        plans = (EndpointPlan("catalogue-1", "catalogue", "v1", "zone-a", slow),)
        run_world(script, small_deployment(endpoints=plans))

    def test_a_call_in_progress_is_answered_before_the_deadline(self):
        self.check_answer((504, "unknown"))

    def test_a_call_that_waits_for_admission_is_refused_before_the_deadline(self):
        async def wait(context):
            await asyncio.sleep(60)

        self.check_answer((503, "not_run"), wait)


if __name__ == "__main__":
    unittest.main()
