import asyncio
import unittest

from _monsoonpulley.endpoints.engine import (
    CacheEventKind,
    CancelOutcome,
    Finished,
    Order,
    OrderKind,
    Token,
)
from _monsoonpulley.endpoints.tokens import block_hashes
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.standins.engine_counters import ComputedBlocks
from _monsoonpulley.standins.engine_faults import StrayTokens
from _monsoonpulley.standins.engine_profile import BadEffect, BadVersion
from _monsoonpulley.standins.generated_text import whole_text
from _monsoonpulley.standins.manualloop import run_manual, running_clock

from .fleet import CHAT, PLAIN, collect, engine, engine_call, prompt, text_of


async def timed(stream):
    start_ms = running_clock().now_ms()
    items = await collect(stream)
    return items, running_clock().now_ms() - start_ms


class BatchingTest(unittest.TestCase):
    def test_a_token_takes_longer_in_a_larger_batch(self):
        async def main(count):
            worker = engine(decode_base_ms=10.0, decode_ms_per_running=5.0)
            calls = [engine_call(f"r{i}", max_tokens=101) for i in range(count)]
            streams = [timed(worker.generate(call)) for call in calls]
            return [span for _, span in await asyncio.gather(*streams)]

        alone = run_manual(main(1))
        four = run_manual(main(4))
        self.assertAlmostEqual(alone[0], 100 * 15, delta=5)
        self.assertAlmostEqual(four[0], 100 * 30, delta=10)

    def test_prefill_time_follows_uncached_prompt_tokens(self):
        async def main():
            worker = engine(prefill_tokens_per_s=1000.0)
            call = engine_call(words=1600, max_tokens=1)
            _, first = await timed(worker.generate(call))
            again = engine_call("r2", words=1600, max_tokens=1)
            items, second = await timed(worker.generate(again))
            return first, second, items[-1].cached_tokens

        first, second, cached = run_manual(main())
        self.assertAlmostEqual(first, 1600, delta=5)
        self.assertLess(second, 50)
        self.assertEqual(cached, 1599)

    def test_lower_priority_runs_first_and_equals_in_order(self):
        async def main():
            worker = engine(max_running=1)
            ended = []

            async def run(name, priority):
                await collect(worker.generate(engine_call(name, priority=priority)))
                ended.append(name)

            tasks = [asyncio.create_task(run("first", 9))]
            await asyncio.sleep(0.001)
            for name, priority in (("b", 5), ("c", 5), ("a", 1)):
                tasks.append(asyncio.create_task(run(name, priority)))
            await asyncio.gather(*tasks)
            return ended

        self.assertEqual(run_manual(main()), ["first", "a", "b", "c"])

    def test_load_reports_lag(self):
        async def main():
            worker = engine(report_lag_ms=500)
            await asyncio.sleep(1)
            call = engine_call(max_tokens=1000)
            task = asyncio.create_task(collect(worker.generate(call)))
            await asyncio.sleep(0.4)
            early = await worker.load_report()
            await asyncio.sleep(0.4)
            late = await worker.load_report()
            age_ms = running_clock().wall_ms() - late.measured_wall_ms
            task.cancel()
            return early.running, late.running, age_ms

        self.assertEqual(run_manual(main()), (0, 1, 500))


