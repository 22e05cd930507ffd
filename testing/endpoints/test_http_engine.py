import asyncio
import contextlib
import unittest

from _monsoonpulley.clock import Clock
from _monsoonpulley.endpoints.engine import (
    CacheEventKind,
    CancelOutcome,
    Finished,
    Order,
    OrderKind,
    Token,
)
from _monsoonpulley.endpoints.openai_wire import AnswerWriter
from _monsoonpulley.endpoints.sse import DONE, sse_event
from _monsoonpulley.errors import Delivery, Reason
from _monsoonpulley.standins.endpoints_http import engine_app
from _monsoonpulley.standins.generated_text import generate_words
from _monsoonpulley.standins.httpserver import serving

from ..standins.fleet import (
    CHAT,
    PLAIN,
    collect,
    engine_call,
    make_engine,
    prompt,
    text_of,
)
from .rawserver import Script, answer, client, free_port, raw_server, read_request

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
FAST = {"decode_base_ms": 1.0, "decode_ms_per_running": 0.1}


def wire(words=("a", " b"), finish="stop", path=CHAT, done=True):
    """Return the events of a small answer."""
    writer = AnswerWriter(path, "x1", 1, "m")
    events = [writer.opening()] if path == CHAT else []
    events += [writer.token(word) for word in words]
    if finish:
        events.append(writer.finish(finish))
        events.append(writer.usage(Finished("a", finish, 4, len(words), 3)))
    if done:
        events.append(DONE)
    return b"".join(map(sse_event, events))


def generate_raw(script, call=None, **target):
    async def main():
        async with raw_server(script) as port, client("openai", port, **target) as to:
            async with asyncio.timeout(10):
                return await collect(to.generate(call or engine_call()))

    return asyncio.run(main())


@contextlib.asynccontextmanager
async def over_http(worker):
    app = engine_app(worker, Clock.from_system())
    async with serving(app) as server, client("openai", server.port) as to:
        try:
            yield to
        finally:
            worker.close()


