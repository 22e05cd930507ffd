import asyncio
import json
import random
import unittest

from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.manualloop import run_manual, running_clock
from _monsoonpulley.supervisor import MAX_BACKOFF_MS, Restart, Supervisor


class SupervisorTest(unittest.TestCase):
    def run_children(self, run_ms, **children):
        """Run children for ``run_ms``; return the log lines and their statuses."""
        lines = []

        async def main():
            clock = running_clock()
            log = Log(clock, lines.append)
            supervisor = Supervisor("tree", clock, log, random.Random(1))
            for name, (run, restart) in children.items():
                supervisor.add(name, run, restart)
            running = asyncio.create_task(supervisor.run())
            await clock.sleep_ms(run_ms)
            running.cancel()
            await asyncio.wait({running})
            return {status.name: status for status in supervisor.status()}

        statuses = run_manual(main())
        return [json.loads(line) for line in lines], statuses

    def test_a_failed_child_is_restarted_and_its_sibling_keeps_running(self):
        ticks = []

        async def fails():
            raise OSError("no route")

        async def keeps_running():
            while True:
                ticks.append(running_clock().now_ms())
                await asyncio.sleep(1)

        lines, statuses = self.run_children(
            59_500,
            fails=(fails, Restart.ALWAYS),
            keeps_running=(keeps_running, Restart.ALWAYS),
        )
        self.assertEqual(len(ticks), 60)
        self.assertEqual(statuses["keeps_running"].starts, 1)
        self.assertGreater(statuses["fails"].starts, 5)
        self.assertEqual(statuses["fails"].last_error, "OSError: no route")
        self.assertEqual({line["error"] for line in lines}, {"OSError: no route"})

    def test_the_backoff_grows_to_its_limit(self):
        async def fails():
            raise OSError

        lines, _ = self.run_children(120_000, fails=(fails, Restart.ALWAYS))
        waits_ms = [line["backoff_ms"] for line in lines]
        self.assertLessEqual(waits_ms[0], 100)
        self.assertGreater(waits_ms[-1], MAX_BACKOFF_MS / 2 - 1)
        self.assertLessEqual(max(waits_ms), MAX_BACKOFF_MS)

    def test_a_child_that_ran_long_restarts_with_the_initial_backoff(self):
        async def fails_late():
            await asyncio.sleep(40)
            raise OSError

        lines, _ = self.run_children(400_000, fails=(fails_late, Restart.ALWAYS))
        self.assertGreater(len(lines), 5)
        self.assertTrue(all(line["backoff_ms"] <= 100 for line in lines))

    def test_a_child_restarted_only_on_failure_may_return(self):
        async def ends():
            return

        lines, statuses = self.run_children(10_000, once=(ends, Restart.ON_FAILURE))
        self.assertEqual((lines, statuses["once"].starts), ([], 1))

    def test_a_child_that_cancels_itself_is_restarted(self):
        async def cancels_itself():
            raise asyncio.CancelledError

        _, statuses = self.run_children(
            5_000, cancelled=(cancels_itself, Restart.ALWAYS)
        )
        self.assertGreater(statuses["cancelled"].starts, 1)
