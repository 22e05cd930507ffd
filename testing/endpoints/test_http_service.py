import asyncio
import contextlib
import functools
import itertools
import socket
import unittest

import aiohttp

from _monsoonpulley.endpoints import http_service
from _monsoonpulley.endpoints.http_transport import CallTrace, delivery_of
from _monsoonpulley.endpoints.service import Execution, ServiceAnswer
from _monsoonpulley.errors import Delivery, Reason
from _monsoonpulley.standins.endpoints_http import service_app
from _monsoonpulley.standins.httpserver import run_server
from _monsoonpulley.standins.plainservice import PlainFault

from ..standins.fleet import make_plain_service, service_call
from .rawserver import (
    ScriptedHandler,
    answer,
    client,
    free_port,
    raw_server,
    read_request,
)

ADDRESS = ("127.0.0.1", 0)


def send_calls(script, *calls, **target):
    """Return the results of calls to a scripted server, made one after the other."""

    async def main():
        async with (
            raw_server(script) as port,
            client("http", port, **target) as service_client,
        ):
            return [
                await service_client.call(call) for call in calls or [service_call()]
            ]

    return asyncio.run(main())


class DeliveryTest(unittest.TestCase):
    def check_maybe(self, script, reason, **fields):
        result = send_calls(script, service_call(**fields))[0]
        self.assertEqual((result.reason, result.delivery), (reason, Delivery.MAYBE))
        self.assertEqual(result.peer, "e1")
        self.assertLessEqual(len(script.requests), 1)

    def test_a_refused_connection_is_not_sent(self):
        async def main():
            async with client("http", free_port()) as service_client:
                return await service_client.call(service_call())

        result = asyncio.run(main())
        self.assertEqual(result.delivery, Delivery.NOT_SENT)
        self.assertEqual(result.reason, Reason.UNAVAILABLE)

    def test_a_connect_timeout_is_not_sent(self):
        async def main():
            loop = asyncio.get_running_loop()
            with contextlib.ExitStack() as stack:
                # Nothing accepts connections, so those beyond the backlog hang.
                listener = stack.enter_context(socket.create_server(ADDRESS, backlog=0))
                port = listener.getsockname()[1]
                for _ in range(4):
                    filler = stack.enter_context(socket.socket())
                    filler.setblocking(False)
                    filler.connect_ex(("127.0.0.1", port))
                await asyncio.sleep(0)
                async with client("http", port) as service_client:
                    started_s = loop.time()
                    result = await service_client.call(service_call(timeout_ms=250))
                    return result, loop.time() - started_s

        result, elapsed_s = asyncio.run(main())
        self.assertEqual(result.delivery, Delivery.NOT_SENT)
        self.assertGreater(elapsed_s, 0.15)

    def test_a_connection_dropped_after_the_request_was_read_is_in_doubt(self):
        for method in ("POST", "PUT", "GET", "DELETE"):
            self.check_maybe(ScriptedHandler(None), Reason.PEER_ERROR, method=method)

    def test_a_connection_dropped_before_the_request_was_read_is_in_doubt(self):
        async def drop(_reader, writer):
            writer.transport.abort()

        drop.requests = []
        self.check_maybe(drop, Reason.PEER_ERROR)

    def test_a_late_answer_is_in_doubt(self):
        script = ScriptedHandler([], close_delay_s=1.0)
        self.check_maybe(script, Reason.TIMEOUT, timeout_ms=80)

    def test_a_truncated_body_is_in_doubt(self):
        cut = answer(b"ok").replace(b"length: 2", b"length: 9")
        self.check_maybe(ScriptedHandler(cut), Reason.PEER_ERROR)
        chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab"
        self.check_maybe(ScriptedHandler(chunked), Reason.PEER_ERROR)

    def test_an_answer_that_ends_within_its_head_is_in_doubt(self):
        """Guards against a head that ends early and is taken for a whole answer."""
        start = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nx-more: more\r\n"
        body = b"\r\nwhole answer"
        sized = start + b"content-length: 12\r\n" + body
        chunked = start + b"transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
        for message, whole in (
            (sized, len(sized)),
            (chunked, len(chunked)),
            (start + body, len(start) + 2),
        ):
            cuts = [ScriptedHandler(message[:cut]) for cut in range(whole)]
            for script in cuts:
                self.check_maybe(script, Reason.PEER_ERROR)

    def test_malformed_http_is_a_protocol_failure(self):
        self.check_maybe(ScriptedHandler(b"\x00\xff nonsense\r\n\r\n"), Reason.PROTOCOL)
        self.check_maybe(ScriptedHandler(b"HTTP/1.1 2x0 OK\r\n\r\n"), Reason.PROTOCOL)
        endless = b"HTTP/1.1 200 OK\r\nx: " + b"y" * 200_000
        self.check_maybe(ScriptedHandler(endless), Reason.PROTOCOL)

    def test_an_answer_over_the_size_limit_is_a_failure(self):
        size = http_service.MAX_ANSWER_BYTES + 1
        declared = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size
        self.check_maybe(ScriptedHandler(declared), Reason.PROTOCOL)
        piece = b"10000\r\n" + b"z" * 65_536 + b"\r\n"
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        endless = [head] + [piece] * 300
        self.check_maybe(ScriptedHandler(endless), Reason.PROTOCOL, timeout_ms=5_000)

    def test_a_head_or_trailer_without_end_is_a_protocol_failure(self):
        endless = [b"x-more: more\r\n" * 4_096] * 400
        body = b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
        for rest in (b"", body):
            script = ScriptedHandler([b"HTTP/1.1 200 OK\r\n" + rest, *endless])
            self.check_maybe(script, Reason.PROTOCOL, timeout_ms=5_000)
        script = ScriptedHandler([b"HTTP/1.1 200 ", *[b"O" * 65_536] * 400])
        self.check_maybe(script, Reason.PROTOCOL, timeout_ms=5_000)

    def test_only_refusal_statuses_are_refusals(self):
        busy = answer(b"", "503 Busy", b"retry-after: 3")
        refused = send_calls(ScriptedHandler(busy), refusal_statuses=(503,))[0]
        self.assertEqual(refused.delivery, Delivery.REFUSED)
        self.assertEqual(refused.retry_after_ms, 3_000)
        answered = send_calls(ScriptedHandler(busy), refusal_statuses=(429,))[0]
        self.assertEqual(answered.status, 503)

    def test_unusable_paths_are_not_sent(self):
        script = ScriptedHandler()
        paths = ("x", "/a b", "/a\r\nx: y", "/ü", "/a#b", "")
        calls = [service_call(path=path) for path in paths]
        results = send_calls(script, *calls)
        self.assertEqual({r.delivery for r in results}, {Delivery.NOT_SENT})
        self.assertEqual(script.requests, [])

    def test_unusable_methods_and_headers_are_not_sent(self):
        script = ScriptedHandler()
        calls = [service_call(method=name) for name in ("CONNECT", "A B", "")]
        for pair in (("x y", "1"), ("x", "1\r\ny: 2"), ("x", "\u20ac"), ("", "1")):
            calls.append(service_call(headers=(pair,)))
        results = send_calls(script, *calls)
        self.assertEqual({r.delivery for r in results}, {Delivery.NOT_SENT})
        self.assertEqual(script.requests, [])

    def test_a_large_length_in_an_answer_to_head_is_no_failure(self):
        size = http_service.MAX_ANSWER_BYTES + 1
        declared = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size
        result = send_calls(ScriptedHandler(declared), service_call(method="HEAD"))[0]
        self.assertEqual((result.status, result.body), (200, b""))

    def test_a_connect_error_counts_only_if_no_connection_was_seen(self):
        error = aiohttp.ConnectionTimeoutError()
        self.assertEqual(delivery_of(error, CallTrace()), Delivery.NOT_SENT)
        seen = CallTrace(is_connected=True)
        self.assertEqual(delivery_of(error, seen), Delivery.MAYBE)
        for other in (aiohttp.SocketTimeoutError(), TimeoutError(), OSError()):
            self.assertEqual(delivery_of(other, CallTrace()), Delivery.MAYBE)


