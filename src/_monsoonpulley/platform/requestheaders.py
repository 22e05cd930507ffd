"""Request headers: read from callers and written for endpoints."""

from __future__ import annotations

import hashlib

import msgspec

from ..ids import CustomerId, EndpointId
from ..placing.promptcacheindex import PromptPart
from ..wire.requestmessage import RequestMessage
from . import names

_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Headers that apply to one connection only; the length is written anew."""

_DROPPED_HEADERS = _CONNECTION_HEADERS | names.STRIPPED_REQUEST_HEADERS

_PEER_DROPPED_HEADERS = _CONNECTION_HEADERS | {
    names.DEADLINE.lower(),
    names.PEER_SENDS.lower(),
}
"""Other headers of the caller are left to the other instance."""

_REQUEST_ID = names.REQUEST_ID.lower()
_DEADLINE = names.DEADLINE.lower()
_TOKEN_COUNTS = names.TOKEN_COUNTS.lower()
_PROMPT_PREFIX = names.PROMPT_PREFIX.lower()
_LENGTH_HINT = names.LENGTH_HINT.lower()
_LAST_EVENT_ID = names.LAST_EVENT_ID.lower()
_PEER_SENDS = names.PEER_SENDS.lower()

MAX_COUNT_DIGITS = 15
MAX_WHOLE_NUMBER = 2**53
"""Numbers up to here are exact in all arithmetic; larger ones are no counts."""

MAX_PART_ID_BYTES = 64
"""Several times the length of the users' ids of parts. Thousands of ids are remembered,
long after their requests: of longer ones, the hash."""

PART_HASH_BYTES = 16

REQUEST_ID_FIELD = _REQUEST_ID
"""Lower-case name of the header in which endpoints return the request's id."""


class RequestFacts(msgspec.Struct, frozen=True):
    """Values read from a caller's headers.

    Attributes
    ----------
    request_id : bytes
        The request's id, empty if there is none.
    host : str
        Host header in lower case, without a port.
    path : bytes
        Path of the target, without the query.
    api_key : str
        The customer's key, empty if there is none.
    timeout_ms : int or None
        How long the caller waits, counted from sending; None if not given.
    prompt_tokens : int
        Length of the prompt, 0 if not given.
    max_output_tokens : int or None
        Maximum number of tokens to generate; None if not given.
    parts : tuple of PromptPart
        Parts of the prompt, in order.
    last_event_id : bytes or None
        Id of the last event received, after which a stream resumes.
    output_tokens_hint : int or None
        The caller's estimate of the tokens to generate; None if not given.
    """

    request_id: bytes
    host: str
    path: bytes
    api_key: str
    timeout_ms: int | None
    prompt_tokens: int
    max_output_tokens: int | None
    parts: tuple[PromptPart, ...]
    last_event_id: bytes | None
    output_tokens_hint: int | None = None

    @property
    def held_tokens(self) -> int:
        """Tokens of an engine's memory that the request presumably holds at its end."""
        output_tokens = self.output_tokens_hint
        if output_tokens is None:
            output_tokens = self.max_output_tokens or 0
        return self.prompt_tokens + output_tokens


def parse_request_headers(request: RequestMessage) -> RequestFacts:
    """Return the values in a request's headers; malformed ones count as missing."""
    fields = request.fields
    host = fields.get(b"host", b"").decode("latin-1").lower()
    prompt_tokens, max_output_tokens = _parse_token_counts(fields.get(_TOKEN_COUNTS))
    return RequestFacts(
        request_id=fields.get(_REQUEST_ID, b"").strip(),
        host=host.rsplit(":", 1)[0] if ":" in host else host,
        path=request.target.partition(b"?")[0],
        api_key=_parse_bearer_key(fields.get(b"authorization", b"")),
        timeout_ms=_parse_whole_number(fields.get(_DEADLINE)),
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        parts=_parse_prompt_parts(fields.get(_PROMPT_PREFIX)),
        last_event_id=fields.get(_LAST_EVENT_ID),
        output_tokens_hint=_parse_whole_number(fields.get(_LENGTH_HINT)),
    )