class ResumeTest(unittest.TestCase):
    def test_the_whole_text_is_the_same_wherever_it_resumes(self):
        async def main(path, cut):
            one, other = engine("e1"), engine("e2", seed=2)
            call = engine_call(path=path, max_tokens=20)
            before = (await collect(one.generate(call)))[:cut]
            rest = engine_call(
                attempt=2,
                path=path,
                max_tokens=20,
                text_so_far=text_of(before),
                tokens_so_far=cut,
            )
            return before + await collect(other.generate(rest))

        words = whole_text(prompt(4).split(), 20)
        for path, lead in ((CHAT, ""), (PLAIN, " ")):
            for cut in range(1, 20):
                items = run_manual(main(path, cut))
                self.assertEqual(text_of(items), lead + " ".join(words))
                offsets = [item.offset for item in items[:-1]]
                self.assertEqual(offsets, list(range(20)))
                end = items[-1]
                self.assertEqual((end.prompt_tokens, end.completion_tokens), (4, 20))

    def test_resuming_elsewhere_counts_the_prompt_as_recomputed(self):
        async def main():
            shared = ComputedBlocks()
            one, other = engine("e1", shared), engine("e2", shared)
            await collect(one.generate(engine_call(words=64)))
            await collect(other.generate(engine_call(words=64, attempt=2)))
            counts = [e.counters.recomputed_prompt_tokens for e in (one, other)]
            return counts

        self.assertEqual(run_manual(main()), [0, 64])

    def test_generated_text_of_a_lost_attempt_counts_when_computed_again(self):
        async def main(lose):
            shared = ComputedBlocks()
            one, other = engine("e1", shared), engine("e2", shared)
            stream = one.generate(engine_call(words=64, max_tokens=100))
            got = [await anext(stream) for _ in range(32)]
            lose(one)
            await stream.aclose()
            rest = engine_call(
                words=64,
                attempt=2,
                max_tokens=40,
                text_so_far=text_of(got),
                tokens_so_far=32,
            )
            await collect(other.generate(rest))
            return other.counters.recomputed_prompt_tokens

        self.assertEqual(run_manual(main(lambda worker: worker.crash())), 96)
        self.assertEqual(run_manual(main(lambda worker: None)), 96)

    def test_a_prompt_that_was_never_computed_is_not_recomputed(self):
        async def main():
            shared = ComputedBlocks()
            one, other = engine("e1", shared, max_running=1), engine("e2", shared)
            busy = asyncio.create_task(
                collect(one.generate(engine_call("r0", max_tokens=50)))
            )
            queued = asyncio.create_task(collect(one.generate(engine_call(words=64))))
            await asyncio.sleep(0.1)
            await one.cancel("r1.1")
            await collect(other.generate(engine_call(words=64, attempt=2)))
            await asyncio.gather(busy, queued)
            return other.counters.recomputed_prompt_tokens

        self.assertEqual(run_manual(main()), 0)

    def test_imported_kv_makes_prefill_free(self):
        async def main():
            one, other = engine("e1"), engine("e2")
            call = engine_call(words=3000, max_tokens=9)
            stream = one.generate(call)
            got = [await anext(stream) for _ in range(4)]
            rest = engine_call(
                words=3000,
                attempt=2,
                max_tokens=9,
                text_so_far=text_of(got),
                tokens_so_far=4,
            )
            data = await one.export_kv(call.attempt_id)
            await stream.aclose()
            await other.import_kv(rest.attempt_id, data)
            items = await collect(other.generate(rest))
            bad = await other.import_kv(rest.attempt_id, b"garbage")
            return text_of(got + items), other.counters.prefilled_tokens, bad

        text, prefilled, bad = run_manual(main())
        self.assertEqual(text, " ".join(whole_text(prompt(3000).split(), 9)))
        self.assertEqual(prefilled, 0)
        self.assertEqual(bad.reason, Reason.INVALID)


class CancelTest(unittest.TestCase):
    def test_queued_is_not_started_and_running_is_stopped(self):
        async def main():
            worker = engine(max_running=1)
            calls = [engine_call("r1", max_tokens=50), engine_call("r2")]
            tasks = [
                asyncio.create_task(collect(worker.generate(call))) for call in calls
            ]
            await asyncio.sleep(0.1)
            queued = await worker.cancel(calls[1].attempt_id)
            running = await worker.cancel(calls[0].attempt_id)
            gone = await worker.cancel(calls[0].attempt_id)
            ends = [items[-1] for items in await asyncio.gather(*tasks)]
            return queued, running, gone, ends, worker.counters.executions["r2"]

        queued, running, gone, ends, executions = run_manual(main())
        self.assertEqual(queued, CancelOutcome.NOT_STARTED)
        self.assertEqual(running, CancelOutcome.STOPPED)
        self.assertEqual(gone, CancelOutcome.UNKNOWN)
        self.assertEqual(ends[0].delivery, Delivery.MAYBE)
        self.assertEqual(ends[1].delivery, Delivery.REFUSED)
        self.assertEqual(executions, 0)

    def test_closing_the_stream_early_stops_generation(self):
        async def main():
            worker = engine()
            stream = worker.generate(engine_call(max_tokens=1000))
            await anext(stream)
            await stream.aclose()
            await asyncio.sleep(60)
            return worker.counters.generated_tokens

        self.assertLess(run_manual(main()), 5)


