"""Earlier refusals that an endpoint writes once more, before the answer that is due."""

from __future__ import annotations

import asyncio
import unittest

from _monsoonpulley.wire.pool import ConnectionPool

from .linked import LinkedFleet, Loss
from .site import EndpointStandin, Site, configuration

ID = "Monsoonpulley-Request-Id: "
NOT_RUN = "Monsoonpulley-Not-Executed: 1\r\n"

RUN_S = 0.02
"""Time for which a request runs after the refusal that does not belong to it."""


def refusal(headers: str, status: int = 503, rest: str = "") -> str:
    """Return an answer with a body, or with the headers ``rest`` without one."""
    rest = rest or "Content-Length: 4\r\n\r\nbusy"
    return f"HTTP/1.1 {status} S\r\n{headers}{NOT_RUN}{rest}"


class FaultyEndpoint:
    """A script that writes ``copy`` before each answer but a connection's first.

    ``{earlier}`` and ``{own}`` become the ids of the first request and of this one.
    """

    def __init__(self, copy: str, refuses_first: bool = False):
        self.copy = copy
        self.refuses_first = refuses_first
        self.run_ids: list[str] = []
        self._first_ids: dict[object, str] = {}

    async def __call__(self, call) -> None:
        own, earlier = call.request_id, self._first_ids.get(call.writer)
        self._first_ids.setdefault(call.writer, own)
        if self.refuses_first:
            self.refuses_first = False
            call.answer(503, b"", seal=None, extra=NOT_RUN)
            return
        self.run_ids.append(own)
        if earlier is not None:
            call.writer.write(self.copy.format(earlier=earlier, own=own).encode())
            await asyncio.sleep(RUN_S)
        call.answer()


class RefusalsTest(unittest.IsolatedAsyncioTestCase):
    async def play(
        self, copy, second_id="q2", refuses_first=False, deadline_ms=5_000, **changes
    ):
        """Send two requests over one connection; return the second one's answer."""
        site = self.site = Site()
        self.script = FaultyEndpoint(copy, refuses_first)
        for _ in range(2):
            await site.add_endpoint(self.script)
        await site.start(
            configuration(**{"kind": "unsafe", "max_attempts": 1} | changes)
        )
        for number, request_id in enumerate(("q1", second_id), 1):
            health = site.service.parts.health
            health.record_failure("i-2", site.clock.now_ms(), 4 * number)
            answer = await site.send_request(request_id, deadline_ms=deadline_ms)
        await site.stop()
        return answer

    def count_runs(self, request_id="q2"):
        return self.script.run_ids.count(request_id)


class TestUnnamedCopies(RefusalsTest):
    async def test_a_request_that_runs_is_not_said_not_to_run(self):
        """Guards against a refusal without an id, taken for the next request's."""
        for status in (400, 408, 421, 429, 503):
            with self.subTest(status=status):
                answer = await self.play(refusal("", status))
                self.assertEqual((answer.status, self.count_runs()), (502, 1))

    async def test_a_request_that_runs_is_not_sent_again(self):
        """Guards against a second run after a refusal without an id."""
        await self.play(refusal(""), max_attempts=2)
        self.assertEqual(self.count_runs(), 1)

    async def test_another_requests_failure_is_not_passed_on(self):
        """Guards against a failure without an id, taken for the next request's."""
        answer = await self.play("HTTP/1.1 500 S\r\nContent-Length: 5\r\n\r\nother")
        self.assertEqual((answer.status, answer.body), (502, b""))

    async def test_a_request_that_may_run_twice_is_served_elsewhere(self):
        answer = await self.play(refusal(""), kind="safe", max_attempts=2)
        self.assertEqual((answer.status, answer.body), (200, b"answer"))

    async def test_copies_are_counted_by_service_and_endpoint(self):
        for copy in (refusal(""), refusal(f"{ID}{{earlier}}\r\n")):
            with self.subTest(copy):
                await self.play(copy)
                lines = self.site.log_events("attempt")
                self.assertEqual([line["foreign"] for line in lines], [0, 1])
                metrics = self.site.service.parts.counters.render()
                self.assertIn(
                    b'monsoonpulley_foreign_answers_total{service="svc"} 1.0', metrics
                )

    async def test_a_refusal_without_an_id_holds_on_a_new_connection(self):
        """Guards against a 502 for what an endpoint without ids turns away."""

        async def refuse(call) -> None:
            call.writer.write(refusal("").encode())

        site = Site()
        self.addAsyncCleanup(site.stop)
        await site.add_endpoint(refuse)
        await site.start(configuration(kind="unsafe"))
        for number in range(3):
            self.assertEqual((await site.send_request(f"q{number}")).status, 503)


