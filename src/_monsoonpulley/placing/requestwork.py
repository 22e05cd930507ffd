"""Work of a request, as the time that it takes of an endpoint."""

from __future__ import annotations

import msgspec

from ..fleet.model import Service
from .endpointmodels import EndpointModels


class RequestWork(msgspec.Struct, frozen=True):
    """Predicted work of a request.

    Attributes
    ----------
    prefill_tokens : int
        Prompt tokens that are presumably not cached.
    output_events : float
        Mean number of events of its stream; 0 for a plain request.
    scatter : float
        Standard deviation of the logarithm of the number of events.
    held_token_ms : float
        Memory that it holds, multiplied by the time.
    service_ms : float
        Time that it takes of an endpoint; see `predict_work_ms`.
    stream_ms : float
        Time from its first event to its end.
    """

    prefill_tokens: int
    output_events: float
    scatter: float
    held_token_ms: float
    service_ms: float
    stream_ms: float


def predict_work(
    models: EndpointModels,
    service: Service,
    *,
    route: str,
    customer: str,
    hint: int | None,
    prefill_tokens: int,
    held_tokens: int,
) -> RequestWork:
    """Return the predicted work of a request.

    Parameters
    ----------
    models, service, prefill_tokens
        See `predict_work_ms`.
    route, customer : str
        The kind of request; the customer may be empty.
    hint : int or None
        The caller's estimate of the tokens to generate.
    held_tokens : int
        Memory that it holds at its end.
    """
    service_ms = predict_work_ms(models, service, prefill_tokens)
    if service.engine is None:
        return RequestWork(0, 0.0, 0.0, 0.0, service_ms, 0.0)
    length = models.outputs.predict(service.id, route, customer, hint)
    engine = models.engine(service.id)
    stream_ms = length.mean_events * models.event_ms(service.id)
    held_ms = engine.idle_ms(prefill_tokens) + stream_ms
    return RequestWork(
        prefill_tokens,
        length.mean_events,
        length.scatter,
        held_tokens * held_ms,
        service_ms,
        stream_ms,
    )


def predict_work_ms(
    models: EndpointModels, service: Service, prefill_tokens: int
) -> float:
    """Return the time that a request takes of an endpoint of its service.

    For an engine this is the time to prefill the part of the prompt that is not cached,
    which other prompts wait for, and its share of the time in a slot.

    Parameters
    ----------
    models : EndpointModels
        Predict the times.
    service : Service
        The service.
    prefill_tokens : int
        Prompt tokens that are presumably not cached.
    """
    if service.engine is None:
        return models.plain(service.id).service_ms()
    engine = models.engine(service.id)
    slot_ms = engine.occupancy_ms() / max(1, service.engine.slots)
    return engine.prefill_ms(prefill_tokens) + slot_ms
