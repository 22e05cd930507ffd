"""Assembles the HTTP application of an entry instance from its parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.routing import BaseRoute

from ..explain.explainer import Explainer, Peer, other_entries
from ..explain.overview import InstanceOverview
from ..gateway.app import Handlers, make_app
from ..gateway.authorization import RequestAuthorizer
from ..gateway.generations import GenerationHandler
from ..gateway.lookup import LookupHandler
from ..gateway.operator import OperatorHandlers
from ..gateway.services import ServiceHandler

if TYPE_CHECKING:
    from .instance import EntryInstance


def make_entry_app(instance: EntryInstance, operator_sha256: str) -> Starlette:
    """Return the application that serves callers and operators."""
    env = instance.environment
    authorizer = RequestAuthorizer(
        instance.document, instance.lifecycle, env.clock, env.rng
    )
    generations = GenerationHandler(
        authorizer,
        instance.gate,
        instance.placement,
        instance.pool.client,
        instance.streams,
        instance.lifecycle,
        env.clock,
        env.log,
        env.metrics,
    )
    services = ServiceHandler(
        authorizer,
        instance.gate,
        instance.placement,
        instance.service_attempts,
        instance.journal,
        instance.lifecycle,
        env.clock,
        env.log,
        env.metrics,
    )
    handlers = Handlers(
        generations=generations,
        services=services,
        lookup=LookupHandler(authorizer, instance.journal),
        authorizer=authorizer,
        lifecycle=instance.lifecycle,
        operator_routes=_make_operator_routes(instance, operator_sha256),
    )
    return make_app(handlers, env.log)


def _make_operator_routes(
    instance: EntryInstance, operator_sha256: str
) -> list[BaseRoute]:
    overview = InstanceOverview(
        instance.identity,
        instance.lifecycle,
        instance.watcher,
        instance.pool,
        instance.router,
        instance.membership,
        instance.environment.clock,
        instance.leases,
        instance.rollout_view,
        _make_explainer(instance),
    )
    handlers = OperatorHandlers(
        operator_sha256, instance.config_store, instance.watcher, overview
    )
    return handlers.routes()


def _make_explainer(instance: EntryInstance) -> Explainer:
    env = instance.environment

    def list_peers() -> list[Peer]:
        expected = instance.membership.expected_members(env.clock.now_ms())
        own = instance.identity.instance
        return other_entries(own, expected, instance.roster.members)

    return Explainer(
        instance.identity.instance,
        env.log,
        list_peers,
        env.peer_operators,
        env.platform.table,
        instance.config_store,
    )
