"""Endpoints follow their rows, also when these expire in an outage."""

from __future__ import annotations

import json
import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.fleet.directory import (
    LEAVING_MEMORY_MS,
    RECOVERY_GRACE_MS,
    EndpointDirectory,
)
from _monsoonpulley.ids import EndpointId, ServiceId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.platform.store import Row, Rows
from _monsoonpulley.platform.storeversion import join_version

SERVICE = ServiceId("svc")


def row_value(**changes) -> bytes:
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
        self.removed_ids: list[str] = []
        self.ended_ids: list[str] = []
        self.directory = EndpointDirectory(
            self.clock,
            Log(self.clock, self.lines.append, keeps_lines=False),
            lambda endpoint: self.removed_ids.append(endpoint.id),
            self.ended_ids.append,
            lambda endpoint, version, has_started: self.rows.append(
                (endpoint.id, version, has_started)
            ),
        )
        self.rows: list[tuple[str, int, bool]] = []
        self.version = 0

    def apply(self, *rows: tuple[str, bytes | None], is_snapshot: bool = False) -> None:
        changed = []
        for key, data in rows:
            self.version += 1
            changed.append(Row(key, data, self.version))
        self.directory.apply(Rows(tuple(changed), self.version), is_snapshot)

    def ready(self) -> list[str]:
        return sorted(e.id for e in self.directory.ready_endpoints(SERVICE))


class TestRows(DirectoryTest):
    def test_endpoints_are_added_drained_and_removed(self):
        self.apply(("a", row_value()), ("b", row_value()), is_snapshot=True)
        self.assertEqual(self.ready(), ["a", "b"])
        self.apply(("a", row_value(state="draining")))
        self.assertEqual(self.ready(), ["b"])
        self.apply(("b", None))
        self.assertEqual(self.ready(), [])
        self.assertEqual(self.removed_ids, ["b"])

    def test_starts_after_the_first_snapshot_are_told_from_rewritten_rows(self):
        self.apply(("a", row_value(born=1)), is_snapshot=True)
        self.apply(("a", row_value(born=1)), ("b", row_value(born=1)))
        self.apply(("a", row_value(born=2)), ("b", row_value(born=1)))
        self.apply(("b", None))
        self.apply(("b", row_value(born=1)))
        starts = [
            (key, version) for key, version, has_started in self.rows if has_started
        ]
        self.assertEqual(starts, [("b", 3), ("a", 4), ("b", 7)])
        self.assertEqual(len(self.rows), 6)

    def test_malformed_rows_add_no_endpoints(self):
        malformed = [
            b"\xff\xfe",
            b"{}",
            b"[]",
            row_value(state="resting"),
            row_value(address="no address"),
            row_value(address=5),
            row_value(slots="many"),
            row_value(born="yesterday"),
        ]
        rows = [(f"x{n}", data) for n, data in enumerate(malformed)]
        self.apply(("a", row_value()), *rows, is_snapshot=True)
        self.assertEqual(self.ready(), ["a"])
        self.assertEqual(sum("endpoint_row_refused" in line for line in self.lines), 8)

    def test_a_malformed_row_is_logged_once(self):
        for _ in range(5):
            self.apply(("x", b"{}"))
        self.assertEqual(sum("endpoint_row_refused" in line for line in self.lines), 1)

    def test_a_row_that_is_malformed_again_is_logged_again(self):
        self.apply(("x", b"{}"))
        self.apply(("x", row_value()))
        self.apply(("x", b"{}"))
        self.apply(("x", None))
        self.apply(("x", b"{}"))
        self.apply(("a", row_value()), is_snapshot=True)
        self.apply(("x", b"{}"))
        self.assertEqual(sum("endpoint_row_refused" in line for line in self.lines), 4)

    def test_a_row_that_becomes_malformed_removes_its_endpoint(self):
        self.apply(("a", row_value()))
        self.apply(("a", b"{"))
        self.assertEqual(self.ready(), [])

    def test_a_new_incarnation_with_the_same_id_replaces_the_endpoint(self):
        self.apply(("a", row_value(born=1)))
        first = self.directory.get(EndpointId("a"))
        self.apply(("a", row_value(born=2)))
        self.assertEqual(self.removed_ids, ["a"])
        self.assertFalse(self.directory.is_current(first))
        self.assertTrue(self.directory.is_current(self.directory.get(EndpointId("a"))))

    def test_a_missing_row_is_not_the_end_of_its_process(self):
        self.apply(("a", row_value(born=1)))
        self.apply(("a", None))
        self.apply(("a", row_value(born=1)))
        self.clock.advance_ms(LEAVING_MEMORY_MS + 1)
        self.directory.expire()
        self.assertEqual(self.ended_ids, [])

    def test_an_endpoint_without_a_row_for_long_has_ended(self):
        self.apply(("a", row_value(born=1)), ("b", row_value()))
        self.apply(("a", None))
        self.clock.advance_ms(LEAVING_MEMORY_MS + 1)
        self.directory.expire()
        self.assertEqual(self.ended_ids, ["a"])

    def test_another_incarnation_under_its_id_ends_an_endpoint(self):
        self.apply(("a", row_value(born=1)))
        self.apply(("a", row_value(born=2)))
        self.assertEqual(self.ended_ids, ["a"])
        self.apply(("a", None))
        self.apply(("a", row_value(born=3)))
        self.assertEqual(self.ended_ids, ["a", "a"])

    def test_heartbeats_are_not_logged(self):
        for sequence in range(10):
            self.apply(("a", row_value(sequence=sequence)))
        self.assertEqual(len(self.lines), 1)

    def test_older_rows_change_nothing(self):
        self.apply(("a", row_value()), ("a", row_value(state="draining")))
        stale = Rows((Row("a", row_value(), 1),), 1)
        self.directory.apply(stale, False)
        self.assertEqual(self.ready(), [])

    def test_an_older_snapshot_removes_nothing(self):
        self.apply(("a", row_value()), ("b", row_value()))
        self.directory.apply(Rows((Row("a", row_value(), 1),), 1), True)
        self.assertEqual(self.ready(), ["a", "b"])


