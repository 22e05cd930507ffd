import asyncio
import contextlib
import functools
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
from _monsoonpulley.standins.httpserver import run_server

from ..standins.fleet import (
    CHAT,
    PLAIN,
    collect,
    engine_call,
    make_engine,
    prompt,
    text_of,
)
from .rawserver import (
    ScriptedHandler,
    answer,
    client,
    free_port,
    raw_server,
    read_request,
)

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
FAST = {"decode_base_ms": 1.0, "decode_ms_per_running": 0.1}


def stream_body(words=("a", " b"), finish="stop", path=CHAT, done=True):
    """Return the body of a small streamed answer."""
    writer = AnswerWriter(path, "x1", 1, "m")
    events = [writer.opening_event()] if path == CHAT else []
    events += [writer.token_event(word) for word in words]
    if finish:
        events.append(writer.finish_event(finish))
        events.append(writer.usage_event(Finished("a", finish, 4, len(words), 3)))
    if done:
        events.append(DONE)
    return b"".join(map(sse_event, events))


def generate_raw(script, call=None, **target):
    async def main():
        async with (
            raw_server(script) as port,
            client("openai", port, **target) as engine_client,
        ):
            async with asyncio.timeout(10):
                return await collect(engine_client.generate(call or engine_call()))

    return asyncio.run(main())


@contextlib.asynccontextmanager
async def over_http(standin):
    app = engine_app(standin, Clock.from_system())
    async with (
        run_server(app) as server,
        client("openai", server.port) as engine_client,
    ):
        try:
            yield engine_client
        finally:
            standin.close()


