import asyncio
import unittest

from _monsoonpulley.standins.caller import Caller
from _monsoonpulley.standins.faults import Part

from ..support import ALICE, BOB, run_world
from .streaming import (
    PATH,
    PROMPT,
    Stream,
    check_whole,
    is_done,
    last_id,
    offsets,
    resume,
    text,
)

SEEDS = range(1, 6)


async def reclaim(world, entry, notice_ms=3_000):
    """Reclaim an entry instance and let it drain, as its daemon does."""
    world.platform.cloud.reclaim(entry, notice_ms)
    instance = world.entries[entry].instance
    await instance.lifecycle.wait_leaving()
    await world.processes.start(entry, instance.drain())


class Puts:
    """Notes the lengths of streams in the order in which they are stored."""

    def __init__(self):
        self.lengths = []

    async def __call__(self, state):
        self.lengths.append(state.next_offset)
        return True


class SlowCaller:
    """Reads some events of a stream and then nothing, with its line open."""

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
            async def slow_send(message):
                if message.get("body"):
                    if not self._events_left:
                        await asyncio.Event().wait()
                    self._events_left -= 1
                    self.parts.append(message["body"])
                await send(message)

            await app(scope, receive, slow_send)

        return call


class EntryReclaimTest(unittest.TestCase):
    def check_goes_on_elsewhere(self, seed, method, path):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.until(5 * seed)
            await reclaim(world, "entry-1")
            first = await stream.result()
            self.assertTrue(first.complete)
            self.assertFalse(is_done(first.body))
            self.assertTrue(first.body.endswith(b"\n\n"), "no partial event")
            name = path.format(first.headers["x-request-id"])
            rest = await resume(world, "entry-2", last_id(first.body), method, name)
            self.assertEqual(rest.status, 200)
            self.assertEqual(offsets(rest.body)[0], offsets(first.body)[-1] + 1)
            check_whole(self, stream, first.body + rest.body)
            names = list(world.platform.objects.data)
            self.assertEqual(names, [], "a finished stream is not kept")

        run_world(script, seed=seed)

    def test_a_stream_goes_on_at_another_instance_by_post(self):
        for seed in SEEDS:
            self.check_goes_on_elsewhere(seed, "POST", PATH)

    def test_a_stream_goes_on_at_another_instance_by_get(self):
        for seed in SEEDS:
            self.check_goes_on_elsewhere(seed, "GET", "/v1/streams/{}")

    def test_events_that_the_caller_missed_are_sent_again(self):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.until(50)
            await reclaim(world, "entry-1")
            first = await stream.result()
            request_id = first.headers["x-request-id"]
            rest = await resume(world, "entry-2", f"{request_id}:20")
            got = offsets(rest.body)
            self.assertEqual(got, list(range(21, 600)))
            whole = await resume(
                world, "entry-2", None, "GET", f"/v1/streams/{request_id}"
            )
            self.assertEqual(whole.status, 404, "it was finished")

        run_world(script)

    def test_a_stream_survives_two_reclaims_of_its_entry_instances(self):
        async def script(world):
            stream = Stream(world, tokens=1_500)
            await stream.until(20)
            await reclaim(world, "entry-1")
            first = await stream.result()
            again = resume(world, "entry-2", last_id(first.body))
            await world.clock.sleep_ms(500)
            await reclaim(world, "entry-2")
            second = await again
            world.start_entry(world._deployment.entries[0])
            await world.clock.sleep_ms(2_000)
            third = await resume(world, "entry-1", last_id(second.body))
            check_whole(self, stream, first.body + second.body + third.body)

        run_world(script)

    def test_with_the_store_down_the_stream_is_lost_and_the_caller_is_told(self):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.until(50)
            world.platform.faults.outage(True, Part.OBJECTS)
            await reclaim(world, "entry-1")
            first = await stream.result()
            self.assertFalse(is_done(first.body))
            self.assertEqual(world.last("streams_handed_over")["report"]["failed"], 1)
            rest = await resume(world, "entry-2", last_id(first.body))
            self.assertEqual(rest.status, 504)
            self.assertIn("retry-after", rest.headers)
            self.assertEqual(rest.headers["x-outcome"], "unknown")
            world.platform.faults.outage(False)
            rest = await resume(world, "entry-2", last_id(first.body))
            self.assertEqual(rest.status, 404)

        run_world(script)

    def test_a_hanging_store_does_not_keep_the_journal_from_draining(self):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.until(50)
            world.platform.faults.outage(True, Part.OBJECTS, hanging=True)
            await reclaim(world, "entry-1")
            self.assertTrue((await stream.result()).complete)
            drained = world.last("instance_drained")["wall_ms"]
            leaving = world.last("instance_leaving")
            now_ms = world.clock.now_ms() - world.clock.wall_ms()
            self.assertLessEqual(drained + now_ms, leaving["deadline_ms"])

        run_world(script)

    def test_the_longest_streams_are_stored_first(self):
        async def script(world):
            streams = []
            for _ in range(3):
                streams.append(Stream(world, tokens=600))
                await streams[-1].until(20)
            world.entries["entry-1"].instance.streams._store._put = put = Puts()
            await reclaim(world, "entry-1")
            self.assertEqual(put.lengths, sorted(put.lengths, reverse=True))
            self.assertEqual(len(put.lengths), 3)

        run_world(script)

    def test_a_planned_stop_cuts_off_no_stream(self):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.until(5)
            instance = world.entries["entry-1"].instance
            instance.leave("deployment")
            await instance.drain()
            check_whole(self, stream, (await stream.result()).body)

        run_world(script)

    def test_stored_streams_are_collected(self):
        async def script(world):
            stream = Stream(world, tokens=600)
            await stream.until(5)
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
            rest = await resume(world, "entry-2", last_id(first.body))
            self.assertEqual(rest.status, 404)

        run_world(script)


