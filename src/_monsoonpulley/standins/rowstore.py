"""A stand-in of the users' platform store: rows, transactions, feed.

It speaks the calls that `platform.store` makes, over HTTP, and misbehaves on
request: silent, refusing, losing answers, forgetting its history.
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

ROWS_MOST = 500
"""Rows in one answer."""


class Trouble(Enum):
    """How the store misbehaves."""

    NONE = "none"
    SILENT = "silent"
    """Takes calls and neither does nor answers them."""
    BUSY = "busy"
    """Answers 503; nothing is done."""
    LOST = "lost"
    """Does what it is asked and answers nothing."""


class _Row(msgspec.Struct):
    table: str
    key: str
    value: str
    row_version: int


class RowStore:
    """Rows under tables and keys; the part is always empty.

    Parameters
    ----------
    clock : Clock
        Of the HTTP server.

    Attributes
    ----------
    trouble : Trouble
        In force from now on.
    calls : list of str
        Paths of the calls so far.
    """

    def __init__(self, clock: Clock):
        self.trouble = Trouble.NONE
        self.calls: list[str] = []
        self._rows: dict[tuple[str, str], _Row] = {}
        self._history: list[tuple[int, str, str]] = []
        self._version = 0
        self._oldest = 0
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HttpServer(self._on_exchange, CallerLimits, clock)

    async def listen(self) -> tuple[str, int]:
        """Serve on a free port of the loopback address; return where."""
        await self._server.listen("127.0.0.1", 0)
        return self._server.address()

    def close(self) -> None:
        """Stop serving."""
        self._server.stop_listening()
        for task in self._tasks:
            task.cancel()

    def put(self, table: str, key: str, document: object) -> int:
        """Write a row whose value is ``document`` as JSON, or bytes as given."""
        raw = document if isinstance(document, bytes) else msgspec.json.encode(document)
        self._put(table, key, base64.b64encode(raw).decode())
        return self._version

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if self._rows.pop((table, key), None) is not None:
            self._note(table, key)

    def value(self, table: str, key: str) -> bytes | None:
        """Return a row's value, None if there is no such row."""
        row = self._rows.get((table, key))
        return None if row is None else base64.b64decode(row.value)

    def forget_history(self) -> None:
        """Drop what the feed could still tell."""
        self._oldest = self._version
        self._history.clear()

    def _put(self, table: str, key: str, value: str) -> None:
        self._note(table, key)
        self._rows[table, key] = _Row(table, key, value, self._version)

    def _note(self, table: str, key: str) -> None:
        self._version += 1
        self._history.append((self._version, table, key))
        self._changed.set()
        self._changed = asyncio.Event()

    def _on_exchange(self, exchange: Exchange) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, exchange: Exchange) -> None:
        parts = urlsplit(exchange.request.target.decode())
        self.calls.append(parts.path)
        if self.trouble is Trouble.SILENT:
            return
        if self.trouble is Trouble.BUSY:
            exchange.respond(503, [])
            return
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/rows-tx":
            status, body = self._transact(exchange.request.body)
        elif parts.path == "/v1/rows-get":
            status, body = 200, self._get(query)
        elif parts.path == "/v1/rows-feed":
            status, body = await self._feed(query)
        else:
            status, body = 404, {}
        if self.trouble is Trouble.LOST:
            exchange.abort()
            return
        exchange.respond(status, [], msgspec.json.encode(body))

    def _transact(self, body: bytes) -> tuple[int, dict]:
        call = msgspec.json.decode(body)
        for entry in call["expect"]:
            row = self._rows.get((entry["table"], entry["key"]))
            if (row.row_version if row else 0) != entry["row_version"]:
                return 412, self._answer(
                    [
                        self._rows[e["table"], e["key"]]
                        for e in call["expect"]
                        if (e["table"], e["key"]) in self._rows
                    ]
                )
        for entry in call["remove"]:
            self.remove(entry["table"], entry["key"])
        for entry in call["puts"]:
            self._put(entry["table"], entry["key"], entry["value"])
        return 200, self._answer([])

    def _get(self, query: dict[str, str]) -> dict:
        rows = sorted(
            (row for row in self._rows.values() if row.table == query["table"]),
            key=lambda row: row.key,
        )
        rows = [row for row in rows if row.key >= query.get("from", "")]
        limit = min(ROWS_MOST, int(query.get("limit", ROWS_MOST)))
        return self._answer(rows[:limit], has_more=len(rows) > limit)

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after, table = int(query["after"]), query["table"]
        if after < self._oldest:
            return 410, {}
        changed = self._changes(table, after)
        if not changed:
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    while not changed:
                        await self._changed.wait()
                        changed = self._changes(table, after)
            except TimeoutError:
                changed = []
        return 200, self._answer(changed)

    def _changes(self, table: str, after: int) -> list[_Row | dict]:
        latest = {
            key: version
            for version, of, key in self._history
            if of == table and version > after
        }
        changes: list[_Row | dict] = []
        for key, version in sorted(latest.items(), key=lambda item: item[1]):
            row = self._rows.get((table, key))
            dropped = {"table": table, "key": key, "row_version": version}
            changes.append(row if row is not None else {**dropped, "deleted": True})
        return changes

    def _answer(self, rows: list, has_more: bool = False) -> dict:
        return {
            "rows": rows,
            "has_more": has_more,
            "row_version": self._version,
            "now_ms": 0,
        }
