import asyncio
import unittest

from _monsoonpulley.endpoints.service import Execution, ServiceAnswer
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.standins.bad_version import BadEffect, BadVersion
from _monsoonpulley.standins.manualloop import run_manual
from _monsoonpulley.standins.plainservice import ExecutionLedger, PlainFault

from .fleet import make_plain_service, service_call


class FaultsTest(unittest.TestCase):
    def call_with_fault(self, fault, **profile):
        """Return the result, and executions at the answer and a minute later."""

        async def main():
            endpoint = make_plain_service(**profile)
            if fault:
                endpoint.inject(fault)
            result = await endpoint.call(service_call())
            at_answer = endpoint.ledger.count("r1")
            await asyncio.sleep(60)
            return result, at_answer, endpoint.ledger.count("r1")

        return run_manual(main())

    def check_in_doubt(self, fault, reason, at_answer, after_a_minute, **profile):
        result, *counts = self.call_with_fault(fault, **profile)
        self.assertEqual((result.reason, result.delivery), (reason, Delivery.MAYBE))
        self.assertEqual(counts, [at_answer, after_a_minute])

    def test_a_call_without_faults_runs_once(self):
        result, at_answer, after_a_minute = self.call_with_fault(None)
        self.assertEqual((result.status, at_answer, after_a_minute), (200, 1, 1))

    def test_a_crash_before_execution_leaves_a_call_in_doubt_that_never_runs(self):
        self.check_in_doubt(PlainFault.CRASH_BEFORE, Reason.PEER_ERROR, 0, 0)

    def test_a_crash_after_execution_leaves_a_call_in_doubt_that_ran(self):
        self.check_in_doubt(PlainFault.CRASH_AFTER, Reason.PEER_ERROR, 1, 1)

    def test_a_reset_connection_leaves_a_call_in_doubt_that_ran(self):
        self.check_in_doubt(PlainFault.RESET, Reason.PEER_ERROR, 1, 1)

    def test_a_hanging_call_times_out_and_never_runs(self):
        self.check_in_doubt(PlainFault.HANG, Reason.TIMEOUT, 0, 0)

    def test_a_slow_call_runs_after_its_timeout(self):
        self.check_in_doubt(PlainFault.SLOW, Reason.TIMEOUT, 0, 1, slow_factor=100.0)

    def test_a_call_read_late_runs_after_its_timeout(self):
        self.check_in_doubt(PlainFault.EXECUTE_LATE, Reason.TIMEOUT, 0, 1)

    def test_a_paused_endpoint_executes_a_call_when_resumed(self):
        async def main():
            endpoint = make_plain_service()
            endpoint.pause()
            result = await endpoint.call(service_call())
            before = endpoint.ledger.count("r1")
            endpoint.resume()
            await asyncio.sleep(1)
            return result.delivery, before, endpoint.ledger.count("r1")

        self.assertEqual(run_manual(main()), (Delivery.MAYBE, 0, 1))

    def test_a_crash_breaks_calls_in_progress_and_refuses_connections(self):
        async def main():
            endpoint = make_plain_service(service_ms=500)
            task = asyncio.create_task(endpoint.call(service_call()))
            await asyncio.sleep(0.1)
            endpoint.crash()
            broken = await task
            new = await endpoint.call(service_call("r2"))
            endpoint.restart()
            await asyncio.sleep(5)
            return broken.delivery, new.delivery, endpoint.ledger.max_count()

        expected = (Delivery.MAYBE, Delivery.NOT_SENT, 0)
        self.assertEqual(run_manual(main()), expected)

    def test_a_refusal_runs_nothing(self):
        async def main():
            endpoint = make_plain_service()
            endpoint.is_refusing = True
            result = await endpoint.call(service_call())
            return result.delivery, endpoint.ledger.count("r1")

        self.assertEqual(run_manual(main()), (Delivery.REFUSED, 0))


