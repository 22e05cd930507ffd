"""The platform's list of live and leaving instances, which lags."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import ServiceId, VersionId, ZoneId


class Role(Enum):
    """What an instance does."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class MemberState(Enum):
    """Whether an instance may get new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Member(msgspec.Struct, frozen=True):
    """One instance on the list.

    Attributes
    ----------
    instance : str
        The platform's name for the instance.
    role : Role
        Entry instance or endpoint.
    zone : ZoneId
        Data centre it stands in.
    address : str
        ``ip:port`` of its HTTP interface.
    peer_address : str
        For entry instances, the ``pynng`` address, such as
        ``tcp://127.0.0.1:7101``; else empty.
    service, version : ServiceId, VersionId
        For endpoints, what it runs; else empty.
    machine_class : str
        The platform's name for its size.
    reclaimable : bool
        Whether the platform may take it back on short notice.
    state : MemberState
        As the platform last saw it.
    """

    instance: str
    role: Role
    zone: ZoneId
    address: str
    peer_address: str = ""
    service: ServiceId = ServiceId("")
    version: VersionId = VersionId("")
    machine_class: str = ""
    reclaimable: bool = True
    state: MemberState = MemberState.LIVE


class LiveList(Protocol):
    """Where instances learn of each other at first."""

    async def members(self) -> tuple[Member, ...] | Failure:
        """Return the list as it was up to some tens of seconds ago."""
        ...
