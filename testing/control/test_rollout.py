from __future__ import annotations

import random
import unittest

import msgspec

from _monsoonpulley.config.document import Version
from _monsoonpulley.control.rollout import (
    Evidence,
    Observation,
    RolloutRules,
    RolloutSettings,
)
from _monsoonpulley.control.rolloutrows import SETTLED, RolloutState

SETTINGS = RolloutSettings()
RULES = RolloutRules(SETTINGS)
ENOUGH = Evidence(1_000, 0)
LIVE = ("a", "b")
GOOD = Observation(
    endpoints=2, base=("v1",), evidence=ENOUGH, live=LIVE, confirmed=LIVE
)


def seen(**changes) -> Observation:
    return msgspec.structs.replace(GOOD, **changes)


def play(order, at_ms, observe=lambda row, now_ms: GOOD, step_ms=1_000, row=None):
    """Decide each ``step_ms`` until the version is settled; return its rows."""
    rows = [row] if row else []
    for now_ms in range(at_ms, order.deadline_wall_ms + 60_000, step_ms):
        current = rows[-1] if rows else None
        after = RULES.decide(current, order, observe(current, now_ms), now_ms).after
        if after is not None:
            rows.append(after)
            if after.state in SETTLED:
                break
    return rows


class TestRolloutRules(unittest.TestCase):
    def test_a_good_version_passes_each_state_and_is_done_by_its_deadline(self):
        least_ms = SETTINGS.min_time_after_ms(RolloutState.PENDING)
        for left_ms in (least_ms + 3_000, 120_000, 3_600_000, 86_400_000):
            with self.subTest(left_ms):
                rows = play(Version("s", "v2", left_ms), 0)
                states = list(dict.fromkeys(row.state for row in rows))
                self.assertEqual(
                    states,
                    [
                        RolloutState.PENDING,
                        RolloutState.CANARY,
                        RolloutState.RAMP,
                        RolloutState.SOAK,
                        RolloutState.DONE,
                    ],
                )
                self.assertLessEqual(rows[-1].since_wall_ms, left_ms)

    def test_most_of_a_long_rollout_is_canary(self):
        rows = play(Version("s", "v2", 3_600_000), 0)
        ramp = next(row for row in rows if row.state is RolloutState.RAMP)
        self.assertGreater(ramp.since_wall_ms, 0.8 * 3_600_000)

    def test_a_version_past_its_deadline_is_rolled_back_without_traffic(self):
        decision = RULES.decide(None, Version("s", "v2", 5), GOOD, 6)
        self.assertIs(decision.after.state, RolloutState.ROLLED_BACK)
        self.assertEqual(decision.after.share, 0.0)
        self.assertEqual(decision.after.started_wall_ms, 0)

    def test_a_version_with_too_near_a_deadline_gets_no_traffic(self):
        rows = play(Version("s", "v2", 30_000), 0)
        states = [row.state for row in rows]
        self.assertEqual(states, [RolloutState.PENDING, RolloutState.ROLLED_BACK])

    def test_a_version_without_evidence_is_rolled_back_by_its_deadline(self):
        few_results = seen(evidence=Evidence(SETTINGS.min_canary_results - 1, 0))
        rows = play(Version("s", "v2", 300_000), 0, lambda row, now_ms: few_results)
        self.assertIs(rows[-1].state, RolloutState.ROLLED_BACK)
        self.assertIn("only 9 of 10 results", rows[-1].why)
        self.assertLess(max(row.share for row in rows), 0.05)
        self.assertLessEqual(rows[-1].since_wall_ms, 300_000)

    def test_a_trip_rolls_back_from_each_state(self):
        order = Version("s", "v2", 300_000)
        for row in play(order, 0)[:-1]:
            decision = RULES.decide(
                row, order, seen(trip="3 of 3 failed"), row.since_wall_ms + 1
            )
            self.assertIs(decision.after.state, RolloutState.ROLLED_BACK)
            self.assertEqual(decision.after.why, "3 of 3 failed")
            self.assertEqual(decision.after.share, 0.0)

    def test_no_version_is_done_before_every_live_instance_confirmed(self):
        partly_confirmed = seen(confirmed=("a",))
        rows = play(
            Version("s", "v2", 300_000), 0, lambda row, now_ms: partly_confirmed
        )
        self.assertIs(rows[-1].state, RolloutState.ROLLED_BACK)
        self.assertIn("not confirmed by b", rows[-1].why)
        self.assertLessEqual(rows[-1].since_wall_ms, 300_000)

    def test_no_state_becomes_done_past_the_deadline(self):
        order = Version("s", "v2", 300_000)
        for row in play(order, 0)[:-1]:
            decision = RULES.decide(row, order, GOOD, 300_000)
            self.assertIs(decision.after.state, RolloutState.ROLLED_BACK)

    def test_after_a_gap_in_passes_a_version_is_done_in_time_or_rolled_back(self):
        for seed in range(200):
            rng = random.Random(seed)
            order = Version("s", "v2", rng.randrange(60_000, 600_000))
            gap = (at := rng.randrange(0, 600_000), at + rng.randrange(0, 200_000))
            rows = []
            for now_ms in range(0, order.deadline_wall_ms + 250_000, 1_000):
                if gap[0] <= now_ms < gap[1]:
                    continue
                row = rows[-1] if rows else None
                after = RULES.decide(row, order, GOOD, now_ms).after
                if after is not None:
                    rows.append(after)
            self.assertIn(rows[-1].state, SETTLED)
            if rows[-1].state is RolloutState.DONE:
                self.assertLess(rows[-1].since_wall_ms, order.deadline_wall_ms)

    def test_a_queued_version_waits_and_is_rolled_back_when_time_is_short(self):
        queued = seen(ahead="v2")
        rows = play(Version("s", "v3", 300_000), 0, lambda row, now_ms: queued)
        states = [row.state for row in rows]
        self.assertEqual(states, [RolloutState.PENDING, RolloutState.ROLLED_BACK])
        self.assertIn("behind v2", rows[-1].why)

    def test_a_queued_version_shortens_the_rollout_ahead_of_it(self):
        with_successor = seen(next_deadline_wall_ms=600_000)
        rows = play(
            Version("s", "v2", 3_600_000), 0, lambda row, now_ms: with_successor
        )
        self.assertIs(rows[-1].state, RolloutState.DONE)
        least_ms = SETTINGS.min_time_after_ms(RolloutState.PENDING)
        self.assertLess(rows[-1].since_wall_ms, 600_000 - least_ms)

    def test_a_rolled_back_version_restarts_with_a_new_deadline(self):
        order = Version("s", "v2", 300_000)
        rolled_back = play(order, 0, lambda row, now_ms: seen(trip="bad"))[-1]
        self.assertIsNone(RULES.decide(rolled_back, order, GOOD, 400_000).after)
        restarted = RULES.decide(
            rolled_back, Version("s", "v2", 900_000), GOOD, 400_000
        ).after
        self.assertIs(restarted.state, RolloutState.PENDING)
        self.assertEqual(restarted.attempt, rolled_back.attempt + 1)

    def test_a_version_removed_from_the_configuration_is_rolled_back(self):
        row = play(Version("s", "v2", 300_000), 0)[1]
        self.assertIs(
            RULES.decide_removed(row, 9).after.state, RolloutState.ROLLED_BACK
        )
        done = play(Version("s", "v2", 300_000), 0)[-1]
        self.assertIsNone(RULES.decide_removed(done, 9))

    def test_a_decision_can_be_replayed_from_its_fields(self):
        for row in play(Version("s", "v2", 300_000), 0):
            decision = RULES.decide(row, Version("s", "v2", 300_000), GOOD, 9_000)
            replayed = RULES.decide(
                decision.before,
                decision.order,
                decision.observation,
                decision.now_wall_ms,
            )
            self.assertEqual(decision, replayed)
