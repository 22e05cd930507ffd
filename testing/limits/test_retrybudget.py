"""Retry budgets over several instances."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.ids import ServiceId
from _monsoonpulley.limits.retrybudget import RetryBudget

SERVICE = ServiceId("svc")
RATIO, WINDOW_S, EXTRA = 0.2, 10, 52


class TestRetryBudget(unittest.TestCase):
    @settings(max_examples=30, derandomize=True, deadline=None)
    @given(st.integers(min_value=1, max_value=9), st.integers(0, 1_000))
    def test_no_window_exceeds_the_limit_over_all_instances(self, count, seed):
        rng = random.Random(seed)
        budgets = [RetryBudget(RATIO, WINDOW_S, EXTRA) for _ in range(count)]
        requests: list[int] = []
        retries: list[int] = []
        for budget in budgets:
            budget.set_member_count(count)
        for now_ms in range(0, 25_000, 20):
            for budget in budgets:
                if rng.random() < 0.3:
                    budget.count_request(SERVICE, now_ms)
                    requests.append(now_ms)
                while budget.try_acquire(SERVICE, now_ms):
                    retries.append(now_ms)
        for end_ms in range(0, 25_000, 500):
            window = range(end_ms - WINDOW_S * 1000, end_ms)
            retry_count = sum(ms in window for ms in retries)
            request_count = sum(ms in window for ms in requests)
            self.assertLessEqual(retry_count, RATIO * request_count + EXTRA)

    def test_retries_are_limited_to_a_share_of_the_requests(self):
        budget = RetryBudget(RATIO, WINDOW_S, 0)
        for _ in range(100):
            budget.count_request(SERVICE, 0)
        acquired = 0
        while budget.try_acquire(SERVICE, 0):
            acquired += 1
        self.assertIn(acquired, range(15, 21))

    def test_the_budget_is_available_again_after_a_window(self):
        budget = RetryBudget(0.0, WINDOW_S, 2)
        self.assertTrue(budget.try_acquire(SERVICE, 0))
        self.assertFalse(budget.try_acquire(SERVICE, 9_999))
        self.assertTrue(budget.try_acquire(SERVICE, 10_000))

    def test_each_service_has_its_own_budget(self):
        budget = RetryBudget(0.0, WINDOW_S, 2)
        self.assertTrue(budget.try_acquire(SERVICE, 0))
        self.assertTrue(budget.try_acquire(ServiceId("other"), 0))

    def test_a_changed_limit_applies(self):
        budget = RetryBudget(0.0, WINDOW_S, 0)
        self.assertFalse(budget.try_acquire(SERVICE, 0))
        budget.set_limit(0.0, 1, 2)
        self.assertTrue(budget.try_acquire(SERVICE, 0))
        self.assertTrue(budget.try_acquire(SERVICE, 1_000))

    def test_a_request_that_another_instance_counts_allows_no_retries(self):
        counted, uncounted = (RetryBudget(RATIO, WINDOW_S, 0) for _ in range(2))
        for now_ms in range(100):
            for budget in (counted, uncounted):
                budget.count_request(SERVICE, now_ms)
            uncounted.uncount_request(SERVICE)
        self.assertTrue(counted.try_acquire(SERVICE, 100))
        self.assertFalse(uncounted.try_acquire(SERVICE, 100))
        uncounted.uncount_request(SERVICE)
