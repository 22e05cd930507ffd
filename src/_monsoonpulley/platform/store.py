"""Client for the platform's row store: its calls and what their answers mean."""

from __future__ import annotations

import asyncio
import base64
import binascii
import re
from collections.abc import Callable
from typing import Annotated
from urllib.parse import urlencode

import msgspec

from ..errors import MALFORMED_ERRORS, Delivery, Failure, Reason, describe_error
from ..wire.httpclient import HttpClient, Reply
from .names import STORE_ERA
from .storeversion import ERA_STRIDE, era_of, join_version, wire_version

_ERA_FIELD = STORE_ERA.lower()

CALL_TIMEOUT_MS = 800
"""Two hundred times an ordinary answer time and several times that of a slow store,
yet short enough to replace a reader that the store refuses within the bound on
configurations."""

MAX_ERA_DIGITS = 15
"""Digits of an era that messages between instances hold; a longer number is none."""

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
        Version of its last change; versions increase across all rows and eras, see
        `storeversion`.
    table : str
        Its table; empty if the answer doesn't name it.
    """

    key: str
    value: bytes | None
    row_version: int
    table: str = ""


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
    row_version: Annotated[int, msgspec.Meta(ge=0, lt=ERA_STRIDE)] = 0
    value: str = ""
    deleted: bool = False
    table: str = ""

    def decode(self, era: int) -> Row:
        """Return the row; a value that is not Base64 counts as empty."""
        # 0 stands for a row that does not exist, in every era.
        version = join_version(era, self.row_version) if self.row_version else 0
        if self.deleted:
            return Row(self.key, None, version, self.table)
        try:
            value = base64.b64decode(self.value)
        except (binascii.Error, ValueError):
            value = b""
        return Row(self.key, value, version, self.table)


class _Answer(msgspec.Struct):
    rows: list[msgspec.Raw] = []
    row_version: Annotated[int, msgspec.Meta(ge=0, lt=ERA_STRIDE)] = 0
    has_more: bool = False
    era: int = 0
    """Taken from the answer's headers."""

    def decode_rows(self) -> tuple[Row, ...]:
        """Return the rows that can be read."""
        rows = (_decode_row(raw, self.era) for raw in self.rows)
        return tuple(row for row in rows if row is not None)

    @property
    def version(self) -> int:
        """The store's version at the time of the answer."""
        return join_version(self.era, self.row_version)


_answer_decoder = msgspec.json.Decoder(_Answer)
_row_decoder = msgspec.json.Decoder(_WireRow)


def _decode_row(raw: msgspec.Raw, era: int) -> Row | None:
    try:
        return _row_decoder.decode(raw).decode(era)
    except MALFORMED_ERRORS:
        return None


_ESCAPE = re.compile(
    rb"\\u[dD][89abAB]..\\u[dD][c-fC-F]..|(\\u[dD][89a-fA-F]..)|\\.", re.DOTALL
)


