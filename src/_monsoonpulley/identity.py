"""Who an entry instance is."""

from __future__ import annotations

import msgspec

from .ids import InstanceId, ZoneId


class Identity(msgspec.Struct, frozen=True):
    """An entry instance in one of its lives.

    Attributes
    ----------
    instance : InstanceId
        The platform's name.
    zone : ZoneId
        Data centre it stands in.
    region : str
        Region of that data centre.
    incarnation : int
        Rises with each start: wall milliseconds at the start, since the
        instance keeps nothing.
    """

    instance: InstanceId
    zone: ZoneId
    region: str
    incarnation: int
