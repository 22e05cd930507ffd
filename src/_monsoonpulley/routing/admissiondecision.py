"""What admission is asked, and what it answers."""

from __future__ import annotations

import msgspec

from ..errors import Delivery, Failure, Reason
from ..ids import ClassId, CustomerId, RequestId, ServiceId
from ..observability.log import Decision


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that asks to be admitted.

    Attributes
    ----------
    cost_tokens : int
        What it costs: uncached prompt plus expected output; 1 for calls of
        plain services.
    target_ms : int
        Time left to meet its class target.
    predicted_ms, queue_ms : float
        Predicted time and the part of it that is the endpoint's own queue,
        from `Router.choose`.
    """

    request_id: RequestId
    service: ServiceId
    customer: CustomerId
    request_class: ClassId
    cost_tokens: int
    target_ms: int
    predicted_ms: float = 0.0
    queue_ms: float = 0.0


class AdmissionDecision(Decision, frozen=True, kw_only=True):
    """What was decided on a request, and from what.

    Attributes
    ----------
    waited_ms, expected_wait_ms : int, float
        Wait so far, and what was expected on top.
    customer_queued, queued : int
        Waiting requests of the customer, and of all.
    in_flight, bound : int, float or None
        Requests in progress, and the bound on them; ``None`` without one.
    """

    request_id: RequestId
    service: ServiceId
    customer: CustomerId
    request_class: ClassId
    cost_tokens: int
    latest_start_ms: int
    predicted_ms: float
    waited_ms: int
    expected_wait_ms: float
    customer_queued: int
    queued: int
    in_flight: int
    bound: float | None
    now_ms: int


class Admit(AdmissionDecision, frozen=True, kw_only=True, tag="admit"):
    """The request goes on; `Admission.release` must follow."""


class Wait(AdmissionDecision, frozen=True, kw_only=True, tag="admission_wait"):
    """The request waits for `Admission.pop_decisions`."""


class Refuse(AdmissionDecision, frozen=True, kw_only=True, tag="refuse"):
    """The request was not run and will not be."""

    reason: Reason
    retry_after_ms: int

    def failure(self) -> Failure:
        """Return the refusal as a failure."""
        return Failure(
            self.reason,
            "routing.admission",
            str(self.service),
            self.rule,
            Delivery.NOT_SENT,
            self.retry_after_ms,
        )
