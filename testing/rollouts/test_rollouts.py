"""Versions taking over over several instances, good and bad ones."""

from __future__ import annotations

import random
import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.control.leases import Hold
from _monsoonpulley.control.verdict import Result
from _monsoonpulley.duties.rollout import RolloutDuty
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.fleet.model import Endpoint
from _monsoonpulley.ids import EndpointId, ServiceId, VersionId, ZoneId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.platform.rollouts import (
    RolloutOrder,
    RolloutStatus,
    decode_order,
    decode_status,
    encode_status,
)
from _monsoonpulley.platform.store import Conflict, Row
from _monsoonpulley.rollouts.recall import RolloutRecall
from _monsoonpulley.rollouts.rollouts import SHARES, Phase, Rollouts

SERVICE, OLD, NEW = ServiceId("svc"), VersionId("v1"), VersionId("v2")
ORDER = RolloutOrder(SERVICE, NEW, 15_000, 10)


def endpoint(name: str, version: VersionId) -> Endpoint:
    return Endpoint(
        id=EndpointId(name),
        started_wall_ms=None,
        service=SERVICE,
        ip="10.0.0.1",
        port=80,
        zone=ZoneId("zone-a"),
        version=version,
        slots=8,
    )


ENDPOINTS = tuple(
    endpoint(f"{version}-{n}", version) for version in (OLD, NEW) for n in range(3)
)


def result(version, is_failure=False, first_ms=100, route="r-1", number=0) -> Result:
    return Result(
        service=SERVICE,
        version=version,
        route=route,
        endpoint=EndpointId(f"{version}-{number % 3}"),
        is_failure=is_failure,
        first_answer_ms=first_ms,
        target_ms=500,
        gap_ms=None,
    )


class StatusStore:
    """The status rows, with lost answers on request."""

    def __init__(self):
        self.row: Row | None = None
        self.version = 100
        self.loses = False

    async def get_one(self, table, key):
        return self.row

    async def write(self, *, expect, put):
        known = self.row.row_version if self.row else 0
        if expect[0].row_version != known:
            return Conflict((self.row,) if self.row else ())
        self.version += 1
        self.row = Row(put[0].key, put[0].value, self.version)
        if self.loses:
            return Failure(Reason.TIMEOUT, "store.write", delivery=Delivery.MAYBE)
        return self.version

    @property
    def status(self):
        return None if self.row is None else decode_status(self.row.value)[1]


class Directory:
    """Endpoints that are ready."""

    def __init__(self, endpoints=ENDPOINTS):
        self.endpoints = endpoints

    def ready_endpoints(self, service):
        return self.endpoints


class Instance:
    """Roll-outs of one instance, and the duty if it holds it."""

    def __init__(self, clock, store, seed=1):
        log = Log(clock, lambda line: None)
        self.rollouts = Rollouts(clock, log, random.Random(seed))
        self.recall = RolloutRecall(self.rollouts, store, clock, log)
        self.directory = Directory()
        self.duty = RolloutDuty(self.rollouts, self.recall, self.directory, store, log)


class RolloutTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.store = StatusStore()
        self.instances = [Instance(self.clock, self.store, n) for n in range(4)]
        self.sent_new = self.sent = 0
        self.number = 0

    async def order(self, order=ORDER):
        for each in self.instances:
            each.rollouts.set_order(order)
            await each.recall.read(order)

    async def play(self, duration_ms, answer, *, per_step=2):
        """Send requests every 100 ms; share results every 450 ms."""
        hold = Hold(1, lambda *_: True)
        for step in range(duration_ms // 100):
            self.clock.advance_ms(100)
            for each in self.instances:
                for _ in range(per_step):
                    self._send(each, answer)
            if step % 5 == 0:
                await self.instances[0].duty.step(hold)
                self._exchange()

    def _send(self, instance, answer):
        allowed = instance.rollouts.allowed(SERVICE, instance.directory.endpoints)
        if not allowed:
            return
        self.number += 1
        version = allowed[self.number % len(allowed)].version
        self.sent += 1
        self.sent_new += version == NEW
        instance.rollouts.note(answer(version, self.number))

    def _exchange(self):
        told = [
            (each.rollouts.progress(), each.rollouts.take_outbox())
            for each in self.instances
        ]
        for index, each in enumerate(self.instances):
            for other, (progress, results) in enumerate(told):
                if other != index:
                    each.rollouts.hear(progress, results)

    def phases(self):
        return {each.rollouts.phase(ORDER) for each in self.instances}


def good(version, number):
    return result(version, number % 50 == 0, 100 + number % 40, number=number)


class TestTakeOver(RolloutTest):
    async def test_a_good_version_is_done_by_its_deadline(self):
        await self.order()
        await self.play(15_000, good)
        self.assertEqual(self.phases(), {Phase.DONE})
        self.assertIs(self.store.status, RolloutStatus.DONE)

    async def test_all_traffic_has_moved_before_it_is_done(self):
        await self.order()
        while self.store.status is not RolloutStatus.DONE:
            self.sent = self.sent_new = 0
            await self.play(500, good)
        self.assertEqual(self.sent, self.sent_new)

    async def test_without_an_order_all_endpoints_are_allowed(self):
        allowed = self.instances[0].rollouts.allowed(SERVICE, ENDPOINTS)
        self.assertEqual(allowed, ENDPOINTS)

    async def test_a_lost_answer_of_the_store_is_settled(self):
        await self.order()
        await self.play(9_000, good)
        self.store.loses = True
        await self.play(3_000, good)
        self.store.loses = False
        await self.play(3_000, good)
        self.assertIs(self.store.status, RolloutStatus.DONE)
        self.assertEqual(self.phases(), {Phase.DONE})

    async def test_the_next_holder_goes_on(self):
        await self.order()
        await self.play(8_000, good)
        self.instances[0], self.instances[1] = self.instances[1], self.instances[0]
        await self.play(7_000, good)
        self.assertIs(self.store.status, RolloutStatus.DONE)

    async def test_a_version_that_never_comes_is_taken_back(self):
        await self.order()
        for each in self.instances:
            each.directory.endpoints = ENDPOINTS[:3]
        await self.play(15_000, good)
        self.assertIs(self.store.status, RolloutStatus.TAKEN_BACK)
        self.assertEqual(self.sent_new, 0)


class TestUnconfirmedEnd(RolloutTest):
    async def test_done_is_not_taken_back_although_its_answer_was_lost(self):
        # The old version's endpoints have stopped by then.
        await self.order()
        await self.play(13_500, good)
        self.assertEqual(self.phases(), {Phase.FULL})
        self.store.loses = True
        while self.store.status is not RolloutStatus.DONE:
            await self.play(500, good)
        self.store.loses = False
        for each in self.instances:
            each.rollouts.advance(ORDER, Phase.TAKEN_BACK, "a late fault")
        await self.play(1_500, good)
        self.assertIs(self.store.status, RolloutStatus.DONE)
        self.assertEqual(self.phases(), {Phase.DONE})

    async def test_a_holder_that_never_heard_of_the_end_does_not_undo_it(self):
        await self.order()
        row = encode_status(ORDER, RolloutStatus.DONE)
        self.store.row = Row("rollout/svc", row, 50)
        for each in self.instances:
            each.rollouts.advance(ORDER, Phase.TAKEN_BACK, "a late fault")
        await self.play(1_500, good)
        self.assertIs(self.store.status, RolloutStatus.DONE)

    async def test_the_end_of_an_earlier_order_is_overwritten(self):
        row = encode_status(ORDER, RolloutStatus.DONE)
        self.store.row = Row("rollout/svc", row, 5)
        await self.order()
        await self.play(2_000, good)
        self.assertIs(self.store.status, RolloutStatus.RUNNING)


class TestBadVersions(RolloutTest):
    EXPOSURE = 0.1
    """Share of the requests that a bad version may get until its deadline."""

    async def assert_taken_back(self, answer):
        await self.order()
        await self.play(15_000, answer, per_step=4)
        self.assertEqual(self.phases(), {Phase.TAKEN_BACK})
        self.assertIs(self.store.status, RolloutStatus.TAKEN_BACK)
        self.assertLessEqual(self.sent_new, self.EXPOSURE * self.sent + 50)

    async def test_one_that_fails_half_of_its_requests(self):
        await self.assert_taken_back(
            lambda version, n: result(version, version == NEW and n % 2 == 0, number=n)
        )

    async def test_one_that_is_slow(self):
        await self.assert_taken_back(
            lambda version, n: result(
                version, first_ms=800 if version == NEW else 100 + n % 40, number=n
            )
        )

    async def test_one_that_fails_on_one_route_only(self):
        def answer(version, n):
            route = f"r-{n % 4}"
            bad = version == NEW and route == "r-3"
            return result(version, bad, route=route, number=n)

        await self.assert_taken_back(answer)

    async def test_one_that_turns_bad_late(self):
        def answer(version, n):
            late = self.clock.now_ms() > 1_000 + 7_000
            return result(version, late and version == NEW and n % 2 == 0, number=n)

        await self.assert_taken_back(answer)

    async def test_one_that_turns_bad_under_load(self):
        def answer(version, n):
            loaded = SHARES.get(self.instances[0].rollouts.phase(ORDER), 0) >= 0.2
            return result(version, loaded and version == NEW and n % 2 == 0, number=n)

        await self.assert_taken_back(answer)

    async def test_trouble_that_both_versions_meet_takes_nothing_back(self):
        await self.order()
        await self.play(15_000, lambda v, n: result(v, n % 5 == 0, number=n))
        self.assertIs(self.store.status, RolloutStatus.DONE)


class TestConcentration(RolloutTest):
    async def test_few_endpoints_of_a_new_version_see_more_than_the_usual_load(self):
        await self.order()
        old = tuple(endpoint(f"o-{n}", OLD) for n in range(8))
        new = tuple(endpoint(f"n-{n}", NEW) for n in range(8))
        for phase, most in ((Phase.CANARY, 1), (Phase.RAMP, 1), (Phase.HALF, 2)):
            used = set()
            for each in self.instances:
                each.rollouts.advance(ORDER, phase, "test")
                for _ in range(200):
                    used |= set(each.rollouts.allowed(SERVICE, old + new))
            with self.subTest(phase=phase):
                self.assertEqual(sum(e.version == NEW for e in used), most)

    async def test_with_all_traffic_all_endpoints_are_used(self):
        await self.order()
        rollouts = self.instances[0].rollouts
        rollouts.advance(ORDER, Phase.FULL, "test")
        allowed = rollouts.allowed(SERVICE, ENDPOINTS)
        self.assertEqual({e.version for e in allowed}, {NEW})
        self.assertEqual(len(allowed), 3)


class TestKnowledge(RolloutTest):
    async def test_taken_back_stays_so_for_an_order(self):
        await self.order()
        rollouts = self.instances[0].rollouts
        rollouts.advance(ORDER, Phase.TAKEN_BACK, "test")
        rollouts.advance(ORDER, Phase.CANARY, "test")
        self.assertIs(rollouts.phase(ORDER), Phase.TAKEN_BACK)
        allowed = rollouts.allowed(SERVICE, ENDPOINTS)
        self.assertEqual({e.version for e in allowed}, {OLD})

    async def test_the_same_version_may_be_ordered_again(self):
        await self.order()
        rollouts = self.instances[0].rollouts
        rollouts.advance(ORDER, Phase.TAKEN_BACK, "test")
        again = RolloutOrder(SERVICE, NEW, 15_000, 20)
        rollouts.set_order(again)
        self.assertIs(rollouts.phase(again), Phase.HELD)
        self.assertIsNone(rollouts.phase(ORDER))

    async def test_a_restarted_instance_learns_how_an_order_ended(self):
        for status, phase in (
            (RolloutStatus.DONE, Phase.DONE),
            (RolloutStatus.TAKEN_BACK, Phase.TAKEN_BACK),
            (RolloutStatus.RUNNING, Phase.HELD),
        ):
            with self.subTest(status=status):
                self.store.row = Row("x", encode_status(ORDER, status), 50)
                fresh = Instance(self.clock, self.store)
                fresh.rollouts.set_order(ORDER)
                await fresh.recall.read(ORDER)
                self.assertIs(fresh.rollouts.phase(ORDER), phase)

    async def test_the_end_of_an_earlier_order_means_nothing_for_a_new_one(self):
        self.store.row = Row("x", encode_status(ORDER, RolloutStatus.DONE), 5)
        await self.order()
        self.assertEqual(self.phases(), {Phase.HELD})

    async def test_until_the_status_is_read_a_new_version_gets_nothing(self):
        rollouts = self.instances[0].rollouts
        rollouts.set_order(ORDER)
        for _ in range(100):
            versions = {e.version for e in rollouts.allowed(SERVICE, ENDPOINTS)}
            self.assertEqual(versions, {OLD})

    async def test_what_can_not_be_read_is_a_failure(self):
        for value in (b"", b"{}", b'{"service":1,"to":"v2","duration_s":3}'):
            self.assertIsInstance(decode_order(value, 1), Failure)
        self.assertIsInstance(decode_status(b'{"to":"v2","state":"x"}'), Failure)


if __name__ == "__main__":
    unittest.main()
