"""Simulation of a lease: table row, claimers and a checking endpoint.

Each claimer has a clock of its own, with another offset and, within what the margin
covers, another speed. Copies of writes take effect when the test delivers them, in
any order, or never.
"""

from __future__ import annotations

import random

from _monsoonpulley.control.lease import LeaseRules
from _monsoonpulley.control.leasestate import (
    LeaseRow,
    LeaseSettings,
    LeaseState,
    PendingWrite,
    RowRead,
    Tick,
    WriteConfirmed,
    WriteConflicted,
    WriteFailed,
    WriteKind,
)
from _monsoonpulley.identity import Identity

SETTINGS = LeaseSettings()


class Claimer:
    """One incarnation of an instance, with its own clock."""

    def __init__(self, index: int, incarnation: int, rng: random.Random, rules_type):
        self.identity = Identity(f"entry-{index}", "zone", "region", incarnation)
        self.rules = rules_type(self.identity, SETTINGS)
        self.state = LeaseState()
        self.is_paused = False
        self.offset_ms = rng.randrange(-10_000_000, 10_000_000)
        self.speed = rng.uniform(0.97, 1.03)
        self.prepared_order: int | None = None

    def now_ms(self, true_ms: int) -> int:
        return round(true_ms * self.speed) + self.offset_ms


class LeaseHistory:
    """One lease, its claimers and the faults between them and the table."""

    def __init__(self, seed: int, size: int = 3, rules_type=LeaseRules):
        self.rng = random.Random(seed)
        self.rules_type = rules_type
        self.now_ms = 0
        self.is_down = False
        self.row: LeaseRow | None = None
        self.revision = 0
        self.write_copies: list[tuple[Claimer, PendingWrite, bool]] = []
        self.accepted_numbers: list[int] = []
        self.claims: list[tuple[int, str, int]] = []
        self.claimers = [self._new_claimer(index) for index in range(size)]
        self.former_claimers: list[Claimer] = []

    def advance(self, duration_ms: int) -> None:
        self.now_ms += duration_ms

    def scan(self, index: int) -> None:
        claimer = self.claimers[index]
        if not self.is_down and not claimer.is_paused:
            self._step(claimer, RowRead(self.row, self.revision))

    def tick(self, index: int, rank: int | None = 0) -> None:
        claimer = self.claimers[index]
        if claimer.is_paused:
            return
        token = f"{self.rng.getrandbits(64):016x}"
        decision = self._step(claimer, Tick(rank, token))
        if decision is not None and decision.write is not None:
            self.write_copies.append((claimer, decision.write, True))

    def scan_and_write(self, index: int) -> None:
        """Let a claimer scan, tick and write without faults."""
        self.scan(index)
        sent = len(self.write_copies)
        self.tick(index)
        if len(self.write_copies) > sent:
            self.deliver(sent)

    def deliver(self, number: int, answer_arrives: bool = True) -> None:
        """Let a copy reach the table; the answer to its sender may get lost."""
        if not self.write_copies or self.is_down:
            return
        claimer, pending, is_awaited = self.write_copies.pop(
            number % len(self.write_copies)
        )
        event = self._apply(claimer, pending)
        if not is_awaited or claimer.is_paused:
            return
        if answer_arrives:
            self._step(claimer, event)
        else:
            self._step(claimer, WriteFailed(pending.row.token, is_in_doubt=True))

    def time_out(self, number: int, is_dropped: bool) -> None:
        """Let a sender time out on a copy, which is dropped or takes effect later."""
        if not self.write_copies:
            return
        number %= len(self.write_copies)
        claimer, pending, is_awaited = self.write_copies[number]
        if claimer.is_paused:
            return
        if is_awaited:
            self._step(claimer, WriteFailed(pending.row.token, is_in_doubt=True))
        self.write_copies[number] = (claimer, pending, False)
        if is_dropped:
            self.write_copies.pop(number)

    def decline_write(self, number: int) -> None:
        """Let the table refuse a copy whose answer is still awaited."""
        number %= max(1, len(self.write_copies))
        if self.write_copies and self.write_copies[number][2]:
            claimer, pending, _ = self.write_copies.pop(number)
            self._step(claimer, WriteFailed(pending.row.token, is_in_doubt=False))

    def prepare_order(self, index: int) -> None:
        """Check `may_act` for an order, and stop right before its send."""
        claimer = self.claimers[index]
        if not claimer.is_paused and self._may_act(claimer):
            claimer.prepared_order = claimer.state.held.fencing_number

    def send_order(self, index: int) -> None:
        """Send the prepared order without another check."""
        claimer = self.claimers[index]
        if claimer.prepared_order is not None and not claimer.is_paused:
            self._receive_order(claimer.prepared_order)
            claimer.prepared_order = None

    def pause(self, index: int) -> None:
        self.claimers[index].is_paused = True

    def resume(self, index: int) -> None:
        self.claimers[index].is_paused = False

    def restart(self, index: int) -> None:
        """Start a new incarnation; the former one may still act on its lease."""
        self.former_claimers.append(self.claimers[index])
        self.claimers[index] = self._new_claimer(index)

    def acting(self) -> list[Claimer]:
        """Return the claimers that may act now, paused ones included."""
        return [c for c in self.claimers + self.former_claimers if self._may_act(c)]

    def assert_invariants(self) -> None:
        acting = self.acting()
        assert len(acting) <= 1, [c.identity for c in acting]
        fencing_numbers = [number for number, _, _ in self.claims]
        assert fencing_numbers == sorted(set(fencing_numbers)), self.claims
        assert self.accepted_numbers == sorted(self.accepted_numbers), (
            self.accepted_numbers
        )

    def holder(self) -> int | None:
        acting = self.acting()
        return self.claimers.index(acting[0]) if acting else None

    def acquire(self, index: int) -> None:
        """Let a claimer claim the lease, without faults."""
        self.scan(index)
        self.tick(index)
        self.deliver(0)
        assert self.holder() == index

    def _new_claimer(self, index: int) -> Claimer:
        incarnation = self.now_ms + self.rng.randrange(1, 1_000_000_000)
        return Claimer(index, incarnation, self.rng, self.rules_type)

    def _apply(self, claimer: Claimer, pending: PendingWrite):
        token = pending.row.token
        if pending.expected_revision != self.revision:
            return WriteConflicted(token, self.row, self.revision)
        self.row = pending.row
        self.revision += 1
        if pending.kind is WriteKind.CLAIM:
            me = claimer.identity
            holder = (pending.row.fencing_number, me.instance, me.incarnation)
            self.claims.append(holder)
        return WriteConfirmed(token, self.revision)

    def _receive_order(self, fencing_number: int) -> None:
        if fencing_number >= max(self.accepted_numbers, default=0):
            self.accepted_numbers.append(fencing_number)

    def _may_act(self, claimer: Claimer) -> bool:
        return claimer.state.may_act(claimer.now_ms(self.now_ms))

    def _step(self, claimer: Claimer, event):
        now_ms = claimer.now_ms(self.now_ms)
        claimer.state, decision = claimer.rules.step(claimer.state, event, now_ms)
        return decision