class CacheEventsTest(unittest.TestCase):
    def test_events_come_late_and_losses_show_as_gaps(self):
        async def main():
            worker = engine(event_delay_ms=200, event_drop_probability=0.5)
            for i in range(40):
                text = prompt(32, f"p{i}-")
                call = engine_call(f"r{i}", text=text, max_tokens=1)
                await collect(worker.generate(call))
            at_once = len(await worker.cache_events(0))
            await asyncio.sleep(0.2)
            events = await worker.cache_events(0)
            return at_once, [event.seq for event in events], events[-1]

        at_once, seqs, last = run_manual(main())
        self.assertLess(at_once, len(seqs))
        self.assertLess(len(seqs), seqs[-1])
        self.assertEqual(seqs, sorted(seqs))
        self.assertEqual(last.kind, CacheEventKind.STORED)

    def test_blocks_are_the_shared_hashes_and_memory_is_limited(self):
        async def main():
            worker = engine(kv_blocks=4, event_delay_ms=0)
            for name in ("a", "b"):
                text = prompt(48, name)
                await collect(worker.generate(engine_call(text=text, max_tokens=1)))
            return await worker.cache_events(0)

        events = run_manual(main())
        self.assertEqual(events[0].blocks, block_hashes(prompt(48, "a").split()))
        self.assertEqual(events[1].blocks, block_hashes(prompt(48, "b").split()))
        self.assertEqual(events[2].kind, CacheEventKind.REMOVED)
        # A chain loses its tail first, so its head stays useful.
        self.assertEqual(set(events[2].blocks), set(events[0].blocks[1:]))


class OrdersTest(unittest.TestCase):
    def test_an_old_fencing_number_is_refused_only_where_checked(self):
        async def main(checks):
            worker = engine(checks_fencing=checks)
            new = Order("o2", OrderKind.LOAD_VERSION, 7, "v2")
            old = Order("o1", OrderKind.LOAD_VERSION, 6, "v1-old")
            await worker.execute_order(new)
            return await worker.execute_order(old), worker.version

        failure, version = run_manual(main(True))
        self.assertEqual((failure.reason, version), (Reason.FENCED, "v2"))
        self.assertEqual(run_manual(main(False)), (None, "v1-old"))

    def test_an_order_is_carried_out_once(self):
        async def main():
            worker = engine()
            order = Order("o1", OrderKind.LOAD_ADAPTER, 1, argument="gilt")
            await worker.execute_order(order)
            await worker.execute_order(order)
            return worker.adapters

        self.assertEqual(run_manual(main()), ["gilt"])

    def test_a_paused_engine_carries_out_an_order_late(self):
        async def main(lose):
            worker = engine()
            worker.pause()
            failure = await worker.execute_order(
                Order("o1", OrderKind.LOAD_VERSION, 1, "v2")
            )
            before = worker.version
            lose(worker)
            worker.resume()
            await asyncio.sleep(1)
            return failure.reason, failure.delivery, before, worker.version

        expected = (Reason.TIMEOUT, Delivery.MAYBE, "v1")
        self.assertEqual(run_manual(main(lambda worker: None)), (*expected, "v2"))
        crashed = run_manual(main(lambda worker: (worker.crash(), worker.restart())))
        self.assertEqual(crashed, (*expected, "v1"))

    def test_an_order_lost_in_a_crash_can_be_given_again(self):
        async def main():
            worker = engine(order_ms=100)
            order = Order("o1", OrderKind.LOAD_VERSION, 1, "v2")
            lost = asyncio.create_task(worker.execute_order(order))
            await asyncio.sleep(0.05)
            worker.crash()
            worker.restart()
            again = await worker.execute_order(order)
            return (await lost).delivery, again, worker.version, worker.orders_done

        delivery, again, version, done = run_manual(main())
        self.assertEqual(delivery, Delivery.MAYBE)
        self.assertEqual((again, version, len(done)), (None, "v2", 1))


