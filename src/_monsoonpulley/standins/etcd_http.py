"""Handlers for the part of the etcd v3 JSON gateway that the adapter uses."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..errors import Failure, Reason
from ..external.bundle import Platform
from ..external.etcd_table import (
    KEY_SPACE_END,
    GatewayError,
    RangeRequest,
    TxnRequest,
)
from ..external.table import Committed, Row, Write

INVALID_ARGUMENT = 3
RESOURCE_EXHAUSTED = 8
UNAVAILABLE = 14
"""Codes of gRPC, as the gateway shows them."""


class EtcdHttp:
    """Ranges and transactions of the shape that the adapter sends.

    Conditions other than equal revisions of the written keys are refused.
    """

    def __init__(self, platform: Callable[[Request], Platform]):
        self._platform = platform

    async def range(self, request: Request) -> Response:
        """Handle ``POST /v3/kv/range``."""
        wanted = await _decode(request, RangeRequest)
        if isinstance(wanted, Failure):
            return _failed(wanted)
        table = self._platform(request).table
        if not wanted.range_end:
            row = await table.read(wanted.key.decode())
            rows = row if isinstance(row, Failure) else _present([row])
        else:
            rows = await _scan(table.scan, wanted)
        return _failed(rows) if isinstance(rows, Failure) else _json(_range(rows))

    async def txn(self, request: Request) -> Response:
        """Handle ``POST /v3/kv/txn``."""
        wanted = await _decode(request, TxnRequest)
        if isinstance(wanted, Failure):
            return _failed(wanted)
        writes = _writes(wanted)
        if isinstance(writes, Failure):
            return _failed(writes)
        result = await self._platform(request).table.commit(writes)
        if isinstance(result, Failure):
            return _failed(result)
        if isinstance(result, Committed):
            header = {"revision": str(result.revision)}
            return _json({"header": header, "succeeded": True})
        ranges = [_present([result.current.get(write.key)]) for write in writes]
        responses = [{"response_range": _range(rows)} for rows in ranges]
        return _json({"header": {"revision": "1"}, "responses": responses})


async def _scan(
    scan: Callable[..., Any], wanted: RangeRequest
) -> tuple[Row, ...] | Failure:
    """Answer a range by the scan of a prefix that contains it."""
    end = wanted.range_end
    prefix = b"" if end == KEY_SPACE_END else end[:-1] + bytes((end[-1] - 1,))
    start = wanted.key
    after = start[:-1] if start.endswith(b"\0") else b""
    if not after and start not in (prefix, b"\0"):
        return _invalid("only ranges of prefixes are supported")
    limit = int(wanted.limit) or 1_000_000
    return await scan(prefix.decode(), after=after.decode(), limit=limit)


def _writes(wanted: TxnRequest) -> tuple[Write, ...] | Failure:
    if len(wanted.compare) != len(wanted.success):
        return _invalid("each write needs one condition")
    writes: list[Write] = []
    for compare, operation in zip(wanted.compare, wanted.success, strict=True):
        put, delete = operation.request_put, operation.request_delete_range
        change = put or delete
        if change is None or change.key != compare.key:
            return _invalid("each write needs a condition on its own key")
        if (compare.target, compare.result) != ("MOD", "EQUAL"):
            return _invalid("only equal revisions are supported")
        value = None if put is None else put.value
        writes.append(Write(change.key.decode(), value, int(compare.mod_revision)))
    return tuple(writes)


async def _decode(request: Request, type_: Any) -> Any:
    try:
        return msgspec.json.decode(await request.body(), type=type_, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _invalid(str(error))


def _invalid(detail: str) -> Failure:
    return Failure(Reason.INVALID, "table", "platform", detail)


def _present(rows: Sequence[Row | None]) -> tuple[Row, ...]:
    return tuple(row for row in rows if row is not None)


def _range(rows: Sequence[Row]) -> dict[str, Any]:
    revision = max((row.revision for row in rows), default=1)
    answer: dict[str, Any] = {"header": {"revision": str(revision)}}
    if rows:
        answer["kvs"] = [_key_value(row) for row in rows]
        answer["count"] = str(len(rows))
    return answer


def _key_value(row: Row) -> dict[str, Any]:
    fields: dict[str, Any] = {"key": row.key.encode()}
    fields["mod_revision"] = str(row.revision)
    if row.value:
        fields["value"] = row.value
    return fields


def _json(value: Any, status: int = 200) -> Response:
    body = msgspec.json.encode(value)
    return Response(body, status, media_type="application/json")


def _failed(failure: Failure) -> Response:
    """Return the gateway's error; code and text are etcd's, the detail is not."""
    if failure.reason is Reason.INVALID:
        error = GatewayError(f"etcdserver: {failure.detail}", INVALID_ARGUMENT)
        return _json(error, 400)
    if failure.retry_after_ms is not None:
        error = GatewayError("etcdserver: too many requests", RESOURCE_EXHAUSTED)
        response = _json(error, 429)
        response.headers["Retry-After"] = str(math.ceil(failure.retry_after_ms / 1000))
        return response
    if failure.reason is Reason.UNAVAILABLE:
        return _json(GatewayError("etcdserver: no leader", UNAVAILABLE), 503)
    return _json(GatewayError("etcdserver: request timed out", UNAVAILABLE), 503)
