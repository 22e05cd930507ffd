"""State of one caller's request, and the answers of the ingress itself."""

from __future__ import annotations

from ..fleet.model import Configuration, Customer, Route, RouteKind, Service
from ..ids import CustomerId, EndpointId, Fingerprint
from ..placing.promptcacheindex import PromptPart
from ..platform.answerheaders import (
    PROMISES_NOT_RUN,
    PeerOutcome,
    local_answer_headers,
)
from ..platform.requestheaders import parse_request_headers, read_send_count
from ..quarantine.evidence import Entry, PartEvidence, Suspect
from ..wire.serverconnection import Exchange
from .parts import IngressParts
from .streamposition import StreamPosition

UNAVAILABLE_RETRY_MS = 500
"""Retry time of a request that surely did not run: its time is up, no endpoint ran
it or was reachable, or its service is not configured. An endpoint completes about
six plain requests in it."""


class RequestState:
    """One request and its progress.

    Parameters
    ----------
    exchange : Exchange
        The request and the writer of its answer.
    parts : IngressParts
        State that all requests share.
    is_from_peer : bool
        Whether another instance sent the request on, instead of a caller.

    Attributes
    ----------
    configuration : Configuration or None
        Configuration in force when the request arrived.
    deadline_ms : int
        Monotonic time at which the final answer is due.
    tried_ids : set of EndpointId
        Endpoints that got the request or were unreachable.
    send_count : int
        How often the request was sent to an endpoint, also by another instance before.
    is_own_refusal : bool
        Whether this instance gave up for a reason that other instances don't have: it
        reaches no endpoint, or it stops.
    may_have_run : bool
        Whether an endpoint may have started the request.
    is_trial : bool
        Whether it may be sent once although it is in quarantine.
    is_usage_recorded : bool
        Whether the request is counted in its customer's usage.
    is_ended_by_stop : bool
        Whether the time is up because this instance is about to end.
    first_byte_ms : int or None
        Time from the arrival of the request to the first byte of its answer.
    position : StreamPosition
        How far the caller has got in a stream.
    """

    def __init__(
        self, exchange: Exchange, parts: IngressParts, *, is_from_peer: bool = False
    ):
        self.exchange = exchange
        self.parts = parts
        self.facts = parse_request_headers(exchange.request)
        self.request_id = self.facts.request_id.decode("latin-1")
        self.configuration: Configuration | None = parts.configuration.current
        self.route: Route | None = None
        self.customer: Customer | None = None
        self.service: Service | None = None
        self.deadline_ms = 0
        self.tried_ids: set[EndpointId] = set()
        self.is_from_peer = is_from_peer
        self.send_count = read_send_count(exchange.request) if is_from_peer else 0
        self._earlier_send_count = self.send_count
        self.is_own_refusal = False
        self.may_have_run = False
        self.is_trial = False
        self.is_usage_recorded = False
        self.is_ended_by_stop = False
        self.first_byte_ms: int | None = None
        self.position = StreamPosition()
        self.status = 0
        self.detail = ""
        self.retry_after_ms: int | None = None

    def respond(
        self, status: int, detail: str, retry_after_ms: int | None = None
    ) -> None:
        """Write a final answer of the ingress itself.

        An answer that has started is aborted instead. A status that promises that the
        request has not run becomes 502 if it may have.
        """
        self.detail = detail
        if self.exchange.has_started:
            self.exchange.abort()
            return
        if self.may_have_run and status in PROMISES_NOT_RUN:
            status, retry_after_ms = 502, None
        self.status = status
        self.retry_after_ms = retry_after_ms
        outcome = self._peer_outcome(status) if self.is_from_peer else None
        self.exchange.respond(
            status,
            local_answer_headers(self.facts.request_id, retry_after_ms, outcome),
        )

    def _peer_outcome(self, status: int) -> PeerOutcome:
        if self.may_have_run or status not in PROMISES_NOT_RUN:
            return PeerOutcome.FINAL
        # The other instance takes no retry after a refusal as for lost links.
        was_sent = self.send_count > self._earlier_send_count
        is_no_link = self.is_own_refusal and not was_sent
        return PeerOutcome.NO_LINK if is_no_link else PeerOutcome.NOT_RUN

    def record_answer(self, status: int, detail: str = "") -> None:
        """Record that an endpoint's answer was forwarded to the caller."""
        self.status = status
        self.detail = detail

    def handle_disconnect(self) -> None:
        """End the exchange of a caller that closed its connection."""
        self.detail = "caller left"
        self.exchange.abort()

    def respond_timeout(self) -> None:
        """Answer that the deadline, the route's timeout or a stop's end has come."""
        detail = "the stop ends" if self.is_ended_by_stop else "time is up"
        if self.may_have_run:
            self.respond(504, detail)
        else:
            self.respond(503, detail, UNAVAILABLE_RETRY_MS)

    def try_move_stream(self, endpoint: EndpointId) -> bool:
        """Take a retry for the rest of a stream, if it can come from elsewhere now.

        Parameters
        ----------
        endpoint : EndpointId
            Where it stalls.
        """
        return False

    def find_quarantine_entry(self) -> Entry | None:
        """Return the entry for which the request must not be sent, if any."""
        if not self.parts.quarantine.entry_count():
            return None
        if self.is_trial and not self.send_count:
            return None
        return self.parts.quarantine.find_entry(self._fingerprints())

    def record_served(self) -> None:
        """Record that an endpoint has answered the request soundly."""
        parts = self.parts
        now_ms = parts.clock.now_ms()
        part_ids = [part.id for part in self._shared_parts()]
        parts.served_parts.record(part_ids, now_ms)
        parts.ended_parts.record(part_ids, now_ms)
        assert self.service is not None
        if parts.quarantine.is_idle:
            parts.quarantine.count_success(self.service.id)
        else:
            parts.quarantine.record_success(self.service.id, self._fingerprints())

    def record_begun(self) -> None:
        """Record that an endpoint has been answering the request for a while."""
        parts = self.parts
        now_ms = parts.clock.now_ms()
        parts.served_parts.record((p.id for p in self._shared_parts()), now_ms)
        assert self.service is not None
        if parts.quarantine.is_idle:
            parts.quarantine.count_success(self.service.id)
        else:
            parts.quarantine.record_begun(self.service.id, self._fingerprints())

    def record_running(self, ran_ms: int) -> None:
        """Record for how long an endpoint has been running the request."""
        if not self.parts.quarantine.is_idle:
            self.parts.quarantine.record_running(self._fingerprints(), ran_ms)

    def as_suspect(self, ran_ms: int, answered_ms: int) -> Suspect:
        """Return the request as one that an endpoint may have crashed under.

        Parameters
        ----------
        ran_ms, answered_ms : int
            Time since its sending, and since its answer began; 0 if it hadn't.
        """
        parts = self.parts
        now_ms = parts.clock.now_ms()
        evidence = tuple(
            PartEvidence(
                parts.fingerprinter.of_part(part.id),
                parts.served_parts.age_ms(part.id, now_ms),
                parts.ended_parts.age_ms(part.id, now_ms),
            )
            for part in self._shared_parts()
        )
        fingerprint = self._fingerprint(self._outline())
        return Suspect(fingerprint, evidence, ran_ms, answered_ms)

    def _fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of which entries or evidence may be."""
        outline = self._outline()
        if not self.parts.quarantine.needs_request(outline):
            return self.part_fingerprints()
        return (*self.part_fingerprints(), self._fingerprint(outline))

    def _outline(self) -> str:
        request, facts = self.exchange.request, self.facts
        return self.parts.fingerprinter.outline_of_request(
            request.method,
            facts.host.encode(),
            request.target,
            facts.api_key.encode(),
            *(part.id.encode() for part in facts.parts),
            body_bytes=len(request.body),
        )

    def _fingerprint(self, outline: str) -> Fingerprint:
        body = self.exchange.request.body
        return self.parts.fingerprinter.of_request(outline, body)

    def part_fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return those of the prompt's parts that other requests may share."""
        of_part = self.parts.fingerprinter.of_part
        return tuple(of_part(part.id) for part in self._shared_parts())

    def _shared_parts(self) -> tuple[PromptPart, ...]:
        """Return all parts but the last, which is of the request or session alone."""
        return self.facts.parts[:-1]

    def remaining_ms(self) -> int:
        """Return the time until the final answer is due."""
        return self.deadline_ms - self.parts.clock.now_ms()

    @property
    def customer_id(self) -> CustomerId | None:
        """Id of the customer whose key the caller sent."""
        return self.customer.id if self.customer else None

    @property
    def rank(self) -> int:
        """Priority of the request, 0 is the most urgent; a customer's comes first."""
        if self.customer is not None and self.customer.rank is not None:
            return self.customer.rank
        return self.route.rank if self.route is not None else 0

    @property
    def is_stream(self) -> bool:
        """Whether the answer is forwarded while it arrives."""
        return self.route is not None and self.route.kind is RouteKind.STREAMING
