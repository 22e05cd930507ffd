"""Keeps the gateway's entries of the quarantine in the platform's table."""

from __future__ import annotations

import msgspec

from ..errors import MALFORMED_ERRORS, Failure, Reason, describe_error
from ..external.table import ABSENT_REVISION, Conflict, Table, Write
from ..ids import are_wire_counts
from ..observability.log import Log
from ..quarantine.evidence import Entry
from ..quarantine.quarantine import Quarantine
from ..quarantine.trials import TrialClaim, decode_trial_row, encode_claim

PREFIX = "quarantine/"

TRIAL_PREFIX = "quarantine-trial/"

PAGE_ROWS = 500

_decoder = msgspec.json.Decoder(Entry)


def decode_table_entry(key: str, value: bytes) -> Entry | Failure:
    """Return the entry in a row's value, or a failure if it is invalid."""
    try:
        entry = _decoder.decode(value)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.INVALID, "quarantine.decode", key, describe_error(error))
    if not are_wire_counts(entry.since_wall_ms):
        return Failure(Reason.INVALID, "quarantine.decode", key, "no wall time")
    return entry


class QuarantineTable:
    """Reads the entries once and writes changes.

    Parameters
    ----------
    table : Table
        The platform's table.
    quarantine : Quarantine
        Gets the entries that are read.
    log : Log
        Log of failures and of rows that can't be read.
    """

    def __init__(self, table: Table, quarantine: Quarantine, log: Log):
        self._table = table
        self._quarantine = quarantine
        self._log = log
        self._is_loaded = False
        self._unwritten: dict[str, Entry | None] = {}
        self._claims: dict[str, TrialClaim] = {}

    def put(self, entry: Entry) -> None:
        """Write an entry with the next `synchronize`."""
        self._unwritten[entry.key] = entry

    def remove(self, entry: Entry) -> None:
        """Remove an entry with the next `synchronize`."""
        self._unwritten[entry.key] = None

    def claim(self, claim: TrialClaim) -> None:
        """Claim a trial with the next `synchronize`."""
        self._claims[claim.entry.key] = claim

    async def synchronize(self) -> None:
        """Read the table if that was not done, and write what is due.

        What fails is logged and done with a later call.
        """
        failure = None if self._is_loaded else await self._load()
        while failure is None and self._unwritten:
            key, entry = next(iter(self._unwritten.items()))
            failure = await self._write(key, entry)
            if failure is None and self._unwritten.get(key) is entry:
                del self._unwritten[key]
        while failure is None and self._claims:
            key, claim = next(iter(self._claims.items()))
            failure = await self._decide_claim(claim)
            if failure is None and self._claims.get(key) is claim:
                del self._claims[key]
        if failure is not None:
            self._log.event("quarantine_rows_failed", error=str(failure))

    async def _load(self) -> Failure | None:
        after = ""
        while True:
            rows = await self._table.scan(PREFIX, after=after, limit=PAGE_ROWS)
            if isinstance(rows, Failure):
                return rows
            for row in rows:
                self._add_row(row.key, row.value)
            if len(rows) < PAGE_ROWS:
                self._is_loaded = True
                return None
            after = rows[-1].key

    def _add_row(self, key: str, value: bytes) -> None:
        entry = decode_table_entry(key, value)
        if isinstance(entry, Failure):
            self._log.event("quarantine_row_refused", row=key, error=str(entry))
            return
        self._quarantine.add_entry(entry, idle_ms=0)

    async def _decide_claim(self, claim: TrialClaim) -> Failure | None:
        """Write a claim if its row allows it, and tell the quarantine."""
        key = TRIAL_PREFIX + claim.entry.key
        row = await self._table.read(key)
        if isinstance(row, Failure):
            return row
        stored = None if row is None else decode_trial_row(key, row.value)
        if isinstance(stored, Failure):
            self._log.event("quarantine_row_refused", row=key, error=str(stored))
            stored = None
        is_granted = stored is not None and stored.claim == claim.name
        if stored is None or (not is_granted and stored.allows(claim)):
            revision = ABSENT_REVISION if row is None else row.revision
            value = encode_claim(claim, stored)
            result = await self._table.commit([Write(key, value, revision)])
            if isinstance(result, Failure):
                return result
            is_granted = not isinstance(result, Conflict)
        self._quarantine.decide_claim(
            claim,
            is_granted=is_granted,
            tried_versions=() if stored is None else stored.versions,
        )
        return None

    async def _write(self, key: str, entry: Entry | None) -> Failure | None:
        row = await self._table.read(PREFIX + key)
        if isinstance(row, Failure):
            return row
        if (row is None) == (entry is None):
            return None
        revision = ABSENT_REVISION if row is None else row.revision
        value = None if entry is None else msgspec.json.encode(entry)
        result = await self._table.commit([Write(PREFIX + key, value, revision)])
        if entry is None and not isinstance(result, Failure):
            return await self._remove_trial(key)
        # After a conflict another instance has written the same.
        return None if isinstance(result, Conflict) else _failure_of(result)

    async def _remove_trial(self, key: str) -> Failure | None:
        row = await self._table.read(TRIAL_PREFIX + key)
        if row is None or isinstance(row, Failure):
            return row
        removal = Write(TRIAL_PREFIX + key, None, row.revision)
        return _failure_of(await self._table.commit([removal]))


def _failure_of(result: object) -> Failure | None:
    return result if isinstance(result, Failure) else None