class BadVersionTest(unittest.TestCase):
    def statuses(self, bad, count=4, gap_s=1.0, path="/book?x=1"):
        async def main():
            endpoint = make_plain_service(bad_versions={"v1": bad})
            tasks = []
            for i in range(count):
                call = service_call(f"r{i}", path=path)
                tasks.append(asyncio.create_task(endpoint.call(call)))
                await asyncio.sleep(gap_s)
            results = await asyncio.gather(*tasks)
            executed = len(endpoint.ledger.executions)
            return [result.status for result in results], executed

        return run_manual(main())

    def test_failing_versions_answer_500_and_execute_nothing(self):
        bad = BadVersion.fails_at_once()
        self.assertEqual(self.statuses(bad), ([500] * 4, 0))
        late = BadVersion.delayed(BadEffect.FAIL, after_ms=1_500)
        self.assertEqual(self.statuses(late), ([200, 200, 500, 500], 2))

    def test_fails_on_one_route_only(self):
        bad = BadVersion.on_route(BadEffect.FAIL, "/book")
        self.assertEqual(self.statuses(bad), ([500] * 4, 0))
        self.assertEqual(self.statuses(bad, path="/other"), ([200] * 4, 4))

    def test_fails_only_under_load(self):
        bad = BadVersion.under_load(BadEffect.FAIL, above_running=2)
        self.assertEqual(self.statuses(bad), ([200] * 4, 4))
        statuses, executed = self.statuses(bad, gap_s=0.0)
        self.assertIn(500, statuses)
        self.assertEqual(executed, statuses.count(200))

    def test_a_slow_version_times_out(self):
        async def main():
            bad = {"v1": BadVersion.slow_at_once(slow_factor=100.0)}
            endpoint = make_plain_service(bad_versions=bad)
            return await endpoint.call(service_call())

        self.assertEqual(run_manual(main()).reason, Reason.TIMEOUT)


class LookupTest(unittest.TestCase):
    def test_lookup_returns_the_answer_also_after_a_crash(self):
        async def main():
            endpoint = make_plain_service()
            endpoint.inject(PlainFault.CRASH_AFTER)
            await endpoint.call(service_call())
            down = await endpoint.lookup("r1")
            endpoint.restart()
            return down, await endpoint.lookup("r1")

        down, lookup = run_manual(main())
        self.assertIsInstance(down, Failure)
        self.assertEqual(lookup.execution, Execution.RAN)
        self.assertIsInstance(lookup.answer, ServiceAnswer)

    def test_lookup_reports_a_call_in_progress_as_running(self):
        async def main():
            endpoint = make_plain_service(service_ms=500)
            task = asyncio.create_task(endpoint.call(service_call()))
            await asyncio.sleep(0.1)
            lookup = await endpoint.lookup("r1")
            await task
            return lookup.execution

        self.assertEqual(run_manual(main()), Execution.RUNNING)

    def test_a_lookup_that_finds_no_execution_bars_a_late_call(self):
        async def main():
            endpoint = make_plain_service()
            endpoint.inject(PlainFault.EXECUTE_LATE)
            await endpoint.call(service_call())
            lookup = await endpoint.lookup("r1")
            await asyncio.sleep(60)
            again = await endpoint.call(service_call())
            return lookup.execution, endpoint.ledger.count("r1"), again.delivery

        expected = (Execution.NOT_RUN, 0, Delivery.REFUSED)
        self.assertEqual(run_manual(main()), expected)

    def test_lookup_without_support_is_unknown(self):
        async def main():
            lookup = await make_plain_service(supports_lookup=False).lookup("r1")
            return lookup.execution

        self.assertEqual(run_manual(main()), Execution.UNKNOWN)


class LedgerTest(unittest.TestCase):
    def test_the_shared_ledger_shows_a_second_execution(self):
        async def main():
            ledger = ExecutionLedger()
            one, other = (
                make_plain_service("s1", ledger),
                make_plain_service("s2", ledger),
            )
            await one.call(service_call())
            await other.call(service_call(attempt=2))
            return ledger.max_count(), ledger.executions

        self.assertEqual(run_manual(main()), (2, [("r1", "s1"), ("r1", "s2")]))