class FaultsTest(unittest.TestCase):
    def test_a_crash_ends_streams_in_doubt_and_refuses_connections(self):
        async def main():
            worker = engine()
            task = asyncio.create_task(
                collect(worker.generate(engine_call(max_tokens=500)))
            )
            await asyncio.sleep(0.1)
            worker.crash()
            cut = (await task)[-1]
            new = (await collect(worker.generate(engine_call("r2"))))[-1]
            load = await worker.load_report()
            worker.restart()
            items = await collect(worker.generate(engine_call("r2", attempt=2)))
            return cut, new, load, items[-1]

        cut, new, load, end = run_manual(main())
        self.assertEqual(
            (cut.reason, cut.delivery), (Reason.PEER_ERROR, Delivery.MAYBE)
        )
        self.assertEqual(
            (new.reason, new.delivery), (Reason.UNAVAILABLE, Delivery.NOT_SENT)
        )
        self.assertEqual(load.reason, Reason.UNAVAILABLE)
        self.assertIsInstance(end, Finished)

    def test_a_reclaim_crashes_after_its_notice_and_counts_late_starts(self):
        async def main():
            worker = engine()
            worker.reclaim(5_000)
            await collect(worker.generate(engine_call()))
            await asyncio.sleep(6)
            return worker.is_crashed, worker.counters.starts_while_leaving

        self.assertEqual(run_manual(main()), (True, 1))

    def test_a_pause_stops_streams_and_answers_until_resumed(self):
        async def main():
            worker = engine()
            call = engine_call(max_tokens=5)
            task = asyncio.create_task(timed(worker.generate(call)))
            await asyncio.sleep(0.02)
            worker.pause()
            load = await worker.load_report()
            await asyncio.sleep(4)
            worker.resume()
            items, span_ms = await task
            return load, span_ms, items[-1]

        load, span_ms, end = run_manual(main())
        self.assertEqual(load.reason, Reason.TIMEOUT)
        self.assertGreater(span_ms, 5_000)
        self.assertIsInstance(end, Finished)

    def test_a_stream_that_hangs_in_the_middle_times_out(self):
        async def main():
            worker = engine()
            worker.faults.hang_after_tokens = 2
            call = engine_call(token_timeout_ms=700)
            return await collect(worker.generate(call))

        items = run_manual(main())
        self.assertEqual([type(item) for item in items], [Token, Token, Failure])
        self.assertEqual(items[-1].reason, Reason.TIMEOUT)
        self.assertEqual(items[-1].delivery, Delivery.MAYBE)

    def test_late_tokens_of_an_abandoned_attempt_reach_the_next_one(self):
        async def main():
            import random

            strays = StrayTokens(random.Random(3))
            one, other = engine("e1"), engine("e2")
            one.faults.strays = other.faults.strays = strays
            stream = one.generate(engine_call(max_tokens=20))
            for _ in range(3):
                await anext(stream)
            await stream.aclose()
            return await collect(other.generate(engine_call(attempt=2, max_tokens=20)))

        items = run_manual(main())
        old = [item.offset for item in items if item.attempt_id == "r1.1"]
        self.assertEqual(sorted(old), [3, 4, 5])
        self.assertNotEqual(old, sorted(old))
        own = [item.text for item in items[:-1] if item.attempt_id == "r1.2"]
        self.assertEqual("".join(own), " ".join(whole_text(prompt(4).split(), 20)))


class BadVersionTest(unittest.TestCase):
    def run_calls(self, bad, count=6, gap_s=1.0, path=CHAT):
        """Return per call whether it failed and how long it took."""

        async def main():
            worker = engine(bad_versions={"v1": bad}, max_running=8)
            tasks = []
            for i in range(count):
                call = engine_call(f"r{i}", path=path)
                tasks.append(asyncio.create_task(timed(worker.generate(call))))
                await asyncio.sleep(gap_s)
            done = await asyncio.gather(*tasks)
            return [(isinstance(items[-1], Failure), ms) for items, ms in done]

        return run_manual(main())

    def failed(self, *args, **kwargs):
        return [failed for failed, _ in self.run_calls(*args, **kwargs)]

    def test_fails_at_once(self):
        self.assertEqual(self.failed(BadVersion.fails_at_once()), [True] * 6)

    def test_slow_at_once(self):
        results = self.run_calls(BadVersion.slow_at_once(10.0))
        good = self.run_calls(BadVersion.bad_after(BadEffect.SLOW, after_ms=10**6))
        for (_, slow_ms), (_, good_ms) in zip(results, good, strict=True):
            self.assertGreater(slow_ms, 9 * good_ms)

    def test_late_by_time(self):
        bad = BadVersion.bad_after(BadEffect.FAIL, after_ms=2_500)
        self.assertEqual(self.failed(bad), [False] * 3 + [True] * 3)

    def test_late_by_requests(self):
        bad = BadVersion.bad_after(BadEffect.FAIL, after_requests=5)
        self.assertEqual(self.failed(bad), [False] * 4 + [True] * 2)

    def test_only_under_load(self):
        bad = BadVersion.under_load(BadEffect.FAIL, above_running=3)
        self.assertEqual(self.failed(bad, gap_s=1.0), [False] * 6)
        self.assertIn(True, self.failed(bad, gap_s=0.0))

    def test_on_one_route(self):
        bad = BadVersion.on_route(BadEffect.FAIL, PLAIN)
        self.assertEqual(self.failed(bad, path=CHAT), [False] * 6)
        self.assertEqual(self.failed(bad, path=PLAIN), [True] * 6)

    def test_the_age_of_a_version_counts_from_its_loading(self):
        async def main():
            late = BadVersion.bad_after(BadEffect.FAIL, after_ms=2_000)
            worker = engine(bad_versions={"v2": late})
            await asyncio.sleep(10)
            await worker.execute_order(Order("o1", OrderKind.LOAD_VERSION, 1, "v2"))
            early = await collect(worker.generate(engine_call("r1")))
            await asyncio.sleep(2)
            late = await collect(worker.generate(engine_call("r2")))
            return early[-1], late[-1]

        early, late = run_manual(main())
        self.assertIsInstance(early, Finished)
        self.assertIsInstance(late, Failure)
