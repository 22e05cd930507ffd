"""Generations and calls that crash the endpoints they are sent to."""

from __future__ import annotations

import asyncio
import json
import unittest

from _monsoonpulley.errors import Delivery, Failure, Reason

from ..support import ALICE, run_world, small_deployment
from .test_lost_engines import many_engines

STABLE_WINDOW_MS = 3_000
MAX_BEYOND = 3
DOWN_MS = 1_000
FAULTY = "crash"


class CrashPlay:
    """Faulty and sound generations at the entry instances of a world."""

    def __init__(self, world):
        self.world = world
        self.crash_times_ms: list[int] = []
        self.faulty_times_ms: list[int] = []
        self.sound_statuses: list[tuple[int, int]] = []
        self.faulty_answers: list = []
        for engine in world.engines.values():
            self._break(engine)

    def _break(self, engine) -> None:
        generate = engine.generate

        async def crash_or_generate(call):
            if engine.is_crashed or FAULTY not in json.dumps(call.body):
                async for item in generate(call):
                    yield item
                return
            self.faulty_times_ms.append(self.world.clock.now_ms())
            await self.world.clock.sleep_ms(20)
            if not engine.is_crashed:
                self.crash_times_ms.append(self.world.clock.now_ms())
                engine.crash()
                asyncio.get_running_loop().call_later(DOWN_MS / 1000, engine.restart)
            yield Failure(
                Reason.PEER_ERROR,
                "engine.generate",
                engine.endpoint_id,
                "the connection ended",
                Delivery.MAYBE,
            )

        engine.generate = crash_or_generate

    async def run(self, duration_ms: int, make_faulty, *, per_s: int = 2) -> None:
        tasks = []
        start_ms = self.world.clock.now_ms()
        for number in range(duration_ms // 100):
            tasks.append(asyncio.create_task(self._call_sound(number)))
            if number % (10 // per_s) == 0:
                tasks.append(asyncio.create_task(self._call(make_faulty(number))))
            due_ms = start_ms + 100 * (number + 1)
            await self.world.clock.sleep_ms(due_ms - self.world.clock.now_ms())
        await asyncio.gather(*tasks)

    async def _post(self, messages):
        number = len(self.sound_statuses) + len(self.faulty_answers)
        entry = ("entry-1", "entry-2")[number % 2]
        body = {"model": "question", "messages": messages, "max_tokens": 2}
        caller = self.world.caller(entry, ALICE)
        return await caller.request(
            "POST", "/v1/chat/completions", json.dumps(body).encode(), {}
        )

    async def _call_sound(self, number: int) -> None:
        sent_ms = self.world.clock.now_ms()
        answer = await self._post(messages("be brief", f"about frame {number}"))
        self.sound_statuses.append((sent_ms, answer.status))

    async def _call(self, faulty) -> None:
        self.faulty_answers.append(await self._post(faulty))

    def beyond(self, crash_count: int) -> int:
        bound_ms = self.crash_times_ms[crash_count - 1] + STABLE_WINDOW_MS
        return sum(sent_ms > bound_ms for sent_ms in self.faulty_times_ms)

    def sound_share(self, crash_count: int) -> float:
        from_ms = self.crash_times_ms[crash_count - 1] + 2 * STABLE_WINDOW_MS
        statuses = [status for ms, status in self.sound_statuses if ms > from_ms]
        return statuses.count(200) / len(statuses)


def messages(*contents: str) -> list[dict]:
    return [{"role": "user", "content": content} for content in contents]


def faulty_message(number: int) -> list[dict]:
    """Return the messages of a generation whose second message crashes engines."""
    return messages("be brief", FAULTY, f"about frame {number}")


class CrashingRequestsTest(unittest.TestCase):
    def play(self, make_faulty, crash_count: int) -> CrashPlay:
        plays = []

        async def script(world):
            plays.append(CrashPlay(world))
            await plays[0].run(12_000, make_faulty)

        run_world(script, many_engines(9))
        play = plays[0]
        self.assertLessEqual(play.beyond(crash_count), MAX_BEYOND)
        self.assertGreaterEqual(play.sound_share(crash_count), 0.95)
        return play

    def test_a_message_that_crashes_engines_reaches_few_more_after_the_fifth(self):
        play = self.play(faulty_message, crash_count=5)
        last = play.faulty_answers[-1]
        self.assertEqual(last.status, 503)
        self.assertEqual(last.headers["x-outcome"], "not_run")

    def test_instances_that_all_start_anew_send_few_more(self):
        async def script(world):
            play = CrashPlay(world)
            await play.run(6_000, faulty_message)
            for plan in small_deployment().entries:
                world.kill_entry(plan.instance)
                world.start_entry(plan)
            await world.clock.sleep_ms(2_000)
            await play.run(4_000, faulty_message)
            self.assertLessEqual(play.beyond(5), MAX_BEYOND)

        run_world(script, many_engines(9))

    def test_a_generation_that_crashes_engines_is_repeated_rarely_after_the_third(
        self,
    ):
        self.play(lambda n: messages("be brief", FAULTY), crash_count=3)