class SentOnceTest(unittest.TestCase):
    def test_a_put_is_not_resent_when_its_connection_drops(self):
        # The client library would resend a PUT whose connection breaks.
        for once in (True, False):
            script = ScriptedHandler(answer(), None, answer(), answer(), keep_open=True)
            calls = [
                service_call("r1", method="PUT", body=b"1", once=once),
                service_call("r2", method="PUT", body=b"2", once=once),
            ]
            first, second = send_calls(script, *calls)
            self.assertEqual(first.status, 200)
            self.assertEqual(second.delivery, Delivery.MAYBE)
            bodies = [body for _, body in script.requests]
            self.assertEqual(bodies, [b"1", b"2"])

    def test_a_request_is_not_resent_after_a_reset(self):
        received = []

        async def reset(reader, writer):
            received.append(await read_request(reader))
            writer.transport.abort()

        result = send_calls(reset, service_call(method="PUT", body=b"1"))[0]
        self.assertEqual(result.delivery, Delivery.MAYBE)
        self.assertEqual(len(received), 1)

    def test_redirects_are_returned_and_not_followed(self):
        for status in ("301 Moved", "307 Temporary", "308 Permanent"):
            for once in (True, False):
                redirect = answer(b"", status, b"location: /elsewhere")
                script = ScriptedHandler(redirect, answer(), keep_open=True)
                result = send_calls(script, service_call(method="PUT", once=once))[0]
                self.assertEqual(result.status, int(status[:3]))
                self.assertIn(("location", "/elsewhere"), result.headers)
                self.assertEqual(len(script.requests), 1)


