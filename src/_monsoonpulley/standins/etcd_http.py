"""HTTP handlers for the part of etcd's v3 JSON gateway that the adapter uses."""

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
"""gRPC status codes, which the gateway puts in its error bodies."""


class EtcdHttp:
    """Handlers for the ranges and transactions that the adapter sends.

    A transaction needs one condition per write, on the revision of the written
    key; others are answered with status 400.
    """

    def __init__(self, connect_platform: Callable[[Request], Platform]):
        self._connect_platform = connect_platform

    async def range(self, request: Request) -> Response:
        """Handle ``POST /v3/kv/range``."""
        range_request = await _decode(request, RangeRequest)
        if isinstance(range_request, Failure):
            return _error_response(range_request)
        table = self._connect_platform(request).table
        if not range_request.range_end:
            row = await table.read(range_request.key.decode())
            rows = row if isinstance(row, Failure) else _drop_missing([row])
        else:
            rows = await _scan(table.scan, range_request)
        return (
            _error_response(rows)
            if isinstance(rows, Failure)
            else _json_response(_range_body(rows))
        )

    async def txn(self, request: Request) -> Response:
        """Handle ``POST /v3/kv/txn``."""
        txn_request = await _decode(request, TxnRequest)
        if isinstance(txn_request, Failure):
            return _error_response(txn_request)
        writes = _build_writes(txn_request)
        if isinstance(writes, Failure):
            return _error_response(writes)
        result = await self._connect_platform(request).table.commit(writes)
        if isinstance(result, Failure):
            return _error_response(result)
        if isinstance(result, Committed):
            header = {"revision": str(result.revision)}
            return _json_response({"header": header, "succeeded": True})
        ranges = [_drop_missing([result.current.get(write.key)]) for write in writes]
        responses = [{"response_range": _range_body(rows)} for rows in ranges]
        return _json_response({"header": {"revision": "1"}, "responses": responses})


async def _scan(
    scan: Callable[..., Any], range_request: RangeRequest
) -> tuple[Row, ...] | Failure:
    """Read a range by a scan of the prefix that contains it.

    The end of a prefix's range is the prefix with its last byte raised by one.
    A start that ends with a zero byte excludes the row whose key comes before
    that byte.
    """
    end = range_request.range_end
    prefix = b"" if end == KEY_SPACE_END else end[:-1] + bytes((end[-1] - 1,))
    start = range_request.key
    after = start[:-1] if start.endswith(b"\0") else b""
    if not after and start not in (prefix, b"\0"):
        return _invalid_request("only ranges of prefixes are supported")
    limit = int(range_request.limit) or 1_000_000
    return await scan(prefix.decode(), after=after.decode(), limit=limit)


def _build_writes(txn_request: TxnRequest) -> tuple[Write, ...] | Failure:
    if len(txn_request.compare) != len(txn_request.success):
        return _invalid_request("each write needs one condition")
    writes: list[Write] = []
    for compare, operation in zip(
        txn_request.compare, txn_request.success, strict=True
    ):
        put, delete = operation.request_put, operation.request_delete_range
        change = put or delete
        if change is None or change.key != compare.key:
            return _invalid_request("each write needs a condition on its own key")
        if (compare.target, compare.result) != ("MOD", "EQUAL"):
            return _invalid_request("only equal revisions are supported")
        value = None if put is None else put.value
        writes.append(Write(change.key.decode(), value, int(compare.mod_revision)))
    return tuple(writes)


async def _decode(request: Request, type_: Any) -> Any:
    try:
        return msgspec.json.decode(await request.body(), type=type_, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _invalid_request(str(error))


def _invalid_request(detail: str) -> Failure:
    return Failure(Reason.INVALID, "table", "platform", detail)


def _drop_missing(rows: Sequence[Row | None]) -> tuple[Row, ...]:
    return tuple(row for row in rows if row is not None)


def _range_body(rows: Sequence[Row]) -> dict[str, Any]:
    revision = max((row.revision for row in rows), default=1)
    body: dict[str, Any] = {"header": {"revision": str(revision)}}
    if rows:
        body["kvs"] = [_encode_row(row) for row in rows]
        body["count"] = str(len(rows))
    return body


def _encode_row(row: Row) -> dict[str, Any]:
    fields: dict[str, Any] = {"key": row.key.encode()}
    fields["mod_revision"] = str(row.revision)
    if row.value:
        fields["value"] = row.value
    return fields


def _json_response(value: Any, status: int = 200) -> Response:
    body = msgspec.json.encode(value)
    return Response(body, status, media_type="application/json")


def _error_response(failure: Failure) -> Response:
    """Return an error response with etcd's status, code and text.

    Only the text of an invalid request is the stand-in's own.
    """
    if failure.reason is Reason.INVALID:
        error = GatewayError(f"etcdserver: {failure.detail}", INVALID_ARGUMENT)
        return _json_response(error, 400)
    if failure.retry_after_ms is not None:
        error = GatewayError("etcdserver: too many requests", RESOURCE_EXHAUSTED)
        response = _json_response(error, 429)
        response.headers["Retry-After"] = str(math.ceil(failure.retry_after_ms / 1000))
        return response
    if failure.reason is Reason.UNAVAILABLE:
        return _json_response(GatewayError("etcdserver: no leader", UNAVAILABLE), 503)
    return _json_response(
        GatewayError("etcdserver: request timed out", UNAVAILABLE), 503
    )