def _without_lone_surrogates(body: bytes) -> bytes:
    """Return a body with a replacement for each escape that stands for no text."""
    return _ESCAPE.sub(lambda m: rb"\ufffd" if m.group(1) else m.group(), body)


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
    on_era : callable
        Called with the old and the new era when the store has come back from an older
        copy, before the answer that shows it is returned.

    Attributes
    ----------
    era, first_era : int or None
        The highest and the first era of an answer, 0 if answers name none; None before
        the first.
    """

    def __init__(
        self,
        client: HttpClient,
        on_call: Callable[[str, str], None] = lambda name, result: None,
        on_era: Callable[[int, int], None] = lambda before, after: None,
    ):
        self._client = client
        self._on_call = on_call
        self._on_era = on_era
        self.era: int | None = None
        self.first_era: int | None = None
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
        """Return the rows of a table's unnamed part whose keys have a prefix.

        The version is that of the first answer: what changes between two answers may be
        missing in the rows, and has to be among the changes since that version.
        """
        rows: list[Row] = []
        version: int | None = None
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
            if rows and era_of(rows[0].row_version) != answer.era:
                return self._lost_history("get")
            page = self._readable_rows("rows-get", answer)
            rows += page
            version = answer.version if version is None else version
            if not answer.has_more or not answer.rows:
                return Rows(tuple(rows), version)
            if not page:
                return self._unreadable("rows-get", "no row of a page can be read")
            # The smallest key after the last one.
            start_key = page[-1].key + "\0"

    async def read_row(self, table: str, key: str) -> Row | Failure | None:
        """Return one row of a table's unnamed part, None if there is none."""
        query = {"table": table, "part": "", "from": key, "limit": 1}
        answer = await self._read("rows-get", query, CALL_TIMEOUT_MS)
        if isinstance(answer, Failure):
            return answer
        rows = answer.decode_rows()
        if len(rows) < len(answer.rows):
            return self._unreadable("rows-get", "the row can't be read")
        return next((row for row in rows if row.key == key), None)

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
        if self.era is not None and era_of(after_version) != self.era:
            return self._lost_history("feed")
        query = {
            "table": table,
            "after": wire_version(after_version),
            "wait_ms": wait_ms,
        }
        answer = await self._read("rows-feed", query, wait_ms + timeout_ms)
        if isinstance(answer, Failure):
            return answer
        if answer.era != era_of(after_version):
            # Changes since a version of another history.
            return self._lost_history("feed")
        rows = self._readable_rows("rows-feed", answer)
        return Rows(rows, max(answer.version, after_version))

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
        era = self.era
        if any(
            c.row_version and era is not None and era_of(c.row_version) != era
            for c in conditions
        ):
            # Sent, it could match a version that was given out again.
            return Failure(
                Reason.UNAVAILABLE,
                "store.rows-tx",
                self.peer,
                "a condition is from before the store lost writes",
                Delivery.REFUSED,
            )
        body = msgspec.json.encode(
            {
                "expect": [
                    {
                        "table": e.table,
                        "part": "",
                        "key": e.key,
                        "row_version": wire_version(e.row_version),
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
            rows = answer.decode_rows()
            if len(rows) < len(answer.rows):
                # A missing row would mean that there is none.
                return self._refusal("rows-tx", reply)
            return Conflict(rows)
        if era is not None and answer.era != era:
            # Done in another history than the one that the caller has read.
            return Failure(
                Reason.IN_DOUBT,
                "store.rows-tx",
                self.peer,
                "the store lost writes meanwhile",
                Delivery.MAYBE,
            )
        return answer.version

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
            return self._lost_history(name)
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
        if isinstance(reply, Failure):
            return reply
        return self._check_era(name, reply) or reply

    def _check_era(self, name: str, reply: Reply) -> Failure | None:
        """Record the era of an answer; return a failure if it can't be used."""
        text = reply.fields.get(_ERA_FIELD)
        if text is None:
            if not self.era:
                self.era = self.first_era = 0
                return None
            if reply.status not in (200, 412):
                return None  # Refused: nothing in it depends on the era.
            detail = "the answer names no era"
        elif not text.isdigit() or len(text) > MAX_ERA_DIGITS:
            detail = f"the answer's era is no number: {text[:40]!r}"
        else:
            era = int(text)
            if not self.era:
                # The first answer, or the first one that names an era.
                self.era = self.first_era = era
                return None
            if era == self.era:
                return None
            if era > self.era:
                before, self.era = self.era, era
                self._on_era(before, era)
                return None
            detail = f"the answer is of era {era}, before {self.era}"
        return Failure(
            Reason.PROTOCOL, f"store.{name}", self.peer, detail, Delivery.MAYBE
        )

    def _lost_history(self, name: str) -> Failure:
        return Failure(
            Reason.CONFLICT,
            f"store.{name}",
            self.peer,
            "change history since the requested version is gone",
        )

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
            try:
                answer = _answer_decoder.decode(reply.body)
            except msgspec.DecodeError:
                body = _without_lone_surrogates(reply.body)
                answer = _answer_decoder.decode(body)
            answer.era = int(reply.fields.get(_ERA_FIELD, 0))
            return answer
        except MALFORMED_ERRORS as error:
            return self._unreadable(name, describe_error(error))

    def _readable_rows(self, name: str, answer: _Answer) -> tuple[Row, ...]:
        """Return an answer's rows without those that can't be read, which are counted.

        Others must not be kept from being read by one of them.
        """
        rows = answer.decode_rows()
        for _ in range(len(answer.rows) - len(rows)):
            self._on_call(name, "odd_row")
        return rows

    def _unreadable(self, name: str, detail: str) -> Failure:
        return Failure(
            Reason.PROTOCOL, f"store.{name}", self.peer, detail, Delivery.MAYBE
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
