"""Groups of instances with leases on one table, under faults."""

from __future__ import annotations

import unittest
from itertools import pairwise
from unittest import mock

from _monsoonpulley.control.duties import rendezvous_order
from _monsoonpulley.control.leasestate import LeaseSettings
from _monsoonpulley.standins.faults import FaultKind, Latency
from _monsoonpulley.standins.manualloop import run_manual

from .leasegroup import ACT_MS, LeaseGroup

SETTLED_MS = 12_000
BOUND_MS = LeaseSettings().max_failover_ms()
SEEDS = range(6)
MEASURED_MS = 3_000
LARGE_SETTLED_MS = 4_500
MAX_READS_PER_S = 2_000
MAX_WRITES_PER_S = 300


def run_group(script, seed=1, size=4, shards=8, settings=None):
    async def main():
        group = LeaseGroup(seed, size, shards, settings)
        try:
            await script(group)
        finally:
            group.stop()
        group.assert_invariants()

    run_manual(main())


class TestRendezvous(unittest.TestCase):
    def test_duties_are_spread_and_only_a_lost_instances_duties_move(self):
        instances = [f"entry-{number}" for number in range(9)]
        duties = [f"recovery/{number}" for number in range(900)]
        before = {duty: rendezvous_order(duty, instances)[0] for duty in duties}
        counts = [list(before.values()).count(name) for name in instances]
        self.assertGreater(min(counts), 50)
        self.assertLess(max(counts), 150)
        for duty in duties:
            after = rendezvous_order(duty, instances[:-1])[0]
            if before[duty] != instances[-1]:
                self.assertEqual(after, before[duty])


class TestScan(unittest.TestCase):
    def test_a_scan_requested_during_a_scan_follows_it_at_once(self):
        async def script(group):
            leases = group.running["entry-0"].leases
            begun_ms = []
            read_page = leases._table.scan

            async def read_slowly(*args, **kwargs):
                begun_ms.append(group.clock.now_ms())
                page = await read_page(*args, **kwargs)
                if len(begun_ms) == 1:
                    leases.request_scan()
                await group.clock.sleep_ms(ACT_MS)
                return page

            with mock.patch.object(leases._table, "scan", read_slowly):
                await group.clock.sleep_ms(4 * interval_ms)
            first_ms, second_ms = begun_ms[:2]
            self.assertLess(second_ms - first_ms, interval_ms / 2)

        interval_ms = LeaseSettings().scan_interval_ms
        run_group(script, size=1)


