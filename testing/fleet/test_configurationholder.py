"""Newer versions of the configuration come into force; others are ignored."""

from __future__ import annotations

import json
import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.fleet.configurationholder import ConfigurationHolder
from _monsoonpulley.fleet.model import RouteKind
from _monsoonpulley.observability.log import Log
from _monsoonpulley.platform.store import Row, Rows

from ..ingress.site import configuration


class TestConfigurationHolder(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.lines: list[str] = []
        self.versions: list[int] = []
        self.other_keys: list[str] = []
        self.holder = ConfigurationHolder(
            self.clock,
            Log(self.clock, self.lines.append, keeps_lines=False),
            lambda current: self.versions.append(current.version),
            lambda row: self.other_keys.append(row.key),
        )

    def apply(self, document: object, key: str = "config") -> None:
        data = document if isinstance(document, bytes) else json.dumps(document)
        data = data if isinstance(data, bytes) else data.encode()
        self.holder.apply(Rows((Row(key, data, 1),), 1), False)

    def test_newer_versions_come_into_force(self):
        for version in (3, 7, 8):
            self.apply(configuration(version))
        self.assertEqual(self.versions, [3, 7, 8])

    def test_older_and_equal_versions_change_nothing(self):
        for version in (7, 3, 7):
            self.apply(configuration(version))
        self.assertEqual(self.versions, [7])

    def test_a_malformed_configuration_leaves_the_version_in_force(self):
        self.apply(configuration(3))
        for malformed in (b"\xff", b"{}", b'{"version": "x"}', b"[1]"):
            self.apply(malformed)
        self.assertEqual(self.holder.current.version, 3)
        self.assertEqual(sum("configuration_refused" in x for x in self.lines), 4)

    def test_a_removed_row_leaves_the_version_in_force(self):
        self.apply(configuration(3))
        self.holder.apply(Rows((Row("config", None, 2),), 2), False)
        self.assertEqual(self.holder.current.version, 3)

    def test_other_rows_are_passed_on(self):
        self.apply(b"{}", key="rollout/svc")
        self.assertEqual(self.other_keys, ["rollout/svc"])

    def test_an_error_over_another_row_does_not_keep_a_configuration_out(self):
        def fail(row):
            raise OverflowError(row.key)

        holder = ConfigurationHolder(
            self.clock,
            Log(self.clock, self.lines.append),
            lambda current: self.versions.append(current.version),
            fail,
        )
        value = json.dumps(configuration(3)).encode()
        rows = (Row("a-rollout", b"{}", 1), Row("config", value, 2))
        holder.apply(Rows(rows, 2), True)
        self.assertEqual(self.versions, [3])
        self.assertIn("operator_row_failed", "".join(self.lines))

    def test_the_fields_of_a_route_are_decoded(self):
        document = configuration(3, kind="streaming", resume_streams=True)
        document["routes"][0]["traffic_split"] = [
            {"service": "svc", "weight": 9},
            {"service": "other", "weight": 1},
        ]
        self.apply(document)
        route = self.holder.current.find_route("site.example", b"/app/x")
        self.assertIs(route.kind, RouteKind.STREAMING)
        self.assertTrue(route.is_idempotent)
        self.assertEqual(route.services, (("svc", 9), ("other", 1)))
        self.assertEqual(route.rank, 1)

    def test_a_route_of_unknown_kind_is_unsafe(self):
        self.apply(configuration(3, kind="keyed"))
        route = self.holder.current.find_route("site.example", b"/app/x")
        self.assertIs(route.kind, RouteKind.UNSAFE)
        self.assertFalse(route.is_idempotent)
