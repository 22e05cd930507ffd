"""Rules of a lease with one or two failures at a time."""

from __future__ import annotations

import unittest

from _monsoonpulley.control.leasestate import (
    NO_INSTANCE,
    LeaseRow,
    LeaseSettings,
    RowRead,
    Tick,
    WriteConfirmed,
    WriteFailed,
)

from .leasehistory import SETTINGS, LeaseHistory

SEEDS = range(12)
LONG_MS = 2 * SETTINGS.lease_duration_ms


class TestClaims(unittest.TestCase):
    def test_of_two_concurrent_claims_the_first_to_arrive_holds(self):
        for seed in SEEDS:
            for first in (0, 1):
                history = LeaseHistory(seed)
                for index in (0, 1):
                    history.scan(index)
                    history.tick(index)
                history.deliver(first)
                history.deliver(0)
                self.assertEqual(history.holder(), first)
                self.assertEqual(len(history.claims), 1)

    def test_another_claims_only_after_observing_a_full_lease(self):
        for seed in SEEDS:
            history = LeaseHistory(seed)
            history.acquire(0)
            history.advance(LONG_MS)
            history.scan(1)
            claimer = history.claimers[1]
            history.advance(round((SETTINGS.lease_duration_ms - 2) / claimer.speed))
            history.tick(1)
            self.assertEqual(history.write_copies, [])
            history.advance(10)
            history.tick(1)
            history.deliver(0)
            self.assertEqual(history.holder(), 1)

    def test_a_renewal_that_the_claimer_missed_makes_its_claim_fail(self):
        for seed in SEEDS:
            history = LeaseHistory(seed)
            history.acquire(0)
            history.scan(1)
            history.advance(SETTINGS.renew_interval_ms + 200)
            history.tick(0)
            history.deliver(0)
            history.advance(SETTINGS.lease_duration_ms - SETTINGS.renew_interval_ms)
            history.tick(1)
            history.deliver(0)
            self.assertNotEqual(history.holder(), 1)
            self.assertEqual(len(history.claims), 1)

    def test_a_new_incarnation_waits_like_any_other(self):
        for seed in SEEDS:
            history = LeaseHistory(seed)
            history.acquire(0)
            history.restart(0)
            history.scan(0)
            history.tick(0)
            self.assertEqual(history.write_copies, [])
            history.advance(LONG_MS)
            history.tick(0)
            history.deliver(0)
            self.assertEqual(history.holder(), 0)
            self.assertEqual([n for n, _, _ in history.claims], [1, 2])

    def test_later_candidates_wait_longer(self):
        times = LeaseSettings()
        delays = [times.claim_delay_ms(rank) for rank in range(9)]
        self.assertEqual(delays, sorted(delays))
        self.assertEqual(delays[0], 0)
        after_watchers = delays[times.watcher_count] - delays[times.watcher_count - 1]
        self.assertGreaterEqual(after_watchers, times.max_idle_scan_gap_ms())

    def test_an_older_read_that_comes_late_changes_nothing(self):
        history = LeaseHistory(1)
        claimer = history.claimers[0]
        old = RowRead(history.row, history.revision)
        history.acquire(1)
        history.scan(0)
        before = claimer.state
        after, _ = claimer.rules.step(before, old, claimer.now_ms(1_000))
        self.assertEqual(after, before)


