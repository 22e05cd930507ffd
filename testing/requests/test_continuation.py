import asyncio
import unittest

from _monsoonpulley.standins.caller import Caller
from _monsoonpulley.standins.faults import PlatformService

from ..support import ALICE, BOB, run_world
from .streaming import (
    PATH,
    PROMPT,
    Stream,
    check_whole_answer,
    event_offsets,
    is_done,
    last_event_id,
    resume,
    text,
)

SEEDS = range(1, 6)


async def reclaim(world, entry, notice_ms=3_000):
    """Reclaim an entry instance and drain it, as its process would."""
    world.platform.cloud.reclaim(entry, notice_ms)
    instance = world.entries[entry].instance
    await instance.lifecycle.wait_leaving()
    await world.processes.start(entry, instance.drain())


class RecordingPut:
    """Replaces the store's write and records the lengths of streams in order."""

    def __init__(self):
        self.lengths = []

    async def __call__(self, state):
        self.lengths.append(state.next_offset)
        return True


class StalledCaller:
    """Reads some events of a stream, then stops but keeps its connection open."""

    def __init__(self, world, after_events):
        self.parts = []
        self._events_left = after_events
        app = world.entries["entry-1"].instance.app
        caller = Caller(app, ALICE)
        body = {"model": "report", "prompt": PROMPT, "max_tokens": 60}
        body["stream"] = True
        caller._app = self._stalling(app)
        self.task = asyncio.create_task(caller.post_json(PATH, body))

    def _stalling(self, app):
        async def call(scope, receive, send):
            async def stalling_send(message):
                if message.get("body"):
                    if not self._events_left:
                        await asyncio.Event().wait()
                    self._events_left -= 1
                    self.parts.append(message["body"])
                await send(message)

            await app(scope, receive, stalling_send)

        return call


