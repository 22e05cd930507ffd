"""The models of all services' endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain

from ..fleet.model import Configuration, Endpoint, EngineSpec
from ..ids import EndpointId, InstanceId, ServiceId
from .endpointspeeds import EndpointSpeed, EndpointSpeeds
from .enginemodel import EngineModel
from .servicemodel import ServiceModel
from .sharedsums import Sums

SPEEDS_INTERVAL_MS = 2_000
"""Interval in which speeds are computed: an eighth of the samples are new after it.
For 300 endpoints this takes 12 ms (`testing.placing.decisiontime`)."""

DEFAULT_ENGINE = EngineSpec(slots=1, cache_tokens=0)
"""Used for a service without engines in the configuration."""


class EndpointModels:
    """One model for each service, and the speeds of its endpoints.

    Attributes
    ----------
    speeds : EndpointSpeeds
        Learned from the endpoints' answers.
    """

    def __init__(self) -> None:
        self.speeds = EndpointSpeeds()
        self._speeds_ms = -SPEEDS_INTERVAL_MS
        self._engines: dict[ServiceId, EngineModel] = {}
        self._services: dict[ServiceId, ServiceModel] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply the engines' specifications; what was learned is kept."""
        for service in configuration.services.values():
            if service.engine is not None:
                self.engine(service.id).spec = service.engine
        for models in (self._engines, self._services):
            for service_id in list(models):
                if service_id not in configuration.services:
                    del models[service_id]

    def engine(self, service: ServiceId) -> EngineModel:
        """Return the model of a service's engines."""
        model = self._engines.get(service)
        if model is None:
            model = self._engines[service] = EngineModel(DEFAULT_ENGINE)
        return model

    def plain(self, service: ServiceId) -> ServiceModel:
        """Return the model of a plain service's endpoints."""
        model = self._services.get(service)
        if model is None:
            model = self._services[service] = ServiceModel()
        return model

    def speed(self, endpoint: EndpointId) -> EndpointSpeed | None:
        """Return the speed of an endpoint; None while its service's are alike."""
        return self.speeds.speed(endpoint)

    def refresh_speeds(self, endpoints: Iterable[Endpoint], now_ms: int) -> None:
        """Compute the speeds of all endpoints again once they are due."""
        if now_ms - self._speeds_ms < SPEEDS_INTERVAL_MS:
            return
        self._speeds_ms = now_ms
        by_service: dict[ServiceId, list[EndpointId]] = {}
        for endpoint in endpoints:
            by_service.setdefault(endpoint.service, []).append(endpoint.id)
        self.speeds.expire(chain.from_iterable(by_service.values()), now_ms)
        for ids in by_service.values():
            self.speeds.refresh(ids)

    def own_sums(self, now_ms: int) -> dict[str, Sums]:
        """Return what this instance has seen, for its digest."""
        models = {**self._services, **self._engines}
        return {service: model.sums.own(now_ms) for service, model in models.items()}

    def update_peer(self, peer: InstanceId, sums: dict[str, Sums]) -> None:
        """Replace what a peer has seen by that in its latest full digest."""
        for name, service_sums in sums.items():
            service = ServiceId(name)
            model = self._engines.get(service) or self._services.get(service)
            if model is not None:
                model.sums.update_peer(peer, service_sums)

    def remove_peer(self, peer: InstanceId) -> None:
        """Remove what a peer has seen that is not reachable any more."""
        for model in (*self._engines.values(), *self._services.values()):
            model.sums.update_peer(peer, ())
