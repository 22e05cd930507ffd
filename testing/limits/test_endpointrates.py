"""Rate limits of endpoints, kept by many instances together."""

from __future__ import annotations

import math
import random
import unittest

from _monsoonpulley.fleet.model import Endpoint
from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from _monsoonpulley.limits.endpointrates import EndpointRateLimits
from _monsoonpulley.limits.sharers import Sharers

ENDPOINT = EndpointId("e-1")
STEP_MS = 20
ANSWER_MS = 100
DIGEST_MS = 600
NOTICE_MS = 500
"""Time after its first answer with a limit from which an instance is held to it."""

WINDOW_MS = 4_000


def allowed(per_s: float) -> float:
    """Return the requests that users allow in `WINDOW_MS`."""
    return 1.5 * per_s * WINDOW_MS / 1000 + 5


def endpoint(name: str) -> Endpoint:
    return Endpoint(
        EndpointId(name),
        None,
        ServiceId("s"),
        "10.0.0.1",
        1,
        ZoneId("z"),
        VersionId("v1"),
        4,
    )


def make_limits(name: str, *on_change) -> EndpointRateLimits:
    own = InstanceId(name)
    return EndpointRateLimits(own, Sharers(own), random.Random(0), *on_change)


class Fleet:
    """Instances that always have a request for one endpoint, with lossy digests."""

    def __init__(self, count: int, per_s: float | None, seed: int = 1):
        self.rng = random.Random(seed)
        self.per_s = per_s
        self.now_ms = 0
        self.names = [InstanceId(f"i-{n}") for n in range(count)]
        self.limits = {name: self._make(name) for name in self.names}
        self.told_ms: dict[InstanceId, int] = {}
        self.pending: list[tuple[int, InstanceId]] = []
        self.sends: list[tuple[int, InstanceId]] = []
        self.excused_until_ms: dict[InstanceId, int] = {}

    def _make(self, name):
        sharers = Sharers(name)
        sharers.set_instances([n for n in self.names if n != name])
        return EndpointRateLimits(name, sharers, random.Random(0))

    def restart(self, name):
        self.limits[name] = self._make(name)
        self.told_ms.pop(name, None)
        self.excused_until_ms[name] = self.now_ms + 3_000

    def rest(self, duration_ms):
        """Let time pass without requests."""
        self.now_ms += duration_ms

    def run(self, duration_ms, loss_ratio=0.3):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._deliver_answers()
            if self.now_ms % DIGEST_MS == 0:
                self._exchange_digests(loss_ratio)
            for name in self.rng.sample(self.names, len(self.names)):
                self._try_send(name)

    def _deliver_answers(self):
        due = [p for p in self.pending if p[0] <= self.now_ms]
        self.pending = [p for p in self.pending if p[0] > self.now_ms]
        for _, name in due:
            self.limits[name].record_answer(ENDPOINT, self.per_s, self.now_ms)
            if self.per_s is not None:
                self.told_ms.setdefault(name, self.now_ms)

    def _exchange_digests(self, loss_ratio):
        notices = {n: x.own_notices(self.now_ms) for n, x in self.limits.items()}
        for sender, sent in notices.items():
            for name, limits in self.limits.items():
                if name != sender and self.rng.random() >= loss_ratio:
                    limits.update_peer(sender, sent, self.now_ms)

    def _try_send(self, name):
        limits = self.limits[name]
        if limits.wait_ms(ENDPOINT, self.now_ms) > 0:
            return
        limits.record_send(ENDPOINT, self.now_ms)
        self.pending.append((self.now_ms + ANSWER_MS, name))
        told_ms = self.told_ms.get(name, math.inf)
        is_excused = self.now_ms < self.excused_until_ms.get(name, 0)
        if self.now_ms >= told_ms + NOTICE_MS and not is_excused:
            self.sends.append((self.now_ms, name))

    def busiest_window(self) -> int:
        """Return the most requests in `WINDOW_MS` from instances held to the limit."""
        times = [sent_ms for sent_ms, _ in self.sends]
        return max(
            (
                sum(start < t <= start + WINDOW_MS for t in times)
                for start in range(0, self.now_ms, 100)
            ),
            default=0,
        )


