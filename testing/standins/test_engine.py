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
from _monsoonpulley.standins.engine_faults import LateTokens
from _monsoonpulley.standins.engine_profile import BadEffect, BadVersion
from _monsoonpulley.standins.generated_text import generate_words
from _monsoonpulley.standins.manualloop import run_manual, running_clock

from .fleet import CHAT, PLAIN, collect, engine_call, make_engine, prompt, text_of


async def collect_timed(stream):
    start_ms = running_clock().now_ms()
    items = await collect(stream)
    return items, running_clock().now_ms() - start_ms


class BatchingTest(unittest.TestCase):
    def test_a_token_takes_longer_in_a_larger_batch(self):
        async def main(count):
            engine = make_engine(decode_base_ms=10.0, decode_ms_per_running=5.0)
            calls = [engine_call(f"r{i}", max_tokens=101) for i in range(count)]
            streams = [collect_timed(engine.generate(call)) for call in calls]
            return [elapsed_ms for _, elapsed_ms in await asyncio.gather(*streams)]

        alone = run_manual(main(1))
        four = run_manual(main(4))
        self.assertAlmostEqual(alone[0], 100 * 15, delta=5)
        self.assertAlmostEqual(four[0], 100 * 30, delta=10)

    def test_prefill_time_follows_uncached_prompt_tokens(self):
        async def main():
            engine = make_engine(prefill_tokens_per_s=1000.0)
            call = engine_call(words=1600, max_tokens=1)
            _, first = await collect_timed(engine.generate(call))
            again = engine_call("r2", words=1600, max_tokens=1)
            items, second = await collect_timed(engine.generate(again))
            return first, second, items[-1].cached_tokens

        first, second, cached = run_manual(main())
        self.assertAlmostEqual(first, 1600, delta=5)
        self.assertLess(second, 50)
        self.assertEqual(cached, 1599)

    def test_lower_priority_runs_first_and_equal_ones_in_order_of_arrival(self):
        async def main():
            engine = make_engine(max_running=1)
            ended = []

            async def run(name, priority):
                await collect(engine.generate(engine_call(name, priority=priority)))
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
            engine = make_engine(report_lag_ms=500)
            await asyncio.sleep(1)
            call = engine_call(max_tokens=1000)
            task = asyncio.create_task(collect(engine.generate(call)))
            await asyncio.sleep(0.4)
            early = await engine.load_report()
            await asyncio.sleep(0.4)
            late = await engine.load_report()
            age_ms = running_clock().wall_ms() - late.measured_wall_ms
            task.cancel()
            return early.running, late.running, age_ms

        self.assertEqual(run_manual(main()), (0, 1, 500))


