"""Whose requests are shed while callers hold too much, without a network."""

from __future__ import annotations

import random
import resource
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from _monsoonpulley.callerbudget import (
    GRACE_MS,
    MIN_BYTES_PER_MS,
    ORDINARY_BYTES,
    BudgetLimits,
    CallerBudget,
    Stage,
)

MB = 1_000_000
LIMITS = BudgetLimits(max_bytes=40 * MB, max_connections=100, backlog=10)
CONNECTION_BYTES = 4_000


class Client:
    """A caller that does what the budget tells its connection."""

    def __init__(self, budget: CallerBudget, now_ms: int = 0):
        self.budget = budget
        self.has_dropped = False
        self.is_disconnected = False
        self.holding = budget.open(self, now_ms, CONNECTION_BYTES)

    def receive(self, now_ms: int, pending_bytes: int, moved_bytes: int = 0) -> None:
        """Hold an incomplete request."""
        self._update(Stage.RECEIVING, now_ms, CONNECTION_BYTES, pending_bytes)
        self.holding.moved_bytes = moved_bytes

    def answer(self, now_ms: int, unread_bytes: int, moved_bytes: int = 0) -> None:
        """Hold an answer that the caller has not read yet."""
        self._update(
            Stage.RECEIVING, now_ms, CONNECTION_BYTES, unread_bytes, unread_bytes
        )
        self.holding.moved_bytes = moved_bytes

    def serve(self, now_ms: int, kept_bytes: int) -> None:
        """Hold a complete request that is being served."""
        self._update(Stage.SERVING, now_ms, kept_bytes, 0)

    def drop_pending(self) -> None:
        self.has_dropped = True
        self._update(self.holding.stage, 0, self.holding.kept_bytes, 0)

    def disconnect(self) -> None:
        self.is_disconnected = True

    def _update(
        self,
        stage: Stage,
        now_ms: int,
        kept_bytes: int,
        pending_bytes: int,
        unread_bytes: int = 0,
    ) -> None:
        self.budget.update(
            self.holding, stage, now_ms, kept_bytes, pending_bytes, unread_bytes
        )


class BudgetCase(unittest.TestCase):
    def setUp(self):
        self.budget = CallerBudget(LIMITS)

    def clients(self, count: int, now_ms: int = 0) -> list[Client]:
        return [Client(self.budget, now_ms) for _ in range(count)]


