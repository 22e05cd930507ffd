"""Identifiers, each of its own type so that they can't be confused."""

from __future__ import annotations

from typing import Annotated, NewType

import msgspec

CustomerId = NewType("CustomerId", str)
ClassId = NewType("ClassId", str)
ServiceId = NewType("ServiceId", str)
VersionId = NewType("VersionId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
"""A region: one or more data centres."""
InstanceId = NewType("InstanceId", str)
"""An entry instance, as the platform names it."""
EndpointId = NewType("EndpointId", str)
"""An endpoint: one instance of a model engine or of a plain service."""
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
"""One attempt of a request at one endpoint: ``request id`` + ``.`` + attempt number."""
IdempotencyKey = NewType("IdempotencyKey", str)
Fingerprint = NewType("Fingerprint", str)
"""Keyed hash of a request or of a part of prompts, with its kind in front."""

MAX_WIRE_COUNT = 2**53
"""Messages hold 64 bits; all writers of JSON represent numbers up to here exactly."""

WireCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_WIRE_COUNT)]
"""A count or wall time in a row, which is passed on to other instances. Messages have
plain numbers instead: one that is out of range must not make a whole digest invalid."""


def are_wire_counts(*numbers: int) -> bool:
    """Return whether numbers are in the range of `WireCount`."""
    return all(0 <= number <= MAX_WIRE_COUNT for number in numbers)


def attempt_id(request_id: RequestId, attempt: int) -> AttemptId:
    """Return the id of the given attempt of a request, counted from 1."""
    return AttemptId(f"{request_id}.{attempt}")
