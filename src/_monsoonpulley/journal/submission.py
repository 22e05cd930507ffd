"""Submissions to the journal, their results, and the interface to endpoints."""

from __future__ import annotations

import hashlib
from typing import Protocol

import msgspec

from ..endpoints.service import Lookup, ServiceAnswer
from ..errors import Failure, Reason
from ..ids import (
    AttemptId,
    ClassId,
    CustomerId,
    EndpointId,
    IdempotencyKey,
    InstanceId,
    RequestId,
)
from ..outcome import Outcome
from .record import JournalRecord, RecordedCall, State, request_id_for, row_key

KEY_REUSED = Failure(
    Reason.KEY_REUSED,
    "journal.accept",
    detail="this submission did not run: its key belongs to another call",
)


class Submission(msgspec.Struct, frozen=True):
    """Work that may run at most once.

    Attributes
    ----------
    headers : tuple of (str, str)
        End-to-end headers, names in lower case.
    timeout_ms : int
        Time allowed to an endpoint for the whole answer.
    retention_ms : int
        How long the record is kept after it is settled.
    """

    customer: CustomerId
    class_id: ClassId
    key: IdempotencyKey
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_ms: int
    retention_ms: int

    @property
    def request_id(self) -> RequestId:
        """Request id of the submission's key."""
        return request_id_for(self.customer, self.class_id, self.key)

    def body_sha256(self) -> str:
        """Return the hex digest of the body."""
        return hashlib.sha256(self.body).hexdigest()

    def is_same_call(self, other: Submission) -> bool:
        """Return whether both make the same call; headers may differ."""
        mine = (self.method, self.path, self.body)
        return mine == (other.method, other.path, other.body)

    def to_record(
        self,
        holder: InstanceId,
        incarnation: int,
        token: str,
        wall_ms: int,
        max_inline_bytes: int,
    ) -> JournalRecord:
        """Return the record that accepts the submission.

        Parameters
        ----------
        token : str
            Token of the write. It is part of the name of a large body's object,
            so that no other submission of the key writes other bytes to it.
        max_inline_bytes : int
            A body over this size is stored as an object.
        """
        inline = len(self.body) <= max_inline_bytes
        call = RecordedCall(
            method=self.method,
            path=self.path,
            headers=self.headers,
            timeout_ms=self.timeout_ms,
            body=self.body if inline else b"",
            body_object="" if inline else f"{row_key(self.request_id)}/{token}",
        )
        return JournalRecord(
            request_id=self.request_id,
            customer=self.customer,
            class_id=self.class_id,
            key=self.key,
            body_sha256=self.body_sha256(),
            call=call,
            state=State.ACCEPTED,
            holder=holder,
            incarnation=incarnation,
            accepted_token=token,
            token=token,
            retention_ms=self.retention_ms,
            accepted_wall_ms=wall_ms,
        )

    def matches_record(self, record: JournalRecord) -> bool:
        """Return whether the record is of the same call."""
        recorded = (record.call.method, record.call.path, record.body_sha256)
        return recorded == (self.method, self.path, self.body_sha256())

    @classmethod
    def from_record(cls, record: JournalRecord, body: bytes) -> Submission:
        """Return the submission that a record was made from."""
        return cls(
            customer=record.customer,
            class_id=record.class_id,
            key=record.key,
            method=record.call.method,
            path=record.call.path,
            headers=record.call.headers,
            body=body,
            timeout_ms=record.call.timeout_ms,
            retention_ms=record.retention_ms,
        )


class SubmissionResult(msgspec.Struct, frozen=True):
    """Result of a submission as its caller receives it.

    Attributes
    ----------
    outcome : Outcome
        ``NOT_RUN`` applies to this submission; see ``key_closed``.
    repeated : bool
        The key was accepted by an earlier submission, whose outcome this is.
    key_closed : bool
        The key has a terminal record: no submission of it runs until its
        retention ends.
    """

    outcome: Outcome
    request_id: RequestId
    answer: ServiceAnswer | None = None
    failure: Failure | None = None
    repeated: bool = False
    key_closed: bool = False

    @classmethod
    def in_progress(
        cls, request_id: RequestId, retry_after_ms: int
    ) -> SubmissionResult:
        """Return the result of work whose outcome is not known yet."""
        failure = Failure(
            Reason.TIMEOUT,
            "journal.wait",
            detail="accepted or in doubt; retry with the same key",
            retry_after_ms=retry_after_ms,
        )
        return cls(Outcome.UNKNOWN, request_id, failure=failure)

    @classmethod
    def key_reused(cls, request_id: RequestId) -> SubmissionResult:
        """Return the result of a submission whose key belongs to another call."""
        return cls(Outcome.NOT_RUN, request_id, failure=KEY_REUSED)


class Dispatcher(Protocol):
    """Interface through which the journal reaches endpoints."""

    def choose(
        self, submission: Submission, tried: frozenset[EndpointId]
    ) -> EndpointId | Failure:
        """Return an endpoint that is not in ``tried``, or why there is none."""
        ...

    async def send(
        self, submission: Submission, endpoint: EndpointId, attempt_id: AttemptId
    ) -> ServiceAnswer | Failure:
        """Send the call once; a failure carries its ``delivery``."""
        ...

    async def lookup(
        self, submission: Submission, endpoint: EndpointId
    ) -> Lookup | Failure:
        """Ask the endpoint whether the call ran.

        After ``NOT_RUN`` the endpoint refuses the call for ever. Endpoints that
        can't be asked give ``Execution.UNKNOWN``.
        """
        ...
