"""Cold endpoints, and the bound on what all instances together send them."""

from __future__ import annotations

import math
import random
import unittest

import msgspec

from _monsoonpulley.fleet.model import Configuration, Endpoint, Service
from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from _monsoonpulley.limits.coldendpoints import ColdEndpoints, ColdSource
from _monsoonpulley.limits.sharers import SETTLE_MS, Sharers
from _monsoonpulley.wire.serverconnection import CallerLimits

SIZES = (9, 65, 300)
PER_S, OVERAGE, SLACK = 8.8, 1.5, 5
ALLOWED = PER_S * OVERAGE + SLACK
"""Requests that users allow a cold endpoint in any second, of all instances."""

COLD_MS = 3_000
STEP_MS = 20
START_MS = 10_000

E = Endpoint(
    EndpointId("e-1"),
    None,
    ServiceId("s"),
    "10.0.0.1",
    1,
    ZoneId("z"),
    VersionId("v"),
    4,
)


def configuration(cold_per_s: float = PER_S) -> Configuration:
    service = Service(E.service, "/", 100, None, None, COLD_MS, cold_per_s)
    return Configuration(1, {}, {E.service: service}, {}, {}, False, CallerLimits())


def row(cold_for_ms: int | None) -> Endpoint:
    return msgspec.structs.replace(E, cold_for_ms=cold_for_ms)


class Fleet:
    """Instances that would each send a request to one endpoint in every step."""

    WARM_PER_S = 17.0
    """Requests before a row is seen, so that a few more would exceed the bound."""

    def __init__(self, count: int, *, settles: bool = True, cold_per_s: float = PER_S):
        self.rng = random.Random(count)
        self.now_ms = START_MS
        self.names = [InstanceId(f"i-{n}") for n in range(count)]
        self.sharers: dict[InstanceId, Sharers] = {}
        self.cold: dict[InstanceId, ColdEndpoints] = {}
        self.configuration = configuration(cold_per_s)
        for name in self.names:
            self.make(name)
        for name in self.names if settles else ():
            self.know(name, self.names)
            self.sharers[name].record_contact(count - 1, True, 0)
            self.sharers[name].record_contact(count - 1, True, SETTLE_MS)
        self.sent_ms: list[int] = []

    def make(self, name):
        sharers = self.sharers[name] = Sharers(name)
        cold = ColdEndpoints(sharers, random.Random(0), OVERAGE, SLACK)
        cold.configure(self.configuration)
        self.cold[name] = cold

    def restart(self, name):
        """Let an instance know nothing but the rows that it reads at its start."""
        self.make(name)
        self.know(name, self.names)
        self.sharers[name].record_contact(0, True, self.now_ms)
        self.cold[name].record_row(row(COLD_MS), self.now_ms, False, self.now_ms)

    def know(self, name, names):
        self.sharers[name].set_instances([n for n in names if n != name])

    def play(self, duration_ms, rows=(), frozen=(), per_s=math.inf):
        """Let time pass.

        ``rows`` are triples of time, instance and row; ``per_s`` limits what callers
        send to all instances.
        """
        rows = sorted(rows, key=lambda each: each[0])
        end_ms, budget = self.now_ms + duration_ms, 0.0
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            while rows and rows[0][0] <= self.now_ms:
                _, name, each, has_started = rows.pop(0)
                version = self.now_ms
                self.cold[name].record_row(each, version, has_started, self.now_ms)
            budget = min(budget + per_s * STEP_MS / 1000, len(self.names))
            for name in self.rng.sample(self.names, len(self.names)):
                if name not in frozen:
                    self.cold[name].record_time(self.now_ms)
                    budget -= budget >= 1 and self.try_send(name)

    def try_send(self, name) -> bool:
        cold = self.cold[name]
        if not cold.usable_endpoints((E,), self.now_ms):
            return False
        cold.record_choice(E)
        cold.record_send(E, self.now_ms)
        self.sent_ms.append(self.now_ms)
        return True

    def busiest_second(self, from_ms=0) -> int:
        """Return the most requests in a second that begins at ``from_ms`` or later."""
        times = [ms for ms in self.sent_ms if ms >= from_ms]
        return max(
            (sum(t <= ms < t + 1_000 for ms in times) for t in set(times)), default=0
        )

    def row_at(self, each, earliest_ms, latest_ms, *, has_started=False):
        """Return the row as each instance sees it, at different times."""
        return [
            (self.rng.randint(earliest_ms, latest_ms), name, each, has_started)
            for name in self.names
        ]


