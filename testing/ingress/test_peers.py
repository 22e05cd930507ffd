"""Requests that other instances serve for one without links to endpoints."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from _monsoonpulley.ingress import requestrun
from _monsoonpulley.limits.quota import QuotaLedger, QuotaRefusal
from _monsoonpulley.placing.placer import PlacementRefusal, Placer

from .linked import LinkedFleet, Loss
from .site import read_answer, request

MAX_REFUSAL_S = 0.7
"""Two connections that time out, and the work around them."""

FREE_S = 0.5
"""Time in which the endpoint of a caller that left has to be free again."""


async def answer(call) -> None:
    call.answer(body=b"whole answer")


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, instance_count, script=answer, **changes) -> None:
        self.fleet = LinkedFleet(instance_count)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(script, **changes)
        self.cut, *self.others = self.fleet.sites

    async def lose_links(self, sites, loss=Loss.SILENT) -> None:
        """Cut instances off, and let all of them notice it."""
        self.fleet.lose_links(sites, loss)
        for site in sites:
            await asyncio.gather(*(self.fleet.send(site) for _ in range(4)))
            await site.wait_until(lambda each=site: each.service.parts.links.lost_count)
        await asyncio.sleep(0.6)
        for endpoint in self.fleet.endpoints:
            endpoint.calls.clear()

    def calls(self):
        return [call for each in self.fleet.endpoints for call in each.calls]


class TestChoice(PeersTest):
    async def test_a_request_is_sent_on_only_once(self):
        await self.start(3)
        await self.lose_links([self.cut, *self.others])
        started_s = time.monotonic()
        got = await self.fleet.send(self.cut)
        self.assertLess(time.monotonic() - started_s, MAX_REFUSAL_S)
        self.assertEqual(got.status, 503)
        self.assertGreater(float(got.headers["retry-after"]), 0)
        self.assertEqual(self.calls(), [])

    async def test_a_request_of_another_instance_is_not_sent_on(self):
        await self.start(2)
        await self.lose_links([self.cut])
        server = self.cut.service.peer_server
        reader, writer = await asyncio.open_connection(*server.address())
        writer.write(request("p1", extra="Monsoonpulley-Peer-Sends: 0\r\n"))
        got = await asyncio.wait_for(read_answer(reader), 5)
        writer.close()
        self.assertEqual(got.status, 503)
        self.assertEqual(got.headers["monsoonpulley-peer-outcome"], "no_link")
        self.assertEqual(self.calls(), [])

    async def test_an_instance_that_is_cut_off_too_is_not_asked(self):
        await self.start(3)
        await self.lose_links([self.cut, self.others[0]])
        for _ in range(6):
            self.assertEqual((await self.fleet.send(self.cut)).status, 200)
        asked = {line["peer"] for line in self.cut.log_events("peer_attempt")[-6:]}
        self.assertEqual(asked, {self.others[1].name})

    async def test_the_next_instance_is_asked_if_one_has_ended(self):
        await self.start(3)
        await self.lose_links([self.cut])
        self.others[0].service.peer_server.stop_listening()
        for _ in range(8):
            self.assertEqual((await self.fleet.send(self.cut)).status, 200)

    async def test_the_next_instance_is_asked_if_one_stops(self):
        """Guards against refusals by a stop of which the others don't know yet."""
        await self.start(3)
        await self.lose_links([self.cut])
        gate, now_ms = self.others[0].service.parts.stop_gate, self.cut.clock.now_ms()
        gate.begin(now_ms, 0, now_ms)
        for _ in range(8):
            self.assertEqual((await self.fleet.send(self.cut)).status, 200)
        self.assertTrue(self.others[0].log_events("late_refusal"))

    async def test_a_stopping_instance_asks_no_further_one_late(self):
        await self.start(3)
        await self.lose_links([self.cut])
        now_ms = self.cut.clock.now_ms()
        for site in self.fleet.sites:
            site.service.parts.stop_gate.begin(now_ms, 0, now_ms)
        self.cut.service.parts.stop_gate.may_begin = mock.Mock(
            side_effect=[True, False]
        )
        before = len(self.cut.log_events("peer_attempt"))
        self.assertEqual((await self.fleet.send(self.cut)).status, 503)
        self.assertEqual(len(self.cut.log_events("peer_attempt")) - before, 1)
        self.assertEqual(len(self.cut.log_events("late_refusal")), 1)

    async def test_links_are_used_again_soon_after_they_work(self):
        await self.start(2)
        await self.lose_links([self.cut])
        self.fleet.heal()
        links = self.cut.service.parts.links
        await asyncio.wait_for(self.cut.wait_until(lambda: not links.lost_count), 1.5)
        before = len(self.cut.log_events("peer_attempt"))
        self.assertEqual((await self.fleet.send(self.cut)).status, 200)
        self.assertEqual(len(self.cut.log_events("peer_attempt")), before)


