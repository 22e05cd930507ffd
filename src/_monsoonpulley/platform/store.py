"""Client for the platform's row store: its calls and what their answers mean."""

from __future__ import annotations

import asyncio
import base64
import binascii
from collections.abc import Callable
from urllib.parse import urlencode

import msgspec

from ..errors import Delivery, Failure, Reason
from ..wire.httpclient import HttpClient, Reply

CALL_TIMEOUT_MS = 800
"""Two hundred times an ordinary answer time and several times that of a slow store,
yet short enough to replace a reader that the store refuses within the bound on
configurations."""

MAX_ROWS_PER_ANSWER = 500
"""The store's own limit."""


class Row(msgspec.Struct, frozen=True):
    """A row of a table.

    Attributes
    ----------
    key : str
        Key within its table and part.
    value : bytes or None
        None if the row was removed.
    row_version : int
        Version of its last change; versions increase across all rows.
    """

    key: str
    value: bytes | None
    row_version: int


class Rows(msgspec.Struct, frozen=True):
    """Rows at one point in time, and the store's latest version at that point."""

    rows: tuple[Row, ...]
    store_version: int


class Condition(msgspec.Struct, frozen=True):
    """Condition of a write: the row has this version, where 0 means no row."""

    table: str
    key: str
    row_version: int


class Put(msgspec.Struct, frozen=True):
    """A row to write."""

    table: str
    key: str
    value: bytes


class Removal(msgspec.Struct, frozen=True):
    """A row to remove."""

    table: str
    key: str


class Conflict(msgspec.Struct, frozen=True):
    """A write that was not done, with the current rows of its conditions."""

    rows: tuple[Row, ...]


class _WireRow(msgspec.Struct):
    key: str
    row_version: int = 0
    value: str = ""
    deleted: bool = False

    def decode(self) -> Row:
        """Return the row; a value that is not Base64 counts as empty."""
        if self.deleted:
            return Row(self.key, None, self.row_version)
        try:
            value = base64.b64decode(self.value)
        except (binascii.Error, ValueError):
            value = b""
        return Row(self.key, value, self.row_version)


class _Answer(msgspec.Struct):
    rows: list[_WireRow] = []
    row_version: int = 0
    has_more: bool = False


_answer_decoder = msgspec.json.Decoder(_Answer)


