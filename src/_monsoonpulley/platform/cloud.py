"""Calls to the platform that are one holder's duty."""

from __future__ import annotations

import msgspec

from ..errors import Delivery, Failure, Reason
from ..ids import InstanceId, ServiceId, ZoneId
from ..wire.httpclient import HttpClient
from . import names

CALL_TIMEOUT_MS = 1_000
"""A third of the shortest lease: a call starts only if the lease outlasts it, so
that no call arrives once another instance may hold the duty."""


class CloudClient:
    """The platform's API for usage reports and orders of endpoints.

    Parameters
    ----------
    caller : HttpClient
        Carries the calls.
    holder : InstanceId
        This instance, named with every call.
    """

    def __init__(self, caller: HttpClient, holder: InstanceId):
        self._caller = caller
        self._holder = holder

    async def report_usage(
        self, fencing_number: int, window: int, counts: dict[str, int]
    ) -> Failure | None:
        """Report the requests that began in a window, by customer.

        Repeating a report unchanged has no effect.
        """
        return await self._call(
            "/usage", fencing_number, {"window_index": window, "counts": counts}
        )

    async def order(
        self,
        fencing_number: int,
        service: ServiceId,
        zone: ZoneId,
        count: int,
        *,
        is_reclaimable: bool,
    ) -> Failure | None:
        """Order how many endpoints of a kind a service has in a data centre.

        Returns
        -------
        Failure or None
            `Reason.CONFLICT` where none are to be had at the moment.
        """
        order = {"service": service, "zone": zone, "desired_count": count}
        if is_reclaimable:
            order["use_spot"] = True
        return await self._call("/scaling", fencing_number, order)

    async def _call(
        self, path: str, fencing_number: int, body: object
    ) -> Failure | None:
        reply = await self._caller.call(
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
            self._caller.peer,
            f"status {reply.status}: {reply.body[:200].decode('latin-1')}",
            Delivery.REFUSED,
        )

    def close(self) -> None:
        """End all connections."""
        self._caller.close()
