"""The configuration in the table: applied by compare-and-set, with history.

One transaction writes the head row and the history row of the new revision.
Whether a commit with a lost answer took effect is settled by `Settlement`.
"""

from __future__ import annotations

import random

import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..platform.table import ABSENT_REVISION, Committed, Conflict, Row, Table, Write
from .difference import Difference, common_sections, difference
from .document import Document, Revision
from .rows import (
    HEAD_KEY,
    HISTORY_PREFIX,
    NUMBER_DIGITS,
    decode_revision,
    encode_revision,
    history_key,
)

STEP = "config.apply"
PEER = "table"
HISTORY_KEPT = 1_000
PRUNE_BATCH = 2
SETTLE_ATTEMPTS = 8
SETTLE_FIRST_WAIT_MS = 100
SETTLE_MAX_WAIT_MS = 2_000
TOKEN_BITS = 128


class ApplyConflict(msgspec.Struct, frozen=True, kw_only=True):
    """The change was not applied, because another one came first.

    Attributes
    ----------
    expected_number : int
        Revision that the refused change was based on.
    author : str
        Author of the refused change.
    current : Revision
        What is in force, with its author.
    theirs : tuple of SectionChange
        What became of the expected revision since; where that is no longer
        kept, empty.
    yours : tuple of SectionChange
        What the refused change would have changed in the expected revision;
        where that is no longer kept, in the current one.
    same_sections : tuple of str
        Sections that both changes touch.
    """

    expected_number: int
    author: str
    current: Revision
    theirs: Difference = ()
    yours: Difference = ()
    same_sections: tuple[str, ...] = ()

    def __str__(self) -> str:
        return (
            f"revision {self.expected_number} was expected, but revision "
            f"{self.current.number} by {self.current.author!r} came before the "
            f"change by {self.author!r}"
        )


class _Attempt(msgspec.Struct, frozen=True):
    """A change that was sent, with what its commit expects."""

    revision: Revision
    head_revision: int

    def writes(self) -> tuple[Write, Write]:
        value = encode_revision(self.revision)
        key = history_key(self.revision.number)
        return (
            Write(HEAD_KEY, value, self.head_revision),
            Write(key, value, ABSENT_REVISION),
        )


