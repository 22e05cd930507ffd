"""Random histories of a lease: pauses, lost answers, delayed writes, restarts."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from .leasehistory import SETTINGS, LeaseHistory

EXAMPLES = 250
STEPS = 40
SEEDS = 150
INDEX = st.integers(0, 2)
NUMBER = st.integers(0, 5)
DURATIONS_MS = [
    1,
    250,
    1_500,
    SETTINGS.lease_duration_ms // 2,
    SETTINGS.lease_duration_ms,
    20_000,
]


class LeaseMachine(RuleBasedStateMachine):
    history: LeaseHistory | None = None

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.history = LeaseHistory(seed)

    @rule(duration_ms=st.sampled_from(DURATIONS_MS))
    def advance(self, duration_ms):
        self.history.advance(duration_ms)

    @rule(index=INDEX)
    def scan(self, index):
        self.history.scan(index)

    @rule(index=INDEX, rank=st.sampled_from([0, 0, 0, 1, 2, None]))
    def tick(self, index, rank):
        self.history.tick(index, rank)

    @rule(number=NUMBER, answer_arrives=st.booleans())
    def deliver(self, number, answer_arrives):
        self.history.deliver(number, answer_arrives)

    @rule(index=INDEX)
    def scan_and_write(self, index):
        self.history.scan_and_write(index)

    @rule(index=INDEX, wait_ms=st.sampled_from(DURATIONS_MS))
    def scan_wait_and_write(self, index, wait_ms):
        self.history.scan(index)
        self.history.advance(wait_ms)
        self.history.scan_and_write(index)

    @rule(index=INDEX, wait_ms=st.sampled_from(DURATIONS_MS))
    def write_and_wait_for_the_answer(self, index, wait_ms):
        self.history.tick(index)
        self.history.advance(wait_ms)
        self.history.deliver(-1)

    @rule(number=NUMBER, is_dropped=st.booleans())
    def time_out(self, number, is_dropped):
        self.history.time_out(number, is_dropped)

    @rule(number=NUMBER)
    def decline_write(self, number):
        self.history.decline_write(number)

    @rule(index=INDEX)
    def prepare_order(self, index):
        self.history.prepare_order(index)

    @rule(index=INDEX)
    def send_order(self, index):
        self.history.send_order(index)

    @rule(is_down=st.booleans())
    def change_table(self, is_down):
        self.history.is_down = is_down

    @rule(index=INDEX)
    def pause(self, index):
        self.history.pause(index)

    @rule(index=INDEX)
    def resume(self, index):
        self.history.resume(index)

    @rule(index=INDEX)
    def restart(self, index):
        self.history.restart(index)

    @invariant()
    def rules_hold(self):
        if self.history is not None:
            self.history.assert_invariants()


def random_history(seed: int, steps: int = 400) -> LeaseHistory:
    """Return a long history in which the lease changes holders often."""
    history = LeaseHistory(seed)
    rng = history.rng
    acts = {
        lambda: history.advance(rng.choice(DURATIONS_MS[:5])): 6,
        lambda: history.scan(rng.randrange(3)): 6,
        lambda: history.tick(rng.randrange(3), rng.choice([0, 0, 1, None])): 8,
        lambda: history.deliver(rng.randrange(6), rng.random() < 0.7): 8,
        lambda: history.time_out(rng.randrange(6), rng.random() < 0.5): 2,
        lambda: history.decline_write(rng.randrange(6)): 1,
        lambda: history.scan_and_write(rng.randrange(3)): 6,
        lambda: [history.prepare_order(index) for index in range(3)]: 6,
        lambda: history.send_order(rng.randrange(3)): 6,
        lambda: history.pause(rng.randrange(3)): 1,
        lambda: history.resume(rng.randrange(3)): 2,
        lambda: history.restart(rng.randrange(3)): 1,
    }
    for act in rng.choices(list(acts), list(acts.values()), k=steps):
        act()
        history.assert_invariants()
    return history


class TestLeaseProperty(unittest.TestCase):
    def test_one_acting_holder_increasing_numbers_and_no_stale_order(self):
        run_state_machine_as_test(
            LeaseMachine,
            settings=settings(
                max_examples=EXAMPLES,
                stateful_step_count=STEPS,
                derandomize=True,
                deadline=None,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )

    def test_long_seeded_histories_with_many_holders(self):
        changes = orders = 0
        for seed in range(SEEDS):
            history = random_history(seed)
            changes += len(history.claims)
            orders += len(history.accepted_numbers)
        self.assertGreater(changes, 5 * SEEDS)
        self.assertGreater(orders, SEEDS)
