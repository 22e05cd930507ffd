"""The state of a generation that lets any instance continue it."""

from __future__ import annotations

from typing import Any

import msgspec

from ..endpoints.engine import Finished
from ..errors import MALFORMED_ERRORS, Failure, Reason
from ..ids import ClassId, CustomerId, RequestId

OBJECT_PREFIX = "streams/"


class StreamState(msgspec.Struct, frozen=True, kw_only=True):
    """A generation between two connections of its caller.

    Attributes
    ----------
    path : str
        Path of the request, which also names the format of its events.
    body : dict
        The caller's JSON body.
    created_s : int
        Creation time in Unix epoch seconds, as written in each event.
    texts : tuple of str
        Text of each token so far; the index is the token's offset.
    attempts : int
        Number of attempts so far; later attempts get higher numbers.
    finished : Finished or None
        The end of the generation, if it has ended.
    is_stored : bool
        Whether the object store may hold it.
    expires_wall_ms : int
        Time until which it can be continued, in Unix epoch milliseconds.
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
        """Return the size of its stored form, which approximates its memory."""
        return len(encode_state(self))


_decoder = msgspec.msgpack.Decoder(StreamState)


def object_name(request_id: RequestId) -> str:
    """Return the name of a stream's object in the object store."""
    return f"{OBJECT_PREFIX}{request_id}"


def encode_state(state: StreamState) -> bytes:
    """Return a state as the bytes of its object."""
    return msgspec.msgpack.encode(state)


def decode_state(data: bytes) -> StreamState | Failure:
    """Return the state that an object's bytes hold."""
    try:
        return _decoder.decode(data)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.INTERNAL, "streams.decode", "platform", str(error))
