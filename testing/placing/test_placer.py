"""Choice of endpoints for requests, idle and under load."""

from __future__ import annotations

import math
import random
import unittest
from collections import Counter

from _monsoonpulley.fleet.model import Endpoint
from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from _monsoonpulley.placing.endpointmodels import EndpointModels
from _monsoonpulley.placing.health import EndpointHealth
from _monsoonpulley.placing.loadboard import LoadBoard
from _monsoonpulley.placing.placer import Choice, PlacementRefusal, Placer, Requirements
from _monsoonpulley.placing.promptcacheindex import (
    PromptCacheIndex,
    PromptPart,
    preferred_endpoint,
)

ZONE = ZoneId("zone-a")


def endpoint(name: str, zone: str = ZONE, slots: int = 32) -> Endpoint:
    return Endpoint(
        id=EndpointId(name),
        started_wall_ms=None,
        service=ServiceId("svc"),
        ip="10.0.0.1",
        port=80,
        zone=ZoneId(zone),
        version=VersionId("v1"),
        slots=slots,
    )


def make_requirements(
    parts=(),
    prompt_tokens=600,
    remaining_ms=10_000,
    is_generation=True,
    max_wait_ms=math.inf,
) -> Requirements:
    return Requirements(
        is_generation,
        tuple(parts),
        prompt_tokens,
        prompt_tokens,
        remaining_ms,
        max_wait_ms,
    )


class Placing:
    """A placer with its state."""

    def __init__(self, names: str = "abc", seed: int = 1, slots: int = 32):
        self.board = LoadBoard()
        self.health = EndpointHealth()
        self.cache_index = PromptCacheIndex()
        self.models = EndpointModels()
        self.placer = Placer(
            self.board,
            self.health,
            self.cache_index,
            self.models,
            random.Random(seed),
        )
        self.endpoints = tuple(endpoint(name, slots=slots) for name in names)

    def choose(
        self, requirements: Requirements, tried_ids=(), now_ms=0, cold=""
    ) -> Choice | PlacementRefusal:
        return self.placer.choose(
            requirements,
            self.endpoints,
            set(tried_ids),
            ZONE,
            now_ms,
            cold_ids=frozenset(map(EndpointId, cold)),
        )


class TestChoice(unittest.TestCase):
    def test_the_least_loaded_endpoint_is_chosen(self):
        placing = Placing()
        for name in ("a", "a", "b"):
            placing.board.record_dispatch(EndpointId(name), 6_000)
        self.assertEqual(placing.choose(make_requirements()).endpoint.id, "c")

    def test_the_load_from_peers_counts_until_they_are_lost(self):
        placing = Placing("ab")
        peer = InstanceId("peer")
        placing.board.update_peer(peer, {"a": (20, 40_000, 60_000)})
        self.assertEqual(placing.choose(make_requirements()).endpoint.id, "b")
        placing.board.record_dispatch(EndpointId("b"), 6_000)
        placing.board.remove_peer(peer)
        self.assertEqual(placing.choose(make_requirements()).endpoint.id, "a")

    def test_requests_in_progress_are_spread_evenly(self):
        placing = Placing("abcd")
        chosen = Counter()
        for _ in range(40):
            choice = placing.choose(make_requirements())
            chosen[choice.endpoint.id] += 1
            placing.board.record_dispatch(choice.endpoint.id, choice.prefill_tokens)
        self.assertEqual(sorted(chosen.values()), [10, 10, 10, 10])

    def test_an_endpoint_that_was_tried_is_not_chosen_again(self):
        placing = Placing("ab")
        self.assertEqual(
            placing.choose(make_requirements(), tried_ids="a").endpoint.id, "b"
        )
        self.assertIsInstance(
            placing.choose(make_requirements(), tried_ids="ab"), PlacementRefusal
        )

    def test_failing_endpoints_are_avoided_and_later_tried_again(self):
        placing = Placing("ab")
        for _ in range(5):
            placing.health.record_failure(EndpointId("a"), 0)
        chosen = {placing.choose(make_requirements()).endpoint.id for _ in range(20)}
        self.assertEqual(chosen, {"b"})
        placing.board.record_dispatch(EndpointId("b"), 60_000)
        later = placing.choose(make_requirements(), now_ms=20_000)
        self.assertEqual(later.endpoint.id, "a")

    def test_if_all_endpoints_fail_one_is_still_chosen(self):
        placing = Placing("ab")
        for name in "ab":
            for _ in range(9):
                placing.health.record_failure(EndpointId(name), 0)
        self.assertIsInstance(placing.choose(make_requirements()), Choice)

    def test_an_endpoint_that_turned_slow_is_not_preferred(self):
        placing = Placing("ab", slots=6)
        for _ in range(10):
            placing.health.record_answer(EndpointId("a"), 600.0, 0)
        plain = make_requirements(is_generation=False)
        chosen = Counter(placing.choose(plain).endpoint.id for _ in range(20))
        self.assertEqual(chosen, {"b": 20})

    def test_short_prompts_go_to_a_cold_endpoint_once_the_warm_one_is_busy(self):
        placing = Placing("ab")
        short, long = (make_requirements(prompt_tokens=n) for n in (50, 8_000))
        self.assertEqual(placing.choose(short, cold="a").endpoint.id, "b")
        placing.board.record_dispatch(EndpointId("b"), 4_000)
        choice = placing.choose(short, cold="a")
        self.assertEqual((choice.endpoint.id, choice.is_cold), ("a", True))
        self.assertEqual(placing.choose(long, cold="a").endpoint.id, "b")

    def test_a_prompt_goes_to_the_cold_endpoint_that_has_it_cached(self):
        placing = Placing("ab")
        part, last = PromptPart("p", 8_000), PromptPart("q", 10)
        placing.cache_index.record((part, last), EndpointId("a"), 0)
        wanted = make_requirements((part, last), prompt_tokens=8_010)
        self.assertEqual(placing.choose(wanted, cold="a").endpoint.id, "a")

    def test_a_request_that_has_little_time_goes_to_a_warm_endpoint_in_time(self):
        placing = Placing("ab")
        request = make_requirements(prompt_tokens=50)
        idle_ms = placing.choose(request).predicted_ms
        placing.board.record_dispatch(EndpointId("b"), 200)
        busy_ms = placing.choose(request, tried_ids="a").predicted_ms
        hurried = make_requirements(prompt_tokens=50, remaining_ms=round(busy_ms) + 10)
        self.assertTrue(idle_ms < busy_ms < 2 * idle_ms)
        self.assertEqual(placing.choose(hurried, cold="a").endpoint.id, "b")

    def test_a_request_that_can_not_be_answered_in_time_is_refused(self):
        placing = Placing("ab")
        for name in "ab":
            for _ in range(50):
                placing.board.record_dispatch(EndpointId(name), 6_000)
        refusal = placing.choose(make_requirements(remaining_ms=1_000))
        self.assertIsInstance(refusal, PlacementRefusal)
        self.assertGreater(refusal.retry_after_ms, 0)
        self.assertIsInstance(
            placing.choose(make_requirements(remaining_ms=60_000)), Choice
        )


