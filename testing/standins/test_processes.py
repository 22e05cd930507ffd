import asyncio
import unittest

from _monsoonpulley.standins.manualloop import run_manual
from _monsoonpulley.standins.processes import Processes


class ProcessesTest(unittest.TestCase):
    def test_a_kill_ends_all_tasks_of_its_owner_and_no_others(self):
        async def main():
            processes = Processes()
            processes.install_task_factory()
            ticks = {"one": 0, "two": 0}

            async def tick(owner):
                while True:
                    ticks[owner] += 1
                    await asyncio.sleep(1)

            async def run(owner):
                ticking = asyncio.create_task(tick(owner))
                await tick(owner)
                await ticking

            for owner in ticks:
                processes.start(owner, run(owner))
            await asyncio.sleep(2.5)
            processes.kill("one")
            ticks_at_kill = ticks["one"]
            await asyncio.sleep(2)
            self.assertEqual(ticks["one"], ticks_at_kill)
            self.assertEqual(ticks["two"], 10)

        run_manual(main())

    def test_calls_to_a_killed_owner_raise_a_connection_error(self):
        async def main():
            processes = Processes()
            processes.install_task_factory()

            async def app(scope, receive, send):
                await asyncio.sleep(60)

            call = processes.wrap_application("one", app)
            calling = asyncio.create_task(call({}, None, None))
            await asyncio.sleep(1)
            processes.kill("one")
            with self.assertRaises(ConnectionResetError):
                await calling

        run_manual(main())
