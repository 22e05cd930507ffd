"""Dependencies of the orders for one service's instances."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..external.cloud import Cloud
from ..external.livelist import LiveList
from ..external.table import Table
from ..external.weightstore import WeightStore
from ..ids import EndpointId, ServiceId
from ..observability.log import Log
from .capacitydecision import PlanSettings
from .fleet import Need
from .fleetdecision import FleetSettings
from .fleetview import InProgress
from .offers import MachineProfile
from .refusals import RefusalSettings

Needs = Callable[[int, int], tuple[Need, ...] | None]
"""Takes the wall time and the lead time of new capacity, both in ms.

Returns ``None`` while the demand is unknown.
"""


class CapacityParts(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies and settings of the orders for one service's instances.

    Attributes
    ----------
    needs : callable
        Returns the need of each version, ``None`` while unknown.
    profiles : dict of str to MachineProfile
        Machine classes that the service may use.
    in_progress : callable
        Returns the requests of all entry instances in progress at an endpoint,
        ``None`` if unknown.
    mark_leaving : callable
        Notifies all entry instances that an endpoint gets no new requests.
    """

    service: ServiceId
    table: Table
    cloud: Cloud
    livelist: LiveList
    weights: WeightStore
    clock: Clock
    rng: random.Random
    log: Log
    needs: Needs
    profiles: dict[str, MachineProfile]
    in_progress: InProgress
    mark_leaving: Callable[[EndpointId], None]
    settings: FleetSettings = FleetSettings()
    planning: PlanSettings = PlanSettings()
    refusing: RefusalSettings = RefusalSettings()
