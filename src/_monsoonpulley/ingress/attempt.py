"""One attempt of a request at one endpoint."""

from __future__ import annotations

from ..control.attemptevidence import EVIDENCE, AttemptEnding, Evidence
from ..control.verdict import Result as VersionResult
from ..errors import Failure, Reason
from ..limits.streampause import stall_ms
from ..placing.endpointspeeds import MAX_GAPS
from ..placing.placer import Choice
from ..placing.servicemodel import load_factor
from ..platform.answerheaders import (
    REFUSED_STATUS,
    is_from_endpoint,
    read_bearable_refusals,
    read_pause_ms,
    read_rate_limit,
    says_leaving,
    was_not_run,
)
from ..platform.requestheaders import REQUEST_ID_FIELD, encode_endpoint_request
from ..quarantine.evidence import PROOF_MS, Suspect
from ..rollouts.rollouts import SentRequest
from ..wire.clientconnection import ClientConnection
from ..wire.events import AnswerHead, AnswerIncomplete
from .answertransfer import AnswerTransfer
from .linkrecords import record_lost_link
from .requestlog import Result
from .requeststate import RequestState
from .stallwatch import StallWatch

CONNECTION_SHARE = 0.9
"""Share of an endpoint's connections that all instances may use together."""

MIN_CONNECTIONS = 4
"""Connections to an endpoint that each instance may open, however many instances
there are."""

UNREACHABLE_FAILURE_WEIGHT = 4.0
"""Weight of a failed connection: it makes an endpoint avoided at once."""

NOT_RUN_FAILURE_WEIGHT = 1.0
"""Weight of an answer that the request was not run: that of one failure."""

ROOM_SHARE = 0.5
"""Share of an endpoint's slots up to which it surely has room for a request: what it
runs is known with some delay."""

_ENDINGS = {
    Result.ANSWERED: AttemptEnding.ANSWERED,
    Result.FAILED: AttemptEnding.FAILED,
    Result.TIMED_OUT: AttemptEnding.TIME_UP,
    Result.CALLER_LEFT: AttemptEnding.CALLER_LEFT,
    Result.UNREACHABLE: AttemptEnding.NOT_SENT,
}
"""Endings of attempts by results; others depend on more than the result."""