class BrokenConnectionTest(unittest.TestCase):
    def test_a_caller_that_comes_back_gets_the_rest(self):
        async def script(world):
            stream = Stream(world)
            await stream.until(20)
            stream.leave.set()
            first = await stream.result()
            await world.clock.sleep_ms(30_000)
            rest = await resume(world, "entry-1", last_id(first.body))
            check_whole(self, stream, first.body + rest.body)

        for seed in SEEDS:
            run_world(script, seed=seed)

    def test_a_second_connection_takes_over(self):
        async def script(world):
            stream = Stream(world)
            await stream.until(20)
            request_id = world.last("route")["request_id"]
            rest = await resume(world, "entry-1", f"{request_id}:9")
            first = await stream.result()
            self.assertFalse(is_done(first.body))
            self.assertLess(len(offsets(first.body)), 25)
            self.assertEqual(offsets(rest.body), list(range(10, 60)))
            self.assertTrue(is_done(rest.body))

        run_world(script)

    def test_of_many_connections_at_once_one_gets_the_end(self):
        async def script(world):
            stream = Stream(world)
            await stream.until(20)
            request_id = world.last("route")["request_id"]
            tasks = [resume(world, "entry-1", f"{request_id}:9") for _ in range(5)]
            answers = await asyncio.gather(*tasks)
            self.assertEqual(sum(is_done(answer.body) for answer in answers), 1)
            for answer in answers:
                self.assertIn(answer.status, (200, 409))

        run_world(script)

    def test_another_customer_gets_404_and_disturbs_nothing(self):
        async def script(world):
            stream = Stream(world)
            await stream.until(20)
            request_id = world.last("route")["request_id"]
            event_id = f"{request_id}:9"
            refused = await resume(world, "entry-1", event_id, credential=BOB)
            self.assertEqual(refused.status, 404)
            check_whole(self, stream, (await stream.result()).body)

        run_world(script)

    def test_another_customer_never_gets_what_is_kept(self):
        async def script(world):
            stream = Stream(world)
            await stream.until(20)
            stream.leave.set()
            first = await stream.result()
            event_id = last_id(first.body)
            refused = await resume(world, "entry-1", event_id, credential=BOB)
            self.assertEqual(refused.status, 404)
            instance = world.entries["entry-1"].instance
            instance.leave("deployment")
            await instance.drain()
            refused = await resume(world, "entry-2", event_id, credential=BOB)
            self.assertEqual(refused.status, 404)
            rest = await resume(world, "entry-2", event_id)
            check_whole(self, stream, first.body + rest.body)

        run_world(script)

    def test_wrong_places_are_400_and_lose_nothing(self):
        async def script(world):
            stream = Stream(world)
            await stream.until(20)
            stream.leave.set()
            first = await stream.result()
            request_id = first.headers["x-request-id"]
            count = len(offsets(first.body))
            for wrong in (f"{request_id}:{count + 5}", f"{request_id}:x", "nothing"):
                refused = await resume(world, "entry-1", wrong)
                self.assertEqual(refused.status, 400, wrong)
            chat = "/v1/chat/completions"
            event_id = last_id(first.body)
            refused = await resume(world, "entry-1", event_id, path=chat)
            self.assertEqual(refused.status, 400)
            rest = await resume(world, "entry-1", event_id)
            check_whole(self, stream, first.body + rest.body)

        run_world(script)

    def test_a_stream_that_failed_can_be_continued(self):
        async def script(world):
            stream = Stream(world)
            await stream.until(20)
            for engine in world.engines.values():
                engine.crash()
            first = await stream.result()
            self.assertFalse(is_done(first.body))
            for engine in world.engines.values():
                engine.restart()
            await world.clock.sleep_ms(30_000)
            rest = await resume(world, "entry-1", last_id(first.body))
            got = offsets(first.body) + offsets(rest.body)
            self.assertEqual(got, list(range(60)))

        run_world(script)

    def test_a_caller_that_reads_nothing_is_left_and_can_come_back(self):
        async def script(world):
            caller = SlowCaller(world, after_events=10)
            await caller.task
            entry = world.entries["entry-1"].instance
            self.assertEqual(entry.lifecycle.in_progress_count, 0)
            self.assertLessEqual(world.clock.now_ms(), 70_000)
            got = offsets(b"".join(caller.parts))
            request_id = world.last("route")["request_id"]
            rest = await resume(world, "entry-1", f"{request_id}:{got[-1]}")
            self.assertEqual(got + offsets(rest.body), list(range(60)))

        run_world(script)

    def test_state_is_kept_for_a_bounded_time(self):
        async def script(world):
            stream = Stream(world)
            await stream.until(20)
            stream.leave.set()
            first = await stream.result()
            await world.clock.sleep_ms(121_000)
            refused = await resume(world, "entry-1", last_id(first.body))
            self.assertEqual(refused.status, 404)
            self.assertEqual(text(refused.body) if is_done(refused.body) else "", "")

        run_world(script)