class TestPromptCacheIndex(unittest.TestCase):
    PARTS = (PromptPart("base", 500), PromptPart("subject", 5_000))

    def parts(self, own: str):
        return (*self.PARTS, PromptPart(own, 6_000))

    def test_a_request_goes_to_the_endpoint_with_its_cached_parts(self):
        placing = Placing("abcd")
        placing.cache_index.record(self.parts("r1"), EndpointId("c"), 0)
        choice = placing.choose(make_requirements(self.parts("r2"), 11_500))
        self.assertEqual(choice.endpoint.id, "c")
        self.assertEqual(choice.prefill_tokens, 6_000)

    def test_instances_choose_the_same_endpoint_for_an_unknown_prompt(self):
        chosen = {
            Placing("abcd", seed=seed)
            .choose(make_requirements(self.parts("r1"), 11_500))
            .endpoint.id
            for seed in range(8)
        }
        preferred = preferred_endpoint("subject", [EndpointId(name) for name in "abcd"])
        self.assertEqual(chosen, {preferred})

    def test_the_last_part_of_a_prompt_never_counts_as_cached(self):
        placing = Placing("abcd")
        cached = placing.cache_index.cached_tokens(
            self.parts("r1"), [e.id for e in placing.endpoints], 0
        )
        self.assertEqual(list(cached.values()), [5_500])

    def test_a_busy_preferred_endpoint_is_not_chosen(self):
        placing = Placing("abcd")
        preferred = preferred_endpoint("subject", [EndpointId(name) for name in "abcd"])
        for _ in range(10):
            placing.board.record_dispatch(preferred, 12_000)
        choice = placing.choose(make_requirements(self.parts("r1"), 11_500))
        self.assertNotEqual(choice.endpoint.id, preferred)

    def test_a_removed_endpoint_has_no_cached_tokens(self):
        placing = Placing("abcd")
        placing.cache_index.record(self.parts("r1"), EndpointId("c"), 0)
        placing.cache_index.remove_endpoint(EndpointId("c"))
        cached = placing.cache_index.cached_tokens(
            self.parts("r1"), [EndpointId("c"), EndpointId("d")], 0
        )
        preferred = preferred_endpoint("subject", [EndpointId("c"), EndpointId("d")])
        self.assertEqual(cached, {preferred: 5_500})

    def test_the_index_is_bounded(self):
        cache_index = PromptCacheIndex()
        for number in range(10_000):
            cache_index.record([PromptPart(str(number), 1)], EndpointId("a"), 0)
        self.assertLessEqual(len(cache_index._holders), 4_096)
