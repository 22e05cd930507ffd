"""The routing decision, as it stands in the log."""

from __future__ import annotations

from ..ids import EndpointId, RequestId, ServiceId, VersionId, ZoneId
from ..observability.log import Decision
from .policies import RouteRequest
from .prediction import Prediction


class RouteDecision(Decision, frozen=True, kw_only=True, tag="route"):
    """Where one attempt goes, and why.

    Attributes
    ----------
    chosen, runner_up : EndpointId or None
        The endpoint, and the next best; ``None`` if it was the only one.
    predicted_ms, runner_up_ms : float or None
        Predicted time by which they were compared. The runner-up's may be the
        smaller one by up to a tenth of the time to first token, which counts
        as a tie.
    queue_ms : float
        Part of it that is the chosen endpoint's own queue.
    candidate_count : int
        How many endpoints were looked at.
    candidates : tuple of Prediction
        What was expected of each, best first.
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
    """Return the predicted time that the class target is about."""
    return prediction.first_token_ms if request.stream else prediction.completion_ms
