"""Control duties of complete entry instances on manual time."""

from __future__ import annotations

import unittest

from _monsoonpulley.control.leasestate import LeaseSettings
from _monsoonpulley.entry.tasks import OWN_RECORDS_INITIAL_DELAY_MS
from _monsoonpulley.standins.world import EntryPlan

from ..support import ALICE, run_world, small_deployment

ENTRIES = tuple(EntryPlan(f"entry-{i}", f"zone-{i % 2}") for i in range(6))
SETTLED_MS = 12_000
RECORDS = 12
ADOPTED_WITHIN_MS = 3_000


def holders(world) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for name, entry in world.entries.items():
        for duty in entry.instance.duty_runner.running_duties():
            found.setdefault(duty, []).append(name)
    return found


class TestDutiesOfInstances(unittest.TestCase):
    def test_each_duty_has_one_holder_and_holders_are_spread(self):
        async def script(world):
            await world.clock.sleep_ms(SETTLED_MS)
            found = holders(world)
            self.assertEqual(len(found), 32)
            self.assertTrue(all(len(names) == 1 for names in found.values()))
            self.assertGreater(len({names[0] for names in found.values()}), 3)

        run_world(script, small_deployment(entries=ENTRIES))

    def test_a_killed_instances_duties_fail_over_within_the_bound(self):
        bound_ms = LeaseSettings().max_failover_ms()

        async def script(world):
            await world.clock.sleep_ms(SETTLED_MS)
            lost = [d for d, names in holders(world).items() if names == ["entry-1"]]
            self.assertTrue(lost)
            world.kill_entry("entry-1")
            await world.clock.sleep_ms(bound_ms)
            found = holders(world)
            self.assertTrue(all(len(found.get(duty, ())) == 1 for duty in lost))

        for seed in range(5):
            run_world(script, small_deployment(entries=ENTRIES), seed)

    def test_a_leaving_instance_hands_over_before_its_leases_expire(self):
        settings = LeaseSettings()
        self.assertLess(settings.max_scan_gap_ms(), settings.lease_duration_ms)

        async def script(world):
            await world.clock.sleep_ms(SETTLED_MS)
            leaving = world.entries["entry-1"].instance
            handed = list(leaving.duty_runner.running_duties())
            self.assertTrue(handed)
            leaving.leave("planned")
            await world.clock.sleep_ms(
                settings.max_scan_gap_ms() + settings.call_timeout_ms
            )
            self.assertFalse(leaving.duty_runner.running_duties())
            found = holders(world)
            self.assertTrue(all(len(found.get(duty, ())) == 1 for duty in handed))

        for seed in range(5):
            run_world(script, small_deployment(entries=ENTRIES), seed)

    def test_status_names_the_holder_of_each_duty(self):
        async def script(world):
            await world.clock.sleep_ms(SETTLED_MS)
            row = world.entries["entry-1"].instance.leases.rows()
            status = {duty: lease.holder for duty, lease in row}
            self.assertEqual({d: [h] for d, h in status.items()}, holders(world))

        run_world(script, small_deployment(entries=ENTRIES))

    def test_a_lost_instances_records_are_adopted_once_within_the_bound(self):
        async def script(world):
            await world.clock.sleep_ms(SETTLED_MS)
            caller = world.caller("entry-1", ALICE)
            for number in range(RECORDS):
                headers = {"idempotency-key": f"booking-{number}"}
                posting = caller.post_json("/services/booking/x", {}, headers)
                world.processes.start("caller", posting)
            await world.clock.sleep_ms(12)
            killed_ms = world.clock.now_ms()
            killed = world.entries["entry-1"].instance.identity
            world.kill_entry("entry-1")
            world.platform.livelist.remove("entry-1")
            while any(
                considers_present(entry, killed) for entry in world.entries.values()
            ):
                await world.clock.sleep_ms(50)
            known_ms = world.clock.now_ms()
            free_ms = killed_ms + LeaseSettings().max_failover_ms()
            due_ms = max(known_ms, free_ms) + ADOPTED_WITHIN_MS
            await world.clock.sleep_ms(due_ms - known_ms)
            adoptions = world.events("journal_adoption")
            self.assertEqual(len(adoptions), RECORDS)
            self.assertEqual(len({line["request_id"] for line in adoptions}), RECORDS)

        for seed in range(5):
            run_world(script, small_deployment(entries=ENTRIES), seed)

    def test_records_of_a_former_incarnation_are_adopted(self):
        async def script(world):
            await world.clock.sleep_ms(SETTLED_MS)
            caller = world.caller("entry-1", ALICE)
            headers = {"idempotency-key": "booking"}
            posting = caller.post_json("/services/booking/x", {}, headers)
            world.processes.start("caller", posting)
            await world.clock.sleep_ms(12)
            world.kill_entry("entry-1")
            world.start_entry(ENTRIES[1])
            await world.clock.sleep_ms(3 * OWN_RECORDS_INITIAL_DELAY_MS)
            self.assertEqual(len(world.events("journal_adoption")), 1)

        run_world(script, small_deployment(entries=ENTRIES))


def considers_present(entry, identity) -> bool:
    """Return whether an entry instance does not consider another one gone yet."""
    membership = entry.instance.membership
    now_ms = entry.instance.lifecycle._clock.now_ms()
    gone = membership.is_gone(identity.instance, identity.incarnation, now_ms)
    return not gone
