"""Parts of an entry instance that its duties may use."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import msgspec

from ..clock import Clock
from ..config.document import Document
from ..external.table import Table
from ..ids import EndpointId, InstanceId, ServiceId, VersionId
from ..journal.collection import Collection
from ..journal.recovery import IsGone, Recovery
from ..observability.log import Log
from .fleetparts import CapacityParts
from .rolloutview import RolloutView


class DutyParts(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of an instance, passed to each kind of duty.

    Attributes
    ----------
    document : callable
        Returns the configuration in force, ``None`` until there is one.
    is_gone : callable
        Returns whether an incarnation of an instance has left.
    live_entries : callable
        Returns the live entry instances.
    endpoints_of : callable
        Returns the LIVE endpoints of a version.
    rollouts : RolloutView
        Rollouts under way, as this instance knows them.
    capacity : callable, optional
        Returns the parts for ordering a service's instances, ``None`` for a
        service whose instances this deployment does not order.
    """

    clock: Clock
    log: Log
    document: Callable[[], Document | None]
    recovery: Recovery
    collection: Collection
    is_gone: IsGone
    table: Table
    rng: random.Random
    live_entries: Callable[[], Sequence[InstanceId]]
    endpoints_of: Callable[[ServiceId, VersionId], Sequence[EndpointId]]
    rollouts: RolloutView
    capacity: Callable[[ServiceId], CapacityParts | None] | None = None
