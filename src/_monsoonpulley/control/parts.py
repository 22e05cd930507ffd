"""What duties may use of the instance that runs them."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..config.document import Document
from ..journal.collection import Collection
from ..journal.recovery import IsGone, Recovery
from ..log import Log


class DutyParts(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of an instance, handed to each kind of duty.

    Attributes
    ----------
    document : callable
        Returns the configuration in force, ``None`` before there is one.
    is_gone : callable
        Tells for an instance and incarnation whether it has left.
    """

    clock: Clock
    log: Log
    document: Callable[[], Document | None]
    recovery: Recovery
    collection: Collection
    is_gone: IsGone