class ResumeTest(unittest.TestCase):
    def test_the_answer_is_the_same_wherever_it_resumes(self):
        async def main(path, resume_at):
            one, other = make_engine("e1"), make_engine("e2", seed=2)
            call = engine_call(path=path, max_tokens=20)
            before = (await collect(one.generate(call)))[:resume_at]
            rest = engine_call(
                attempt=2,
                path=path,
                max_tokens=20,
                text_so_far=text_of(before),
                tokens_so_far=resume_at,
            )
            return before + await collect(other.generate(rest))

        words = generate_words(prompt(4).split(), 20)
        for path, lead in ((CHAT, ""), (PLAIN, " ")):
            for resume_at in range(1, 20):
                items = run_manual(main(path, resume_at))
                self.assertEqual(text_of(items), lead + " ".join(words))
                offsets = [item.offset for item in items[:-1]]
                self.assertEqual(offsets, list(range(20)))
                end = items[-1]
                self.assertEqual((end.prompt_tokens, end.completion_tokens), (4, 20))

    def test_resuming_elsewhere_counts_the_prompt_as_recomputed(self):
        async def main():
            shared = ComputedBlocks()
            one, other = make_engine("e1", shared), make_engine("e2", shared)
            await collect(one.generate(engine_call(words=64)))
            await collect(other.generate(engine_call(words=64, attempt=2)))
            counts = [e.counters.recomputed_prompt_tokens for e in (one, other)]
            return counts

        self.assertEqual(run_manual(main()), [0, 64])

    def test_generated_text_of_a_lost_attempt_counts_as_recomputed(self):
        async def main(interrupt):
            shared = ComputedBlocks()
            one, other = make_engine("e1", shared), make_engine("e2", shared)
            stream = one.generate(engine_call(words=64, max_tokens=100))
            received = [await anext(stream) for _ in range(32)]
            interrupt(one)
            await stream.aclose()
            rest = engine_call(
                words=64,
                attempt=2,
                max_tokens=40,
                text_so_far=text_of(received),
                tokens_so_far=32,
            )
            await collect(other.generate(rest))
            return other.counters.recomputed_prompt_tokens

        self.assertEqual(run_manual(main(lambda engine: engine.crash())), 96)
        self.assertEqual(run_manual(main(lambda engine: None)), 96)

    def test_a_prompt_that_was_never_computed_is_not_recomputed(self):
        async def main():
            shared = ComputedBlocks()
            one, other = (
                make_engine("e1", shared, max_running=1),
                make_engine("e2", shared),
            )
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
            one, other = make_engine("e1"), make_engine("e2")
            call = engine_call(words=3000, max_tokens=9)
            stream = one.generate(call)
            received = [await anext(stream) for _ in range(4)]
            rest = engine_call(
                words=3000,
                attempt=2,
                max_tokens=9,
                text_so_far=text_of(received),
                tokens_so_far=4,
            )
            data = await one.export_kv(call.attempt_id)
            await stream.aclose()
            await other.import_kv(rest.attempt_id, data)
            items = await collect(other.generate(rest))
            bad = await other.import_kv(rest.attempt_id, b"garbage")
            return text_of(received + items), other.counters.prefilled_tokens, bad

        text, prefilled, bad = run_manual(main())
        self.assertEqual(text, " ".join(generate_words(prompt(3000).split(), 9)))
        self.assertEqual(prefilled, 0)
        self.assertEqual(bad.reason, Reason.INVALID)


class CancelTest(unittest.TestCase):
    def test_cancelling_tells_a_queued_attempt_from_a_running_one(self):
        async def main():
            engine = make_engine(max_running=1)
            calls = [engine_call("r1", max_tokens=50), engine_call("r2")]
            tasks = [
                asyncio.create_task(collect(engine.generate(call))) for call in calls
            ]
            await asyncio.sleep(0.1)
            queued = await engine.cancel(calls[1].attempt_id)
            running = await engine.cancel(calls[0].attempt_id)
            unknown = await engine.cancel(calls[0].attempt_id)
            ends = [items[-1] for items in await asyncio.gather(*tasks)]
            return queued, running, unknown, ends, engine.counters.executions["r2"]

        queued, running, unknown, ends, executions = run_manual(main())
        self.assertEqual(queued, CancelOutcome.NOT_STARTED)
        self.assertEqual(running, CancelOutcome.STOPPED)
        self.assertEqual(unknown, CancelOutcome.UNKNOWN)
        self.assertEqual(ends[0].delivery, Delivery.MAYBE)
        self.assertEqual(ends[1].delivery, Delivery.REFUSED)
        self.assertEqual(executions, 0)

    def test_closing_the_stream_early_stops_generation(self):
        async def main():
            engine = make_engine()
            stream = engine.generate(engine_call(max_tokens=1000))
            await anext(stream)
            await stream.aclose()
            await asyncio.sleep(60)
            return engine.counters.generated_tokens

        self.assertLess(run_manual(main()), 5)


class CacheEventsTest(unittest.TestCase):
    def test_events_are_delayed_and_losses_show_as_gaps(self):
        async def main():
            engine = make_engine(event_delay_ms=200, event_drop_probability=0.5)
            for i in range(40):
                text = prompt(32, f"p{i}-")
                call = engine_call(f"r{i}", text=text, max_tokens=1)
                await collect(engine.generate(call))
            at_once = len(await engine.cache_events(0))
            await asyncio.sleep(0.2)
            events = await engine.cache_events(0)
            return at_once, [event.seq for event in events], events[-1]

        at_once, seqs, last = run_manual(main())
        self.assertLess(at_once, len(seqs))
        self.assertLess(len(seqs), seqs[-1])
        self.assertEqual(seqs, sorted(seqs))
        self.assertEqual(last.kind, CacheEventKind.STORED)

    def test_events_name_chained_block_hashes_and_a_full_cache_evicts(self):
        async def main():
            engine = make_engine(kv_blocks=4, event_delay_ms=0)
            for name in ("a", "b"):
                text = prompt(48, name)
                await collect(engine.generate(engine_call(text=text, max_tokens=1)))
            return await engine.cache_events(0)

        events = run_manual(main())
        self.assertEqual(events[0].blocks, block_hashes(prompt(48, "a").split()))
        self.assertEqual(events[1].blocks, block_hashes(prompt(48, "b").split()))
        self.assertEqual(events[2].kind, CacheEventKind.REMOVED)
        # Eviction shortens a chain from its end, so that its start can still be used.
        self.assertEqual(set(events[2].blocks), set(events[0].blocks[1:]))