class TestBound(unittest.TestCase):
    """Each case is a way in which instances could send more than the bound together."""

    def play_start(self, fleet, cold_for_ms=COLD_MS, lateness_ms=0):
        rows = fleet.row_at(
            row(cold_for_ms), START_MS, START_MS + lateness_ms, has_started=True
        )
        waiting = {name for _, name, *_ in rows}
        # Before an instance sees its row, it knows no such endpoint.
        for at_ms, name, each, has_started in sorted(rows, key=lambda r: r[0]):
            fleet.play(max(0, at_ms - fleet.now_ms), frozen=waiting)
            fleet.cold[name].record_row(each, at_ms, has_started, fleet.now_ms)
            waiting.discard(name)
        fleet.play(START_MS + COLD_MS - STEP_MS - fleet.now_ms)

    def test_the_play_breaks_the_bound_without_a_limit(self):
        for count in SIZES:
            fleet = Fleet(count, cold_per_s=0)
            self.play_start(fleet)
            self.assertGreater(fleet.busiest_second(), ALLOWED, count)

    def test_instances_keep_it_after_a_start_and_use_their_shares(self):
        for count in SIZES:
            fleet = Fleet(count)
            self.play_start(fleet)
            self.assertLessEqual(fleet.busiest_second(), ALLOWED, count)
            self.assertGreaterEqual(len(fleet.sent_ms), 0.8 * PER_S * COLD_MS / 1000)

    def test_instances_keep_it_whenever_they_see_the_row(self):
        for count in SIZES:
            fleet = Fleet(count)
            self.play_start(fleet, cold_for_ms=None, lateness_ms=2_000)
            self.assertLessEqual(fleet.busiest_second(), ALLOWED, count)

    def test_instances_keep_it_that_all_start_and_hear_nobody(self):
        for count in SIZES:
            fleet = Fleet(count, settles=False)
            for index, name in enumerate(fleet.names):
                # Each reads the rows of those that have registered before it.
                fleet.know(name, fleet.names[:index])
                for at_ms in (0, SETTLE_MS, START_MS):
                    fleet.sharers[name].record_contact(0, True, at_ms)
            self.play_start(fleet)
            self.assertLessEqual(fleet.busiest_second(), ALLOWED, count)

    def test_instances_keep_it_before_they_have_read_the_rows_of_others(self):
        for count in SIZES:
            fleet = Fleet(count, settles=False)
            for sharers in fleet.sharers.values():
                sharers.record_contact(0, False, START_MS)
            self.play_start(fleet)
            self.assertLessEqual(fleet.busiest_second(), ALLOWED, count)

    def test_halves_that_have_forgotten_each_other_keep_it_together(self):
        for count in SIZES:
            fleet = Fleet(count)
            for name in fleet.names:
                half = [n for n in fleet.names if hash_parity(n) == hash_parity(name)]
                fleet.know(name, half)
            self.play_start(fleet)
            self.assertLessEqual(fleet.busiest_second(), ALLOWED, count)

    def test_instances_that_each_know_other_ones_keep_it(self):
        for count in SIZES:
            fleet = Fleet(count)
            for name in fleet.names:
                known = fleet.rng.sample(fleet.names, round(0.75 * count))
                fleet.know(name, known)
            self.play_start(fleet)
            self.assertLessEqual(fleet.busiest_second(), ALLOWED, count)

    def test_instances_that_stood_still_keep_it_until_they_read_the_rows(self):
        for count in SIZES:
            fleet = Fleet(count)
            frozen = set(fleet.names[::2])
            fleet.play(200, fleet.row_at(row(0), START_MS, START_MS), per_s=10)
            seen = fleet.row_at(row(COLD_MS), fleet.now_ms, fleet.now_ms)
            cold_ms = fleet.now_ms
            fleet.play(2_000, [r for r in seen if r[1] not in frozen], frozen)
            fleet.play(800)
            self.assertLessEqual(fleet.busiest_second(cold_ms), ALLOWED, count)

    def test_requests_before_a_late_row_are_part_of_the_second(self):
        for count in SIZES:
            fleet = Fleet(count)
            fleet.play(
                200, fleet.row_at(row(0), START_MS, START_MS), per_s=fleet.WARM_PER_S
            )
            seen_ms = START_MS + 3_000
            fleet.play(2_800, per_s=fleet.WARM_PER_S)
            fleet.play(2_800, fleet.row_at(row(COLD_MS), seen_ms, seen_ms))
            self.assertLessEqual(fleet.busiest_second(START_MS + 1_000), ALLOWED, count)

    def test_instances_that_restart_in_turn_keep_it(self):
        for count in SIZES:
            fleet = Fleet(count)
            # The endpoint is cold again and again.
            for name in fleet.names[:9]:
                seen = fleet.row_at(row(COLD_MS), fleet.now_ms, fleet.now_ms)
                fleet.play(300, seen)
                fleet.restart(name)
                fleet.play(200)
            self.assertLessEqual(fleet.busiest_second(START_MS + 1_000), ALLOWED, count)

    def test_a_rate_below_one_a_second_is_kept_over_longer_times(self):
        fleet = Fleet(9, cold_per_s=0.4)
        self.play_start(fleet)
        self.assertLessEqual(len(fleet.sent_ms), math.ceil(0.4 * COLD_MS / 1000))


def hash_parity(name: InstanceId) -> int:
    return int(name.removeprefix("i-")) % 2


