import asyncio
import contextlib
import socket
import unittest

import aiohttp

from _monsoonpulley.endpoints import http_service
from _monsoonpulley.endpoints.http_transport import CallTrace, delivery_of
from _monsoonpulley.endpoints.service import Execution, ServiceAnswer
from _monsoonpulley.errors import Delivery, Reason
from _monsoonpulley.standins.endpoints_http import service_app
from _monsoonpulley.standins.httpserver import serving
from _monsoonpulley.standins.plainservice import PlainFault

from ..standins.fleet import make_plain_service, service_call
from .rawserver import Script, answer, client, free_port, raw_server, read_request

ADDRESS = ("127.0.0.1", 0)


def call_raw(script, *calls, **target):
    """Return the results of calls to a scripted server, one after the other."""

    async def main():
        async with raw_server(script) as port, client("http", port, **target) as to:
            return [await to.call(call) for call in calls or [service_call()]]

    return asyncio.run(main())


class DeliveryTest(unittest.TestCase):
    def check_maybe(self, script, reason, **fields):
        result = call_raw(script, service_call(**fields))[0]
        self.assertEqual((result.reason, result.delivery), (reason, Delivery.MAYBE))
        self.assertEqual(result.peer, "e1")
        self.assertLessEqual(len(script.requests), 1)

    def test_no_connection_is_not_sent(self):
        async def main():
            async with client("http", free_port()) as to:
                return await to.call(service_call())

        result = asyncio.run(main())
        self.assertEqual(result.delivery, Delivery.NOT_SENT)
        self.assertEqual(result.reason, Reason.UNAVAILABLE)

    def test_no_answer_to_connecting_is_not_sent(self):
        async def main():
            loop = asyncio.get_running_loop()
            with contextlib.ExitStack() as stack:
                # Nobody accepts, so connections beyond the queue hang.
                listener = stack.enter_context(socket.create_server(ADDRESS, backlog=0))
                port = listener.getsockname()[1]
                for _ in range(4):
                    filler = stack.enter_context(socket.socket())
                    filler.setblocking(False)
                    filler.connect_ex(("127.0.0.1", port))
                await asyncio.sleep(0)
                async with client("http", port) as to:
                    started_s = loop.time()
                    result = await to.call(service_call(timeout_ms=250))
                    return result, loop.time() - started_s

        result, span_s = asyncio.run(main())
        self.assertEqual(result.delivery, Delivery.NOT_SENT)
        self.assertGreater(span_s, 0.15)

    def test_connection_dropped_after_the_request_was_read(self):
        for method in ("POST", "PUT", "GET", "DELETE"):
            self.check_maybe(Script(None), Reason.PEER_ERROR, method=method)

    def test_connection_dropped_before_the_request_was_read(self):
        async def drop(_reader, writer):
            writer.transport.abort()

        drop.requests = []
        self.check_maybe(drop, Reason.PEER_ERROR)

    def test_no_answer_in_time(self):
        script = Script([], hold_s=1.0)
        self.check_maybe(script, Reason.TIMEOUT, timeout_ms=80)

    def test_body_that_stops_in_the_middle(self):
        cut = answer(b"ok").replace(b"length: 2", b"length: 9")
        self.check_maybe(Script(cut), Reason.PEER_ERROR)
        chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab"
        self.check_maybe(Script(chunked), Reason.PEER_ERROR)

    def test_garbage_instead_of_http(self):
        self.check_maybe(Script(b"\x00\xff nonsense\r\n\r\n"), Reason.PROTOCOL)
        self.check_maybe(Script(b"HTTP/1.1 2x0 OK\r\n\r\n"), Reason.PROTOCOL)
        endless = b"HTTP/1.1 200 OK\r\nx: " + b"y" * 200_000
        self.check_maybe(Script(endless), Reason.PROTOCOL)

    def test_answer_over_the_limit_is_not_taken_in(self):
        size = http_service.MAX_ANSWER_BYTES + 1
        declared = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size
        self.check_maybe(Script(declared), Reason.PROTOCOL)
        piece = b"10000\r\n" + b"z" * 65_536 + b"\r\n"
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        endless = [head] + [piece] * 300
        self.check_maybe(Script(endless), Reason.PROTOCOL, timeout_ms=5_000)

    def test_only_refusal_statuses_are_refusals(self):
        busy = answer(b"", "503 Busy", b"retry-after: 3")
        refused = call_raw(Script(busy), refusal_statuses=(503,))[0]
        self.assertEqual(refused.delivery, Delivery.REFUSED)
        self.assertEqual(refused.retry_after_ms, 3_000)
        answered = call_raw(Script(busy), refusal_statuses=(429,))[0]
        self.assertEqual(answered.status, 503)

    def test_unusable_paths_are_not_sent(self):
        script = Script()
        paths = ("x", "/a b", "/a\r\nx: y", "/ü", "/a#b", "")
        calls = [service_call(path=path) for path in paths]
        results = call_raw(script, *calls)
        self.assertEqual({r.delivery for r in results}, {Delivery.NOT_SENT})
        self.assertEqual(script.requests, [])

    def test_unusable_methods_and_headers_are_not_sent(self):
        script = Script()
        calls = [service_call(method=name) for name in ("CONNECT", "A B", "")]
        for pair in (("x y", "1"), ("x", "1\r\ny: 2"), ("x", "\u20ac"), ("", "1")):
            calls.append(service_call(headers=(pair,)))
        results = call_raw(script, *calls)
        self.assertEqual({r.delivery for r in results}, {Delivery.NOT_SENT})
        self.assertEqual(script.requests, [])

    def test_a_large_length_in_an_answer_to_head_is_no_failure(self):
        size = http_service.MAX_ANSWER_BYTES + 1
        declared = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size
        result = call_raw(Script(declared), service_call(method="HEAD"))[0]
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
        # The client library by itself resends a PUT whose connection breaks.
        for once in (True, False):
            script = Script(answer(), None, answer(), answer(), keep_open=True)
            calls = [
                service_call("r1", method="PUT", body=b"1", once=once),
                service_call("r2", method="PUT", body=b"2", once=once),
            ]
            first, second = call_raw(script, *calls)
            self.assertEqual(first.status, 200)
            self.assertEqual(second.delivery, Delivery.MAYBE)
            bodies = [body for _, body in script.requests]
            self.assertEqual(bodies, [b"1", b"2"])

    def test_a_reset_is_not_followed_by_a_resend(self):
        heard = []

        async def reset(reader, writer):
            heard.append(await read_request(reader))
            writer.transport.abort()

        result = call_raw(reset, service_call(method="PUT", body=b"1"))[0]
        self.assertEqual(result.delivery, Delivery.MAYBE)
        self.assertEqual(len(heard), 1)

    def test_redirects_are_answers(self):
        for status in ("301 Moved", "307 Temporary", "308 Permanent"):
            for once in (True, False):
                to = answer(b"", status, b"location: /elsewhere")
                script = Script(to, answer(), keep_open=True)
                result = call_raw(script, service_call(method="PUT", once=once))[0]
                self.assertEqual(result.status, int(status[:3]))
                self.assertIn(("location", "/elsewhere"), result.headers)
                self.assertEqual(len(script.requests), 1)


