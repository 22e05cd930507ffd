import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.config.document import Customer, Document
from _monsoonpulley.errors import Reason
from _monsoonpulley.routing.admission import (
    Admission,
    AdmissionRequest,
    Admit,
    Refuse,
    Wait,
)


def admission_request(number, customer="small", **changes):
    fields = {
        "request_id": f"r{number}",
        "service": "model",
        "customer": customer,
        "request_class": "quick",
        "cost_tokens": 100,
        "target_ms": 600_000,
    }
    return AdmissionRequest(**(fields | changes))


def admission(slots=2.0, max_queued=10_000, customers=1):
    subject = Admission(random.Random(1), max_queued)
    key = "0" * 64
    subject.reconfigure(
        Document(customers={f"c{i}": Customer(key) for i in range(customers)})
    )
    subject.set_slots("model", slots)
    return subject


class SubmitTest(unittest.TestCase):
    def test_admits_while_there_is_room_then_waits_for_a_release(self):
        subject = admission(slots=1)
        self.assertIsInstance(subject.submit(admission_request(1), 0), Admit)
        self.assertIsInstance(subject.submit(admission_request(2), 0), Wait)
        self.assertEqual(subject.pop_decisions(1), ())
        subject.release("model", "r1", 5)
        (ready,) = subject.pop_decisions(5)
        self.assertIsInstance(ready, Admit)
        self.assertEqual((ready.request_id, ready.waited_ms), ("r2", 5))

    def test_refuses_at_once_a_request_that_cannot_meet_its_target(self):
        refusal = admission().submit(
            admission_request(1, target_ms=50, predicted_ms=80.0), 0
        )
        self.assertIsInstance(refusal, Refuse)
        self.assertIs(refusal.reason, Reason.TARGET_UNREACHABLE)
        self.assertGreater(refusal.failure().retry_after_ms, 0)

    def test_refuses_at_once_when_the_expected_wait_is_too_long(self):
        subject = admission(slots=1)
        subject.submit(admission_request(0), 0)
        subject.release("model", "r0", 100)
        for number in range(1, 6):
            subject.submit(admission_request(number), 100)
        refusal = subject.submit(admission_request(9, target_ms=300), 100)
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual(refusal.rule, "wait-too-long")
        self.assertGreaterEqual(refusal.retry_after_ms, 100)

    def test_refuses_beyond_the_customer_share_of_the_queue(self):
        subject = admission(slots=1, max_queued=10, customers=5)
        results = [subject.submit(admission_request(n, "large"), 0) for n in range(5)]
        types = [type(result) for result in results]
        self.assertEqual(types, [Admit, Wait, Wait, Refuse, Refuse])
        self.assertIsInstance(subject.submit(admission_request(9, "small"), 0), Wait)

    def test_a_waiting_request_is_refused_once_it_cannot_start_in_time(self):
        subject = admission(slots=1)
        subject.submit(admission_request(1), 0)
        subject.submit(admission_request(2, target_ms=200), 0)
        self.assertEqual(subject.next_expiry_ms(), 201)
        self.assertEqual(subject.pop_decisions(200), ())
        (refusal,) = subject.pop_decisions(201)
        self.assertEqual(refusal.rule, "waited-out")
        self.assertIsNone(subject.next_expiry_ms())

    def test_more_slots_admit_as_many_waiting_requests(self):
        subject = admission(slots=1)
        for number in range(4):
            subject.submit(admission_request(number), 0)
        subject.set_slots("model", 4)
        self.assertIsInstance(subject.submit(admission_request(9), 0), Wait)
        ready = [result.request_id for result in subject.pop_decisions(0)]
        self.assertEqual(ready, ["r1", "r2", "r3"])

    def test_long_endpoint_queues_lower_the_limit_until_they_shorten(self):
        subject = admission(slots=100)
        bounds = []
        for number in range(120):
            queue_ms = 2_000 if number < 40 else 0
            request = admission_request(
                number, queue_ms=queue_ms, predicted_ms=queue_ms + 100
            )
            bounds.append(subject.submit(request, number * 100).bound)
            subject.release("model", f"r{number}", number * 100)
        self.assertLess(bounds[39], 20)
        self.assertEqual(bounds[-1], 100)

    def test_a_withdrawn_request_is_not_admitted_later(self):
        subject = admission(slots=1)
        subject.submit(admission_request(1), 0)
        subject.submit(admission_request(2), 0)
        self.assertTrue(subject.withdraw("model", "r2"))
        subject.release("model", "r1", 1)
        self.assertEqual(subject.pop_decisions(1), ())
        self.assertEqual(subject.queued_count("model"), 0)

    def test_the_request_with_less_slack_is_admitted_first(self):
        subject = admission(slots=1)
        subject.submit(admission_request(0), 0)
        subject.submit(
            admission_request(1, request_class="report", target_ms=60_000), 0
        )
        subject.submit(admission_request(2, "other", target_ms=2_000), 0)
        subject.submit(admission_request(3, target_ms=1_000), 0)
        order = []
        for number in (0, 3, 2):
            subject.release("model", f"r{number}", 1)
            order += [ready.request_id for ready in subject.pop_decisions(1)]
        self.assertEqual(order, ["r3", "r2", "r1"])


