import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.errors import Delivery
from _monsoonpulley.routing.retries import Retries, RetryBudget, RetryRequest


def retry_request(**changes):
    fields = {
        "request_id": "r1",
        "service": "model",
        "repeats": 2,
        "attempts": 1,
        "idempotent": True,
        "delivery": Delivery.MAYBE,
    }
    return RetryRequest(**(fields | changes))


class BudgetTest(unittest.TestCase):
    def test_an_outage_keeps_attempts_within_one_plus_the_ratio(self):
        retries = Retries(random.Random(1), ratio=0.1)
        requests = 2_000
        attempts = 0
        for _ in range(requests):
            retries.count_first_attempt("model")
            made = 1
            while retries.decide_retry(retry_request(attempts=made), now_ms=0).allowed:
                made += 1
            attempts += made
        self.assertLessEqual(attempts / requests, 1.1)
        self.assertGreater(attempts, requests)

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(
        ratio=st.floats(0.01, 1.0),
        steps=st.lists(st.booleans(), max_size=400),
    )
    def test_retries_never_exceed_the_budget(self, ratio, steps):
        budget = RetryBudget(ratio)
        first_attempts = retries = 0
        for is_first_attempt in steps:
            if is_first_attempt:
                budget.count_first_attempt()
                first_attempts += 1
            elif budget.try_acquire():
                retries += 1
            self.assertLessEqual(retries, max(1.0, ratio * first_attempts) + 1e-6)

    def test_a_service_without_requests_has_one_retry(self):
        self.assertTrue(RetryBudget(0.1).try_acquire())


class MayRetryTest(unittest.TestCase):
    def setUp(self):
        self.retries = Retries(random.Random(1))

    def _rule(self, **changes):
        decision = self.retries.decide_retry(retry_request(**changes), now_ms=1_000)
        return decision.allowed, decision.rule

    def test_a_non_idempotent_request_that_may_have_run_is_not_retried(self):
        for delivery in (Delivery.MAYBE, None):
            outcome = self._rule(idempotent=False, repeats=0, delivery=delivery)
            self.assertEqual(outcome, (False, "may-have-run"))

    def test_a_non_idempotent_request_that_did_not_run_is_retried(self):
        for delivery in (Delivery.NOT_SENT, Delivery.REFUSED):
            self.retries = Retries(random.Random(1))
            outcome = self._rule(idempotent=False, repeats=0, delivery=delivery)
            self.assertEqual(outcome, (True, "budget"))

    def test_the_class_repeats_limit_attempts(self):
        self.assertEqual(self._rule(attempts=3), (False, "repeats-spent"))

    def test_nothing_is_retried_past_its_deadline(self):
        outcome = self._rule(deadline_ms=1_100, predicted_ms=100)
        self.assertEqual(outcome, (False, "deadline-too-near"))

    def test_an_empty_budget_refuses(self):
        self._rule()
        self.assertEqual(self._rule(), (False, "budget-spent"))

    def test_hedges_only_slow_idempotent_requests(self):
        slow = retry_request(predicted_ms=100)
        self.assertFalse(self.retries.decide_hedge(slow, 150, now_ms=0).allowed)
        run_once = retry_request(predicted_ms=100, idempotent=False, repeats=0)
        self.assertFalse(self.retries.decide_hedge(run_once, 900, now_ms=0).allowed)
        unsafe = retry_request(predicted_ms=100, idempotent=False)
        self.assertFalse(self.retries.decide_hedge(unsafe, 900, now_ms=0).allowed)
        self.assertTrue(self.retries.decide_hedge(slow, 200, now_ms=0).allowed)
        self.assertEqual(
            self.retries.decide_hedge(slow, 200, now_ms=0).rule, "budget-spent"
        )


if __name__ == "__main__":
    unittest.main()
