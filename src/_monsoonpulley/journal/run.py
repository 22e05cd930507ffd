"""Processing of one submission: executes the steps of its transitions."""

from __future__ import annotations

import asyncio
import random

import msgspec

from ..clock import Clock
from ..endpoints.service import ServiceAnswer
from ..errors import Delivery, Failure, Reason
from ..ids import EndpointId, attempt_id
from ..observability.log import Log
from ..outcome import Outcome
from . import steps as s
from .decision import JournalDecision
from .record import JournalRecord, StoredRecord, row_key
from .settings import JournalSettings
from .store import RecordStore, make_recorded_answer
from .submission import Dispatcher, Submission, SubmissionResult
from .transitions import Transitions


class RunContext(msgspec.Struct, frozen=True, kw_only=True):
    """Parts that the runs of one journal share."""

    clock: Clock
    rng: random.Random
    store: RecordStore
    dispatcher: Dispatcher
    transitions: Transitions
    log: Log
    settings: JournalSettings


class Run:
    """One submission from its acceptance or adoption to its terminal state.

    Parameters
    ----------
    context : RunContext
        Parts shared with other runs.
    submission : Submission
        The submission to process.
    accepted_token : str
        Token of the write that creates the record.
    """

    def __init__(
        self, context: RunContext, submission: Submission, accepted_token: str
    ):
        self.submission = submission
        self._context = context
        self._accepted_token = accepted_token
        self._result_future = asyncio.get_running_loop().create_future()
        self._answer: ServiceAnswer | None = None
        self._unstored_bodies: dict[str, bytes] = {}
        self._has_final_result = False

    async def wait_for_result(self, *, repeated: bool) -> SubmissionResult:
        """Wait for a result, final or interim.

        A repeated submission waits at most ``repeat_wait_ms``.
        """
        wait_ms = self._context.settings.repeat_wait_ms
        if not repeated:
            return await asyncio.shield(self._result_future)
        done, _ = await asyncio.wait({self._result_future}, timeout=wait_ms / 1000)
        if not done:
            return self._in_progress_result()
        result = next(iter(done)).result()
        # A refusal of the first submission also applies to its repeats.
        accepted = result.outcome is not Outcome.NOT_RUN or result.key_closed
        return msgspec.structs.replace(result, repeated=accepted)

    async def accept(self, record: JournalRecord) -> None:
        """Record the submission and process it to its terminal state."""
        if record.call.body_object:
            self._unstored_bodies[record.call.body_object] = self.submission.body
        endpoint = None
        if self._context.settings.merge_first_writes:
            chosen = self._choose(record)
            if isinstance(chosen, s.EndpointChosen):
                endpoint = chosen.endpoint
        await self._run(s.Submitted(record, endpoint))

    async def adopt(self, record: JournalRecord, revision: int) -> None:
        """Adopt a record and process it to its terminal state."""
        await self._run(s.Adopting(record, revision))

    async def _run(self, event: s.Event) -> None:
        try:
            await self._process_events(event)
        finally:
            self._send_result(self._in_progress_result(), is_final=True)

    async def _process_events(self, event: s.Event) -> None:
        progress = s.Progress()
        step: s.Step = s.StopStep()
        while True:
            transition = self._decide(progress, event)
            progress, step = transition.progress, transition.step
            if transition.reply is not None:
                self._send_reply(transition.reply)
            if isinstance(step, s.StopStep):
                break
            if isinstance(step, s.FollowStep):
                await self._follow(step.current)
                break
            event = await self._execute_step(step, progress)
        await self._delete_unused_body(progress)

    def _decide(self, progress: s.Progress, event: s.Event) -> s.Transition:
        clock = self._context.clock
        now_ms = clock.now_ms()
        transition = self._context.transitions.decide(
            progress, event, now_ms, clock.wall_ms()
        )
        decision = JournalDecision.from_transition(
            self.submission.request_id, progress, event, transition, now_ms
        )
        self._context.log.decision(decision)
        return transition

    async def _execute_step(self, step: s.Step, progress: s.Progress) -> s.Event:
        if isinstance(step, s.ReadStep):
            return await self._read(step)
        if not isinstance(step, s.SendStep) and step.after_ms:
            await self._context.clock.sleep_ms(step.after_ms)
        if isinstance(step, s.WriteStep):
            return await self._write(progress)
        if isinstance(step, s.ChooseStep):
            return self._choose(progress.confirmed)
        if isinstance(step, s.SendStep):
            return await self._send(step)
        return await self._look_up(step, progress.confirmed)

    async def _write(self, progress: s.Progress) -> s.Event:
        for name in list(self._unstored_bodies):
            failure = await self._context.store.put_body(
                name, self._unstored_bodies[name]
            )
            if failure is not None:
                return s.WriteFailed(failure)
            del self._unstored_bodies[name]
        return await self._context.store.write(
            progress.pending, progress.expected_revision
        )

    async def _read(self, step: s.ReadStep) -> s.Event:
        stored = await self._context.store.read(self.submission.request_id)
        if isinstance(stored, StoredRecord):
            return s.WriteConflicted(stored)
        return s.RowAbsent(step.refusal)

    def _choose(self, record: JournalRecord) -> s.Event:
        tried = frozenset(record.tried)
        try:
            chosen = self._context.dispatcher.choose(self.submission, tried)
        except Exception as error:
            chosen = Failure(Reason.INTERNAL, "journal.choose", detail=repr(error))
        if isinstance(chosen, Failure):
            return s.NoEndpoint(chosen)
        return s.EndpointChosen(chosen)

    async def _send(self, step: s.SendStep) -> s.Event:
        if self._context.clock.now_ms() > step.not_after_ms:
            return s.SendLapsed()
        attempt = attempt_id(self.submission.request_id, step.attempt)
        try:
            answer = await self._context.dispatcher.send(
                self.submission, step.endpoint, attempt
            )
        except Exception as error:
            answer = _dispatcher_fault("journal.send", step.endpoint, error)
        if isinstance(answer, Failure):
            return s.SendFailed(answer)
        return s.Answered(self._record_answer(answer, step.attempt))

    async def _look_up(self, step: s.LookupStep, record: JournalRecord) -> s.Event:
        dispatcher = self._context.dispatcher
        try:
            lookup = await dispatcher.lookup(self.submission, step.endpoint)
        except Exception as error:
            lookup = _dispatcher_fault("journal.lookup", step.endpoint, error)
        if isinstance(lookup, Failure):
            return s.LookupFailed(lookup)
        answer = None
        if lookup.answer is not None:
            answer = self._record_answer(lookup.answer, record.attempt)
        return s.LookedUp(lookup.execution, answer)

    def _record_answer(self, answer: ServiceAnswer, attempt: int):
        self._answer = answer
        # A random name, so that no other run writes other bytes to this object.
        token = f"{self._context.rng.getrandbits(64):016x}"
        name = f"{row_key(self.submission.request_id)}/{attempt}-{token}"
        recorded = make_recorded_answer(
            answer, name, self._context.settings.max_inline_bytes
        )
        if recorded.body_object:
            self._unstored_bodies[name] = answer.body
        return recorded

    async def _follow(self, current: StoredRecord | None) -> None:
        """Poll the row for the outcome that another instance writes."""
        clock, settings = self._context.clock, self._context.settings
        deadline_ms = clock.now_ms() + settings.repeat_wait_ms
        wait_ms = settings.poll_min_ms
        while not self._has_final_result and clock.now_ms() < deadline_ms:
            if isinstance(current, StoredRecord) and current.record.is_terminal():
                await self._send_recorded_result(current.record)
                return
            await clock.sleep_ms(self._context.rng.randint(wait_ms // 2, wait_ms))
            wait_ms = min(wait_ms * 2, settings.poll_max_ms)
            current = await self._context.store.read(self.submission.request_id)

    async def _send_recorded_result(self, record: JournalRecord) -> None:
        result = await self._context.store.read_result(record)
        repeated = record.accepted_token != self._accepted_token
        result = msgspec.structs.replace(result, repeated=repeated)
        self._send_result(result, is_final=True)

    def _send_reply(self, reply: s.CallerReply) -> None:
        result = SubmissionResult(
            outcome=reply.outcome,
            request_id=self.submission.request_id,
            answer=self._answer if reply.outcome is Outcome.DONE else None,
            failure=reply.failure,
            key_closed=reply.key_closed,
        )
        self._send_result(result, is_final=reply.outcome is not Outcome.UNKNOWN)

    def _send_result(self, result: SubmissionResult, *, is_final: bool) -> None:
        """Give the result to all waiting callers; later ones wait for a final one."""
        if self._has_final_result:
            return
        self._has_final_result = is_final
        self._result_future.set_result(result)
        if not is_final:
            self._result_future = asyncio.get_running_loop().create_future()

    def _in_progress_result(self) -> SubmissionResult:
        retry_ms = self._context.settings.poll_max_ms
        return SubmissionResult.in_progress(self.submission.request_id, retry_ms)

    async def _delete_unused_body(self, progress: s.Progress) -> None:
        """Delete a body that was stored for a record that was never written."""
        if progress.intent is not s.Intent.ACCEPT or progress.in_doubt:
            return
        name = progress.pending.call.body_object if progress.pending else ""
        if name:
            await self._context.store.delete_body(name)


def _dispatcher_fault(step: str, endpoint: EndpointId, error: Exception) -> Failure:
    detail, delivery = repr(error), Delivery.MAYBE
    return Failure(Reason.INTERNAL, step, endpoint, detail, delivery)
