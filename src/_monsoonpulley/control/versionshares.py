"""Traffic shares of versions, from this entry instance's view of the rollouts.

Canary traffic is concentrated: only a few endpoints of the version get any, and only
one or a few entry instances send it at a time, in slots of wall time. So these
endpoints are under full load and the sending instance gets results fast, while the
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
"""Upper bound of the share of own requests that a sender gives the canary in a slot."""

EndpointsOf = Callable[[ServiceId, VersionId], Sequence[EndpointId]]
LiveEntries = Callable[[], Sequence[InstanceId]]


class CanaryPlan(msgspec.Struct, frozen=True):
    """Concentration of a canary's traffic.

    Attributes
    ----------
    endpoints : int
        Endpoints of the version that get traffic.
    sender_count : int
        Entry instances that send to them at a time.
    slot_share : float
        Share of their own requests that these send in a slot.
    active_slot_ratio : float
        Part of the slots in which canary traffic is sent.
    """

    endpoint_count: int
    sender_count: int
    slot_share: float
    active_slot_ratio: float

    @classmethod
    def for_sizes(
        cls, mean_share: float, base_endpoint_count: int, entry_count: int
    ) -> CanaryPlan:
        """Return the plan that gives the canary a mean share of all requests."""
        endpoint_count = max(1, int(mean_share * base_endpoint_count))
        full_load_share = max(mean_share, endpoint_count / max(base_endpoint_count, 1))
        sender_count = max(1, math.ceil(full_load_share * entry_count / MAX_SLOT_SHARE))
        sender_count = min(sender_count, entry_count)
        slot_share = min(MAX_SLOT_SHARE, full_load_share * entry_count / sender_count)
        active_slot_ratio = min(
            1.0, mean_share * entry_count / (slot_share * sender_count)
        )
        return cls(endpoint_count, sender_count, slot_share, active_slot_ratio)

    def is_sender(self, index: int, entry_count: int, slot: int) -> bool:
        """Return whether the entry instance at ``index`` sends in a slot.

        Slots are numbered from the canary's start. Active ones are spread evenly,
        the first one after half a gap, and the entry instances take turns.
        """
        number = math.floor(slot * self.active_slot_ratio + 0.5)
        if math.floor((slot + 1) * self.active_slot_ratio + 0.5) == number:
            return False
        return (index - number * self.sender_count) % entry_count < self.sender_count


class RolloutShares:
    """A `requests.routed.VersionShares` that follows the rollouts.

    Parameters
    ----------
    view : RolloutView
        Rows and trips that this instance knows.
    instance : InstanceId
        This entry instance.
    live_entries : callable
        Returns the live entry instances.
    endpoints_of : callable
        Returns the LIVE endpoints of a version.
    clock : Clock
        Its wall time determines the slot and whether a deadline has passed.
    settings : RolloutSettings
        Holds the mean share of a canary.
    has_recent_bad_result : callable
        Returns whether this instance recently had a bad result of the version.
        Then it keeps sending past its slot, so that its verdict is reached soon
        instead of another entry instance starting from nothing.
    should_join_canary : callable
        Returns whether a peer's result leaves the canary in doubt. Then this
        instance sends to further endpoints of the version, so that a verdict is
        reached sooner.
    """

    def __init__(
        self,
        view: RolloutView,
        instance: InstanceId,
        live_entries: LiveEntries,
        endpoints_of: EndpointsOf,
        clock: Clock,
        settings: RolloutSettings,
        has_recent_bad_result: Callable[[RolloutRow], bool] = lambda row: False,
        should_join_canary: Callable[[RolloutRow], bool] = lambda row: False,
    ):
        self._view = view
        self._instance = instance
        self._live_entries = live_entries
        self._endpoints_of = endpoints_of
        self._clock = clock
        self._settings = settings
        self._has_recent_bad_result = has_recent_bad_result
        self._should_join_canary = should_join_canary

    def shares(self, service: ServiceId) -> dict[VersionId, float]:
        """Return the traffic share of each version that may get any now.

        The base versions come first, also with share 0: requests that the new
        version can't serve go to them.
        """
        base = self._view.base_versions(service)
        row = self._view.active_row(service, self._clock.wall_ms())
        share = self._version_share(row, base) if row is not None else 0.0
        if row is None or share <= 0.0:
            return {version: 1.0 for version in base}
        base_shares = {version: (1.0 - share) / len(base) for version in base}
        return {**base_shares, row.version: share}

    def held_back_endpoints(
        self, services: Sequence[ServiceId]
    ) -> frozenset[EndpointId]:
        """Return the endpoints of canary versions that get no traffic from here now."""
        held_back: set[EndpointId] = set()
        for service in services:
            row = self._view.active_row(service, self._clock.wall_ms())
            if row is None or row.state is not RolloutState.CANARY:
                continue
            plan, entry_ids = self._canary_plan(row, self._view.base_versions(service))
            ranked = self._ranked_endpoints(row)
            first = 0
            if self._should_join_canary(row) and not self._is_sender(
                row, plan, entry_ids
            ):
                first = plan.endpoint_count * self._endpoint_group(plan, entry_ids)
            held_back.update(ranked)
            held_back.difference_update(ranked[first : first + plan.endpoint_count])
        return frozenset(held_back)

    def _version_share(self, row: RolloutRow, base: tuple[VersionId, ...]) -> float:
        if not base:
            return 1.0
        if row.state is not RolloutState.CANARY:
            return row.share
        plan, entry_ids = self._canary_plan(row, base)
        if self._is_sender(row, plan, entry_ids):
            return plan.slot_share
        groups = len(self._ranked_endpoints(row)) // plan.endpoint_count
        if (
            self._should_join_canary(row)
            and self._endpoint_group(plan, entry_ids) < groups
        ):
            return plan.slot_share
        return 0.0

    def _is_sender(
        self, row: RolloutRow, plan: CanaryPlan, entry_ids: list[InstanceId]
    ) -> bool:
        slot = (self._clock.wall_ms() - row.since_wall_ms) // SLOT_MS
        index = entry_ids.index(self._instance)
        is_sender = plan.is_sender(index, len(entry_ids), slot)
        return is_sender or self._has_recent_bad_result(row)

    def _endpoint_group(self, plan: CanaryPlan, entry_ids: list[InstanceId]) -> int:
        """Return the group of endpoints to which this instance sends when it joins.

        Each group has as many endpoints and senders as the canary, so that its
        endpoints are under the same load. Group 0 is the canary's own.
        """
        return 1 + entry_ids.index(self._instance) // plan.sender_count

    def _ranked_endpoints(self, row: RolloutRow) -> list[EndpointId]:
        return sorted(self._endpoints_of(row.service, row.version), key=_rank_key)

    def _canary_plan(
        self, row: RolloutRow, base: tuple[VersionId, ...]
    ) -> tuple[CanaryPlan, list[InstanceId]]:
        entry_ids = sorted({*self._live_entries(), self._instance})
        base_endpoint_count = sum(
            len(self._endpoints_of(row.service, version)) for version in base
        )
        mean_share = min(row.share, self._settings.canary_share)
        return CanaryPlan.for_sizes(
            mean_share, base_endpoint_count, len(entry_ids)
        ), entry_ids


def _rank_key(endpoint: EndpointId) -> tuple[int, EndpointId]:
    return xxhash.xxh3_64_intdigest(endpoint.encode()), endpoint
