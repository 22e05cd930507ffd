"""The configuration in the table: applied by compare-and-set, with history.

One transaction writes the head row and the history row of the new revision.
Changes that raced are merged where their sections don't touch. A commit with a
lost answer is settled by its change token.
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
    """The head is another one; ``in_doubt`` says that it may be this change."""

    is_in_doubt: bool


class ConfigStore(ConfigReader):
    """Applies and reads revisions of the configuration.

    Parameters
    ----------
    table : Table
        The platform's table service.
    clock : Clock
        Gives wall time and waits.
    rng : random.Random
        Draws change tokens; `random.SystemRandom` outside of tests.
    max_kept_revisions : int
        Number of revisions kept, the one in force among them.
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
        """Put a checked document in force.

        If ``expected_number`` is no longer in force, the change is merged with
        those that came since, where their sections don't touch.

        Parameters
        ----------
        document : Document
            What to put in force.
        expected_number : int
            Revision that the change is based on; 0 for none yet.
        author, note : str
            Who and why.
        change_token : str
            Token of an earlier call whose answer was lost: the same change is
            then applied once however often it is asked for. Drawn if empty.
        merge : bool
            Whether to merge; without, any change since is a conflict.
        may_be_retry : bool
            Whether a given change token may have been sent before.

        Returns
        -------
        Revision
            The change took effect, as this revision.
        ApplyConflict
            It did not and never will.
        Failure
            ``Reason.IN_DOUBT`` if it may have or may yet; the detail names the
            change token. Any other reason: this call did not and never will;
            an earlier one with the same change token still may.
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
        """Apply on one head after the other until it is known how it ends."""
        detail = f"the head moved on {MAX_APPLY_ATTEMPTS} times"
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
        """Return the change as it was applied already, or ``None``.

        It can't be applied any more on a revision below ``number``, so that all
        places are looked at where it may be, but the next.
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
                    change, f"revision {after + 1} isn't kept any more"
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
        """Return the applied revision, if it is this change, not just its token."""
        base = await self._read_base(change)
        if isinstance(base, Failure):
            return in_doubt_failure(change, str(base))
        if not change.has_effect_in(applied, base):
            detail = f"change token {change.token} is that of another change"
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

        The head's row revision never returns to an earlier value. While it is
        still the expected one, a commit sent earlier may land later, and its
        absence proves nothing; the same commit is then sent again, which takes
        effect at most once. When it has moved on, no copy can land any more,
        and the history, which is written together with the head, has the
        change token if one did.
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
        """Delete a batch of the oldest revisions that are no longer kept.

        The outcome doesn't matter: what is left over goes with a later change.
        """
        rows = await self._table.scan(HISTORY_PREFIX, limit=PRUNE_BATCH_ROWS)
        if isinstance(rows, Failure):
            return
        first_kept = number - self._max_kept_revisions + 1
        old = [row for row in rows if number_from_key(row.key) < first_kept]
        if old:
            await self._table.commit([Write(r.key, None, r.revision) for r in old])


__all__ = ["ApplyConflict", "ConfigStore"]
