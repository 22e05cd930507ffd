"""The configuration in the table, changed by compare-and-set, with its history.

One transaction writes the head row and the history row of the new revision.
Concurrent changes are merged if their sections don't conflict. Whether a commit
with a lost answer took effect is found out by its change token.
"""

from __future__ import annotations

import random

import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..external.table import ABSENT_REVISION, Committed, Conflict, Table, Write
from ..observability.log import Log
from .change import PEER, STEP, ApplyConflict, Change, build_decision, in_doubt_failure
from .document import Document, Revision
from .reader import ConfigReader
from .rows import (
    HEAD_KEY,
    HISTORY_PREFIX,
    decode_revision,
    encode_revision,
    history_key,
    number_from_key,
    read_change_token,
)

MAX_KEPT_REVISIONS = 1_000
PRUNE_BATCH_ROWS = 2
FIND_BATCH_ROWS = 20
MAX_APPLY_ATTEMPTS = 20
MAX_COMMIT_ATTEMPTS = 8
COMMIT_RETRY_MS = 100
MAX_COMMIT_RETRY_MS = 2_000
CHANGE_TOKEN_BITS = 128


class _HeadMoved(msgspec.Struct, frozen=True):
    """The head has moved on; with ``is_in_doubt`` this change may have moved it."""

    is_in_doubt: bool