class EntryReclaimTest(unittest.TestCase):
    def check_continues_at_another_instance(self, seed, method, path):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.wait_for_events(5 * seed)
            await reclaim(world, "entry-1")
            first = await stream.result()
            self.assertTrue(first.is_complete)
            self.assertFalse(is_done(first.body))
            self.assertTrue(first.body.endswith(b"\n\n"), "no partial event")
            name = path.format(first.headers["x-request-id"])
            rest = await resume(
                world, "entry-2", last_event_id(first.body), method, name
            )
            self.assertEqual(rest.status, 200)
            self.assertEqual(
                event_offsets(rest.body)[0], event_offsets(first.body)[-1] + 1
            )
            check_whole_answer(self, stream, first.body + rest.body)
            names = list(world.platform.objects.data)
            self.assertEqual(names, [], "a finished stream is not kept")

        run_world(script, seed=seed)

    def test_a_post_continues_a_stream_at_another_instance(self):
        for seed in SEEDS:
            self.check_continues_at_another_instance(seed, "POST", PATH)

    def test_a_get_continues_a_stream_at_another_instance(self):
        for seed in SEEDS:
            self.check_continues_at_another_instance(seed, "GET", "/v1/streams/{}")

    def test_events_that_the_caller_missed_are_sent_again(self):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.wait_for_events(50)
            await reclaim(world, "entry-1")
            first = await stream.result()
            request_id = first.headers["x-request-id"]
            rest = await resume(world, "entry-2", f"{request_id}:20")
            received = event_offsets(rest.body)
            self.assertEqual(received, list(range(21, 600)))
            whole = await resume(
                world, "entry-2", None, "GET", f"/v1/streams/{request_id}"
            )
            self.assertEqual(whole.status, 404, "a finished stream is not kept")

        run_world(script)

    def test_a_stream_survives_two_reclaims_of_its_entry_instances(self):
        async def script(world):
            stream = Stream(world, tokens=1_500)
            await stream.wait_for_events(20)
            await reclaim(world, "entry-1")
            first = await stream.result()
            again = resume(world, "entry-2", last_event_id(first.body))
            await world.clock.sleep_ms(500)
            await reclaim(world, "entry-2")
            second = await again
            world.start_entry(world._deployment.entries[0])
            await world.clock.sleep_ms(2_000)
            third = await resume(world, "entry-1", last_event_id(second.body))
            check_whole_answer(self, stream, first.body + second.body + third.body)

        run_world(script)

    def test_without_the_store_a_stream_is_lost_and_its_caller_gets_an_error(self):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.wait_for_events(50)
            world.platform.faults.set_outage(True, PlatformService.OBJECTS)
            await reclaim(world, "entry-1")
            first = await stream.result()
            self.assertFalse(is_done(first.body))
            self.assertEqual(
                world.last_event("streams_handed_over")["report"]["failed"], 1
            )
            rest = await resume(world, "entry-2", last_event_id(first.body))
            self.assertEqual(rest.status, 504)
            self.assertIn("retry-after", rest.headers)
            self.assertEqual(rest.headers["x-outcome"], "unknown")
            world.platform.faults.set_outage(False)
            rest = await resume(world, "entry-2", last_event_id(first.body))
            self.assertEqual(rest.status, 404)

        run_world(script)

    def test_a_hanging_store_does_not_delay_the_drain_beyond_the_deadline(self):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.wait_for_events(50)
            world.platform.faults.set_outage(
                True, PlatformService.OBJECTS, hanging=True
            )
            await reclaim(world, "entry-1")
            self.assertTrue((await stream.result()).is_complete)
            drained_wall_ms = world.last_event("instance_drained")["wall_ms"]
            leaving = world.last_event("instance_leaving")
            offset_ms = world.clock.now_ms() - world.clock.wall_ms()
            self.assertLessEqual(drained_wall_ms + offset_ms, leaving["deadline_ms"])

        run_world(script)

    def test_the_longest_streams_are_stored_first(self):
        async def script(world):
            streams = []
            for _ in range(3):
                streams.append(Stream(world, tokens=600))
                await streams[-1].wait_for_events(20)
            world.entries["entry-1"].instance.streams._store._put = put = RecordingPut()
            await reclaim(world, "entry-1")
            self.assertEqual(put.lengths, sorted(put.lengths, reverse=True))
            self.assertEqual(len(put.lengths), 3)

        run_world(script)

    def test_a_planned_stop_waits_for_running_streams(self):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.wait_for_events(5)
            instance = world.entries["entry-1"].instance
            instance.leave("deployment")
            await instance.drain()
            check_whole_answer(self, stream, (await stream.result()).body)

        run_world(script)

    def test_expired_streams_are_deleted_from_the_store(self):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.wait_for_events(5)
            await reclaim(world, "entry-1")
            first = await stream.result()
            self.assertEqual(len(world.platform.objects.data), 1)
            await world.clock.sleep_ms(590_000)
            self.assertEqual(len(world.platform.objects.data), 1)
            await world.clock.sleep_ms(600_000)
            self.assertEqual(len(world.platform.objects.data), 0)
            self.assertEqual(
                [key for key in world.platform.table.rows if "stream" in key], []
            )
            rest = await resume(world, "entry-2", last_event_id(first.body))
            self.assertEqual(rest.status, 404)

        run_world(script)


