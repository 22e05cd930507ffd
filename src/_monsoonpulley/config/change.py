"""One change of the configuration while it is applied: decisions without I/O."""

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
    """The result for a change that another change, applied first, ruled out.

    Attributes
    ----------
    expected_number : int
        Revision that the change was based on.
    author : str
        Author of the change.
    current : Revision
        Revision in force.
    theirs : tuple of SectionChange
        Differences of the current revision from the expected one; empty if
        that is no longer kept.
    yours : tuple of SectionChange
        Differences of the change from the expected revision, or from the
        current one if the expected one is no longer kept.
    same_sections : tuple of str
        Sections in which the changes conflict.
    problems : tuple of str
        Problems that the merged document would have.
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
    """The outcome of a change and its inputs, as logged.

    Attributes
    ----------
    rule : str
        Rule that gave the outcome.
    expected_number : int
        Revision that the change was based on.
    number : int
        Revision that it became or conflicts with; 0 if it failed.
    theirs, yours, same_sections : tuple of str
        For conflicts: sections that each side changed and that conflict.
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
    """A requested change and what is known about its commits.

    Attributes
    ----------
    document : Document
        Complete requested document.
    expected_number : int
        Revision that the change is based on; 0 before the first.
    token : str
        Change token.
    requested_wall_ms : int
        When the change was requested.
    is_merge_allowed : bool
        Whether it may be merged with changes applied after that revision.
    may_be_applied : bool
        Whether a commit with this change token may have been sent.
    is_in_doubt : bool
        Whether the outcome of a commit sent by this call is unknown.
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
        """Return the change as the revision with this number."""
        return Revision(
            number=number,
            change_token=self.token,
            author=self.author,
            applied_wall_ms=self.requested_wall_ms,
            document=document,
            note=self.note,
        )

    def has_effect_in(self, applied: Revision, base: Document | None) -> bool:
        """Return whether a revision with this change's token has its effect."""
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
        """Return the change merged into ``current``, or the conflict.

        The same inputs always give the same result. A change that conflicts
        with the head therefore has no commit in transit that is based on it.
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
    """Return the log entry for the result of a change."""
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
    """Return the failure of a change that may have taken or may yet take effect."""
    text = f"change token {change.token}: {detail}"
    return Failure(Reason.IN_DOUBT, STEP, PEER, text)
