"""Identity of an entry instance."""

from __future__ import annotations

import msgspec

from .ids import InstanceId, ZoneId


class Identity(msgspec.Struct, frozen=True):
    """Identity of an entry instance between a start and the next.

    Attributes
    ----------
    instance : InstanceId
        Name given by the platform.
    zone : ZoneId
        Data centre of the instance.
    region : str
        Region of that data centre.
    incarnation : int
        Number that rises with each start: the wall milliseconds of the start,
        since an instance stores nothing across starts.
    """

    instance: InstanceId
    zone: ZoneId
    region: str
    incarnation: int
