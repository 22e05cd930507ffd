"""Table adapter for the JSON gateway of the etcd v3 API."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import msgspec

from ..errors import Failure, Reason
from .adapters import table_adapters
from .httpapi import HttpAnswer, HttpApi
from .table import Committed, Conflict, Row, Write

EFFECT_FREE_ERRORS = frozenset(
    {"etcdserver: no leader", "etcdserver: not capable"},
)
"""Errors with status 503 that are raised before a transaction is proposed.

Others with this status, such as ``etcdserver: request timed out``, can come after
it was proposed.
"""
KEY_SPACE_END = b"\0"
"""Value of ``range_end`` for a range without an upper bound."""


class KeyValue(msgspec.Struct, frozen=True):
    """A row; ``bytes`` are Base64 in JSON and absent when empty."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: int = 0


class Header(msgspec.Struct, frozen=True):
    """Header of every answer, with the revision of the whole store."""

    revision: Annotated[int, msgspec.Meta(ge=1)]


class RangeResponse(msgspec.Struct, frozen=True):
    """Answer to a range request."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()


class ResponseOp(msgspec.Struct, frozen=True):
    """Answer to one operation of a transaction; only ranges are read."""

    response_range: RangeResponse | None = None


class TxnResponse(msgspec.Struct, frozen=True):
    """Answer to a transaction; a false ``succeeded`` is absent in JSON."""

    header: Header
    succeeded: bool = False
    responses: tuple[ResponseOp, ...] = ()


class RangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Rows from ``key`` to before ``range_end``, or the one row at ``key``."""

    key: bytes
    range_end: bytes = b""
    limit: str = "0"


class Compare(msgspec.Struct, frozen=True):
    """Condition on a row's revision; 0 means no row."""

    key: bytes
    mod_revision: str
    target: str = "MOD"
    result: str = "EQUAL"


class Put(msgspec.Struct, frozen=True):
    """Write of one row."""

    key: bytes
    value: bytes


class DeleteRange(msgspec.Struct, frozen=True):
    """Removal of one row."""

    key: bytes


class RequestOp(msgspec.Struct, frozen=True, omit_defaults=True):
    """One operation of a transaction; exactly one field is set."""

    request_put: Put | None = None
    request_delete_range: DeleteRange | None = None
    request_range: RangeRequest | None = None


class TxnRequest(msgspec.Struct, frozen=True):
    """Operations to run if all conditions hold, and those to run if not."""

    compare: tuple[Compare, ...]
    success: tuple[RequestOp, ...]
    failure: tuple[RequestOp, ...]


class GatewayError(msgspec.Struct, frozen=True):
    """Error body of the gateway."""

    message: str = ""
    code: int = 0


@table_adapters.register("etcd-v3-json")
class EtcdTable:
    """An `external.table.Table` over ``/v3/kv/range`` and ``/v3/kv/txn``."""

    def __init__(self, api: HttpApi):
        self._api = api

    async def read(self, key: str) -> Row | Failure | None:
        """Return the row, or ``None`` if there is none."""
        rows = await self._range("table.read", RangeRequest(key.encode()))
        if isinstance(rows, Failure):
            return rows
        if not rows:
            return None
        if [row.key for row in rows] != [key.encode()]:
            detail = f"the answer does not hold exactly the row {key!r}"
            return self._api.failure(Reason.PROTOCOL, "table.read", detail)
        return Row(key, rows[0].value, rows[0].mod_revision)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> tuple[Row, ...] | Failure:
        """Return at most ``limit`` rows under ``prefix`` in key order."""
        if limit <= 0:
            return ()
        start = max(prefix.encode(), after.encode() + b"\0")
        end = _prefix_end(prefix.encode())
        if end != KEY_SPACE_END and start >= end:
            return ()
        rows: list[Row] = []
        while True:
            wanted_count = limit - len(rows)
            request = RangeRequest(start, end, str(wanted_count))
            page = await self._range("table.scan", request)
            if isinstance(page, Failure):
                return page
            rows += _readable_rows(page)
            if len(page) < wanted_count or len(rows) >= limit:
                return tuple(rows)
            # Keys that can't be read took places of rows that can.
            start = page[-1].key + b"\0"

    async def commit(self, writes: Sequence[Write]) -> Committed | Conflict | Failure:
        """Apply all writes, or none if any expected revision does not hold."""
        step = "table.commit"
        body = msgspec.json.encode(_txn_request(writes))
        answer = await self._api.send_change(step, "POST", "/v3/kv/txn", body)
        if isinstance(answer, Failure):
            return answer
        if answer.status != 200:
            return self._commit_refusal(step, answer)
        txn = self._api.decode(step, answer.body, TxnResponse, Reason.IN_DOUBT)
        if isinstance(txn, Failure):
            return txn
        if txn.succeeded:
            return Committed(txn.header.revision)
        return self._conflict(step, txn)

    async def _range(
        self, step: str, request: RangeRequest
    ) -> tuple[KeyValue, ...] | Failure:
        body = msgspec.json.encode(request)
        answer = await self._api.send_read(step, "POST", "/v3/kv/range", body)
        if isinstance(answer, Failure):
            return answer
        if answer.status != 200:
            return self._api.failure_from_status(step, answer, Reason.UNAVAILABLE)
        response = self._api.decode(step, answer.body, RangeResponse, Reason.PROTOCOL)
        return response if isinstance(response, Failure) else response.kvs

    def _conflict(self, step: str, txn: TxnResponse) -> Conflict | Failure:
        current: dict[str, Row] = {}
        for response in txn.responses:
            if response.response_range is None:
                continue
            kvs = response.response_range.kvs
            rows = _readable_rows(kvs)
            if len(rows) < len(kvs):
                # A missing row would mean that there is none.
                detail = "malformed row key"
                return self._api.failure(Reason.IN_DOUBT, step, detail)
            current.update((row.key, row) for row in rows)
        return Conflict(current)

    def _commit_refusal(self, step: str, answer: HttpAnswer) -> Failure:
        failure = self._api.failure_from_status(step, answer, Reason.IN_DOUBT)
        if answer.status != 503:
            return failure
        error = self._api.decode(step, answer.body, GatewayError, Reason.IN_DOUBT)
        if isinstance(error, GatewayError) and error.message in EFFECT_FREE_ERRORS:
            return failure
        return msgspec.structs.replace(failure, reason=Reason.IN_DOUBT)


def _readable_rows(kvs: Sequence[KeyValue]) -> list[Row]:
    """Return the rows with a key of valid UTF-8; only others write such as are not."""
    rows = []
    for kv in kvs:
        try:
            rows.append(Row(kv.key.decode(), kv.value, kv.mod_revision))
        except UnicodeDecodeError:
            continue
    return rows


def _txn_request(writes: Sequence[Write]) -> TxnRequest:
    return TxnRequest(
        compare=tuple(
            Compare(w.key.encode(), str(w.expected_revision)) for w in writes
        ),
        success=tuple(_request_op(write) for write in writes),
        failure=tuple(
            RequestOp(request_range=RangeRequest(w.key.encode())) for w in writes
        ),
    )


def _request_op(write: Write) -> RequestOp:
    key = write.key.encode()
    if write.value is None:
        return RequestOp(request_delete_range=DeleteRange(key))
    return RequestOp(request_put=Put(key, write.value))


def _prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with the prefix.

    UTF-8 has no byte 0xFF, so the last byte can be incremented.
    """
    if not prefix:
        return KEY_SPACE_END
    return prefix[:-1] + bytes((prefix[-1] + 1,))
