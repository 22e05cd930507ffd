"""A request as received from a caller."""

from __future__ import annotations

import msgspec

from .events import HeaderList


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
    """

    method: bytes
    target: bytes
    headers: HeaderList
    fields: dict[bytes, bytes]
    body: bytes
    is_keep_alive: bool
    received_ms: int
