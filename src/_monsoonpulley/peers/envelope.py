"""Authenticates the messages between entry instances.

A sealed message consists of a byte with the format version, a truncated HMAC-SHA-256
over this byte and the payload, and the payload: a MessagePack array of sender,
incarnation, sequence number, time and message. The payload is decoded only after its
HMAC has been verified.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from enum import Enum
from typing import NamedTuple

import msgspec

from ..errors import MALFORMED_ERRORS
from ..ids import InstanceId
from .digest import Message, Number

FORMAT_VERSION = 1
MAC_BYTES = 16
HEADER_BYTES = 1 + MAC_BYTES
MAX_MESSAGE_BYTES = 1_048_576
MAX_MESSAGE_AGE_MS = 30_000


class Rejection(Enum):
    """Reason for which a message was dropped."""

    TOO_LARGE = "too_large"
    UNKNOWN_VERSION = "unknown_version"
    WRONG_KEY = "wrong_key"
    GARBAGE = "garbage"
    OWN = "own"
    STALE = "stale"
    OLD_INCARNATION = "old_incarnation"
    REPLAYED = "replayed"


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes
    ----------
    sender, incarnation : InstanceId, int
        The sending entry instance and its incarnation.
    seq : int
        Increases with each message of an incarnation.
    sent_wall_ms : int
        Time of sending by the sender's wall clock.
    message : Message
        The content.
    """

    sender: InstanceId
    incarnation: Number
    seq: Number
    sent_wall_ms: Number
    message: Message


class Sealer:
    """Seals and opens messages with a shared key.

    Parameters
    ----------
    key : str
        Shared by all entry instances.
    """

    def __init__(self, key: str):
        self._key = key.encode()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def seal(self, envelope: Envelope) -> bytes:
        """Return the sealed bytes of a message."""
        version = bytes((FORMAT_VERSION,))
        payload = self._encoder.encode(envelope)
        return version + self._mac(version, payload) + payload

    def open(self, data: bytes, wall_ms: int) -> Envelope | Rejection:
        """Return the message in ``data``, or the reason for rejecting it."""
        if len(data) > MAX_MESSAGE_BYTES:
            return Rejection.TOO_LARGE
        if len(data) <= HEADER_BYTES:
            return Rejection.GARBAGE
        version, mac, payload = data[:1], data[1:HEADER_BYTES], data[HEADER_BYTES:]
        if version[0] != FORMAT_VERSION:
            return Rejection.UNKNOWN_VERSION
        if not hmac.compare_digest(mac, self._mac(version, payload)):
            return Rejection.WRONG_KEY
        try:
            envelope = self._decoder.decode(payload)
        except MALFORMED_ERRORS:
            return Rejection.GARBAGE
        if abs(wall_ms - envelope.sent_wall_ms) > MAX_MESSAGE_AGE_MS:
            return Rejection.STALE
        return envelope

    def _mac(self, version: bytes, payload: bytes) -> bytes:
        digest = hmac.digest(self._key, version + payload, hashlib.sha256)
        return digest[:MAC_BYTES]


class _LastMessage(NamedTuple):
    """Newest accepted message of a sender, and the latest time that any has."""

    incarnation: int
    seq: int
    sent_wall_ms: int


class SequenceGuard:
    """Rejects repeated messages and those of older incarnations."""

    def __init__(self) -> None:
        self._last_by_sender: dict[InstanceId, _LastMessage] = {}
        self._expire_due_wall_ms = 0
        self.rejected: Counter[Rejection] = Counter()

    def __len__(self) -> int:
        """Return the number of senders whose state is kept."""
        return len(self._last_by_sender)

    def check(self, envelope: Envelope) -> Rejection | None:
        """Return the reason for dropping a message, None to accept it."""
        last = self._last_by_sender.get(envelope.sender)
        key = (envelope.incarnation, envelope.seq)
        if last is not None and key <= (last.incarnation, last.seq):
            is_older = envelope.incarnation < last.incarnation
            return Rejection.OLD_INCARNATION if is_older else Rejection.REPLAYED
        sent_wall_ms = envelope.sent_wall_ms
        if last is not None:
            # The sender's clock may have been set back.
            sent_wall_ms = max(sent_wall_ms, last.sent_wall_ms)
        self._last_by_sender[envelope.sender] = _LastMessage(*key, sent_wall_ms)
        return None

    def expire(self, wall_ms: int) -> None:
        """Remove the state of senders whose messages are all rejected by their age."""
        if wall_ms < self._expire_due_wall_ms:
            return
        self._expire_due_wall_ms = wall_ms + MAX_MESSAGE_AGE_MS
        self._last_by_sender = {
            sender: last
            for sender, last in self._last_by_sender.items()
            if wall_ms - last.sent_wall_ms <= MAX_MESSAGE_AGE_MS
        }
