"""The gateway before crowds of clients that don't behave."""

from __future__ import annotations

from benchmarks.processes import CUSTOMER

from .case import FEW_DESCRIPTORS, MB, CrowdCase
from .gateway import (
    FILE_DESCRIPTORS,
    GENERATION_PATH,
    HANGING_PATH,
    ORDINARY_PATH,
    GatewayDeployment,
    garbage_messages,
    large_generation,
)
from .requests import MAX_BODY_BYTES, RequestWriter, in_pieces, short_lines

WRITER = RequestWriter("x", CUSTOMER, ORDINARY_PATH)


class GatewayCase(CrowdCase):
    file_descriptors = FILE_DESCRIPTORS

    def make_deployment(self) -> GatewayDeployment:
        return GatewayDeployment(self.file_descriptors)


class TestTrailers(GatewayCase):
    async def test_short_lines_without_end(self):
        await self.press(4, lambda _: WRITER.endless_trailers(b"ab:\r\n", 8 * MB))

    async def test_one_line_without_end(self):
        first = b"name: "
        await self.press(4, lambda _: WRITER.endless_trailers(b"x", 40 * MB, first))


class TestHeads(GatewayCase):
    async def test_short_lines_without_end(self):
        await self.press(4, lambda _: WRITER.endless_head(b"ab:\r\n", 8 * MB))

    async def test_one_line_without_end(self):
        await self.press(4, lambda _: WRITER.endless_head(b"x", 40 * MB))

    async def test_many_short_lines_of_requests_that_do_not_end(self):
        lines = short_lines()
        await self.press(500, lambda _: WRITER.unfinished(lines))

    async def test_many_short_lines_of_requests_that_wait_for_their_endpoint(self):
        data = WRITER.whole(HANGING_PATH, extra=short_lines())
        await self.press(500, lambda _: [data])


class TestBodies(GatewayCase):
    async def test_many_in_large_chunks_that_do_not_end(self):
        body_bytes = MAX_BODY_BYTES - 65_536
        await self.press(50, lambda _: WRITER.endless_chunks(65_536, body_bytes))

    async def test_many_in_very_small_chunks_that_do_not_end(self):
        await self.press(200, lambda _: WRITER.endless_chunks(2, MB))

    async def test_many_that_wait_for_their_endpoint(self):
        data = WRITER.whole(HANGING_PATH, b"x" * 4 * MB)
        await self.press(50, lambda _: in_pieces(data))

    async def test_generations_with_very_many_small_values(self):
        data = WRITER.whole(GENERATION_PATH, large_generation(MAX_BODY_BYTES))
        await self.press(20, lambda _: in_pieces(data))


class TestPipelines(GatewayCase):
    async def test_very_many_requests_behind_one_that_waits(self):
        first = WRITER.whole(HANGING_PATH)
        await self.press(30, lambda _: WRITER.pipelined(first, MB))


class TestConnections(GatewayCase):
    file_descriptors = FEW_DESCRIPTORS

    async def test_many_idle_ones(self):
        await self.press(800, lambda _: [])

    async def test_many_that_have_begun_a_head(self):
        await self.press(800, lambda _: [b"GET / HTTP/1.1\r\nHost: "])

    async def test_many_to_the_port_of_other_instances(self):
        await self.press(800, lambda _: [], port=self.deployment.peer_port)


class TestMessages(GatewayCase):
    async def test_very_many_of_the_largest_size_that_nobody_authenticated(self):
        port = self.deployment.peer_port
        await self.press(100, lambda _: garbage_messages(10, MB), port=port)


class TestSingleRequests(GatewayCase):
    """Guards against limits that a single request inside the classes' limits meets."""

    async def test_are_served_in_calm(self):
        tiny = WRITER.chunked() + b"2\r\nxx\r\n" * (MB // 4) + b"0\r\n"
        for name, data in {
            "short header lines": WRITER.whole(extra=short_lines()),
            "the largest body": WRITER.whole(body=b"x" * MAX_BODY_BYTES),
            "very small chunks": tiny + b"\r\n",
            "trailers": tiny + b"name: value\r\n" * 500 + b"\r\n",
            "many small values": WRITER.whole(GENERATION_PATH, large_generation(MB)),
        }.items():
            with self.subTest(name):
                status, body = await self.deployment.send_raw(data)
                self.assertEqual(status, 200, body)