def encode_endpoint_request(
    request: RequestMessage,
    *,
    endpoint_id: EndpointId,
    customer_id: CustomerId | None,
    remaining_ms: int,
    rank: int,
    last_event_id: bytes | None = None,
) -> bytes:
    """Return a caller's request encoded for an endpoint.

    Parameters
    ----------
    request : RequestMessage
        The caller's request; its method, target and body are forwarded unchanged.
    endpoint_id : EndpointId
        The only endpoint that may run it.
    customer_id : CustomerId or None
        Customer that the caller's key belongs to.
    remaining_ms : int
        Time within which the endpoint has to finish.
    rank : int
        The request's priority at the endpoint; 0 is the most urgent.
    last_event_id : bytes or None
        Last event that the caller received, for a stream that resumes; None
        forwards the caller's own header.
    """
    lines = _forwarded_lines(request, _DROPPED_HEADERS, last_event_id)
    lines.append(b"%s: %d" % (names.DEADLINE, remaining_ms))
    lines.append(b"%s: %d" % (names.URGENCY, min(rank, names.MAX_URGENCY)))
    lines.append(b"%s: %s" % (names.EXPECT_INSTANCE, endpoint_id.encode()))
    if customer_id is not None:
        lines.append(b"%s: %s" % (names.TENANT, customer_id.encode()))
    return _with_body(lines, request)


def encode_peer_request(
    request: RequestMessage,
    *,
    remaining_ms: int,
    send_count: int,
    last_event_id: bytes | None = None,
) -> bytes:
    """Return a caller's request encoded for another instance.

    The other instance authenticates the customer as if the caller had connected to it.

    Parameters
    ----------
    request : RequestMessage
        The caller's request.
    remaining_ms : int
        Time until the final answer is due.
    send_count : int
        How often it was sent to endpoints before.
    last_event_id : bytes or None
        See `encode_endpoint_request`.
    """
    lines = _forwarded_lines(request, _PEER_DROPPED_HEADERS, last_event_id)
    lines.append(b"%s: %d" % (names.DEADLINE, remaining_ms))
    lines.append(b"%s: %d" % (names.PEER_SENDS, send_count))
    return _with_body(lines, request)


def read_send_count(request: RequestMessage) -> int:
    """Return how often another instance sent the request to endpoints before."""
    return _parse_whole_number(request.fields.get(_PEER_SENDS)) or 0


def _forwarded_lines(
    request: RequestMessage, dropped: frozenset[bytes], last_event_id: bytes | None
) -> list[bytes]:
    """Return the request line and the headers to forward, with the last event's id."""
    dropped = dropped | _connection_listed_names(request.fields.get(b"connection"))
    if last_event_id is not None:
        dropped = dropped | {_LAST_EVENT_ID}
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [
        b"%s: %s" % (n, v) for n, v in request.headers if n.lower() not in dropped
    ]
    if last_event_id is not None:
        lines.append(b"%s: %s" % (names.LAST_EVENT_ID, last_event_id))
    return lines


def _with_body(lines: list[bytes], request: RequestMessage) -> bytes:
    has_body_header = {b"content-length", b"transfer-encoding"} & request.fields.keys()
    if request.body or has_body_header:
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def _connection_listed_names(connection: bytes | None) -> frozenset[bytes]:
    if connection is None:
        return frozenset()
    listed = (token.strip().lower() for token in connection.split(b","))
    # Callers must not remove headers that the system's guarantees depend on.
    return frozenset(listed) - {_REQUEST_ID, b"host", b"authorization"}


def _parse_bearer_key(authorization: bytes) -> str:
    scheme, _, key = authorization.partition(b" ")
    if scheme.lower() != b"bearer":
        return ""
    return key.strip().decode("latin-1")


def _parse_whole_number(value: bytes | None) -> int | None:
    if value is None:
        return None
    try:
        return max(0, int(min(float(value), MAX_WHOLE_NUMBER)))
    except (ValueError, OverflowError):
        return None


def _is_count(text: bytes) -> bool:
    return text.isdigit() and len(text) <= MAX_COUNT_DIGITS


def _parse_token_counts(value: bytes | None) -> tuple[int, int | None]:
    if value is None:
        return 0, None
    prompt, _, output = value.partition(b",")
    if not (_is_count(prompt.strip()) and _is_count(output.strip())):
        return 0, None
    return int(prompt), int(output)


def _parse_prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for entry in value.split(b","):
        part_id, _, tokens = entry.strip().partition(b":")
        if not part_id or not _is_count(tokens):
            return ()
        parts.append(PromptPart(_internal_part_id(part_id), int(tokens)))
    return tuple(parts)


def _internal_part_id(part_id: bytes) -> str:
    """Return the id under which a part is compared, the same on all instances."""
    if len(part_id) <= MAX_PART_ID_BYTES:
        return part_id.decode("latin-1")
    return hashlib.blake2b(part_id, digest_size=PART_HASH_BYTES).hexdigest()
