"""The ingress before crowds of clients that don't behave."""

from __future__ import annotations

import asyncio

from ..ingress.site import HOST, KEY, read_answer
from ..soak.instances import CALLERS_PORT, FIRST_PEER_PORT, READINESS_PORT
from .case import FEW_DESCRIPTORS, MB, SETTLE_S, CrowdCase
from .ingress import (
    FILE_DESCRIPTORS,
    HANGING_PATH,
    LARGE_PATH,
    METRICS_PORT,
    IngressDeployment,
)
from .requests import (
    MAX_BODY_BYTES,
    RequestWriter,
    in_pieces,
    prompt_parts,
    short_lines,
)

MAX_LOG_BYTES_PER_REQUEST = 4_096
"""Two lines with all their fields take half of it."""

LOG_INTERVAL_S = 0.06
"""Longer than lines wait to be written."""

WRITER = RequestWriter(HOST, KEY, "/app/x")


class IngressCase(CrowdCase):
    file_descriptors = FILE_DESCRIPTORS

    def make_deployment(self) -> IngressDeployment:
        return IngressDeployment(self.file_descriptors)


class TestTrailers(IngressCase):
    async def test_short_lines_without_end(self):
        await self.press(4, lambda _: WRITER.endless_trailers(b"ab:\r\n", 8 * MB))

    async def test_one_line_without_end(self):
        first = b"name: "
        await self.press(4, lambda _: WRITER.endless_trailers(b"x", 40 * MB, first))


class TestBodies(IngressCase):
    async def test_many_in_large_chunks_that_do_not_end(self):
        body_bytes = MAX_BODY_BYTES - 65_536
        await self.press(40, lambda _: WRITER.endless_chunks(65_536, body_bytes))

    async def test_many_in_very_small_chunks_that_do_not_end(self):
        await self.press(12, lambda _: WRITER.endless_chunks(2, MB))

    async def test_many_that_wait_for_their_endpoint(self):
        data = WRITER.whole(HANGING_PATH, b"x" * 4 * MB)
        await self.press(40, lambda _: in_pieces(data))


class TestHeads(IngressCase):
    async def test_one_line_without_end(self):
        await self.press(60, lambda _: WRITER.endless_head(b"x", 4 * MB))

    async def test_many_short_lines_of_requests_that_do_not_end(self):
        lines = short_lines()
        await self.press(500, lambda _: WRITER.unfinished(lines))

    async def test_many_short_lines_of_requests_that_wait_for_their_endpoint(self):
        data = WRITER.whole(HANGING_PATH, extra=short_lines())
        await self.press(500, lambda _: [data])

    async def test_many_parts_of_prompts(self):
        data = WRITER.whole(HANGING_PATH, extra=prompt_parts())
        await self.press(600, lambda _: [data])

    async def test_what_is_logged_of_long_values_is_bounded(self):
        count = 60
        before_bytes = self.deployment.log_bytes()
        for _ in range(count):
            answer = await self.deployment.send_request(request_id="a" * 15_000)
            self.assertEqual(answer.status, 200)
            # Faster, the lines would be dropped: the log limits bytes as well.
            await asyncio.sleep(LOG_INTERVAL_S)
        await asyncio.sleep(SETTLE_S)
        logged_bytes = self.deployment.log_bytes() - before_bytes
        self.assertLessEqual(logged_bytes, count * MAX_LOG_BYTES_PER_REQUEST)


class TestPipelines(IngressCase):
    async def test_very_many_requests_behind_one_that_waits(self):
        first = WRITER.whole(HANGING_PATH)
        await self.press(60, lambda _: WRITER.pipelined(first, MB))

    async def test_large_answers_that_are_not_read(self):
        several = WRITER.whole(LARGE_PATH) * 5
        await self.press(30, lambda _: [several], reads=False)


class TestConnections(IngressCase):
    file_descriptors = FEW_DESCRIPTORS

    async def test_many_idle_ones(self):
        for port in (CALLERS_PORT, READINESS_PORT, METRICS_PORT, FIRST_PEER_PORT):
            with self.subTest(port=port):
                await self.press(800, lambda _: [], port=port)

    async def test_many_that_have_begun_a_head(self):
        await self.press(800, lambda _: [b"GET / HTTP/1.1\r\nHost: "])


class TestSingleRequests(IngressCase):
    """Guards against limits that a single request inside the users' limits meets."""

    async def test_are_served_in_calm(self):
        tiny = WRITER.chunked() + b"2\r\nxx\r\n" * (MB // 2) + b"0\r\n"
        for name, data in {
            "short header lines": WRITER.whole(extra=short_lines()),
            "parts of a prompt": WRITER.whole(extra=prompt_parts()),
            "the largest body": WRITER.whole(body=b"x" * MAX_BODY_BYTES),
            "very small chunks": tiny + b"\r\n",
            "trailers": tiny + b"name: value\r\n" * 500 + b"\r\n",
        }.items():
            with self.subTest(name):
                answer = await self._send(data)
                self.assertEqual((answer.status, answer.body), (200, b"answer"))

    async def _send(self, data: bytes):
        reader, writer = await asyncio.open_connection(self.deployment.ip, CALLERS_PORT)
        try:
            writer.write(data)
            async with asyncio.timeout(20):
                return await read_answer(reader)
        finally:
            writer.close()
