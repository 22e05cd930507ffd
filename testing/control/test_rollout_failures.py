"""Rollouts during table outages, deaths of holders and partitions of a zone."""

from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace

import msgspec

from _monsoonpulley.config.document import Version
from _monsoonpulley.control.leases import Hold
from _monsoonpulley.control.rollout import RolloutSettings
from _monsoonpulley.control.rolloutduty import RolloutDuty
from _monsoonpulley.control.rolloutrows import (
    TRIP_PREFIX,
    ReportRow,
    RolloutRow,
    RolloutState,
    TripRow,
    report_key,
    rollout_key,
    trip_key,
)
from _monsoonpulley.control.rolloutview import RolloutView
from _monsoonpulley.external.table import ABSENT_REVISION, Table, Write
from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.bad_version import BadEffect, BadVersion
from _monsoonpulley.standins.faults import PlatformService
from _monsoonpulley.standins.manualloop import run_manual, running_clock
from _monsoonpulley.standins.table import TableStandin

from ..support import run_world, small_document
from .rollouts import (
    ENTRIES,
    Calls,
    rollout_deployment,
    routed_wall_ms,
    stored_row,
    stored_state,
)

START_WALL_MS = 1_800_000_000_000
DEADLINE_MS = 120_000
MAX_CANARY_SHARE = 0.05
PER_S = 9.0
SEEDS = (1,)


def shares(world, service="catalogue") -> list[dict]:
    return [e.instance.rollout_shares.shares(service) for e in world.entries.values()]


def holder_of(world, service="catalogue") -> str:
    for name, entry in world.entries.items():
        if f"rollout/{service}" in entry.instance.duty_runner.running_duties():
            return name
    return ""


def remaining_ms(world) -> int:
    return START_WALL_MS + DEADLINE_MS - world.clock.wall_ms()


class TestTableOutage(unittest.TestCase):
    def test_no_state_advances_and_the_base_has_all_traffic_at_the_deadline(self):
        for outage_start_ms in (1_000, 90_000):

            async def script(world, outage_start_ms=outage_start_ms):
                calls = Calls(world, 1, PER_S)
                await calls.run_ms(outage_start_ms)
                world.platform.faults.set_outage(True, PlatformService.TABLE)
                state_before = stored_state(world)
                await calls.run_ms(remaining_ms(world))
                self.assertEqual(stored_state(world), state_before)
                self.assertEqual(shares(world), [{"v1": 1.0}] * len(ENTRIES))
                self.assertFalse(calls.failed_answers())
                world.platform.faults.set_outage(False, PlatformService.TABLE)
                await calls.run_ms(15_000)
                self.assertEqual(stored_state(world), "taken_back")
                self.assertEqual(len(world.events("rollout_taken_back")), len(ENTRIES))

            with self.subTest(outage_start_ms):
                run_world(script, rollout_deployment(deadline_ms=DEADLINE_MS))

    def test_entry_instances_stop_a_bad_version_without_the_table(self):
        bad_version = BadVersion.delayed(BadEffect.FAIL, after_ms=95_000)

        async def script(world):
            calls = Calls(world, 2, PER_S)
            await calls.run_ms(80_000)
            self.assertIn(stored_state(world), ("canary", "ramp"))
            world.platform.faults.set_outage(True, PlatformService.TABLE)
            await calls.run_ms(remaining_ms(world))
            self.assertEqual(shares(world), [{"v1": 1.0}] * len(ENTRIES))
            self.assertTrue(world.events("rollout_tripped"))
            world.platform.faults.set_outage(False, PlatformService.TABLE)
            await calls.run_ms(15_000)
            self.assertEqual(stored_state(world), "taken_back")
            trips = [k for k in world.platform.table.rows if k.startswith(TRIP_PREFIX)]
            self.assertEqual(len(trips), 1)

        run_world(script, rollout_deployment(bad_version, deadline_ms=DEADLINE_MS))


class TestPeers(unittest.TestCase):
    def test_a_trip_reaches_the_peers_without_the_table(self):
        async def script(world):
            calls = Calls(world, 7, PER_S)
            await calls.run_ms(
                remaining_ms(world), lambda: stored_state(world) == "ramp"
            )
            await calls.run_ms(2_500)
            world.platform.faults.set_outage(True, PlatformService.TABLE)
            first, *_ = world.entries.values()
            watch = first.instance.rollout_watch
            seen_ms = world.clock.wall_ms()
            watch.handle_peer_trip("catalogue", "v2", "an old one", 1)
            self.assertNotEqual(shares(world)[0], {"v1": 1.0})
            watch.handle_peer_trip("catalogue", "v2", "seen", seen_ms)
            await world.clock.sleep_ms(1_000)
            self.assertEqual(shares(world), [{"v1": 1.0}] * len(ENTRIES))

        run_world(script, rollout_deployment(deadline_ms=DEADLINE_MS))


