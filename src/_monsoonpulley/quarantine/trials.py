"""Trials of refused requests, which all instances together send once.

Before an instance sends a refused request in spite of its entry, it writes so to the
entry's trial row, on condition of the row as it read it. So a trial is sent once,
however often instances start, and whichever of them finds itself responsible.
"""

from __future__ import annotations

import msgspec

from ..errors import MALFORMED_ERRORS, Failure, Reason, describe_error
from ..ids import WireCount
from .evidence import Entry

TRIAL_TABLE = "quarantine-trials"
"""Rows under the keys of the entries' rows."""


class TrialClaim(msgspec.Struct, frozen=True):
    """What an instance wants to try.

    Attributes
    ----------
    entry : Entry
        The entry that refuses the request.
    versions : frozenset of str
        Versions of all endpoints that may get it.
    is_of_new_versions : bool
        Whether the reason is that none of the versions has crashed.
    name : str
        Unique; tells whether a write whose answer was lost took effect.
    """

    entry: Entry
    versions: frozenset[str]
    is_of_new_versions: bool
    name: str


class TrialRow(msgspec.Struct, frozen=True):
    """What was tried of an entry, as stored.

    Attributes
    ----------
    since_wall_ms : int
        Time of the decision on the entry, which tells it from a later one.
    versions : tuple of str
        Versions whose endpoints may have got a trial.
    claim : str
        Name of the last claim that was granted.
    """

    since_wall_ms: WireCount
    versions: tuple[str, ...]
    claim: str

    def allows(self, claim: TrialClaim) -> bool:
        """Return whether one more trial may be sent."""
        if self.since_wall_ms < claim.entry.since_wall_ms:
            return True
        return claim.is_of_new_versions and claim.versions.isdisjoint(self.versions)


_decoder = msgspec.json.Decoder(TrialRow)


def decode_trial_row(key: str, value: bytes) -> TrialRow | Failure:
    """Return what a row holds, or a failure if it is invalid."""
    try:
        return _decoder.decode(value)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.INVALID, "trial.decode", key, describe_error(error))


def encode_claim(claim: TrialClaim, stored: TrialRow | None) -> bytes:
    """Return the row's value once a claim is granted."""
    versions = claim.versions
    if stored is not None and stored.since_wall_ms >= claim.entry.since_wall_ms:
        versions |= frozenset(stored.versions)
    row = TrialRow(claim.entry.since_wall_ms, tuple(sorted(versions)), claim.name)
    return msgspec.json.encode(row)
