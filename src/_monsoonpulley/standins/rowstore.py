"""Stand-in of the users' platform store: rows, transactions and a change feed.

It serves the HTTP calls that `platform.store` makes. Tests can make it silent,
let it refuse calls or lose answers, discard its history, and bring it back from an
older copy.
"""

from __future__ import annotations

import asyncio
import base64
from enum import Enum
from urllib.parse import parse_qs, urlsplit

import msgspec

from ..clock import Clock
from ..wire.server import HttpServer
from ..wire.serverconnection import CallerLimits, Exchange

MAX_ROWS_PER_RESPONSE = 500
"""Maximum number of rows in one response."""


class StoreFault(Enum):
    """A fault of the store."""

    NONE = "none"
    SILENT = "silent"
    """Calls are accepted but neither carried out nor answered."""
    BUSY = "busy"
    """Calls are answered with status 503 and not carried out."""
    LOST_ANSWER = "lost"
    """Calls are carried out; then the connection breaks without an answer."""


class _Row(msgspec.Struct):
    table: str
    key: str
    value: str
    row_version: int


class StoreCopy(msgspec.Struct, frozen=True):
    """All that the store had at one time."""

    rows: dict[tuple[str, str], _Row]
    changes: list[tuple[int, str, str]]
    version: int


class RowStoreStandin:
    """Rows by table and key, served over HTTP; their part is always empty.

    Parameters
    ----------
    clock : Clock
        Clock of the HTTP server.

    Attributes
    ----------
    fault : StoreFault
        Fault that affects later calls.
    era : int or None
        Named in all answers; None names none.
    calls : list of str
        Paths of all calls so far, in order.
    """

    def __init__(self, clock: Clock):
        self.fault = StoreFault.NONE
        self.era: int | None = None
        self.call_paths: list[str] = []
        self._row_by_key: dict[tuple[str, str], _Row] = {}
        self._changes: list[tuple[int, str, str]] = []
        self._version = 0
        self._discarded_version = 0
        self._change_event = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HttpServer(self._on_exchange, CallerLimits, clock)

    async def listen(self) -> tuple[str, int]:
        """Serve on a free loopback port and return host and port."""
        await self._server.listen("127.0.0.1", 0)
        return self.address()

    def address(self) -> tuple[str, int]:
        """Return host and port once the store listens."""
        return self._server.address()

    def close(self) -> None:
        """Stop serving."""
        self._server.stop_listening()
        for task in self._tasks:
            task.cancel()

    def put(self, table: str, key: str, document: object) -> int:
        """Write a row and return its version.

        ``document`` is stored as JSON, or as it is if it consists of bytes.
        """
        raw = document if isinstance(document, bytes) else msgspec.json.encode(document)
        self._put(table, key, base64.b64encode(raw).decode())
        return self._version

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if self._row_by_key.pop((table, key), None) is not None:
            self._record_change(table, key)

    def read_value(self, table: str, key: str) -> bytes | None:
        """Return a row's value, or ``None`` if there is no such row."""
        row = self._row_by_key.get((table, key))
        return None if row is None else base64.b64decode(row.value)

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table's rows."""
        return [key for row_table, key in self._row_by_key if row_table == table]

    def discard_history(self) -> None:
        """Discard past changes; feed calls that ask for them are answered with 410."""
        self._discarded_version = self._version
        self._changes.clear()

    def take_copy(self) -> StoreCopy:
        """Return a copy to which `return_to` brings the store back."""
        return StoreCopy(dict(self._row_by_key), list(self._changes), self._version)

    def return_to(self, copy: StoreCopy) -> None:
        """Lose what was written since a copy, and begin the next era."""
        self._row_by_key = dict(copy.rows)
        self._changes = list(copy.changes)
        self._version = copy.version
        self.era = (self.era or 0) + 1
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _put(self, table: str, key: str, value: str) -> None:
        self._record_change(table, key)
        self._row_by_key[table, key] = _Row(table, key, value, self._version)

    def _record_change(self, table: str, key: str) -> None:
        self._version += 1
        self._changes.append((self._version, table, key))
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _on_exchange(self, exchange: Exchange) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, exchange: Exchange) -> None:
        parts = urlsplit(exchange.request.target.decode())
        self.call_paths.append(parts.path)
        if self.fault is StoreFault.SILENT:
            return
        if self.fault is StoreFault.BUSY:
            exchange.respond(503, self._headers())
            return
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/rows-tx":
            status, body = self._commit(exchange.request.body)
        elif parts.path == "/v1/rows-get":
            status, body = 200, self._get(query)
        elif parts.path == "/v1/rows-feed":
            status, body = await self._feed(query)
        else:
            status, body = 404, {}
        if self.fault is StoreFault.LOST_ANSWER:
            exchange.abort()
            return
        exchange.respond(status, self._headers(), msgspec.json.encode(body))

    def _headers(self) -> list[tuple[bytes, bytes]]:
        return [] if self.era is None else [(b"Store-Era", b"%d" % self.era)]

    def _commit(self, body: bytes) -> tuple[int, dict]:
        request = msgspec.json.decode(body)
        for entry in request["expect"]:
            row = self._row_by_key.get((entry["table"], entry["key"]))
            if (row.row_version if row else 0) != entry["row_version"]:
                return 412, self._response_body(
                    [
                        self._row_by_key[each["table"], each["key"]]
                        for each in request["expect"]
                        if (each["table"], each["key"]) in self._row_by_key
                    ]
                )
        for entry in request["remove"]:
            self.remove(entry["table"], entry["key"])
        for entry in request["puts"]:
            self._put(entry["table"], entry["key"], entry["value"])
        return 200, self._response_body([])

    def _get(self, query: dict[str, str]) -> dict:
        rows = sorted(
            (row for row in self._row_by_key.values() if row.table == query["table"]),
            key=lambda row: row.key,
        )
        rows = [row for row in rows if row.key >= query.get("from", "")]
        if "to" in query:
            rows = [row for row in rows if row.key < query["to"]]
        limit = min(
            MAX_ROWS_PER_RESPONSE, int(query.get("limit", MAX_ROWS_PER_RESPONSE))
        )
        return self._response_body(rows[:limit], has_more=len(rows) > limit)

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after, table = int(query["after"]), query["table"]
        if not self._discarded_version <= after <= self._version:
            return 410, {}
        changes = self._changes_after(table, after)
        if not changes:
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    while not changes:
                        await self._change_event.wait()
                        changes = self._changes_after(table, after)
            except TimeoutError:
                changes = []
            if not self._discarded_version <= after <= self._version:
                return 410, {}  # The history was discarded during the wait.
        return 200, self._response_body(changes)

    def _changes_after(self, table: str, after: int) -> list[_Row | dict]:
        latest = {
            key: version
            for version, row_table, key in self._changes
            if row_table == table and version > after
        }
        changes: list[_Row | dict] = []
        for key, version in sorted(latest.items(), key=lambda item: item[1]):
            row = self._row_by_key.get((table, key))
            deleted_row = {"table": table, "key": key, "row_version": version}
            changes.append(row if row is not None else {**deleted_row, "deleted": True})
        return changes

    def _response_body(self, rows: list, has_more: bool = False) -> dict:
        return {
            "rows": rows,
            "has_more": has_more,
            "row_version": self._version,
            "now_ms": 0,
        }