class BrokenConnectionTest(unittest.TestCase):
    def test_a_caller_that_reconnects_gets_the_rest(self):
        async def script(world):
            stream = Stream(world)
            await stream.wait_for_events(20)
            stream.disconnected.set()
            first = await stream.result()
            await world.clock.sleep_ms(30_000)
            rest = await resume(world, "entry-1", last_event_id(first.body))
            check_whole_answer(self, stream, first.body + rest.body)

        for seed in SEEDS:
            run_world(script, seed=seed)

    def test_a_second_connection_takes_the_stream_over(self):
        async def script(world):
            stream = Stream(world)
            await stream.wait_for_events(20)
            request_id = world.last_event("route")["request_id"]
            rest = await resume(world, "entry-1", f"{request_id}:9")
            first = await stream.result()
            self.assertFalse(is_done(first.body))
            self.assertLess(len(event_offsets(first.body)), 25)
            self.assertEqual(event_offsets(rest.body), list(range(10, 60)))
            self.assertTrue(is_done(rest.body))

        run_world(script)

    def test_only_one_of_many_concurrent_connections_gets_the_end(self):
        async def script(world):
            stream = Stream(world)
            await stream.wait_for_events(20)
            request_id = world.last_event("route")["request_id"]
            tasks = [resume(world, "entry-1", f"{request_id}:9") for _ in range(5)]
            answers = await asyncio.gather(*tasks)
            self.assertEqual(sum(is_done(answer.body) for answer in answers), 1)
            for answer in answers:
                self.assertIn(answer.status, (200, 409))

        run_world(script)

    def test_another_customer_gets_404_and_the_stream_continues(self):
        async def script(world):
            stream = Stream(world)
            await stream.wait_for_events(20)
            request_id = world.last_event("route")["request_id"]
            event_id = f"{request_id}:9"
            refused = await resume(world, "entry-1", event_id, credential=BOB)
            self.assertEqual(refused.status, 404)
            check_whole_answer(self, stream, (await stream.result()).body)

        run_world(script)

    def test_another_customer_gets_404_for_a_kept_stream(self):
        async def script(world):
            stream = Stream(world)
            await stream.wait_for_events(20)
            stream.disconnected.set()
            first = await stream.result()
            event_id = last_event_id(first.body)
            refused = await resume(world, "entry-1", event_id, credential=BOB)
            self.assertEqual(refused.status, 404)
            instance = world.entries["entry-1"].instance
            instance.leave("deployment")
            await instance.drain()
            refused = await resume(world, "entry-2", event_id, credential=BOB)
            self.assertEqual(refused.status, 404)
            rest = await resume(world, "entry-2", event_id)
            check_whole_answer(self, stream, first.body + rest.body)

        run_world(script)

    def test_invalid_positions_get_400_and_the_stream_is_kept(self):
        async def script(world):
            stream = Stream(world)
            await stream.wait_for_events(20)
            stream.disconnected.set()
            first = await stream.result()
            request_id = first.headers["x-request-id"]
            count = len(event_offsets(first.body))
            for position in (f"{request_id}:{count + 5}", f"{request_id}:x", "nothing"):
                refused = await resume(world, "entry-1", position)
                self.assertEqual(refused.status, 400, position)
            chat = "/v1/chat/completions"
            event_id = last_event_id(first.body)
            refused = await resume(world, "entry-1", event_id, path=chat)
            self.assertEqual(refused.status, 400)
            rest = await resume(world, "entry-1", event_id)
            check_whole_answer(self, stream, first.body + rest.body)

        run_world(script)

    def test_a_stream_that_failed_can_be_continued(self):
        async def script(world):
            stream = Stream(world)
            await stream.wait_for_events(20)
            for engine in world.engines.values():
                engine.crash()
            first = await stream.result()
            self.assertFalse(is_done(first.body))
            for engine in world.engines.values():
                engine.restart()
            await world.clock.sleep_ms(30_000)
            rest = await resume(world, "entry-1", last_event_id(first.body))
            received = event_offsets(first.body) + event_offsets(rest.body)
            self.assertEqual(received, list(range(60)))

        run_world(script)

    def test_a_stalled_caller_is_disconnected_and_can_continue(self):
        async def script(world):
            caller = StalledCaller(world, after_events=10)
            await caller.task
            entry = world.entries["entry-1"].instance
            self.assertEqual(entry.lifecycle.in_progress_count, 0)
            self.assertLessEqual(world.clock.now_ms(), 70_000)
            received = event_offsets(b"".join(caller.parts))
            request_id = world.last_event("route")["request_id"]
            rest = await resume(world, "entry-1", f"{request_id}:{received[-1]}")
            self.assertEqual(received + event_offsets(rest.body), list(range(60)))

        run_world(script)

    def test_a_detached_stream_expires_after_two_minutes(self):
        async def script(world):
            stream = Stream(world)
            await stream.wait_for_events(20)
            stream.disconnected.set()
            first = await stream.result()
            await world.clock.sleep_ms(121_000)
            refused = await resume(world, "entry-1", last_event_id(first.body))
            self.assertEqual(refused.status, 404)
            self.assertEqual(text(refused.body) if is_done(refused.body) else "", "")

        run_world(script)
