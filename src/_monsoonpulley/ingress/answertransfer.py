"""Receiving an answer and forwarding it to the caller."""

from __future__ import annotations

import asyncio

from ..platform.answerheaders import (
    PROMISES_NOT_RUN,
    headers_for_caller,
    is_event_stream,
    is_sealed,
    is_success,
    without_status_headers,
)
from ..wire.clientconnection import MAX_OVERHEAD_BYTES, ClientConnection, PauseCause
from ..wire.events import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    AnswerIncomplete,
    CallerDisconnected,
    Event,
    Mailbox,
    TimerExpired,
)
from .eventsplitter import EventSplitter, StreamEvent
from .requestlog import Result
from .requeststate import RequestState
from .stallwatch import STALL_TIMER

MAX_ANSWER_BYTES = 8_388_608
"""Limit of a plain answer, which is buffered whole: a larger one would take the
memory of other requests."""

MIN_BUFFERED_BYTES = 65_536
"""Size up to which an answer is buffered whatever others take."""

MAX_BYTES_WITHOUT_DATA = MAX_OVERHEAD_BYTES
"""Bytes of a stream's events between two with data. They are no part of the content,
like framing; a faulty endpoint can send them without end."""

MAX_EVENTS_PER_TURN = 128
"""Events that are forwarded before other tasks get a turn, which takes some 1 ms. One
read may hold tens of thousands."""