class TestNamedCopies(RefusalsTest):
    async def test_a_copy_that_names_two_requests_promises_nothing(self):
        """Guards against a refusal whose last id alone is compared."""
        named = f"{ID}{{earlier}}\r\n{ID}{{own}}\r\n"
        answer = await self.play(refusal(named))
        self.assertEqual((answer.status, self.count_runs()), (502, 1))

    async def test_a_copy_for_an_id_that_comes_again_promises_nothing(self):
        """Guards against an id that a caller repeats, on the connection it had."""
        copy = refusal(f"{ID}{{earlier}}\r\n")
        answer = await self.play(copy, second_id="q1", refuses_first=True)
        self.assertEqual((answer.status, self.count_runs("q1")), (200, 1))

    async def test_white_space_behind_a_callers_id_is_no_part_of_it(self):
        """Guards against a request whose answer is skipped as another one's."""
        answer = await self.play("", second_id="q2 \t", deadline_ms=500)
        self.assertEqual(answer.status, 200)

    async def test_a_copy_never_promises_that_the_next_request_has_not_run(self):
        """Guards against copies that are broken or follow other answers."""
        named = f"{ID}{{earlier}}\r\n"
        whole = refusal(named)
        cases = {
            "whole": (whole, 200),
            "twice": (whole * 2, 200),
            "other case": (whole.replace("Id:", "ID:"), 200),
            "empty id": (refusal(ID + "\r\n"), 200),
            "white space": (refusal(ID + " \t\r\n"), 200),
            "after 100": ("HTTP/1.1 100 C\r\n\r\n" + whole, 200),
            "chunked": (
                refusal(named, rest="Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                200,
            ),
            "then one without an id": (whole + refusal(""), 502),
            "closing": (refusal(named + "Connection: close\r\n"), 502),
            "too long": (refusal(named, rest="Content-Length: 40\r\n\r\nbusy"), 502),
            "cut": (whole[:-10], 502),
        }
        for name, (copy, status) in cases.items():
            with self.subTest(name):
                answer = await self.play(copy)
                self.assertEqual((answer.status, self.count_runs()), (status, 1))


class TestHelpers(unittest.IsolatedAsyncioTestCase):
    async def test_a_repeated_refusal_of_another_instance_promises_nothing(self):
        """Guards against a request said not to run while a helper has it."""
        script = FaultyEndpoint(refusal("Monsoonpulley-Peer-Outcome: not_run\r\n"))
        helper = EndpointStandin(script)
        ip, port = (await helper.listen()).split(":")
        fleet = LinkedFleet(2)
        self.addAsyncCleanup(fleet.stop)
        self.addCleanup(helper.close)
        await fleet.start(script, kind="unsafe")
        cut = fleet.sites[0]
        pool = ConnectionPool(ip, int(port), cut.clock, 4)
        cut.service.parts.peer_pools.pool = lambda member: pool
        fleet.lose_links([cut], Loss.SILENT)
        for endpoint in cut.service.parts.directory.all():
            cut.service.parts.links.record_lost(endpoint, cut.clock.now_ms())
        statuses = [(await fleet.send(cut)).status for _ in range(2)]
        self.assertEqual(statuses, [200, 502])
        self.assertEqual(script.run_ids, ["q1", "q2"])


if __name__ == "__main__":
    unittest.main()
