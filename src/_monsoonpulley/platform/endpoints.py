"""Decoding of endpoints from the rows that describe them."""

from __future__ import annotations

import msgspec

from ..errors import Failure, Reason
from ..fleet.model import Endpoint
from ..ids import EndpointId, ServiceId, VersionId, ZoneId
from .localsettings import Address

READY = "ready"
DRAINING = "draining"


class _Server(msgspec.Struct):
    """A row of the table of endpoints, which the platform calls servers."""

    service: str
    address: str
    zone: str
    state: str
    version: str = ""
    slots: int = 1
    use_spot: bool = False
    leaves_ms: float | None = None
    born: int | None = None
    cold_remaining_ms: float | None = None


_decoder = msgspec.json.Decoder(_Server)


def decode_endpoint(key: str, value: bytes) -> Endpoint | Failure:
    """Return the endpoint that a row describes, or a failure if it is invalid."""
    try:
        server = _decoder.decode(value)
        address = Address.parse(server.address)
    except (msgspec.MsgspecError, ValueError) as error:
        return Failure(Reason.INVALID, "endpoint.decode", key, str(error))
    if server.state not in (READY, DRAINING):
        return Failure(
            Reason.INVALID, "endpoint.decode", key, f"unknown state {server.state!r}"
        )
    leaves_ms, cold_ms = server.leaves_ms, server.cold_remaining_ms
    return Endpoint(
        id=EndpointId(key),
        started_wall_ms=server.born,
        service=ServiceId(server.service),
        ip=address.ip,
        port=address.port,
        zone=ZoneId(server.zone),
        version=VersionId(server.version),
        slots=max(1, server.slots),
        is_draining=server.state == DRAINING,
        # On the wire "use_spot" says that the machine may be reclaimed.
        is_reclaimable=server.use_spot,
        leaves_in_ms=None if leaves_ms is None else round(leaves_ms),
        cold_for_ms=None if cold_ms is None else max(0, round(cold_ms)),
    )