class StreamTest(unittest.TestCase):
    def test_split_at_every_byte(self):
        for path in (CHAT, PLAIN):
            data = HEAD + wire(path=path)
            script = Script([bytes([byte]) for byte in data])
            items = generate_raw(script, engine_call(path=path))
            tokens = [(item.offset, item.text) for item in items[:-1]]
            self.assertEqual(tokens, [(0, "a"), (1, " b")])
            self.assertEqual(items[-1], Finished("r1.1", "stop", 4, 2, 3))

    def test_an_end_without_finish_reason_is_a_failure(self):
        for done in (True, False):
            items = generate_raw(Script(HEAD + wire(finish="", done=done)))
            self.assertIsInstance(items[1], Token)
            self.assertEqual(items[-1].reason, Reason.PEER_ERROR)
            self.assertEqual(items[-1].delivery, Delivery.MAYBE)

    def test_truncated_chunked_body_is_a_failure(self):
        head = HEAD.replace(b"\r\n\r\n", b"\r\ntransfer-encoding: chunked\r\n\r\n")
        body = wire(finish="", done=False)
        data = head + b"%x\r\n" % len(body) + body + b"\r\nff\r\nda"
        items = generate_raw(Script(data))
        self.assertEqual(len(items), 3)
        self.assertEqual(items[-1].reason, Reason.PEER_ERROR)

    def test_text_is_whole_when_only_the_usage_is_lost(self):
        cut = wire().split(b"data: ")
        items = generate_raw(Script(HEAD + b"data: ".join(cut[:5])))
        self.assertEqual(items[-1], Finished("r1.1", "stop", 4, 2))

    def test_garbage_is_a_failure(self):
        for event in (b"{", b"[]", b'{"choices":[{"index":"x"}]}', b"\xff\xfe", b"7"):
            items = generate_raw(Script(HEAD + sse_event(event) + wire()))
            self.assertEqual([item.reason for item in items], [Reason.PROTOCOL])

    def test_what_would_be_lost_is_a_failure(self):
        for choice in (
            b'{"index":1,"delta":{"content":"x"}}',
            b'{"delta":{"tool_calls":[{"id":"t"}]}}',
            b'{"delta":{"reasoning_content":"hm"}}',
        ):
            event = sse_event(b'{"id":"x1","choices":[' + choice + b"]}")
            items = generate_raw(Script(HEAD + event + wire()))
            self.assertEqual([item.reason for item in items], [Reason.PROTOCOL])

    def test_an_error_event_is_a_failure(self):
        event = sse_event(b'{"error":{"message":"out of memory"}}')
        items = generate_raw(Script(HEAD + event))
        self.assertEqual(items[-1].reason, Reason.PEER_ERROR)
        self.assertIn("out of memory", items[-1].detail)

    def test_an_endless_line_is_bounded(self):
        script = Script([HEAD, *[b"x" * 65_536] * 64])
        items = generate_raw(script)
        self.assertEqual(items[-1].reason, Reason.PROTOCOL)
        self.assertIn("exceeds", items[-1].detail)

    def test_other_content_is_a_failure(self):
        html = b"content-type: text/html"
        zipped = b"content-type: text/event-stream\r\ncontent-encoding: gzip"
        for header in (html, zipped):
            items = generate_raw(Script(answer(wire(), "200 OK", header)))
            self.assertEqual([item.reason for item in items], [Reason.PROTOCOL])

    def test_late_events_of_another_attempt_are_dropped(self):
        stray = sse_event(AnswerWriter(CHAT, "old", 1, "m").token("stray"))
        events = wire().split(b"\n\n")
        data = events[0] + b"\n\n" + stray + b"\n\n".join(events[1:])
        items = generate_raw(Script(HEAD + data))
        self.assertEqual(text_of(items), "a b")

    def test_comments_do_not_keep_a_stream_alive(self):
        call = engine_call(token_timeout_ms=120)

        async def handle(reader, writer):
            writer.write(HEAD + wire(finish="", done=False))
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(b": alive\n\n" + sse_event(b'{"id":"x1"}'))
                    await writer.drain()
                    await asyncio.sleep(0.02)

        items = generate_raw(handle, call)
        self.assertEqual(items[-1].reason, Reason.TIMEOUT)
        self.assertEqual(items[-1].delivery, Delivery.MAYBE)


class DeliveryTest(unittest.TestCase):
    def check(self, script, reason, delivery, call=None):
        items = generate_raw(script, call)
        got = [(item.reason, item.delivery) for item in items]
        self.assertEqual(got, [(reason, delivery)])
        self.assertLessEqual(len(script.requests), 1)

    def test_no_connection_is_not_sent(self):
        async def main():
            async with client("openai", free_port()) as to:
                return await collect(to.generate(engine_call()))

        items = asyncio.run(main())
        self.assertEqual([i.delivery for i in items], [Delivery.NOT_SENT])

    def test_statuses(self):
        cases = (
            ("429 Busy", Reason.UNAVAILABLE, Delivery.REFUSED),
            ("503 Busy", Reason.PEER_ERROR, Delivery.MAYBE),
            ("400 Bad", Reason.INVALID, Delivery.MAYBE),
            ("404 None", Reason.NOT_FOUND, Delivery.MAYBE),
        )
        for status, reason, delivery in cases:
            self.check(Script(answer(b"{}", status)), reason, delivery)

    def test_a_redirect_is_not_followed(self):
        to = answer(b"", "307 Temporary", b"location: /v1/completions")
        script = Script(to, HEAD + wire(), keep_open=True)
        self.check(script, Reason.PEER_ERROR, Delivery.MAYBE)

    def test_a_dropped_connection_is_in_doubt(self):
        self.check(Script(None), Reason.PEER_ERROR, Delivery.MAYBE)

    def test_no_first_token_in_time_is_in_doubt(self):
        call = engine_call(first_token_timeout_ms=80)
        for data in ([], [HEAD]):
            script = Script(data, hold_s=1.0)
            self.check(script, Reason.TIMEOUT, Delivery.MAYBE, call)

    def test_unsupported_calls_are_not_sent(self):
        for field in ({"n": 2}, {"echo": True}, {"prompt": ["a", "b"]}):
            call = engine_call(path=PLAIN)
            call.body.update(field)
            self.check(Script(), Reason.INVALID, Delivery.NOT_SENT, call)
        surrogate = engine_call(text="\ud800")
        self.check(Script(), Reason.INVALID, Delivery.NOT_SENT, surrogate)


