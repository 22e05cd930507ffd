"""Random interleavings of submissions, faults, adoption and collection."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from .interleavings import ACTION_COUNT, run_interleaving
from .world import World

EXAMPLES = 150
STEPS = 30
SEEDS = 700
INDEX = st.integers(0, 2)
KEYS = st.sampled_from(["k1", "k2"])
BODIES = st.sampled_from([b"book", b"book", b"book a frame of the gallery", b"other"])
rules_run = 0
interleavings = 0


class JournalMachine(RuleBasedStateMachine):
    world: World | None = None

    @initialize(
        seed=st.integers(0, 2**32), can_look_up=st.booleans(), merge=st.booleans()
    )
    def start(self, seed, can_look_up, merge):
        global interleavings
        interleavings += 1
        self.world = World(seed, can_look_up=can_look_up, merge=merge)
        self.world.faults_per_hundred = 40

    @rule(index=INDEX, key=KEYS, body=BODIES)
    def submit(self, index, key, body):
        self.world.submit(index, key, body)

    @rule(key=KEYS)
    def submit_everywhere(self, key):
        for index in range(3):
            self.world.submit(index, key)
        self.world.tick(7)

    @rule(duration_ms=st.sampled_from([1, 3, 7, 20, 300, 3_000, 70_000]))
    def pass_time(self, duration_ms):
        self.world.tick(duration_ms)

    @rule(percent=st.sampled_from([0, 20, 60, 100]))
    def change_faults(self, percent):
        self.world.faults_per_hundred = percent

    @rule(is_down=st.booleans())
    def change_store(self, is_down):
        self.world.table.is_down = is_down
        self.world.objects.is_down = is_down

    @rule(has_room=st.booleans())
    def change_room(self, has_room):
        self.world.endpoints.has_room = has_room

    @rule(index=INDEX)
    def crash(self, index):
        self.world.crash(index)

    @rule(index=INDEX)
    def pause(self, index):
        self.world.pause(index)

    @rule(index=INDEX)
    def resume(self, index):
        self.world.resume(index)

    @rule(index=INDEX, suspected=st.none() | INDEX)
    def recover(self, index, suspected):
        self.world.recover(index, suspected)

    @rule(index=INDEX)
    def collect(self, index):
        self.world.collect(index)

    @invariant()
    def nothing_is_violated(self):
        global rules_run
        rules_run += 1
        if self.world is not None:
            self.check(self.world.violations)

    def check(self, violations):
        assert not violations, f"interleaving {interleavings}: {violations[0]}"

    def teardown(self):
        if self.world is None:
            return
        self.world.heal()
        violations = self.world.violations
        self.world.close()
        self.check(violations)


class JournalPropertyTest(unittest.TestCase):
    def test_every_interleaving_keeps_work_at_most_once(self):
        run_state_machine_as_test(
            JournalMachine,
            settings=settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=EXAMPLES,
                # Shrinking takes minutes; the violation itself says enough.
                phases=(Phase.generate,),
                stateful_step_count=STEPS,
                suppress_health_check=list(HealthCheck),
            ),
        )
        self.assertGreater(rules_run, EXAMPLES)
        print(f"journal: {interleavings} interleavings, {rules_run} rules run")

    def test_seeded_interleavings_keep_work_at_most_once(self):
        outcomes = Counter()
        violated = {}
        for seed in range(SEEDS):
            violations = run_interleaving(seed, outcomes)
            if violations:
                violated[seed] = violations[0]
        self.assertEqual(violated, {})
        self.assertEqual(len(outcomes), 3, outcomes)
        print(f"journal: {SEEDS} seeded interleavings of {ACTION_COUNT} actions")
