"""The journal of one instance, which runs submissions at most once.

Work in progress runs in tasks that the journal owns, so that it continues when
its caller disconnects.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine

import msgspec

from ..clock import Clock
from ..endpoints.service import ServiceAnswer
from ..errors import Failure, Reason
from ..external.objects import ObjectStore
from ..external.table import Table
from ..ids import InstanceId, RequestId
from ..observability.log import Log
from ..outcome import Outcome
from .record import (
    JournalRecord,
    StoredRecord,
)
from .run import Run, RunContext
from .settings import JournalSettings
from .store import RecordStore
from .submission import Dispatcher, Submission, SubmissionResult
from .transition_builder import new_token
from .transitions import Transitions
from .writer import GroupWriter


class Journal:
    """Runs each submission at most once and returns its outcome.

    Parameters
    ----------
    table, objects : Table, ObjectStore
        Stores of records and of large bodies.
    clock : Clock
        Clock of this instance.
    rng : random.Random
        Source of tokens and jitter; its seed must differ between instances.
    instance : InstanceId
        This instance.
    incarnation : int
        Number that increases with each start of this instance.
    dispatcher : Dispatcher
        Chooses endpoints and sends calls.
    log : Log
        Log of the decisions.
    settings : JournalSettings
        Limits and times.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
        rng: random.Random,
        instance: InstanceId,
        incarnation: int,
        dispatcher: Dispatcher,
        log: Log,
        settings: JournalSettings,
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.writer = GroupWriter(table, clock, settings)
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._store = RecordStore(table, objects, self.writer)
        self._context = RunContext(
            clock=clock,
            rng=rng,
            store=self._store,
            dispatcher=dispatcher,
            transitions=Transitions(settings, rng),
            log=log,
            settings=settings,
        )
        self._runs: dict[RequestId, Run] = {}
        self._tasks: dict[RequestId, asyncio.Task] = {}
        self._is_draining = False

    async def submit(self, submission: Submission) -> SubmissionResult:
        """Run the submission unless its key was accepted before.

        Returns
        -------
        SubmissionResult
            Outcome of this submission, or of the first one with its key.
            Cancelling the call does not stop the work.
        """
        request_id = submission.request_id
        run = self._runs.get(request_id)
        if run is not None:
            return await self._join(run, submission)
        refusal = self._refusal()
        if refusal is not None:
            return await self._refuse(submission, refusal)
        record = submission.to_record(
            self.instance,
            self.incarnation,
            new_token(self._rng),
            self._clock.wall_ms(),
            self._settings.max_inline_bytes,
        )
        run = Run(self._context, submission, record.accepted_token)
        self._start_run(request_id, run, run.accept(record))
        return await run.wait_for_result(repeated=False)

    async def find(self, request_id: RequestId) -> JournalRecord | Failure | None:
        """Return the latest record of a request, whichever instance wrote it."""
        stored = await self._store.read(request_id)
        return stored.record if isinstance(stored, StoredRecord) else stored

    async def read_answer(self, record: JournalRecord) -> ServiceAnswer | Failure:
        """Return the answer of a record in state DONE."""
        return await self._store.read_answer(record)

    async def adopt(self, stored: StoredRecord) -> bool:
        """Start a task that adopts a record whose holder is gone.

        Returns
        -------
        bool
            Whether the adoption was started.
        """
        record = stored.record
        if self._refusal() is not None or self.is_running(record.request_id):
            return False
        body = await self._store.read_body(record)
        if isinstance(body, Failure) or self.is_running(record.request_id):
            return False
        adopted = msgspec.structs.replace(
            record,
            holder=self.instance,
            incarnation=self.incarnation,
            token=new_token(self._rng),
        )
        submission = Submission.from_record(record, body)
        run = Run(self._context, submission, record.accepted_token)
        self._start_run(record.request_id, run, run.adopt(adopted, stored.revision))
        return True

    def is_running(self, request_id: RequestId) -> bool:
        """Return whether this instance processes the request."""
        return request_id in self._runs

    async def drain(self, deadline_ms: int) -> int:
        """Refuse new work and wait for the work in progress.

        Parameters
        ----------
        deadline_ms : int
            Monotonic time after which unfinished work is left to other instances.

        Returns
        -------
        int
            Number of unfinished submissions.
        """
        self._is_draining = True
        remaining_ms = max(0, deadline_ms - self._clock.now_ms())
        if self._tasks:
            await asyncio.wait(self._tasks.values(), timeout=remaining_ms / 1000)
        unfinished = list(self._tasks.values())
        for task in unfinished:
            task.cancel()
        if unfinished:
            await asyncio.wait(unfinished)
        self.writer.close()
        return len(unfinished)

    def _start_run(self, request_id: RequestId, run: Run, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self._runs[request_id] = run
        self._tasks[request_id] = task
        task.add_done_callback(lambda _: self._on_run_done(request_id))

    def _on_run_done(self, request_id: RequestId) -> None:
        del self._runs[request_id]
        task = self._tasks.pop(request_id)
        if not task.cancelled() and task.exception() is not None:
            failure = task.exception()
            self._context.log.event("journal_fault", error=repr(failure))

    def _refusal(self) -> Failure | None:
        if self._is_draining:
            return Failure(Reason.SHUTTING_DOWN, "journal.accept", self.instance)
        if len(self._runs) >= self._settings.max_in_progress:
            detail = f"{len(self._runs)} submissions are in progress"
            return Failure(Reason.OVERLOADED, "journal.accept", self.instance, detail)
        return None

    async def _refuse(
        self, submission: Submission, refusal: Failure
    ) -> SubmissionResult:
        """Refuse new work, but return the recorded state of an accepted key."""
        request_id = submission.request_id
        stored = await self._store.read(request_id)
        if not isinstance(stored, StoredRecord):
            return SubmissionResult(Outcome.NOT_RUN, request_id, failure=refusal)
        if not submission.matches_record(stored.record):
            return SubmissionResult.key_reused(request_id)
        if not stored.record.is_terminal():
            return SubmissionResult.in_progress(request_id, self._settings.poll_max_ms)
        return await self._store.read_result(stored.record)

    async def _join(self, run: Run, submission: Submission) -> SubmissionResult:
        if not run.submission.is_same_call(submission):
            return SubmissionResult.key_reused(submission.request_id)
        return await run.wait_for_result(repeated=True)
