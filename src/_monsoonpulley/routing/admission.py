"""Admission control: which requests are admitted, wait or are refused.

The requests of a service in progress from this entry instance are limited to its
share of the endpoints' batch slots, and to less while the endpoints' own queues
are long. Further requests wait in a `FairQueue`, so that fairness is decided here
and not in the endpoints' queues. A request that can't meet its target is refused
at once, with a time after which to retry.
"""

from __future__ import annotations

import random

from ..config.document import Document
from ..errors import Reason
from ..ids import CustomerId, RequestId, ServiceId
from .admissiondecision import AdmissionRequest, Admit, Refuse, Wait
from .fairqueue import FairQueue, Ticket

MAX_QUEUED_REQUESTS = 2_048
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
RESIDENCE_WEIGHT = 0.1
"""Weight of a new sample in the moving average of the time in progress."""
MAX_ENDPOINT_QUEUE_MS = 100
# Additive increase, multiplicative decrease of the limit, once per interval.
FACTOR_INTERVAL_MS = 100
FACTOR_DECREASE = 0.9
FACTOR_INCREASE = 0.05
MIN_LIMIT_FACTOR = 0.1

__all__ = ["Admission", "AdmissionRequest", "Admit", "Refuse", "Wait"]


class _ServiceGate:
    """Requests of one service that are in progress or waiting."""

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.slots: float | None = None
        self.in_flight: dict[RequestId, Ticket] = {}
        self.waiting: dict[RequestId, Ticket] = {}
        self.residence_ms: float | None = None
        self.limit_factor = 1.0
        self.factor_changed_ms = 0

    def adjust_limit(self, queue_ms: float, now_ms: int) -> None:
        """Lower the limit while the chosen endpoint's queue is long, else raise it."""
        if now_ms - self.factor_changed_ms < FACTOR_INTERVAL_MS:
            return
        self.factor_changed_ms = now_ms
        if queue_ms > MAX_ENDPOINT_QUEUE_MS:
            self.limit_factor = max(
                MIN_LIMIT_FACTOR, self.limit_factor * FACTOR_DECREASE
            )
        else:
            self.limit_factor = min(1.0, self.limit_factor + FACTOR_INCREASE)

    def in_flight_limit(self) -> float | None:
        """Return the limit on requests in progress; ``None`` for unlimited."""
        return None if self.slots is None else self.slots * self.limit_factor

    def has_room(self) -> bool:
        """Return whether another request may be admitted."""
        limit = self.in_flight_limit()
        return limit is None or not self.in_flight or len(self.in_flight) < limit

    def expected_wait_ms(self, customer: CustomerId) -> float:
        """Return how long a new request of ``customer`` would wait.

        By Little's law, the queue is served at the rate of the limit divided by
        the mean time in progress.
        """
        limit = self.in_flight_limit()
        if self.residence_ms is None or limit is None or self.has_room():
            return 0.0
        requests_ahead = (
            self.queue.tokens_ahead(customer) / self.queue.mean_cost_tokens()
        )
        return requests_ahead * self.residence_ms / max(1.0, limit)