class ConfigStore(ConfigReader):
    """Applies and reads revisions of the configuration.

    Parameters
    ----------
    table : Table
        The platform's table service.
    clock : Clock
        Gives the wall time and waits between attempts.
    rng : random.Random
        Draws change tokens; `random.SystemRandom` outside of tests.
    max_kept_revisions : int
        Number of revisions kept, including the one in force.
    log : Log, optional
        Gets an `ApplyDecision` for each change.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        rng: random.Random,
        *,
        max_kept_revisions: int = MAX_KEPT_REVISIONS,
        log: Log | None = None,
    ):
        super().__init__(table)
        self._clock = clock
        self._rng = rng
        self._max_kept_revisions = max_kept_revisions
        self._log = log

    async def apply(
        self,
        document: Document,
        *,
        expected_number: int,
        author: str,
        note: str = "",
        change_token: str = "",
        merge: bool = True,
        may_be_retry: bool = True,
    ) -> Revision | ApplyConflict | Failure:
        """Put a checked document into force.

        If ``expected_number`` is no longer in force, the change is merged with
        the later ones, unless their sections conflict.

        Parameters
        ----------
        document : Document
            Document to put into force.
        expected_number : int
            Revision that the change is based on; 0 before the first.
        author, note : str
            Who makes the change, and why.
        change_token : str
            Token of an earlier call whose answer was lost; the change is then
            applied once however often it is sent. Drawn if empty.
        merge : bool
            Whether to merge; otherwise any later change is a conflict.
        may_be_retry : bool
            Whether an earlier call may have sent the given change token.

        Returns
        -------
        Revision
            The change took effect as this revision.
        ApplyConflict
            The change did not take effect and never will.
        Failure
            ``Reason.IN_DOUBT`` if the change may have taken or may yet take
            effect; the detail names the change token. Any other reason: this
            call had no effect and never will, but an earlier one with the same
            change token still may.
        """
        change = Change(
            document=document,
            expected_number=expected_number,
            author=author,
            note=note,
            token=change_token or f"{self._rng.getrandbits(CHANGE_TOKEN_BITS):032x}",
            requested_wall_ms=self._clock.wall_ms(),
            may_be_applied=bool(change_token) and may_be_retry,
            is_merge_allowed=merge,
        )
        result = await self._apply_with_retries(change)
        if self._log is not None:
            self._log.decision(build_decision(change, result))
        if isinstance(result, Revision):
            await self._prune(result.number)
        return result

    async def _apply_with_retries(
        self, change: Change
    ) -> Revision | ApplyConflict | Failure:
        """Apply the change on the current head, again each time the head moves on."""
        detail = f"another change came first in each of {MAX_APPLY_ATTEMPTS} attempts"
        result: Revision | ApplyConflict | Failure | _HeadMoved
        for _ in range(MAX_APPLY_ATTEMPTS):
            result = await self._apply_on_head(change)
            if not isinstance(result, _HeadMoved):
                break
            change.may_be_applied = change.may_be_applied or result.is_in_doubt
            change.is_in_doubt = change.is_in_doubt or result.is_in_doubt
        else:
            result = Failure(Reason.CONFLICT, STEP, PEER, detail)
        if isinstance(result, Failure) and change.is_in_doubt:
            return in_doubt_failure(change, str(result))
        return result

    async def _apply_on_head(
        self, change: Change
    ) -> Revision | ApplyConflict | Failure | _HeadMoved:
        head = await self._read_head_row()
        if isinstance(head, Failure):
            return head
        row, current = head
        number = current.number if current else 0
        if number < change.expected_number:
            detail = f"there is no revision {change.expected_number} yet"
            return Failure(Reason.INVALID, STEP, PEER, detail)
        document = change.document
        if current is not None and number > change.expected_number:
            applied = await self._find_applied(change, number)
            if applied is not None:
                return applied
            merged = await self._merge_into(change, current)
            if not isinstance(merged, Document):
                return merged
            document = merged
        row_revision = row.revision if row else ABSENT_REVISION
        return await self._commit(
            change.to_revision(number + 1, document), row_revision
        )

    async def _find_applied(
        self, change: Change, number: int
    ) -> Revision | Failure | None:
        """Return the revision in which the change was already applied, or ``None``.

        No commit can land on a revision below ``number`` any more. The scan up
        to ``number`` therefore finds the change if it was applied; it can only
        still land as the next revision.
        """
        if not change.may_be_applied:
            return None
        after = change.expected_number
        while after < number:
            rows = await self._table.scan(
                HISTORY_PREFIX, after=history_key(after), limit=FIND_BATCH_ROWS
            )
            if isinstance(rows, Failure):
                return rows
            if not rows or number_from_key(rows[0].key) != after + 1:
                return in_doubt_failure(
                    change, f"revision {after + 1} is no longer kept"
                )
            for row in rows:
                if read_change_token(row) == change.token:
                    applied = decode_revision(row)
                    assert applied is not None
                    if isinstance(applied, Failure):
                        return applied
                    return await self._verify_applied(change, applied)
            after = number_from_key(rows[-1].key)
        change.is_in_doubt = False
        return None

    async def _verify_applied(
        self, change: Change, applied: Revision
    ) -> Revision | Failure:
        """Return the applied revision, or a failure if it is not this change.

        Another change may have reused the token.
        """
        base = await self._read_base(change)
        if isinstance(base, Failure):
            return in_doubt_failure(change, str(base))
        if not change.has_effect_in(applied, base):
            detail = f"change token {change.token} belongs to another change"
            return Failure(Reason.INVALID, STEP, PEER, detail)
        return applied

    async def _read_base(self, change: Change) -> Document | Failure | None:
        if change.expected_number == 0:
            return Document()
        kept = await self.read_revision(change.expected_number)
        return kept.document if isinstance(kept, Revision) else kept

    async def _merge_into(
        self, change: Change, current: Revision
    ) -> Document | ApplyConflict | Failure:
        base = await self._read_base(change)
        if isinstance(base, Failure):
            return base
        return change.merge_into(base, current)

    async def _commit(
        self, revision: Revision, row_revision: int
    ) -> Revision | Failure | _HeadMoved:
        """Commit until it is known whether the revision took effect.

        The row revision of the head never returns to an earlier value. While
        it is the expected one, an earlier commit may still land, so that the
        absence of its effect proves nothing; the same commit is sent again and
        takes effect at most once. Once the row revision has moved on, no copy
        can land any more. If one did, its change token is in the history, which
        is written together with the head.
        """
        value = encode_revision(revision)
        writes = (
            Write(HEAD_KEY, value, row_revision),
            Write(history_key(revision.number), value, ABSENT_REVISION),
        )
        is_in_doubt = False
        wait_ms = COMMIT_RETRY_MS
        for _ in range(MAX_COMMIT_ATTEMPTS):
            result = await self._table.commit(writes)
            if isinstance(result, Committed):
                return revision
            if isinstance(result, Conflict):
                return _HeadMoved(is_in_doubt)
            is_in_doubt = is_in_doubt or result.reason is Reason.IN_DOUBT
            if not is_in_doubt:
                return result
            await self._clock.sleep_ms(wait_ms * (0.5 + self._rng.random() / 2))
            wait_ms = min(2 * wait_ms, MAX_COMMIT_RETRY_MS)
        detail = f"change token {revision.change_token}: {result}"
        return Failure(Reason.IN_DOUBT, STEP, PEER, detail)

    async def _prune(self, number: int) -> None:
        """Delete up to ``PRUNE_BATCH_ROWS`` revisions that are no longer kept.

        A failure doesn't matter: a later change deletes what is left.
        """
        rows = await self._table.scan(HISTORY_PREFIX, limit=PRUNE_BATCH_ROWS)
        if isinstance(rows, Failure):
            return
        first_kept = number - self._max_kept_revisions + 1
        old = [row for row in rows if number_from_key(row.key) < first_kept]
        if old:
            await self._table.commit([Write(r.key, None, r.revision) for r in old])


__all__ = ["ApplyConflict", "ConfigStore"]