class OwnAnswerTest(unittest.TestCase):
    def test_an_answer_nobody_asked_for_is_not_that_of_the_next_call(self):
        async def answer_twice(reader, writer):
            while (request := await read_request(reader)) is not None:
                writer.write(answer(request[1]))
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.write(answer(b"late"))

        async def main(once):
            async with raw_server(answer_twice) as port, client("http", port) as to:
                bodies = []
                for body in (b"1", b"2", b"3"):
                    call = service_call(body=body, once=once)
                    bodies.append((await to.call(call)).body)
                    await asyncio.sleep(0.03)
                return bodies

        for once in (True, False):
            self.assertEqual(asyncio.run(main(once)), [b"1", b"2", b"3"])


class HeadersTest(unittest.TestCase):
    def test_headers_pass_through_without_those_of_the_connection(self):
        script = Script(
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
        got, _ = call_raw(script, *calls)
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
    def run_with(self, use, **profile):
        async def main():
            service = make_plain_service("s1", **profile)
            async with serving(service_app(service)) as server:
                async with client("http", server.port, lookup=True) as to:
                    try:
                        return await use(service, to)
                    finally:
                        service.close()

        return asyncio.run(main())

    def test_faults_classify_over_http_as_in_process(self):
        async def use(service, to):
            seen = []
            for number, fault in enumerate(PlainFault):
                service.inject(fault)
                call = service_call(f"r{number}", timeout_ms=100)
                result = await to.call(call)
                service.restart()
                seen.append((fault, getattr(result, "delivery", "done")))
            ledger = service.ledger
            counts = {ledger.count(f"r{number}") for number in range(len(seen))}
            return seen, counts

        seen, counts = self.run_with(use, slow_factor=50.0)
        self.assertEqual(seen, [(fault, Delivery.MAYBE) for fault in PlainFault])
        self.assertEqual(counts, {0, 1})

    def test_lookup(self):
        async def use(service, to):
            call = service_call(path="/book?x=1", body=b"abc")
            result = await to.call(call)
            ran = await to.lookup("r1")
            barred = await to.lookup("r/2 ?")
            late = await to.call(service_call("r/2 ?"))
            service.crash()
            return result, ran, barred, late, await to.lookup("r1")

        result, ran, barred, late, down = self.run_with(use, service_ms=1)
        self.assertEqual(result.status, 200)
        self.assertIn(b"/book?x=1", result.body)
        self.assertEqual(ran.execution, Execution.RAN)
        self.assertEqual(ran.answer.body, result.body)
        self.assertEqual(barred.execution, Execution.NOT_RUN)
        self.assertEqual(late.delivery, Delivery.REFUSED)
        self.assertEqual(down.reason, Reason.PEER_ERROR)

    def test_lookup_garbage_is_a_failure(self):
        for body in (b"{", b'{"execution":"perhaps"}', b"[]", b"\xff"):

            async def main(body=body):
                async with raw_server(Script(answer(body))) as port:
                    async with client("http", port, lookup=True) as to:
                        return await to.lookup("r1")

            self.assertEqual(asyncio.run(main()).reason, Reason.PROTOCOL)
