import asyncio
import unittest
from random import Random

from _monsoonpulley.errors import Reason
from _monsoonpulley.external.cloud import InstanceSpec, Price
from _monsoonpulley.external.livelist import Member, MemberState, Role
from _monsoonpulley.standins.cloud import CloudState
from _monsoonpulley.standins.faults import FaultKind
from _monsoonpulley.standins.manualloop import run_manual, running_clock
from _monsoonpulley.standins.platform import PlatformStandin


def spec(zone="zone-a", reclaimable=True):
    return InstanceSpec(zone, "large", reclaimable, "model", "v1")


def member(instance, zone="zone-a"):
    return Member(instance, Role.ENDPOINT, zone, "10.0.0.1:80")


class PlatformStandinTest(unittest.TestCase):
    def run_with(self, scenario, **options):
        async def main():
            standin = PlatformStandin(running_clock(), Random(5), **options)
            await scenario(standin, standin.connect("entry-1", "zone-a"))

        run_manual(main())

    def test_an_object_can_be_put_again_only_with_the_same_bytes(self):
        async def scenario(standin, platform):
            objects = platform.objects
            self.assertIsNone(await objects.put("n", b"1"))
            self.assertIsNone(await objects.put("n", b"1"))
            self.assertIs((await objects.put("n", b"2")).reason, Reason.CONFLICT)
            self.assertEqual(await objects.get("n"), b"1")
            self.assertIsNone(await objects.delete("n"))
            self.assertIsNone(await objects.delete("n"))
            self.assertIsNone(await objects.get("n"))

        self.run_with(scenario)

    def test_a_put_whose_answer_is_lost_takes_effect(self):
        async def scenario(standin, platform):
            standin.faults.next_call("objects.put", FaultKind.LOST_ANSWER)
            failure = await platform.objects.put("n", b"1")
            self.assertIs(failure.reason, Reason.IN_DOUBT)
            self.assertEqual(standin.objects.data, {"n": b"1"})

        self.run_with(scenario)

    def test_the_live_list_shows_changes_only_after_its_lag(self):
        async def scenario(standin, platform):
            standin.livelist.seed([member("i-1")])
            standin.livelist.set_member(member("i-2"))
            standin.livelist.mark_leaving("i-1")
            await running_clock().sleep_ms(9_990)
            self.assertEqual(await platform.livelist.members(), (member("i-1"),))
            await running_clock().sleep_ms(20)
            first, second = await platform.livelist.members()
            self.assertIs(first.state, MemberState.LEAVING)
            self.assertEqual(second, member("i-2"))

        self.run_with(scenario, lag_ms=10_000)

    def test_changes_of_the_live_list_keep_their_order_when_the_lag_shrinks(self):
        async def scenario(standin, platform):
            standin.livelist.set_member(member("i-1"))
            standin.livelist.lag_ms = 0
            standin.livelist.remove("i-1")
            await running_clock().sleep_ms(10_001)
            self.assertEqual(await platform.livelist.members(), ())

        self.run_with(scenario, lag_ms=10_000)

    def test_a_reused_start_token_starts_no_second_instance(self):
        async def scenario(standin, platform):
            standin.faults.next_call("cloud.start", FaultKind.LOST_ANSWER)
            failure = await platform.cloud.start("t1", spec())
            self.assertIs(failure.reason, Reason.IN_DOUBT)
            name = await platform.cloud.start("t1", spec())
            self.assertEqual(list(standin.cloud.instances), [name])
            mismatch = await platform.cloud.start("t1", spec("zone-b"))
            self.assertIs(mismatch.reason, Reason.KEY_REUSED)

        self.run_with(scenario)

    def test_starts_are_refused_by_zone_and_reclaimability(self):
        async def scenario(standin, platform):
            standin.cloud.refuse_starts(True, zone="zone-a", reclaimable=True)
            refusal = await platform.cloud.start("t1", spec())
            self.assertIs(refusal.reason, Reason.OVERLOADED)
            self.assertIsInstance(await platform.cloud.start("t2", spec("b")), str)
            on_demand = spec(reclaimable=False)
            self.assertIsInstance(await platform.cloud.start("t3", on_demand), str)
            standin.cloud.refuse_starts(False, zone="zone-a", reclaimable=True)
            self.assertIsInstance(await platform.cloud.start("t1", spec()), str)

        self.run_with(scenario)

    def test_an_instance_runs_after_its_startup_time_unless_stopped(self):
        async def scenario(standin, platform):
            ready = []
            standin.cloud.on_ready.append(
                lambda i: ready.append((i.name, running_clock().now_ms()))
            )
            first = await platform.cloud.start("t1", spec())
            second = await platform.cloud.start("t2", spec())
            self.assertIsNone(await platform.cloud.stop(second))
            self.assertIsNone(await platform.cloud.stop(second))
            await asyncio.sleep(60)
            self.assertEqual(ready, [(first, 30_000)])

        self.run_with(scenario, startup_ms=30_000)

    def test_a_reclaim_is_announced_and_carried_out(self):
        async def scenario(standin, platform):
            ended = []
            standin.cloud.on_ended.append(
                lambda i: ended.append((i.name, i.state, i.ended_ms))
            )
            standin.cloud.add_running("i-a", spec())
            standin.livelist.seed([member("i-a")])
            standin.cloud.reclaim("i-a", 5_000)
            deadline_wall_ms = running_clock().wall_ms() + 5_000
            (notice,) = await platform.cloud.notices()
            self.assertEqual(
                (notice.instance, notice.deadline_wall_ms), ("i-a", deadline_wall_ms)
            )
            (listed,) = await platform.livelist.members()
            self.assertIs(listed.state, MemberState.LEAVING)
            await asyncio.sleep(6)
            self.assertEqual(ended, [("i-a", CloudState.KILLED, 5_000)])
            self.assertEqual(await platform.cloud.notices(), ())
            self.assertEqual(await platform.livelist.members(), ())

        self.run_with(scenario)

    def test_a_further_reclaim_never_puts_off_the_deadline(self):
        async def scenario(standin, platform):
            now_ms = running_clock().wall_ms()
            standin.cloud.add_running("i-a", spec())
            deadlines = []
            for notice_ms in (5_000, 9_000, 2_000):
                standin.cloud.reclaim("i-a", notice_ms)
                (notice,) = await platform.cloud.notices()
                deadlines.append(notice.deadline_wall_ms - now_ms)
            self.assertEqual(deadlines, [5_000, 5_000, 2_000])
            await asyncio.sleep(10)
            self.assertEqual(standin.cloud.instances["i-a"].ended_ms, 2_000)

        self.run_with(scenario)

    def test_a_process_may_crash_before_its_notice_ends(self):
        async def scenario(standin, platform):
            standin.cloud.add_running("i-a", spec())
            standin.cloud.reclaim("i-a", 5_000, crash_after_ms=1_000)
            await asyncio.sleep(10)
            self.assertEqual(standin.cloud.instances["i-a"].ended_ms, 1_000)

        self.run_with(scenario)

    def test_reclaiming_a_zone_ends_only_its_reclaimable_instances(self):
        async def scenario(standin, platform):
            for number in range(20):
                standin.cloud.add_running(f"a-{number}", spec())
            standin.cloud.add_running("a-kept", spec(reclaimable=False))
            standin.cloud.add_running("b-kept", spec("zone-b"))
            reclaimed_names = standin.cloud.reclaim_zone(
                "zone-a", 5_000, early_crash_probability=0.5
            )
            self.assertEqual(len(await platform.cloud.notices()), 20)
            await asyncio.sleep(6)
            alive = [i.name for i in standin.cloud.instances.values() if i.is_alive]
            self.assertEqual(alive, ["a-kept", "b-kept"])
            ends = [standin.cloud.instances[name].ended_ms for name in reclaimed_names]
            early_count = sum(end < 5_000 for end in ends)
            self.assertTrue(0 < early_count < 20, early_count)

        self.run_with(scenario)

    def test_prices_can_be_replaced(self):
        async def scenario(standin, platform):
            standin.cloud.set_prices([Price("zone-a", "large", True, 300)])
            standin.cloud.set_prices([Price("zone-a", "large", True, 900)])
            (price,) = await platform.cloud.prices()
            self.assertEqual(price.milli_per_h, 900)

        self.run_with(scenario)

    def test_an_outage_makes_all_four_services_unavailable(self):
        async def scenario(standin, platform):
            standin.faults.outage(True)
            results = (
                await platform.table.read("a"),
                await platform.objects.get("a"),
                await platform.livelist.members(),
                await platform.cloud.start("t", spec()),
            )
            for result in results:
                self.assertIs(result.reason, Reason.UNAVAILABLE)

        self.run_with(scenario)
