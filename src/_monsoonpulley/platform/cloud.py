"""Client for the platform's cloud API, used by the holder of a duty."""

from __future__ import annotations

import msgspec

from ..errors import Delivery, Failure, Reason
from ..ids import InstanceId, ServiceId, ZoneId
from ..wire.httpclient import HttpClient
from . import names

CALL_TIMEOUT_MS = 1_000
"""A third of the shortest lease. A call starts only if the lease outlasts it, so no
call arrives after another instance may have acquired the duty."""


class CloudClient:
    """Client for the platform's API for usage reports and endpoint orders.

    Parameters
    ----------
    client : HttpClient
        HTTP client connected to the API.
    holder : InstanceId
        Id of this instance, sent with every call.
    """

    def __init__(self, client: HttpClient, holder: InstanceId):
        self._client = client
        self._holder = holder

    async def report_usage(
        self, fencing_number: int, window_index: int, counts: dict[str, int]
    ) -> Failure | None:
        """Report how many requests of each customer started in a window.

        Sending the same report again has no effect.
        """
        return await self._post(
            "/usage", fencing_number, {"window_index": window_index, "counts": counts}
        )

    async def order_endpoints(
        self,
        fencing_number: int,
        service: ServiceId,
        zone: ZoneId,
        count: int,
        *,
        is_reclaimable: bool,
    ) -> Failure | None:
        """Set how many endpoints of a kind a service is to have in a data centre.

        Returns
        -------
        Failure or None
            `Reason.CONFLICT` if no capacity is available there at the moment.
        """
        order = {"service": service, "zone": zone, "desired_count": count}
        if is_reclaimable:
            order["use_spot"] = True
        return await self._post("/scaling", fencing_number, order)

    async def _post(
        self, path: str, fencing_number: int, body: object
    ) -> Failure | None:
        reply = await self._client.call(
            "POST",
            path,
            body=msgspec.json.encode(body),
            headers=(
                (names.DUTY_HOLDER, self._holder),
                (names.FENCING_TOKEN, str(fencing_number)),
                ("Content-Type", "application/json"),
            ),
            timeout_ms=CALL_TIMEOUT_MS,
        )
        if isinstance(reply, Failure):
            return reply
        if reply.status == 200:
            return None
        reasons = {409: Reason.CONFLICT, 429: Reason.OVERLOADED}
        return Failure(
            reasons.get(reply.status, Reason.PEER_ERROR),
            f"cloud{path}",
            self._client.peer,
            f"HTTP status {reply.status}: {reply.body[:200].decode('latin-1')}",
            Delivery.REFUSED,
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
