"""Work of a request, as the time that it takes of an endpoint."""

from __future__ import annotations

from ..fleet.model import Service
from .endpointmodels import EndpointModels


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
