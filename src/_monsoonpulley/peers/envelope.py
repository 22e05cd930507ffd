"""Seals messages between entry instances and opens them.

A sealed message is one byte of format version, a truncated HMAC-SHA-256 over the
rest and that byte, and a MessagePack array of sender, incarnation, sequence
number, time and message. Nothing is decoded before its HMAC was found right.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from enum import Enum

import msgspec

from ..ids import InstanceId
from .digest import Message, Number

FORMAT_VERSION = 1
MAC_BYTES = 16
HEADER_BYTES = 1 + MAC_BYTES
MAX_MESSAGE_BYTES = 1_048_576
MAX_MESSAGE_AGE_MS = 30_000


class Rejection(Enum):
    """Why a message was dropped."""

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
        Who sent it, in which of its lives.
    seq : int
        Rises with each message of an incarnation.
    sent_wall_ms : int
        When, by the sender's wall clock.
    message : Message
        What it says.
    """

    sender: InstanceId
    incarnation: Number
    seq: Number
    sent_wall_ms: Number
    message: Message


class Sealer:
    """Seals and opens messages with one key.

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
        """Return the bytes of a message."""
        version = bytes((FORMAT_VERSION,))
        payload = self._encoder.encode(envelope)
        return version + self._mac(version, payload) + payload

    def open(self, data: bytes, wall_ms: int) -> Envelope | Rejection:
        """Return the message in ``data``, or why it can't be trusted."""
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
        except (msgspec.DecodeError, UnicodeDecodeError):
            return Rejection.GARBAGE
        if abs(wall_ms - envelope.sent_wall_ms) > MAX_MESSAGE_AGE_MS:
            return Rejection.STALE
        return envelope

    def _mac(self, version: bytes, payload: bytes) -> bytes:
        digest = hmac.digest(self._key, version + payload, hashlib.sha256)
        return digest[:MAC_BYTES]


class SequenceGuard:
    """Lets each message pass once, and none of an older incarnation."""

    def __init__(self) -> None:
        self._last_by_sender: dict[InstanceId, tuple[int, int]] = {}
        self.rejected: Counter[Rejection] = Counter()

    def check(self, envelope: Envelope) -> Rejection | None:
        """Return why the message is dropped, ``None`` to let it pass."""
        last = self._last_by_sender.get(envelope.sender)
        key = (envelope.incarnation, envelope.seq)
        if last is not None and key <= last:
            is_older = envelope.incarnation < last[0]
            return Rejection.OLD_INCARNATION if is_older else Rejection.REPLAYED
        self._last_by_sender[envelope.sender] = key
        return None

    def remove(self, instance: InstanceId) -> None:
        """Forget an instance that is gone for long."""
        self._last_by_sender.pop(instance, None)
