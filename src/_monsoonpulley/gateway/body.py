"""Reading of request bodies with size and time limits."""

from __future__ import annotations

import asyncio

from starlette.requests import ClientDisconnect, Request

from ..errors import Failure, Reason
from .requestholding import RequestHolding, holding_of

BODY_TIMEOUT_MS = 30_000
"""Time within which a caller must have sent the whole body."""

STEP = "gateway.body"


async def read_body(request: Request, max_bytes: int) -> bytes | Failure:
    """Return the whole body, or a failure if it is too large, late or incomplete."""
    holding = holding_of(request)
    if holding.max_body_bytes is not None:
        max_bytes = min(max_bytes, holding.max_body_bytes)
    declared = request.headers.get("content-length", "")
    if declared.isdigit() and int(declared) > max_bytes:
        return too_large(max_bytes)
    try:
        async with asyncio.timeout(BODY_TIMEOUT_MS / 1000):
            return await _collect(request, holding, max_bytes)
    except TimeoutError:
        detail = f"the request body did not arrive within {BODY_TIMEOUT_MS} ms"
        return Failure(Reason.TIMEOUT, STEP, "", detail)
    except ClientDisconnect:
        return Failure(
            Reason.CANCELLED, STEP, "", "the caller disconnected while sending the body"
        )


async def _collect(
    request: Request, holding: RequestHolding, max_bytes: int
) -> bytes | Failure:
    body = bytearray()
    async for part in request.stream():
        if holding.refusal is not None:
            return holding.refusal
        if len(body) + len(part) > max_bytes:
            return too_large(max_bytes)
        body += part
    return bytes(body)


def no_room() -> Failure:
    """Return the failure of a request that is shed, and never runs."""
    detail = "callers hold too much together; send the request again"
    return Failure(Reason.OVERLOADED, STEP, "", detail)


def malformed() -> Failure:
    """Return the failure of a request whose body can't be read to its end."""
    detail = "the chunks or trailers of the request body are malformed or too large"
    return Failure(Reason.BAD_REQUEST, STEP, "", detail)


def too_large(max_bytes: int) -> Failure:
    """Return the failure of a request with a body over the limit."""
    detail = f"the request body exceeds the limit of {max_bytes} bytes"
    return Failure(Reason.BODY_TOO_LARGE, STEP, "", detail)
