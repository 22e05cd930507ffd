"""Fingerprints under which requests and parts of prompts are compared and logged.

They are keyed hashes: neither logs nor messages between instances contain prompts,
bodies or the ids of parts.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from ..ids import Fingerprint

DIGEST_BYTES = 8
"""Few fingerprints are compared at a time, so that 64 bits don't collide."""


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
        return self._digest("part", (part_id.encode(),))

    def _digest(self, kind: str, fields: Iterable[bytes]) -> Fingerprint:
        digest = hashlib.blake2b(
            digest_size=DIGEST_BYTES, key=self.key, person=kind.encode()
        )
        for field in fields:
            # The length separates the fields.
            digest.update(b"%d:" % len(field))
            digest.update(field)
        return Fingerprint(f"{kind}-{digest.hexdigest()}")
