"""Shares of a service's traffic that its versions get during a roll-out.

A new version may be bad at once, later, under load or on one route only. So it gets
a small share of the requests first, the results of all instances are tested together
against those of the old version, and the first instance that detects a fault rolls
the version back at once and notifies its peers.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from enum import IntEnum

import msgspec

from ..clock import Clock
from ..control.verdict import FALSE_ALARM_RATE, BaselineResults, Result, Verdict
from ..fleet.model import Endpoint
from ..ids import ServiceId
from ..observability.log import Log
from ..platform.rollouts import RolloutOrder
from ..platform.storeversion import era_of


class Phase(IntEnum):
    """Phase of a roll-out; where instances differ, the higher one wins."""

    HELD = 0
    CANARY = 1
    RAMP = 2
    HALF = 3
    FULL = 4
    TAKEN_BACK = 5
    DONE = 6
    """Final: the old version's endpoints are being stopped."""


TRAFFIC_SHARES = {
    Phase.HELD: 0.0,
    Phase.CANARY: 0.04,
    Phase.RAMP: 0.2,
    Phase.HALF: 0.5,
    Phase.FULL: 1.0,
}
"""Share of the traffic in each phase. The canary's is less than half of what a bad
version may get in all; the rest is left for faults that show late."""

MAX_PAST = 8
"""Past orders of a service that are remembered. A copy of the store is seconds old."""

OLD_ROWS_REMOVAL_MS = 10_000
"""Time after a roll-out is done for which the old endpoints, which stop at once, may
still have rows."""

NEW_ENDPOINT_LOAD_FACTOR = 2
"""Load of a new version's endpoint relative to an old one's until the version has all
traffic: faults that depend on load have to show early."""


class Progress(msgspec.Struct, array_like=True, frozen=True):
    """Phase of an order, which ``row_version``, the version of its row, identifies."""

    service: ServiceId
    row_version: int
    phase: int


class _Rollout:
    """State of one order on this instance."""

    def __init__(self, order: RolloutOrder, seen_ms: int):
        self.order = order
        self.seen_ms = seen_ms
        self.phase = Phase.HELD
        self.phase_started_ms = seen_ms
        self.old_results = BaselineResults()
        self.verdict = Verdict(FALSE_ALARM_RATE)
        self.was_rolled_back_here = False