class TestHolder(unittest.TestCase):
    def test_a_holder_stops_by_its_lease_counted_from_before_the_send(self):
        for seed in SEEDS:
            history = LeaseHistory(seed)
            holder = history.claimers[0]
            history.scan(0)
            sent_ms = holder.now_ms(history.now_ms)
            history.tick(0)
            history.advance(2_000)
            history.deliver(0)
            deadline_ms = sent_ms + SETTINGS.lease_duration_ms - SETTINGS.margin_ms
            self.assertTrue(holder.state.may_act(deadline_ms - 1))
            self.assertFalse(holder.state.may_act(deadline_ms))

    def test_a_claim_confirmed_after_its_deadline_holds_nothing(self):
        history = LeaseHistory(3)
        history.scan(0)
        history.tick(0)
        history.advance(LONG_MS)
        history.deliver(0)
        self.assertIsNone(history.holder())

    def test_a_holder_whose_lease_expired_claims_it_with_a_higher_number(self):
        history = LeaseHistory(4)
        history.acquire(0)
        history.advance(LONG_MS)
        history.tick(0)
        self.assertIsNone(history.holder())
        history.tick(0)
        history.deliver(0)
        self.assertEqual(history.holder(), 0)
        self.assertEqual([n for n, _, _ in history.claims], [1, 2])

    def test_a_paused_holders_order_is_refused_once_another_has_ordered(self):
        """Guards against orders of two holders around a hand-over, in the gateway.

        `control.orders` sends the fencing number of the hold with each order, and
        endpoints or, in their place, the order's row refuse a lower one.
        """
        for seed in SEEDS:
            history = LeaseHistory(seed)
            history.acquire(0)
            history.scan(1)
            history.prepare_order(0)
            history.pause(0)
            history.advance(LONG_MS)
            history.acquire(1)
            history.prepare_order(1)
            history.send_order(1)
            history.resume(0)
            history.send_order(0)
            self.assertEqual(history.accepted_numbers, [2])
            history.prepare_order(0)
            self.assertIsNone(history.claimers[0].prepared_order)

    def test_a_table_outage_through_expiry_stops_all_and_all_resumes(self):
        for seed in SEEDS:
            history = LeaseHistory(seed)
            history.acquire(0)
            history.scan(1)
            history.is_down = True
            for _ in range(20):
                history.advance(1_000)
                history.tick(0)
                history.tick(1)
                for number in range(len(history.write_copies)):
                    history.time_out(number, is_dropped=False)
                history.assert_invariants()
            self.assertIsNone(history.holder())
            history.is_down = False
            while history.write_copies:
                history.deliver(0)
                history.assert_invariants()
            history.advance(2 * SETTINGS.idle_scan_interval_ms)
            for index in (0, 1, 0):
                history.scan(index)
                history.tick(index)
                history.deliver(0)
                history.assert_invariants()
            self.assertIsNotNone(history.holder())


