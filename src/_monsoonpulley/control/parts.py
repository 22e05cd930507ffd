"""What duties may use of the instance that runs them."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..config.document import Document
from ..ids import ServiceId
from ..journal.collection import Collection
from ..journal.recovery import IsGone, Recovery
from ..log import Log
from .fleetparts import CapacityParts


class DutyParts(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of an instance, handed to each kind of duty.

    Attributes
    ----------
    document : callable
        Returns the configuration in force, ``None`` before there is one.
    is_gone : callable
        Tells for an instance and incarnation whether it has left.
    capacity : callable, optional
        Returns what ordering a service's instances takes, ``None`` for a service
        whose instances are not ordered here.
    """

    clock: Clock
    log: Log
    document: Callable[[], Document | None]
    recovery: Recovery
    collection: Collection
    is_gone: IsGone
    capacity: Callable[[ServiceId], CapacityParts | None] | None = None
