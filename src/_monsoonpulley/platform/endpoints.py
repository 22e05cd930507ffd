"""Decoding of endpoints from the rows that describe them."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..addresses import MAX_TEXT_CHARS, parse_address
from ..errors import MALFORMED_ERRORS, Failure, Reason, describe_error
from ..fleet.model import Endpoint
from ..ids import MAX_WIRE_COUNT, EndpointId, ServiceId, VersionId, WireCount, ZoneId

READY = "ready"
DRAINING = "draining"


MAX_SLOTS = 1_000_000
"""More requests than one process has connections."""

_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
_Duration = Annotated[float, msgspec.Meta(ge=-MAX_WIRE_COUNT, le=MAX_WIRE_COUNT)]


class _Server(msgspec.Struct):
    """A row of the table of endpoints, which the platform calls servers."""

    service: _Text
    address: _Text
    zone: _Text
    state: str
    version: _Text = ""
    slots: _Slots = 1
    use_spot: bool = False
    leaves_ms: _Duration | None = None
    born: WireCount | None = None
    cold_remaining_ms: _Duration | None = None


_decoder = msgspec.json.Decoder(_Server)


def decode_endpoint(key: str, value: bytes) -> Endpoint | Failure:
    """Return the endpoint that a row describes, or a failure if it is invalid."""
    try:
        # As text, since unknown fields are not checked for valid UTF-8 otherwise.
        server = _decoder.decode(value.decode())
    except MALFORMED_ERRORS as error:
        return _failure(key, describe_error(error))
    if server.state not in (READY, DRAINING):
        return _failure(key, f"unknown state {server.state[:MAX_TEXT_CHARS]!r}")
    address = parse_address(server.address)
    if address is None:
        return _failure(key, f"no address IP:PORT: {server.address!r}")
    ip, port = address
    leaves_ms, cold_ms = server.leaves_ms, server.cold_remaining_ms
    return Endpoint(
        id=EndpointId(key),
        started_wall_ms=server.born,
        service=ServiceId(server.service),
        ip=ip,
        port=port,
        zone=ZoneId(server.zone),
        version=VersionId(server.version),
        slots=max(1, server.slots),
        is_draining=server.state == DRAINING,
        # On the wire "use_spot" says that the machine may be reclaimed.
        is_reclaimable=server.use_spot,
        leaves_in_ms=None if leaves_ms is None else round(leaves_ms),
        cold_for_ms=None if cold_ms is None else max(0, round(cold_ms)),
    )


def _failure(key: str, detail: str) -> Failure:
    return Failure(Reason.INVALID, "endpoint.decode", key, detail)
