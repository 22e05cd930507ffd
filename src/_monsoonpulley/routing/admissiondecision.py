"""Requests to admission, and its decisions."""

from __future__ import annotations

import msgspec

from ..errors import Delivery, Failure, Reason
from ..ids import ClassId, CustomerId, RequestId, ServiceId
from ..observability.log import Decision


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request submitted to admission.

    Attributes
    ----------
    cost_tokens : int
        Cost: uncached prompt tokens plus expected output tokens; 1 for calls
        of plain services.
    target_ms : int
        Time remaining to meet the class target.
    predicted_ms, queue_ms : float
        Predicted time, and the part of it spent in the endpoint's own queue,
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
    """A decision on a request, with the values behind it.

    Attributes
    ----------
    waited_ms, expected_wait_ms : int, float
        Wait so far, and further wait expected.
    customer_queued, queued : int
        Waiting requests of the customer, and of all customers.
    in_flight, bound : int, float or None
        Requests in progress, and the limit on them; ``None`` for unlimited.
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
    """The request is admitted; `Admission.release` must follow."""


class Wait(AdmissionDecision, frozen=True, kw_only=True, tag="admission_wait"):
    """The request waits until `Admission.pop_decisions` decides on it."""


class Refuse(AdmissionDecision, frozen=True, kw_only=True, tag="refuse"):
    """The request is refused and will not be run."""

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