class StandinTest(unittest.TestCase):
    def test_the_whole_text_is_the_same_when_resumed_over_http(self):
        async def resumed(to, path, cut, limited):
            name = f"{path}-{cut}-{limited}"
            call = engine_call(name, path=path, max_tokens=16)
            if not limited:
                del call.body["max_tokens"]
            before = (await collect(to.generate(call)))[:cut]
            rest = engine_call(
                name,
                attempt=2,
                path=path,
                text_so_far=text_of(before),
                tokens_so_far=cut,
            )
            rest.body.clear()
            rest.body.update(call.body)
            return before + await collect(to.generate(rest))

        async def main():
            words = " ".join(generate_words(prompt(4).split(), 16))
            async with over_http(make_engine(**FAST)) as to:
                for path, lead in ((CHAT, ""), (PLAIN, " ")):
                    for cut in (0, 1, 7, 15, 16):
                        for limited in (True, False):
                            items = await resumed(to, path, cut, limited)
                            self.check_whole(items, lead + words)

        asyncio.run(main())

    def check_whole(self, items, text):
        self.assertEqual(text_of(items), text)
        self.assertEqual([item.offset for item in items[:-1]], list(range(16)))
        end = items[-1]
        self.assertEqual((end.prompt_tokens, end.completion_tokens), (4, 16))

    def test_closing_the_stream_stops_the_engine(self):
        async def main():
            worker = make_engine(**FAST)
            async with over_http(worker) as to:
                stream = to.generate(engine_call(max_tokens=100_000))
                await anext(stream)
                await stream.aclose()
                for _ in range(200):
                    await asyncio.sleep(0.005)
                    if (await to.cancel("r1.1")) is CancelOutcome.UNKNOWN:
                        return worker.counters.generated_tokens
            return None

        self.assertLess(asyncio.run(main()), 500)

    def test_a_crash_in_the_middle_is_in_doubt(self):
        async def main():
            worker = make_engine(**FAST)
            async with over_http(worker) as to:
                stream = to.generate(engine_call(max_tokens=100_000))
                await anext(stream)
                worker.crash()
                return (await collect(stream))[-1]

        end = asyncio.run(main())
        self.assertEqual(
            (end.reason, end.delivery), (Reason.PEER_ERROR, Delivery.MAYBE)
        )

    def test_priority_and_cancel(self):
        async def main():
            worker = make_engine(max_running=1)
            async with over_http(worker) as to:
                first = to.generate(engine_call("r1", max_tokens=10_000))
                await anext(first)
                low = asyncio.create_task(
                    collect(to.generate(engine_call("r2", priority=9)))
                )
                while (await to.cancel("r2.1")) is CancelOutcome.UNKNOWN:
                    await asyncio.sleep(0.005)
                ends = [(await low)[-1], await to.cancel("r1.1")]
                ends.append((await collect(first))[-1])
                return ends

        queued, running, cut = asyncio.run(main())
        self.assertEqual(queued.delivery, Delivery.REFUSED)
        self.assertEqual(running, CancelOutcome.STOPPED)
        self.assertEqual(cut.delivery, Delivery.MAYBE)

    def test_load_events_kv_and_orders(self):
        async def main():
            worker = make_engine(
                **FAST, event_delay_ms=0, report_lag_ms=0, checks_fencing=True
            )
            other = make_engine("e2", **FAST)
            async with over_http(worker) as to, over_http(other) as there:
                call = engine_call(words=40, max_tokens=10_000)
                stream = to.generate(call)
                got = [await anext(stream) for _ in range(3)]
                load = await to.load()
                events = await to.cache_events(0)
                none = await to.cache_events(99)
                data = await to.export_kv(call.attempt_id)
                await stream.aclose()
                rest = engine_call(
                    words=40,
                    attempt=2,
                    max_tokens=5,
                    text_so_far=text_of(got),
                    tokens_so_far=3,
                )
                await there.import_kv(rest.attempt_id, data)
                items = got + await collect(there.generate(rest))
                bad = await there.import_kv("x", b"garbage")
                gone = await there.export_kv("none")
                await to.order(Order("o2", OrderKind.LOAD_VERSION, 7, "v2"))
                fenced = await to.order(Order("o1", OrderKind.LOAD_VERSION, 6, "v0"))
                failures = (bad.reason, gone.reason, fenced.reason)
                return load, events, none, items, other, worker.version, failures

        load, events, none, items, other, version, failures = asyncio.run(main())
        self.assertEqual((load.running, load.max_running), (1, 8))
        self.assertEqual(events[0].kind, CacheEventKind.STORED)
        self.assertEqual(len(events[0].blocks), 2)
        self.assertEqual(none, ())
        self.assertEqual(
            text_of(items), " ".join(generate_words(prompt(40).split(), 5))
        )
        # Tokens may go on being generated after the export was asked for.
        self.assertLessEqual(other.counters.prefilled_tokens, 43)
        self.assertEqual(version, "v2")
        expected = (Reason.INVALID, Reason.NOT_FOUND, Reason.FENCED)
        self.assertEqual(failures, expected)