class OrdersTest(unittest.TestCase):
    def test_an_old_fencing_number_is_refused_only_where_checked(self):
        async def main(checks):
            engine = make_engine(checks_fencing=checks)
            new = Order("o2", OrderKind.LOAD_VERSION, 7, "v2")
            old = Order("o1", OrderKind.LOAD_VERSION, 6, "v1-old")
            await engine.execute_order(new)
            return await engine.execute_order(old), engine.version

        failure, version = run_manual(main(True))
        self.assertEqual((failure.reason, version), (Reason.FENCED, "v2"))
        self.assertEqual(run_manual(main(False)), (None, "v1-old"))

    def test_an_order_is_executed_once(self):
        async def main():
            engine = make_engine()
            order = Order("o1", OrderKind.LOAD_ADAPTER, 1, argument="gilt")
            await engine.execute_order(order)
            await engine.execute_order(order)
            return engine.adapters

        self.assertEqual(run_manual(main()), ["gilt"])

    def test_a_paused_engine_executes_an_order_when_resumed(self):
        async def main(interrupt):
            engine = make_engine()
            engine.pause()
            failure = await engine.execute_order(
                Order("o1", OrderKind.LOAD_VERSION, 1, "v2")
            )
            before = engine.version
            interrupt(engine)
            engine.resume()
            await asyncio.sleep(1)
            return failure.reason, failure.delivery, before, engine.version

        expected = (Reason.TIMEOUT, Delivery.MAYBE, "v1")
        self.assertEqual(run_manual(main(lambda engine: None)), (*expected, "v2"))
        crashed = run_manual(main(lambda engine: (engine.crash(), engine.restart())))
        self.assertEqual(crashed, (*expected, "v1"))

    def test_an_order_lost_in_a_crash_can_be_sent_again(self):
        async def main():
            engine = make_engine(order_ms=100)
            order = Order("o1", OrderKind.LOAD_VERSION, 1, "v2")
            lost = asyncio.create_task(engine.execute_order(order))
            await asyncio.sleep(0.05)
            engine.crash()
            engine.restart()
            again = await engine.execute_order(order)
            return (await lost).delivery, again, engine.version, engine.executed_orders

        delivery, again, version, done = run_manual(main())
        self.assertEqual(delivery, Delivery.MAYBE)
        self.assertEqual((again, version, len(done)), (None, "v2", 1))


class FaultsTest(unittest.TestCase):
    def test_a_crash_ends_streams_in_doubt_and_refuses_connections(self):
        async def main():
            engine = make_engine()
            task = asyncio.create_task(
                collect(engine.generate(engine_call(max_tokens=500)))
            )
            await asyncio.sleep(0.1)
            engine.crash()
            broken = (await task)[-1]
            new = (await collect(engine.generate(engine_call("r2"))))[-1]
            load = await engine.load_report()
            engine.restart()
            items = await collect(engine.generate(engine_call("r2", attempt=2)))
            return broken, new, load, items[-1]

        broken, new, load, end = run_manual(main())
        self.assertEqual(
            (broken.reason, broken.delivery), (Reason.PEER_ERROR, Delivery.MAYBE)
        )
        self.assertEqual(
            (new.reason, new.delivery), (Reason.UNAVAILABLE, Delivery.NOT_SENT)
        )
        self.assertEqual(load.reason, Reason.UNAVAILABLE)
        self.assertIsInstance(end, Finished)

    def test_a_reclaim_crashes_after_its_notice_and_counts_late_starts(self):
        async def main():
            engine = make_engine()
            engine.reclaim(5_000)
            await collect(engine.generate(engine_call()))
            await asyncio.sleep(6)
            return engine.is_crashed, engine.counters.starts_while_leaving

        self.assertEqual(run_manual(main()), (True, 1))

    def test_a_pause_stops_streams_and_answers_until_resumed(self):
        async def main():
            engine = make_engine()
            call = engine_call(max_tokens=5)
            task = asyncio.create_task(collect_timed(engine.generate(call)))
            await asyncio.sleep(0.02)
            engine.pause()
            load = await engine.load_report()
            await asyncio.sleep(4)
            engine.resume()
            items, duration_ms = await task
            return load, duration_ms, items[-1]

        load, duration_ms, end = run_manual(main())
        self.assertEqual(load.reason, Reason.TIMEOUT)
        self.assertGreater(duration_ms, 5_000)
        self.assertIsInstance(end, Finished)

    def test_a_stream_that_hangs_in_the_middle_times_out(self):
        async def main():
            engine = make_engine()
            engine.faults.hang_after_tokens = 2
            call = engine_call(token_timeout_ms=700)
            return await collect(engine.generate(call))

        items = run_manual(main())
        self.assertEqual([type(item) for item in items], [Token, Token, Failure])
        self.assertEqual(items[-1].reason, Reason.TIMEOUT)
        self.assertEqual(items[-1].delivery, Delivery.MAYBE)

    def test_late_tokens_of_an_abandoned_attempt_reach_the_next_one(self):
        async def main():
            import random

            late_tokens = LateTokens(random.Random(3))
            one, other = make_engine("e1"), make_engine("e2")
            one.faults.late_tokens = other.faults.late_tokens = late_tokens
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
        self.assertEqual("".join(own), " ".join(generate_words(prompt(4).split(), 20)))