class StreamTest(unittest.TestCase):
    def test_a_stream_split_at_every_byte_is_decoded(self):
        for path in (CHAT, PLAIN):
            data = HEAD + stream_body(path=path)
            script = ScriptedHandler([bytes([byte]) for byte in data])
            items = generate_raw(script, engine_call(path=path))
            tokens = [(item.offset, item.text) for item in items[:-1]]
            self.assertEqual(tokens, [(0, "a"), (1, " b")])
            self.assertEqual(items[-1], Finished("r1.1", "stop", 4, 2, 3))

    def test_an_end_without_finish_reason_is_a_failure(self):
        for done in (True, False):
            items = generate_raw(
                ScriptedHandler(HEAD + stream_body(finish="", done=done))
            )
            self.assertIsInstance(items[1], Token)
            self.assertEqual(items[-1].reason, Reason.PEER_ERROR)
            self.assertEqual(items[-1].delivery, Delivery.MAYBE)

    def test_a_truncated_chunked_body_is_a_failure(self):
        head = HEAD.replace(b"\r\n\r\n", b"\r\ntransfer-encoding: chunked\r\n\r\n")
        body = stream_body(finish="", done=False)
        data = head + b"%x\r\n" % len(body) + body + b"\r\nff\r\nda"
        items = generate_raw(ScriptedHandler(data))
        self.assertEqual(len(items), 3)
        self.assertEqual(items[-1].reason, Reason.PEER_ERROR)

    def test_a_stream_that_ends_within_its_head_is_a_failure(self):
        """Guards against a head that ends early and is taken for a whole answer."""
        for cut in range(len(HEAD) + 1):
            items = generate_raw(ScriptedHandler(HEAD[:cut]))
            self.assertEqual([item.reason for item in items], [Reason.PEER_ERROR])

    def test_a_long_stream_of_small_chunks_is_not_cut(self):
        """Guards against long streams that are cut for the framing of their chunks."""
        head = HEAD.replace(b"\r\n\r\n", b"\r\ntransfer-encoding: chunked\r\n\r\n")
        event = sse_event(AnswerWriter(CHAT, "x1", 1, "m").token_event("a"))
        chunk = b"%x\r\n%s\r\n" % (len(event), event)
        end = stream_body(words=())
        last = b"%x\r\n%s\r\n0\r\n\r\n" % (len(end), end)
        count = 100_000
        script = ScriptedHandler([head, *[chunk * 1_000] * (count // 1_000), last])
        items = generate_raw(script, engine_call(max_tokens=2 * count))
        self.assertEqual(sum(isinstance(item, Token) for item in items), count)

    def test_a_lost_usage_event_leaves_the_answer_complete(self):
        pieces = stream_body().split(b"data: ")
        items = generate_raw(ScriptedHandler(HEAD + b"data: ".join(pieces[:5])))
        self.assertEqual(items[-1], Finished("r1.1", "stop", 4, 2))

    def test_malformed_data_is_a_failure(self):
        for event in (b"{", b"[]", b'{"choices":[{"index":"x"}]}', b"\xff\xfe", b"7"):
            items = generate_raw(
                ScriptedHandler(HEAD + sse_event(event) + stream_body())
            )
            self.assertEqual([item.reason for item in items], [Reason.PROTOCOL])

    def test_content_that_would_be_lost_is_a_failure(self):
        for choice in (
            b'{"index":1,"delta":{"content":"x"}}',
            b'{"delta":{"tool_calls":[{"id":"t"}]}}',
            b'{"delta":{"reasoning_content":"hm"}}',
        ):
            event = sse_event(b'{"id":"x1","choices":[' + choice + b"]}")
            items = generate_raw(ScriptedHandler(HEAD + event + stream_body()))
            self.assertEqual([item.reason for item in items], [Reason.PROTOCOL])

    def test_an_error_event_is_a_failure(self):
        event = sse_event(b'{"error":{"message":"out of memory"}}')
        items = generate_raw(ScriptedHandler(HEAD + event))
        self.assertEqual(items[-1].reason, Reason.PEER_ERROR)
        self.assertIn("out of memory", items[-1].detail)

    def test_an_endless_line_is_a_failure(self):
        script = ScriptedHandler([HEAD, *[b"x" * 65_536] * 64])
        items = generate_raw(script)
        self.assertEqual(items[-1].reason, Reason.PROTOCOL)
        self.assertIn("exceeds", items[-1].detail)

    def test_other_content_types_and_encodings_are_a_failure(self):
        html = b"content-type: text/html"
        zipped = b"content-type: text/event-stream\r\ncontent-encoding: gzip"
        for header in (html, zipped):
            items = generate_raw(
                ScriptedHandler(answer(stream_body(), "200 OK", header))
            )
            self.assertEqual([item.reason for item in items], [Reason.PROTOCOL])

    def test_late_events_of_another_attempt_are_dropped(self):
        stray = sse_event(AnswerWriter(CHAT, "old", 1, "m").token_event("stray"))
        events = stream_body().split(b"\n\n")
        data = events[0] + b"\n\n" + stray + b"\n\n".join(events[1:])
        items = generate_raw(ScriptedHandler(HEAD + data))
        self.assertEqual(text_of(items), "a b")

    def check_ends_in_time(self, piece):
        call = engine_call(token_timeout_ms=120)

        async def handle(reader, writer):
            writer.write(HEAD + stream_body(finish="", done=False))
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.02)

        items = generate_raw(handle, call)
        self.assertEqual(items[-1].reason, Reason.TIMEOUT)
        self.assertEqual(items[-1].delivery, Delivery.MAYBE)

    def test_comments_do_not_keep_a_stream_alive(self):
        self.check_ends_in_time(b": alive\n\n" + sse_event(b'{"id":"x1"}'))

    def test_bytes_without_an_event_do_not_keep_a_stream_alive(self):
        """Guards against a stalled stream that never ends.

        `endpoints.http_event_stream.EventStream.renew_deadline` is called for tokens
        only; the stream then goes on at another engine (`testing.requests`).
        """
        self.check_ends_in_time(b"x")

    def test_a_slow_stream_is_not_cut(self):
        """Guards against a limit on the whole stream: each token has its own."""
        call = engine_call(first_token_timeout_ms=400, token_timeout_ms=400)
        pieces = stream_body().split(b"\n\n")[:-1]

        async def handle(reader, writer):
            await read_request(reader)
            writer.write(HEAD)
            for piece in pieces:
                writer.write(piece + b"\n\n")
                await writer.drain()
                await asyncio.sleep(0.25)

        items = generate_raw(handle, call)
        self.assertIsInstance(items[-1], Finished)
        self.assertGreater(0.25 * len(pieces), 0.4)


class DeliveryTest(unittest.TestCase):
    def check_failure(self, script, reason, delivery, call=None):
        items = generate_raw(script, call)
        got = [(item.reason, item.delivery) for item in items]
        self.assertEqual(got, [(reason, delivery)])
        self.assertLessEqual(len(script.requests), 1)

    def test_a_refused_connection_is_not_sent(self):
        async def main():
            async with client("openai", free_port()) as engine_client:
                return await collect(engine_client.generate(engine_call()))

        items = asyncio.run(main())
        self.assertEqual([i.delivery for i in items], [Delivery.NOT_SENT])

    def test_statuses_map_to_reasons_and_deliveries(self):
        cases = (
            ("429 Busy", Reason.UNAVAILABLE, Delivery.REFUSED),
            ("503 Busy", Reason.PEER_ERROR, Delivery.MAYBE),
            ("400 Bad", Reason.INVALID, Delivery.MAYBE),
            ("404 None", Reason.NOT_FOUND, Delivery.MAYBE),
        )
        for status, reason, delivery in cases:
            self.check_failure(ScriptedHandler(answer(b"{}", status)), reason, delivery)

    def test_a_redirect_is_not_followed(self):
        redirect = answer(b"", "307 Temporary", b"location: /v1/completions")
        script = ScriptedHandler(redirect, HEAD + stream_body(), keep_open=True)
        self.check_failure(script, Reason.PEER_ERROR, Delivery.MAYBE)

    def test_a_dropped_connection_is_in_doubt(self):
        self.check_failure(ScriptedHandler(None), Reason.PEER_ERROR, Delivery.MAYBE)

    def test_no_first_token_in_time_is_in_doubt(self):
        call = engine_call(first_token_timeout_ms=80)
        for data in ([], [HEAD]):
            script = ScriptedHandler(data, close_delay_s=1.0)
            self.check_failure(script, Reason.TIMEOUT, Delivery.MAYBE, call)

    def test_unsupported_calls_are_not_sent(self):
        for field in ({"n": 2}, {"echo": True}, {"prompt": ["a", "b"]}):
            call = engine_call(path=PLAIN)
            call.body.update(field)
            self.check_failure(
                ScriptedHandler(), Reason.INVALID, Delivery.NOT_SENT, call
            )
        surrogate = engine_call(text="\ud800")
        self.check_failure(
            ScriptedHandler(), Reason.INVALID, Delivery.NOT_SENT, surrogate
        )


class StandinTest(unittest.TestCase):
    def test_the_whole_text_is_the_same_when_resumed_over_http(self):
        async def resumed(engine_client, path, resume_at, is_limited):
            name = f"{path}-{resume_at}-{is_limited}"
            call = engine_call(name, path=path, max_tokens=16)
            if not is_limited:
                del call.body["max_tokens"]
            before = (await collect(engine_client.generate(call)))[:resume_at]
            rest = engine_call(
                name,
                attempt=2,
                path=path,
                text_so_far=text_of(before),
                tokens_so_far=resume_at,
            )
            rest.body.clear()
            rest.body.update(call.body)
            return before + await collect(engine_client.generate(rest))

        async def main():
            words = " ".join(generate_words(prompt(4).split(), 16))
            async with over_http(make_engine(**FAST)) as engine_client:
                for path, lead in ((CHAT, ""), (PLAIN, " ")):
                    for resume_at in (0, 1, 7, 15, 16):
                        for is_limited in (True, False):
                            items = await resumed(
                                engine_client, path, resume_at, is_limited
                            )
                            self.check_whole(items, lead + words)

        asyncio.run(main())

    def check_whole(self, items, text):
        self.assertEqual(text_of(items), text)
        self.assertEqual([item.offset for item in items[:-1]], list(range(16)))
        end = items[-1]
        self.assertEqual((end.prompt_tokens, end.completion_tokens), (4, 16))

    def test_closing_the_stream_stops_the_engine(self):
        async def main():
            standin = make_engine(**FAST)
            async with over_http(standin) as engine_client:
                stream = engine_client.generate(engine_call(max_tokens=100_000))
                await anext(stream)
                await stream.aclose()
                for _ in range(200):
                    await asyncio.sleep(0.005)
                    if (await engine_client.cancel("r1.1")) is CancelOutcome.UNKNOWN:
                        return standin.counters.generated_tokens
            return None

        self.assertLess(asyncio.run(main()), 500)

    def test_a_crash_in_the_middle_is_in_doubt(self):
        async def main():
            standin = make_engine(**FAST)
            async with over_http(standin) as engine_client:
                stream = engine_client.generate(engine_call(max_tokens=100_000))
                await anext(stream)
                standin.crash()
                return (await collect(stream))[-1]

        end = asyncio.run(main())
        self.assertEqual(
            (end.reason, end.delivery), (Reason.PEER_ERROR, Delivery.MAYBE)
        )

    def test_cancel_tells_queued_from_running_attempts(self):
        async def main():
            standin = make_engine(max_running=1)
            async with over_http(standin) as engine_client:
                first = engine_client.generate(engine_call("r1", max_tokens=10_000))
                await anext(first)
                low = asyncio.create_task(
                    collect(engine_client.generate(engine_call("r2", priority=9)))
                )
                while (await engine_client.cancel("r2.1")) is CancelOutcome.UNKNOWN:
                    await asyncio.sleep(0.005)
                ends = [(await low)[-1], await engine_client.cancel("r1.1")]
                ends.append((await collect(first))[-1])
                return ends

        queued_end, outcome, running_end = asyncio.run(main())
        self.assertEqual(queued_end.delivery, Delivery.REFUSED)
        self.assertEqual(outcome, CancelOutcome.STOPPED)
        self.assertEqual(running_end.delivery, Delivery.MAYBE)

    def test_load_cache_events_kv_and_orders_pass_over_http(self):
        async def main():
            standin = make_engine(
                **FAST, event_delay_ms=0, report_lag_ms=0, checks_fencing=True
            )
            other = make_engine("e2", **FAST)
            async with (
                over_http(standin) as engine_client,
                over_http(other) as other_client,
            ):
                call = engine_call(words=40, max_tokens=10_000)
                stream = engine_client.generate(call)
                got = [await anext(stream) for _ in range(3)]
                load = await engine_client.load_report()
                events = await engine_client.cache_events(0)
                no_events = await engine_client.cache_events(99)
                data = await engine_client.export_kv(call.attempt_id)
                await stream.aclose()
                rest = engine_call(
                    words=40,
                    attempt=2,
                    max_tokens=5,
                    text_so_far=text_of(got),
                    tokens_so_far=3,
                )
                await other_client.import_kv(rest.attempt_id, data)
                items = got + await collect(other_client.generate(rest))
                bad_import = await other_client.import_kv("x", b"garbage")
                missing_export = await other_client.export_kv("none")
                await engine_client.execute_order(
                    Order("o2", OrderKind.LOAD_VERSION, 7, "v2")
                )
                fenced = await engine_client.execute_order(
                    Order("o1", OrderKind.LOAD_VERSION, 6, "v0")
                )
                failures = (bad_import.reason, missing_export.reason, fenced.reason)
                return load, events, no_events, items, other, standin.version, failures

        load, events, no_events, items, other, version, failures = asyncio.run(main())
        self.assertEqual((load.running, load.max_running), (1, 8))
        self.assertEqual(events[0].kind, CacheEventKind.STORED)
        self.assertEqual(len(events[0].blocks), 2)
        self.assertEqual(no_events, ())
        self.assertEqual(
            text_of(items), " ".join(generate_words(prompt(40).split(), 5))
        )
        # The engine may generate more tokens after the export was requested.
        self.assertLessEqual(other.counters.prefilled_tokens, 43)
        self.assertEqual(version, "v2")
        expected = (Reason.INVALID, Reason.NOT_FOUND, Reason.FENCED)
        self.assertEqual(failures, expected)


class StrayAnswerTest(unittest.TestCase):
    def test_a_stray_answer_is_not_taken_for_that_of_the_next_call(self):
        """Guards against a second copy of an answer on a connection in use again.

        `endpoints.http_transport.HttpSessions.unpooled` closes each connection.
        """
        head = HEAD.replace(b"\r\n\r\n", b"\r\ncontent-length: %d\r\n\r\n")
        stopped = b'{"outcome":"stopped"}'
        other = stream_body(("late",))
        late = answer(b'{"outcome":"not_started"}') + head % len(other) + other
        refusal = answer(b"", "429 Too Many Requests")

        async def answer_twice(stray, reader, writer):
            while (request := await read_request(reader)) is not None:
                own = stream_body(("own",))
                if request[0].startswith(b"POST /cancel"):
                    writer.write(answer(stopped))
                else:
                    writer.write(head % len(own) + own)
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.write(stray)

        async def main(stray):
            async with (
                raw_server(functools.partial(answer_twice, stray)) as port,
                client("openai", port) as engine_client,
            ):
                texts, outcomes = [], []
                for name in ("r1", "r2", "r3"):
                    items = await collect(engine_client.generate(engine_call(name)))
                    texts.append(text_of(items))
                    await asyncio.sleep(0.03)
                    outcomes.append(await engine_client.cancel(f"{name}.1"))
                    await asyncio.sleep(0.03)
                return texts, outcomes

        for stray in (late, refusal):
            texts, outcomes = asyncio.run(main(stray))
            self.assertEqual(texts, ["own"] * 3)
            self.assertEqual(outcomes, [CancelOutcome.STOPPED] * 3)


class MalformedControlTest(unittest.TestCase):
    def test_malformed_data_is_a_failure(self):
        async def main(data):
            calls = ("load_report", ()), ("cache_events", (0,)), ("cancel", ("r1.1",))
            reasons = []
            for name, args in calls:
                async with raw_server(ScriptedHandler(data)) as port:
                    async with client("openai", port) as engine_client:
                        result = await getattr(engine_client, name)(*args)
                        reasons.append(result.reason)
            return reasons

        for body in (b"", b"{", b"\xff", b"[" * 100_000, b"nan nan nan"):
            reasons = asyncio.run(main(answer(body)))
            self.assertEqual(reasons, [Reason.PROTOCOL] * 3)
        self.assertEqual(asyncio.run(main(None)), [Reason.PEER_ERROR] * 3)
        moved = answer(b"", "307 Moved", b"location: /metrics")
        self.assertEqual(asyncio.run(main(moved)), [Reason.PEER_ERROR] * 3)
