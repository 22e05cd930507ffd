"""What an instance does that is short of processor time."""

from __future__ import annotations

import random
import unittest

from _monsoonpulley.limits.processload import (
    SLOT_MS,
    Neighbours,
    ProcessLoad,
)

MAX_UNREADY_TIME_SHARE, MAX_UNREADY_SHARE = 1 / 8, 1 / 4
"""Bounds of docs/design/uneven-load.md, section 5."""


def slow(neighbours: Neighbours) -> ProcessLoad:
    load = ProcessLoad(200)
    for _ in range(50):
        load.record_delay(400)
    load.set_neighbours(neighbours)
    return load


class TestProcessLoad(unittest.TestCase):
    def test_a_process_that_keeps_up_rejects_nothing(self):
        load = ProcessLoad(200)
        load.set_neighbours(Neighbours(0, 9, 9))
        for _ in range(50):
            load.record_delay(50)
        self.assertEqual(load.shed_share(2), 0)
        self.assertFalse(any(load.may_be_unready(t) for t in range(0, 64_000, 500)))

    def test_one_long_standstill_changes_nothing(self):
        load = ProcessLoad(200)
        load.set_neighbours(Neighbours(0, 9, 9))
        load.record_delay(5_000)
        self.assertFalse(load.is_short)

    def test_less_urgent_requests_are_rejected_more_often(self):
        load = slow(Neighbours(0, 9, 9))
        self.assertGreater(load.shed_share(0), 0)
        self.assertGreater(load.shed_share(1), load.shed_share(0))

    def test_nothing_is_rejected_where_the_others_are_as_short_or_not_heard(self):
        for neighbours in (Neighbours(0, 9, 9, short_count=4), Neighbours()):
            self.assertEqual(slow(neighbours).shed_share(1), 0)

    def test_an_instance_that_hears_too_few_stays_ready(self):
        for neighbours in (Neighbours(0, 1, 22), Neighbours(0, 3, 3)):
            load = slow(neighbours)
            self.assertFalse(any(load.may_be_unready(t) for t in range(0, 64_000, 500)))

    def test_the_bounds_hold_for_all_at_once_with_lost_digests(self):
        # All instances of a data centre are slow, and none hears that another rests.
        rng = random.Random(1)
        for count in (4, 5, 9, 22, 100):
            skews_ms = [rng.uniform(-100, 100) for _ in range(count)]
            loads = [slow(Neighbours(n, count, count)) for n in range(count)]
            unready_counts = [0] * count
            times_ms = range(0, 16 * SLOT_MS, 250)
            for now_ms in times_ms:
                unready = [
                    load.may_be_unready(round(now_ms + skew_ms + SLOT_MS))
                    for load, skew_ms in zip(loads, skews_ms, strict=True)
                ]
                self.assertLessEqual(sum(unready), MAX_UNREADY_SHARE * count)
                unready_counts = [
                    a + b for a, b in zip(unready_counts, unready, strict=True)
                ]
            self.assertGreater(min(unready_counts), 0)
            self.assertLessEqual(
                max(unready_counts), MAX_UNREADY_TIME_SHARE * len(times_ms)
            )