class BadVersionTest(unittest.TestCase):
    def run_calls(self, bad, count=6, gap_s=1.0, path=CHAT):
        """Return whether each call failed, and its duration in milliseconds."""

        async def main():
            engine = make_engine(bad_versions={"v1": bad}, max_running=8)
            tasks = []
            for i in range(count):
                call = engine_call(f"r{i}", path=path)
                tasks.append(asyncio.create_task(collect_timed(engine.generate(call))))
                await asyncio.sleep(gap_s)
            done = await asyncio.gather(*tasks)
            return [(isinstance(items[-1], Failure), ms) for items, ms in done]

        return run_manual(main())

    def failures(self, *args, **kwargs):
        return [failed for failed, _ in self.run_calls(*args, **kwargs)]

    def test_fails_at_once(self):
        self.assertEqual(self.failures(BadVersion.fails_at_once()), [True] * 6)

    def test_slow_at_once(self):
        results = self.run_calls(BadVersion.slow_at_once(10.0))
        good = self.run_calls(BadVersion.delayed(BadEffect.SLOW, after_ms=10**6))
        for (_, slow_ms), (_, good_ms) in zip(results, good, strict=True):
            self.assertGreater(slow_ms, 9 * good_ms)

    def test_fails_after_a_time(self):
        bad = BadVersion.delayed(BadEffect.FAIL, after_ms=2_500)
        self.assertEqual(self.failures(bad), [False] * 3 + [True] * 3)

    def test_fails_after_a_number_of_requests(self):
        bad = BadVersion.delayed(BadEffect.FAIL, after_requests=5)
        self.assertEqual(self.failures(bad), [False] * 4 + [True] * 2)

    def test_fails_only_under_load(self):
        bad = BadVersion.under_load(BadEffect.FAIL, above_running=3)
        self.assertEqual(self.failures(bad, gap_s=1.0), [False] * 6)
        self.assertIn(True, self.failures(bad, gap_s=0.0))

    def test_fails_on_one_route_only(self):
        bad = BadVersion.on_route(BadEffect.FAIL, PLAIN)
        self.assertEqual(self.failures(bad, path=CHAT), [False] * 6)
        self.assertEqual(self.failures(bad, path=PLAIN), [True] * 6)

    def test_the_age_of_a_version_counts_from_its_loading(self):
        async def main():
            late = BadVersion.delayed(BadEffect.FAIL, after_ms=2_000)
            engine = make_engine(bad_versions={"v2": late})
            await asyncio.sleep(10)
            await engine.execute_order(Order("o1", OrderKind.LOAD_VERSION, 1, "v2"))
            early = await collect(engine.generate(engine_call("r1")))
            await asyncio.sleep(2)
            late = await collect(engine.generate(engine_call("r2")))
            return early[-1], late[-1]

        early, late = run_manual(main())
        self.assertIsInstance(early, Finished)
        self.assertIsInstance(late, Failure)
