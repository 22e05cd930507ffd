"""What must be kept of a generation so that it can go on anywhere."""

from __future__ import annotations

from typing import Any

import msgspec

from ..endpoints.engine import Finished
from ..errors import Failure, Reason
from ..ids import ClassId, CustomerId, RequestId

OBJECT_PREFIX = "streams/"


class StreamState(msgspec.Struct, frozen=True, kw_only=True):
    """A generation between two of its callers' connections.

    Attributes
    ----------
    path : str
        Path of the request, which also names the format of its events.
    body : dict
        The caller's JSON body.
    created_s : int
        Seconds since the Unix epoch, as written in each event.
    texts : tuple of str
        Text of each token so far; the index is the token's offset.
    attempts : int
        Attempts so far, so that ids of later ones differ.
    finished : Finished or None
        How the generation ended, if it has.
    is_stored : bool
        Whether the object store may have it.
    expires_wall_ms : int
        Until when it may be continued, in Unix epoch milliseconds.
    """

    request_id: RequestId
    customer: CustomerId
    class_id: ClassId
    path: str
    body: dict[str, Any]
    created_s: int
    texts: tuple[str, ...]
    attempts: int
    finished: Finished | None = None
    is_stored: bool = False
    expires_wall_ms: int = 0

    @property
    def next_offset(self) -> int:
        """Offset of the next token."""
        return len(self.texts)

    def size_bytes(self) -> int:
        """Return about how much memory it takes."""
        return len(encode_state(self))


_decoder = msgspec.msgpack.Decoder(StreamState)


def object_name(request_id: RequestId) -> str:
    """Return the name under which the object store has a stream."""
    return f"{OBJECT_PREFIX}{request_id}"


def encode_state(state: StreamState) -> bytes:
    """Return the bytes that are stored."""
    return msgspec.msgpack.encode(state)


def decode_state(data: bytes) -> StreamState | Failure:
    """Return the state in stored bytes."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        return Failure(Reason.INTERNAL, "streams.decode", "platform", str(error))
