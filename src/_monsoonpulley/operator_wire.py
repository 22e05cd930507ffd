"""Bodies of the operators' HTTP interface, in JSON, for both of its sides.

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
400, 401, 403, 404 and 503. ``explain`` asks all entry instances, with
``?scope=local`` only the one that answers. Requests carry
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
    """A change that an operator asks for.

    Attributes
    ----------
    ini : str
        The whole configuration as INI text.
    expected_number : int
        Revision that it is based on; 0 for none yet.
    author, note : str
        Who and why.
    change_token : str
        32 hexadecimal digits drawn by the client. The same request may be sent
        again, to any entry instance, and is applied at most once.
    merge : bool
        Whether it may be merged with changes since ``expected_number``.
    repeated : bool
        Whether the change token was sent before.
    """

    ini: str
    expected_number: Annotated[int, Meta(ge=0)]
    author: Annotated[str, Meta(min_length=1, max_length=200)]
    note: Annotated[str, Meta(max_length=2_000)] = ""
    change_token: Annotated[str, Meta(pattern="^([0-9a-f]{32})?$")] = ""
    merge: bool = True
    repeated: bool = False


class RevisionBody(msgspec.Struct, frozen=True):
    """A revision with its INI text; number 0 and an empty text for none."""

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
    """Another change came first; this one never takes effect."""

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
    """The INI text isn't valid."""

    problems: tuple[Problem, ...]

    @classmethod
    def from_error(cls, error: InvalidFile) -> InvalidBody:
        """Return the body for an invalid text."""
        return cls(error.problems)


class FailureBody(msgspec.Struct, frozen=True):
    """A step failed; with ``in_doubt`` the change may have taken effect."""

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""

    @classmethod
    def from_failure(cls, failure: Failure) -> FailureBody:
        """Return the body for a failure."""
        return cls(failure.reason, failure.step, failure.peer, failure.detail)

    def to_failure(self) -> Failure:
        """Return the failure that the body tells of."""
        return Failure(self.reason, self.step, self.peer, self.detail)


class EntryStatus(msgspec.Struct, frozen=True):
    """One entry instance, as the answering one knows it.

    ``heard_ms_ago`` is the age of what is said here, -1 if it was never heard.
    """

    instance: str
    zone: str
    state: str
    number: int
    change_token: str
    heard_ms_ago: int


class ConfigStatusBody(msgspec.Struct, frozen=True):
    """In which entry instances the newest known revision is in force."""

    number: int
    change_token: str
    entries: tuple[EntryStatus, ...]

    def is_everywhere(self) -> bool:
        """Whether all listed instances have the newest known revision."""
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
    """One transition of a version."""

    state: str
    share: float
    wall_ms: int
    why: str


class RolloutStatus(msgspec.Struct, frozen=True):
    """How far a version has taken over, and why it stands there."""

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
    """Who holds a control duty."""

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
    """One event or decision, as an instance logged it."""

    wall_ms: int
    instance: str
    event: str
    fields: dict[str, Any] = {}


class MissingPart(msgspec.Struct, frozen=True):
    """An entry instance, or the ``table``, that gave no answer, and why."""

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
    """What happened to a subject, oldest first.

    Attributes
    ----------
    subject : str
        As operators name it, see ``subjects``.
    lines : tuple of ExplainLine
        Of all instances that answered.
    missing : tuple of MissingPart
        Who did not answer; their lines may be lacking.
    record : RequestRecord or None
        For requests that the journal has.
    history : tuple of RevisionSummary
        For the configuration, newest first.
    """

    subject: str
    lines: tuple[ExplainLine, ...]
    missing: tuple[MissingPart, ...] = ()
    record: RequestRecord | None = None
    history: tuple[RevisionSummary, ...] = ()

    def is_empty(self) -> bool:
        """Whether everyone answered and knows nothing."""
        return not (self.lines or self.missing or self.record or self.history)