class TestAnswersAndReleases(unittest.TestCase):
    def test_a_lost_answer_is_resolved_by_the_token(self):
        for by_scan in (True, False):
            history = LeaseHistory(5)
            history.scan(0)
            history.tick(0)
            history.deliver(0, answer_arrives=False)
            self.assertIsNone(history.holder())
            if by_scan:
                history.scan(0)
            else:
                history.advance(2 * SETTINGS.scan_interval_ms)
                history.tick(0)
                history.deliver(0)
            self.assertEqual(history.holder(), 0)
            self.assertEqual(len(history.claims), 1)

    def test_a_delayed_claim_has_no_effect_on_a_changed_row(self):
        history = LeaseHistory(6)
        history.scan(0)
        history.tick(0)
        history.time_out(0, is_dropped=False)
        history.scan(1)
        history.tick(1)
        history.deliver(1)
        history.deliver(0)
        self.assertEqual(history.holder(), 1)
        history.scan(0)
        self.assertIsNone(history.claimers[0].state.pending)

    def test_a_write_in_doubt_is_sent_again_unchanged(self):
        history = LeaseHistory(7)
        history.scan(0)
        history.tick(0)
        first = history.write_copies[0][1]
        history.time_out(0, is_dropped=True)
        history.advance(2 * SETTINGS.scan_interval_ms)
        history.tick(0)
        again = history.write_copies[0][1]
        self.assertEqual(again.row, first.row)
        self.assertEqual(again.first_sent_ms, first.first_sent_ms)

    def test_an_answer_to_a_resolved_write_is_ignored(self):
        history = LeaseHistory(8)
        history.acquire(0)
        claimer = history.claimers[0]
        for event in (WriteConfirmed("other", 99), WriteFailed("other", True)):
            after, decision = claimer.rules.step(claimer.state, event, 0)
            self.assertEqual((after, decision), (claimer.state, None))

    def test_a_release_stops_the_holder_before_it_is_sent(self):
        history = LeaseHistory(9)
        history.acquire(0)
        history.tick(0, None)
        self.assertIsNone(history.holder())
        self.assertEqual(history.write_copies[0][1].row.holder, NO_INSTANCE)

    def test_a_release_that_the_table_refused_is_sent_again(self):
        history = LeaseHistory(10)
        history.acquire(0)
        history.tick(0, None)
        history.decline_write(0)
        history.tick(0, None)
        self.assertEqual(history.write_copies, [])
        history.advance(2 * SETTINGS.scan_interval_ms)
        history.tick(0, None)
        history.deliver(0)
        self.assertEqual(history.row.holder, NO_INSTANCE)

    def test_the_named_successor_claims_a_released_lease_at_once(self):
        history = LeaseHistory(11)
        history.row = LeaseRow(NO_INSTANCE, 0, 4, "token", successor="entry-2")
        history.revision = 1
        history.scan(1)
        history.tick(1, 1)
        self.assertEqual(history.write_copies, [])
        history.scan(2)
        history.tick(2, 1)
        history.deliver(0)
        self.assertEqual(history.holder(), 2)
        self.assertEqual(history.row.fencing_number, 5)

    def test_without_its_successor_a_released_lease_is_not_lost(self):
        history = LeaseHistory(12)
        history.row = LeaseRow(NO_INSTANCE, 0, 4, "token", successor="entry-2")
        history.revision = 1
        history.scan(1)
        history.advance(2 * SETTINGS.free_claim_delay_ms(1))
        history.tick(1, 1)
        history.deliver(0)
        self.assertEqual(history.holder(), 1)

    def test_a_decision_has_its_inputs(self):
        history = LeaseHistory(13)
        history.scan(0)
        claimer = history.claimers[0]
        _, decision = claimer.rules.step(claimer.state, Tick(0, "t"), 10_000_000)
        again, _ = claimer.rules.step(
            decision.before, Tick(decision.rank, "t"), decision.now_ms
        )
        self.assertEqual(again.pending, decision.write)


class TestRetries(unittest.TestCase):
    def test_claims_that_the_table_refuses_back_off(self):
        history = LeaseHistory(14)
        history.scan(0)
        sent_ms = []
        for _ in range(200):
            history.tick(0)
            if history.write_copies:
                sent_ms.append(history.now_ms)
                history.decline_write(0)
            history.advance(SETTINGS.tick_interval_ms)
        self.assertLess(len(sent_ms), 50_000 / SETTINGS.idle_scan_interval_ms + 5)
        self.assertGreater(len(sent_ms), 5)

    def test_a_holder_retries_several_times_before_its_deadline(self):
        history = LeaseHistory(15)
        history.acquire(0)
        tries = 0
        while history.holder() == 0:
            history.advance(50)
            history.tick(0)
            if history.write_copies:
                tries += 1
                history.decline_write(0)
        self.assertGreaterEqual(tries, 3)


class TestMayNeedTick(unittest.TestCase):
    def test_a_skipped_tick_would_have_had_no_effect(self):
        for seed in SEEDS:
            history = LeaseHistory(seed)
            for _ in range(200):
                index = history.rng.randrange(3)
                claimer = history.claimers[index]
                now_ms = claimer.now_ms(history.now_ms)
                if not claimer.rules.may_need_tick(claimer.state, now_ms):
                    tick = Tick(0, "token")
                    after, decision = claimer.rules.step(claimer.state, tick, now_ms)
                    self.assertEqual((after, decision), (claimer.state, None))
                history.scan_and_write(index)
                if history.rng.random() < 0.2:
                    history.tick(index, None)
                    history.deliver(0)
                history.advance(history.rng.choice([100, 1_000, 4_000]))
