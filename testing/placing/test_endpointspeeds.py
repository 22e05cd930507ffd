"""Speeds of endpoints learned from samples, and forgotten."""

from __future__ import annotations

import random
import unittest

from _monsoonpulley.ids import EndpointId
from _monsoonpulley.placing.endpointspeeds import (
    MAX_OUTBOX,
    SAMPLE_INTERVAL_MS,
    EndpointSpeeds,
)

SPEEDS = (0.6, 1.0, 1.6)
GAP_MS, PREFILL_MS = 30.0, 20.0


class TestEndpointSpeeds(unittest.TestCase):
    def setUp(self) -> None:
        self.rng = random.Random(1)
        self.speeds = EndpointSpeeds()
        self.ids = [EndpointId(f"engine-{n}") for n in range(9)]
        self.now_ms = 0

    def learn(self, speeds: tuple[float, ...], rounds: int = 30) -> None:
        """Record a stream of each engine in each round; half of them wait."""
        for _ in range(rounds):
            for number, engine in enumerate(self.ids):
                self.record(engine, speeds[number % len(speeds)])
            self.now_ms += SAMPLE_INTERVAL_MS
        self.speeds.refresh(self.ids)

    def record(self, engine: EndpointId, speed: float, slowdown: float = 1.0) -> None:
        wait = self.rng.choice((1.0, self.rng.uniform(1, 4))) * slowdown / speed
        wait *= self.rng.uniform(0.95, 1.05)
        took_ms = PREFILL_MS * 5 * wait
        self.speeds.record_first_event(engine, 5_000, took_ms, self.now_ms)
        gaps_ms = [GAP_MS * slowdown / speed] * 6 + [GAP_MS * wait] * 2
        self.speeds.record_stream(engine, 0, gaps_ms, self.now_ms)

    def test_lasting_speeds_are_learned_although_half_of_the_answers_wait(self):
        self.learn(SPEEDS)
        for number, engine in enumerate(self.ids):
            speed = self.speeds.speed(engine)
            # Each kind of engine differs from the next one by a factor of 1.6.
            true_ms = GAP_MS / SPEEDS[number % 3]
            self.assertLess(abs(speed.event_ms / true_ms - 1), 0.25)
            true_ms = PREFILL_MS / SPEEDS[number % 3]
            self.assertLess(abs(speed.prefill_ms / true_ms - 1), 0.25)

    def test_engines_that_differ_by_chance_count_as_equal(self):
        for _ in range(10):
            self.learn((1.0,))
            self.assertEqual({self.speeds.speed(e) for e in self.ids}, {None})

    def test_a_short_spell_changes_no_speed(self):
        self.learn(SPEEDS)
        before_ms = self.speeds.speed(self.ids[0]).event_ms
        for _ in range(60):
            self.record(self.ids[0], SPEEDS[0], slowdown=2.5)
            self.now_ms += 10
        self.speeds.refresh(self.ids)
        after_ms = self.speeds.speed(self.ids[0]).event_ms
        self.assertLess(abs(after_ms / before_ms - 1), 0.05)

    def test_a_new_endpoint_counts_as_the_mean_and_an_old_one_is_forgotten(self):
        self.learn(SPEEDS)
        self.speeds.remove(self.ids[0])
        self.assertIsNone(self.speeds.speed(self.ids[0]))
        self.speeds.refresh(self.ids)
        self.assertEqual(self.speeds.speed(self.ids[0]).step_factor, 1.0)

    def test_peers_learn_the_same_from_digests_of_bounded_size(self):
        peer = EndpointSpeeds()
        for _ in range(30):
            self.learn(SPEEDS, rounds=1)
            samples = self.speeds.drain_outbox()
            self.assertLessEqual(len(samples), MAX_OUTBOX)
            peer.apply_peer(samples, self.now_ms)
        peer.refresh(self.ids)
        for engine in self.ids[:7]:
            ours, theirs = self.speeds.speed(engine), peer.speed(engine)
            self.assertAlmostEqual(ours.step_factor, theirs.step_factor, delta=0.1)


if __name__ == "__main__":
    unittest.main()
