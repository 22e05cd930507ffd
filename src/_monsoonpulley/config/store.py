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
from .change import PEER, STEP, ApplyConflict, Change, explain, in_doubt
from .document import Document, Revision
from .reader import ConfigReader
from .rows import (
    HEAD_KEY,
    HISTORY_PREFIX,
    decode_revision,
    encode_revision,
    history_key,
    number_of,
    token_of,
)

HISTORY_KEPT = 1_000
PRUNE_BATCH = 2
FIND_BATCH = 20
MERGE_ROUNDS = 20
SETTLE_ATTEMPTS = 8
SETTLE_FIRST_WAIT_MS = 100
SETTLE_MAX_WAIT_MS = 2_000
TOKEN_BITS = 128


class _HeadMoved(msgspec.Struct, frozen=True):
    """The head is another one; ``in_doubt`` says that it may be this change."""

    in_doubt: bool


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
    history_kept : int
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
        history_kept: int = HISTORY_KEPT,
        log: Log | None = None,
    ):
        super().__init__(table)
        self._clock = clock
        self._rng = rng
        self._history_kept = history_kept
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
        repeated: bool = True,
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
        repeated : bool
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
            token=change_token or f"{self._rng.getrandbits(TOKEN_BITS):032x}",
            wall_ms=self._clock.wall_ms(),
            may_be_applied=bool(change_token) and repeated,
            merge=merge,
        )
        result = await self._settle(change)
        if self._log is not None:
            self._log.decision(explain(change, result))
        if isinstance(result, Revision):
            await self._prune(result.number)
        return result

    async def _settle(self, change: Change) -> Revision | ApplyConflict | Failure:
        """Apply on one head after the other until it is known how it ends."""
        detail = f"the head moved on {MERGE_ROUNDS} times"
        result: Revision | ApplyConflict | Failure | _HeadMoved
        for _ in range(MERGE_ROUNDS):
            result = await self._apply_on_head(change)
            if not isinstance(result, _HeadMoved):
                break
            change.may_be_applied = change.may_be_applied or result.in_doubt
            change.is_in_doubt = change.is_in_doubt or result.in_doubt
        else:
            result = Failure(Reason.CONFLICT, STEP, PEER, detail)
        if isinstance(result, Failure) and change.is_in_doubt:
            return in_doubt(change, str(result))
        return result

    async def _apply_on_head(
        self, change: Change
    ) -> Revision | ApplyConflict | Failure | _HeadMoved:
        head = await self._read_head()
        if isinstance(head, Failure):
            return head
        row, current = head
        number = current.number if current else 0
        if number < change.expected_number:
            detail = f"there is no revision {change.expected_number} yet"
            return Failure(Reason.INVALID, STEP, PEER, detail)
        document = change.document
        if current is not None and number > change.expected_number:
            landed = await self._find(change, number)
            if landed is not None:
                return landed
            merged = await self._merge(change, current)
            if not isinstance(merged, Document):
                return merged
            document = merged
        row_revision = row.revision if row else ABSENT_REVISION
        return await self._commit(change.revision(number + 1, document), row_revision)

    async def _find(self, change: Change, number: int) -> Revision | Failure | None:
        """Return the change as it was applied already, or ``None``.

        It can't be applied any more on a revision below ``number``, so that all
        places are looked at where it may be, but the next.
        """
        if not change.may_be_applied:
            return None
        after = change.expected_number
        while after < number:
            rows = await self._table.scan(
                HISTORY_PREFIX, after=history_key(after), limit=FIND_BATCH
            )
            if isinstance(rows, Failure):
                return rows
            if not rows or number_of(rows[0].key) != after + 1:
                return in_doubt(change, f"revision {after + 1} isn't kept any more")
            for row in rows:
                if token_of(row) == change.token:
                    landed = decode_revision(row)
                    assert landed is not None
                    if isinstance(landed, Failure):
                        return landed
                    return await self._own(change, landed)
            after = number_of(rows[-1].key)
        change.is_in_doubt = False
        return None

    async def _own(self, change: Change, landed: Revision) -> Revision | Failure:
        """Return the landed revision, if it is this change, not just its token."""
        base = await self._base(change)
        if isinstance(base, Failure):
            return in_doubt(change, str(base))
        if not change.is_in(landed, base):
            detail = f"change token {change.token} is that of another change"
            return Failure(Reason.INVALID, STEP, PEER, detail)
        return landed

    async def _base(self, change: Change) -> Document | Failure | None:
        if change.expected_number == 0:
            return Document()
        kept = await self.show(change.expected_number)
        return kept.document if isinstance(kept, Revision) else kept

    async def _merge(
        self, change: Change, current: Revision
    ) -> Document | ApplyConflict | Failure:
        base = await self._base(change)
        if isinstance(base, Failure):
            return base
        return change.merged(base, current)

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
        wait_ms = SETTLE_FIRST_WAIT_MS
        for _ in range(SETTLE_ATTEMPTS):
            result = await self._table.commit(writes)
            if isinstance(result, Committed):
                return revision
            if isinstance(result, Conflict):
                return _HeadMoved(is_in_doubt)
            is_in_doubt = is_in_doubt or result.reason is Reason.IN_DOUBT
            if not is_in_doubt:
                return result
            await self._clock.sleep_ms(wait_ms * (0.5 + self._rng.random() / 2))
            wait_ms = min(2 * wait_ms, SETTLE_MAX_WAIT_MS)
        detail = f"change token {revision.change_token}: {result}"
        return Failure(Reason.IN_DOUBT, STEP, PEER, detail)

    async def _prune(self, number: int) -> None:
        """Delete a batch of the oldest revisions that are no longer kept.

        The outcome doesn't matter: what is left over goes with a later change.
        """
        rows = await self._table.scan(HISTORY_PREFIX, limit=PRUNE_BATCH)
        if isinstance(rows, Failure):
            return
        first_kept = number - self._history_kept + 1
        old = [row for row in rows if number_of(row.key) < first_kept]
        if old:
            await self._table.commit([Write(r.key, None, r.revision) for r in old])


__all__ = ["ApplyConflict", "ConfigStore"]
