"""Endpoints that the arriving work needs, by the resource that binds."""

from __future__ import annotations

import unittest

from _monsoonpulley.duties.capacityneed import (
    CapacityNeed,
    add_for_cold,
    compute_engine_need,
    compute_service_need,
    lost_to_cold,
)
from _monsoonpulley.fleet.model import EngineSpec
from _monsoonpulley.placing.demandmeter import Demand
from _monsoonpulley.placing.enginemodel import EngineModel
from _monsoonpulley.placing.servicemodel import ServiceModel

TARGET_MS = 1_000


def learned_model(
    spec: EngineSpec, ms_per_kilotoken=40.0, stream_ms=1_000.0, held_tokens=4_000
) -> EngineModel:
    model = EngineModel(spec)
    for number in range(500):
        tokens = 100 * (number % 60)
        model.record_first_event(tokens, 60 + ms_per_kilotoken * tokens / 1000, 0)
        model.record_end(0, stream_ms, held_tokens, 0)
    return model


class TestEngineNeed(unittest.TestCase):
    def test_prefill_binds_for_long_prompts(self):
        model = learned_model(EngineSpec(96, 300_000))
        need = compute_engine_need(Demand(40, 80, 240), model, TARGET_MS)
        # The engines prefill for 3.2 s in each second.
        self.assertEqual(need.binding, "prefill")
        self.assertGreaterEqual(need.least_count, 4)
        self.assertGreater(need.count, need.least_count)
        self.assertLess(need.count, 16)

    def test_slots_bind_for_long_answers(self):
        model = learned_model(EngineSpec(12, 1_000_000), stream_ms=4_000.0)
        need = compute_engine_need(Demand(50, 10, 5), model, TARGET_MS)
        # 200 requests run at once.
        self.assertEqual(need.binding, "slots")
        self.assertGreaterEqual(need.count, 200 / 12)

    def test_memory_binds_before_the_slots(self):
        model = learned_model(EngineSpec(96, 100_000), held_tokens=10_000)
        need = compute_engine_need(Demand(50, 5, 1), model, TARGET_MS)
        self.assertEqual(need.binding, "memory")

    def test_a_tighter_target_needs_more_engines(self):
        model = learned_model(EngineSpec(96, 300_000))
        demand = Demand(40, 80, 240)
        loose = compute_engine_need(demand, model, 3_000)
        tight = compute_engine_need(demand, model, 400)
        self.assertGreater(tight.count, loose.count)

    def test_on_demand_endpoints_are_needed_later(self):
        model = learned_model(EngineSpec(96, 300_000))
        need = compute_engine_need(Demand(80, 200, 900), model, TARGET_MS)
        self.assertLess(need.on_demand_count, need.count)
        self.assertGreaterEqual(need.on_demand_count, need.least_count)

    def test_no_work_needs_no_endpoints(self):
        model = learned_model(EngineSpec(96, 300_000))
        self.assertEqual(compute_engine_need(Demand(), model, TARGET_MS).count, 0)


class TestServiceNeed(unittest.TestCase):
    def test_slots_are_not_planned_to_be_in_use_all_the_time(self):
        model = ServiceModel()
        for _ in range(500):
            model.record_answer(0, 6, 50.0, 0)
        need = compute_service_need(Demand(requests_per_s=240), model, 6)
        # 12 requests run at once.
        self.assertGreater(need.count, 2)
        self.assertLessEqual(need.count, 4)


class TestColdEndpoints(unittest.TestCase):
    need = CapacityNeed(10, 9, 8, "prefill", Demand(requests_per_s=80))

    def test_a_cold_endpoint_counts_for_the_requests_that_it_gets(self):
        # A warm one carries ten requests a second.
        self.assertAlmostEqual(lost_to_cold(self.need, 2.0), 0.8)
        self.assertEqual(lost_to_cold(self.need, 12.0), 0.0)
        self.assertEqual(lost_to_cold(CapacityNeed(0, 0, 0, "slots", Demand()), 2), 0)

    def test_warm_endpoints_that_carry_the_work_need_no_others(self):
        self.assertIs(add_for_cold(self.need, 10, 2 * 0.8), self.need)
        self.assertIs(add_for_cold(self.need, 6, 0.0), self.need)

    def test_what_the_warm_ones_do_not_carry_is_needed(self):
        need = add_for_cold(self.need, 10, 5 * 0.8)
        self.assertEqual((need.count, need.on_demand_count), (12, 11))

    def test_replacements_that_are_cold_themselves_add_nothing(self):
        first = add_for_cold(self.need, 10, 10 * 0.8)
        after = add_for_cold(self.need, first.count, first.count * 0.8)
        self.assertLessEqual(after.count, first.count)