class TestHolders(unittest.TestCase):
    def test_other_holders_continue_when_one_dies_in_each_state(self):
        async def script(world):
            calls = Calls(world, 3, PER_S)
            killed = set()
            for before in ("canary", "ramp", "soak"):
                await calls.run_ms(
                    remaining_ms(world),
                    lambda before=before: stored_state(world) == before,
                )
                if name := holder_of(world):
                    world.kill_entry(name)
                    world.platform.livelist.remove(name)
                    killed.add(name)
            await calls.run_ms(
                remaining_ms(world), lambda: stored_state(world) == "done"
            )
            self.assertGreater(len(killed), 1)
            self.assertEqual(stored_state(world), "done", stored_row(world))
            self.assertLess(
                stored_row(world)["since_wall_ms"], START_WALL_MS + DEADLINE_MS
            )

        for seed in SEEDS:
            run_world(script, rollout_deployment(deadline_ms=DEADLINE_MS), seed)

    def test_of_two_holders_only_one_writes_a_transition(self):
        async def main():
            clock = running_clock()
            table = TableStandin(clock, random.Random(1))
            lines: list[str] = []
            document = msgspec.structs.replace(
                small_document(),
                versions=(
                    Version("catalogue", "v1"),
                    Version("catalogue", "v2", clock.wall_ms() + 300_000),
                ),
            )

            def duty(name: str, connection: Table) -> RolloutDuty:
                parts = SimpleNamespace(
                    clock=clock,
                    log=Log(clock, lines.append, name),
                    document=lambda: document,
                    table=connection,
                    rng=random.Random(name),
                    live_entries=lambda: ["a", "b"],
                    endpoints_of=lambda service, version: ["e"],
                    rollouts=RolloutView(lambda: document),
                )
                return RolloutDuty(parts)

            first = table.connect("a", "zone-a")
            is_resumed = asyncio.Event()
            commit = first.commit

            async def commit_when_resumed(writes):
                await is_resumed.wait()
                return await commit(writes)

            first.commit = commit_when_resumed
            former = duty("a", first)
            successor = duty("b", table.connect("b", "zone-b"))
            # Its lease expires during the commit, after its last check of the lease.
            sending = asyncio.create_task(
                former.evaluate("catalogue", Hold(1, lambda *_: True))
            )
            await clock.sleep_ms(100)
            for _ in range(2):
                await successor.evaluate("catalogue", Hold(2, lambda *_: True))
            is_resumed.set()
            await sending
            found = msgspec.json.decode(table.rows["rollout/catalogue/v2"].value)
            self.assertEqual(found["state"], "canary")
            self.assertEqual(found["fencing_number"], 2)
            self.assertEqual(len(found["steps"]), 2)
            failure = await former.evaluate("catalogue", Hold(1, lambda *_: True))
            self.assertIsNone(failure)
            without_lease = await successor.evaluate(
                "catalogue", Hold(3, lambda *_: False)
            )
            self.assertIsNone(without_lease)
            after = msgspec.json.decode(table.rows["rollout/catalogue/v2"].value)
            self.assertEqual(after, found)

        run_manual(main())

    def test_a_rollout_continues_after_all_entry_instances_restart(self):
        async def script(world):
            calls = Calls(world, 4, PER_S)
            for until_ms in (30_000, 95_000):
                await calls.run_ms(until_ms - (DEADLINE_MS - remaining_ms(world)))
                attempts = stored_row(world)["attempt"]
                for plan in ENTRIES:
                    world.kill_entry(plan.instance)
                for plan in ENTRIES:
                    world.start_entry(plan)
                await world.clock.sleep_ms(500)
                self.assertEqual(stored_row(world)["attempt"], attempts)
            await calls.run_ms(
                remaining_ms(world), lambda: stored_state(world) == "done"
            )
            self.assertEqual(stored_state(world), "done", stored_row(world))

        for seed in SEEDS:
            run_world(script, rollout_deployment(deadline_ms=DEADLINE_MS), seed)


