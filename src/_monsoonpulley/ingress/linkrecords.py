"""Records of this instance's links to endpoints, with their log lines."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..errors import Failure
from ..fleet.model import Endpoint
from ..observability.log import Log
from ..placing.endpointlinks import EndpointLinks


def connection_recorder(
    links: EndpointLinks, clock: Clock, log: Log
) -> Callable[[Endpoint, Failure | None], None]:
    """Return a function that records how a try to connect to an endpoint ended."""

    def record(endpoint: Endpoint, failure: Failure | None) -> None:
        now_ms = clock.now_ms()
        if failure is not None:
            record_lost_link(links, endpoint, str(failure), now_ms, log)
            return
        lost_for_ms = links.record_connected(endpoint.id, now_ms)
        if lost_for_ms is not None:
            log.event(
                "endpoint_link_regained",
                endpoint=endpoint.id,
                lost_for_ms=lost_for_ms,
                still_lost=links.lost_count,
            )

    return record


def record_lost_link(
    links: EndpointLinks, endpoint: Endpoint, error: str, now_ms: int, log: Log
) -> None:
    """Record that an endpoint can't be reached; log it once."""
    if links.record_lost(endpoint, now_ms):
        log.event(
            "endpoint_link_lost",
            endpoint=endpoint.id,
            zone=endpoint.zone,
            error=error,
            lost=links.lost_count,
            is_cut_off=links.is_cut_off(),
        )
