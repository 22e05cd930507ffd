"""Requests of the cloud client and how it classifies answers."""

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
        self.server = HttpServer(self.handle_request, CallerLimits, clock)
        await self.server.listen("127.0.0.1", 0)
        self.addCleanup(self.server.stop_listening)
        client = HttpClient(*self.server.address(), clock)
        self.cloud = CloudClient(client, InstanceId("instance-1"))
        self.addCleanup(self.cloud.close)

    def handle_request(self, exchange: Exchange) -> None:
        self.requests.append(exchange.request)
        if self.status is None:
            exchange.abort()
        else:
            exchange.respond(self.status, [], b"why")

    async def send_order(self, *, is_reclaimable: bool = False) -> Failure | None:
        return await self.cloud.order_endpoints(
            7,
            ServiceId("svc"),
            ZoneId("zone-a"),
            3,
            is_reclaimable=is_reclaimable,
        )

    async def test_an_order_carries_holder_fencing_number_and_kind(self):
        self.assertIsNone(await self.send_order())
        self.assertIsNone(await self.send_order(is_reclaimable=True))
        plain, reclaimable = self.requests
        self.assertEqual((plain.method, plain.target), (b"POST", b"/scaling"))
        self.assertEqual(plain.fields[b"monsoonpulley-duty-holder"], b"instance-1")
        self.assertEqual(plain.fields[b"monsoonpulley-fencing-token"], b"7")
        body = {"service": "svc", "zone": "zone-a", "desired_count": 3}
        self.assertEqual(msgspec.json.decode(plain.body), body)
        self.assertEqual(
            msgspec.json.decode(reclaimable.body), {**body, "use_spot": True}
        )

    async def test_a_usage_report_carries_its_window_and_counts(self):
        self.assertIsNone(await self.cloud.report_usage(7, 12, {"customer-1": 5}))
        self.assertEqual(self.requests[0].target, b"/usage")
        self.assertEqual(
            msgspec.json.decode(self.requests[0].body),
            {"window_index": 12, "counts": {"customer-1": 5}},
        )

    async def test_error_statuses_are_refusals(self):
        for status, reason in (
            (409, Reason.CONFLICT),
            (429, Reason.OVERLOADED),
            (503, Reason.PEER_ERROR),
        ):
            with self.subTest(status):
                self.status = status
                failure = await self.send_order()
                self.assertEqual(failure.reason, reason)
                self.assertEqual(failure.delivery, Delivery.REFUSED)
                self.assertIn(str(status), str(failure))

    async def test_a_call_without_an_answer_may_have_taken_effect(self):
        self.status = None
        failure = await self.send_order()
        self.assertEqual(failure.delivery, Delivery.MAYBE)