class Store:
    """Client for the platform's row store.

    The ``delivery`` of a `Failure` tells whether a write took effect: with
    `Delivery.NOT_SENT` or `Delivery.REFUSED` it did not; with `Delivery.MAYBE`
    it may have taken effect or still may.

    Parameters
    ----------
    client : HttpClient
        HTTP client connected to the store.
    on_call : callable
        Called with each call's name and its HTTP status or failure reason.
    """

    def __init__(
        self,
        client: HttpClient,
        on_call: Callable[[str, str], None] = lambda name, result: None,
    ):
        self._client = client
        self._on_call = on_call
        self._is_failing = False
        self._recovery = asyncio.Event()

    @property
    def peer(self) -> str:
        """Return the store's address."""
        return self._client.peer

    def next_recovery(self) -> asyncio.Event:
        """Return an event set by the next answer that follows an unanswered call."""
        return self._recovery

    async def read_table(
        self, table: str, key_prefix: str = "", timeout_ms: int = CALL_TIMEOUT_MS
    ) -> Rows | Failure:
        """Return the rows of a table's unnamed part whose keys have a prefix."""
        rows: list[Row] = []
        start_key = key_prefix
        while True:
            query = {"table": table, "part": "", "limit": MAX_ROWS_PER_ANSWER}
            if start_key:
                query["from"] = start_key
            if key_prefix:
                query["to"] = key_prefix[:-1] + chr(ord(key_prefix[-1]) + 1)
            answer = await self._read("rows-get", query, timeout_ms)
            if isinstance(answer, Failure):
                return answer
            rows += [row.decode() for row in answer.rows]
            if not answer.has_more or not answer.rows:
                return Rows(tuple(rows), answer.row_version)
            # The smallest key after the last one.
            start_key = answer.rows[-1].key + "\0"

    async def read_row(self, table: str, key: str) -> Row | Failure | None:
        """Return one row of a table's unnamed part, None if there is none."""
        query = {"table": table, "part": "", "from": key, "limit": 1}
        answer = await self._read("rows-get", query, CALL_TIMEOUT_MS)
        if isinstance(answer, Failure):
            return answer
        for row in answer.rows:
            if row.key == key:
                return row.decode()
        return None

    async def read_changes(
        self,
        table: str,
        after_version: int,
        wait_ms: int,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Rows | Failure:
        """Return the rows of a table that changed after a version.

        Parameters
        ----------
        table : str
            Name of the table.
        after_version : int
            ``store_version`` of the previous answer.
        wait_ms : int
            How long the store may wait for a first change.
        timeout_ms : int
            How long its answer may take beyond that.

        Returns
        -------
        Rows or Failure
            `Reason.CONFLICT` if the store no longer has the changes since then.
        """
        query = {"table": table, "after": after_version, "wait_ms": wait_ms}
        answer = await self._read("rows-feed", query, wait_ms + timeout_ms)
        if isinstance(answer, Failure):
            return answer
        rows = tuple(row.decode() for row in answer.rows)
        return Rows(rows, max(answer.row_version, after_version))

    async def write(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        puts: tuple[Put, ...] = (),
        removals: tuple[Removal, ...] = (),
    ) -> int | Conflict | Failure:
        """Write and remove rows if all conditions hold, else change nothing.

        Returns
        -------
        int or Conflict or Failure
            Version of the write, or the current rows of its conditions.
        """
        body = msgspec.json.encode(
            {
                "expect": [
                    {
                        "table": e.table,
                        "part": "",
                        "key": e.key,
                        "row_version": e.row_version,
                    }
                    for e in conditions
                ],
                "puts": [
                    {
                        "table": p.table,
                        "part": "",
                        "key": p.key,
                        "value": base64.b64encode(p.value).decode(),
                    }
                    for p in puts
                ],
                "remove": [
                    {"table": d.table, "part": "", "key": d.key} for d in removals
                ],
            }
        )
        reply = await self._call("POST", "rows-tx", "/v1/rows-tx", body)
        if isinstance(reply, Failure):
            return reply
        if reply.status not in (200, 412):
            return self._refusal("rows-tx", reply)
        answer = self._decode("rows-tx", reply)
        if isinstance(answer, Failure):
            return answer
        if reply.status == 412:
            return Conflict(tuple(row.decode() for row in answer.rows))
        return answer.row_version

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _read(
        self, name: str, query: dict[str, str | int], timeout_ms: int
    ) -> _Answer | Failure:
        target = f"/v1/{name}?{urlencode(query)}"
        reply = await self._call("GET", name, target, timeout_ms=timeout_ms)
        if isinstance(reply, Failure):
            return reply
        if reply.status == 410:
            return Failure(
                Reason.CONFLICT,
                f"store.{name}",
                self.peer,
                "change history since the requested version is gone",
            )
        if reply.status != 200:
            return self._refusal(name, reply)
        return self._decode(name, reply)

    async def _call(
        self,
        method: str,
        name: str,
        target: str,
        body: bytes = b"",
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Reply | Failure:
        headers = (("Content-Type", "application/json"),) if body else ()
        reply = await self._client.call(
            method, target, body=body, headers=headers, timeout_ms=timeout_ms
        )
        failed = isinstance(reply, Failure)
        self._on_call(name, reply.reason.value if failed else str(reply.status))
        self._record_reach(reply)
        return reply

    def _record_reach(self, reply: Reply | Failure) -> None:
        if isinstance(reply, Failure) or reply.status == 503:
            self._is_failing = True
        elif self._is_failing and reply.status != 429:
            # 429 asks for fewer calls, so that it must not end any pause.
            self._is_failing = False
            self._recovery.set()
            self._recovery = asyncio.Event()

    def _decode(self, name: str, reply: Reply) -> _Answer | Failure:
        try:
            return _answer_decoder.decode(reply.body)
        except msgspec.MsgspecError as error:
            return Failure(
                Reason.PROTOCOL, f"store.{name}", self.peer, str(error), Delivery.MAYBE
            )

    def _refusal(self, name: str, reply: Reply) -> Failure:
        known_delivery = (
            Delivery.REFUSED if reply.status in (400, 403, 429, 503, 507) else None
        )
        return Failure(
            Reason.OVERLOADED if reply.status == 429 else Reason.UNAVAILABLE,
            f"store.{name}",
            self.peer,
            f"HTTP status {reply.status}",
            known_delivery or Delivery.MAYBE,
        )