class TestPartitionedZone(unittest.TestCase):
    def test_a_partitioned_zone_never_advances_and_rolls_back_at_the_deadline(self):
        async def script(world):
            calls = Calls(world, 5, PER_S)
            await calls.run_ms(
                remaining_ms(world), lambda: stored_state(world) == "ramp"
            )
            await calls.run_ms(2_500)
            world.platform.network.partition({"zone-a"}, {"zone-b", "platform"})
            partitioned = [p.instance for p in ENTRIES if p.zone == "zone-a"]
            shares_before = {}
            for name in partitioned:
                versions = world.entries[name].instance.rollout_shares
                shares_before[name] = versions.shares("catalogue").get("v2", 0.0)
            while remaining_ms(world) > 0:
                await calls.run_ms(min(1_000, remaining_ms(world)))
                for name in partitioned:
                    versions = world.entries[name].instance.rollout_shares
                    share = versions.shares("catalogue").get("v2", 0.0)
                    self.assertLessEqual(share, shares_before[name])
            for name in partitioned:
                versions = world.entries[name].instance.rollout_shares
                self.assertEqual(versions.shares("catalogue"), {"v1": 1.0})
            self.assertEqual(stored_state(world), "taken_back")
            self.assertIn("not confirmed by entry-0, entry-2", stored_row(world)["why"])
            world.platform.network.reconnect_all()
            await calls.run_ms(10_000)
            self.assertEqual(shares(world), [{"v1": 1.0}] * len(ENTRIES))

        for seed in SEEDS:
            run_world(script, rollout_deployment(deadline_ms=DEADLINE_MS), seed)


class TestRemovedVersion(unittest.TestCase):
    def test_a_version_removed_from_the_configuration_is_rolled_back(self):
        async def script(world):
            calls = Calls(world, 8, PER_S)
            await calls.run_ms(10_000)
            self.assertEqual(stored_state(world), "canary")
            head = await world.config_store().read_head()
            await world.apply(small_document(), head.number, "operator")
            await calls.run_ms(15_000)
            self.assertEqual(stored_state(world), "taken_back")
            self.assertEqual(shares(world), [{"v1": 1.0}] * len(ENTRIES))

        run_world(script, rollout_deployment(deadline_ms=DEADLINE_MS))


class TestSecondVersion(unittest.TestCase):
    def test_a_second_version_waits_for_the_first_and_then_replaces_it(self):
        second = Version("catalogue", "v3", START_WALL_MS + 2 * DEADLINE_MS)
        deployment = rollout_deployment(
            deadline_ms=DEADLINE_MS, other_orders=(second,), versions=("v1", "v2", "v3")
        )

        async def script(world):
            calls = Calls(world, 6, PER_S)
            await calls.run_ms(
                remaining_ms(world), lambda: stored_state(world) == "done"
            )
            self.assertEqual(stored_state(world), "done", stored_row(world))
            self.assertFalse(routed_wall_ms(world, "v3"))
            await calls.run_ms(DEADLINE_MS, lambda: stored_state(world, "v3") == "done")
            self.assertEqual(stored_state(world, "v3"), "done", stored_row(world, "v3"))
            await calls.run_ms(2_500)
            self.assertEqual(shares(world), [{"v3": 1.0}] * len(ENTRIES))

        run_world(script, deployment)


