import asyncio
import statistics
import unittest
from random import Random

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.external.table import Committed, Conflict, Write
from _monsoonpulley.standins.faults import FaultKind, Faults, Latency, PlatformService
from _monsoonpulley.standins.manualloop import run_manual, running_clock
from _monsoonpulley.standins.table import TableStandin

TIMEOUT_MS = 1_000


def make_table(**options):
    return TableStandin(running_clock(), Random(7), **options)


def put(key, value=b"v", expected=0):
    return [Write(key, value, expected)]


class FaultsTest(unittest.TestCase):
    def run_with(self, scenario, **options):
        async def main():
            table = make_table(**options)
            handle = table.connect("entry-1", "zone-a", TIMEOUT_MS)
            await scenario(table, handle)

        run_manual(main())

    def assert_failure(self, result, reason):
        self.assertIsInstance(result, Failure)
        self.assertIs(result.reason, reason)

    def test_a_refused_commit_has_no_effect_and_the_next_one_has(self):
        async def scenario(table, handle):
            table.faults.fail_next_commits(FaultKind.REFUSED)
            self.assert_failure(await handle.commit(put("a")), Reason.UNAVAILABLE)
            self.assertEqual(table.rows, {})
            self.assertIsInstance(await handle.commit(put("a")), Committed)

        self.run_with(scenario)

    def test_a_lost_answer_leaves_the_effect_in_place(self):
        async def scenario(table, handle):
            table.faults.fail_next_commits(FaultKind.LOST_ANSWER)
            self.assert_failure(await handle.commit(put("a")), Reason.IN_DOUBT)
            self.assertEqual(running_clock().now_ms(), TIMEOUT_MS)
            self.assertEqual(table.rows["a"].value, b"v")

        self.run_with(scenario)

    def test_a_lost_request_never_has_an_effect(self):
        async def scenario(table, handle):
            table.faults.fail_next_commits(FaultKind.LOST_REQUEST)
            self.assert_failure(await handle.commit(put("a")), Reason.IN_DOUBT)
            await asyncio.sleep(3_600)
            self.assertEqual(table.rows, {})

        self.run_with(scenario)

    def test_a_delayed_effect_follows_after_the_failure(self):
        async def scenario(table, handle):
            table.faults.fail_next_commits(FaultKind.DELAYED_EFFECT)
            self.assert_failure(await handle.commit(put("a")), Reason.IN_DOUBT)
            self.assertIsNone(await handle.read("a"))
            await running_clock().sleep_ms(table.faults.effect_delay_ms + 1)
            self.assertEqual((await handle.read("a")).value, b"v")

        self.run_with(scenario)

    def test_a_delayed_effect_is_checked_against_the_rows_at_its_arrival(self):
        async def scenario(table, handle):
            table.faults.fail_next_commits(FaultKind.DELAYED_EFFECT)
            await handle.commit(put("a", b"late"))
            self.assertIsInstance(await handle.commit(put("a", b"early")), Committed)
            await running_clock().sleep_ms(table.faults.effect_delay_ms + 1)
            self.assertEqual(table.rows["a"].value, b"early")

        self.run_with(scenario)

    def test_a_delayed_effect_happens_whatever_else_fails_by_then(self):
        async def scenario(table, handle):
            table.faults.fail_next_commits(FaultKind.DELAYED_EFFECT)
            await handle.commit(put("a"))
            table.faults.set_outage(True)
            table.faults.network.disconnect("zone-a")
            await running_clock().sleep_ms(table.faults.effect_delay_ms + 1)
            self.assertIn("a", table.rows)

        self.run_with(scenario)

    def test_a_fault_can_be_limited_to_one_instance(self):
        async def scenario(table, handle):
            table.faults.fail_next_commits(FaultKind.REFUSED, peer="entry-2")
            other = table.connect("entry-2", "zone-a")
            self.assertIsInstance(await handle.commit(put("a")), Committed)
            self.assert_failure(await other.commit(put("b")), Reason.UNAVAILABLE)
            self.assertIsInstance(await other.commit(put("b")), Committed)

        self.run_with(scenario)

    def test_an_exception_in_the_stand_in_is_raised_in_the_calling_code(self):
        async def scenario(table, handle):
            with self.assertRaises(TypeError):
                await handle.scan("a", after=None)

        self.run_with(scenario)

    def test_an_outage_refuses_all_calls_until_it_ends(self):
        async def scenario(table, handle):
            table.faults.set_outage(True)
            self.assert_failure(await handle.read("a"), Reason.UNAVAILABLE)
            self.assert_failure(await handle.commit(put("a")), Reason.UNAVAILABLE)
            table.faults.set_outage(False)
            self.assertIsInstance(await handle.commit(put("a")), Committed)

        self.run_with(scenario)

    def test_an_outage_of_another_service_has_no_effect(self):
        async def scenario(table, handle):
            table.faults.set_outage(True, PlatformService.OBJECTS)
            self.assertIsInstance(await handle.commit(put("a")), Committed)

        self.run_with(scenario)

    def test_a_hanging_outage_leaves_commits_in_doubt_and_reads_unavailable(self):
        async def scenario(table, handle):
            table.faults.set_outage(True, hanging=True)
            self.assert_failure(await handle.commit(put("a")), Reason.IN_DOUBT)
            self.assert_failure(await handle.read("a"), Reason.UNAVAILABLE)
            self.assertEqual(running_clock().now_ms(), 2 * TIMEOUT_MS)

        self.run_with(scenario)

    def test_a_scheduled_outage_starts_and_ends_by_the_clock(self):
        async def scenario(table, handle):
            table.faults.schedule_outage(100, 200)
            is_failure_by_time = []
            for _ in range(3):
                is_failure_by_time.append(isinstance(await handle.read("a"), Failure))
                await running_clock().sleep_ms(100)
            self.assertEqual(is_failure_by_time, [False, True, False])

        self.run_with(scenario)

    def test_a_commit_in_transit_when_an_outage_starts_is_in_doubt(self):
        async def scenario(table, handle):
            table.faults.set_latency(Latency(50, 50))
            commit = asyncio.ensure_future(handle.commit(put("a")))
            await running_clock().sleep_ms(20)
            table.faults.set_outage(True)
            self.assert_failure(await commit, Reason.IN_DOUBT)
            self.assertEqual(table.rows, {})

        self.run_with(scenario)

    def test_a_zone_disconnected_after_the_effect_leaves_it_in_doubt(self):
        async def scenario(table, handle):
            table.faults.set_latency(Latency(50, 50))
            commit = asyncio.ensure_future(handle.commit(put("a")))
            await running_clock().sleep_ms(70)
            table.faults.network.disconnect("zone-a")
            self.assert_failure(await commit, Reason.IN_DOUBT)
            self.assertIn("a", table.rows)

        self.run_with(scenario)

    def test_only_the_disconnected_zone_loses_the_platform(self):
        async def scenario(table, handle):
            table.faults.network.disconnect("zone-a")
            other = table.connect("entry-2", "zone-b")
            self.assert_failure(await handle.commit(put("a")), Reason.UNAVAILABLE)
            self.assertIsInstance(await other.commit(put("a")), Committed)
            table.faults.network.reconnect("zone-a")
            self.assertIsInstance(await handle.commit(put("a")), Conflict)

        self.run_with(scenario)

    def test_a_commit_slower_than_its_timeout_is_in_doubt_and_arrives_later(self):
        async def scenario(table, handle):
            table.faults.set_latency(Latency(TIMEOUT_MS * 2, TIMEOUT_MS * 2))
            self.assert_failure(await handle.commit(put("a")), Reason.IN_DOUBT)
            self.assertEqual(table.rows, {})
            await running_clock().sleep_ms(TIMEOUT_MS + 1)
            self.assertIn("a", table.rows)

        self.run_with(scenario)

    def test_cancelling_the_call_does_not_withdraw_the_commit(self):
        async def scenario(table, handle):
            table.faults.set_latency(Latency(50, 50))
            commit = asyncio.ensure_future(handle.commit(put("a")))
            await running_clock().sleep_ms(20)
            commit.cancel()
            await running_clock().sleep_ms(100)
            self.assertIn("a", table.rows)

        self.run_with(scenario)

    def test_random_faults_follow_their_probability_and_the_seed(self):
        def failures(seed):
            faults = Faults(Random(seed))
            faults.set_fault_probability("table.commit", FaultKind.REFUSED, 0.2)
            return [
                faults.plan("table.commit", "entry-1", 0).fault for _ in range(2_000)
            ]

        self.assertEqual(failures(1), failures(1))
        share = sum(fault is not None for fault in failures(1)) / 2_000
        self.assertAlmostEqual(share, 0.2, delta=0.04)

    def test_latency_has_its_median_and_99th_percentile(self):
        rng = Random(3)
        latency = Latency(median_ms=10, p99_ms=100)
        delays_ms = sorted(latency.draw_ms(rng) for _ in range(20_000))
        self.assertAlmostEqual(statistics.median(delays_ms), 10, delta=1)
        self.assertAlmostEqual(delays_ms[19_800], 100, delta=15)

    def test_zones_can_be_disconnected_from_one_another(self):
        network = Faults(Random(1)).network
        network.partition({"zone-a"}, {"zone-b", "zone-c"})
        self.assertFalse(network.is_connected("zone-c", "zone-a"))
        self.assertTrue(network.is_connected("zone-c", "zone-b"))
        self.assertTrue(network.is_connected("zone-a"))
        network.reconnect("zone-b", "zone-a")
        self.assertTrue(network.is_connected("zone-a", "zone-b"))

    def test_clear_ends_every_fault(self):
        async def scenario(table, handle):
            faults = table.faults
            faults.fail_next_commits(FaultKind.REFUSED)
            faults.set_fault_probability("table.commit", FaultKind.REFUSED, 1)
            faults.set_outage(True)
            faults.schedule_outage(0, 1_000)
            faults.network.disconnect("zone-a")
            faults.clear()
            self.assertIsInstance(await handle.commit(put("a")), Committed)

        self.run_with(scenario)
