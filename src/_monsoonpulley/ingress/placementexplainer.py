"""Answers the question where a request would go now, and why.

The decision is that of `DryRun`; who asks changes nothing.
"""

from __future__ import annotations

import math
import random
from http import HTTPStatus

import msgspec

from ..errors import MALFORMED_ERRORS, Failure, Reason
from ..ids import CustomerId, InstanceId
from ..placement_wire import (
    Candidate,
    GateLine,
    PlacementExplanation,
    PlacementQuery,
    Rejection,
)
from ..placing.placer import Choice, PlacementRefusal
from ..platform import names
from ..wire.requestmessage import RequestMessage
from ..wire.serverconnection import Exchange
from .dryrun import DryRun
from .explaingates import explain_endpoints, explain_request
from .parts import IngressParts

MIN_INTERVAL_MS = 1_000
"""Shortest time between two questions: each copies state, which in a fleet of 300
instances with 16 customers takes 20 to 45 ms of the loop that serves callers."""

REQUEST_ID = b"explain"


class PlacementExplainer:
    """Explains decisions about requests that are not sent.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    parts : IngressParts
        Its parts.
    rng : random.Random
        Draws for its requests.
    """

    def __init__(self, instance: InstanceId, parts: IngressParts, rng: random.Random):
        self._instance = instance
        self._parts = parts
        self._rng = rng
        self._last_ms = -MIN_INTERVAL_MS

    def answer(self, exchange: Exchange) -> None:
        """Answer an operator's question over HTTP."""
        now_ms = self._parts.clock.now_ms()
        if now_ms - self._last_ms < MIN_INTERVAL_MS:
            exchange.respond(
                HTTPStatus.TOO_MANY_REQUESTS, [], b"another question was asked just now"
            )
            return
        self._last_ms = now_ms
        try:
            query = msgspec.json.decode(exchange.request.body, type=PlacementQuery)
        except MALFORMED_ERRORS as error:
            exchange.respond(HTTPStatus.BAD_REQUEST, [], str(error).encode())
            return
        explanation = self.explain(query)
        if isinstance(explanation, Failure):
            exchange.respond(HTTPStatus.BAD_REQUEST, [], explanation.detail.encode())
            return
        headers = [(b"Content-Type", b"application/json")]
        exchange.respond(HTTPStatus.OK, headers, msgspec.json.encode(explanation))

    def explain(self, query: PlacementQuery) -> PlacementExplanation | Failure:
        """Return where a request would go now, and why.

        Returns
        -------
        PlacementExplanation or Failure
            `Reason.INVALID` if the query describes no request.
        """
        request = self._make_request(query)
        if isinstance(request, Failure):
            return request
        run = DryRun(request, self._parts, self._rng)
        run.admit()
        gates = explain_request(run)
        explanation = PlacementExplanation(
            instance=self._instance,
            zone=self._parts.zone,
            configuration=run.configuration.version if run.configuration else 0,
            route=run.route.name if run.route else "",
            service=run.service.id if run.service else "",
            customer=run.customer.id if run.customer else "",
            priority=run.rank,
            gates=tuple(gates),
        )
        if not run.is_admitted:
            rejection = Rejection(run.status, run.detail, run.retry_after_ms)
            return msgspec.structs.replace(explanation, rejection=rejection)
        return self._explain_placement(run, explanation)

    def _explain_placement(
        self, run: DryRun, explanation: PlacementExplanation
    ) -> PlacementExplanation:
        now_ms = self._parts.clock.now_ms()
        lines, left = explain_endpoints(run, now_ms)
        max_wait_ms = run.max_wait_ms()
        cold_ids = run.parts.cold.cold_ids(left, now_ms)
        choice = run.choose()
        added = {e.id for e in run.usable_endpoints} - {e.id for e in left}
        if added:
            says = f"serves beside cold endpoints: {', '.join(sorted(added))}"
            lines.append(GateLine("old version", says))
        estimates = sorted(run.placer.estimates, key=lambda e: e.cost_ms)
        rejection = None
        helpers: tuple[str, ...] = ()
        if isinstance(choice, PlacementRefusal):
            helpers = tuple(run.helper_names())
            run.reject(choice)
            rejection = Rejection(run.status, run.detail, run.retry_after_ms)
        return msgspec.structs.replace(
            explanation,
            remaining_ms=run.remaining_ms(),
            max_wait_ms=None if math.isinf(max_wait_ms) else round(max_wait_ms, 1),
            share_factor=round(run.share_factor, 3),
            endpoint=choice.endpoint.id if isinstance(choice, Choice) else "",
            rejection=rejection,
            helpers=helpers,
            gates=(*explanation.gates, *lines),
            candidates=tuple(_candidate(e, cold_ids) for e in estimates),
        )

    def _make_request(self, query: PlacementQuery) -> RequestMessage | Failure:
        """Return the request that a caller would have sent."""
        if not query.path.startswith("/"):
            return _invalid("the path does not begin with a slash")
        fields = {names.REQUEST_ID: REQUEST_ID, b"Host": query.host.encode()}
        if query.customer:
            key = self._key_of(CustomerId(query.customer))
            if key is None:
                return _invalid(f"no customer {query.customer!r} with a key is known")
            fields[b"Authorization"] = b"Bearer " + key.encode("latin-1")
        if query.prompt_tokens is not None and query.max_output_tokens is not None:
            counts = b"%d,%d" % (query.prompt_tokens, query.max_output_tokens)
            fields[names.TOKEN_COUNTS] = counts
        if query.prompt_prefix:
            fields[names.PROMPT_PREFIX] = query.prompt_prefix.encode()
        if query.length_hint is not None:
            fields[names.LENGTH_HINT] = b"%d" % query.length_hint
        if query.deadline_ms is not None:
            fields[names.DEADLINE] = b"%d" % query.deadline_ms
        return RequestMessage(
            method=query.method.encode(),
            target=query.path.encode(),
            headers=list(fields.items()),
            fields={name.lower(): value for name, value in fields.items()},
            body=query.body,
            is_keep_alive=False,
            received_ms=self._parts.clock.now_ms(),
        )

    def _key_of(self, customer: CustomerId) -> str | None:
        current = self._parts.configuration.current
        if current is None:
            return None
        keys = (k for k, name in current.customer_by_key.items() if name == customer)
        return next(keys, None)


def _candidate(estimate, cold_ids: frozenset) -> Candidate:
    """Return a placer's estimate for one endpoint, as in the explanation."""
    endpoint, load = estimate.endpoint, estimate.load
    return Candidate(
        endpoint=endpoint.id,
        zone=endpoint.zone,
        version=endpoint.version,
        predicted_ms=round(estimate.time_ms, 1),
        wait_ms=round(estimate.wait_ms, 1),
        cost_ms=round(estimate.cost_ms, 1),
        prefill_tokens=estimate.prefill_tokens,
        backlog_tokens=load.prefill_tokens,
        held_tokens=load.held_tokens,
        running=load.running_count,
        speed_factor=round(estimate.speed_factor, 2),
        is_cold=endpoint.id in cold_ids,
    )


def _invalid(detail: str) -> Failure:
    return Failure(Reason.INVALID, "explain.place", detail=detail)
