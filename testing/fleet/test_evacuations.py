"""Evacuations follow the newest row, whatever is lost, late or read again."""

from __future__ import annotations

import json
import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.fleet.evacuations import Evacuations
from _monsoonpulley.fleet.model import Endpoint
from _monsoonpulley.ids import EndpointId, ServiceId, VersionId, ZoneId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.platform.store import Row, Rows
from _monsoonpulley.platform.storeversion import join_version

A, B = ZoneId("zone-a"), ZoneId("zone-b")
EVACUATION_MS = 5_000


def endpoint(zone: ZoneId) -> Endpoint:
    return Endpoint(
        EndpointId(f"i-{zone}"), 1, ServiceId("svc"), "", 1, zone, VersionId("v1"), 4
    )


class TestEvacuations(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.lines: list[dict] = []
        self.ended: list[tuple[ZoneId, int]] = []
        self.evacuations = Evacuations(
            self.clock,
            Log(self.clock, lambda x: self.lines.append(json.loads(x)), "i-1"),
            EVACUATION_MS,
        )
        self.evacuations.on_end = lambda *end: self.ended.append(end)

    def change(self, zone: ZoneId, version: int, *, is_removed: bool = False) -> None:
        row = Row(f"evacuate/{zone}", None if is_removed else b"{}", version)
        self.evacuations.apply(Rows((row,), version), False)

    def read_all(self, version: int, *rows: tuple[ZoneId, int]) -> None:
        found = tuple(Row(f"evacuate/{zone}", b"{}", v) for zone, v in rows)
        self.evacuations.apply(Rows(found, version), True)

    def test_rows_begin_and_end_evacuations_that_overlap(self):
        self.change(A, 5)
        self.change(B, 6)
        self.assertEqual(self.evacuations.zones, {A, B})
        self.change(A, 7, is_removed=True)
        self.assertEqual(self.evacuations.zones, {B})
        self.assertEqual(self.ended, [(A, 7)])
        names = [line["event"] for line in self.lines]
        self.assertEqual(
            names, ["evacuation_begins", "evacuation_begins", "evacuation_ends"]
        )

    def test_an_older_row_or_snapshot_does_not_undo_a_newer_one(self):
        self.change(A, 7)
        self.change(A, 6, is_removed=True)
        self.read_all(6)
        self.assertEqual(self.evacuations.zones, {A})
        self.change(A, 9, is_removed=True)
        self.change(A, 8)
        self.read_all(8, (A, 7))
        self.assertEqual(self.evacuations.zones, frozenset())
        self.assertEqual(len(self.ended), 1)

    def test_a_snapshot_without_the_row_ends_the_evacuation(self):
        self.change(A, 5)
        self.read_all(9, (B, 8))
        self.assertEqual(self.evacuations.zones, {B})
        self.assertEqual(self.ended, [(A, 9)])

    def test_a_row_that_came_and_went_unread_counts_as_an_evacuation(self):
        self.change(A, 9, is_removed=True)
        self.assertEqual(self.ended, [(A, 9)])

    def test_an_older_copy_without_the_row_does_not_end_the_evacuation(self):
        self.change(A, 50)
        self.read_all(join_version(1, 40))
        self.assertEqual(self.evacuations.zones, {A})
        self.clock.advance_ms(EVACUATION_MS - 1)
        self.change(A, join_version(1, 41))
        self.clock.advance_ms(EVACUATION_MS)
        self.evacuations.expire()
        self.assertEqual((self.evacuations.zones, self.ended), ({A}, []))

    def test_an_evacuation_that_is_not_written_again_ends(self):
        self.change(A, 50)
        self.read_all(join_version(1, 40))
        self.clock.advance_ms(EVACUATION_MS)
        self.evacuations.expire()
        self.assertEqual(self.evacuations.zones, frozenset())
        self.assertEqual(self.ended, [(A, join_version(1, 40))])

    def test_a_peer_tells_only_what_was_not_read(self):
        self.read_all(9)
        self.evacuations.record_peer({A: 9, B: 10})
        self.assertEqual(self.evacuations.zones, {B})
        self.change(B, 12, is_removed=True)
        self.evacuations.record_peer({B: 10})
        self.assertEqual(self.evacuations.zones, frozenset())

    def test_traffic_returns_in_steps(self):
        self.change(A, 5)
        endpoints = (endpoint(A), endpoint(B))
        self.assertEqual(self.evacuations.open_endpoints(endpoints), endpoints[1:])
        self.change(A, 6, is_removed=True)
        self.assertEqual(self.evacuations.open_endpoints(endpoints), endpoints)
        shares = []
        for _ in range(6):
            draws = [n / 100 for n in range(100)]
            shares.append(sum(self.evacuations.is_deferred(A, d) for d in draws))
            self.clock.advance_ms(EVACUATION_MS // 5)
        self.assertEqual(shares, [50, 40, 30, 20, 10, 0])


if __name__ == "__main__":
    unittest.main()
