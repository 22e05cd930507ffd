"""A request that another instance sends on, as this one has no link to an endpoint."""

from __future__ import annotations

from ..errors import Failure
from ..platform.answerheaders import PeerOutcome, read_peer_outcome, read_retry_after_ms
from ..platform.requestheaders import REQUEST_ID_FIELD, encode_peer_request
from ..sharing.members import Member
from ..wire.clientconnection import ClientConnection
from ..wire.events import AnswerHead
from .answertransfer import AnswerTransfer
from .requestlog import Result
from .requeststate import RequestState


class PeerAttempt(AnswerTransfer):
    """Has another instance serve a request, and forwards the answer.

    What is learnt from an endpoint's answer, and what the request costs its customer,
    is recorded there.

    Parameters
    ----------
    state : RequestState
        The request and its progress.
    peer : Member
        The other instance.
    """

    def __init__(self, state: RequestState, peer: Member):
        super().__init__(state)
        self.peer = peer

    @property
    def outcome(self) -> PeerOutcome | None:
        """What the other instance says itself; None if an endpoint answered."""
        return read_peer_outcome(self._head) if self._head is not None else None

    async def run(self) -> Result:
        """Send the request once and return how the attempt ended."""
        pool = self._parts.peer_pools.pool(self.peer)
        connection = await pool.acquire(self._state.facts.request_id)
        if isinstance(connection, Failure):
            self.elapsed_ms = self._parts.clock.now_ms() - self._started_ms
            self.detail = str(connection)
            return Result.UNREACHABLE
        try:
            if self._state.exchange.is_over:
                return self._handle_disconnect()
            if self._state.remaining_ms() <= 0:
                self.detail = "the time ran out while connecting"
                return Result.UNREACHABLE
            self._send(connection)
            try:
                return await self._receive(connection)
            except Exception:
                # What the other instance made of the request is not known.
                self._state.may_have_run = True
                raise
        finally:
            self._state.exchange.set_upstream(None)
            self._parts.answer_memory.release(self._held_bytes)
            pool.release(connection)
            self.elapsed_ms = self._parts.clock.now_ms() - self._started_ms

    def give_final_answer(self, result: Result, retry_after_ms: int) -> None:
        """Answer the caller; a refusal keeps its status and retry time."""
        state = self._state
        if result is not Result.NOT_RUN or state.may_have_run:
            super().give_final_answer(result, retry_after_ms)
            return
        assert self._head is not None
        told_ms = read_retry_after_ms(self._head)
        state.respond(
            self._head.status,
            f"refused by another instance: {self.detail}",
            retry_after_ms if told_ms is None else told_ms,
        )

    def _send(self, connection: ClientConnection) -> None:
        state = self._state
        request = state.exchange.request
        data = encode_peer_request(
            request,
            remaining_ms=state.remaining_ms(),
            send_count=state.send_count,
            last_event_id=state.position.last_id,
        )
        state.send_count += 1
        self.was_sent = True
        connection.send(
            data,
            state.exchange.mailbox,
            expected_id=(REQUEST_ID_FIELD, state.facts.request_id),
            is_head=request.method == b"HEAD",
        )

    def _was_not_run(self, head: AnswerHead) -> bool:
        return read_peer_outcome(head) in (PeerOutcome.NOT_RUN, PeerOutcome.NO_LINK)