class TestMemory(BudgetCase):
    """Guards against callers that take the memory of a process, or of one another."""

    def test_nobody_is_shed_while_the_budget_suffices(self):
        for client in self.clients(6):
            client.receive(0, 4 * MB)
        self.budget.relieve(3_600_000)
        self.assertIsNone(self.budget.take_report())

    def test_those_that_do_not_finish_are_shed_first(self):
        stalled = self.clients(7)
        for client in stalled:
            client.receive(0, 4 * MB, moved_bytes=4 * MB)
        now_ms = GRACE_MS + 4 * MB // MIN_BYTES_PER_MS + 1
        (ordinary,) = self.clients(1)
        ordinary.receive(now_ms, 30_000)
        (large,) = self.clients(1)
        large.receive(now_ms, 4 * MB)
        self.budget.relieve(now_ms)
        self.assertFalse(ordinary.has_dropped or large.has_dropped)
        self.assertTrue(any(client.has_dropped for client in stalled))
        self.assertFalse(self.budget.is_short_for_large)

    def test_of_large_requests_that_arrive_well_the_newest_is_shed(self):
        clients = self.clients(10)
        for number, client in enumerate(clients):
            client.receive(number, 4 * MB, moved_bytes=4 * MB)
            self.budget.relieve(number)
        dropped = [client.has_dropped for client in clients]
        self.assertEqual(dropped, [False] * 7 + [True] * 3)

    def test_large_requests_leave_room_for_ordinary_ones(self):
        for number, client in enumerate(self.clients(30)):
            client.receive(number, 4 * MB, moved_bytes=4 * MB)
            self.budget.relieve(number)
        for client in self.clients(40):
            client.receive(30, 200_000)
            self.budget.relieve(30)
            self.assertFalse(client.has_dropped)

    def test_a_caller_that_sends_slowly_is_overdue(self):
        slow, fast = self.clients(2)
        for client in (slow, fast):
            client.receive(0, 16 * MB)
        now_ms = 10_000
        slow.holding.moved_bytes = MIN_BYTES_PER_MS * now_ms // 2
        fast.holding.moved_bytes = MIN_BYTES_PER_MS * now_ms
        self.budget.relieve(now_ms)
        self.assertTrue(slow.has_dropped)
        self.assertFalse(fast.has_dropped)

    def test_requests_that_are_served_are_not_shed(self):
        for client in (clients := self.clients(20)):
            client.serve(0, 4 * MB)
        (asking,) = self.clients(1)
        asking.receive(3_600_000, 1_000)
        self.budget.relieve(3_600_000)
        self.assertFalse(any(client.has_dropped for client in clients))
        self.assertTrue(asking.has_dropped)

    def test_many_small_ones_are_shed_to_the_limit(self):
        for client in (clients := self.clients(90)):
            client.receive(0, 500_000)
        self.budget.relieve(0)
        self.assertFalse(self.budget.is_short)
        self.assertLess(sum(client.has_dropped for client in clients), 45)

    def test_shared_memory_counts(self):
        (client,) = self.clients(1)
        client.receive(0, 1 * MB)
        self.budget.add_shared(40 * MB)
        self.budget.relieve(0)
        self.assertTrue(client.has_dropped)
        self.budget.add_shared(-40 * MB)
        self.assertFalse(self.budget.is_short)

    def test_a_report_says_what_happened_once(self):
        for client in self.clients(20):
            client.receive(0, 4 * MB)
        self.budget.relieve(3_600_000)
        self.budget.record_refusal(431)
        report = self.budget.take_report()
        self.assertGreater(report.shed["overdue"], 12)
        self.assertEqual(report.refused_statuses, {"431": 1})
        self.assertEqual(report.connections, 20)
        self.assertIsNone(self.budget.take_report())


class TestSoundCallers(BudgetCase):
    """Guards against callers that are shed as they look like those that misbehave."""

    def test_an_answer_that_is_being_read_is_kept_beside_incomplete_requests(self):
        for number, client in enumerate(self.clients(7)):
            client.receive(number, 4 * MB, moved_bytes=4 * MB)
        (reader,) = self.clients(1, now_ms=10)
        reader.answer(10, 4 * MB)
        self.budget.relieve(10)
        self.assertFalse(reader.has_dropped)
        self.assertFalse(self.budget.is_short_for_large)

    def test_of_answers_that_of_longest_unread_is_shed_first(self):
        clients = self.clients(8)
        for number, client in enumerate(clients):
            client.answer(number, 4 * MB)
        self.budget.relieve(10)
        dropped = [client.has_dropped for client in clients]
        self.assertEqual(dropped, [True] + [False] * 7)

    def test_an_answer_that_is_read_slowly_but_well_is_no_fault(self):
        stalled, reader = self.clients(2)
        for client in (stalled, reader):
            client.answer(0, 16 * MB)
        now_ms = 10_000
        reader.holding.moved_bytes = MIN_BYTES_PER_MS * now_ms
        self.budget.relieve(now_ms)
        self.assertTrue(stalled.has_dropped)
        self.assertFalse(reader.has_dropped)

    def test_after_a_standstill_those_that_stalled_before_are_shed_first(self):
        stalled = self.clients(7)
        for client in stalled:
            client.receive(0, 4 * MB, moved_bytes=4 * MB)
        frozen_ms, woken_ms = 70_000, 75_000
        (sound,) = self.clients(1, now_ms=frozen_ms)
        sound.receive(frozen_ms, 4 * MB, moved_bytes=100_000)
        self.assertGreater(sound.holding.overdue_ms(woken_ms), 0)
        self.budget.relieve(woken_ms)
        self.assertFalse(sound.has_dropped)
        self.assertTrue(any(client.has_dropped for client in stalled))

    def test_a_small_request_that_is_late_stays_beside_large_ones(self):
        (late,) = self.clients(1)
        late.receive(0, 20_000, moved_bytes=100)
        for client in self.clients(11):
            client.receive(0, 4 * MB, moved_bytes=4 * MB)
        self.budget.relieve(3_600_000)
        self.assertFalse(late.has_dropped)


