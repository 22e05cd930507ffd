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
from .trials import (
    TRIAL_TABLE,
    TrialClaim,
    TrialRow,
    decode_trial_row,
    encode_claim,
)

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
        self._must_write_trials = False
        self._unwritten: dict[str, Entry | None] = {}
        self._claims: dict[str, TrialClaim] = {}
        self._has_work = asyncio.Event()

    def put(self, entry: Entry) -> None:
        """Write an entry soon."""
        self._unwritten[entry.key] = entry
        self._has_work.set()

    def remove(self, entry: Entry) -> None:
        """Remove an entry soon."""
        self._unwritten[entry.key] = None
        self._has_work.set()

    def claim(self, claim: TrialClaim) -> None:
        """Claim a trial soon."""
        self._claims[claim.entry.key] = claim
        self._has_work.set()

    def repeat(self) -> None:
        """Read the table again soon and write what is missing in it."""
        self._must_load = self._must_write_trials = True
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
        if self._must_write_trials:
            error = await self._write_lost_trials()
            if error:
                return error
            self._must_write_trials = False
        while self._unwritten:
            key, entry = next(iter(self._unwritten.items()))
            error = await self._write(key, entry)
            if error:
                return error
            if self._unwritten.get(key) is entry:
                del self._unwritten[key]
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            error = await self._decide_claim(claim)
            if error:
                return error
            if self._claims.get(key) is claim:
                del self._claims[key]
        return ""

    async def _decide_claim(self, claim: TrialClaim) -> str:
        """Write a claim if its row allows it, and tell the quarantine."""
        key = self._fingerprinter.shorten(claim.entry.key)
        row = await self._store.read_row(TRIAL_TABLE, key)
        if isinstance(row, Failure):
            return str(row)
        stored = self._decode_trial(row)
        if stored is not None and stored.claim == claim.name:
            # An earlier write took effect, though its answer was lost.
            self._quarantine.decide_claim(
                claim, is_granted=True, tried_versions=stored.versions
            )
            return ""
        if stored is not None and not stored.allows(claim):
            self._quarantine.decide_claim(
                claim, is_granted=False, tried_versions=stored.versions
            )
            return ""
        row_version = row.row_version if row is not None else 0
        written = await self._store.write(
            conditions=(Condition(TRIAL_TABLE, key, row_version),),
            puts=(Put(TRIAL_TABLE, key, encode_claim(claim, stored)),),
        )
        if not isinstance(written, int):
            return str(written)
        self._quarantine.decide_claim(claim, is_granted=True, tried_versions=())
        return ""

    async def _write_lost_trials(self) -> str:
        """Write the trials that are known here to a store that lost what it held."""
        for entry, versions in self._quarantine.tried_entries():
            key = self._fingerprinter.shorten(entry.key)
            claim = TrialClaim(entry, versions, False, "")
            written = await self._store.write(
                conditions=(Condition(TRIAL_TABLE, key, 0),),
                puts=(Put(TRIAL_TABLE, key, encode_claim(claim, None)),),
            )
            if isinstance(written, Failure):
                return str(written)
        return ""

    def _decode_trial(self, row: Row | None) -> TrialRow | None:
        if row is None or row.value is None:
            return None
        trial = decode_trial_row(row.key, row.value)
        if isinstance(trial, Failure):
            self._log.event("quarantine_row_refused", row=row.key, error=str(trial))
            return None
        return trial

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
            removals = (Removal(TABLE, row_key), Removal(TRIAL_TABLE, row_key))
            written = await self._store.write(removals=removals)
        else:
            value = msgspec.json.encode(_EntryRow(**msgspec.structs.asdict(entry)))
            written = await self._store.write(puts=(Put(TABLE, row_key, value),))
        return "" if isinstance(written, int) else str(written)
