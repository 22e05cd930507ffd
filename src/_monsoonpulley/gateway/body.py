"""Reading request bodies within limits of size and time."""

from __future__ import annotations

import asyncio

from starlette.requests import ClientDisconnect, Request

from ..errors import Failure, Reason

BODY_TIMEOUT_MS = 30_000
"""Longest time a caller may take to send a body."""

STEP = "gateway.body"


async def read_body(request: Request, max_bytes: int) -> bytes | Failure:
    """Return the whole body, or why it can't be taken."""
    declared = request.headers.get("content-length", "")
    if declared.isdigit() and int(declared) > max_bytes:
        return _too_large(max_bytes)
    try:
        async with asyncio.timeout(BODY_TIMEOUT_MS / 1000):
            return await _collect(request, max_bytes)
    except TimeoutError:
        detail = f"the body did not arrive within {BODY_TIMEOUT_MS} ms"
        return Failure(Reason.TIMEOUT, STEP, "", detail)
    except ClientDisconnect:
        return Failure(Reason.CANCELLED, STEP, "", "the caller went away")


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
    detail = f"the body is larger than the class's {max_bytes} bytes"
    return Failure(Reason.BODY_TOO_LARGE, STEP, "", detail)