class StrayAnswerTest(unittest.TestCase):
    def test_a_stray_answer_is_not_taken_for_that_of_the_next_call(self):
        """Guards against a second copy of an answer on a connection in use again.

        `endpoints.http_transport.HttpSessions.unpooled` closes each connection.
        """

        async def answer_twice(late, reader, writer):
            while (request := await read_request(reader)) is not None:
                writer.write(answer(request[1]))
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.write(late)

        async def main(late, once):
            async with (
                raw_server(functools.partial(answer_twice, late)) as port,
                client("http", port) as service_client,
            ):
                bodies = []
                for body in (b"1", b"2", b"3"):
                    call = service_call(body=body, once=once)
                    bodies.append((await service_client.call(call)).body)
                    await asyncio.sleep(0.03)
                return bodies

        refusal = answer(b"", "429 Too Many Requests")
        for late, once in itertools.product((answer(b"late"), refusal), (True, False)):
            self.assertEqual(asyncio.run(main(late, once)), [b"1", b"2", b"3"])

    def test_a_stray_lookup_does_not_say_that_the_next_request_has_not_run(self):
        """Guards against an earlier outcome, taken for that of another request."""

        async def answer_twice(reader, writer):
            while await read_request(reader) is not None:
                writer.write(answer(b'{"execution":"running"}'))
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.write(answer(b'{"execution":"not_run"}'))

        async def main():
            async with (
                raw_server(answer_twice) as port,
                client("http", port, has_lookup=True) as service_client,
            ):
                for name in ("r1", "r2", "r3"):
                    lookup = await service_client.lookup(name)
                    self.assertIs(lookup.execution, Execution.RUNNING)
                    await asyncio.sleep(0.03)

        asyncio.run(main())


