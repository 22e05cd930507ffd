"""Promises that must hold under every pair of faults at once."""

import asyncio
import itertools
import json
import os
import random
import unittest

from _monsoonpulley.standins.generated_text import generate_words
from _monsoonpulley.standins.world import EndpointPlan, EntryPlan

from ..support import ALICE, run_world, small_deployment
from .faults import faults

SUBMISSIONS = 8
REPORT = "condition report on the gilded frame of the harbour view " * 6
REPORT_TOKENS = 150
SETTLE_MS = 75_000
SEEDS = int(os.environ.get("PROMISE_SEEDS", "1"))
"""Number of seeds for each pair; for more set, for example, ``PROMISE_SEEDS=20``."""

ENTRIES = tuple(
    EntryPlan(f"entry-{number}", f"zone-{'ab'[number % 2]}") for number in range(1, 5)
)


class KeyOutcomes:
    """The outcomes that callers got for one key, in order."""

    def __init__(self):
        self.outcomes = []

    def record_response(self, response):
        if response.is_complete:
            outcome = response.headers.get("x-outcome")
            self.outcomes.append((outcome, response.headers.get("x-key-state")))


class PairsOfFaultsTest(unittest.TestCase):
    def play_pair(self, names, seed):
        async def script(world):
            rng = random.Random(seed)
            await world.clock.sleep_ms(3_000)
            fault_tasks = [
                asyncio.ensure_future(inject_fault(name, rng)) for name in names
            ]
            report_tasks = [
                asyncio.ensure_future(self.report(world, number)) for number in range(3)
            ]
            outcomes_by_key = {
                f"key-{number}": KeyOutcomes() for number in range(SUBMISSIONS)
            }
            submission_tasks = [
                asyncio.ensure_future(self.submit(world, rng, key, key_outcomes))
                for key, key_outcomes in outcomes_by_key.items()
            ]
            await asyncio.gather(*fault_tasks, *report_tasks, *submission_tasks)
            await world.clock.sleep_ms(SETTLE_MS)
            for key, key_outcomes in outcomes_by_key.items():
                await self.submit_once(world, key, key_outcomes)
            self.check_submissions(world, outcomes_by_key)
            for report in report_tasks:
                self.check_report(report.result())

        async def inject_fault(name, rng):
            world = self.world
            await world.clock.sleep_ms(rng.randrange(0, 400))
            await faults.get(name)(world, rng)

        async def script_with_world(world):
            self.world = world
            await script(world)

        run_world(script_with_world, self.deployment(), seed)

    def deployment(self):
        base = small_deployment()
        spare = [
            EndpointPlan(
                f"{plan.endpoint}-spare",
                plan.service,
                plan.version,
                "zone-a",
                plan.profile,
            )
            for plan in base.endpoints
        ]
        return small_deployment(entries=ENTRIES, endpoints=(*base.endpoints, *spare))

    async def submit(self, world, rng, key, key_outcomes):
        for _ in range(2):
            await world.clock.sleep_ms(rng.randrange(0, 1_500))
            await self.submit_once(world, key, key_outcomes, rng)

    async def submit_once(self, world, key, key_outcomes, rng=None):
        names = sorted(world.entries)
        name = rng.choice(names) if rng else names[0]
        key_outcomes.record_response(
            await world.caller(name, ALICE).post_json(
                "/services/booking/orders", {"key": key}, {"idempotency-key": key}
            )
        )

    async def report(self, world, number):
        await world.clock.sleep_ms(100 * number)
        name = sorted(world.entries)[number % len(world.entries)]
        body = {
            "model": "report",
            "prompt": REPORT + str(number),
            "max_tokens": REPORT_TOKENS,
            "stream": True,
        }
        response = await world.caller(name, ALICE).post_json("/v1/completions", body)
        return number, name in world.entries, response

    def check_submissions(self, world, outcomes_by_key):
        self.assertLessEqual(world.ledger.max_count(), 1)
        for key, key_outcomes in outcomes_by_key.items():
            run_count = world.executions("booking", key, "alice")
            for outcome, state in key_outcomes.outcomes:
                if outcome == "done":
                    self.assertEqual(run_count, 1, key)
                if (outcome, state) == ("not_run", "closed"):
                    self.assertEqual(run_count, 0, key)
            if run_count:
                last = key_outcomes.outcomes[-1]
                self.assertIn(last, (("done", "closed"), ("unknown", "closed")), key)

    def check_report(self, result):
        number, is_entry_alive, response = result
        texts, offsets = read_stream(response.body)
        prompt = (REPORT + str(number)).split()
        expected = generate_words(prompt, REPORT_TOKENS)
        self.assertEqual("".join(texts).split(), expected[: len(offsets)])
        self.assertEqual(offsets, list(range(len(offsets))))
        if is_entry_alive and response.status == 200:
            is_complete = len(offsets) == REPORT_TOKENS
            has_error = b'"error"' in response.body
            self.assertTrue(
                is_complete or has_error,
                f"a stream ended after {len(offsets)} tokens without an error event",
            )


def read_stream(body):
    texts, offsets = [], []
    for line in body.decode().splitlines():
        if line.startswith("id: "):
            offsets.append(int(line.rpartition(":")[2]))
        if line.startswith("data: {"):
            chunk = json.loads(line[6:])
            texts += [choice.get("text", "") for choice in chunk.get("choices", ())]
    return texts, offsets


def _add_pair(names):
    def test(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.play_pair(names, seed)

    title = "_and_".join(name.replace("-", "_") for name in names)
    setattr(PairsOfFaultsTest, f"test_promises_hold_under_{title}", test)


for _names in itertools.combinations(faults.names(), 2):
    _add_pair(_names)
