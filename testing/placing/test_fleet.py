"""Placing by many instances, played: what callers get."""

from __future__ import annotations

import unittest

from .fleetplay import LONG_SHARED, QUICK, SHORT, Fleet

AIMS_MS = {"long": 1_045, "quick": 519, "short": 522}
"""Of the first event, as on the users' sheet."""

AIM_SHARE = 0.9
"""Share of the callers that is to get its first event within the aim."""

KINDS = (LONG_SHARED, QUICK, SHORT)
WARM_MS, LENGTH_MS = 20_000, 40_000


class TestFleet(unittest.TestCase):
    def run_fleet(self, engines: int, seed: int) -> Fleet:
        # So many instances that each sees a subject again in minutes only.
        fleet = Fleet(24, engines, KINDS, seed)
        fleet.run(LENGTH_MS, WARM_MS)
        return fleet

    def test_busy_engines_answer_in_time_since_shared_parts_stay_together(self):
        for seed in (1, 2, 3):
            results = self.run_fleet(engines=14, seed=seed).results
            for name, aim_ms in AIMS_MS.items():
                with self.subTest(name, seed=seed):
                    self.assertEqual(results[name].refused_count, 0)
                    self.assertLessEqual(results[name].quantile_ms(AIM_SHARE), aim_ms)

    def test_most_of_a_long_shared_part_is_read_once_where_it_can_be_kept(self):
        # 1.9 million tokens of subjects, engines that keep 11.5 million.
        results = self.run_fleet(engines=20, seed=1).results
        self.assertGreater(results["long"].cached_share(), 0.5)

    def test_no_engine_reads_far_more_than_the_others(self):
        engines = self.run_fleet(engines=20, seed=1).engines.values()
        prefilled = sorted(engine.prefilled_tokens for engine in engines)
        mean = sum(prefilled) / len(prefilled)
        self.assertLess(prefilled[-1], 1.5 * mean)
