"""Headers that pass between callers and endpoints."""

from __future__ import annotations

import re
from collections.abc import Iterable

Headers = tuple[tuple[str, str], ...]

_CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the end-to-end headers, with names in lower case.

    Headers of the connection are dropped, also those that ``Connection`` names.
    """
    lowered = [(name.lower(), value) for name, value in headers]
    dropped = set(_CONNECTION_HEADERS)
    for name, value in lowered:
        if name == "connection":
            dropped.update(option.strip().lower() for option in value.split(","))
    return tuple(pair for pair in lowered if pair[0] not in dropped)


def is_sendable(method: str, headers: Headers) -> bool:
    """Return whether the method and headers are valid HTTP; ``CONNECT`` is not sent."""
    if not _TOKEN.fullmatch(method) or method == "CONNECT":
        return False
    return all(
        _TOKEN.fullmatch(name) and _VALUE.fullmatch(value) for name, value in headers
    )
