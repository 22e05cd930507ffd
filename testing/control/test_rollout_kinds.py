"""Kinds of versions with several seeds, played on the fakes of the benchmark."""

from __future__ import annotations

import random
import unittest

from benchmarks.control import GOOD_KINDS, play, versions_by_kind
from benchmarks.controlfakes import ManagedRollout

MAX_MEAN_SHARE = 0.05
SEEDS = (1001, 1002)
ALL_REQUESTS_BAD = ("fails at once", "slow at once", "fails late", "slow late")
"""Kinds in which the fault affects every request."""


class TestKindsOfVersions(unittest.TestCase):
    def test_bad_versions_are_rolled_back_with_a_small_share_of_the_requests(self):
        for kind in versions_by_kind(random.Random(0)):
            if kind in GOOD_KINDS:
                continue
            for seed in SEEDS:
                with self.subTest(kind, seed=seed):
                    bad_version = versions_by_kind(random.Random(seed))[kind]
                    outcome = play(ManagedRollout, bad_version, seed)
                    self.assertEqual(outcome.state, "taken_back")
                    self.assertLess(outcome.share, MAX_MEAN_SHARE)

    def test_good_versions_are_done_even_if_both_versions_fail_sometimes(self):
        for kind in GOOD_KINDS:
            with self.subTest(kind):
                bad_version = versions_by_kind(random.Random(1))[kind]
                outcome = play(ManagedRollout, bad_version, SEEDS[0], bad_version)
                self.assertEqual(outcome.state, "done", outcome.explanation)

    def test_a_version_bad_on_all_requests_gets_none_3_s_after_the_fault_shows(self):
        for kind in ALL_REQUESTS_BAD:
            for seed in SEEDS:
                self._check_no_late_request(kind, seed)

    def test_a_version_bad_on_one_route_gets_none_3_s_after_the_fault_shows(self):
        for seed in range(20):
            self._check_no_late_request("fails on a route", seed)

    def _check_no_late_request(self, kind: str, seed: int) -> None:
        with self.subTest(kind, seed=seed):
            bad_version = versions_by_kind(random.Random(seed))[kind]
            outcome = play(ManagedRollout, bad_version, seed)
            self.assertEqual(outcome.late_count, 0)
