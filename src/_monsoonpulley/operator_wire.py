"""JSON bodies of the operators' HTTP interface, for server and client.

============================================  ===========================
Request                                       200
============================================  ===========================
``PUT /operator/config`` (`ApplyBody`)        `RevisionBody`
``GET /operator/config[?number=N]``           `RevisionBody`
``GET /operator/config/history[?limit=N]``    `HistoryBody`
``GET /operator/config/status``               `ConfigStatusBody`
``GET /operator/status``                      `StatusBody`
``GET /operator/rollouts``                     `RolloutsBody`
``GET /operator/explain/{subject}``           `ExplainBody`
============================================  ===========================

Other statuses: 409 `ConflictBody`, 422 `InvalidBody`, and `FailureBody` for
400, 401, 403, 404 and 503. ``explain`` covers all entry instances, with
``?scope=local`` only the answering one. Requests carry
``Authorization: Bearer CREDENTIAL``.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from .config.difference import SectionChange
from .config.document import Document, Revision
from .config.ini import add_base_comment, render_document
from .config.store import ApplyConflict
from .errors import Failure, Reason
from .settings.inisections import InvalidFile, Problem

CONFIG_PATH = "/operator/config"
HISTORY_PATH = "/operator/config/history"
CONFIG_STATUS_PATH = "/operator/config/status"
STATUS_PATH = "/operator/status"
ROLLOUTS_PATH = "/operator/rollouts"
EXPLAIN_PATH = "/operator/explain/"

MAX_HISTORY_REVISIONS = 500


class ApplyBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Change of the configuration requested by an operator.

    Attributes
    ----------
    ini : str
        The whole configuration as INI text.
    expected_number : int
        Revision that the change is based on; 0 if there is none yet.
    author, note : str
        Who makes the change, and why.
    change_token : str
        32 random hexadecimal digits from the client. A request repeated with
        the same token, to any entry instance, is applied at most once.
    merge : bool
        Whether the change may be merged with others since ``expected_number``.
    repeated : bool
        Whether this is a retry with the same change token.
    """

    ini: str
    expected_number: Annotated[int, Meta(ge=0)]
    author: Annotated[str, Meta(min_length=1, max_length=200)]
    note: Annotated[str, Meta(max_length=2_000)] = ""
    change_token: Annotated[str, Meta(pattern="^([0-9a-f]{32})?$")] = ""
    merge: bool = True
    repeated: bool = False


class RevisionBody(msgspec.Struct, frozen=True):
    """A revision with its INI text; number 0 if there is no revision yet."""

    number: int
    change_token: str
    author: str
    applied_wall_ms: int
    note: str
    ini: str

    @classmethod
    def from_revision(cls, revision: Revision | None) -> RevisionBody:
        """Return the body for a revision, or for none yet."""
        if revision is None:
            revision = Revision(0, "", "", 0, Document())
        return cls(
            number=revision.number,
            change_token=revision.change_token,
            author=revision.author,
            applied_wall_ms=revision.applied_wall_ms,
            note=revision.note,
            ini=add_base_comment(revision.number, render_document(revision.document)),
        )


class RevisionSummary(msgspec.Struct, frozen=True):
    """A revision without its text."""

    number: int
    change_token: str
    author: str
    applied_wall_ms: int
    note: str

    @classmethod
    def from_revision(cls, revision: Revision) -> RevisionSummary:
        """Return the summary of a revision."""
        return cls(
            revision.number,
            revision.change_token,
            revision.author,
            revision.applied_wall_ms,
            revision.note,
        )


class HistoryBody(msgspec.Struct, frozen=True):
    """Kept revisions, newest first."""

    revisions: tuple[RevisionSummary, ...]


class ConflictBody(msgspec.Struct, frozen=True):
    """Another change came first; this one was refused and never takes effect."""

    expected_number: int
    author: str
    current: RevisionSummary
    theirs: tuple[SectionChange, ...]
    yours: tuple[SectionChange, ...]
    same_sections: tuple[str, ...]
    problems: tuple[str, ...] = ()

    @classmethod
    def from_conflict(cls, conflict: ApplyConflict) -> ConflictBody:
        """Return the body for a conflict."""
        return cls(
            expected_number=conflict.expected_number,
            author=conflict.author,
            current=RevisionSummary.from_revision(conflict.current),
            theirs=conflict.theirs,
            yours=conflict.yours,
            same_sections=conflict.same_sections,
            problems=conflict.problems,
        )


