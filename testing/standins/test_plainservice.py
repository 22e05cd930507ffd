import asyncio
import unittest

from _monsoonpulley.endpoints.service import Execution, ServiceAnswer
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.standins.bad_version import BadEffect, BadVersion
from _monsoonpulley.standins.manualloop import run_manual
from _monsoonpulley.standins.plainservice import ExecutionLedger, PlainFault

from .fleet import plain, service_call


class FaultsTest(unittest.TestCase):
    def meet(self, fault, **profile):
        """Return the result, executions at the answer and a minute later."""

        async def main():
            endpoint = plain(**profile)
            if fault:
                endpoint.inject(fault)
            result = await endpoint.call(service_call())
            at_answer = endpoint.ledger.count("r1")
            await asyncio.sleep(60)
            return result, at_answer, endpoint.ledger.count("r1")

        return run_manual(main())

    def check_maybe(self, fault, reason, at_answer, later, **profile):
        result, *counts = self.meet(fault, **profile)
        self.assertEqual((result.reason, result.delivery), (reason, Delivery.MAYBE))
        self.assertEqual(counts, [at_answer, later])

    def test_a_good_call_runs_once(self):
        result, at_answer, later = self.meet(None)
        self.assertEqual((result.status, at_answer, later), (200, 1, 1))

    def test_crash_before_executing(self):
        self.check_maybe(PlainFault.CRASH_BEFORE, Reason.PEER_ERROR, 0, 0)

    def test_crash_after_executing(self):
        self.check_maybe(PlainFault.CRASH_AFTER, Reason.PEER_ERROR, 1, 1)

    def test_reset_after_bytes_were_sent(self):
        self.check_maybe(PlainFault.RESET, Reason.PEER_ERROR, 1, 1)

    def test_hang(self):
        self.check_maybe(PlainFault.HANG, Reason.TIMEOUT, 0, 0)

    def test_slow_runs_after_the_caller_gave_up(self):
        self.check_maybe(PlainFault.SLOW, Reason.TIMEOUT, 0, 1, slow_factor=100.0)

    def test_execute_late_runs_after_the_caller_gave_up(self):
        self.check_maybe(PlainFault.EXECUTE_LATE, Reason.TIMEOUT, 0, 1)

    def test_a_pause_executes_late(self):
        async def main():
            endpoint = plain()
            endpoint.pause()
            result = await endpoint.call(service_call())
            before = endpoint.ledger.count("r1")
            endpoint.resume()
            await asyncio.sleep(1)
            return result.delivery, before, endpoint.ledger.count("r1")

        self.assertEqual(run_manual(main()), (Delivery.MAYBE, 0, 1))

    def test_a_crash_cuts_off_calls_in_progress_and_refuses_connections(self):
        async def main():
            endpoint = plain(service_ms=500)
            task = asyncio.create_task(endpoint.call(service_call()))
            await asyncio.sleep(0.1)
            endpoint.crash()
            cut = await task
            new = await endpoint.call(service_call("r2"))
            endpoint.restart()
            await asyncio.sleep(5)
            return cut.delivery, new.delivery, endpoint.ledger.most()

        expected = (Delivery.MAYBE, Delivery.NOT_SENT, 0)
        self.assertEqual(run_manual(main()), expected)

    def test_a_refusal_runs_nothing(self):
        async def main():
            endpoint = plain()
            endpoint.is_refusing = True
            result = await endpoint.call(service_call())
            return result.delivery, endpoint.ledger.count("r1")

        self.assertEqual(run_manual(main()), (Delivery.REFUSED, 0))


class BadVersionTest(unittest.TestCase):
    def statuses(self, bad, count=4, gap_s=1.0, path="/book?x=1"):
        async def main():
            endpoint = plain(bad_versions={"v1": bad})
            tasks = []
            for i in range(count):
                call = service_call(f"r{i}", path=path)
                tasks.append(asyncio.create_task(endpoint.call(call)))
                await asyncio.sleep(gap_s)
            results = await asyncio.gather(*tasks)
            executed = len(endpoint.ledger.by_endpoint)
            return [result.status for result in results], executed

        return run_manual(main())

    def test_failing_versions_answer_500_and_execute_nothing(self):
        bad = BadVersion.fails_at_once()
        self.assertEqual(self.statuses(bad), ([500] * 4, 0))
        late = BadVersion.bad_after(BadEffect.FAIL, after_ms=1_500)
        self.assertEqual(self.statuses(late), ([200, 200, 500, 500], 2))

    def test_one_route(self):
        bad = BadVersion.on_route(BadEffect.FAIL, "/book")
        self.assertEqual(self.statuses(bad), ([500] * 4, 0))
        self.assertEqual(self.statuses(bad, path="/other"), ([200] * 4, 4))

    def test_only_under_load(self):
        bad = BadVersion.under_load(BadEffect.FAIL, above_running=2)
        self.assertEqual(self.statuses(bad), ([200] * 4, 4))
        statuses, executed = self.statuses(bad, gap_s=0.0)
        self.assertIn(500, statuses)
        self.assertEqual(executed, statuses.count(200))

    def test_slow(self):
        async def main():
            bad = {"v1": BadVersion.slow_at_once(slow_factor=100.0)}
            endpoint = plain(bad_versions=bad)
            return await endpoint.call(service_call())

        self.assertEqual(run_manual(main()).reason, Reason.TIMEOUT)


class LookupTest(unittest.TestCase):
    def test_ran_gives_the_answer_also_after_a_crash(self):
        async def main():
            endpoint = plain()
            endpoint.inject(PlainFault.CRASH_AFTER)
            await endpoint.call(service_call())
            down = await endpoint.lookup("r1")
            endpoint.restart()
            return down, await endpoint.lookup("r1")

        down, lookup = run_manual(main())
        self.assertIsInstance(down, Failure)
        self.assertEqual(lookup.execution, Execution.RAN)
        self.assertIsInstance(lookup.answer, ServiceAnswer)

    def test_running_while_it_runs(self):
        async def main():
            endpoint = plain(service_ms=500)
            task = asyncio.create_task(endpoint.call(service_call()))
            await asyncio.sleep(0.1)
            lookup = await endpoint.lookup("r1")
            await task
            return lookup.execution

        self.assertEqual(run_manual(main()), Execution.RUNNING)

    def test_not_run_bars_a_call_that_arrives_late(self):
        async def main():
            endpoint = plain()
            endpoint.inject(PlainFault.EXECUTE_LATE)
            await endpoint.call(service_call())
            lookup = await endpoint.lookup("r1")
            await asyncio.sleep(60)
            again = await endpoint.call(service_call())
            return lookup.execution, endpoint.ledger.count("r1"), again.delivery

        expected = (Execution.NOT_RUN, 0, Delivery.REFUSED)
        self.assertEqual(run_manual(main()), expected)

    def test_without_lookup_it_is_unknown(self):
        async def main():
            lookup = await plain(lookup=False).lookup("r1")
            return lookup.execution

        self.assertEqual(run_manual(main()), Execution.UNKNOWN)


class LedgerTest(unittest.TestCase):
    def test_the_shared_ledger_shows_a_double_execution(self):
        async def main():
            ledger = ExecutionLedger()
            one, other = plain("s1", ledger), plain("s2", ledger)
            await one.call(service_call())
            await other.call(service_call(attempt=2))
            return ledger.most(), ledger.by_endpoint

        self.assertEqual(run_manual(main()), (2, [("r1", "s1"), ("r1", "s2")]))
