"""Endpoints that are silent, or late to report, while work runs at them."""

import asyncio
import unittest

import msgspec

from _monsoonpulley.standins.plainservice_profile import PlainFault

from ..requests.streaming import Stream, check_whole_answer
from ..requests.test_lost_engines import engine_of_newest_attempt, many_engines
from ..support import ALICE, run_world

SILENCE_MS = 4_000


def drop_from_list(world, endpoints):
    """Remove endpoints from the platform's list, and let all instances see it."""
    for name in endpoints:
        world.platform.livelist.remove(name)
    for entry in world.entries.values():
        instance = entry.instance
        instance._apply_members(
            tuple(m for m in instance.roster.members if m.instance not in endpoints)
        )
        assert all(instance.pool.client(name) is None for name in endpoints)


class SilentEndpointTest(unittest.TestCase):
    """Guards against running work that is begun again elsewhere, or given up."""

    def check_stream(self, silence):
        async def script(world):
            stream = Stream(world, tokens=2_000)
            await stream.wait_for_events(20)
            silence(world, engine_of_newest_attempt(world).endpoint_id)
            await world.clock.sleep_ms(SILENCE_MS)
            self.assertFalse(stream.task.done())
            check_whole_answer(self, stream, (await stream.result()).body)
            self.assertEqual(world.last_event("request_ended")["attempts"], 1)

        run_world(script, many_engines(3))

    def test_a_stream_outlasts_the_entry_of_its_engine_in_the_list(self):
        """`requests.generation.Generation.run` keeps the client that it has."""
        self.check_stream(lambda world, engine: drop_from_list(world, [engine]))

    def test_a_stream_outlasts_the_load_reports_of_its_engine(self):
        """`endpoints.feed.EngineFeed` counts a missing report and does no more."""

        def silence(world, engine):
            for entry in world.entries.values():
                entry.instance.engine_feed._engines = dict

        self.check_stream(silence)

    def test_once_only_work_outlasts_the_entry_of_its_endpoint_in_the_list(self):
        """`journal.recovery.Recovery` adopts the work of lost instances only."""

        async def script(world):
            for service in world.services.values():
                service.inject(PlainFault.SLOW)
            caller = world.caller("entry-1", ALICE)
            sending = asyncio.create_task(
                caller.post_json(
                    "/services/booking/orders", {}, {"idempotency-key": "order-1"}
                )
            )
            await world.clock.sleep_ms(100)
            drop_from_list(world, ["intake-1", "intake-2"])
            self.assertFalse(sending.done())
            response = await sending
            self.assertEqual(response.headers["x-outcome"], "done")
            await world.clock.sleep_ms(60_000)
            self.assertEqual(world.ledger.max_count(), 1)

        run_world(script)


class SilentInstanceTest(unittest.TestCase):
    def test_work_of_an_instance_that_is_cut_off_is_not_begun_again(self):
        """Guards against adoption of once-only work that a silent instance runs.

        `peers.membership.Membership.is_gone` waits until it is missing from the list
        as well, and an adopted call is looked up, never simply sent again.
        """

        async def script(world):
            for service in world.services.values():
                service.profile = msgspec.structs.replace(
                    service.profile, slow_factor=500.0
                )
                service.inject(PlainFault.SLOW)
            caller = world.caller("entry-1", ALICE)
            sending = asyncio.create_task(
                caller.post_json(
                    "/services/booking/orders", {}, {"idempotency-key": "order-1"}
                )
            )
            await world.clock.sleep_ms(100)
            world.platform.network.disconnect("zone-a", "zone-b")
            await world.clock.sleep_ms(60_000)
            await sending
            self.assertLessEqual(world.ledger.max_count(), 1)
            self.assertEqual(world.events("journal_adoption"), [])

        run_world(script)


if __name__ == "__main__":
    unittest.main()
