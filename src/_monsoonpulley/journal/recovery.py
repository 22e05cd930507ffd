"""Adoption of records whose holder is gone.

The former holder may be paused rather than gone. It can't start another attempt,
because that takes a confirmed write under a revision which the adoption has
changed. But its dispatch may already be confirmed, so that it sends the call when
it resumes. An adopted dispatch is therefore never simply sent again: the endpoint
is asked. Only if it answers that it did not run the call, after which it refuses
the call for ever, another endpoint is tried. If it can't answer, the record becomes
``UNKNOWN``. The paused holder may then still send its one attempt, and its answer
turns the record to ``DONE``.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..errors import Failure
from ..external.table import Table
from ..ids import EndpointId, InstanceId, RequestId
from ..observability.log import Decision, Log
from .journal import Journal
from .record import KEY_PREFIX, JournalRecord, State, StoredRecord
from .store import decode_row

IsGone = Callable[[InstanceId, int], bool]


class RecoverySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one recovery pass.

    Attributes
    ----------
    page_rows : int
        Rows read in one scan.
    max_adoptions : int
        Most records adopted in one pass.
    """

    page_rows: int = 500
    max_adoptions: int = 200


class RecoveryReport(msgspec.Struct, frozen=True):
    """Result of one pass; ``unreadable`` rows are left unchanged."""

    scanned: int = 0
    adopted: int = 0
    unreadable: int = 0


class AdoptionDecision(Decision, frozen=True, kw_only=True, tag="journal_adoption"):
    """A record without a live holder; ``rule`` says whether adoption was started."""

    request_id: RequestId
    revision: int
    state: State
    holder: InstanceId
    incarnation: int
    adopter: InstanceId
    endpoint: EndpointId | None
    attempt: int


class Recovery:
    """Adopts records whose holder is gone.

    Parameters
    ----------
    journal : Journal
        Journal of this instance, which processes the adopted records.
    table : Table
        Table of the records.
    log : Log
        Log of the decisions.
    settings : RecoverySettings
        Limits of a pass.
    """

    def __init__(
        self, journal: Journal, table: Table, log: Log, settings: RecoverySettings
    ):
        self._journal = journal
        self._table = table
        self._log = log
        self._settings = settings

    async def recover(
        self, is_gone: IsGone, shard: str = ""
    ) -> RecoveryReport | Failure:
        """Scan a shard once and adopt the records without a live holder.

        Parameters
        ----------
        is_gone : callable
            Returns whether an instance, in a given incarnation, is gone.
        shard : str
            First hex digits of the request ids to scan; empty for all.
        """
        scanned = adopted = unreadable = 0
        after = ""
        while adopted < self._settings.max_adoptions:
            rows = await self._table.scan(
                KEY_PREFIX + shard, after=after, limit=self._settings.page_rows
            )
            if isinstance(rows, Failure):
                return rows
            for row in rows:
                stored = decode_row(row)
                unreadable += isinstance(stored, Failure)
                adopted += await self._adopt_if_abandoned(stored, is_gone)
            scanned += len(rows)
            if len(rows) < self._settings.page_rows:
                break
            after = rows[-1].key
        return RecoveryReport(scanned, adopted, unreadable)

    async def _adopt_if_abandoned(
        self, stored: StoredRecord | Failure, is_gone: IsGone
    ) -> bool:
        if isinstance(stored, Failure) or stored.record.is_terminal():
            return False
        if not self._is_abandoned(stored.record, is_gone):
            return False
        is_started = await self._journal.adopt(stored)
        self._log.decision(self._decision(stored, is_started))
        return is_started

    def _decision(self, stored: StoredRecord, is_started: bool) -> AdoptionDecision:
        record = stored.record
        return AdoptionDecision(
            rule="its holder is gone" if is_started else "left to a later pass",
            request_id=record.request_id,
            revision=stored.revision,
            state=record.state,
            holder=record.holder,
            incarnation=record.incarnation,
            adopter=self._journal.instance,
            endpoint=record.endpoint,
            attempt=record.attempt,
        )

    def _is_abandoned(self, record: JournalRecord, is_gone: IsGone) -> bool:
        """Return whether no live instance processes the record."""
        mine = (self._journal.instance, self._journal.incarnation)
        if (record.holder, record.incarnation) == mine:
            # An adoption whose answer was lost may have taken effect late.
            return not self._journal.is_running(record.request_id)
        return is_gone(record.holder, record.incarnation)