class TestWhen(unittest.TestCase):
    """Grounds on which an endpoint counts as cold, and their ends."""

    def setUp(self):
        self.changes = []
        self.sharers = Sharers(InstanceId("i"))
        self.cold = ColdEndpoints(
            self.sharers, random.Random(0), OVERAGE, SLACK, self.changes.append
        )
        self.cold.configure(configuration())

    def settle(self):
        for now_ms in (0, SETTLE_MS):
            self.sharers.record_contact(0, True, now_ms)

    def is_cold(self, now_ms) -> bool:
        return self.cold.is_cold(E, now_ms)

    def test_the_time_of_a_row_counts_from_when_it_was_first_seen(self):
        self.cold.record_row(row(2_000), 7, False, 1_000)
        self.cold.record_row(row(2_000), 7, False, 2_500)
        self.assertTrue(self.is_cold(2_999))
        self.assertFalse(self.is_cold(3_000))

    def test_an_endpoint_that_was_there_at_the_own_start_is_not_presumed_cold(self):
        self.cold.record_row(row(None), 7, False, 0)
        self.assertFalse(self.is_cold(0))

    def test_a_start_is_presumed_cold_unless_the_row_says_otherwise(self):
        self.cold.record_row(row(None), 7, True, 0)
        self.assertTrue(self.is_cold(COLD_MS - 1))
        self.assertFalse(self.is_cold(COLD_MS))
        self.cold.record_row(row(None), 8, True, 10_000)
        self.cold.record_row(row(0), 9, False, 10_100)
        self.assertFalse(self.is_cold(10_100))

    def test_after_an_evacuation_only_newer_rows_say_that_it_is_warm(self):
        self.cold.record_row(row(0), 7, False, 0)
        self.cold.presume_zone_cold(E.zone, 20, 1_000)
        self.cold.record_row(row(0), 19, False, 1_100)
        self.assertTrue(self.is_cold(1_100))
        self.assertTrue(self.cold.awaits_rows(E.zone, 1_100))
        self.cold.record_row(row(0), 21, False, 1_200)
        self.assertFalse(self.is_cold(1_200))

    def test_a_presumption_ends_by_itself_without_rows(self):
        self.cold.record_row(row(0), 7, False, 0)
        self.cold.presume_zone_cold(E.zone, 20, 1_000)
        self.assertFalse(self.is_cold(1_000 + COLD_MS))
        self.assertFalse(self.cold.awaits_rows(E.zone, 1_000 + COLD_MS))

    def test_rows_that_were_read_before_the_configuration_count(self):
        self.cold.configure(configuration(0))
        self.cold.record_row(row(2_000), 7, False, 0)
        self.cold.configure(configuration())
        self.assertEqual(self.cold.cold_ids((E,), 500), {E.id})
        self.assertEqual(self.cold.usable_endpoints((E,), 500), ())

    def test_services_without_a_rate_have_no_cold_endpoints(self):
        self.cold.configure(configuration(0))
        self.cold.record_row(row(2_000), 7, True, 0)
        self.cold.presume_zone_cold(E.zone, 20, 0)
        self.assertFalse(self.is_cold(0))
        self.assertEqual(self.cold.usable_endpoints((E,), 60_000), (E,))

    def test_changes_are_reported_once_with_their_grounds(self):
        self.cold.record_row(row(2_000), 7, True, 0)
        self.assertEqual(self.cold.update((E,), 500), 1)
        self.assertEqual(self.cold.update((E,), 2_000), 0)
        self.assertEqual(
            [(c.source, c.for_ms, c.row_age_ms) for c in self.changes],
            [(ColdSource.ROW, 2_000, 0), (None, 0, 2_000)],
        )

    def test_a_request_that_was_chosen_before_it_turned_cold_is_not_sent(self):
        self.settle()
        self.cold.record_row(row(0), 7, False, 2_000)
        self.cold.record_choice(E)
        self.cold.record_row(row(2_000), 8, False, 2_100)
        self.assertFalse(self.cold.may_send(E, 2_100))

    def test_a_restart_under_the_same_id_does_not_double_a_second(self):
        """Guards against requests to the process before that the new one gets, too."""
        self.settle()
        self.cold.record_row(row(0), 7, False, 2_000)
        for _ in range(17):
            self.cold.record_choice(E)
            self.cold.record_send(E, 2_500)
        self.cold.remove(E.id)
        self.cold.record_row(row(2_000), 8, True, 2_600)
        self.assertFalse(self.cold.may_send(E, 3_500))
        self.assertTrue(self.cold.may_send(E, 3_700))

    def test_a_request_that_was_not_sent_frees_its_share(self):
        self.settle()
        self.cold.record_row(row(2_000), 7, True, 2_000)
        for _ in range(int(PER_S)):
            self.cold.record_choice(E)
        self.assertGreater(self.cold.wait_ms(E, 2_000), 0)
        self.cold.refund(E.id)
        self.assertEqual(self.cold.wait_ms(E, 2_000), 0)

    def test_refused_callers_get_places_one_after_the_other_until_it_is_warm(self):
        self.settle()
        self.cold.record_row(row(2_000), 7, True, 2_000)
        retries = [self.cold.retry_after_ms((E,), 2_000) for _ in range(40)]
        self.assertLess(retries[0], 1_000)
        self.assertGreater(retries[12], retries[2])
        self.assertLessEqual(max(retries), 2_000 * 1.25)
