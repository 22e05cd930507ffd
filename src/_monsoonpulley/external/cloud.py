"""The platform's cloud API: instances to order, and reclaim notices."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import ServiceId, VersionId, ZoneId


class ReclaimNotice(msgspec.Struct, frozen=True):
    """An instance will be taken back at ``deadline_wall_ms`` (Unix epoch)."""

    instance: str
    deadline_wall_ms: int


class InstanceSpec(msgspec.Struct, frozen=True):
    """What instance to start."""

    zone: ZoneId
    machine_class: str
    reclaimable: bool
    service: ServiceId
    version: VersionId


class Price(msgspec.Struct, frozen=True):
    """Price of a machine class in a zone, in 1/1000 of the currency an hour."""

    zone: ZoneId
    machine_class: str
    reclaimable: bool
    milli_per_h: int


class Cloud(Protocol):
    """Instances by order; starts can be refused."""

    async def notices(self) -> tuple[ReclaimNotice, ...] | Failure:
        """Return the reclaim notices that are in force."""
        ...

    async def start(self, token: str, spec: InstanceSpec) -> str | Failure:
        """Start an instance and return its name; same token, same instance."""
        ...

    async def stop(self, instance: str) -> Failure | None:
        """Stop an instance; stopping a stopped one succeeds."""
        ...

    async def prices(self) -> tuple[Price, ...] | Failure:
        """Return the prices of now."""
        ...