class HeadersTest(unittest.TestCase):
    def test_end_to_end_headers_pass_and_hop_by_hop_ones_are_dropped(self):
        script = ScriptedHandler(
            answer(
                b"\x1f\x8b-raw",
                "200 OK",
                b"set-cookie: a=1",
                b"set-cookie: b=2",
                b"content-encoding: gzip",
                b"keep-alive: timeout=5",
            ),
            answer(),
        )
        headers = (
            ("accept", "text/csv"),
            ("connection", "close, X-Hop"),
            ("x-hop", "secret"),
            ("content-length", "999"),
            ("expect", "100-continue"),
            ("x-request-id", "forged"),
        )
        calls = [service_call(headers=headers, path="/a%2Fb?q=%20"), service_call("r2")]
        got, _ = send_calls(script, *calls)
        self.assertIsInstance(got, ServiceAnswer)
        self.assertEqual(got.body, b"\x1f\x8b-raw")
        cookies = [value for name, value in got.headers if name == "set-cookie"]
        self.assertEqual(cookies, ["a=1", "b=2"])
        self.assertNotIn("keep-alive", dict(got.headers))
        head = script.requests[0][0].lower()
        self.assertIn(b"post /a%2fb?q=%20 http/1.1", head)
        self.assertIn(b"accept: text/csv", head)
        self.assertIn(b"x-request-id: r1", head)
        self.assertIn(b"x-attempt-id: r1.1", head)
        for absent in (b"forged", b"expect", b"999", b"secret", b"user-agent"):
            self.assertNotIn(absent, head)
        self.assertNotIn(b"cookie", script.requests[1][0].lower())


class StandinTest(unittest.TestCase):
    def run_with(self, scenario, **profile):
        async def main():
            service = make_plain_service("s1", **profile)
            async with run_server(service_app(service)) as server:
                async with client(
                    "http", server.port, has_lookup=True
                ) as service_client:
                    try:
                        return await scenario(service, service_client)
                    finally:
                        service.close()

        return asyncio.run(main())

    def test_calls_that_meet_a_fault_are_in_doubt(self):
        async def scenario(service, service_client):
            seen = []
            for number, fault in enumerate(PlainFault):
                service.inject(fault)
                call = service_call(f"r{number}", timeout_ms=100)
                result = await service_client.call(call)
                service.restart()
                seen.append((fault, getattr(result, "delivery", "done")))
            ledger = service.ledger
            counts = {ledger.count(f"r{number}") for number in range(len(seen))}
            return seen, counts

        seen, counts = self.run_with(scenario, slow_factor=50.0)
        self.assertEqual(seen, [(fault, Delivery.MAYBE) for fault in PlainFault])
        self.assertEqual(counts, {0, 1})

    def test_lookup_returns_the_answer_or_bars_the_request(self):
        async def scenario(service, service_client):
            call = service_call(path="/book?x=1", body=b"abc")
            result = await service_client.call(call)
            ran = await service_client.lookup("r1")
            barred = await service_client.lookup("r/2 ?")
            late = await service_client.call(service_call("r/2 ?"))
            service.crash()
            return result, ran, barred, late, await service_client.lookup("r1")

        result, ran, barred, late, down = self.run_with(scenario, service_ms=1)
        self.assertEqual(result.status, 200)
        self.assertIn(b"/book?x=1", result.body)
        self.assertEqual(ran.execution, Execution.RAN)
        self.assertEqual(ran.answer.body, result.body)
        self.assertEqual(barred.execution, Execution.NOT_RUN)
        self.assertEqual(late.delivery, Delivery.REFUSED)
        self.assertEqual(down.reason, Reason.PEER_ERROR)

    def test_a_malformed_lookup_answer_is_a_failure(self):
        for body in (b"{", b'{"execution":"perhaps"}', b"[]", b"\xff"):

            async def main(body=body):
                async with raw_server(ScriptedHandler(answer(body))) as port:
                    async with client("http", port, has_lookup=True) as service_client:
                        return await service_client.lookup("r1")

            self.assertEqual(asyncio.run(main()).reason, Reason.PROTOCOL)
