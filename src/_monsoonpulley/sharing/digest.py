"""What instances tell each other."""

from __future__ import annotations

import msgspec

from ..control.verdict import Result
from ..errors import Failure, Reason
from ..fleet.relay import Relay
from ..rollouts.rollouts import Progress


class Digest(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """The state of one instance that matters to the others.

    Nothing here is needed to keep a promise: it only makes decisions better.

    Attributes
    ----------
    instance : str
        Name of the sender.
    incarnation : int
        Rises with each start of the sender.
    sequence : int
        Rises with each digest of one incarnation.
    ip, port : str, int
        Where the sender listens for digests.
    zone : str
        The sender's data centre.
    configuration : int
        Version in force, 0 for none.
    is_leaving : bool
        Whether the sender is stopping.
    reaches_store : bool
        Whether the store answered the sender's last calls.
    lease_token : int
        Fencing token of the duties' lease if the sender holds it, else 0.
    loads : dict
        For each endpoint, requests running and prompt tokens not yet read.
    used : dict
        What each customer has used here since the start.
    begun : dict
        Requests begun, by usage window and customer.
    rollouts : tuple of Progress
        How far orders of roll-outs have come, as the sender knows.
    results : tuple of Result
        Results of new versions since the sender's last digest to all.
    """

    instance: str
    incarnation: int
    sequence: int
    ip: str
    port: int
    zone: str = ""
    configuration: int = 0
    is_leaving: bool = False
    reaches_store: bool = True
    lease_token: int = 0
    loads: dict[str, tuple[int, int]] = {}
    used: dict[str, float] = {}
    begun: dict[int, dict[str, int]] = {}
    rollouts: tuple[Progress, ...] = ()
    results: tuple[Result, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Digest | Relay)


def encode_message(message: Digest | Relay) -> bytes:
    """Return the datagram for a message to another instance."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Digest | Relay | Failure:
    """Return the message in a datagram, or why it is none."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        return Failure(Reason.PROTOCOL, "message.decode", detail=str(error))
