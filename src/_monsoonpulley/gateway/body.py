"""Reading of request bodies with size and time limits."""

from __future__ import annotations

import asyncio

from starlette.requests import ClientDisconnect, Request

from ..errors import Failure, Reason

BODY_TIMEOUT_MS = 30_000
"""Time within which a caller must have sent the whole body."""

STEP = "gateway.body"


async def read_body(request: Request, max_bytes: int) -> bytes | Failure:
    """Return the whole body, or a failure if it is too large, late or incomplete."""
    declared = request.headers.get("content-length", "")
    if declared.isdigit() and int(declared) > max_bytes:
        return _too_large(max_bytes)
    try:
        async with asyncio.timeout(BODY_TIMEOUT_MS / 1000):
            return await _collect(request, max_bytes)
    except TimeoutError:
        detail = f"the request body did not arrive within {BODY_TIMEOUT_MS} ms"
        return Failure(Reason.TIMEOUT, STEP, "", detail)
    except ClientDisconnect:
        return Failure(
            Reason.CANCELLED, STEP, "", "the caller disconnected while sending the body"
        )


async def _collect(request: Request, max_bytes: int) -> bytes | Failure:
    parts: list[bytes] = []
    size_bytes = 0
    async for part in request.stream():
        size_bytes += len(part)
        if size_bytes > max_bytes:
            return _too_large(max_bytes)
        parts.append(part)
    return b"".join(parts)


def _too_large(max_bytes: int) -> Failure:
    detail = f"the request body exceeds the limit of {max_bytes} bytes"
    return Failure(Reason.BODY_TOO_LARGE, STEP, "", detail)
