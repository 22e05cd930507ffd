"""What endpoints ask for, in one decision."""

from __future__ import annotations

import random
import unittest

import msgspec

from _monsoonpulley.fleet.model import Configuration, Endpoint, Service
from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from _monsoonpulley.limits.brittleness import MEMORY_MS, BrittleServices
from _monsoonpulley.limits.coldendpoints import ColdEndpoints
from _monsoonpulley.limits.endpointpauses import EndpointPauses
from _monsoonpulley.limits.endpointrates import EndpointRateLimits
from _monsoonpulley.limits.sharers import SETTLE_MS, Sharers
from _monsoonpulley.placing.endpointgate import PAUSE_SPREAD, EndpointGate
from _monsoonpulley.placing.loadboard import LoadBoard
from _monsoonpulley.wire.serverconnection import CallerLimits


def endpoint(name: str) -> Endpoint:
    return Endpoint(
        id=EndpointId(name),
        started_wall_ms=None,
        service=ServiceId("svc"),
        ip="10.0.0.1",
        port=80,
        zone=ZoneId("zone-a"),
        version=VersionId("v1"),
        slots=4,
    )


A, B, C = ENDPOINTS = tuple(map(endpoint, "abc"))


class TestGate(unittest.TestCase):
    def setUp(self):
        rng = random.Random(1)
        own = InstanceId("i-1")
        sharers = Sharers(own)
        for now_ms in (0, SETTLE_MS):
            sharers.record_contact(0, True, now_ms)
        self.limits = EndpointRateLimits(own, sharers, rng)
        self.pauses = EndpointPauses()
        self.brittle = BrittleServices(sharers, self.pauses)
        self.cold = ColdEndpoints(sharers, rng, 1.5, 5)
        self.board = LoadBoard()
        self.gate = EndpointGate(
            self.limits, self.pauses, self.brittle, self.cold, self.board, rng
        )

    def test_endpoints_are_left_out_each_for_its_reason(self):
        self.pauses.record_refusal(A.id, 2_000, 0)
        self.limits.record_answer(B.id, 1.0, 0)
        admission = self.gate.admit(ENDPOINTS, 10)
        self.assertEqual(admission.usable, (C,))
        self.assertEqual((admission.paused_count, admission.limited_count), (1, 1))

    def test_without_statements_all_are_admitted(self):
        self.assertEqual(self.gate.admit(ENDPOINTS, 10).usable, ENDPOINTS)

    def test_a_refusal_ends_with_the_first_pause(self):
        for each, pause_ms in ((A, 4_000), (B, 2_000), (C, 9_000)):
            self.pauses.record_refusal(each.id, pause_ms, 0)
        refusal = self.gate.refuse(ENDPOINTS, 700, 500)
        self.assertIn("pause", refusal.reason)
        self.assertGreaterEqual(refusal.retry_after_ms, 1_500)
        self.assertLessEqual(refusal.retry_after_ms, 1_500 * (1 + PAUSE_SPREAD))
        self.assertEqual(refusal.prefill_tokens, 700)

    def test_a_refusal_names_the_limits_if_not_all_pause(self):
        self.pauses.record_refusal(A.id, 60_000, 0)
        self.limits.record_answer(B.id, 0.5, 0)
        refusal = self.gate.refuse((A, B), 700, 0)
        self.assertIn("rate limit", refusal.reason)
        self.assertLessEqual(refusal.retry_after_ms, 4_000)

    def test_brittle_endpoints_get_only_what_they_have_room_for(self):
        for _ in range(4):
            self.board.record_dispatch(A.id, 0)
        self.assertEqual(self.gate.admit(ENDPOINTS, 0).usable, ENDPOINTS)
        self.brittle.record_answer(A.service, 5.0, 0)
        admission = self.gate.admit(ENDPOINTS, 10)
        self.assertEqual((admission.usable, admission.full_count), ((B, C), 1))
        refusal = self.gate.refuse((A,), 0, 10)
        self.assertIn("room", refusal.reason)
        self.assertGreater(refusal.retry_after_ms, 0)
        self.assertEqual(self.gate.admit((A,), MEMORY_MS + 1).usable, (A,))

    def turn_cold(self, *endpoints: Endpoint) -> None:
        """Let endpoints be cold from 0 to 3,000 ms, each bearing one request."""
        service = Service(A.service, "/", 100, None, None, 3_000, 1.0)
        self.cold.configure(
            Configuration(1, {}, {A.service: service}, {}, {}, False, CallerLimits())
        )
        for each in endpoints:
            cold = msgspec.structs.replace(each, cold_for_ms=3_000)
            self.cold.record_row(cold, 1, True, 0)

    def test_cold_endpoints_get_only_their_share(self):
        self.turn_cold(A)
        self.assertEqual(self.gate.admit(ENDPOINTS, 0).cold_ids, {A.id})
        self.gate.record_choice(A, 0)
        admission = self.gate.admit(ENDPOINTS, 0)
        self.assertEqual((admission.usable, admission.cold_count), ((B, C), 1))
        self.gate.refund(A.id, 0)
        self.assertEqual(self.gate.admit(ENDPOINTS, 0).usable, ENDPOINTS)

    def test_the_stricter_limit_of_a_cold_endpoint_holds(self):
        self.turn_cold(A)
        self.limits.record_answer(A.id, 0.2, 0)
        self.assertEqual(self.gate.admit((A,), 0).limited_count, 1)

    def test_a_refusal_names_cold_endpoints_and_when_they_bear_the_next(self):
        self.turn_cold(A, B)
        for each in (A, B):
            self.gate.record_choice(each, 0)
        refusal = self.gate.refuse((A, B), 700, 0)
        self.assertIn("cold", refusal.reason)
        self.assertLessEqual(refusal.retry_after_ms, 1_000)

    def test_callers_of_one_pause_return_spread(self):
        self.pauses.record_refusal(A.id, 2_000, 0)
        retries_ms = {self.gate.refuse((A,), 0, 0).retry_after_ms for _ in range(20)}
        self.assertGreater(len(retries_ms), 10)

    def test_a_request_that_was_not_sent_frees_its_share(self):
        self.limits.record_answer(A.id, 1.0, 0)
        self.gate.record_choice(A, 1_000)
        self.assertEqual(self.gate.admit((A,), 1_000).usable, ())
        self.gate.refund(A.id, 1_000)
        self.assertEqual(self.gate.admit((A,), 1_000).usable, (A,))
