"""What follows in a stream that has begun and broken off."""

from __future__ import annotations

import asyncio
import unittest

from .site import TIMEOUT_S, Site, configuration, request

ERROR = b'{"error": "no such run"}'
NOT_RUN = "Monsoonpulley-Not-Executed: 1\r\n"
EVENTS = "Content-Type: text/event-stream\r\n"


def plain(status: int, body: bytes = ERROR, **fields):
    """Return a script that answers with a whole body."""

    async def script(call) -> None:
        call.answer(status, body, **fields)

    return script


def stream(*pieces: bytes, is_framed: bool = True):
    """Return a script that answers with a sealed stream of ``pieces``."""

    async def script(call) -> None:
        if is_framed:
            call.start_stream()
            for piece in pieces:
                call.write_chunk(piece)
            call.write_chunk(b"")
            return
        head = f"HTTP/1.1 200 OK\r\nMonsoonpulley-Request-Id: {call.request_id}\r\n"
        head += f"Monsoonpulley-Response-Seal: seal-1\r\n{EVENTS}\r\n"
        call.writer.write(head.encode() + b"".join(pieces))
        await call.writer.drain()
        call.writer.close()

    return script


async def begin(call, events=(b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")) -> None:
    """Send events, a part of another one, and break off."""
    call.start_stream()
    for piece in (*events, b"id: 3\nda"):
        call.write_chunk(piece)
    await call.writer.drain()
    await asyncio.sleep(0.02)
    call.writer.close()


BEGUN = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
REST = b"id: 3\ndata: c\n\n"


class BrokenStreamsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)

    async def play(self, *scripts) -> tuple[bytes, bool]:
        """Return the body of the answer, and whether it was complete.

        Each attempt is answered by the next of ``scripts``, at an endpoint of its own.
        """
        await self.start(*scripts)
        got = await self.site.send_request()
        return got.body, got.is_whole

    async def start(self, *scripts) -> None:
        await self.site.stop()
        self.site = Site()
        waiting = list(scripts)

        async def answer(call) -> None:
            await waiting.pop(0)(call)

        for _ in scripts:
            await self.site.add_endpoint(answer)
        fields = {"kind": "streaming", "resume_streams": True}
        await self.site.start(configuration(**fields, max_attempts=len(scripts)))

    async def check(self, scripts) -> None:
        """Check that none of the answers in ``scripts`` shows in a begun stream."""
        for name, script in scripts.items():
            with self.subTest(name):
                got = await self.play(begin, script, stream(REST))
                self.assertEqual(got, (BEGUN + REST, True))
                self.assertTrue(self.site.log_events("attempt")[1]["detail"])
                got = await self.play(begin, script)
                self.assertEqual(got, (BEGUN, False))

    async def test_a_plain_success_does_not_end_up_within_a_stream(self):
        await self.check(
            {
                "plain": plain(200),
                "no content": plain(204, b"", extra=EVENTS),
                "partial content": plain(206, REST, extra=EVENTS),
            }
        )

    async def test_a_failure_does_not_end_up_within_a_stream(self):
        await self.check(
            {
                "not run": plain(503, seal=None, extra=NOT_RUN),
                "quota": plain(429, seal=None, extra=NOT_RUN),
                "misdirected": plain(421, seal=None),
                "unmarked refusal": plain(503),
                "failed": plain(500),
                "failed, as events": plain(500, b"data: x\n\n", extra=EVENTS),
                "elsewhere": plain(302, extra="Location: /\r\n"),
                "encoded": plain(200, extra=EVENTS + "Content-Encoding: gzip\r\n"),
                "no seal": plain(200, b"data: x\n\n", seal=None, extra=EVENTS),
            }
        )

    async def test_an_error_event_without_a_place_is_not_forwarded(self):
        await self.check(
            {
                "no id": stream(b"event: error\ndata: no such run\n\n"),
                "no number": stream(b"id: error\ndata: no such run\n\n"),
            }
        )

    async def test_an_end_before_the_callers_place_does_not_complete_a_stream(self):
        await self.check(
            {
                "shorter run": stream(b"id: 1\ndata: a\n\n"),
                "no event": stream(is_framed=False),
                "part of an event": stream(b"id: 3\nda"),
            }
        )

    async def test_a_comment_before_a_crash_does_not_complete_a_stream(self):
        crash = stream(b": starting\n\n", is_framed=False)
        for begun in ((), (begin,)):
            got = await self.play(*begun, crash, stream(REST))
            self.assertEqual(got, (BEGUN * len(begun) + b": starting\n\n" + REST, True))

    async def test_events_without_ids_are_not_sent_twice(self):
        async def begin_unnumbered(call) -> None:
            await begin(call, [b"data: a\n\n"])

        got = await self.play(begin_unnumbered, stream(b"data: a\n\n", b"data: b\n\n"))
        self.assertEqual(got, (b"data: a\n\n", False))

    async def test_a_stream_whose_end_alone_was_lost_is_completed(self):
        got = await self.play(begin, stream(b": nothing follows\n\n"))
        self.assertEqual(got, (BEGUN + b": nothing follows\n\n", True))

    async def test_an_answer_without_a_body_is_its_head_alone(self):
        for method, script in (
            ("POST", plain(204, b"", extra=EVENTS)),
            ("HEAD", stream()),
        ):
            await self.start(script)
            reader, writer = await self.site.connect()
            writer.write(request(method=method, extra="Connection: close\r\n"))
            received = await asyncio.wait_for(reader.read(), TIMEOUT_S)
            writer.close()
            self.assertEqual(received.partition(b"\r\n\r\n")[2], b"")


if __name__ == "__main__":
    unittest.main()
