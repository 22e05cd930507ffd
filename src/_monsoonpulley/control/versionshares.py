"""Shares of traffic by version, as this daemon's view of the rollouts gives them.

The canary's traffic is concentrated: only few endpoints of the version get any,
and only one daemon, or few, at a time send it, in slots of wall time. So those
endpoints see full load and the sending daemon sees results fast, while the
mean share of the service's requests stays small.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import msgspec
import xxhash

from ..clock import Clock
from ..ids import EndpointId, InstanceId, ServiceId, VersionId
from .rollout import RolloutSettings
from .rolloutrows import RolloutRow, RolloutState
from .rolloutview import RolloutView

SLOT_MS = 3_000
MAX_SLOT_SHARE = 0.9
"""Share of its own requests that a daemon sends to the canary in its slot."""

EndpointsOf = Callable[[ServiceId, VersionId], Sequence[EndpointId]]
LiveEntries = Callable[[], Sequence[InstanceId]]


class CanaryPlan(msgspec.Struct, frozen=True):
    """How a canary's traffic is concentrated.

    Attributes
    ----------
    endpoints : int
        Endpoints of the version that get traffic.
    daemons : int
        Daemons that send it at a time.
    slot_share : float
        Share of their own requests that these send in a slot.
    active_slots : float
        Part of the slots in which any is sent.
    """

    endpoints: int
    daemons: int
    slot_share: float
    active_slots: float

    @classmethod
    def for_sizes(
        cls, mean_share: float, old_endpoints: int, daemons: int
    ) -> CanaryPlan:
        """Return the plan for a mean share of the service's requests."""
        endpoints = max(1, int(mean_share * old_endpoints))
        full_load = max(mean_share, endpoints / max(old_endpoints, 1))
        at_a_time = max(1, math.ceil(full_load * daemons / MAX_SLOT_SHARE))
        at_a_time = min(at_a_time, daemons)
        slot_share = min(MAX_SLOT_SHARE, full_load * daemons / at_a_time)
        active = min(1.0, mean_share * daemons / (slot_share * at_a_time))
        return cls(endpoints, at_a_time, slot_share, active)

    def is_sender(self, index: int, daemons: int, slot: int) -> bool:
        """Tell whether a daemon of a sorted list sends in a slot.

        Slots count from the canary's start. Active ones are spread evenly, the
        first one comes after half of the gap, and the daemons take turns.
        """
        number = math.floor(slot * self.active_slots + 0.5)
        if math.floor((slot + 1) * self.active_slots + 0.5) == number:
            return False
        return (index - number * self.daemons) % daemons < self.daemons


class RolloutShares:
    """A `requests.routed.VersionShares` by the rollouts.

    Parameters
    ----------
    view : RolloutView
        Rows and trips.
    instance : InstanceId
        This daemon.
    live_entries : callable
        Returns the live daemons.
    endpoints_of : callable
        Returns the LIVE endpoints of a version.
    clock : Clock
        Its wall time chooses slots and ends what its deadline has passed.
    settings : RolloutSettings
        Mean share of a canary.
    is_suspected : callable
        Tells whether a bad result came here just now; then this daemon goes on
        sending past its slot, so that one verdict is reached soon instead of
        another daemon beginning anew.
    is_joined : callable
        Tells whether the canary is in doubt by a peer's result; then this daemon
        sends to endpoints beside it, so that a verdict needs less time.
    """

    def __init__(
        self,
        view: RolloutView,
        instance: InstanceId,
        live_entries: LiveEntries,
        endpoints_of: EndpointsOf,
        clock: Clock,
        settings: RolloutSettings,
        is_suspected: Callable[[RolloutRow], bool] = lambda row: False,
        is_joined: Callable[[RolloutRow], bool] = lambda row: False,
    ):
        self._view = view
        self._instance = instance
        self._live_entries = live_entries
        self._endpoints_of = endpoints_of
        self._clock = clock
        self._settings = settings
        self._is_suspected = is_suspected
        self._is_joined = is_joined

    def shares(self, service: ServiceId) -> dict[VersionId, float]:
        """Return the share of each version that may get any traffic now.

        The old ones come first, also with share 0: what the new version can't
        serve goes to them.
        """
        base = self._view.base(service)
        row = self._view.active(service, self._clock.wall_ms())
        share = self._share(row, base) if row is not None else 0.0
        if row is None or share <= 0.0:
            return {version: 1.0 for version in base}
        old = {version: (1.0 - share) / len(base) for version in base}
        return {**old, row.version: share}

    def held_back(self, services: Sequence[ServiceId]) -> frozenset[EndpointId]:
        """Return the endpoints that get nothing while others are the canary."""
        held: set[EndpointId] = set()
        for service in services:
            row = self._view.active(service, self._clock.wall_ms())
            if row is None or row.state is not RolloutState.CANARY:
                continue
            plan, daemons = self._plan(row, self._view.base(service))
            ranked = self._ranked(row)
            first = 0
            if self._is_joined(row) and not self._is_sender(row, plan, daemons):
                first = plan.endpoints * self._group(plan, daemons)
            held.update(ranked)
            held.difference_update(ranked[first : first + plan.endpoints])
        return frozenset(held)

    def _share(self, row: RolloutRow, base: tuple[VersionId, ...]) -> float:
        if not base:
            return 1.0
        if row.state is not RolloutState.CANARY:
            return row.share
        plan, daemons = self._plan(row, base)
        if self._is_sender(row, plan, daemons):
            return plan.slot_share
        groups = len(self._ranked(row)) // plan.endpoints
        if self._is_joined(row) and self._group(plan, daemons) < groups:
            return plan.slot_share
        return 0.0

    def _is_sender(
        self, row: RolloutRow, plan: CanaryPlan, daemons: list[InstanceId]
    ) -> bool:
        slot = (self._clock.wall_ms() - row.since_wall_ms) // SLOT_MS
        index = daemons.index(self._instance)
        is_sender = plan.is_sender(index, len(daemons), slot)
        return is_sender or self._is_suspected(row)

    def _group(self, plan: CanaryPlan, daemons: list[InstanceId]) -> int:
        """Return which endpoints this daemon sends to if it joins in.

        Each group is as large as the canary and has as many daemons, so that its
        endpoints are under the canary's load too; the canary's own is group 0.
        """
        return 1 + daemons.index(self._instance) // plan.daemons

    def _ranked(self, row: RolloutRow) -> list[EndpointId]:
        return sorted(self._endpoints_of(row.service, row.version), key=_rank)

    def _plan(
        self, row: RolloutRow, base: tuple[VersionId, ...]
    ) -> tuple[CanaryPlan, list[InstanceId]]:
        daemons = sorted({*self._live_entries(), self._instance})
        old = sum(len(self._endpoints_of(row.service, version)) for version in base)
        mean_share = min(row.share, self._settings.canary_share)
        return CanaryPlan.for_sizes(mean_share, old, len(daemons)), daemons


def _rank(endpoint: EndpointId) -> tuple[int, EndpointId]:
    return xxhash.xxh3_64_intdigest(endpoint.encode()), endpoint
