"""Names and forwarding of headers, and the idempotency key."""

from __future__ import annotations

from collections.abc import Iterable

from ..errors import Failure, Reason
from ..ids import IdempotencyKey

REQUEST_ID_HEADER = "x-request-id"
CLASS_HEADER = "x-request-class"
OUTCOME_HEADER = "x-outcome"
IDEMPOTENCY_HEADER = "idempotency-key"
POSITION_HEADER = "last-event-id"

MAX_KEY_CHARS = 255

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to one connection only (RFC 9110, section 7.6.1)."""

OWN_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "host",
        "expect",
        "accept-encoding",
        REQUEST_ID_HEADER,
        "x-attempt-id",
        CLASS_HEADER,
        OUTCOME_HEADER,
    }
)
"""Request headers consumed here or set anew for the endpoint."""


def forwarded_request_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    """Return the request's headers for the endpoint, names in lower case."""
    decoded = [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in headers
    ]
    dropped = HOP_BY_HOP | OWN_HEADERS | _connection_headers(decoded)
    return tuple(item for item in decoded if item[0] not in dropped)


def forwarded_response_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the endpoint's headers for the caller."""
    kept = list(headers)
    dropped = HOP_BY_HOP | {"content-length", "date", "server"}
    dropped |= {REQUEST_ID_HEADER, CLASS_HEADER, OUTCOME_HEADER}
    dropped |= _connection_headers(kept)
    return [(name, value) for name, value in kept if name.lower() not in dropped]


def parse_idempotency_key(value: str | None) -> IdempotencyKey | Failure | None:
    """Return the key of an ``Idempotency-Key`` header, or ``None`` without one.

    The IETF draft specifies a quoted string (RFC 8941); a bare token is accepted
    as well, since many callers send one.
    """
    if value is None:
        return None
    key = value.strip()
    if key.startswith('"'):
        if len(key) < 2 or not key.endswith('"'):
            return _invalid_key("the closing quote is missing")
        key = key[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    if not key:
        return _invalid_key("it is empty")
    if len(key) > MAX_KEY_CHARS:
        return _invalid_key(f"it is longer than {MAX_KEY_CHARS} characters")
    if not key.isascii() or not key.isprintable():
        return _invalid_key("only printable ASCII characters are allowed")
    return IdempotencyKey(key)


def _connection_headers(headers: Iterable[tuple[str, str]]) -> set[str]:
    names: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            names.update(part.strip().lower() for part in value.split(","))
    return names


def _invalid_key(detail: str) -> Failure:
    return Failure(
        Reason.BAD_REQUEST,
        "gateway.headers",
        "",
        f"invalid Idempotency-Key header: {detail}",
    )
