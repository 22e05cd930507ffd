"""Fingerprints under which requests and parts of prompts are compared and logged.

They are keyed hashes: neither logs nor messages between instances contain prompts,
bodies or the ids of parts.
"""

from __future__ import annotations

import hashlib
from enum import Enum

from ..ids import Fingerprint

DIGEST_BYTES = 8
"""Few fingerprints are compared at a time, so that 64 bits don't collide."""


MAX_ROW_KEY_BYTES = 200
"""Limit of the store."""


class FingerprintKind(Enum):
    """What a fingerprint stands for; its value is the fingerprint's prefix."""

    PART = "part"
    """A part of prompts."""
    REQUEST = "request"
    """A request: what its repeats have in common."""


class Fingerprinter:
    """Computes fingerprints.

    Attributes
    ----------
    key : bytes
        Key of the hash, the same on all instances of a platform; at most 64 bytes.
    """

    def __init__(self, key: bytes = b""):
        self.key = key

    def of_part(self, part_id: str) -> Fingerprint:
        """Return the fingerprint of a part of prompts."""
        digest = self._digest(FingerprintKind.PART, part_id.encode())
        return Fingerprint(f"{FingerprintKind.PART.value}-{digest}")

    def of_request(self, outline: str, body: bytes) -> Fingerprint:
        """Return the fingerprint of a request.

        Parameters
        ----------
        outline : str
            Its outline.
        body : bytes
            Its body.
        """
        digest = self._digest(FingerprintKind.REQUEST, outline.encode(), body)
        return Fingerprint(f"{FingerprintKind.REQUEST.value}-{outline}-{digest}")

    def outline_of_request(self, *fields: bytes, body_bytes: int) -> str:
        """Return what can be told of a request's fingerprint without hashing its body.

        Parameters
        ----------
        *fields : bytes
            What its repeats share: method, path, customer and the like.
        body_bytes : int
            Size of its body.
        """
        return self._digest(FingerprintKind.REQUEST, *fields, b"%d" % body_bytes)

    def shorten(self, text: str) -> str:
        """Return a text if it may be a row's key, else its hash."""
        data = text.encode()
        if len(data) <= MAX_ROW_KEY_BYTES:
            return text
        return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()

    def _digest(self, kind: FingerprintKind, *fields: bytes) -> str:
        digest = hashlib.blake2b(
            digest_size=DIGEST_BYTES, key=self.key, person=kind.value.encode()
        )
        for field in fields:
            # The length separates the fields.
            digest.update(b"%d:" % len(field))
            digest.update(field)
        return digest.hexdigest()


def kind_of(fingerprint: Fingerprint) -> FingerprintKind | None:
    """Return what a fingerprint stands for, None if its kind is not known."""
    try:
        return FingerprintKind(fingerprint.partition("-")[0])
    except ValueError:
        return None


def outline_in(fingerprint: Fingerprint) -> str | None:
    """Return the outline in the fingerprint of a request, None for other kinds."""
    if kind_of(fingerprint) is not FingerprintKind.REQUEST:
        return None
    return fingerprint.split("-")[1]
