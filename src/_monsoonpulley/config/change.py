"""One change of the configuration on its way: pure decisions about it."""

from __future__ import annotations

import msgspec

from ..errors import Failure, Reason
from ..observability.log import Decision
from .check import check_document
from .difference import Difference, diff_documents
from .document import Document, Revision
from .merge import conflicting_sections, merge

STEP = "config.apply"
PEER = "table"


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
        Sections in which both changes touch.
    problems : tuple of str
        What would be wrong with the merged document.
    """

    expected_number: int
    author: str
    current: Revision
    theirs: Difference = ()
    yours: Difference = ()
    same_sections: tuple[str, ...] = ()
    problems: tuple[str, ...] = ()

    def __str__(self) -> str:
        return (
            f"revision {self.expected_number} was expected, but revision "
            f"{self.current.number} by {self.current.author!r} came before the "
            f"change by {self.author!r}"
        )


class ApplyDecision(Decision, frozen=True, tag="config_apply", kw_only=True):
    """What became of a change, and from which inputs.

    Attributes
    ----------
    rule : str
        Which of the ways a change can go it went.
    expected_number : int
        Revision that it was based on.
    number : int
        Revision that it became, or that it is in conflict with; 0 if it failed.
    theirs, yours, same_sections : tuple of str
        Sections that differ and that touch, for conflicts.
    """

    change_token: str
    author: str
    expected_number: int
    merge: bool
    number: int = 0
    other_author: str = ""
    theirs: tuple[str, ...] = ()
    yours: tuple[str, ...] = ()
    same_sections: tuple[str, ...] = ()
    problems: tuple[str, ...] = ()
    failure: str = ""


class Change(msgspec.Struct, kw_only=True):
    """A change, and what is known about its way so far.

    Attributes
    ----------
    document : Document
        The whole document as its author wants it.
    expected_number : int
        Revision that it is based on; 0 for none yet.
    token : str
        Change token.
    wall_ms : int
        When it was asked for.
    merge : bool
        Whether it may be merged with changes that came since.
    may_be_applied : bool
        Whether a commit with its token may have been sent.
    is_in_doubt : bool
        Whether a commit of this very call isn't settled.
    """

    document: Document
    expected_number: int
    author: str
    note: str
    token: str
    requested_wall_ms: int
    is_merge_allowed: bool
    may_be_applied: bool = False
    is_in_doubt: bool = False

    def to_revision(self, number: int, document: Document) -> Revision:
        """Return the revision that this change becomes."""
        return Revision(
            number=number,
            change_token=self.token,
            author=self.author,
            applied_wall_ms=self.requested_wall_ms,
            document=document,
            note=self.note,
        )

    def has_effect_in(self, applied: Revision, base: Document | None) -> bool:
        """Whether a revision with this change's token has its effect, too."""
        if applied.author != self.author:
            return False
        if applied.number == self.expected_number + 1:
            return applied.document == self.document
        if base is None:
            return True
        return merge(base, applied.document, self.document) == applied.document

    def merge_into(
        self, base: Document | None, current: Revision
    ) -> Document | ApplyConflict:
        """Return the change merged into ``current``, where that is safe.

        The same inputs always give the same result. So while a change is in
        conflict with the head, no copy of it on its way is based on that head.
        """
        theirs: Difference = ()
        conflicting: tuple[str, ...] = ()
        problems: tuple[str, ...] = ()
        if base is not None:
            theirs = diff_documents(base, current.document)
            conflicting = conflicting_sections(base, current.document, self.document)
        if base is not None and self.is_merge_allowed and not conflicting:
            merged = merge(base, current.document, self.document)
            found = check_document(merged, "merged")
            if not found:
                return merged
            problems = tuple(str(one) for one in found)
        return ApplyConflict(
            expected_number=self.expected_number,
            author=self.author,
            current=current,
            theirs=theirs,
            yours=diff_documents(base or current.document, self.document),
            same_sections=conflicting,
            problems=problems,
        )


def build_decision(
    change: Change, result: Revision | ApplyConflict | Failure
) -> ApplyDecision:
    """Return the decision that a result comes from, for the log."""
    inputs = {
        "change_token": change.token,
        "author": change.author,
        "expected_number": change.expected_number,
        "merge": change.is_merge_allowed,
    }
    if isinstance(result, Failure):
        rule = "in_doubt" if result.reason is Reason.IN_DOUBT else "failed"
        return ApplyDecision(rule=rule, failure=str(result), **inputs)
    if isinstance(result, Revision):
        is_next = result.number == change.expected_number + 1
        rule = "expected_is_in_force" if is_next else "sections_do_not_touch"
        return ApplyDecision(rule=rule, number=result.number, **inputs)
    return ApplyDecision(
        rule=_conflict_rule(change, result),
        number=result.current.number,
        other_author=result.current.author,
        theirs=tuple(one.section for one in result.theirs),
        yours=tuple(one.section for one in result.yours),
        same_sections=result.same_sections,
        problems=result.problems,
        **inputs,
    )


def _conflict_rule(change: Change, conflict: ApplyConflict) -> str:
    if conflict.same_sections:
        return "sections_touch"
    if conflict.problems:
        return "merged_is_not_valid"
    return "base_is_not_kept" if change.is_merge_allowed else "merge_not_wanted"


def in_doubt_failure(change: Change, detail: str) -> Failure:
    """Return the failure for a change that may have been or may yet be applied."""
    text = f"change token {change.token}: {detail}"
    return Failure(Reason.IN_DOUBT, STEP, PEER, text)
