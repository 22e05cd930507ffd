"""Keeps entries in a table of the store, so that they outlive the instances."""

from __future__ import annotations

import asyncio
import random
import secrets

import msgspec

from ..clock import Clock
from ..errors import MALFORMED_ERRORS, Failure, Reason, describe_error
from ..ids import WireCount
from ..observability.log import Log
from ..platform.store import Condition, Conflict, Put, Removal, Row, Store
from .evidence import Entry
from .fingerprint import Fingerprinter
from .quarantine import Quarantine

TABLE = "quarantine"

KEY_ROW = "key"
"""Row with the key of the fingerprints; the others hold one entry each."""

KEY_BYTES = 16

RETRY_INTERVAL_MS = 1_000
"""Between attempts while the store is unavailable."""

MAX_REPEAT_DELAY_MS = 1_000
"""Spread of the instances' calls after the store has lost writes: hundreds notice it at
the same time."""


class _EntryRow(msgspec.Struct, frozen=True):
    """An entry as stored, with names for those who read the table."""

    fingerprints: tuple[str, ...]
    service: str
    versions: tuple[str, ...]
    since_wall_ms: WireCount
    instance: str
    endpoints: tuple[str, ...]


_decoder = msgspec.json.Decoder(_EntryRow)


def decode_entry(key: str, value: bytes) -> Entry | Failure:
    """Return the entry in a row's value, or a failure if it is invalid."""
    try:
        stored = _decoder.decode(value)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.INVALID, "quarantine.decode", key, describe_error(error))
    return Entry(**msgspec.structs.asdict(stored))


class QuarantineRows:
    """Reads the entries and the key of the fingerprints, and writes new entries.

    Parameters
    ----------
    store : Store
        The platform's store.
    quarantine : Quarantine
        Gets the entries that are read.
    fingerprinter : Fingerprinter
        Gets the key that is read, or that this instance has written first.
    clock, log : Clock, Log
        Time source and log.
    rng : random.Random
        Spreads calls after the store has lost writes.
    """

    def __init__(
        self,
        store: Store,
        quarantine: Quarantine,
        fingerprinter: Fingerprinter,
        clock: Clock,
        log: Log,
        rng: random.Random,
    ):
        self._store = store
        self._quarantine = quarantine
        self._fingerprinter = fingerprinter
        self._clock = clock
        self._log = log
        self._rng = rng
        self._must_load = True
        self._unwritten: dict[str, Entry | None] = {}
        self._has_work = asyncio.Event()

    def put(self, entry: Entry) -> None:
        """Write an entry soon."""
        self._unwritten[entry.key] = entry
        self._has_work.set()

    def remove(self, entry: Entry) -> None:
        """Remove an entry soon."""
        self._unwritten[entry.key] = None
        self._has_work.set()

    def repeat(self) -> None:
        """Read the table again soon and write what is missing in it."""
        self._must_load = True
        self._has_work.set()

    async def run(self) -> None:
        """Load the table and write changes until cancelled."""
        while True:
            self._has_work.clear()
            error = await self._work()
            if error:
                self._log.event(
                    "quarantine_rows_failed", error=error, retry_ms=RETRY_INTERVAL_MS
                )
                await self._clock.sleep_ms(RETRY_INTERVAL_MS)
                continue
            await self._has_work.wait()
            if self._must_load:
                delay_ms = self._rng.uniform(0, MAX_REPEAT_DELAY_MS)
                await self._clock.sleep_ms(delay_ms)

    async def _work(self) -> str:
        """Load and write what is due; return the error, or an empty string."""
        if self._must_load:
            error = await self._load()
            if error:
                return error
            self._must_load = False
        while self._unwritten:
            key, entry = next(iter(self._unwritten.items()))
            error = await self._write(key, entry)
            if error:
                return error
            if self._unwritten.get(key) is entry:
                del self._unwritten[key]
        return ""

    async def _load(self) -> str:
        rows = await self._store.read_table(TABLE)
        if isinstance(rows, Failure):
            return str(rows)
        by_key = {row.key: row for row in rows.rows}
        error = await self._load_key(by_key.pop(KEY_ROW, None))
        if error:
            return error
        stored: set[str] = set()
        for row in by_key.values():
            entry = self._decode_entry(row)
            if entry is not None:
                stored.add(entry.key)
                self._quarantine.add_entry(entry, idle_ms=0)
        for entry in self._quarantine.entries():
            if entry.key not in stored and self._quarantine.is_responsible(entry.key):
                self._unwritten.setdefault(entry.key, entry)
        return ""

    async def _load_key(self, row: Row | None) -> str:
        """Use the stored key, or store one if there is none."""
        if row is None:
            key = self._fingerprinter.key or secrets.token_bytes(KEY_BYTES)
            written = await self._store.write(
                conditions=(Condition(TABLE, KEY_ROW, 0),),
                puts=(Put(TABLE, KEY_ROW, key),),
            )
            if isinstance(written, Failure):
                return str(written)
            if isinstance(written, Conflict):
                found = [r for r in written.rows if r.key == KEY_ROW and r.value]
                if not found:
                    return "the key of the fingerprints was written and is missing"
                key = found[0].value or b""
        else:
            key = row.value or b""
        if self._fingerprinter.key not in (b"", key):
            self._log.event("quarantine_key_changed")
        self._fingerprinter.key = key[:KEY_BYTES]
        return ""

    def _decode_entry(self, row: Row) -> Entry | None:
        entry = decode_entry(row.key, row.value or b"")
        if isinstance(entry, Failure):
            self._log.event("quarantine_row_refused", row=row.key, error=str(entry))
            return None
        return entry

    async def _write(self, key: str, entry: Entry | None) -> str:
        row_key = self._fingerprinter.shorten(key)
        if entry is None:
            written = await self._store.write(removals=(Removal(TABLE, row_key),))
        else:
            value = msgspec.json.encode(_EntryRow(**msgspec.structs.asdict(entry)))
            written = await self._store.write(puts=(Put(TABLE, row_key, value),))
        return "" if isinstance(written, int) else str(written)
