import asyncio
import unittest

from _monsoonpulley.standins.manualloop import IdleError, run_manual, running_clock


class ManualLoopTest(unittest.TestCase):
    def test_sleeps_end_in_order_of_their_durations(self):
        seen = []

        async def nap(duration_ms):
            await running_clock().sleep_ms(duration_ms)
            seen.append((duration_ms, running_clock().now_ms()))

        async def main():
            await asyncio.gather(nap(3_600_000), nap(5), nap(0.25))

        run_manual(main())
        self.assertEqual(seen, [(0.25, 0), (5, 5), (3_600_000, 3_600_000)])

    def test_timeouts_use_manual_time(self):
        async def main():
            with self.assertRaises(asyncio.TimeoutError):
                await asyncio.wait_for(asyncio.Event().wait(), 60)
            return running_clock().now_ms()

        self.assertEqual(run_manual(main()), 60_000)

    def test_waiting_without_a_timer_raises_idle_error(self):
        async def main():
            await asyncio.Event().wait()

        with self.assertRaises(IdleError):
            run_manual(main())
