"""What is known of one caller's request, and the writing of its answer."""

from __future__ import annotations

from ..fleet.model import Configuration, Customer, Route, RouteKind, Service
from ..ids import CustomerId, EndpointId
from ..platform.answerheaders import own_headers
from ..platform.requestheaders import read_request
from ..wire.serverconnection import Exchange
from .parts import IngressParts

SHED_RETRY_MS = 500
"""After an endpoint had no room: about six of its plain requests later."""


class RequestState:
    """One request as far as it has come.

    Parameters
    ----------
    exchange : Exchange
        The request, and where its answer goes.
    parts : IngressParts
        What requests share.

    Attributes
    ----------
    configuration : Configuration or None
        In force when the request came.
    deadline_ms : int
        Monotonic time at which the final answer is due.
    tried : set of EndpointId
        Endpoints that had the request, or could not be reached.
    sends : int
        Endpoints to which it was sent.
    may_have_run : bool
        Whether an endpoint may have begun it.
    is_counted : bool
        Whether it is counted in its customer's usage.
    first_ms : int or None
        From its arrival to the first byte of its answer.
    last_event_id : bytes or None
        Of a stream, the last event that the caller got here.
    """

    def __init__(self, exchange: Exchange, parts: IngressParts):
        self.exchange = exchange
        self.parts = parts
        self.facts = read_request(exchange.request)
        self.request_id = self.facts.request_id.decode("latin-1")
        self.configuration: Configuration | None = parts.configuration.current
        self.route: Route | None = None
        self.customer: Customer | None = None
        self.service: Service | None = None
        self.deadline_ms = 0
        self.tried_ids: set[EndpointId] = set()
        self.send_count = 0
        self.may_have_run = False
        self.is_usage_recorded = False
        self.first_byte_ms: int | None = None
        self.last_event_id: bytes | None = None
        self.status = 0
        self.detail = ""
        self.retry_after_ms: int | None = None

    def respond(
        self, status: int, detail: str, retry_after_ms: int | None = None
    ) -> None:
        """Write a final answer of the project's own, or break off a begun one."""
        self.detail = detail
        if self.exchange.has_started:
            self.exchange.abort()
            return
        self.status = status
        self.retry_after_ms = retry_after_ms
        self.exchange.respond(
            status, own_headers(self.facts.request_id, retry_after_ms)
        )

    def record_answer(self, status: int, detail: str = "") -> None:
        """Note that an endpoint's answer went to the caller."""
        self.status = status
        self.detail = detail

    def handle_disconnect(self) -> None:
        """Note that the caller is gone."""
        self.detail = "caller left"
        self.exchange.abort()

    def respond_timeout(self) -> None:
        """Give the final answer at the deadline or the route's timeout."""
        if self.may_have_run:
            self.respond(504, "time is up")
        else:
            self.respond(503, "time is up", SHED_RETRY_MS)

    def remaining_ms(self) -> int:
        """Return the time until the final answer is due."""
        return self.deadline_ms - self.parts.clock.now_ms()

    @property
    def customer_id(self) -> CustomerId | None:
        """Return the id of the customer whose key was shown."""
        return self.customer.id if self.customer else None

    @property
    def is_stream(self) -> bool:
        """Whether the answer is passed on while it arrives."""
        return self.route is not None and self.route.kind is RouteKind.STREAMING