class TestGroup(unittest.TestCase):
    def test_a_killed_holders_duties_fail_over_within_the_bound(self):
        async def script(group):
            await group.clock.sleep_ms(SETTLED_MS)
            for name in ("entry-0", "entry-1"):
                killed_ms = group.clock.now_ms()
                lost = [d for d, n in group.holders().items() if n == [name]]
                self.assertTrue(lost)
                group.kill(name)
                await group.clock.sleep_ms(BOUND_MS + ACT_MS)
                for duty in lost:
                    at_ms = group.first_act_ms(duty, killed_ms)
                    self.assertIsNotNone(at_ms, duty)
                    self.assertLessEqual(at_ms - killed_ms, BOUND_MS + ACT_MS)

        for seed in SEEDS:
            run_group(script, seed, shards=24)

    def test_an_outage_through_expiry_stops_all_and_all_resumes(self):
        times = LeaseSettings()

        async def script(group, hanging):
            await group.clock.sleep_ms(SETTLED_MS)
            group.table.faults.set_outage(True, hanging=hanging)
            down_ms = group.clock.now_ms()
            await group.clock.sleep_ms(3 * times.lease_duration_ms)
            stopped_ms = down_ms + times.lease_duration_ms
            acts = [a for acts in group.acts.values() for a in acts]
            self.assertFalse([a for a in acts if a[0] > stopped_ms])
            group.table.faults.set_outage(False)
            up_ms = group.clock.now_ms()
            await group.clock.sleep_ms(BOUND_MS)
            self.assertEqual(len(group.holders()), group.shards)
            self.assertTrue(all(group.first_act_ms(d, up_ms) for d in group.acts))

        for hanging in (False, True):
            for seed in SEEDS:
                run_group(lambda group, h=hanging: script(group, h), seed)

    def test_faulty_commits_and_kills_never_let_two_instances_act(self):
        async def script(group, kinds):
            for kind in kinds:
                group.table.faults.set_fault_probability("table.commit", kind, 0.25)
            group.table.faults.set_latency(Latency(30, 900))
            for round_number in range(6):
                await group.clock.sleep_ms(6_000)
                name = f"entry-{round_number % 3}"
                group.kill(name)
                await group.clock.sleep_ms(300)
                group.start(name)
            group.table.faults.clear()
            await group.clock.sleep_ms(2 * BOUND_MS)
            holders = group.holders()
            self.assertEqual(len(holders), group.shards)
            self.assertTrue(all(len(names) == 1 for names in holders.values()))

        kinds = list(FaultKind)
        for seed, kind in enumerate(kinds):
            for other in kinds[seed + 1 :]:
                pair = (kind, other)
                run_group(lambda group, p=pair: script(group, p), seed)

    def test_a_conflict_on_one_lease_does_not_delay_the_others(self):
        async def script(group):
            await group.clock.sleep_ms(SETTLED_MS)
            first = group.running["entry-0"]
            held = list(first.duties.running_duties())
            self.assertGreater(len(held), 1)
            key = f"lease/{held[0]}"
            row = group.table.rows[key]
            taken = row.value.replace(b"entry-0", b"entry-9")
            group.table.rows[key] = type(row)(key, taken, row.revision + 1)
            group.table.revision += 1
            await group.clock.sleep_ms(LeaseSettings().lease_duration_ms)
            self.assertEqual(sorted(first.duties.running_duties()), sorted(held[1:]))

        run_group(script)

    def test_a_preferred_instance_gets_its_duties_back_without_a_gap(self):
        times = LeaseSettings()

        async def script(group):
            await group.clock.sleep_ms(SETTLED_MS)
            group.kill("entry-0")
            await group.clock.sleep_ms(BOUND_MS + 1_000)
            group.start("entry-0")
            await group.clock.sleep_ms(times.hand_over_delay_ms + 2 * BOUND_MS)
            for duty, names in group.holders().items():
                self.assertEqual(names, rendezvous_order(duty, group.live)[:1])
            for acts in group.acts.values():
                late = [at for at, _, _ in acts if at > SETTLED_MS + 2 * BOUND_MS]
                gap_ms = max(b - a for a, b in pairwise(late))
                self.assertLess(gap_ms, times.lease_duration_ms)

        for seed in SEEDS:
            run_group(script, seed)

    def test_leaving_hands_over_before_the_lease_would_expire(self):
        """`control.duties.DutyRunner._try_stop` ends the duty before the release."""
        times = LeaseSettings()

        async def script(group):
            await group.clock.sleep_ms(SETTLED_MS)
            leaving = group.running["entry-0"]
            handed = list(leaving.duties.running_duties())
            left_ms = group.clock.now_ms()
            await leaving.duties.hand_over_all()
            self.assertFalse(leaving.duties.running_duties())
            group.kill("entry-0")
            await group.clock.sleep_ms(times.lease_duration_ms)
            for duty in handed:
                at_ms = next(
                    at
                    for at, name, _ in group.acts[duty]
                    if at > left_ms and name != "entry-0"
                )
                self.assertLess(at_ms - left_ms, times.lease_duration_ms)

        for seed in SEEDS:
            run_group(script, seed)

    def test_table_load_at_the_two_year_size_is_within_a_quarter_of_the_limits(self):
        async def script(group):
            await group.clock.sleep_ms(LARGE_SETTLED_MS)
            before = group.table.counts.reads + group.table.counts.scans
            written = group.table.counts.rows_written
            await group.clock.sleep_ms(MEASURED_MS)
            reads = group.table.counts.reads + group.table.counts.scans - before
            rows = group.table.counts.rows_written - written
            self.assertLess(1_000 * reads / MEASURED_MS, MAX_READS_PER_S / 4)
            self.assertLess(1_000 * rows / MEASURED_MS, MAX_WRITES_PER_S / 4)

        run_group(script, size=360, shards=60)
