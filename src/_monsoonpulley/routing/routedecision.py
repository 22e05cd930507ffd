"""The routing decision, as it is logged."""

from __future__ import annotations

from ..ids import EndpointId, RequestId, ServiceId, VersionId, ZoneId
from ..observability.log import Decision
from .policies import RouteRequest
from .prediction import Prediction


class RouteDecision(Decision, frozen=True, kw_only=True, tag="route"):
    """The endpoint chosen for an attempt, with the values behind the choice.

    Attributes
    ----------
    chosen, runner_up : EndpointId or None
        The chosen endpoint and the next best; ``None`` without another.
    predicted_ms, runner_up_ms : float or None
        Predicted times by which they were compared. The runner-up's may be
        smaller by up to a tenth of the time to first token, which counts as a
        tie.
    queue_ms : float
        Part of ``predicted_ms`` spent in the chosen endpoint's own queue.
    candidate_count : int
        Number of endpoints ranked.
    candidates : tuple of Prediction
        Prediction for each of them, the chosen one first.
    versions : dict
        Shares of traffic by which the version was drawn.
    """

    request_id: RequestId
    service: ServiceId
    version: VersionId
    zone: ZoneId
    chosen: EndpointId
    address: str
    predicted_ms: float
    queue_ms: float
    runner_up: EndpointId | None
    runner_up_ms: float | None
    candidate_count: int
    target_ms: int
    stream: bool
    prompt_tokens: int
    cached_tokens: int
    tried: tuple[EndpointId, ...]
    versions: dict[VersionId, float]
    candidates: tuple[Prediction, ...]
    now_ms: int


def target_time_ms(request: RouteRequest, prediction: Prediction) -> float:
    """Return the predicted time to which the class target applies."""
    return prediction.first_token_ms if request.stream else prediction.completion_ms