class TestFewLinks(PeersTest):
    """Instances that have links to some endpoints, which want pauses of them."""

    async def lose_links_but(self, kept: list[str], endpoint_count: int) -> None:
        await self.start(2, endpoint_count=endpoint_count)
        links = self.cut.service.parts.links
        self.fleet.lose_links([self.cut], Loss.CLOSED, kept)
        while links.lost_count < endpoint_count - len(kept):
            await self.fleet.send(self.cut)
        for name in kept:
            now_ms = self.cut.clock.now_ms()
            self.cut.service.parts.pauses.record_refusal(name, 30_000, now_ms)
        await asyncio.sleep(0.5)
        self.cut.log_lines.clear()

    async def test_an_instance_with_few_links_does_not_refuse_for_its_endpoints(self):
        await self.lose_links_but(["i-0"], 3)
        self.assertEqual((await self.fleet.send(self.cut)).status, 200)
        (line,) = self.cut.log_events("peer_attempt")
        self.assertEqual((line["lost"], line["known"]), (2, 3))

    async def test_an_instance_with_most_links_refuses_by_itself(self):
        await self.lose_links_but(["i-0", "i-1"], 3)
        got = await self.fleet.send(self.cut)
        self.assertEqual(got.status, 503)
        self.assertEqual(self.cut.log_events("peer_attempt"), [])