class Admission:
    """Admission control of one entry instance, over all services.

    Parameters
    ----------
    rng : random.Random
        Source of jitter for retry times.
    max_queued : int
        Maximum waiting requests of each service; each customer may use an
        even share of it.
    """

    def __init__(self, rng: random.Random, max_queued: int = MAX_QUEUED_REQUESTS):
        self._rng = rng
        self._max_queued = max_queued
        self._customer_count = 1
        self._gates: dict[ServiceId, _ServiceGate] = {}

    def reconfigure(self, document: Document) -> None:
        """Apply the customers of another document."""
        self._customer_count = max(1, len(document.customers))

    def set_slots(self, service: ServiceId, slots: float) -> None:
        """Limit a service's requests in progress from this entry instance."""
        self._gate(service).slots = max(1.0, slots)

    def _gate(self, service: ServiceId) -> _ServiceGate:
        gate = self._gates.get(service)
        if gate is None:
            gate = self._gates[service] = _ServiceGate()
        return gate

    def submit(self, request: AdmissionRequest, now_ms: int) -> Admit | Wait | Refuse:
        """Decide on a new request.

        After ``Wait``, the final decision comes from `pop_decisions`.
        """
        gate = self._gate(request.service)
        service_ms = request.predicted_ms - request.queue_ms
        ticket = Ticket(
            request.request_id,
            request.service,
            request.customer,
            request.request_class,
            max(1, request.cost_tokens),
            now_ms,
            int(now_ms + request.target_ms - service_ms),
            request.predicted_ms,
        )
        gate.adjust_limit(request.queue_ms, now_ms)
        gate.queue.record_cost(ticket.cost_tokens)
        if ticket.latest_start_ms < now_ms:
            return self._refuse(gate, ticket, "target-too-near", 0.0, now_ms)
        if not gate.queue.queued_count and gate.has_room():
            gate.queue.charge(ticket.customer, ticket.cost_tokens)
            return self._admit(gate, ticket, "room", now_ms)
        wait_ms = gate.expected_wait_ms(ticket.customer)
        if now_ms + wait_ms > ticket.latest_start_ms:
            return self._refuse(gate, ticket, "wait-too-long", wait_ms, now_ms)
        if (
            gate.queue.customer_queue(ticket.customer).queued_count
            >= self._customer_limit()
        ):
            return self._refuse(gate, ticket, "queue-full", wait_ms, now_ms)
        gate.queue.push(ticket)
        gate.waiting[ticket.request_id] = ticket
        return Wait(**_decision_fields(gate, ticket, "fair-queue", wait_ms, now_ms))

    def _customer_limit(self) -> int:
        return max(1, self._max_queued // self._customer_count)

    def release(
        self,
        service: ServiceId,
        request_id: RequestId,
        now_ms: int,
        used_tokens: int | None = None,
    ) -> None:
        """Record that an admitted request ended; unknown ids are ignored.

        ``used_tokens`` corrects the customer's charge to the true cost.
        """
        gate = self._gate(service)
        ticket = gate.in_flight.pop(request_id, None)
        if ticket is None:
            return
        if used_tokens is not None:
            gate.queue.adjust_charge(ticket.customer, used_tokens - ticket.cost_tokens)
        elapsed_ms = now_ms - ticket.admitted_ms
        if gate.residence_ms is None:
            gate.residence_ms = float(elapsed_ms)
            return
        gate.residence_ms += RESIDENCE_WEIGHT * (elapsed_ms - gate.residence_ms)

    def withdraw(self, service: ServiceId, request_id: RequestId) -> bool:
        """Remove a request whose caller left; return whether it was waiting."""
        gate = self._gate(service)
        ticket = gate.waiting.pop(request_id, None)
        if ticket is None:
            return False
        gate.queue.withdraw(ticket)
        return True

    def pop_decisions(self, now_ms: int) -> tuple[Admit | Refuse, ...]:
        """Remove waiting requests that can be decided now; return the decisions.

        Call it after `release` and `set_slots`, and at `next_expiry_ms`.
        Afterwards no request waits that could be admitted or that can't start in
        time.
        """
        ready: list[Admit | Refuse] = []
        for gate in self._gates.values():
            while (ticket := gate.queue.pop_expired(now_ms)) is not None:
                del gate.waiting[ticket.request_id]
                wait_ms = gate.expected_wait_ms(ticket.customer)
                ready.append(self._refuse(gate, ticket, "waited-out", wait_ms, now_ms))
            while gate.has_room():
                ticket = gate.queue.pop_next()
                if ticket is None:
                    break
                del gate.waiting[ticket.request_id]
                ready.append(self._admit(gate, ticket, "turn", now_ms))
        return tuple(ready)

    def next_expiry_ms(self) -> int | None:
        """Return when the next waiting request expires; ``None`` without any."""
        expiries_ms = [
            head.latest_start_ms + 1
            for gate in self._gates.values()
            for queue in gate.queue.customer_queues.values()
            if (head := queue.head()) is not None
        ]
        return min(expiries_ms, default=None)

    def queued_count(self, service: ServiceId) -> int:
        """Return how many requests are waiting."""
        return self._gate(service).queue.queued_count

    def in_flight_count(self, service: ServiceId) -> int:
        """Return how many admitted requests are in progress."""
        return len(self._gate(service).in_flight)

    def has_room(self, service: ServiceId) -> bool:
        """Return whether a request would be admitted if none were waiting."""
        return self._gate(service).has_room()

    def _admit(
        self, gate: _ServiceGate, ticket: Ticket, rule: str, now_ms: int
    ) -> Admit:
        decision = Admit(**_decision_fields(gate, ticket, rule, 0.0, now_ms))
        ticket.admitted_ms = now_ms
        gate.in_flight[ticket.request_id] = ticket
        return decision

    def _refuse(
        self,
        gate: _ServiceGate,
        ticket: Ticket,
        rule: str,
        wait_ms: float,
        now_ms: int,
    ) -> Refuse:
        overdue_ms = now_ms + wait_ms - ticket.latest_start_ms
        hint_ms = max(MIN_RETRY_AFTER_MS, overdue_ms) * self._rng.uniform(1.0, 1.5)
        is_overload = rule != "target-too-near"
        return Refuse(
            **_decision_fields(gate, ticket, rule, wait_ms, now_ms),
            reason=Reason.OVERLOADED if is_overload else Reason.TARGET_UNREACHABLE,
            retry_after_ms=min(MAX_RETRY_AFTER_MS, round(hint_ms)),
        )


def _decision_fields(
    gate: _ServiceGate, ticket: Ticket, rule: str, wait_ms: float, now_ms: int
) -> dict:
    """Return the fields that all admission decisions share."""
    customer_queue = gate.queue.customer_queues.get(ticket.customer)
    return {
        "rule": rule,
        "request_id": ticket.request_id,
        "service": ticket.service,
        "customer": ticket.customer,
        "request_class": ticket.request_class,
        "cost_tokens": ticket.cost_tokens,
        "latest_start_ms": ticket.latest_start_ms,
        "predicted_ms": ticket.predicted_ms,
        "waited_ms": now_ms - ticket.submitted_ms,
        "expected_wait_ms": wait_ms,
        "customer_queued": customer_queue.queued_count if customer_queue else 0,
        "queued": gate.queue.queued_count,
        "in_flight": len(gate.in_flight),
        "bound": gate.in_flight_limit(),
        "now_ms": now_ms,
    }