class ConfigStore:
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
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        rng: random.Random,
        *,
        history_kept: int = HISTORY_KEPT,
    ):
        self._table = table
        self._clock = clock
        self._rng = rng
        self._history_kept = history_kept

    async def apply(
        self,
        document: Document,
        *,
        expected_number: int,
        author: str,
        note: str = "",
        change_token: str = "",
    ) -> Revision | ApplyConflict | Failure:
        """Put a checked document in force, if ``expected_number`` still is.

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

        Returns
        -------
        Revision
            The change took effect.
        ApplyConflict
            It did not and never will.
        Failure
            ``Reason.IN_DOUBT`` if it may have or may yet; the detail names the
            change token. Any other reason: this call did not and never will;
            an earlier one with the same change token still may.
        """
        head = await self._read_head()
        if isinstance(head, Failure):
            return head
        row, current = head
        token = change_token or f"{self._rng.getrandbits(TOKEN_BITS):032x}"
        revision = Revision(
            number=expected_number + 1,
            change_token=token,
            author=author,
            applied_wall_ms=self._clock.wall_ms(),
            document=document,
            note=note,
        )
        if _number(current) != expected_number:
            return await self._after(revision, current, sent=bool(change_token))
        attempt = _Attempt(revision, row.revision if row else ABSENT_REVISION)
        result = await self._commit(attempt)
        if isinstance(result, Revision):
            await self._prune(result.number)
        return result

    async def head(self) -> Revision | Failure | None:
        """Return the revision in force, or ``None`` before the first."""
        head = await self._read_head()
        return head if isinstance(head, Failure) else head[1]

    async def show(self, number: int) -> Revision | Failure | None:
        """Return a kept revision, or ``None`` if it isn't kept."""
        row = await self._table.read(history_key(number))
        return row if isinstance(row, Failure) else decode_revision(row)

    async def newer_than(self, number: int) -> bool | Failure:
        """Whether a revision above ``number`` was applied.

        The answer is empty while there is none, so that frequent polls stay
        small however large the document is.
        """
        rows = await self._table.scan(
            HISTORY_PREFIX, after=history_key(number), limit=1
        )
        return rows if isinstance(rows, Failure) else bool(rows)

    async def history(self, limit: int = 20) -> tuple[Revision, ...] | Failure:
        """Return the last ``limit`` kept revisions, newest first."""
        head = await self.head()
        if head is None or isinstance(head, Failure):
            return () if head is None else head
        first = max(0, head.number - limit)
        rows = await self._table.scan(
            HISTORY_PREFIX, after=history_key(first), limit=limit
        )
        if isinstance(rows, Failure):
            return rows
        revisions = []
        for row in reversed(rows):
            revision = decode_revision(row)
            if isinstance(revision, Failure):
                return revision
            assert revision is not None
            revisions.append(revision)
        return tuple(revisions)

    async def _read_head(self) -> tuple[Row | None, Revision | None] | Failure:
        row = await self._table.read(HEAD_KEY)
        if isinstance(row, Failure):
            return row
        revision = decode_revision(row)
        return revision if isinstance(revision, Failure) else (row, revision)

    async def _commit(self, attempt: _Attempt) -> Revision | ApplyConflict | Failure:
        """Commit until it is known whether the attempt took effect.

        The head's row revision never returns to an earlier value. While it is
        still the expected one, a commit sent earlier may land later, and its
        absence proves nothing; the same commit is then sent again, which takes
        effect at most once. When it has moved on, no copy can land any more,
        and the history row of the attempt's number, which was written together
        with the head, says whose change it was.
        """
        in_doubt = False
        wait_ms = SETTLE_FIRST_WAIT_MS
        for _ in range(SETTLE_ATTEMPTS):
            result = await self._table.commit(attempt.writes())
            if isinstance(result, Committed):
                return attempt.revision
            if isinstance(result, Conflict):
                return await self._after_conflict(attempt, result)
            in_doubt = in_doubt or result.reason is Reason.IN_DOUBT
            if not in_doubt:
                return result
            await self._clock.sleep_ms(wait_ms * (0.5 + self._rng.random() / 2))
            wait_ms = min(2 * wait_ms, SETTLE_MAX_WAIT_MS)
        return _in_doubt(attempt.revision, str(result))

    async def _after_conflict(
        self, attempt: _Attempt, conflict: Conflict
    ) -> Revision | ApplyConflict | Failure:
        current = decode_revision(conflict.current.get(HEAD_KEY))
        if isinstance(current, Failure):
            return current
        return await self._after(attempt.revision, current, sent=True)

    async def _after(
        self, revision: Revision, current: Revision | None, *, sent: bool
    ) -> Revision | ApplyConflict | Failure:
        """Say what became of a change whose expected revision isn't in force.

        ``sent`` says that a commit with its change token was sent before, here
        or by another entry instance.
        """
        if current is None or current.number < revision.number:
            detail = f"there is no revision {revision.number - 1} yet"
            return Failure(Reason.INVALID, STEP, PEER, detail)
        if not sent:
            return await self._conflict(revision, current)
        landed = current
        if current.number > revision.number:
            kept = await self.show(revision.number)
            if kept is None or isinstance(kept, Failure):
                return _in_doubt(revision, str(kept or "its number isn't kept"))
            landed = kept
        if landed.change_token != revision.change_token:
            return await self._conflict(revision, current)
        if landed.document != revision.document:
            detail = f"change token {revision.change_token} is that of another change"
            return Failure(Reason.INVALID, STEP, PEER, detail)
        return landed

    async def _conflict(
        self, revision: Revision, current: Revision
    ) -> ApplyConflict | Failure:
        expected_number = revision.number - 1
        base: Document | None = Document()
        if expected_number > 0:
            kept = await self.show(expected_number)
            base = kept.document if isinstance(kept, Revision) else None
        theirs: Difference = ()
        if base is not None:
            theirs = difference(base, current.document)
        yours = difference(base or current.document, revision.document)
        return ApplyConflict(
            expected_number=expected_number,
            author=revision.author,
            current=current,
            theirs=theirs,
            yours=yours,
            same_sections=common_sections(theirs, yours),
        )

    async def _prune(self, number: int) -> None:
        """Delete a batch of the oldest revisions that are no longer kept.

        The outcome doesn't matter: what is left over goes with a later change.
        """
        rows = await self._table.scan(HISTORY_PREFIX, limit=PRUNE_BATCH)
        if isinstance(rows, Failure):
            return
        first_kept = number - self._history_kept + 1
        old = [row for row in rows if int(row.key[-NUMBER_DIGITS:]) < first_kept]
        if old:
            await self._table.commit([Write(r.key, None, r.revision) for r in old])


def _number(revision: Revision | None) -> int:
    return revision.number if revision else 0


def _in_doubt(revision: Revision, detail: str) -> Failure:
    text = f"change token {revision.change_token}: {detail}"
    return Failure(Reason.IN_DOUBT, STEP, PEER, text)
