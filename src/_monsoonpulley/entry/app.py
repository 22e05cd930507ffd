"""The HTTP application of an entry instance, made from the instance's parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.routing import BaseRoute

from ..explain.explainer import Explainer, Peer, other_entries
from ..explain.overview import InstanceOverview
from ..gateway.app import Handlers, make_app
from ..gateway.generations import GenerationHandler
from ..gateway.intake import Reception
from ..gateway.lookup import LookupHandler
from ..gateway.operator import OperatorHandlers
from ..gateway.services import ServiceHandler

if TYPE_CHECKING:
    from .instance import EntryInstance


def make_entry_app(instance: EntryInstance, operator_sha256: str) -> Starlette:
    """Return the application towards callers and operators."""
    around = instance.surroundings
    reception = Reception(instance.document, instance.lifecycle, around.rng)
    generations = GenerationHandler(
        reception,
        instance.gate,
        instance.placement,
        instance.pool.client,
        instance.streams,
        instance.lifecycle,
        around.clock,
        around.log,
        around.metrics,
    )
    services = ServiceHandler(
        reception,
        instance.gate,
        instance.placement,
        instance.attempts,
        instance.journal,
        instance.lifecycle,
        around.clock,
        around.log,
        around.metrics,
    )
    handlers = Handlers(
        generations=generations,
        services=services,
        lookup=LookupHandler(reception, instance.journal),
        reception=reception,
        lifecycle=instance.lifecycle,
        operator_routes=_operator_routes(instance, operator_sha256),
    )
    return make_app(handlers, around.log)


def _operator_routes(instance: EntryInstance, operator_sha256: str) -> list[BaseRoute]:
    overview = InstanceOverview(
        instance.identity,
        instance.lifecycle,
        instance.watcher,
        instance.pool,
        instance.router,
        instance.membership,
        instance.surroundings.clock,
        instance.leases,
        instance.rollouts,
        _explainer(instance),
    )
    handlers = OperatorHandlers(
        operator_sha256, instance.config_store, instance.watcher, overview
    )
    return handlers.routes()


def _explainer(instance: EntryInstance) -> Explainer:
    around = instance.surroundings

    def find_peers() -> list[Peer]:
        expected = instance.membership.expected_members(around.clock.now_ms())
        own = instance.identity.instance
        return other_entries(own, expected, instance.roster.members)

    return Explainer(
        instance.identity.instance,
        around.log,
        find_peers,
        around.peer_operators,
        around.platform.table,
        instance.config_store,
    )
