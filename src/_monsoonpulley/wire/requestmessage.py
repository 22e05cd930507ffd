"""A request as received from a caller."""

from __future__ import annotations

import msgspec

from .events import HeaderList


class Arrival(msgspec.Struct, frozen=True):
    """How a request arrived on its connection.

    Attributes
    ----------
    connection_age_ms : int
        Age of the connection when the request's first byte was read.
    earlier_requests : int
        Requests that the connection carried before.
    idle_ms : int or None
        Time from the end of the answer before to the request's first byte; None for
        the first request, 0 if it was sent before that answer ended.
    receive_ms : int
        Time from the request's first byte to its last.
    """

    connection_age_ms: int = 0
    earlier_requests: int = 0
    idle_ms: int | None = None
    receive_ms: int = 0


class RequestMessage(msgspec.Struct):
    """One complete request.

    Attributes
    ----------
    method, target : bytes
        Method and target of the request line, unchanged.
    headers : HeaderList
        Headers as received.
    fields : dict
        Value by lower-case name; of a repeated header, the first one.
    body : bytes
        Body without its transfer coding.
    is_keep_alive : bool
        Whether the caller may send another request on the connection.
    received_ms : int
        Monotonic time at which its first byte was read.
    arrival : Arrival
        How it arrived.
    held_bytes : int
        Memory that it takes.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    fields: dict[bytes, bytes]
    body: bytes
    is_keep_alive: bool
    received_ms: int
    arrival: Arrival = Arrival()
    held_bytes: int = 0
