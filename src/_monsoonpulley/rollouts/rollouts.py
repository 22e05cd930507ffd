"""Which version of a service gets how much of its traffic.

Answers for versions that are bad at once, late, under load or on one route: a small
share of the requests goes to the new version first, results of all instances are
tested together against the old version's, and any instance that sees the fault
takes the version back at once and tells the others.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import IntEnum

import msgspec

from ..clock import Clock
from ..control.verdict import FALSE_ALARM_RATE, OldResults, Result, Verdict
from ..fleet.model import Endpoint
from ..ids import ServiceId
from ..observability.log import Log
from ..platform.rollouts import RolloutOrder


class Phase(IntEnum):
    """How far a version has come; of two, the higher one holds."""

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
"""Shares of the traffic; the canary's is below half of what a bad version may get
in all, so that the rest is left for a fault that shows late."""

OLD_ROWS_REMOVAL_MS = 10_000
"""After a version is done, the old endpoints stop at once; their rows go later."""

NEW_ENDPOINT_LOAD_FACTOR = 2
"""How many times the load of an old endpoint one of a new version gets before it has
all traffic: faults that show under load have to show early."""


class Progress(msgspec.Struct, array_like=True, frozen=True):
    """Where an order stands; ``row_version`` is the version of the order's row."""

    service: ServiceId
    row_version: int
    phase: int


class _Rollout:
    """One order on this instance."""

    def __init__(self, order: RolloutOrder, seen_ms: int):
        self.order = order
        self.seen_ms = seen_ms
        self.phase = Phase.HELD
        self.phase_ms = seen_ms
        self.old_results = OldResults()
        self.verdict = Verdict(FALSE_ALARM_RATE)


class Rollouts:
    """Orders, how far they have come, and results of their versions.

    Parameters
    ----------
    clock, log : Clock, Log
        Time, and where each change is noted.
    rng : random.Random
        Draws which requests go to a new version.
    """

    def __init__(self, clock: Clock, log: Log, rng: random.Random):
        self._clock = clock
        self._log = log
        self._rng = rng
        self._rollouts: dict[ServiceId, _Rollout] = {}
        self._outbox: list[Result] = []

    def set_order(self, order: RolloutOrder) -> None:
        """Take over an operator's order; a known one changes nothing."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.row_version >= order.row_version:
            return
        self._rollouts[order.service] = _Rollout(order, self._clock.now_ms())
        self._log.event(
            "rollout_ordered",
            service=order.service,
            version=order.version,
            duration_ms=order.duration_ms,
            row_version=order.row_version,
        )

    def remove_order(self, service: ServiceId) -> None:
        """Forget an order whose row was removed."""
        if self._rollouts.pop(service, None) is not None:
            self._log.event("rollout_order_removed", service=service)

    def orders(self) -> list[RolloutOrder]:
        """Return all orders, ended ones too."""
        return [rollout.order for rollout in self._rollouts.values()]

    def phase(self, order: RolloutOrder) -> Phase | None:
        """Return how far an order has come, None if it is no longer the newest."""
        rollout = self._rollout_of(order)
        return rollout.phase if rollout is not None else None

    def elapsed_times_ms(self, order: RolloutOrder) -> tuple[int, int]:
        """Return the time since an order was seen, and since its phase began."""
        rollout = self._rollouts[order.service]
        now_ms = self._clock.now_ms()
        return now_ms - rollout.seen_ms, now_ms - rollout.phase_ms

    def advance(self, order: RolloutOrder, phase: Phase, reason: str) -> None:
        """Take an order to a higher phase; a lower one changes nothing."""
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
            results=rollout.verdict.results,
            bad=rollout.verdict.bad,
        )
        rollout.phase = phase
        rollout.phase_ms = self._clock.now_ms()

    def eligible_endpoints(
        self, service: ServiceId, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints of the version that takes the next request."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return endpoints
        version = rollout.order.version
        if rollout.phase is Phase.DONE:
            new = tuple(e for e in endpoints if e.version == version)
            is_recent = self._clock.now_ms() - rollout.phase_ms < OLD_ROWS_REMOVAL_MS
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

    def record_result(self, result: Result) -> None:
        """Take in a result of this instance."""
        rollout = self._rollouts.get(result.service)
        if rollout is None or rollout.phase >= Phase.TAKEN_BACK:
            return
        if result.version != rollout.order.version:
            rollout.old_results.add(result)
            return
        self._outbox.append(result)
        self._evaluate(rollout, result)

    def drain_outbox(self) -> tuple[Result, ...]:
        """Return the results that the others have not been told."""
        results, self._outbox = tuple(self._outbox), []
        return results

    def progress(self) -> tuple[Progress, ...]:
        """Return how far each order has come, for the digest."""
        return tuple(
            Progress(service, rollout.order.row_version, int(rollout.phase))
            for service, rollout in self._rollouts.items()
        )

    def merge_peer(
        self, progress: Iterable[Progress], results: Iterable[Result]
    ) -> None:
        """Take in what another instance knows."""
        for each in progress:
            rollout = self._rollouts.get(each.service)
            if rollout is not None and rollout.order.row_version == each.row_version:
                self.advance(rollout.order, Phase(each.phase), "told by another")
        for result in results:
            rollout = self._rollouts.get(result.service)
            if rollout is not None and rollout.order.version == result.version:
                self._evaluate(rollout, result)

    def _evaluate(self, rollout: _Rollout, result: Result) -> None:
        reason = rollout.verdict.add(result, rollout.old_results, self._clock.now_ms())
        if reason:
            self.advance(rollout.order, Phase.TAKEN_BACK, reason)

    def _rollout_of(self, order: RolloutOrder) -> _Rollout | None:
        rollout = self._rollouts.get(order.service)
        if rollout is None or rollout.order.row_version != order.row_version:
            return None
        return rollout


def _loaded_subset(new: tuple[Endpoint, ...], old_count: float) -> tuple[Endpoint, ...]:
    """Return those of a version that share the load of ``old_count`` old endpoints.

    They are the same on every instance.
    """
    count = max(1, int(old_count / NEW_ENDPOINT_LOAD_FACTOR))
    return tuple(sorted(new, key=lambda endpoint: endpoint.id)[:count])
