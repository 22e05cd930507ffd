"""One try of a request at one endpoint."""

from __future__ import annotations

from ..control.verdict import Result as VersionResult
from ..errors import Failure, Reason
from ..placing.placer import Choice
from ..platform.answerheaders import (
    is_event_stream,
    is_sealed,
    is_success,
    passed_headers,
    was_not_run,
)
from ..platform.requestheaders import REQUEST_ID_FIELD, endpoint_request
from ..wire.clientconnection import ClientConnection
from ..wire.events import (
    AnswerBroken,
    AnswerData,
    AnswerEnd,
    AnswerHead,
    CallerLeft,
    Event,
    TimeUp,
)
from .eventsplitter import EventSplitter, StreamEvent, is_after
from .requestlog import Result
from .requeststate import SHED_RETRY_MS, RequestState

MOST_ANSWER_BYTES = 8_388_608
"""A plain answer larger than this is not collected: it would crowd out others."""

CONNECTION_SHARE = 0.9
"""Share of an endpoint's connections that all instances together may use."""

LEAST_CONNECTIONS = 4
"""Kept for each instance however many there are."""

UNREACHABLE_WEIGHT = 4.0
"""An endpoint that can't be connected to is avoided at once."""

SHED_WEIGHT = 1.0
"""An endpoint without room counts like one failure."""

_TELLING = frozenset((Result.ANSWERED, Result.FAILED, Result.SPOILED, Result.TIME_UP))
"""Results that say something of the endpoint's version."""


