"""Orders of roll-outs and what is said of them, decoded from their rows."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..errors import Failure, Reason
from ..ids import ServiceId, VersionId

ORDER_PREFIX = "rollout/"
"""Of the keys in the operators' table, and of those in the status table."""

STATUS_TABLE = "status"


class RolloutOrder(msgspec.Struct, frozen=True):
    """A service's traffic is to move to a version.

    Attributes
    ----------
    duration_ms : int
        From the order to its deadline.
    row_version : int
        Of the order's row; tells orders of the same version apart.
    """

    service: ServiceId
    version: VersionId
    duration_ms: int
    row_version: int


class RolloutStatus(Enum):
    """What operators read."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "rolled_back"


class _Order(msgspec.Struct):
    service: str
    # On the wire "to" is the version that takes over.
    to: str
    duration_s: float


class _Status(msgspec.Struct):
    to: str
    state: RolloutStatus


_order_decoder = msgspec.json.Decoder(_Order)
_status_decoder = msgspec.json.Decoder(_Status)


def rollout_key(service: ServiceId) -> str:
    """Return the key of a service's order and of its status."""
    return ORDER_PREFIX + service


def decode_order(value: bytes, row_version: int) -> RolloutOrder | Failure:
    """Return the order in a row's value, or why it can't be read."""
    try:
        order = _order_decoder.decode(value)
    except msgspec.MsgspecError as error:
        return Failure(Reason.INVALID, "rollout.decode", detail=str(error))
    return RolloutOrder(
        ServiceId(order.service),
        VersionId(order.to),
        round(order.duration_s * 1000),
        row_version,
    )


def encode_status(order: RolloutOrder, status: RolloutStatus) -> bytes:
    """Return the value of a status row."""
    return msgspec.json.encode(
        {"service": order.service, "to": order.version, "state": status.value}
    )


def decode_status(value: bytes) -> tuple[VersionId, RolloutStatus] | Failure:
    """Return version and status in a row's value, or why it can't be read."""
    try:
        status = _status_decoder.decode(value)
    except msgspec.MsgspecError as error:
        return Failure(Reason.INVALID, "rollout.status", detail=str(error))
    return VersionId(status.to), status.state
