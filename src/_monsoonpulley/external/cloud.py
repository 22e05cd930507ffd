"""Interface to the platform's cloud: instances, reclaim notices and prices."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import ServiceId, VersionId, ZoneId


class ReclaimNotice(msgspec.Struct, frozen=True):
    """Notice that an instance is reclaimed at ``deadline_wall_ms`` (Unix epoch)."""

    instance: str
    deadline_wall_ms: int


class InstanceSpec(msgspec.Struct, frozen=True):
    """Description of an instance to start."""

    zone: ZoneId
    machine_class: str
    reclaimable: bool
    service: ServiceId
    version: VersionId


class Price(msgspec.Struct, frozen=True):
    """Price of a machine class in a zone, in 1/1000 of the currency unit per hour."""

    zone: ZoneId
    machine_class: str
    reclaimable: bool
    milli_per_h: int


class Cloud(Protocol):
    """Service that starts and stops instances; it may refuse to start one."""

    async def notices(self) -> tuple[ReclaimNotice, ...] | Failure:
        """Return the reclaim notices in force."""
        ...

    async def start(self, token: str, spec: InstanceSpec) -> str | Failure:
        """Start an instance and return its name; idempotent by ``token``."""
        ...

    async def stop(self, instance: str) -> Failure | None:
        """Stop an instance; stopping a stopped one succeeds."""
        ...

    async def prices(self) -> tuple[Price, ...] | Failure:
        """Return the current prices."""
        ...
