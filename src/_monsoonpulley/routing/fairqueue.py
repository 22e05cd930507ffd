"""Start-time fair queueing between customers, by cost in tokens.

The cost of each request is added to its customer's tag; the backlogged customer
with the smallest tag is served next. A customer that was idle starts at the
queue's virtual time, so it neither accumulates credit nor pays for what it used
while it was alone. Customers whose tags are within one quantum count as equal:
among them the request that must start soonest is served first, and likewise
within a customer.
"""

from __future__ import annotations

import heapq

import msgspec

from ..ids import ClassId, CustomerId, RequestId, ServiceId

QUANTUM_REQUESTS = 4.0
"""Quantum in requests of mean cost."""
MEAN_COST_REQUESTS = 50
"""Requests that the moving average of the cost covers."""


class Ticket(msgspec.Struct):
    """A request that is waiting for admission or admitted.

    Attributes
    ----------
    latest_start_ms : int
        Time by which it must start to meet its target.
    """

    request_id: RequestId
    service: ServiceId
    customer: CustomerId
    request_class: ClassId
    cost_tokens: int
    submitted_ms: int
    latest_start_ms: int
    predicted_ms: float
    admitted_ms: int = 0
    is_withdrawn: bool = False


class CustomerQueue:
    """One customer's waiting requests, the most urgent first."""

    def __init__(self) -> None:
        self.tag = 0.0
        self.queued_count = 0
        self.queued_tokens = 0
        self._heap: list[tuple[int, int, Ticket]] = []

    def push(self, ticket: Ticket, sequence: int) -> None:
        """Add a waiting request; ``sequence`` breaks ties."""
        heapq.heappush(self._heap, (ticket.latest_start_ms, sequence, ticket))
        self.queued_count += 1
        self.queued_tokens += ticket.cost_tokens

    def head(self) -> Ticket | None:
        """Return the request that must start soonest."""
        while self._heap and self._heap[0][2].is_withdrawn:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def pop(self) -> Ticket:
        """Remove and return the head, which must exist."""
        ticket = heapq.heappop(self._heap)[2]
        self._subtract(ticket)
        return ticket

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a request at any position."""
        ticket.is_withdrawn = True
        self._subtract(ticket)

    def _subtract(self, ticket: Ticket) -> None:
        self.queued_count -= 1
        self.queued_tokens -= ticket.cost_tokens


class FairQueue:
    """The waiting requests of one service."""

    def __init__(self) -> None:
        self.customer_queues: dict[CustomerId, CustomerQueue] = {}
        self.virtual_time = 0.0
        self.queued_count = 0
        self.queued_tokens = 0
        self._mean_cost_tokens = 0.0
        self._cost_count = 0
        self._push_count = 0

    def record_cost(self, cost_tokens: int) -> None:
        """Update the mean cost of requests, which determines the quantum."""
        self._cost_count = min(self._cost_count + 1, MEAN_COST_REQUESTS)
        self._mean_cost_tokens += (
            cost_tokens - self._mean_cost_tokens
        ) / self._cost_count

    def mean_cost_tokens(self) -> float:
        """Return the mean cost of recent requests in tokens, at least 1."""
        return max(1.0, self._mean_cost_tokens)

    def customer_queue(self, customer: CustomerId) -> CustomerQueue:
        """Return a customer's queue, created at first use."""
        queue = self.customer_queues.get(customer)
        if queue is None:
            queue = self.customer_queues[customer] = CustomerQueue()
        return queue

    def push(self, ticket: Ticket) -> None:
        """Add a waiting request."""
        queue = self.customer_queue(ticket.customer)
        if not queue.queued_count:
            queue.tag = max(queue.tag, self.virtual_time)
        self._push_count += 1
        queue.push(ticket, self._push_count)
        self.queued_count += 1
        self.queued_tokens += ticket.cost_tokens

    def pop_expired(self, now_ms: int) -> Ticket | None:
        """Remove and return a request that can no longer start in time."""
        for queue in self.customer_queues.values():
            head = queue.head()
            if head is not None and head.latest_start_ms < now_ms:
                return self._pop_from(queue)
        return None

    def pop_next(self) -> Ticket | None:
        """Remove and return the next request; charge its customer."""
        backlogged = [q for q in self.customer_queues.values() if q.queued_count]
        if not backlogged:
            return None
        least_tag = min(queue.tag for queue in backlogged)
        quantum = QUANTUM_REQUESTS * self.mean_cost_tokens()
        tied_queues = [
            queue for queue in backlogged if queue.tag <= least_tag + quantum
        ]
        chosen = min(tied_queues, key=_head_latest_start_ms)
        ticket = self._pop_from(chosen)
        self.virtual_time = max(self.virtual_time, least_tag)
        chosen.tag += ticket.cost_tokens
        return ticket

    def charge(self, customer: CustomerId, cost_tokens: int) -> None:
        """Charge a customer for a request that did not wait."""
        queue = self.customer_queue(customer)
        queue.tag = max(queue.tag, self.virtual_time)
        self.virtual_time = max(self.virtual_time, queue.tag)
        queue.tag += cost_tokens

    def adjust_charge(self, customer: CustomerId, extra_tokens: int) -> None:
        """Adjust a customer's charge once the true cost is known."""
        queue = self.customer_queues.get(customer)
        if queue is not None:
            queue.tag = max(queue.tag + extra_tokens, 0.0)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting request."""
        self.customer_queues[ticket.customer].withdraw(ticket)
        self.queued_count -= 1
        self.queued_tokens -= ticket.cost_tokens

    def tokens_ahead(self, customer: CustomerId) -> int:
        """Return the tokens served before a new request of ``customer``.

        Its backlog alternates with those of the other backlogged customers, so
        each of those counts at most as much as its own.
        """
        own = self.customer_queues.get(customer)
        own_tokens = own.queued_tokens if own else 0
        ahead = own_tokens
        for name, queue in self.customer_queues.items():
            if name != customer:
                ahead += min(queue.queued_tokens, own_tokens)
        return ahead

    def _pop_from(self, queue: CustomerQueue) -> Ticket:
        ticket = queue.pop()
        self.queued_count -= 1
        self.queued_tokens -= ticket.cost_tokens
        return ticket


def _head_latest_start_ms(queue: CustomerQueue) -> int:
    head = queue.head()
    return head.latest_start_ms if head else 1 << 62