class Rollouts:
    """Orders with their phases and the results of their versions.

    Parameters
    ----------
    clock, log : Clock, Log
        Each change of phase is logged.
    rng : random.Random
        Selects the requests that go to a new version.

    Attributes
    ----------
    on_rolled_back : callable
        Called after an order was rolled back here or elsewhere.
    """

    def __init__(self, clock: Clock, log: Log, rng: random.Random):
        self._clock = clock
        self._log = log
        self._rng = rng
        self._rollouts: dict[ServiceId, _Rollout] = {}
        self._past_orders: dict[ServiceId, deque[RolloutOrder]] = {}
        self._outbox: list[Result] = []
        self.on_rolled_back: Callable[[], None] = lambda: None

    def set_order(self, order: RolloutOrder) -> None:
        """Set an operator's order; ignore one that is not newer."""
        known = self._rollouts.get(order.service)
        if known is not None:
            if known.order.row_version >= order.row_version:
                return
            if self._is_known_again(known, order):
                return
            past = self._past_orders.setdefault(order.service, deque(maxlen=MAX_PAST))
            past.append(known.order)
        self._rollouts[order.service] = _Rollout(order, self._clock.now_ms())
        self._log.event(
            "rollout_ordered",
            service=order.service,
            version=order.version,
            duration_ms=order.duration_ms,
            row_version=order.row_version,
        )

    def _is_known_again(self, known: _Rollout, order: RolloutOrder) -> bool:
        """Return whether an order was read before the store lost writes.

        The last one goes on in its phase, as its row has only been written again. A
        past one is in the older copy until the last one has been written again.
        """
        if era_of(order.row_version) == era_of(known.order.row_version):
            return False
        if _is_same_order(known.order, order):
            known.order = order
            return True
        past = self._past_orders.get(order.service, ())
        return any(_is_same_order(each, order) for each in past)

    def remove_order(self, service: ServiceId) -> None:
        """Remove an order whose row was deleted."""
        if self._rollouts.pop(service, None) is not None:
            self._log.event("rollout_order_removed", service=service)

    def orders(self) -> list[RolloutOrder]:
        """Return all orders, including ended ones."""
        return [rollout.order for rollout in self._rollouts.values()]

    def phase(self, order: RolloutOrder) -> Phase | None:
        """Return the phase of an order; None if it is not its service's newest."""
        rollout = self._rollout_of(order)
        return rollout.phase if rollout is not None else None

    def elapsed_times_ms(self, order: RolloutOrder) -> tuple[int, int]:
        """Return the time since an order was seen, and since its phase started."""
        rollout = self._rollouts[order.service]
        now_ms = self._clock.now_ms()
        return now_ms - rollout.seen_ms, now_ms - rollout.phase_started_ms

    def advance(self, order: RolloutOrder, phase: Phase, reason: str) -> None:
        """Advance an order to a higher phase; ignore a lower one."""
        rollout = self._rollout_of(order)
        if rollout is None or phase <= rollout.phase:
            return
        self._log.event(
            "rollout_phase",
            service=order.service,
            version=order.version,
            phase=phase.name.lower(),
            previous=rollout.phase.name.lower(),
            why=reason,
            results=rollout.verdict.result_count,
            bad=rollout.verdict.bad_count,
        )
        rollout.phase = phase
        rollout.phase_started_ms = self._clock.now_ms()
        if phase is Phase.TAKEN_BACK:
            self.on_rolled_back()

    def was_rolled_back_here(self, order: RolloutOrder) -> bool:
        """Return whether a result of this instance itself ended the order."""
        rollout = self._rollout_of(order)
        return rollout is not None and rollout.was_rolled_back_here

    def eligible_endpoints(
        self, service: ServiceId, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints that the next request may go to.

        While both versions get traffic, a random draw selects one of them.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return endpoints
        version = rollout.order.version
        if rollout.phase is Phase.DONE:
            new = tuple(e for e in endpoints if e.version == version)
            is_recent = (
                self._clock.now_ms() - rollout.phase_started_ms < OLD_ROWS_REMOVAL_MS
            )
            return new if new and is_recent else endpoints
        old = tuple(e for e in endpoints if e.version != version)
        if rollout.phase is Phase.TAKEN_BACK:
            return old
        new = tuple(e for e in endpoints if e.version == version)
        share = TRAFFIC_SHARES[rollout.phase]
        if new and self._rng.random() < share:
            return new if share >= 1 else _loaded_subset(new, share * len(old))
        if not old and rollout.phase is not Phase.HELD:
            return new
        return old

    def old_endpoints(
        self, service: ServiceId, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints of the version that a roll-out in progress replaces."""
        if not self.is_in_progress(service):
            return ()
        version = self._rollouts[service].order.version
        return tuple(e for e in endpoints if e.version != version)

    def is_in_progress(self, service: ServiceId) -> bool:
        """Return whether a service's traffic is being moved to a new version."""
        rollout = self._rollouts.get(service)
        return rollout is not None and rollout.phase < Phase.TAKEN_BACK

    def carries_load(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's version has the traffic of its service.

        A new version has it once it gets all of it.
        """
        rollout = self._rollouts.get(endpoint.service)
        if rollout is None:
            return True
        is_new = endpoint.version == rollout.order.version
        if rollout.phase is Phase.DONE:
            elapsed_ms = self._clock.now_ms() - rollout.phase_started_ms
            return is_new or elapsed_ms >= OLD_ROWS_REMOVAL_MS
        return is_new is (rollout.phase is Phase.FULL)

    def record_result(self, result: Result) -> None:
        """Record a result from this instance."""
        rollout = self._rollouts.get(result.service)
        if rollout is None or rollout.phase >= Phase.TAKEN_BACK:
            return
        if result.version != rollout.order.version:
            rollout.old_results.add(result)
            return
        self._outbox.append(result)
        rollout.was_rolled_back_here = self._evaluate(rollout, result)

    def drain_outbox(self) -> tuple[Result, ...]:
        """Return the results that have not been sent to the peers, and clear them."""
        results, self._outbox = tuple(self._outbox), []
        return results

    def progress(self) -> tuple[Progress, ...]:
        """Return the phase of each order, for the digest."""
        return tuple(
            Progress(service, rollout.order.row_version, int(rollout.phase))
            for service, rollout in self._rollouts.items()
        )

    def merge_peer(
        self, progress: Iterable[Progress], results: Iterable[Result]
    ) -> None:
        """Apply the phases and results from a peer's digest."""
        for each in progress:
            rollout = self._rollouts.get(each.service)
            if rollout is not None and rollout.order.row_version == each.row_version:
                self.advance(rollout.order, Phase(each.phase), "received from a peer")
        for result in results:
            rollout = self._rollouts.get(result.service)
            if rollout is not None and rollout.order.version == result.version:
                self._evaluate(rollout, result)

    def _evaluate(self, rollout: _Rollout, result: Result) -> bool:
        """Add a result; return whether the version is rolled back because of it."""
        reason = rollout.verdict.add(result, rollout.old_results, self._clock.now_ms())
        if reason:
            self.advance(rollout.order, Phase.TAKEN_BACK, reason)
        return bool(reason)

    def _rollout_of(self, order: RolloutOrder) -> _Rollout | None:
        rollout = self._rollouts.get(order.service)
        if rollout is None or rollout.order.row_version != order.row_version:
            return None
        return rollout


def _is_same_order(one: RolloutOrder, other: RolloutOrder) -> bool:
    return (one.version, one.duration_ms) == (other.version, other.duration_ms)


def _loaded_subset(new: tuple[Endpoint, ...], old_count: float) -> tuple[Endpoint, ...]:
    """Return the new endpoints that take the load of ``old_count`` old ones.

    The result is the same on every instance.
    """
    count = max(1, int(old_count / NEW_ENDPOINT_LOAD_FACTOR))
    return tuple(sorted(new, key=lambda endpoint: endpoint.id)[:count])
