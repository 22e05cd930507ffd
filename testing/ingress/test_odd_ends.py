"""Endpoints whose answers end oddly, while the request is still written or after it."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
import unittest

from .site import EndpointCall, EndpointStandin, Site, configuration, endpoint_row

SMALL, LARGE = b"x" * 10, b"x" * 2_000_000
"""Connections to endpoints leave little of a request to the kernel, whose buffers
would hold the large one."""

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_000_000,
    "header_timeout_ms": 5_000,
    "idle_timeout_ms": 10_000,
}
SUCCESS = (
    b"HTTP/1.1 200 OK\r\nMonsoonpulley-Request-Id: a1\r\n"
    b"Monsoonpulley-Response-Seal: seal-1\r\n"
)
ANSWERS = {
    "unsafe": SUCCESS + b"\r\npart of an answer",
    "streaming": SUCCESS
    + b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece\n\n",
}
"""Answers without a length, by the kind of the route."""


def reset(call: EndpointCall) -> None:
    sock = call.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    call.writer.transport.abort()


async def reset_at_once(call):
    reset(call)


async def reset_later(call):
    await call.writer.drain()
    await asyncio.sleep(0.05)
    reset(call)


async def end_and_reset(call):
    call.writer.write_eof()
    await reset_later(call)


async def end_and_read(call):
    call.writer.write_eof()


async def read_on(call):
    await call.writer.drain()


async def wait_for_close(call):
    await call.writer.drain()
    while not call.writer.is_closing():
        await asyncio.sleep(0.05)


class OddEndTest(unittest.IsolatedAsyncioTestCase):
    async def send_request_to(self, script, kind: str, body: bytes, **changes):
        """Return the answer of a site whose endpoint answers before it reads on."""
        site = Site()
        endpoint = EndpointStandin(script, answers_before_body=True)
        address = await endpoint.listen()
        site.endpoints.append(endpoint)
        site.store.put("servers", "i-1", endpoint_row(address))
        fields = {"kind": kind, "max_attempts": 1, "timeout_ms": 4_000}
        await site.start(configuration(limits=LIMITS, **{**fields, **changes}))
        started_s = time.monotonic()
        try:
            return await site.send_request(body=body)
        finally:
            self.taken_s = time.monotonic() - started_s
            await site.stop()

    async def send_to_answer(self, answer: bytes, end, kind: str, body: bytes):
        async def script(call):
            call.writer.write(answer)
            await end(call)

        return await self.send_request_to(script, kind, body)


class TestResets(OddEndTest):
    def assert_is_no_whole_answer(self, got, kind):
        if kind == "streaming" and got.status == 200:
            self.assertFalse(got.is_whole)
        else:
            self.assertEqual(got.status, 502)
            self.assertNotIn("monsoonpulley-response-seal", got.headers)

    # MIXED: a part of an answer without a length, whose connection was reset while the
    # upload was still written, was passed on as a whole one.
    async def test_an_answer_without_a_length_that_is_reset_is_not_whole(self):
        for kind, answer in ANSWERS.items():
            for body in (SMALL, LARGE):
                for end in (reset_at_once, reset_later):
                    with self.subTest(kind=kind, size=len(body), end=end.__name__):
                        got = await self.send_to_answer(answer, end, kind, body)
                        self.assert_is_no_whole_answer(got, kind)

    async def test_one_that_is_reset_after_its_end_is_not_whole_during_an_upload(self):
        for kind, answer in ANSWERS.items():
            with self.subTest(kind=kind):
                got = await self.send_to_answer(answer, end_and_reset, kind, LARGE)
                self.assert_is_no_whole_answer(got, kind)

    async def test_an_answer_without_a_length_is_whole_at_its_connections_end(self):
        for kind, answer in ANSWERS.items():
            for body in (SMALL, LARGE):
                with self.subTest(kind=kind, size=len(body)):
                    got = await self.send_to_answer(answer, end_and_read, kind, body)
                    self.assertEqual((got.status, got.is_whole), (200, True))
                    self.assertLess(self.taken_s, 2.0)

    async def test_a_caller_that_leaves_during_the_upload_ends_it(self):
        # The transport closes by itself then, but would write on.
        ended = asyncio.Event()

        async def script(call):
            call.writer.write(ANSWERS["unsafe"])
            call.writer.write_eof()
            await call.writer.drain()
            await asyncio.sleep(0.3)
            ended.set()
            await asyncio.sleep(3)

        site = Site()
        self.addAsyncCleanup(site.stop)
        endpoint = EndpointStandin(script, answers_before_body=True)
        address = await endpoint.listen()
        site.endpoints.append(endpoint)
        site.store.put("servers", "i-1", endpoint_row(address))
        await site.start(configuration(kind="unsafe", limits=LIMITS))
        task = asyncio.create_task(site.send_request(body=LARGE))
        await ended.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await site.wait_until(lambda: not site.service._runs)
        self.assertFalse(endpoint.calls)


class TestStatuses(OddEndTest):
    # MIXED: an answer with a status that HTTP doesn't have was passed on as an answer,
    # or waited for as long as its connection was open.
    async def test_an_answer_with_a_status_that_is_none_is_a_failure_at_once(self):
        for status in ("000", "001", "099", "600", "999", "20", "1000", "-20", "2x0"):
            answer = SUCCESS.replace(b"200 OK", f"{status} Odd".encode())
            for kind in ANSWERS:
                for body in (SMALL, LARGE):
                    with self.subTest(status=status, kind=kind, size=len(body)):
                        got = await self.send_to_answer(
                            answer + b"Content-Length: 4\r\n\r\npart",
                            wait_for_close,
                            kind,
                            body,
                        )
                        self.assertEqual(got.status, 502)
                        self.assertNotIn("monsoonpulley-response-seal", got.headers)
                        self.assertLess(self.taken_s, 1.5)

    async def test_such_answers_and_resets_of_one_endpoint_blame_no_request(self):
        # They look like a crash under the request, but the endpoint still listens.
        odd = SUCCESS.replace(b"200 OK", b"600 Odd") + b"Content-Length: 0\r\n\r\n"
        for answer, end in ((odd, wait_for_close), (ANSWERS["unsafe"], reset_later)):
            with self.subTest(end=end.__name__):

                async def script(call, answer=answer, end=end):
                    call.writer.write(answer)
                    await end(call)

                site = Site()
                self.addAsyncCleanup(site.stop)
                endpoint = EndpointStandin(script, answers_before_body=True)
                address = await endpoint.listen()
                site.endpoints.append(endpoint)
                site.store.put("servers", "i-1", endpoint_row(address))
                await site.start(configuration(kind="unsafe", limits=LIMITS))
                for _ in range(12):
                    got = await site.send_request(body=SMALL)
                    self.assertIn(got.status, (502, 503))
                    await asyncio.sleep(0.1)
                self.assertEqual(site.service.parts.quarantine.entry_count(), 0)
                self.assertFalse(site.log_events("endpoint_crashed"))

    async def test_an_answer_that_follows_an_interim_one_is_passed_on(self):
        for status in ("100", "102", "103", "199"):
            with self.subTest(status=status):
                interim = f"HTTP/1.1 {status} Wait\r\n\r\n".encode()
                answer = interim + SUCCESS + b"Content-Length: 4\r\n\r\ndone"
                got = await self.send_to_answer(answer, read_on, "unsafe", SMALL)
                self.assertEqual((got.status, got.body), (200, b"done"))


if __name__ == "__main__":
    unittest.main()