class InvalidBody(msgspec.Struct, frozen=True):
    """Problems of an invalid INI text."""

    problems: tuple[Problem, ...]

    @classmethod
    def from_error(cls, error: InvalidFile) -> InvalidBody:
        """Return the body for an invalid text."""
        return cls(error.problems)


class FailureBody(msgspec.Struct, frozen=True):
    """A failed step; with reason ``in_doubt`` the change may have taken effect."""

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""

    @classmethod
    def from_failure(cls, failure: Failure) -> FailureBody:
        """Return the body for a failure."""
        return cls(failure.reason, failure.step, failure.peer, failure.detail)

    def to_failure(self) -> Failure:
        """Return the failure that the body describes."""
        return Failure(self.reason, self.step, self.peer, self.detail)


class EntryStatus(msgspec.Struct, frozen=True):
    """One entry instance, as the answering one knows it.

    ``heard_ms_ago`` is the age of this status, -1 if none was ever received.
    """

    instance: str
    zone: str
    state: str
    number: int
    change_token: str
    heard_ms_ago: int


class ConfigStatusBody(msgspec.Struct, frozen=True):
    """Entry instances and the revisions in force in them."""

    number: int
    change_token: str
    entries: tuple[EntryStatus, ...]

    def is_everywhere(self) -> bool:
        """Return whether all listed instances have the newest known revision."""
        return all(one.change_token == self.change_token for one in self.entries)


class EndpointStatus(msgspec.Struct, frozen=True):
    """One endpoint, as the answering instance knows it."""

    endpoint: str
    zone: str
    service: str
    version: str
    state: str
    in_progress: int = 0


class RolloutStepStatus(msgspec.Struct, frozen=True):
    """One state change of a version."""

    state: str
    share: float
    wall_ms: int
    why: str


class RolloutStatus(msgspec.Struct, frozen=True):
    """State and share of a version, and the reason for them."""

    service: str
    version: str
    state: str
    deadline_wall_ms: int | None = None
    why: str = ""
    share: float = 0.0
    attempt: int = 1
    steps: tuple[RolloutStepStatus, ...] = ()


class RolloutsBody(msgspec.Struct, frozen=True):
    """Ordered versions as one entry instance knows them."""

    instance: str
    rollouts: tuple[RolloutStatus, ...] = ()


class DutyStatus(msgspec.Struct, frozen=True):
    """Holder of a control duty."""

    duty: str
    holder: str
    fencing_number: int


class StatusBody(msgspec.Struct, frozen=True):
    """The system as one entry instance knows it."""

    instance: str
    zone: str
    number: int
    entries: tuple[EntryStatus, ...] = ()
    endpoints: tuple[EndpointStatus, ...] = ()
    rollouts: tuple[RolloutStatus, ...] = ()
    duties: tuple[DutyStatus, ...] = ()


class ExplainLine(msgspec.Struct, frozen=True):
    """One logged event or decision."""

    wall_ms: int
    instance: str
    event: str
    fields: dict[str, Any] = {}


class MissingPart(msgspec.Struct, frozen=True):
    """An entry instance, or the ``table``, that did not answer, and why."""

    name: str
    reason: str


class RequestRecord(msgspec.Struct, frozen=True):
    """The journal's record of a request, without bodies and headers.

    Times are Unix epoch ms; ``settled_wall_ms`` is 0 while it is in progress.
    """

    state: str
    holder: str
    customer: str
    class_id: str
    attempt: int
    endpoint: str
    tried: tuple[str, ...]
    accepted_wall_ms: int
    settled_wall_ms: int
    failure: str = ""


class ExplainBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Log lines and stored data about a subject, oldest first.

    Attributes
    ----------
    subject : str
        Name of the subject, see ``explain.subjects``.
    lines : tuple of ExplainLine
        Lines of all instances that answered.
    missing : tuple of MissingPart
        Who did not answer; their lines may be missing.
    record : RequestRecord or None
        Record of a request that the journal has.
    history : tuple of RevisionSummary
        Revisions of the configuration, newest first.
    """

    subject: str
    lines: tuple[ExplainLine, ...]
    missing: tuple[MissingPart, ...] = ()
    record: RequestRecord | None = None
    history: tuple[RevisionSummary, ...] = ()

    def is_empty(self) -> bool:
        """Return whether all answered and none has data about the subject."""
        return not (self.lines or self.missing or self.record or self.history)