class TestStoreRecovery(DirectoryTest):
    def test_endpoints_without_rows_are_kept_for_the_grace_period(self):
        self.apply(("a", row_value()), ("b", row_value()), is_snapshot=True)
        self.directory.on_store_recovered()
        self.apply(("a", row_value()), is_snapshot=True)
        self.assertEqual(self.ready(), ["a", "b"])
        self.clock.advance_ms(RECOVERY_GRACE_MS - 1)
        self.directory.expire()
        self.assertEqual(self.ready(), ["a", "b"])
        self.clock.advance_ms(1)
        self.directory.expire()
        self.assertEqual(self.ready(), ["a"])

    def test_rows_that_return_in_time_keep_their_endpoints(self):
        self.apply(("a", row_value()), is_snapshot=True)
        self.directory.on_store_recovered()
        self.apply(is_snapshot=True)
        self.clock.advance_ms(1_500)
        self.apply(("a", row_value()))
        self.clock.advance_ms(RECOVERY_GRACE_MS)
        self.directory.expire()
        self.assertEqual(self.ready(), ["a"])

    def test_other_missing_rows_remove_their_endpoints_at_once(self):
        self.clock.advance_ms(60_000)
        self.apply(("a", row_value()), ("b", row_value()), is_snapshot=True)
        self.apply(("a", row_value()), is_snapshot=True)
        self.assertEqual(self.ready(), ["a"])


class TestLostWrites(DirectoryTest):
    """Snapshots of a store that has come back from an older copy."""

    def apply_copy(self, *rows: tuple[str, bytes | None, int], era: int = 2) -> None:
        """Apply a snapshot of the next era, as a follower does."""
        self.directory.on_store_recovered()
        changed = tuple(Row(k, v, join_version(era, n)) for k, v, n in rows)
        self.directory.apply(Rows(changed, join_version(era, 99)), True)

    def setUp(self):
        super().setUp()
        self.clock.advance_ms(10_000)
        self.version = join_version(1, 50)
        self.apply(("a", row_value()), ("b", row_value()), is_snapshot=True)
        self.clock.advance_ms(10_000)

    def test_rows_with_lower_versions_are_applied(self):
        self.apply_copy(("a", row_value(), 3), ("b", row_value(state="draining"), 4))
        self.assertEqual(self.ready(), ["a"])

    def test_an_endpoint_that_drains_is_not_brought_back(self):
        self.apply(("a", row_value(state="draining")))
        self.apply_copy(("a", row_value(), 3), ("b", row_value(), 4))
        self.assertEqual(self.ready(), ["b"])

    def test_an_endpoint_that_is_gone_comes_back_only_with_a_new_row(self):
        self.apply(("a", None))
        self.apply_copy(("a", row_value(), 3), ("b", row_value(), 4))
        self.assertEqual(self.ready(), ["b"])
        again = Row("a", row_value(sequence=2), join_version(2, 100))
        self.directory.apply(Rows((again,), again.row_version), False)
        self.assertEqual(self.ready(), ["a", "b"])

    def test_an_endpoint_that_the_copy_lacks_is_kept_until_it_must_be_back(self):
        self.apply_copy(("a", row_value(), 3))
        self.clock.advance_ms(2_000)
        self.directory.expire()
        self.assertEqual(self.ready(), ["a", "b"])
        self.clock.advance_ms(RECOVERY_GRACE_MS)
        self.directory.expire()
        self.assertEqual(self.ready(), ["a"])
