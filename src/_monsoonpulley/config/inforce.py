"""The revision in force on an instance; its number only rises."""

from __future__ import annotations

from enum import Enum

from ..observability.log import Decision
from .document import Revision


class Source(Enum):
    """Source of a revision."""

    TABLE = "table"
    PEER = "peer"


class Verdict(Enum):
    """Outcome of offering a revision."""

    ADOPTED = "adopted"
    SAME = "same"
    LOWER = "lower"
    CLASHES = "clashes"
    """Equal number with another change token; this is a fault and is logged."""


class RevisionDecision(Decision, frozen=True, tag="config_revision", kw_only=True):
    """The outcome of offering a revision and its inputs, as logged."""

    verdict: Verdict
    source: Source
    offered_number: int
    offered_token: str
    offered_author: str
    previous_number: int
    previous_token: str
    now_ms: int


class RevisionInForce:
    """The revision in force on one instance.

    The number only rises. The store rules out two revisions with the same
    number; should it happen, the first stays and the second is reported.
    """

    def __init__(self) -> None:
        self.revision: Revision | None = None

    @property
    def number(self) -> int:
        """The number in force, 0 before the first revision."""
        return self.revision.number if self.revision else 0

    @property
    def change_token(self) -> str:
        """The change token in force, empty before the first revision."""
        return self.revision.change_token if self.revision else ""

    def offer(
        self, revision: Revision, source: Source, now_ms: int
    ) -> RevisionDecision:
        """Adopt the revision if its number is higher, and return the decision."""
        verdict, rule = self._evaluate(revision)
        decision = RevisionDecision(
            rule=rule,
            verdict=verdict,
            source=source,
            offered_number=revision.number,
            offered_token=revision.change_token,
            offered_author=revision.author,
            previous_number=self.number,
            previous_token=self.change_token,
            now_ms=now_ms,
        )
        if verdict is Verdict.ADOPTED:
            self.revision = revision
        return decision

    def _evaluate(self, revision: Revision) -> tuple[Verdict, str]:
        if revision.number > self.number:
            return Verdict.ADOPTED, "number_is_higher"
        if revision.number < self.number:
            return Verdict.LOWER, "number_is_lower"
        if revision.change_token != self.change_token:
            return Verdict.CLASHES, "same_number_other_token"
        return Verdict.SAME, "already_in_force"