class TestLimit(unittest.TestCase):
    def test_all_instances_together_keep_to_a_limit(self):
        for count in (1, 6, 9, 62, 195):
            for per_s in (0.0, 0.3, 1.6, 5.0, 40.0):
                fleet = Fleet(count, per_s)
                fleet.run(12_000)
                self.assertLessEqual(
                    fleet.busiest_window(), allowed(per_s), (count, per_s)
                )

    def test_requests_saved_up_while_idle_keep_to_a_limit(self):
        for count in (6, 9, 62, 195):
            fleet = Fleet(count, 1.6)
            fleet.run(2_000)
            fleet.rest(600_000)
            fleet.run(5_000)
            self.assertLessEqual(fleet.busiest_window(), allowed(1.6), count)

    def test_instances_that_restart_in_turn_keep_to_a_limit(self):
        for seed in range(5):
            fleet = Fleet(6, 1.6, seed)
            for name in fleet.names * 2:
                fleet.run(1_500)
                fleet.restart(name)
            fleet.run(4_000)
            self.assertLessEqual(fleet.busiest_window(), allowed(1.6), seed)

    def test_a_limit_is_used(self):
        for count in (1, 6, 62):
            fleet = Fleet(count, 5.0)
            fleet.run(20_000)
            self.assertGreaterEqual(len(fleet.sends), 0.8 * 5.0 * 19, count)

    def test_a_request_that_was_not_sent_may_be_replaced_at_once(self):
        limits = make_limits("i")
        limits.record_answer(ENDPOINT, 1.0, 0)
        self.assertEqual(limits.wait_ms(ENDPOINT, 1_000), 0)
        limits.record_send(ENDPOINT, 1_000)
        self.assertGreater(limits.wait_ms(ENDPOINT, 1_000), 0)
        limits.refund(ENDPOINT, 1_000)
        self.assertEqual(limits.wait_ms(ENDPOINT, 1_000), 0)

    def test_only_endpoints_with_a_limit_are_left_out(self):
        limits = make_limits("i")
        limits.record_answer(ENDPOINT, 1.0, 0)
        endpoints = (endpoint("e-1"), endpoint("e-2"))
        self.assertEqual(limits.usable_endpoints(endpoints, 10), endpoints[1:])
        self.assertEqual(limits.usable_endpoints(endpoints, 1_010), endpoints)

    def test_a_refused_request_may_return_when_the_next_one_is_allowed(self):
        limits = make_limits("i")
        limits.record_answer(ENDPOINT, 0.5, 0)
        retry_ms = limits.retry_after_ms((endpoint("e-1"),), 0)
        self.assertTrue(2_000 <= retry_ms <= 4_000, retry_ms)


class TestNotices(unittest.TestCase):
    def setUp(self):
        self.changes = []
        self.limits = make_limits("i-1", lambda *args: self.changes.append(args))

    def test_an_instance_that_hears_of_a_limit_keeps_it(self):
        self.limits.update_peer(InstanceId("i-2"), {ENDPOINT: (1.0, 100)}, 5_000)
        self.assertGreater(self.limits.wait_ms(ENDPOINT, 5_000), 0)
        self.assertEqual(self.changes, [(ENDPOINT, None, 1.0, "i-2")])
        self.assertEqual(self.limits.own_notices(5_000), {})

    def test_an_answer_without_a_limit_ends_it_everywhere(self):
        self.limits.record_answer(ENDPOINT, 1.0, 1_000)
        self.limits.record_answer(ENDPOINT, None, 2_000)
        self.assertEqual(self.limits.wait_ms(ENDPOINT, 2_000), 0)
        other = make_limits("i-2")
        other.update_peer(InstanceId("i-3"), {ENDPOINT: (1.0, 900)}, 2_000)
        other.update_peer(InstanceId("i-1"), self.limits.own_notices(2_100), 2_100)
        self.assertEqual(other.wait_ms(ENDPOINT, 2_100), 0)

    def test_a_notice_older_than_the_last_answer_is_ignored(self):
        self.limits.record_answer(ENDPOINT, 1.0, 1_000)
        self.limits.record_answer(ENDPOINT, None, 2_000)
        self.limits.update_peer(InstanceId("i-2"), {ENDPOINT: (1.0, 500)}, 2_300)
        self.assertEqual(self.limits.wait_ms(ENDPOINT, 2_300), 0)

    def test_a_limit_lasts_until_an_answer_without_it(self):
        self.limits.record_answer(ENDPOINT, 0.0, 0)
        self.assertEqual(self.limits.wait_ms(ENDPOINT, 600_000), 0)
        self.limits.record_send(ENDPOINT, 600_000)
        self.assertGreater(self.limits.wait_ms(ENDPOINT, 600_000), 1_000)

    def test_nothing_is_kept_of_endpoints_without_a_limit(self):
        self.limits.record_answer(ENDPOINT, None, 0)
        self.assertEqual(self.limits.own_notices(0), {})
        self.limits.record_answer(ENDPOINT, 1.0, 0)
        self.limits.record_answer(ENDPOINT, None, 100)
        self.limits.own_notices(60_000)
        self.limits.update_peer(InstanceId("i-2"), {ENDPOINT: (None, 0)}, 60_000)
        self.assertEqual(self.limits.own_notices(60_000), {})
        self.assertEqual(self.limits.limited_count(), 0)

    def test_an_endpoint_that_is_gone_leaves_no_limit(self):
        self.limits.record_answer(ENDPOINT, 1.0, 0)
        self.limits.remove(ENDPOINT)
        self.assertEqual(self.limits.wait_ms(ENDPOINT, 0), 0)