class TestHolderThatStoodStill(unittest.TestCase):
    """What the holder writes on what it read before others stopped the version."""

    LIVE = ("a", "b")
    NEXT = {
        RolloutState.CANARY: RolloutState.RAMP,
        RolloutState.RAMP: RolloutState.RAMP,
        RolloutState.SOAK: RolloutState.DONE,
    }
    """States, and those that follow when a version is good."""

    def make_row(self, state: RolloutState, wall_ms: int) -> RolloutRow:
        """Return a row whose next transition is due."""
        settings = RolloutSettings()
        return RolloutRow(
            service="catalogue",
            version="v2",
            state=state,
            attempt=2,
            deadline_wall_ms=wall_ms + settings.min_time_after_ms(state) + 1_000,
            share={RolloutState.RAMP: 0.2, RolloutState.SOAK: 1.0}.get(state, 0.04),
            since_wall_ms=wall_ms - 60_000,
            started_wall_ms=wall_ms - 90_000,
            token="token",
        )

    def make_trip(self, row: RolloutRow, attempt: int | None = None) -> TripRow:
        return TripRow(
            service=row.service,
            version=row.version,
            attempt=row.attempt if attempt is None else attempt,
            instance="b",
            seen_wall_ms=row.since_wall_ms,
            why="3 of 3 failed",
        )

    async def play(
        self,
        state: RolloutState,
        *,
        is_tripped=True,
        is_late_trip=True,
        is_local=False,
        has_new_deadline=False,
        is_of_last_attempt=False,
    ):
        """Return the states written by two passes of a holder.

        A late trip comes between the holder's reads and its first write.
        """
        clock = running_clock()
        table = TableStandin(clock, random.Random(1))
        row = self.make_row(state, clock.wall_ms())
        document = msgspec.structs.replace(
            small_document(),
            versions=(
                Version("catalogue", "v1"),
                Version(
                    "catalogue",
                    "v2",
                    row.deadline_wall_ms + (1_000 if has_new_deadline else 0),
                ),
            ),
        )
        view = RolloutView(lambda: document)
        connection, other = (table.connect(name, "zone-a") for name in self.LIVE)
        await other.commit(self.make_rows(row))
        commit = connection.commit
        trip = self.make_trip(row, row.attempt - is_of_last_attempt)

        async def write_trip():
            key = trip_key(trip.service, trip.version, trip.attempt)
            value = msgspec.json.encode(trip)
            await other.commit([Write(key, value, ABSENT_REVISION)])

        async def commit_after_trip(writes):
            connection.commit = commit
            await write_trip()
            return await commit(writes)

        if is_local:
            view.add_trip(trip)
        elif is_tripped and is_late_trip:
            connection.commit = commit_after_trip
        elif is_tripped:
            await write_trip()
        duty = RolloutDuty(
            SimpleNamespace(
                clock=clock,
                log=Log(clock, lambda line: None, "a"),
                document=lambda: document,
                table=connection,
                rng=random.Random(1),
                live_entries=lambda: list(self.LIVE),
                endpoints_of=lambda service, version: ["e"],
                rollouts=view,
            )
        )
        states = []
        for _ in range(2):
            await duty.evaluate("catalogue", Hold(1, lambda *_: True))
            stored = table.rows[rollout_key("catalogue", "v2")]
            found = msgspec.json.decode(stored.value, type=RolloutRow)
            states.append((found.state, found.share))
        return states, (row.state, row.share)

    def make_rows(self, row: RolloutRow) -> list[Write]:
        writes = [
            Write(
                rollout_key(row.service, row.version),
                msgspec.json.encode(row),
                ABSENT_REVISION,
            )
        ]
        for instance in self.LIVE:
            report = ReportRow(
                service=row.service,
                version=row.version,
                attempt=row.attempt,
                instance=instance,
                incarnation=1,
                seen_token=row.token,
                results=500,
            )
            key = report_key(row.service, row.version, instance)
            writes.append(Write(key, msgspec.json.encode(report), ABSENT_REVISION))
        return writes

    def play_each(self, **arguments):
        """Return for each state what was written by two passes, and what was before."""
        return {state: run_manual(self.play(state, **arguments)) for state in self.NEXT}

    def test_a_good_version_gets_on(self):
        for state, ((first, _), before) in self.play_each(is_tripped=False).items():
            with self.subTest(state=state):
                self.assertIs(first[0], self.NEXT[state])
                self.assertNotEqual(first, before)

    # EXPOSURE: it moved on, up to `done`, a version that the others had stopped after
    # it had read the trips, and nothing was left to go back to.
    def test_a_version_that_was_stopped_after_the_trips_were_read_does_not(self):
        for state, ((first, second), before) in self.play_each().items():
            with self.subTest(state=state):
                self.assertEqual(first, before)
                self.assertIs(second[0], RolloutState.ROLLED_BACK)

    def test_a_trip_of_an_earlier_attempt_does_not_hold_a_version_up(self):
        for is_local in (False, True):
            plays = self.play_each(is_of_last_attempt=True, is_local=is_local)
            for state, ((first, _), _) in plays.items():
                with self.subTest(state=state, is_local=is_local):
                    self.assertIs(first[0], self.NEXT[state])

    def test_a_stopped_version_whose_deadline_was_changed_is_rolled_back(self):
        for state in self.NEXT:
            with self.subTest(state=state):
                (_, second), _ = run_manual(
                    self.play(state, has_new_deadline=True, is_late_trip=False)
                )
                self.assertIs(second[0], RolloutState.ROLLED_BACK)

    def test_a_trip_that_is_not_in_the_table_yet_rolls_back(self):
        for state, ((first, _), _) in self.play_each(is_local=True).items():
            with self.subTest(state=state):
                self.assertIs(first[0], RolloutState.ROLLED_BACK)


if __name__ == "__main__":
    unittest.main()