class TestPromises(PeersTest):
    async def test_a_once_only_request_is_not_sent_again_after_a_broken_answer(self):
        async def break_off(call) -> None:
            call.writer.transport.abort()

        await self.start(3, kind="unsafe")
        await self.lose_links([self.cut])
        for endpoint in self.fleet.endpoints:
            endpoint.script = break_off
        got = await self.fleet.send(self.cut)
        self.assertEqual((got.status, len(self.calls())), (502, 1))

    async def test_a_once_only_request_whose_helper_ends_is_answered_502(self):
        async def never(call) -> None:
            await asyncio.sleep(10)

        await self.start(2, kind="unsafe")
        await self.lose_links([self.cut])
        for endpoint in self.fleet.endpoints:
            endpoint.script = never
        sending = asyncio.create_task(self.fleet.send(self.cut))
        await self.cut.wait_until(self.calls)
        for connection in list(self.others[0].service.peer_server._connections):
            connection.abort()
        self.assertEqual((await sending).status, 502)
        self.assertEqual(len(self.calls()), 1)

    async def test_a_caller_who_leaves_frees_the_endpoint_at_once(self):
        async def never(call) -> None:
            await call.writer.wait_closed()

        await self.start(2)
        await self.lose_links([self.cut])
        for endpoint in self.fleet.endpoints:
            endpoint.script = never
        _, writer = await self.cut.connect()
        writer.write(request("left"))
        await self.cut.wait_until(self.calls)
        writer.transport.abort()
        load = self.others[0].service.parts.load_board
        await asyncio.wait_for(
            self.cut.wait_until(lambda: not load.own_loads()), FREE_S
        )

    async def test_a_request_whose_time_is_up_frees_the_endpoint_at_once(self):
        async def never(call) -> None:
            await call.writer.wait_closed()

        await self.start(2)
        await self.lose_links([self.cut])
        for endpoint in self.fleet.endpoints:
            endpoint.script = never
        got = await self.fleet.send(self.cut, deadline_ms=600)
        self.assertEqual(got.status, 504)
        self.assertEqual(len(self.calls()), 1)
        load = self.others[0].service.parts.load_board
        await asyncio.wait_for(
            self.cut.wait_until(lambda: not load.own_loads()), FREE_S
        )

    async def test_the_time_that_endpoints_get_shrinks(self):
        await self.start(2)
        await self.lose_links([self.cut])
        await self.fleet.send(self.cut, deadline_ms=1_500)
        (call,) = self.calls()
        left_ms = int(call.headers["monsoonpulley-deadline-milliseconds"])
        self.assertLessEqual(left_ms, 1_500)
        self.assertGreater(left_ms, 1_000)

    async def test_headers_between_instances_reach_neither_callers_nor_endpoints(self):
        await self.start(2)
        await self.lose_links([self.cut])
        got = await self.fleet.send(self.cut)
        (call,) = self.calls()
        names = [*got.headers, *call.headers]
        self.assertEqual([n for n in names if "peer" in n], [])
        self.assertEqual(call.headers["monsoonpulley-tenant"], "customer-1")
        self.assertNotIn("authorization", call.headers)

    async def test_an_endpoint_can_not_speak_for_an_instance(self):
        async def pretend(call) -> None:
            call.answer(extra="Monsoonpulley-Peer-Outcome: not_run\r\n")

        await self.start(2, kind="unsafe")
        await self.lose_links([self.cut])
        for endpoint in self.fleet.endpoints:
            endpoint.script = pretend
        for site in self.fleet.sites:
            got = await self.fleet.send(site)
            self.assertEqual(got.status, 200)
            self.assertNotIn("monsoonpulley-peer-outcome", got.headers)

    async def test_a_request_that_was_sent_on_counts_as_an_attempt(self):
        async def never(call) -> None:
            await asyncio.sleep(10)

        await self.start(3, max_attempts=1)
        await self.lose_links([self.cut])
        for endpoint in self.fleet.endpoints:
            endpoint.script = never
        sending = asyncio.create_task(self.fleet.send(self.cut))
        await self.cut.wait_until(self.calls)
        for site in self.others:
            for connection in list(site.service.peer_server._connections):
                connection.abort()
        self.assertEqual((await sending).status, 502)
        self.assertEqual(len(self.calls()), 1)

    async def test_a_stream_goes_on_at_another_instance_when_its_helper_ends(self):
        async def stream(call) -> None:
            first = int(call.headers.get("last-event-id", 0)) + 1
            call.start_stream()
            for number in range(first, 9):
                call.write_event(number)
                await asyncio.sleep(0.1)
            call.writer.write(b"0\r\n\r\n")

        await self.start(3, kind="streaming", resume_streams=True)
        await self.lose_links([self.cut])
        for endpoint in self.fleet.endpoints:
            endpoint.script = stream
        reader, writer = await self.cut.connect()
        writer.write(request("s1"))
        await self.cut.wait_until(self.calls)
        await asyncio.sleep(0.25)
        for site in self.others:
            for connection in list(site.service.peer_server._connections):
                connection.abort()
        got = await asyncio.wait_for(read_answer(reader), 5)
        writer.close()
        numbers = [
            int(line.removeprefix(b"id: "))
            for line in got.body.split(b"\n")
            if line.startswith(b"id: ")
        ]
        self.assertEqual((got.is_whole, numbers), (True, list(range(1, 9))))

    async def play_lost_helper(self, instance_count, script):
        """Return the answer to a stream whose first helper ends after an event."""

        async def begin(call) -> None:
            call.start_stream()
            call.write_event(1)
            await asyncio.sleep(10)

        self.has_lost_helper = False
        changes = {"kind": "streaming", "resume_streams": True}
        await self.start(instance_count, max_attempts=instance_count, **changes)
        await self.lose_links([self.cut])
        for endpoint in self.fleet.endpoints:
            endpoint.script = begin
        reader, writer = await self.cut.connect()
        writer.write(request("s1"))
        await self.cut.wait_until(self.calls)
        await asyncio.sleep(0.1)
        for endpoint in self.fleet.endpoints:
            endpoint.script = script
        self.has_lost_helper = True
        for site in self.others:
            for connection in list(site.service.peer_server._connections):
                connection.abort()
        got = await asyncio.wait_for(read_answer(reader), 5)
        writer.close()
        return got.body, got.is_whole

    async def test_a_plain_success_of_a_helper_does_not_end_up_within_a_stream(self):
        got = await self.play_lost_helper(3, answer)
        self.assertEqual(got, (b"id: 1\ndata: piece 1\n\n", False))

    async def check_goes_on(self, instance_count):
        """Check that a stream goes on after its first helper ended."""

        async def go_on(call) -> None:
            call.start_stream()
            call.write_event(2)
            call.write_chunk(b"")

        got = await self.play_lost_helper(instance_count, go_on)
        pieces = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2))
        self.assertEqual(got, (pieces, True))

    async def test_a_begun_stream_is_not_refused_for_its_quota(self):
        def consume(ledger, *args):
            if self.has_lost_helper and ledger is self.cut.service.parts.quotas:
                return QuotaRefusal(500, 0.0)
            return original(ledger, *args)

        original = QuotaLedger.consume
        self.enterContext(mock.patch.object(QuotaLedger, "consume", consume))
        await self.check_goes_on(3)

    async def test_a_begun_stream_goes_on_at_another_helper_if_one_refuses(self):
        refusals = [PlacementRefusal("overload", 500)]

        def choose(placer, *args):
            if self.has_lost_helper and refusals:
                return refusals.pop()
            return original(placer, *args)

        original = Placer.choose
        self.enterContext(mock.patch.object(Placer, "choose", choose))
        with mock.patch.object(requestrun, "MAX_HELPERS", 3):
            await self.check_goes_on(4)
        self.assertEqual(refusals, [])


