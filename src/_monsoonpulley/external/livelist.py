"""Interface to the platform's list of instances, which lags behind their state."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import ServiceId, VersionId, ZoneId


class Role(Enum):
    """Kind of an instance."""

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
        Data centre it is in.
    address : str
        ``ip:port`` of its HTTP interface.
    peer_address : str
        For entry instances, the ``pynng`` address, such as
        ``tcp://127.0.0.1:7101``; else empty.
    service, version : ServiceId, VersionId
        For endpoints, the service and version that it runs; else empty.
    machine_class : str
        The platform's name for its size.
    reclaimable : bool
        Whether the platform may reclaim it at short notice.
    state : MemberState
        State that the platform last observed.
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
    """Service from which instances first discover each other.

    Attributes
    ----------
    refused_count : int
        Entries of the last list that can't be used.
    """

    refused_count: int

    async def members(self) -> tuple[Member, ...] | Failure:
        """Return the list, which may be some tens of seconds out of date."""
        ...