class Attempt(AnswerTransfer):
    """Sends a request to the chosen endpoint and forwards its answer.

    Parameters
    ----------
    state : RequestState
        The request and its progress.
    choice : Choice
        The endpoint, and the figures behind the choice.

    Attributes
    ----------
    was_connected : bool
        Whether there was a connection to the endpoint.
    """

    def __init__(self, state: RequestState, choice: Choice):
        super().__init__(state)
        self.choice = choice
        self._endpoint = choice.endpoint
        self._started_wall_ms = state.parts.clock.wall_ms()
        self._prefill_tokens = choice.prefill_tokens
        self._held_tokens = state.facts.held_tokens
        self.was_connected = False
        self._wants_pause = False
        self._is_proven = False
        self._told_running_ms = 0
        self._first_event_ms: int | None = None
        self._gaps_ms: list[int] = []
        self._stall_watch: StallWatch | None = None
        self._sent_request: SentRequest | None = None

    async def run(self) -> Result:
        """Send the request once and return how the attempt ended."""
        connection = await self._connect()
        if isinstance(connection, Failure):
            self.elapsed_ms = self._parts.clock.now_ms() - self._started_ms
            self.detail = str(connection)
            self._record_unreachable(connection)
            return Result.UNREACHABLE
        self.was_connected = True
        pool = self._pool
        load_board = self._parts.load_board
        try:
            if self._state.exchange.is_over:
                return self._handle_disconnect()
            if not self._parts.directory.is_current(self._endpoint):
                # The endpoint started to leave while the connection was being opened.
                self.detail = "the endpoint is leaving"
                return Result.UNREACHABLE
            if self._parts.evacuations.is_evacuated(self._endpoint.zone):
                # The operator evacuated it while the connection was being opened.
                self.detail = "the data centre is evacuated"
                return Result.UNREACHABLE
            if self._parts.gate.is_paused(
                self._endpoint.id, self._parts.clock.now_ms()
            ):
                # It refused another request while the connection was being opened.
                self.detail = "the endpoint wants a pause"
                return Result.UNREACHABLE
            if not self._parts.gate.has_room(
                self._endpoint, self._parts.clock.now_ms()
            ):
                # Others were sent while the connection was being opened.
                self.detail = "the endpoint has no room"
                return Result.UNREACHABLE
            if not self._parts.gate.bears_more(
                self._endpoint, self._parts.clock.now_ms()
            ):
                # It turned cold while the connection was being opened.
                self.detail = "the endpoint is cold"
                return Result.UNREACHABLE
            if self._state.find_quarantine_entry() is not None:
                self.detail = "requests like this one crash endpoints"
                return Result.UNREACHABLE
            if self._state.remaining_ms() <= 0:
                self.detail = "the time ran out while connecting"
                return Result.UNREACHABLE
            load_board.record_dispatch(
                self._endpoint.id, self._prefill_tokens, self._held_tokens
            )
            try:
                self._send(connection)
                self._watch_for_stalls()
                result = await self._receive(connection)
            except Exception:
                # What the endpoint made of the request is not known.
                self._state.may_have_run = True
                raise
            finally:
                self._record_prefill_end()
                load_board.record_end(self._endpoint.id, self._held_tokens)
        finally:
            if self._stall_watch is not None:
                self._stall_watch.stop()
            self._parts.rollouts.record_first_answer(self._sent_request)
            self._state.exchange.set_upstream(None)
            self._parts.answer_memory.release(self._held_bytes)
            pool.release(connection)
            self.elapsed_ms = self._parts.clock.now_ms() - self._started_ms
        self._record_outcome(result)
        return result

    async def _connect(self) -> ClientConnection | Failure:
        service = self._state.service
        assert service is not None
        _, member_count = self._parts.members.last_counts
        share = int(service.max_connections * CONNECTION_SHARE / member_count)
        self._pool = self._parts.upstreams.pool(
            self._endpoint, max(MIN_CONNECTIONS, share)
        )
        return await self._pool.acquire(self._state.facts.request_id)

    def _record_unreachable(self, failure: Failure) -> None:
        now_ms = self._parts.clock.now_ms()
        self._parts.health.record_failure(
            self._endpoint.id, now_ms, UNREACHABLE_FAILURE_WEIGHT
        )
        if failure.reason is Reason.TIMEOUT:
            self._parts.zone_reach.record_connect_timeout(self._endpoint.zone, now_ms)

    def _send(self, connection: ClientConnection) -> None:
        state = self._state
        data = encode_endpoint_request(
            state.exchange.request,
            endpoint_id=self._endpoint.id,
            customer_id=state.customer_id,
            remaining_ms=state.remaining_ms(),
            rank=state.rank,
            last_event_id=state.position.last_id,
        )
        state.send_count += 1
        self.was_sent = True
        self._parts.gate.record_send(self._endpoint, self._parts.clock.now_ms())
        self._sent_request = self._parts.rollouts.record_sent(
            self._version_result(Evidence.TIMES_AT_LEAST)
        )
        self._parts.cache_index.record(
            state.facts.parts, self._endpoint.id, self._parts.clock.now_ms()
        )
        connection.send(
            data,
            state.exchange.mailbox,
            expected_id=(REQUEST_ID_FIELD, state.facts.request_id),
            is_head=state.exchange.request.method == b"HEAD",
        )

    def _was_not_run(self, head: AnswerHead) -> bool:
        return was_not_run(head)

    def _on_head(self, head: AnswerHead) -> None:
        self._parts.links.record_contact(self._parts.clock.now_ms())
        self._record_rate_limit(head)
        self._record_brittleness(head)
        self._record_pause(head)
        if says_leaving(head):
            self._parts.directory.record_leaving(self._endpoint)

    def _on_start(self) -> None:
        self._record_start(self._started_wall_ms)

    def _on_broken(self, event: AnswerIncomplete) -> None:
        now_ms = self._parts.clock.now_ms()
        links = self._parts.links
        links.record_broken(self._endpoint.id, now_ms)
        if event.is_timeout or self._head is None:
            record_lost_link(
                links, self._endpoint, event.detail, now_ms, self._parts.log
            )

    def _on_first_event(self) -> None:
        self._record_start(self._parts.clock.wall_ms())
        self._record_prefill_end()
        self._parts.rollouts.record_first_answer(self._sent_request)
        self._record_first_event()

    def _on_later_event(self, gap_ms: int) -> None:
        if len(self._gaps_ms) < MAX_GAPS:
            self._gaps_ms.append(gap_ms)
        now_ms = self._parts.clock.now_ms()
        self._parts.links.record_contact(now_ms)
        assert self.first_byte_ms is not None
        if self._is_proven:
            self._record_running(now_ms)
            return
        self._is_proven = now_ms - self._started_ms >= self.first_byte_ms + PROOF_MS
        if self._is_proven:
            self._state.record_begun()

    def _record_running(self, now_ms: int) -> None:
        """Tell the quarantine at intervals for how long the request runs."""
        if now_ms - self._told_running_ms >= PROOF_MS:
            self._told_running_ms = now_ms
            self._state.record_running(now_ms - self._started_ms)

    def _on_progress(self) -> None:
        if self._stall_watch is not None:
            self._stall_watch.record_event()

    def _watch_for_stalls(self) -> None:
        """Begin to look for a stall if the stream can go on elsewhere.

        The first event may take long, as requests wait at endpoints; what an earlier
        endpoint has begun must go on soon.
        """
        state = self._state
        route = state.route
        if route is None or not state.is_stream or not route.is_idempotent:
            return
        mailbox = state.exchange.mailbox
        self._stall_watch = StallWatch(self._parts.clock, stall_ms(route), mailbox)
        if state.exchange.has_started:
            self._stall_watch.record_event()

    def _is_stalled(self, watch: object, connection: ClientConnection) -> bool:
        return (
            self._stall_watch is not None
            and watch is self._stall_watch
            and self._stall_watch.check(connection)
            and self._state.try_move_stream(self._endpoint.id)
        )

    def _record_rate_limit(self, head: AnswerHead) -> None:
        per_s = read_rate_limit(head)
        if isinstance(per_s, Failure):
            self._parts.log.event(
                "endpoint_rate_limit_refused",
                endpoint=self._endpoint.id,
                error=str(per_s),
            )
        elif is_from_endpoint(head):
            # Another endpoint's answer or a spoiled one says nothing of the limit.
            self._parts.rate_limits.record_answer(
                self._endpoint.id, per_s, self._parts.clock.now_ms()
            )

    def _record_brittleness(self, head: AnswerHead) -> None:
        refusals_per_s = read_bearable_refusals(head)
        if isinstance(refusals_per_s, Failure):
            self._parts.log.event(
                "endpoint_brittleness_refused",
                endpoint=self._endpoint.id,
                error=str(refusals_per_s),
            )
        elif refusals_per_s is not None and is_from_endpoint(head):
            self._parts.brittle.record_answer(
                self._endpoint.service, refusals_per_s, self._parts.clock.now_ms()
            )

    def _record_pause(self, head: AnswerHead) -> None:
        clock = self._parts.clock
        pause_ms = read_pause_ms(head, clock.wall_ms())
        if pause_ms is None:
            return
        if isinstance(pause_ms, Failure):
            self._parts.log.event(
                "endpoint_pause_refused",
                endpoint=self._endpoint.id,
                error=str(pause_ms),
            )
            return
        self._wants_pause = True
        self._parts.pauses.record_refusal(self._endpoint.id, pause_ms, clock.now_ms())
        self._parts.log.event(
            "endpoint_paused", endpoint=self._endpoint.id, pause_ms=pause_ms
        )

    def _is_cold(self, now_ms: int) -> bool:
        """Return whether what is learned from the endpoint would not hold when warm."""
        return self.choice.is_cold or self._parts.cold.is_cold(self._endpoint, now_ms)

    def _record_first_event(self) -> None:
        """Tell the models how long the engine took."""
        assert self.first_byte_ms is not None
        choice, models = self.choice, self._parts.endpoint_models
        self._first_event_ms = took_ms = self.first_byte_ms
        now_ms = self._parts.clock.now_ms()
        if self._is_cold(now_ms):
            return
        ahead_tokens = choice.backlog_tokens + choice.prefill_tokens
        engine = models.engine(self._endpoint.service)
        engine.record_first_event(ahead_tokens, took_ms, now_ms)
        models.speeds.record_first_event(
            self._endpoint.id, ahead_tokens, took_ms, now_ms
        )

    def _record_no_event(self, now_ms: int) -> None:
        """Tell the engines' model that a first event had not come by now."""
        if self._is_cold(now_ms):
            return
        if self._state.is_stream and self._first_event_ms is None:
            choice = self.choice
            model = self._parts.endpoint_models.engine(self._endpoint.service)
            model.record_no_event(
                choice.backlog_tokens + choice.prefill_tokens, self.elapsed_ms, now_ms
            )

    def _record_occupancy(self, now_ms: int) -> None:
        """Tell the model of the endpoints how long the request occupied one."""
        choice, models = self.choice, self._parts.endpoint_models
        service = self._endpoint.service
        if self._first_event_ms is not None:
            models.engine(service).record_end(
                choice.prefill_tokens,
                self.elapsed_ms - self._first_event_ms,
                self._held_tokens,
                now_ms,
            )
            load = self._parts.load_board.load(self._endpoint.id)
            models.speeds.record_stream(
                self._endpoint.id,
                (choice.running_count + load.running_count) // 2,
                self._gaps_ms,
                now_ms,
            )
        elif not self._state.is_stream:
            slots = self._endpoint.slots
            models.plain(service).record_answer(
                choice.running_count, slots, self.elapsed_ms, now_ms
            )
            models.speeds.record_answer(
                self._endpoint.id,
                load_factor(choice.running_count, slots),
                self.elapsed_ms,
                now_ms,
            )

    def _record_start(self, wall_ms: int) -> None:
        """Count the request in its customer's usage once, however often it is sent."""
        customer = self._state.customer_id
        if self._state.is_usage_recorded or customer is None:
            return
        self._state.is_usage_recorded = True
        self._parts.usage.record_start(customer, wall_ms)

    def _record_prefill_end(self) -> None:
        if self._prefill_tokens:
            self._parts.load_board.record_prefill_end(
                self._endpoint.id, self._prefill_tokens
            )
            self._prefill_tokens = 0

    def _ending(self, result: Result) -> AttemptEnding:
        """Return how the attempt ended, for the roll-out of the endpoint's version."""
        if result is Result.NOT_RUN:
            if self._had_room():
                return AttemptEnding.REFUSED_WITH_ROOM
            return AttemptEnding.REFUSED
        if result is Result.INVALID and not self.broke_off:
            return AttemptEnding.SPOILED
        is_unanswered = result is Result.TIMED_OUT and self._head is None
        if (self.broke_off or is_unanswered) and self._is_link_lost():
            return AttemptEnding.LINK_LOST
        return AttemptEnding.BROKEN_OFF if self.broke_off else _ENDINGS[result]

    def _had_room(self) -> bool:
        """Return whether nothing explains that the endpoint didn't run the request."""
        if self.status != REFUSED_STATUS or self._wants_pause:
            return False
        if not self._parts.directory.is_current(self._endpoint):
            return False
        if self._parts.rate_limits.is_limited(self._endpoint.id):
            return False
        now_ms = self._parts.clock.now_ms()
        service = self._endpoint.service
        if self._parts.brittle.refusals_per_s(service, now_ms) is not None:
            return False
        return self.choice.running_count < ROOM_SHARE * self._endpoint.slots

    def _is_link_lost(self) -> bool:
        """Return whether the network rather than the endpoint broke the connection."""
        if self._parts.links.is_cut_off():
            return True
        now_ms = self._parts.clock.now_ms()
        zones = self._parts.zone_reach.unreachable_zones(now_ms)
        return self._endpoint.zone in zones

    def _version_result(self, evidence: Evidence) -> VersionResult:
        """Return what is known of the attempt by now, for the version's roll-out."""
        assert self._state.route is not None
        has_begun = self.first_byte_ms is not None
        first_byte_ms = self.first_byte_ms if has_begun else self.elapsed_ms
        is_over = evidence is Evidence.TIMES
        gap_count = self.event_count - is_over
        gap_ms = None
        if gap_count > 0:
            gap_ms = (self.elapsed_ms - first_byte_ms) / gap_count
        return VersionResult(
            service=self._endpoint.service,
            version=self._endpoint.version,
            route=self._state.route.name,
            endpoint=self._endpoint.id,
            is_failure=evidence in (Evidence.FAILURE, Evidence.CRASH),
            is_crash=evidence is Evidence.CRASH,
            first_answer_ms=first_byte_ms,
            target_ms=self._state.route.target_latency_ms,
            gap_ms=gap_ms,
            is_censored=evidence is Evidence.TIMES_AT_LEAST and not has_begun,
            is_cold=self._is_cold(self._parts.clock.now_ms()),
        )

    def _record_version_result(self, result: Result) -> None:
        """Record what the end of the attempt says of the endpoint's version."""
        evidence = EVIDENCE[self._ending(result)]
        self._parts.rollouts.record_end(
            self._sent_request,
            None if evidence is Evidence.NOTHING else self._version_result(evidence),
        )

    def _record_outcome(self, result: Result) -> None:
        """Record the outcome for the endpoint's health and its version's roll-out."""
        state = self._state
        self._record_version_result(result)
        now_ms = self._parts.clock.now_ms()
        if self.broke_off:
            self._parts.crash_watch.record_broken(self._endpoint, self._as_suspect())
        if result is Result.ANSWERED:
            if self.ended_unframed:
                self._parts.crash_watch.record_broken(
                    self._endpoint, self._as_suspect(), state.record_served
                )
            else:
                state.record_served()
            answer_ms = (
                self.first_byte_ms
                if self.first_byte_ms is not None
                else self.elapsed_ms
            )
            self._record_answer_time(answer_ms, now_ms)
        elif result in (Result.INVALID, Result.FAILED, Result.TIMED_OUT):
            self._parts.health.record_failure(self._endpoint.id, now_ms)
        if result in (Result.TIMED_OUT, Result.CALLER_LEFT):
            self._record_no_event(now_ms)
        if result is Result.NOT_RUN and not self._wants_pause:
            self._record_full(now_ms)
            self._parts.health.record_failure(
                self._endpoint.id, now_ms, NOT_RUN_FAILURE_WEIGHT
            )

    def _as_suspect(self) -> Suspect:
        answered_ms = 0
        if self.event_count and self.first_byte_ms is not None:
            # A silence at the end is none of its time.
            answered_ms = self._last_event_ms - self._started_ms - self.first_byte_ms
        return self._state.as_suspect(self.elapsed_ms, answered_ms)

    def _record_answer_time(self, answer_ms: int, now_ms: int) -> None:
        """Compare the time of an answer with the predicted one, and learn from it."""
        health = self._parts.health
        if self._is_cold(now_ms):
            known_ms = health.excess_ms(self._endpoint.id, now_ms)
            health.record_answer(self._endpoint.id, known_ms, now_ms)
            return
        predicted_ms = self.choice.predicted_ms
        self._parts.counters.prediction_error_ratio.labels(
            self._endpoint.service
        ).observe(answer_ms / max(1.0, predicted_ms))
        excess_ms = max(0.0, answer_ms - predicted_ms)
        self._record_occupancy(now_ms)
        health.record_answer(self._endpoint.id, excess_ms, now_ms)

    def _record_full(self, now_ms: int) -> None:
        """Send nothing more for a while to a brittle endpoint that had no room."""
        if self.status != REFUSED_STATUS:
            return
        pause_ms = self._parts.brittle.record_refusal(
            self._endpoint.id, self._endpoint.service, self._endpoint.slots, now_ms
        )
        if pause_ms is not None:
            self._parts.log.event(
                "brittle_endpoint_full", endpoint=self._endpoint.id, pause_ms=pause_ms
            )
