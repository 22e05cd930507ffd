"""A request as a caller sent it."""

from __future__ import annotations

import msgspec

from .events import HeaderList


class RequestMessage(msgspec.Struct):
    """One complete request.

    Attributes
    ----------
    method, target : bytes
        Of the request line, unchanged.
    headers : HeaderList
        As received.
    fields : dict
        Lower-case name to value; of a repeated header, the first one.
    body : bytes
        Without its transfer coding.
    keeps_connection : bool
        Whether the caller may send another request on the connection.
    received_ms : int
        When its first byte was read.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    fields: dict[bytes, bytes]
    body: bytes
    is_keep_alive: bool
    received_ms: int