class AnswerTransfer:
    """Receives the answer to a request that was sent, and forwards it.

    Subclasses send the request and learn from the answer, by the methods whose names
    begin with ``_on_``.

    Parameters
    ----------
    state : RequestState
        The request and its progress.

    Attributes
    ----------
    was_sent : bool
        Whether the request was sent.
    elapsed_ms : int
        Time from the start of the attempt to its end.
    first_byte_ms : int or None
        Time from the start to the first byte of the answer, or to the first event
        of a stream.
    detail : str
        Why the attempt failed, for log and metrics; empty if it succeeded.
    event_count : int
        Whole events of a stream that arrived.
    longest_gap_ms : int
        Longest pause between two events of a stream; 0 with less than two events.
    foreign_count : int
        Answers that belong to other requests, or may.
    broke_off : bool
        Whether the connection ended before the answer was complete.
    ended_unframed : bool
        Whether a success ended with its connection, as it would if the endpoint had
        crashed.
    """

    def __init__(self, state: RequestState):
        self._state = state
        self._parts = state.parts
        self._started_ms = state.parts.clock.now_ms()
        self._head: AnswerHead | None = None
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._held_bytes = 0
        self._splitter: EventSplitter | None = None
        # Whether the next event has to follow on those of another endpoint.
        self._is_joining = False
        # Id of the last event that arrived, forwarded or not.
        self._last_id: bytes | None = None
        self._has_data = False
        self._bytes_without_data = 0
        self.event_count = 0
        self.longest_gap_ms = 0
        self._last_event_ms = 0
        self.was_sent = False
        self.foreign_count = 0
        self.broke_off = False
        self.ended_unframed = False
        self.elapsed_ms = 0
        self.first_byte_ms: int | None = None
        self.detail = ""

    @property
    def status(self) -> int:
        """Status in the head of the answer; 0 if none arrived."""
        return self._head.status if self._head is not None else 0

    def give_final_answer(self, result: Result, retry_after_ms: int) -> None:
        """Answer the caller with the outcome of this attempt, the last one.

        Parameters
        ----------
        result : Result
            How the attempt ended.
        retry_after_ms : int
            When the caller may return if the request has not run.
        """
        state = self._state
        if state.exchange.has_started:
            state.respond(502, self.detail)
        elif result is Result.FAILED and self._head is not None:
            self._forward_answer(self._head)
        elif result is Result.NOT_RUN and not state.may_have_run:
            state.respond(503, self.detail, retry_after_ms)
        else:
            state.respond(502, self.detail)

    def _was_not_run(self, head: AnswerHead) -> bool:
        """Return whether an answer says that the request has not run."""
        raise NotImplementedError

    def _on_head(self, head: AnswerHead) -> None:
        """Learn from the head of an answer."""

    def _on_start(self) -> None:
        """Learn that the request was begun, from an answer that is no stream."""

    def _on_first_event(self) -> None:
        """Learn from the first event of a stream."""

    def _on_later_event(self, gap_ms: int) -> None:
        """Learn from an event after the first, ``gap_ms`` after the one before."""

    def _on_progress(self) -> None:
        """Learn from any event of a stream that carries data."""

    def _is_stalled(self, watch: object, connection: ClientConnection) -> bool:
        """Return whether a stream is to end since a check says that it has stalled."""
        return False

    def _on_broken(self, event: AnswerIncomplete) -> None:
        """Learn from a connection that ended before the answer was complete."""

    async def _receive(self, connection: ClientConnection) -> Result:
        try:
            return await self._await_result(connection)
        finally:
            self._count_foreign(connection.foreign_count)

    async def _await_result(self, connection: ClientConnection) -> Result:
        mailbox = self._state.exchange.mailbox
        while True:
            result = await self._forward_waiting_events(connection, mailbox)
            if result is not None:
                connection.abort()
                return result
            source, event = await mailbox.get()
            if isinstance(event, CallerDisconnected):
                connection.abort()
                self._state.may_have_run = True
                return self._handle_disconnect()
            if isinstance(event, TimerExpired) and event.name == STALL_TIMER:
                if self._is_stalled(source, connection):
                    connection.abort()
                    return self._reject_answer("the stream has stalled")
                continue
            if isinstance(event, TimerExpired):
                connection.abort()
                if self._head is None or not self._was_not_run(self._head):
                    self._state.may_have_run = True
                    if not self._state.is_stream:
                        self._on_start()
                self._state.respond_timeout()
                return Result.TIMED_OUT
            if source is not connection:
                continue
            result = self._handle_event(connection, event)
            if result is not None:
                if result is Result.INVALID:
                    connection.abort()
                return result

    def _handle_event(
        self, connection: ClientConnection, event: Event
    ) -> Result | None:
        """Handle one event of the answer; return the result if it decides one."""
        if isinstance(event, AnswerHead):
            return self._handle_head(connection, event)
        if isinstance(event, AnswerData):
            return self._handle_data(event.data)
        if isinstance(event, AnswerEnd):
            return self._handle_end(event)
        assert isinstance(event, AnswerIncomplete)
        return self._handle_incomplete(event)

    def _handle_head(
        self, connection: ClientConnection, head: AnswerHead
    ) -> Result | None:
        self._head = head
        if head.is_in_doubt:
            return self._reject_answer_in_doubt()
        self._on_head(head)
        if self._was_not_run(head):
            connection.record_refusal()
            return None
        self._state.may_have_run = True
        if not is_success(head):
            return None
        if not is_sealed(head, self._state.facts.request_id):
            return self._reject_answer(
                "a success without its signature, id or plain body"
            )
        if self._state.exchange.has_started and not self._continues_answer(head):
            return self._reject_answer(
                f"status {head.status}, not the stream that was begun"
            )
        if self._state.is_stream and is_event_stream(head):
            self._splitter = EventSplitter()
            self._is_joining = self._state.exchange.has_started
            self._state.exchange.set_upstream(connection)
        return None

    def _continues_answer(self, head: AnswerHead) -> bool:
        """Return whether a success may follow in the stream that was begun."""
        return is_event_stream(head) and head.status == self._state.exchange.status

    def _handle_data(self, data: bytes) -> Result | None:
        if self._splitter is not None:
            self._splitter.feed(data)
            return None
        assert self._head is not None
        if self._was_not_run(self._head):
            return self._discard_refusal_body(len(data))
        self._body_bytes += len(data)
        memory = self._parts.answer_memory
        memory.add(len(data))
        self._held_bytes += len(data)
        if self._body_bytes > MAX_ANSWER_BYTES:
            return self._reject_answer("the answer is too large")
        if memory.is_exhausted and self._body_bytes > MIN_BUFFERED_BYTES:
            return self._reject_answer("answers take too much memory")
        self._body_chunks.append(data)
        return None

    async def _forward_waiting_events(
        self, connection: ClientConnection, mailbox: Mailbox
    ) -> Result | None:
        """Forward the events that were read; return a result if one is invalid.

        Other tasks get turns meanwhile. A timer or the caller's disconnection stops it,
        with events left.
        """
        splitter = self._splitter
        if splitter is None:
            return None
        try:
            while True:
                result = self._forward_events(splitter)
                if result is not None or not splitter.has_events:
                    return result
                connection.pause_reading(PauseCause.BACKLOG)
                await asyncio.sleep(0)
                if isinstance(mailbox.next_event, TimerExpired | CallerDisconnected):
                    return None
        finally:
            connection.resume_reading(PauseCause.BACKLOG)

    def _forward_events(self, splitter: EventSplitter) -> Result | None:
        """Forward the next events; return a result if one is invalid."""
        forwarded: list[bytes] = []
        result = None
        for event in splitter.take_events(MAX_EVENTS_PER_TURN):
            if self._is_joining and not self._state.position.is_continued_by(event):
                result = self._reject_answer("an event does not continue the stream")
                break
            if self._record_event(event):
                forwarded.append(event.raw)
            if self._bytes_without_data > MAX_BYTES_WITHOUT_DATA:
                result = self._reject_answer("too many bytes without data")
                break
        if forwarded:
            if not self._state.exchange.has_started:
                self._start_stream()
            self._state.exchange.write(b"".join(forwarded))
        if result is None and splitter.is_too_large:
            result = self._reject_answer("an event is too large")
        return result

    def _discard_refusal_body(self, size_bytes: int) -> Result | None:
        """Skip the body of an answer that says that the request did not run."""
        self._body_bytes += size_bytes
        if self._body_bytes <= MIN_BUFFERED_BYTES:
            return None
        self.detail = "not run, the refusal is too large"
        return Result.NOT_RUN

    def _handle_end(self, end: AnswerEnd) -> Result:
        head = self._head
        assert head is not None
        if self._was_not_run(head):
            self.detail = f"not run, status {head.status}"
            return Result.NOT_RUN
        if not is_success(head):
            self._on_start()
            self.detail = f"status {head.status}"
            return Result.FAILED
        self.ended_unframed = not end.is_framed
        if self._splitter is None:
            self._on_start()
            self._forward_answer(head)
            return Result.ANSWERED
        return self._handle_stream_end(self._splitter, head.status)

    def _handle_stream_end(self, splitter: EventSplitter, status: int) -> Result:
        position = self._state.position
        if splitter.has_partial_event:
            self.broke_off = True
            return self._reject_answer("the stream ended within an event")
        if self.ended_unframed and not self._has_data:
            self.broke_off = True
            return self._reject_answer("the connection ended before the first event")
        if self._is_joining and self._last_id not in (None, position.last_id):
            return self._reject_answer("the stream ended before the caller's position")
        if not self._state.exchange.has_started:
            self._start_stream()
        self._state.exchange.end()
        self._state.record_answer(status)
        return Result.ANSWERED

    def _handle_incomplete(self, event: AnswerIncomplete) -> Result:
        self._on_broken(event)
        if self._head is not None and self._was_not_run(self._head):
            self.detail = f"not run, status {self._head.status}"
            return Result.NOT_RUN
        self._state.may_have_run = True
        self.broke_off = True
        if self._splitter is None:
            self._on_start()
        return self._reject_answer(event.detail)

    def _record_event(self, event: StreamEvent) -> bool:
        """Record an event; return whether to forward it, as its caller lacks it."""
        position = self._state.position
        if event.id is not None:
            self._last_id = event.id
        self._bytes_without_data += len(event.raw)
        if event.has_data:
            self._bytes_without_data = 0
        if position.is_behind(event):
            return False
        position.advance(event)
        if event.id is not None:
            self._is_joining = False
        self.event_count += 1
        if event.has_data:
            self._has_data = True
            self._on_progress()
        if self.first_byte_ms is None:
            self._record_first_byte()
            self._on_first_event()
            self._last_event_ms = self._started_ms + self.first_byte_ms
        else:
            self._on_later_event(self._record_gap())
        return True

    def _start_stream(self) -> None:
        assert self._head is not None
        self._record_first_byte()
        self._state.exchange.start(self._head.status, headers_for_caller(self._head))

    def _forward_answer(self, head: AnswerHead) -> None:
        """Forward an answer whole.

        One whose status would promise that the request has not run, though its
        endpoint doesn't say so, gets status 502, and neither a retry time nor the
        endpoint's seal, which is for its own status.
        """
        self._record_first_byte()
        status, headers = head.status, headers_for_caller(head)
        if status in PROMISES_NOT_RUN:
            status = 502
            headers = without_status_headers(headers)
        # Each piece is freed as it is written: together they would take their memory
        # once more.
        pieces = self._body_chunks
        self._state.exchange.start(status, headers, length=sum(map(len, pieces)))
        pieces.reverse()
        while pieces:
            self._state.exchange.write(pieces.pop())
        self._state.exchange.end()
        self._state.record_answer(status, self.detail)

    def _record_first_byte(self) -> None:
        now_ms = self._parts.clock.now_ms()
        if self.first_byte_ms is None:
            self.first_byte_ms = now_ms - self._started_ms
        if self._state.first_byte_ms is None:
            self._state.first_byte_ms = (
                now_ms - self._state.exchange.request.received_ms
            )

    def _record_gap(self) -> int:
        """Return the time since the event before, and keep the longest."""
        now_ms = self._parts.clock.now_ms()
        gap_ms = now_ms - self._last_event_ms
        self._last_event_ms = now_ms
        self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        return gap_ms

    def _handle_disconnect(self) -> Result:
        self._state.handle_disconnect()
        self.detail = self._state.detail
        return Result.CALLER_LEFT

    def _count_foreign(self, count: int) -> None:
        self.foreign_count = count
        service = self._state.service
        if count and service is not None:
            self._parts.counters.foreign_answers.labels(service.id).inc(count)

    def _reject_answer_in_doubt(self) -> Result:
        """Reject an answer that may be another request's: this one may be running."""
        self._state.may_have_run = True
        if not self._state.is_stream:
            self._on_start()
        return self._reject_answer("the answer may be that of another request")

    def _reject_answer(self, detail: str) -> Result:
        self.detail = detail
        return Result.INVALID