class TestConnections(BudgetCase):
    """Guards against callers that take all connections of a process."""

    def test_idle_ones_without_a_request_are_closed_first(self):
        served = self.clients(50)
        for client in served:
            client.serve(0, 10_000)
            client._update(Stage.IDLE, 0, CONNECTION_BYTES, 0)
        unused = self.clients(50, now_ms=1)
        newest = Client(self.budget, 2)
        self.assertIsNotNone(newest.holding)
        self.assertFalse(any(client.is_disconnected for client in served))
        self.assertTrue(any(client.is_disconnected for client in unused))

    def test_then_those_that_receive_for_longest(self):
        clients = self.clients(100)
        for number, client in enumerate(clients):
            client.receive(number, 100)
        self.assertIsNotNone(Client(self.budget, 200).holding)
        closed = [client.is_disconnected for client in clients]
        self.assertEqual(closed, sorted(closed, reverse=True))
        self.assertIn(True, closed)

    def test_none_that_serves_a_request_is_closed(self):
        for client in (clients := self.clients(100)):
            client.serve(0, 10_000)
        self.assertIsNone(Client(self.budget, 1).holding)
        self.assertFalse(any(client.is_disconnected for client in clients))

    def test_a_closed_one_holds_nothing(self):
        client = Client(self.budget)
        client.receive(0, ORDINARY_BYTES + 1)
        self.budget.close(client.holding)
        self.budget.close(client.holding)
        client.receive(0, 1 * MB)
        self.assertEqual(self.budget.held_bytes, 0)
        self.assertEqual(self.budget.large_bytes, 0)
        self.assertEqual(self.budget.connection_count, 0)


class TestSums(unittest.TestCase):
    @given(st.integers(0, 2**32))
    def test_the_sums_are_those_of_the_connections(self, seed):
        rng = random.Random(seed)
        budget = CallerBudget(LIMITS)
        clients = [Client(budget) for _ in range(20)]
        for now_ms in range(200):
            client = rng.choice(clients)
            if rng.random() < 0.1:
                budget.close(client.holding)
            elif rng.random() < 0.5:
                client.receive(now_ms * 50, rng.randrange(4 * MB))
            else:
                client.serve(now_ms * 50, rng.randrange(1 * MB))
            budget.relieve(now_ms * 50)
        held = [h.held_bytes for h in budget._holdings]
        self.assertEqual(budget.held_bytes, sum(held))
        large = [size for size in held if size > ORDINARY_BYTES]
        self.assertEqual(budget.large_bytes, sum(large))


class TestLimits(unittest.TestCase):
    def test_follow_from_the_users_smallest_machines(self):
        limits = BudgetLimits.from_machine(200 * MB, 4_100)
        self.assertEqual(limits.max_bytes, 80 * MB)
        self.assertEqual(limits.max_connections, 1_950)
        self.assertEqual(limits.backlog, 975)

    def test_the_largest_body_of_the_users_fits_alone(self):
        limits = BudgetLimits.from_machine(128 * MB, 600)
        self.assertGreater(limits.max_large_bytes, 2 * 4_194_304)

    def test_of_the_machine_are_the_default(self):
        for descriptor_limit in (1_024, resource.RLIM_INFINITY):
            with mock.patch("resource.getrlimit", return_value=(descriptor_limit, 0)):
                limits = BudgetLimits.from_machine()
            self.assertGreater(limits.max_bytes, 0)
            self.assertGreater(limits.max_connections, 400)
            self.assertGreater(limits.backlog, 200)


if __name__ == "__main__":
    unittest.main()
