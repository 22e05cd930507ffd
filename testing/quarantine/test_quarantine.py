"""Entries in force: what ends them, and who may try."""

from __future__ import annotations

import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.ids import Fingerprint, InstanceId, ServiceId, VersionId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.quarantine import quarantine as module
from _monsoonpulley.quarantine.evidence import Entry, QuarantineNews
from _monsoonpulley.quarantine.quarantine import Quarantine

BAD = Fingerprint("part-bad")
SERVICE = ServiceId("svc")
VERSIONS = (VersionId("v1"),)


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000_000, wall_offset_ms=5_000_000)
        self.news: list[QuarantineNews] = []
        self.lifted: list[Entry] = []
        self.quarantine = self.make("instance-1")

    def make(self, name: str) -> Quarantine:
        return Quarantine(
            InstanceId(name),
            self.clock,
            Log(self.clock, lambda line: None),
            self.news.append,
            on_lifted=self.lifted.append,
        )

    def entry(self, *fingerprints: str) -> Entry:
        return Entry(
            fingerprints or (BAD,),
            SERVICE,
            VERSIONS,
            self.clock.wall_ms(),
            "instance-2",
            ("i-1",) * 5,
        )


class TestEntries(QuarantineTest):
    def test_a_request_is_refused_if_it_has_all_fingerprints_of_an_entry(self):
        entry = self.entry("part-a", "part-b")
        self.quarantine.add_entry(entry, 0)
        has = self.quarantine.find_entry
        self.assertIsNone(has([Fingerprint("part-a"), Fingerprint("part-c")]))
        found = has([Fingerprint(f) for f in ("part-c", "part-b", "part-a")])
        self.assertEqual(found, entry)

    def test_a_served_request_lifts_the_entry_on_all_instances(self):
        entry = self.entry()
        other = self.make("instance-3")
        for quarantine in (self.quarantine, other):
            quarantine.add_entry(entry, 0)
        self.clock.advance_ms(10)
        self.quarantine.record_success(SERVICE, (BAD,))
        self.assertEqual(self.quarantine.entries(), [])
        self.assertEqual(self.lifted, [entry])
        other.handle_news(self.news[-1])
        self.assertEqual(other.entries(), [])

    def test_a_lifted_entry_does_not_return_with_an_old_digest(self):
        entry = self.entry()
        self.quarantine.add_entry(entry, 0)
        self.clock.advance_ms(10)
        self.quarantine.lift(entry, "by hand")
        self.quarantine.add_entry(entry, 0)
        self.assertEqual(self.quarantine.entries(), [])

    def test_an_entry_ends_if_no_instance_has_refused_a_request_for_long(self):
        entry = self.entry()
        self.quarantine.add_entry(entry, 0)
        self.clock.advance_ms(module.IDLE_EXPIRY_MS - 1_000)
        self.quarantine.add_entry(entry, 500)
        self.clock.advance_ms(module.IDLE_EXPIRY_MS - 1_000)
        self.quarantine.tick()
        self.assertEqual(self.quarantine.entries(), [entry])
        self.clock.advance_ms(1_000)
        self.quarantine.tick()
        self.assertEqual(self.quarantine.entries(), [])

    def test_the_number_of_entries_is_bounded(self):
        for number in range(module.MAX_ENTRIES + 5):
            self.quarantine.add_entry(self.entry(f"part-{number}"), 0)
        self.assertEqual(self.quarantine.entry_count(), module.MAX_ENTRIES)
        self.assertLessEqual(
            len(self.quarantine.told_entries()), module.MAX_TOLD_ENTRIES
        )


class TestTrials(QuarantineTest):
    def setUp(self):
        super().setUp()
        self.names = [InstanceId(f"instance-{n}") for n in range(1, 8)]
        self.fleet = [self.make(name) for name in self.names]
        self.blocked = self.entry()
        for quarantine in self.fleet:
            quarantine.set_reachable(self.names)
            quarantine.add_entry(self.blocked, 0)

    def trial_count(self, versions=VERSIONS) -> int:
        return sum(
            quarantine.try_acquire_trial(self.blocked, versions)
            for quarantine in self.fleet
            for _ in range(10)
        )

    def test_no_request_is_tried_before_the_time(self):
        self.assertEqual(self.trial_count(), 0)

    def test_all_instances_together_try_one_request(self):
        count = 0
        for _ in range(100):
            count += self.trial_count()
            self.clock.advance_ms(1_000)
        self.assertEqual(count, 1)

    def test_a_new_version_of_all_endpoints_is_tried_once(self):
        self.assertEqual(self.trial_count((VersionId("v1"), VersionId("v2"))), 0)
        self.assertEqual(self.trial_count((VersionId("v2"),)), 1)
        self.assertEqual(self.trial_count((VersionId("v2"),)), 0)