class Attempt:
    """Sends the request to the chosen endpoint and passes on what it answers.

    Parameters
    ----------
    run : RequestState
        The request.
    choice : Choice
        Where it goes.

    Attributes
    ----------
    took_ms : int
        From the start to the end.
    first_ms : int or None
        From the start to the answer's first byte, or a stream's first event.
    detail : str
        What went wrong, for the log.
    """

    def __init__(self, run: RequestState, choice: Choice):
        self._run = run
        self.choice = choice
        self._parts = run.parts
        self._endpoint = choice.endpoint
        self._started_ms = run.parts.clock.now_ms()
        self._started_wall_ms = run.parts.clock.wall_ms()
        self._head: AnswerHead | None = None
        self._pieces: list[bytes] = []
        self._size_bytes = 0
        self._splitter: EventSplitter | None = None
        self._unread_tokens = choice.prefill_tokens
        self._events = 0
        self.took_ms = 0
        self.first_ms: int | None = None
        self.detail = ""

    async def run(self) -> Result:
        """Try the endpoint once."""
        connection = await self._connect()
        if isinstance(connection, Failure):
            self.detail = str(connection)
            self._note_unreachable(connection)
            return Result.UNREACHABLE
        pool = self._pool
        board = self._parts.board
        try:
            if self._run.exchange.is_over:
                return self._caller_left()
            if not self._parts.directory.is_current(self._endpoint):
                # It began to leave while the connection was being made.
                self.detail = "the endpoint is leaving"
                return Result.UNREACHABLE
            if self._run.left_ms() <= 0:
                self.detail = "the time ran out while connecting"
                return Result.UNREACHABLE
            board.record_dispatch(self._endpoint.id, self._unread_tokens)
            try:
                self._send(connection)
                result = await self._receive(connection)
            finally:
                self._mark_read()
                board.record_end(self._endpoint.id)
        finally:
            self._run.exchange.reads_from(None)
            pool.release(connection)
            self.took_ms = self._parts.clock.now_ms() - self._started_ms
        self._judge(result)
        return result

    def give_final_answer(self, result: Result) -> None:
        """Answer the caller with what this attempt came to."""
        run = self._run
        if run.exchange.has_started:
            run.respond(502, self.detail)
        elif result is Result.FAILED and self._head is not None:
            self._pass_whole(self._head)
        elif result is Result.NOT_RUN and not run.may_have_run:
            run.respond(503, self.detail, SHED_RETRY_MS)
        else:
            run.respond(502, self.detail)

    async def _connect(self) -> ClientConnection | Failure:
        service = self._run.service
        assert service is not None
        _, members = self._parts.members.last_counts
        share = int(service.max_connections * CONNECTION_SHARE / members)
        self._pool = self._parts.upstreams.pool(
            self._endpoint, max(LEAST_CONNECTIONS, share)
        )
        return await self._pool.acquire()

    def _note_unreachable(self, failure: Failure) -> None:
        now_ms = self._parts.clock.now_ms()
        self._parts.health.record_failure(self._endpoint.id, now_ms, UNREACHABLE_WEIGHT)
        if failure.reason is Reason.TIMEOUT:
            self._parts.reach.record_connect_timeout(self._endpoint.zone, now_ms)

    def _send(self, connection: ClientConnection) -> None:
        run = self._run
        data = endpoint_request(
            run.exchange.request,
            endpoint=self._endpoint.id,
            customer=run.customer_id,
            left_ms=run.left_ms(),
            last_event_id=run.last_event_id,
        )
        run.sends += 1
        self._parts.memory.record(
            run.facts.parts, self._endpoint.id, self._parts.clock.now_ms()
        )
        connection.send(
            data,
            run.exchange.mailbox,
            expected_id=(REQUEST_ID_FIELD, run.facts.request_id),
            is_head=run.exchange.request.method == b"HEAD",
        )

    async def _receive(self, connection: ClientConnection) -> Result:
        mailbox = self._run.exchange.mailbox
        while True:
            source, event = await mailbox.get()
            if isinstance(event, CallerLeft):
                connection.abort()
                self._run.may_have_run = True
                return self._caller_left()
            if isinstance(event, TimeUp):
                connection.abort()
                self._run.may_have_run = True
                if not self._run.is_stream:
                    self._count_begun(self._started_wall_ms)
                self._run.time_up()
                return Result.TIME_UP
            if source is not connection:
                continue
            result = self._take(connection, event)
            if result is not None:
                if result is Result.SPOILED:
                    connection.abort()
                return result

    def _take(self, connection: ClientConnection, event: Event) -> Result | None:
        """Take one event of the answer; return the result once there is one."""
        if isinstance(event, AnswerHead):
            return self._take_head(connection, event)
        if isinstance(event, AnswerData):
            return self._take_data(event.data)
        if isinstance(event, AnswerEnd):
            return self._take_end()
        assert isinstance(event, AnswerBroken)
        return self._take_broken(event)

    def _take_head(
        self, connection: ClientConnection, head: AnswerHead
    ) -> Result | None:
        self._head = head
        if was_not_run(head):
            return None
        self._run.may_have_run = True
        if not is_success(head):
            return None
        if not is_sealed(head, self._run.facts.request_id):
            return self._spoiled("a success without its signature, id or plain body")
        if self._run.is_stream and is_event_stream(head):
            self._splitter = EventSplitter()
            self._run.exchange.reads_from(connection)
        return None

    def _take_data(self, data: bytes) -> Result | None:
        if self._splitter is not None:
            for event in self._splitter.feed(data):
                self._forward(event)
            return None
        self._size_bytes += len(data)
        if self._size_bytes > MOST_ANSWER_BYTES:
            return self._spoiled("the answer is too large")
        self._pieces.append(data)
        return None

    def _take_end(self) -> Result:
        head = self._head
        assert head is not None
        if was_not_run(head):
            self.detail = f"not run, status {head.status}"
            return Result.NOT_RUN
        if not is_success(head):
            self._count_begun(self._started_wall_ms)
            self.detail = f"status {head.status}"
            return Result.FAILED
        if self._splitter is None:
            self._count_begun(self._started_wall_ms)
            self._pass_whole(head)
            return Result.ANSWERED
        if self._splitter.has_rest:
            return self._spoiled("the stream ended within an event")
        if not self._run.exchange.has_started:
            self._start_stream()
        self._run.exchange.end()
        self._run.passed(head.status)
        return Result.ANSWERED

    def _take_broken(self, event: AnswerBroken) -> Result:
        if self._head is not None and was_not_run(self._head):
            self.detail = f"not run, status {self._head.status}"
            return Result.NOT_RUN
        self._run.may_have_run = True
        if self._splitter is None:
            self._count_begun(self._started_wall_ms)
        return self._spoiled(event.detail)

    def _forward(self, event: StreamEvent) -> None:
        run = self._run
        if event.id is not None:
            if not is_after(event.id, run.last_event_id):
                return
            run.last_event_id = event.id
        self._events += 1
        if self.first_ms is None:
            self._note_first()
            self._count_begun(self._parts.clock.wall_ms())
            self._mark_read()
        if not run.exchange.has_started:
            self._start_stream()
        run.exchange.write(event.raw)

    def _start_stream(self) -> None:
        assert self._head is not None
        self._note_first()
        self._run.exchange.start(self._head.status, passed_headers(self._head))

    def _pass_whole(self, head: AnswerHead) -> None:
        self._note_first()
        self._run.exchange.respond(
            head.status, passed_headers(head), b"".join(self._pieces)
        )
        self._run.passed(head.status, self.detail)

    def _note_first(self) -> None:
        now_ms = self._parts.clock.now_ms()
        if self.first_ms is None:
            self.first_ms = now_ms - self._started_ms
        if self._run.first_ms is None:
            self._run.first_ms = now_ms - self._run.exchange.request.received_ms

    def _count_begun(self, wall_ms: int) -> None:
        """Count the request for its customer's usage, however often it is sent."""
        customer = self._run.customer_id
        if self._run.is_counted or customer is None:
            return
        self._run.is_counted = True
        self._parts.usage.record_start(customer, wall_ms)

    def _mark_read(self) -> None:
        if self._unread_tokens:
            self._parts.board.record_prefill_end(self._endpoint.id, self._unread_tokens)
            self._unread_tokens = 0

    def _caller_left(self) -> Result:
        self._run.left()
        return Result.CALLER_LEFT

    def _spoiled(self, detail: str) -> Result:
        self.detail = detail
        return Result.SPOILED

    def _result(self, result: Result) -> VersionResult:
        assert self._run.route is not None
        first_ms = self.first_ms if self.first_ms is not None else self.took_ms
        gap_ms = None
        if self._events > 1:
            gap_ms = (self.took_ms - first_ms) / (self._events - 1)
        return VersionResult(
            service=self._endpoint.service,
            version=self._endpoint.version,
            route=self._run.route.name,
            endpoint=self._endpoint.id,
            is_failure=result is not Result.ANSWERED,
            first_answer_ms=first_ms,
            target_ms=self._run.route.target_latency_ms,
            gap_ms=gap_ms,
        )

    def _judge(self, result: Result) -> None:
        """Note how the endpoint did, and its version."""
        if result in _TELLING:
            self._parts.rollouts.record_result(self._result(result))
        now_ms = self._parts.clock.now_ms()
        if result is Result.ANSWERED:
            took_ms = self.first_ms if self.first_ms is not None else self.took_ms
            excess_ms = max(0.0, took_ms - self.choice.predicted_ms)
            self._parts.health.record_answer(self._endpoint.id, excess_ms, now_ms)
        elif result in (Result.SPOILED, Result.FAILED, Result.TIME_UP):
            self._parts.health.record_failure(self._endpoint.id, now_ms)
        elif result is Result.NOT_RUN:
            self._parts.health.record_failure(self._endpoint.id, now_ms, SHED_WEIGHT)
