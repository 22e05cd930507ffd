from __future__ import annotations

import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.config.document import Document, Version
from _monsoonpulley.control.rollout import RolloutSettings
from _monsoonpulley.control.rolloutrows import RolloutRow, RolloutState, TripRow
from _monsoonpulley.control.rolloutview import RolloutView
from _monsoonpulley.control.versionshares import SLOT_MS, CanaryPlan, RolloutShares

MAX_MEAN_SHARE = 0.05
DEADLINE_MS = 10_000_000
DOCUMENT = Document(versions=(Version("s", "v1"), Version("s", "v2", DEADLINE_MS)))


def row(state=RolloutState.CANARY, share=0.03, **changes) -> RolloutRow:
    fields = {"service": "s", "version": "v2", "deadline_wall_ms": DEADLINE_MS}
    return RolloutRow(state=state, share=share, **{**fields, **changes})


class Entries:
    def __init__(self, entry_ids=("a", "b", "c"), endpoints=10, document=DOCUMENT):
        self.clock = ManualClock()
        self.should_join_canary = False
        self.view = RolloutView(lambda: document)
        self.endpoints = {
            version: [f"{version}-{n}" for n in range(endpoints)]
            for version in ("v1", "v2", "v3")
        }
        self.shares = {
            name: RolloutShares(
                self.view,
                name,
                lambda: entry_ids,
                lambda _, version: self.endpoints[version],
                self.clock,
                RolloutSettings(),
                should_join_canary=lambda _: self.should_join_canary,
            )
            for name in entry_ids
        }

    def of(self, entry="a") -> dict:
        return self.shares[entry].shares("s")


class TestCanaryPlan(unittest.TestCase):
    def test_the_mean_share_stays_small_in_deployments_of_any_size(self):
        for endpoints in (1, 2, 4, 10, 417, 2_500):
            for entry_count in (1, 2, 7, 60, 360):
                with self.subTest(endpoints=endpoints, entry_count=entry_count):
                    plan = CanaryPlan.for_sizes(0.03, endpoints, entry_count)
                    slots = range(2_000)
                    sent = sum(
                        plan.slot_share
                        for slot in slots
                        for index in range(entry_count)
                        if plan.is_sender(index, entry_count, slot)
                    )
                    mean = sent / len(slots) / entry_count
                    self.assertLess(mean, MAX_MEAN_SHARE)
                    self.assertGreater(mean, 0.02)

    def test_a_canary_endpoint_has_the_load_of_a_base_endpoint_in_its_slots(self):
        for endpoints, entry_count in ((4, 7), (10, 7), (417, 60), (2_500, 360)):
            plan = CanaryPlan.for_sizes(0.03, endpoints, entry_count)
            load = (
                plan.slot_share * plan.sender_count / entry_count / plan.endpoint_count
            )
            self.assertGreaterEqual(load, 0.85 / endpoints)


class TestRolloutShares(unittest.TestCase):
    def test_without_a_rollout_the_starting_version_has_all_traffic(self):
        self.assertEqual(Entries().of(), {"v1": 1.0})

    def test_canary_traffic_goes_to_few_endpoints(self):
        entries = Entries()
        entries.view.apply_row(row(), 1)
        held_back = entries.shares["a"].held_back_endpoints(["s"])
        self.assertEqual(len(held_back), 9)
        entries.view.apply_row(row(RolloutState.RAMP, 0.2), 2)
        self.assertFalse(entries.shares["a"].held_back_endpoints(["s"]))

    def test_shares_follow_the_states(self):
        entries = Entries()
        entries.view.apply_row(row(RolloutState.RAMP, 0.2), 1)
        self.assertEqual(entries.of(), {"v1": 0.8, "v2": 0.2})
        entries.view.apply_row(row(RolloutState.SOAK, 1.0), 2)
        self.assertEqual(entries.of(), {"v1": 0.0, "v2": 1.0})
        entries.view.apply_row(row(RolloutState.DONE, 1.0), 3)
        self.assertEqual(entries.of(), {"v2": 1.0})
        entries.view.apply_row(row(RolloutState.ROLLED_BACK, 0.0), 4)
        self.assertEqual(entries.of(), {"v1": 1.0})

    def test_an_older_row_does_not_bring_traffic_back(self):
        entries = Entries()
        entries.view.apply_row(row(RolloutState.ROLLED_BACK, 0.0), 4)
        entries.view.apply_row(row(RolloutState.SOAK, 1.0), 3)
        self.assertEqual(entries.of(), {"v1": 1.0})

    def test_a_trip_stops_the_traffic_at_once_and_for_its_attempt_only(self):
        entries = Entries()
        entries.view.apply_row(row(RolloutState.SOAK, 1.0), 1)
        trip = TripRow(
            service="s",
            version="v2",
            attempt=1,
            instance="b",
            seen_wall_ms=0,
            why="bad",
        )
        self.assertTrue(entries.view.add_trip(trip))
        self.assertFalse(entries.view.add_trip(trip))
        self.assertEqual(entries.of(), {"v1": 1.0})
        entries.view.apply_row(row(RolloutState.RAMP, 0.2, attempt=2), 2)
        self.assertEqual(entries.of(), {"v1": 0.8, "v2": 0.2})

    def test_past_the_deadline_only_done_keeps_the_traffic(self):
        for state, version in ((RolloutState.SOAK, "v1"), (RolloutState.DONE, "v2")):
            entries = Entries()
            entries.view.apply_row(row(state, 1.0), 1)
            entries.clock.advance_ms(DEADLINE_MS)
            self.assertEqual(entries.of(), {version: 1.0})

    def test_the_version_done_last_is_the_base_of_the_next(self):
        versions = (*DOCUMENT.versions, Version("s", "v3", DEADLINE_MS))
        entries = Entries(document=Document(versions=versions))
        entries.view.apply_row(row(RolloutState.DONE, 1.0, since_wall_ms=5), 1)
        entries.view.apply_row(row(RolloutState.RAMP, 0.2, version="v3"), 2)
        self.assertEqual(entries.of(), {"v2": 0.8, "v3": 0.2})

    def test_one_entry_instance_at_a_time_sends_canary_traffic(self):
        entries = Entries()
        entries.view.apply_row(row(), 1)
        senders = set()
        for _ in range(200):
            sending = [name for name in entries.shares if "v2" in entries.of(name)]
            self.assertLessEqual(len(sending), 1)
            senders.update(sending)
            entries.clock.advance_ms(SLOT_MS)
        self.assertEqual(senders, {"a", "b", "c"})

    def test_a_canary_in_doubt_gets_more_senders_and_no_more_load_per_endpoint(self):
        entry_ids = tuple(f"d-{n:02}" for n in range(14))
        entries = Entries(entry_ids)
        entries.view.apply_row(row(), 1)
        entries.should_join_canary = True
        load: dict[str, float] = {}
        for name in entry_ids:
            share = entries.of(name).get("v2", 0.0)
            usable = set(entries.endpoints["v2"]) - entries.shares[
                name
            ].held_back_endpoints(["s"])
            for endpoint in usable:
                load[endpoint] = load.get(endpoint, 0.0) + share / len(usable)
        plan = CanaryPlan.for_sizes(0.03, 10, len(entry_ids))
        canary = plan.slot_share * plan.sender_count / plan.endpoint_count
        self.assertGreater(sum(load.values()), 4 * canary)
        self.assertLessEqual(max(load.values()), canary + 1e-9)
