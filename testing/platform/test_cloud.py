"""Calls to the platform's API as they go over the wire, and its answers."""

from __future__ import annotations

import unittest

import msgspec

from _monsoonpulley.clock import Clock
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.ids import InstanceId, ServiceId, ZoneId
from _monsoonpulley.platform.cloud import CloudClient
from _monsoonpulley.wire.httpclient import HttpClient
from _monsoonpulley.wire.server import HttpServer
from _monsoonpulley.wire.serverconnection import CallerLimits, Exchange


class CloudTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.status: int | None = 200
        self.requests = []
        clock = Clock.from_system()
        self.server = HttpServer(self.answer, CallerLimits, clock)
        await self.server.listen("127.0.0.1", 0)
        self.addCleanup(self.server.stop_listening)
        caller = HttpClient(*self.server.address(), clock)
        self.cloud = CloudClient(caller, InstanceId("instance-1"))
        self.addCleanup(self.cloud.close)

    def answer(self, exchange: Exchange) -> None:
        self.requests.append(exchange.request)
        if self.status is None:
            exchange.abort()
        else:
            exchange.respond(self.status, [], b"why")

    async def order(self, *, is_reclaimable: bool = False) -> Failure | None:
        return await self.cloud.order(
            7,
            ServiceId("svc"),
            ZoneId("zone-a"),
            3,
            is_reclaimable=is_reclaimable,
        )

    async def test_an_order_names_holder_fencing_number_and_kind(self):
        self.assertIsNone(await self.order())
        self.assertIsNone(await self.order(is_reclaimable=True))
        plain, reclaimable = self.requests
        self.assertEqual((plain.method, plain.target), (b"POST", b"/scaling"))
        self.assertEqual(plain.fields[b"monsoonpulley-duty-holder"], b"instance-1")
        self.assertEqual(plain.fields[b"monsoonpulley-fencing-token"], b"7")
        body = {"service": "svc", "zone": "zone-a", "desired_count": 3}
        self.assertEqual(msgspec.json.decode(plain.body), body)
        self.assertEqual(
            msgspec.json.decode(reclaimable.body), {**body, "use_spot": True}
        )

    async def test_a_usage_report_names_its_window(self):
        self.assertIsNone(await self.cloud.report_usage(7, 12, {"customer-1": 5}))
        self.assertEqual(self.requests[0].target, b"/usage")
        self.assertEqual(
            msgspec.json.decode(self.requests[0].body),
            {"window_index": 12, "counts": {"customer-1": 5}},
        )

    async def test_what_is_refused_was_not_done(self):
        for status, reason in (
            (409, Reason.CONFLICT),
            (429, Reason.OVERLOADED),
            (503, Reason.PEER_ERROR),
        ):
            with self.subTest(status):
                self.status = status
                failure = await self.order()
                self.assertEqual(failure.reason, reason)
                self.assertEqual(failure.delivery, Delivery.REFUSED)
                self.assertIn(str(status), str(failure))

    async def test_a_call_without_an_answer_may_have_been_done(self):
        self.status = None
        failure = await self.order()
        self.assertEqual(failure.delivery, Delivery.MAYBE)
