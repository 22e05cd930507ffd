"""Sums of loads over many instances, and the work that they take."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from _monsoonpulley.ids import EndpointId, InstanceId
from _monsoonpulley.placing.loadboard import Load, LoadBoard

MEMBERS, ENDPOINTS, ENTRIES = 200, 60, 6
"""Instances and endpoints of a large fleet, and the endpoints in each digest."""


def endpoint(number: int) -> EndpointId:
    return EndpointId(f"i-{number}")


class TestLoadBoard(unittest.TestCase):
    def setUp(self):
        self.board = LoadBoard()
        self.rng = random.Random(1)

    def entries(self) -> dict[str, tuple[int, int, int]]:
        numbers = self.rng.sample(range(ENDPOINTS), ENTRIES)
        return {
            endpoint(n): tuple(self.rng.randrange(1, 9) for _ in range(3))
            for n in numbers
        }

    def test_the_sums_follow_each_digest_and_each_request(self):
        latest: dict[InstanceId, dict] = {}
        for _ in range(2_000):
            peer = InstanceId(f"peer-{self.rng.randrange(MEMBERS)}")
            latest[peer] = self.entries()
            self.board.update_peer(peer, latest[peer])
        self.board.record_dispatch(endpoint(0), 900, 4_000)
        self.board.record_prefill_end(endpoint(0), 900)
        for number in range(ENDPOINTS):
            name = endpoint(number)
            sums = [loads.get(name, (0, 0, 0)) for loads in latest.values()]
            expected = [sum(column) for column in zip(*sums, strict=True)]
            if number == 0:
                expected = [expected[0] + 1, expected[1], expected[2] + 4_000]
            self.assertEqual(list(self.board.load(name).entry), expected)

    def test_silent_peers_and_ended_requests_leave_nothing(self):
        self.board.update_peer(InstanceId("a"), self.entries())
        self.board.record_dispatch(endpoint(1), 900, 4_000)
        self.board.record_prefill_end(endpoint(1), 900)
        self.board.record_end(endpoint(1), 4_000)
        self.board.remove_peer(InstanceId("a"))
        for number in range(ENDPOINTS):
            self.assertEqual(self.board.load(endpoint(number)).entry, (0, 0, 0))

    def test_work_depends_on_the_digest_and_not_on_the_size_of_the_fleet(self):
        for number in range(MEMBERS):
            self.board.update_peer(InstanceId(f"peer-{number}"), self.entries())
        with mock.patch.object(Load, "add", autospec=True) as add:
            self.board.update_peer(InstanceId("peer-7"), self.entries())
            self.assertLessEqual(add.call_count, 2 * ENTRIES)
            add.reset_mock()
            for number in range(ENDPOINTS):
                self.board.load(endpoint(number))
            self.assertEqual(add.call_count, 0)