class TestCharges(PeersTest):
    TENANTS = (
        {
            "name": "customer-1",
            "api_keys": ["key-1"],
            "rate_per_s": 0.001,
            "burst": 10,
        },
    )

    def used(self) -> float:
        return sum(
            site.service.parts.quotas.used_by_customer()["customer-1"]
            for site in self.fleet.sites
        )

    async def test_a_request_is_charged_once(self):
        await self.start(2, tenants=list(self.TENANTS))
        await self.lose_links([self.cut])
        before = self.used()
        self.assertEqual((await self.fleet.send(self.cut)).status, 200)
        self.assertEqual(self.used() - before, 1)

    async def test_its_answer_is_counted_once_in_the_metrics(self):
        await self.start(2)
        await self.lose_links([self.cut])

        def answered() -> float:
            labels = ("safe", "200", "")
            return sum(
                site.service.counters.requests.labels(*labels)._value.get()
                for site in self.fleet.sites
            )

        before = answered()
        self.assertEqual((await self.fleet.send(self.cut)).status, 200)
        await self.cut.wait_until(lambda: answered() > before)
        await asyncio.sleep(0.1)
        self.assertEqual(answered() - before, 1)
        lines = [
            line["is_from_peer"]
            for site in self.fleet.sites
            for line in site.log_events("request")[-1:]
        ]
        self.assertEqual(lines, [False, True])

    async def test_a_refusal_of_the_other_instance_reaches_the_caller(self):
        await self.start(2, tenants=list(self.TENANTS))
        await self.lose_links([self.cut])
        quotas = self.others[0].service.parts.quotas
        quotas.consume("customer-1", 4, self.cut.clock.now_ms())
        # What the other instance has used is not told yet.
        got = await self.fleet.send(self.cut)
        while got.status == 200:
            got = await self.fleet.send(self.cut)
        self.assertEqual(got.status, 429)
        self.assertIn("retry-after", got.headers)


if __name__ == "__main__":
    unittest.main()
