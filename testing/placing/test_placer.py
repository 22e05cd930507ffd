"""Which endpoint takes a request, under plain and heavy loads."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from _monsoonpulley.fleet.model import Endpoint
from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from _monsoonpulley.placing.health import EndpointHealth
from _monsoonpulley.placing.loadboard import PEER_LOAD_MS, LoadBoard
from _monsoonpulley.placing.placer import Choice, Need, NoPlace, Placer
from _monsoonpulley.placing.promptmemory import PromptMemory, PromptPart, rendezvous

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


def need(parts=(), prompt_tokens=600, left_ms=10_000, is_generation=True) -> Need:
    return Need(is_generation, tuple(parts), prompt_tokens, left_ms)


class Placing:
    """A placer with its state."""

    def __init__(self, names: str = "abc", seed: int = 1, slots: int = 32):
        self.board = LoadBoard()
        self.health = EndpointHealth()
        self.memory = PromptMemory()
        self.placer = Placer(self.board, self.health, self.memory, random.Random(seed))
        self.endpoints = tuple(endpoint(name, slots=slots) for name in names)

    def choose(self, of: Need, tried=(), now_ms=0) -> Choice | NoPlace:
        return self.placer.choose(of, self.endpoints, set(tried), ZONE, now_ms)


class TestChoice(unittest.TestCase):
    def test_the_least_loaded_endpoint_takes_the_request(self):
        placing = Placing()
        for name in ("a", "a", "b"):
            placing.board.sent(EndpointId(name), 6_000)
        self.assertEqual(placing.choose(need()).endpoint.id, "c")

    def test_load_that_other_instances_sent_counts(self):
        placing = Placing("ab")
        peer = InstanceId("peer")
        placing.board.hear(peer, {"a": (20, 40_000)}, 0)
        self.assertEqual(placing.choose(need()).endpoint.id, "b")
        placing.board.sent(EndpointId("b"), 6_000)
        placing.board.expire(PEER_LOAD_MS + 1)
        self.assertEqual(placing.choose(need()).endpoint.id, "a")

    def test_requests_spread_while_none_has_ended(self):
        placing = Placing("abcd")
        chosen = Counter()
        for _ in range(40):
            choice = placing.choose(need())
            chosen[choice.endpoint.id] += 1
            placing.board.sent(choice.endpoint.id, choice.unread_tokens)
        self.assertEqual(sorted(chosen.values()), [10, 10, 10, 10])

    def test_no_endpoint_gets_a_request_twice(self):
        placing = Placing("ab")
        self.assertEqual(placing.choose(need(), tried="a").endpoint.id, "b")
        self.assertIsInstance(placing.choose(need(), tried="ab"), NoPlace)

    def test_failing_endpoints_are_avoided_and_tried_again(self):
        placing = Placing("ab")
        for _ in range(5):
            placing.health.failed(EndpointId("a"), 0)
        chosen = {placing.choose(need()).endpoint.id for _ in range(20)}
        self.assertEqual(chosen, {"b"})
        placing.board.sent(EndpointId("b"), 60_000)
        later = placing.choose(need(), now_ms=20_000)
        self.assertEqual(later.endpoint.id, "a")

    def test_where_all_fail_one_is_still_chosen(self):
        placing = Placing("ab")
        for name in "ab":
            for _ in range(9):
                placing.health.failed(EndpointId(name), 0)
        self.assertIsInstance(placing.choose(need()), Choice)

    def test_an_endpoint_that_turned_slow_gets_less(self):
        placing = Placing("ab", slots=6)
        for _ in range(10):
            placing.health.answered(EndpointId("a"), 600.0, 0)
        plain = need(is_generation=False)
        chosen = Counter(placing.choose(plain).endpoint.id for _ in range(20))
        self.assertEqual(chosen, {"b": 20})

    def test_what_can_not_be_answered_in_time_is_refused_at_once(self):
        placing = Placing("ab")
        for name in "ab":
            for _ in range(50):
                placing.board.sent(EndpointId(name), 6_000)
        refusal = placing.choose(need(left_ms=1_000))
        self.assertIsInstance(refusal, NoPlace)
        self.assertGreater(refusal.retry_after_ms, 0)
        self.assertIsInstance(placing.choose(need(left_ms=60_000)), Choice)


class TestPromptMemory(unittest.TestCase):
    PARTS = (PromptPart("base", 500), PromptPart("subject", 5_000))

    def parts(self, own: str):
        return (*self.PARTS, PromptPart(own, 6_000))

    def test_a_shared_prompt_goes_where_it_was_read(self):
        placing = Placing("abcd")
        placing.memory.remember(self.parts("r1"), EndpointId("c"), 0)
        choice = placing.choose(need(self.parts("r2"), 11_500))
        self.assertEqual(choice.endpoint.id, "c")
        self.assertEqual(choice.unread_tokens, 6_000)

    def test_instances_agree_on_where_an_unseen_prompt_goes(self):
        chosen = {
            Placing("abcd", seed=seed)
            .choose(need(self.parts("r1"), 11_500))
            .endpoint.id
            for seed in range(8)
        }
        home = rendezvous("subject", [EndpointId(name) for name in "abcd"])
        self.assertEqual(chosen, {home})

    def test_the_requests_own_part_is_never_taken_as_read(self):
        placing = Placing("abcd")
        cached = placing.memory.cached_tokens(
            self.parts("r1"), [e.id for e in placing.endpoints], 0
        )
        self.assertEqual(list(cached.values()), [5_500])

    def test_a_busy_home_is_passed_over(self):
        placing = Placing("abcd")
        home = rendezvous("subject", [EndpointId(name) for name in "abcd"])
        for _ in range(10):
            placing.board.sent(home, 12_000)
        choice = placing.choose(need(self.parts("r1"), 11_500))
        self.assertNotEqual(choice.endpoint.id, home)

    def test_an_endpoint_that_is_gone_holds_nothing(self):
        placing = Placing("abcd")
        placing.memory.remember(self.parts("r1"), EndpointId("c"), 0)
        placing.memory.forget(EndpointId("c"))
        cached = placing.memory.cached_tokens(
            self.parts("r1"), [EndpointId("c"), EndpointId("d")], 0
        )
        home = rendezvous("subject", [EndpointId("c"), EndpointId("d")])
        self.assertEqual(cached, {home: 5_500})

    def test_memory_is_bounded(self):
        memory = PromptMemory()
        for number in range(10_000):
            memory.remember([PromptPart(str(number), 1)], EndpointId("a"), 0)
        self.assertLessEqual(len(memory._holders), 4_096)
