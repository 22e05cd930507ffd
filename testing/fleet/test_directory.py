"""Endpoints as their rows come, lapse and return."""

from __future__ import annotations

import json
import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.fleet.directory import RECOVERY_GRACE_MS, EndpointDirectory
from _monsoonpulley.ids import EndpointId, ServiceId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.platform.store import Row, Rows

SERVICE = ServiceId("svc")


def value(**changes) -> bytes:
    row = {
        "service": "svc",
        "address": "10.0.0.1:80",
        "zone": "zone-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
    }
    return json.dumps({**row, **changes}).encode()


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.lines: list[str] = []
        self.gone: list[str] = []
        self.directory = EndpointDirectory(
            self.clock,
            Log(self.clock, self.lines.append, remembers=False),
            lambda endpoint: self.gone.append(endpoint.id),
        )
        self.version = 0

    def feed(self, *rows: tuple[str, bytes | None], whole: bool = False) -> None:
        made = []
        for key, data in rows:
            self.version += 1
            made.append(Row(key, data, self.version))
        self.directory.apply(Rows(tuple(made), self.version), whole)

    def ready(self) -> list[str]:
        return sorted(e.id for e in self.directory.ready_endpoints(SERVICE))


class TestEntries(DirectoryTest):
    def test_endpoints_come_drain_and_go(self):
        self.feed(("a", value()), ("b", value()), whole=True)
        self.assertEqual(self.ready(), ["a", "b"])
        self.feed(("a", value(state="draining")))
        self.assertEqual(self.ready(), ["b"])
        self.feed(("b", None))
        self.assertEqual(self.ready(), [])
        self.assertEqual(self.gone, ["b"])

    def test_entries_of_other_writers_name_no_endpoint(self):
        foreign = [
            b"\xff\xfe",
            b"{}",
            b"[]",
            value(state="resting"),
            value(address="no address"),
            value(address=5),
            value(slots="many"),
            value(born="yesterday"),
        ]
        rows = [(f"x{n}", data) for n, data in enumerate(foreign)]
        self.feed(("a", value()), *rows, whole=True)
        self.assertEqual(self.ready(), ["a"])
        self.assertEqual(sum("endpoint_row_refused" in line for line in self.lines), 8)

    def test_a_foreign_entry_is_logged_once(self):
        for _ in range(5):
            self.feed(("x", b"{}"))
        self.assertEqual(sum("endpoint_row_refused" in line for line in self.lines), 1)

    def test_an_entry_that_turns_unreadable_takes_its_endpoint_away(self):
        self.feed(("a", value()))
        self.feed(("a", b"{"))
        self.assertEqual(self.ready(), [])

    def test_another_start_under_the_same_id_is_another_endpoint(self):
        self.feed(("a", value(born=1)))
        first = self.directory.get(EndpointId("a"))
        self.feed(("a", value(born=2)))
        self.assertEqual(self.gone, ["a"])
        self.assertFalse(self.directory.is_current(first))
        self.assertTrue(self.directory.is_current(self.directory.get(EndpointId("a"))))

    def test_heartbeats_are_not_logged(self):
        for sequence in range(10):
            self.feed(("a", value(sequence=sequence)))
        self.assertEqual(len(self.lines), 1)

    def test_older_rows_change_nothing(self):
        self.feed(("a", value()), ("a", value(state="draining")))
        stale = Rows((Row("a", value(), 1),), 1)
        self.directory.apply(stale, False)
        self.assertEqual(self.ready(), [])

    def test_a_whole_table_that_is_older_removes_nothing(self):
        self.feed(("a", value()), ("b", value()))
        self.directory.apply(Rows((Row("a", value(), 1),), 1), True)
        self.assertEqual(self.ready(), ["a", "b"])


class TestReturnOfTheStore(DirectoryTest):
    def test_rows_missing_after_an_outage_are_waited_for(self):
        self.feed(("a", value()), ("b", value()), whole=True)
        self.directory.on_store_recovered()
        self.feed(("a", value()), whole=True)
        self.assertEqual(self.ready(), ["a", "b"])
        self.clock.advance_ms(RECOVERY_GRACE_MS - 1)
        self.directory.expire()
        self.assertEqual(self.ready(), ["a", "b"])
        self.clock.advance_ms(1)
        self.directory.expire()
        self.assertEqual(self.ready(), ["a"])

    def test_rows_that_return_in_time_stay(self):
        self.feed(("a", value()), whole=True)
        self.directory.on_store_recovered()
        self.feed(whole=True)
        self.clock.advance_ms(1_500)
        self.feed(("a", value()))
        self.clock.advance_ms(RECOVERY_GRACE_MS)
        self.directory.expire()
        self.assertEqual(self.ready(), ["a"])

    def test_rows_removed_at_other_times_are_gone_at_once(self):
        self.clock.advance_ms(60_000)
        self.feed(("a", value()), ("b", value()), whole=True)
        self.feed(("a", value()), whole=True)
        self.assertEqual(self.ready(), ["a"])
