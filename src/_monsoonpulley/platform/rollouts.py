"""Roll-out orders and statuses, decoded from and encoded for their rows."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from ..errors import MALFORMED_ERRORS, Failure, Reason
from ..ids import ServiceId, VersionId

ORDER_PREFIX = "rollout/"
"""Prefix of keys in the operators' table and in the status table."""

STATUS_TABLE = "status"


class RolloutOrder(msgspec.Struct, frozen=True):
    """An order to move a service's traffic to a version.

    Attributes
    ----------
    duration_ms : int
        Time from the order to its deadline.
    row_version : int
        Version of the order's row; distinguishes orders of the same version.
    """

    service: ServiceId
    version: VersionId
    duration_ms: int
    row_version: int


class RolloutStatus(Enum):
    """Status of a roll-out, as operators read it."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "rolled_back"


MAX_ROLLOUT_S = 31_536_000
"""A year; times of any length can be computed with up to here."""


class _Order(msgspec.Struct):
    service: str
    # "to" is the version that is rolled out.
    to: str
    duration_s: Annotated[float, msgspec.Meta(le=MAX_ROLLOUT_S)]


class _Status(msgspec.Struct):
    to: str
    state: RolloutStatus


_order_decoder = msgspec.json.Decoder(_Order)
_status_decoder = msgspec.json.Decoder(_Status)


def rollout_key(service: ServiceId) -> str:
    """Return the key of the rows with a service's order and its status."""
    return ORDER_PREFIX + service


def decode_order(value: bytes, row_version: int) -> RolloutOrder | Failure:
    """Decode the order in a row's value; return a failure if it is invalid."""
    try:
        order = _order_decoder.decode(value)
        duration_ms = round(order.duration_s * 1000)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.INVALID, "rollout.decode", detail=str(error))
    return RolloutOrder(
        ServiceId(order.service),
        VersionId(order.to),
        duration_ms,
        row_version,
    )


def encode_status(order: RolloutOrder, status: RolloutStatus) -> bytes:
    """Return the value of a status row."""
    return msgspec.json.encode(
        {"service": order.service, "to": order.version, "state": status.value}
    )


def decode_status(value: bytes) -> tuple[VersionId, RolloutStatus] | Failure:
    """Decode version and status in a row's value; return a failure if invalid."""
    try:
        status = _status_decoder.decode(value)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.INVALID, "rollout.status", detail=str(error))
    return VersionId(status.to), status.state
