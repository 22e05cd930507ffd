"""Kinds of versions at several seeds, by the fakes of the benchmark."""

from __future__ import annotations

import random
import unittest

from benchmarks.control import GOOD, faults, play
from benchmarks.controlfakes import Managed

SHARE_AIM = 0.05
SEEDS = (1001, 1002)
WHOLE = ("fails at once", "slow at once", "fails late", "slow late")
"""Kinds of which every request is affected."""


class TestKindsOfVersions(unittest.TestCase):
    def test_bad_ones_are_taken_back_with_a_small_share_of_the_requests(self):
        for kind in faults(random.Random(0)):
            if kind in GOOD:
                continue
            for seed in SEEDS:
                with self.subTest(kind, seed=seed):
                    bad = faults(random.Random(seed))[kind]
                    outcome = play(Managed, bad, seed)
                    self.assertEqual(outcome.state, "taken_back")
                    self.assertLess(outcome.share, SHARE_AIM)

    def test_good_ones_are_done_also_if_both_versions_fail_now_and_then(self):
        for kind in GOOD:
            with self.subTest(kind):
                bad = faults(random.Random(1))[kind]
                outcome = play(Managed, bad, SEEDS[0], bad)
                self.assertEqual(outcome.state, "done", outcome.why)

    def test_a_version_bad_on_all_requests_gets_none_3_s_after_it_shows(self):
        for kind in WHOLE:
            for seed in SEEDS:
                self._check_grace(kind, seed)

    def test_a_version_bad_on_one_route_gets_none_3_s_after_it_shows(self):
        for seed in range(20):
            self._check_grace("fails on a route", seed)

    def _check_grace(self, kind: str, seed: int) -> None:
        with self.subTest(kind, seed=seed):
            bad = faults(random.Random(seed))[kind]
            outcome = play(Managed, bad, seed)
            self.assertEqual(outcome.after_showing, 0)