class FairnessTest(unittest.TestCase):
    def _serve(self, subject, requests, rounds, step_ms=10):
        """Submit all, complete one request per step; return tokens by customer."""
        served = Counter()
        results = [subject.submit(request, 0) for request in requests]
        running = [result for result in results if isinstance(result, Admit)]
        for step in range(rounds):
            now_ms = step * step_ms
            running += subject.pop_decisions(now_ms)
            done = running.pop(0)
            served[done.customer] += done.cost_tokens
            subject.release("model", done.request_id, now_ms)
        return served

    def test_a_small_customer_gets_its_share_beside_a_large_burst(self):
        subject = admission(slots=4)
        requests = [
            admission_request(f"l{n}", "large", cost_tokens=400) for n in range(1_000)
        ]
        for customer in ("s1", "s2", "s3", "s4"):
            requests += [
                admission_request(f"{customer}-{n}", customer) for n in range(300)
            ]
        served = self._serve(subject, requests, rounds=600)
        fair = sum(served.values()) / 5
        self.assertEqual(len(served), 5)
        self.assertGreaterEqual(min(served.values()), 0.8 * fair)

    def test_a_customer_is_charged_the_true_cost_of_its_requests(self):
        subject = admission(slots=1)
        subject.submit(admission_request("first", "greedy"), 0)
        for number in range(100):
            subject.submit(admission_request(f"g{number}", "greedy"), 0)
            subject.submit(admission_request(f"h{number}", "honest"), 0)
        served, last = Counter(), "rfirst"
        for _ in range(60):
            used = 900 if last.startswith(("rg", "rf")) else 100
            subject.release("model", last, 1, used_tokens=used)
            (ready,) = subject.pop_decisions(1)
            last = ready.request_id
            served[ready.customer] += 1
        self.assertGreater(served["honest"], 4 * served["greedy"])

    def test_a_customer_pays_nothing_later_for_use_while_alone(self):
        subject = admission(slots=1)
        for number in range(500):
            subject.submit(admission_request(f"a{number}", "alone"), 0)
            subject.release("model", f"ra{number}", 0)
        requests = [admission_request(f"b{n}", "late") for n in range(200)]
        requests += [admission_request(f"c{n}", "alone") for n in range(200)]
        served = self._serve(subject, requests, rounds=100)
        self.assertGreaterEqual(served["alone"], 0.8 * sum(served.values()) / 2)


class InvariantTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["offer", "release", "withdraw", "later"]),
                st.integers(0, 3),
                st.integers(1, 500),
            ),
            max_size=80,
        ),
        slots=st.integers(1, 4),
    )
    def test_is_work_conserving_bounded_and_decides_once(self, steps, slots):
        subject = admission(slots=slots, max_queued=12, customers=4)
        now_ms = 0
        running, waiting, decided = [], set(), set()
        for number, (action, which, size) in enumerate(steps):
            if action == "offer":
                request = admission_request(
                    number, f"c{which}", cost_tokens=size, target_ms=1 + size * 10
                )
                result = subject.submit(request, now_ms)
                if isinstance(result, Wait):
                    waiting.add(request.request_id)
                elif isinstance(result, Admit):
                    running.append(request.request_id)
            elif action == "release" and running:
                subject.release("model", running.pop(which % len(running)), now_ms)
            elif action == "withdraw" and waiting:
                name = sorted(waiting)[which % len(waiting)]
                waiting.discard(name)
                self.assertTrue(subject.withdraw("model", name))
            else:
                now_ms += size
            for ready in subject.pop_decisions(now_ms):
                self.assertIn(ready.request_id, waiting)
                waiting.discard(ready.request_id)
                self.assertNotIn(ready.request_id, decided)
                decided.add(ready.request_id)
                if isinstance(ready, Admit):
                    running.append(ready.request_id)
            self.assertEqual(subject.queued_count("model"), len(waiting))
            self.assertLessEqual(len(waiting), 12)
            self.assertEqual(subject.in_flight_count("model"), len(running))
            if waiting:
                self.assertFalse(subject.has_room("model"))


if __name__ == "__main__":
    unittest.main()