class OwnAnswerTest(unittest.TestCase):
    def test_an_answer_nobody_asked_for_is_not_that_of_the_next_call(self):
        head = HEAD.replace(b"\r\n\r\n", b"\r\ncontent-length: %d\r\n\r\n")
        stopped = b'{"outcome":"stopped"}'
        late = b'{"outcome":"not_started"}'

        async def answer_twice(reader, writer):
            while (request := await read_request(reader)) is not None:
                own, other = wire(("own",)), wire(("late",))
                if request[0].startswith(b"POST /cancel"):
                    writer.write(answer(stopped))
                else:
                    writer.write(head % len(own) + own)
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.write(answer(late) + head % len(other) + other)

        async def main():
            async with raw_server(answer_twice) as port, client("openai", port) as to:
                texts, outcomes = [], []
                for name in ("r1", "r2", "r3"):
                    items = await collect(to.generate(engine_call(name)))
                    texts.append(text_of(items))
                    await asyncio.sleep(0.03)
                    outcomes.append(await to.cancel(f"{name}.1"))
                    await asyncio.sleep(0.03)
                return texts, outcomes

        texts, outcomes = asyncio.run(main())
        self.assertEqual(texts, ["own"] * 3)
        self.assertEqual(outcomes, [CancelOutcome.STOPPED] * 3)


class ControlGarbageTest(unittest.TestCase):
    def test_garbage_is_a_failure(self):
        async def main(data):
            calls = ("load", ()), ("cache_events", (0,)), ("cancel", ("r1.1",))
            reasons = []
            for name, args in calls:
                async with raw_server(Script(data)) as port:
                    async with client("openai", port) as to:
                        result = await getattr(to, name)(*args)
                        reasons.append(result.reason)
            return reasons

        for body in (b"", b"{", b"\xff", b"[" * 100_000, b"nan nan nan"):
            reasons = asyncio.run(main(answer(body)))
            self.assertEqual(reasons, [Reason.PROTOCOL] * 3)
        self.assertEqual(asyncio.run(main(None)), [Reason.PEER_ERROR] * 3)
        moved = answer(b"", "307 Moved", b"location: /metrics")
        self.assertEqual(asyncio.run(main(moved)), [Reason.PEER_ERROR] * 3)
