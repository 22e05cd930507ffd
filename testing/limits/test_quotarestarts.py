"""A heavy customer's quota while instances restart in turn, played without sockets."""

from __future__ import annotations

import random
import unittest

from _monsoonpulley.ids import InstanceId
from _monsoonpulley.limits.quota import QuotaLedger

from .test_quota import (
    CUSTOMER,
    OVERAGE,
    WINDOW_S,
    configuration,
    max_window_cost,
)

RATE_PER_S = 132_634.0
SLACK = 140_000.0
ALLOWED = (RATE_PER_S * WINDOW_S + RATE_PER_S) * (1 + OVERAGE) + SLACK

STEP_MS = 10
FULL_DIGEST_MS = 450
TICK_MS = 250
SILENCE_MS = 1_500
DOWN_MS = 1_200
SETTLED_MS = 10_000

COSTS = (740, 1_390, 2_770, 11_100)
"""Tokens of a request; a customer's calls differ by more than ten times."""

LOAD = 0.9
"""The customer's work, as a share of its rate."""

GOAL = 0.95
"""Share of the work below the limit that is to be admitted."""


class Play:
    """Instances of which one after the other is down for `DOWN_MS`."""

    def __init__(self, count: int, restart_gap_ms: int):
        self.rng = random.Random(1)
        self.names = [InstanceId(f"i-{n}") for n in range(count)]
        self.weights = [self.rng.random() for _ in self.names]
        self.restart_gap_ms = restart_gap_ms
        self.now_ms = 0
        self.incarnations = dict.fromkeys(self.names, 1)
        self.heard_ms = {name: {} for name in self.names}
        self.up_from_ms = dict.fromkeys(self.names, 0)
        self.ledgers = {name: self._ledger(True) for name in self.names}
        self.admitted: list[tuple[int, float]] = []
        self.offered_tokens = 0.0

    def _ledger(self, starts_full: bool) -> QuotaLedger:
        made = QuotaLedger(WINDOW_S, OVERAGE, SLACK, starts_full=starts_full)
        made.configure(configuration(RATE_PER_S, RATE_PER_S), self.now_ms)
        made.set_members(frozenset(), len(self.names), self.now_ms)
        return made

    def run(self) -> None:
        end_ms = SETTLED_MS + self.restart_gap_ms * len(self.names) + 4_000
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._restart_next()
            running = [n for n in self.names if self.up_from_ms[n] <= self.now_ms]
            if self.now_ms % FULL_DIGEST_MS == 0:
                self._exchange_digests(running)
            if self.now_ms % TICK_MS == 0:
                self._update_members(running)
            self._send_requests(running)

    def _restart_next(self) -> None:
        since_ms = self.now_ms - SETTLED_MS
        index = since_ms // self.restart_gap_ms
        if since_ms < 0 or since_ms % self.restart_gap_ms or index >= len(self.names):
            return
        name = self.names[index]
        self.up_from_ms[name] = self.now_ms + DOWN_MS
        self.ledgers[name] = self._ledger(False)
        self.incarnations[name] += 1
        self.heard_ms[name] = {}

    def _exchange_digests(self, running) -> None:
        for sender in running:
            used = self.ledgers[sender].used_by_customer()
            for name in running:
                if name != sender:
                    self.heard_ms[name][sender] = self.now_ms
                    self.ledgers[name].record_peer_usage(
                        sender, self.incarnations[sender], used
                    )

    def _update_members(self, running) -> None:
        for name in running:
            heard = self.heard_ms[name].items()
            reachable = {n for n, ms in heard if self.now_ms - ms < SILENCE_MS}
            self.ledgers[name].set_members(
                frozenset(reachable), len(self.names), self.now_ms
            )

    def _send_requests(self, running) -> None:
        mean_cost = sum(COSTS) / len(COSTS)
        per_step = RATE_PER_S * LOAD / mean_cost * STEP_MS / 1000
        weights = [self.weights[self.names.index(name)] for name in running]
        while self.rng.random() < per_step / (1 + per_step):
            cost = self.rng.choice(COSTS)
            name = self.rng.choices(running, weights)[0]
            is_admitted = (
                self.ledgers[name].consume(CUSTOMER, cost, self.now_ms) is None
            )
            if is_admitted:
                self.admitted.append((self.now_ms, cost))
            if self.now_ms >= SETTLED_MS:
                self.offered_tokens += cost

    def admitted_share(self) -> float:
        admitted = sum(cost for ms, cost in self.admitted if ms >= SETTLED_MS)
        return admitted / self.offered_tokens


class TestRestartsInTurn(unittest.TestCase):
    def test_work_below_the_limit_is_admitted_through_restarts(self):
        for count, restart_gap_ms in ((9, 1_500), (60, 400)):
            play = Play(count, restart_gap_ms)
            play.run()
            self.assertGreaterEqual(play.admitted_share(), GOAL, count)
            self.assertLessEqual(max_window_cost(play.admitted), ALLOWED, count)
