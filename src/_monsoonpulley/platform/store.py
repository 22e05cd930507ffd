"""The platform's store of rows: its calls and what their answers mean."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from urllib.parse import urlencode

import msgspec

from ..errors import Delivery, Failure, Reason
from ..wire.httpclient import HttpClient, Reply

CALL_TIMEOUT_MS = 800
"""Two hundred times an ordinary answer, and several times one of a slow store: a
reader that is turned away is replaced within the bound on configurations."""

GET_LIMIT = 500
"""Rows in one answer, as the store limits them."""


class Row(msgspec.Struct, frozen=True):
    """One row.

    Attributes
    ----------
    key : str
        Within its table and part.
    value : bytes or None
        None if the row was removed.
    row_version : int
        Of its last change; versions rise over all rows together.
    """

    key: str
    value: bytes | None
    row_version: int


class Rows(msgspec.Struct, frozen=True):
    """Rows as of one moment, and the store's newest version at that moment."""

    rows: tuple[Row, ...]
    store_version: int


class Expected(msgspec.Struct, frozen=True):
    """A condition of a write: the row has this version; 0 is no row."""

    table: str
    key: str
    row_version: int


class Put(msgspec.Struct, frozen=True):
    """A row to write."""

    table: str
    key: str
    value: bytes


class Drop(msgspec.Struct, frozen=True):
    """A row to remove."""

    table: str
    key: str


class Conflict(msgspec.Struct, frozen=True):
    """A write that was not done; the expected rows as they are, by key."""

    rows: tuple[Row, ...]


class _WireRow(msgspec.Struct):
    key: str
    row_version: int = 0
    value: str = ""
    deleted: bool = False

    def decode(self) -> Row:
        """Return the row; a value that is no base64 is an empty value."""
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
    """One client for the platform's store.

    Every method returns a `Failure` whose ``delivery`` tells what is known:
    `Delivery.NOT_SENT` or `Delivery.REFUSED`, nothing was done;
    `Delivery.MAYBE`, a write may have been done or may still be.

    Parameters
    ----------
    caller : HttpClient
        Carries the calls.
    on_call : callable
        Takes each call's name and its status, or why it failed.
    """

    def __init__(
        self,
        caller: HttpClient,
        on_call: Callable[[str, str], None] = lambda name, result: None,
    ):
        self._caller = caller
        self._on_call = on_call

    @property
    def peer(self) -> str:
        """Return the store's address."""
        return self._caller.peer

    async def get(self, table: str) -> Rows | Failure:
        """Return all rows of a table's unnamed part."""
        rows: list[Row] = []
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": GET_LIMIT}
            if start:
                query["from"] = start
            answer = await self._read("rows-get", query, CALL_TIMEOUT_MS)
            if isinstance(answer, Failure):
                return answer
            rows += [row.decode() for row in answer.rows]
            if not answer.has_more or not answer.rows:
                return Rows(tuple(rows), answer.row_version)
            # The least key after the last one.
            start = answer.rows[-1].key + "\0"

    async def get_one(self, table: str, key: str) -> Row | Failure | None:
        """Return one row of a table's unnamed part, None if there is none."""
        query = {"table": table, "part": "", "from": key, "limit": 1}
        answer = await self._read("rows-get", query, CALL_TIMEOUT_MS)
        if isinstance(answer, Failure):
            return answer
        for row in answer.rows:
            if row.key == key:
                return row.decode()
        return None

    async def feed(self, table: str, after: int, wait_ms: int) -> Rows | Failure:
        """Return what has changed in a table after a version.

        Parameters
        ----------
        table : str
            Which one.
        after : int
            The ``store_version`` of the answer before.
        wait_ms : int
            How long the store may wait for a first change.

        Returns
        -------
        Rows or Failure
            `Reason.CONFLICT` if the store no longer knows that far back.
        """
        query = {"table": table, "after": after, "wait_ms": wait_ms}
        answer = await self._read("rows-feed", query, wait_ms + CALL_TIMEOUT_MS)
        if isinstance(answer, Failure):
            return answer
        rows = tuple(row.decode() for row in answer.rows)
        return Rows(rows, max(answer.row_version, after))

    async def write(
        self,
        *,
        expect: tuple[Expected, ...] = (),
        put: tuple[Put, ...] = (),
        drop: tuple[Drop, ...] = (),
    ) -> int | Conflict | Failure:
        """Write and drop rows if all conditions hold, or none of them.

        Returns
        -------
        int or Conflict or Failure
            The version of the write; or the rows that stood against it.
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
                    for e in expect
                ],
                "puts": [
                    {
                        "table": p.table,
                        "part": "",
                        "key": p.key,
                        "value": base64.b64encode(p.value).decode(),
                    }
                    for p in put
                ],
                "remove": [{"table": d.table, "part": "", "key": d.key} for d in drop],
            }
        )
        reply = await self._call("POST", "rows-tx", "/v1/rows-tx", body)
        if isinstance(reply, Failure):
            return reply
        if reply.status not in (200, 412):
            return self._refused("rows-tx", reply)
        answer = self._decode("rows-tx", reply)
        if isinstance(answer, Failure):
            return answer
        if reply.status == 412:
            return Conflict(tuple(row.decode() for row in answer.rows))
        return answer.row_version

    def close(self) -> None:
        """End all connections."""
        self._caller.close()

    async def _read(
        self, name: str, query: dict[str, str | int], timeout_ms: int
    ) -> _Answer | Failure:
        target = f"/v1/{name}?{urlencode(query)}"
        reply = await self._call("GET", name, target, timeout_ms=timeout_ms)
        if isinstance(reply, Failure):
            return reply
        if reply.status == 410:
            return Failure(
                Reason.CONFLICT, f"store.{name}", self.peer, "the history is gone"
            )
        if reply.status != 200:
            return self._refused(name, reply)
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
        reply = await self._caller.call(
            method, target, body=body, headers=headers, timeout_ms=timeout_ms
        )
        failed = isinstance(reply, Failure)
        self._on_call(name, reply.reason.value if failed else str(reply.status))
        return reply

    def _decode(self, name: str, reply: Reply) -> _Answer | Failure:
        try:
            return _answer_decoder.decode(reply.body)
        except msgspec.MsgspecError as error:
            return Failure(
                Reason.PROTOCOL, f"store.{name}", self.peer, str(error), Delivery.MAYBE
            )

    def _refused(self, name: str, reply: Reply) -> Failure:
        done = Delivery.REFUSED if reply.status in (400, 403, 429, 503, 507) else None
        return Failure(
            Reason.OVERLOADED if reply.status == 429 else Reason.UNAVAILABLE,
            f"store.{name}",
            self.peer,
            f"status {reply.status}",
            done or Delivery.MAYBE,
        )
