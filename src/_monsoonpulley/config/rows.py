"""Keys and values of the table rows that hold the configuration."""

from __future__ import annotations

import msgspec

from ..errors import MALFORMED_ERRORS, Failure, Reason
from ..external.table import Row
from .document import Revision

HEAD_KEY = "config/head"
HISTORY_PREFIX = "config/history/"
NUMBER_DIGITS = 12


def history_key(number: int) -> str:
    """Return the key of a revision; keys sort by number."""
    return f"{HISTORY_PREFIX}{number:0{NUMBER_DIGITS}d}"


def number_from_key(key: str) -> int:
    """Return the number in a history key."""
    return int(key.removeprefix(HISTORY_PREFIX))


class _Token(msgspec.Struct):
    change_token: str


def read_change_token(row: Row) -> str:
    """Return the change token in a row without decoding its document."""
    try:
        return msgspec.json.decode(row.value, type=_Token).change_token
    except MALFORMED_ERRORS:
        return ""


def encode_revision(revision: Revision) -> bytes:
    """Return the row value of a revision."""
    return msgspec.json.encode(revision)


def decode_revision(row: Row | None) -> Revision | Failure | None:
    """Return the revision in a row, or ``None`` for a missing row."""
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=Revision)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.PROTOCOL, "config.decode", "table", f"{row.key}: {error}")
