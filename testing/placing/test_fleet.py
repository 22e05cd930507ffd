"""Latencies and cache hits when many instances place requests, in a simulation."""

from __future__ import annotations

import unittest

from .fleetplay import LONG_SHARED, QUICK, SHORT, Fleet

TARGETS_MS = {"long": 1_045, "quick": 519, "short": 522}
"""Latency targets of the first event in a large deployment of the users."""

TARGET_SHARE = 0.9
"""Share of the requests whose first event has to meet its target."""

KINDS = (LONG_SHARED, QUICK, SHORT)
WARMUP_MS, LENGTH_MS = 20_000, 40_000


class TestFleet(unittest.TestCase):
    def run_fleet(self, engines: int, seed: int) -> Fleet:
        # With 24 instances, each sees the same subject only once in minutes.
        fleet = Fleet(24, engines, KINDS, seed)
        fleet.run(LENGTH_MS, WARMUP_MS)
        return fleet

    def test_busy_engines_meet_the_latency_targets(self):
        for seed in (1, 2, 3):
            results = self.run_fleet(engines=14, seed=seed).results
            for name, target_ms in TARGETS_MS.items():
                with self.subTest(name, seed=seed):
                    self.assertEqual(results[name].refused_count, 0)
                    self.assertLessEqual(
                        results[name].quantile_ms(TARGET_SHARE), target_ms
                    )

    def test_most_common_tokens_are_cached_if_the_caches_are_large_enough(self):
        # The subjects have 1.9 million tokens; the engines' caches hold 11.5 million.
        results = self.run_fleet(engines=20, seed=1).results
        self.assertGreater(results["long"].cached_share(), 0.5)

    def test_equal_engines_get_the_requests_that_they_got_without_learned_speeds(self):
        # Guards deployments whose engines are alike against any other placement.
        chosen = []
        for learns_speeds in (True, False):
            fleet = Fleet(24, 14, KINDS, seed=1)
            fleet.learns_speeds = learns_speeds
            fleet.run(WARMUP_MS, 0)
            chosen.append(fleet.chosen)
        self.assertEqual(*chosen)

    def test_prefill_is_balanced_between_the_engines(self):
        engines = self.run_fleet(engines=20, seed=1).engines.values()
        prefilled = sorted(engine.prefilled_tokens for engine in engines)
        mean = sum(prefilled) / len(prefilled)
        self.assertLess(prefilled[-1], 1.5 * mean)
