"""The endpoints that have a row in the store."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..errors import Failure, describe_error
from ..ids import EndpointId, ServiceId
from ..observability.log import Log
from ..platform.endpoints import decode_endpoint
from ..platform.store import Row, Rows
from ..platform.storeversion import era_of
from .model import Endpoint

RECOVERY_GRACE_MS = 2_500
"""Rows that expired during an outage of the store are written again within about
2 s of its recovery; until then a missing row does not mean that the endpoint is
gone."""


LEAVING_MEMORY_MS = 60_000
"""An endpoint that said that it leaves is remembered for this long after its row is
gone, and one that is gone for as long. Its row may return after an outage of the store
or with an older copy of it; its process ends sooner."""

LEAVING_NOTICE_MS = 10_000
"""Other instances are told for this long of an endpoint that leaves. By then its row
says so or is gone."""


class _Leaving(msgspec.Struct):
    """An incarnation of an endpoint that said that it leaves."""

    endpoint: Endpoint
    heard_here_ms: int | None
    listed_ms: int


class EndpointDirectory:
    """Endpoints by id and by service; each change is logged.

    Parameters
    ----------
    clock, log : Clock, Log
        Time source, and the log of changes.
    on_removed : callable
        Called with each `Endpoint` that gets no further requests: its row is gone, or
        another incarnation has taken its id.
    on_ended : callable or None
        Called with the id of each endpoint whose process has ended for certain:
        another incarnation has its id, or it had no row for `LEAVING_MEMORY_MS`.
    on_row : callable or None
        Called with the endpoint of each row that is used, the row's version, and
        whether the endpoint has started since the table was first read.

    Attributes
    ----------
    loaded_ms : int or None
        Time at which the table was first read; None before.
    failed_row_count : int
        Rows given up because of an error that was not foreseen.
    """

    def __init__(
        self,
        clock: Clock,
        log: Log,
        on_removed: Callable[[Endpoint], None],
        on_ended: Callable[[EndpointId], None] | None = None,
        on_row: Callable[[Endpoint, int, bool], None] | None = None,
    ):
        self._clock = clock
        self._log = log
        self._on_removed = on_removed
        self._on_ended = on_ended
        self._on_row = on_row
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._row_versions: dict[EndpointId, int] = {}
        self._missing_since_ms: dict[EndpointId, int] = {}
        self._ready_by_service: dict[ServiceId, tuple[Endpoint, ...]] = {}
        self._leaving: dict[EndpointId, _Leaving] = {}
        self._gone: dict[EndpointId, tuple[Endpoint, int]] = {}
        self._unconfirmed: dict[EndpointId, int] = {}
        self._era: int | None = None
        self._rejected_ids: set[EndpointId] = set()
        self._recovered_ms = -RECOVERY_GRACE_MS
        self.loaded_ms: int | None = None
        self.failed_row_count = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read."""
        return self.loaded_ms is not None

    @property
    def refused_count(self) -> int:
        """Number of rows that name no endpoint that can be used."""
        return len(self._rejected_ids)

    def get(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Return the endpoint of the newest row, None if there is none."""
        return self._endpoints.get(endpoint_id)

    def all(self) -> list[Endpoint]:
        """Return all endpoints, including draining ones."""
        return list(self._endpoints.values())

    def ready_endpoints(self, service: ServiceId) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that are not draining."""
        found = self._ready_by_service.get(service)
        if found is None:
            found = tuple(
                endpoint
                for endpoint in self._endpoints.values()
                if endpoint.service == service and not endpoint.is_draining
            )
            self._ready_by_service[service] = found
        return found

    def is_current(self, endpoint: Endpoint) -> bool:
        """Return whether this incarnation is listed and not draining."""
        current = self._endpoints.get(endpoint.id)
        return (
            current is not None
            and not current.is_draining
            and current.is_same_incarnation(endpoint)
        )

    def record_leaving(self, endpoint: Endpoint) -> None:
        """Record that an endpoint said in an answer to this instance that it leaves."""
        now_ms = self._clock.now_ms()
        self._mark_leaving(endpoint, now_ms, "its answer says so")

    def record_peer_leaving(self, notices: dict[str, int | None], peer: str) -> None:
        """Record endpoints that leave as a peer's digest tells.

        Parameters
        ----------
        notices : dict
            Wall time of the endpoint's start, or None, by its id.
        peer : str
            The instance that sent the digest.
        """
        for name, started_wall_ms in notices.items():
            endpoint = self._endpoints.get(EndpointId(name))
            if endpoint is not None and endpoint.started_wall_ms == started_wall_ms:
                self._mark_leaving(endpoint, None, f"{peer} says so")

    def leaving_notices(self) -> dict[str, int | None]:
        """Return the endpoints that lately said that they leave, for the digest."""
        earliest_ms = self._clock.now_ms() - LEAVING_NOTICE_MS
        return {
            endpoint_id: leaving.endpoint.started_wall_ms
            for endpoint_id, leaving in self._leaving.items()
            if leaving.heard_here_ms is not None
            and leaving.heard_here_ms >= earliest_ms
        }

    def on_store_recovered(self) -> None:
        """Keep endpoints without rows for `RECOVERY_GRACE_MS` from now on."""
        self._recovered_ms = self._clock.now_ms()

    def apply(self, rows: Rows, is_snapshot: bool) -> None:
        """Apply changed rows, or a snapshot of the table."""
        if is_snapshot and self._record_era(era_of(rows.store_version)):
            self._hold_back_gone(rows.rows)
        if is_snapshot:
            self._handle_missing_rows(
                {row.key for row in rows.rows}, rows.store_version
            )
        for row in rows.rows:
            self._try_apply_row(row)
        if self.loaded_ms is None:
            self.loaded_ms = self._clock.now_ms()
        self.expire()

    def _record_era(self, era: int) -> bool:
        """Return whether the store has lost writes since the last snapshot."""
        previous, self._era = self._era, era
        return previous is not None and era > previous

    def _hold_back_gone(self, rows: tuple[Row, ...]) -> None:
        """Use endpoints that were gone only after they have written their rows again.

        Until then these rows may only be in the store because its copy is older.
        """
        for row in rows:
            endpoint_id = EndpointId(row.key)
            if endpoint_id in self._gone and endpoint_id not in self._endpoints:
                self._unconfirmed[endpoint_id] = row.row_version

    def expire(self) -> None:
        """Remove endpoints without rows once the grace period is over."""
        now_ms = self._clock.now_ms()
        self._expire_leaving(now_ms)
        if now_ms < self._recovered_ms + RECOVERY_GRACE_MS:
            return
        for endpoint_id in list(self._missing_since_ms):
            self._remove(endpoint_id, "its row did not return after the store's outage")

    def _handle_missing_rows(self, present_keys: set[str], store_version: int) -> None:
        self._rejected_ids &= present_keys
        for endpoint_id in list(self._endpoints):
            is_newer = self._row_versions.get(endpoint_id, 0) > store_version
            if endpoint_id not in present_keys and not is_newer:
                self._handle_missing_row(endpoint_id)

    def _try_apply_row(self, row: Row) -> None:
        """Apply a row; after an error its endpoint isn't used, and the others hold."""
        try:
            self._apply_row(row)
        except Exception as error:
            self.failed_row_count += 1
            self._log.event(
                "endpoint_row_failed", endpoint=row.key, error=describe_error(error)
            )
            self._rejected_ids.add(EndpointId(row.key))
            self._remove(EndpointId(row.key), "an error over its row")

    def _apply_row(self, row: Row) -> None:
        endpoint_id = EndpointId(row.key)
        if row.row_version < self._row_versions.get(endpoint_id, 0):
            return
        self._row_versions[endpoint_id] = row.row_version
        if row.value is None:
            del self._row_versions[endpoint_id]
            self._rejected_ids.discard(endpoint_id)
            if endpoint_id in self._endpoints:
                self._handle_missing_row(endpoint_id)
            return
        endpoint = decode_endpoint(row.key, row.value)
        if isinstance(endpoint, Failure):
            self._reject_row(endpoint_id, endpoint)
            return
        self._rejected_ids.discard(endpoint_id)
        self._missing_since_ms.pop(endpoint_id, None)
        if self._is_unconfirmed(endpoint, row.row_version):
            return
        endpoint = self._with_leaving(endpoint)
        previous = self._endpoints.get(endpoint_id)
        if endpoint != previous:
            self._update_endpoint(endpoint, row.row_version)
        if self._on_row is not None:
            is_other = previous is None or not previous.is_same_incarnation(endpoint)
            has_started = self.is_loaded and is_other
            self._on_row(endpoint, row.row_version, has_started)

    def _mark_leaving(
        self, endpoint: Endpoint, heard_here_ms: int | None, reason: str
    ) -> None:
        now_ms = self._clock.now_ms()
        known = self._leaving.get(endpoint.id)
        if known is not None and known.endpoint.is_same_incarnation(endpoint):
            if heard_here_ms is not None:
                known.heard_here_ms = heard_here_ms
            return
        self._leaving[endpoint.id] = _Leaving(endpoint, heard_here_ms, now_ms)
        self._log.event(
            "endpoint_leaving",
            endpoint=endpoint.id,
            service=endpoint.service,
            why=reason,
        )
        current = self._endpoints.get(endpoint.id)
        if current is not None and current.is_same_incarnation(endpoint):
            self._update_endpoint(
                msgspec.structs.replace(current, is_draining=True),
                self._row_versions.get(endpoint.id, 0),
            )

    def _is_unconfirmed(self, endpoint: Endpoint, row_version: int) -> bool:
        """Return whether a row may only be a leftover of an older copy."""
        held_version = self._unconfirmed.get(endpoint.id)
        if held_version is None:
            return False
        gone, _ = self._gone[endpoint.id]
        if row_version == held_version and gone.is_same_incarnation(endpoint):
            return True
        del self._unconfirmed[endpoint.id]
        return False

    def _with_leaving(self, endpoint: Endpoint) -> Endpoint:
        """Return the endpoint, draining if this incarnation said that it leaves.

        Its row may have been written before, or by a process that hangs.
        """
        known = self._leaving.get(endpoint.id)
        if known is None:
            return endpoint
        if not known.endpoint.is_same_incarnation(endpoint):
            del self._leaving[endpoint.id]
            return endpoint
        return msgspec.structs.replace(endpoint, is_draining=True)

    def _expire_leaving(self, now_ms: int) -> None:
        for endpoint_id, (_, gone_ms) in list(self._gone.items()):
            if now_ms - gone_ms > LEAVING_MEMORY_MS:
                del self._gone[endpoint_id]
                self._unconfirmed.pop(endpoint_id, None)
                if endpoint_id not in self._endpoints:
                    self._end(endpoint_id)
        for endpoint_id, leaving in list(self._leaving.items()):
            if endpoint_id in self._endpoints:
                leaving.listed_ms = now_ms
            elif now_ms - leaving.listed_ms > LEAVING_MEMORY_MS:
                del self._leaving[endpoint_id]

    def _update_endpoint(self, endpoint: Endpoint, row_version: int) -> None:
        previous = self._endpoints.get(endpoint.id)
        if previous is not None and not previous.is_same_incarnation(endpoint):
            self._remove(endpoint.id, "another incarnation has the same id")
            previous = None
        if previous is None:
            self._end_other_incarnation(endpoint)
        self._endpoints[endpoint.id] = endpoint
        if endpoint.is_draining and endpoint.id not in self._leaving:
            # An older copy of the store may have a row from before.
            now_ms = self._clock.now_ms()
            self._leaving[endpoint.id] = _Leaving(endpoint, None, now_ms)
        if previous is not None and previous.is_draining == endpoint.is_draining:
            if previous.version != endpoint.version:
                self._ready_by_service.pop(endpoint.service, None)
            return
        self._ready_by_service.pop(endpoint.service, None)
        self._log.event(
            "endpoint_seen",
            endpoint=endpoint.id,
            service=endpoint.service,
            address=endpoint.address,
            zone=endpoint.zone,
            version=endpoint.version,
            is_draining=endpoint.is_draining,
            is_reclaimable=endpoint.is_reclaimable,
            leaves_in_ms=endpoint.leaves_in_ms,
            row_version=row_version,
        )

    def _end_other_incarnation(self, endpoint: Endpoint) -> None:
        gone = self._gone.get(endpoint.id)
        if gone is not None and not gone[0].is_same_incarnation(endpoint):
            self._end(endpoint.id)

    def _end(self, endpoint_id: EndpointId) -> None:
        if self._on_ended is not None:
            self._on_ended(endpoint_id)

    def _reject_row(self, endpoint_id: EndpointId, failure: Failure) -> None:
        if endpoint_id not in self._rejected_ids:
            self._log.event(
                "endpoint_row_refused", endpoint=endpoint_id, error=str(failure)
            )
        self._rejected_ids.add(endpoint_id)
        if endpoint_id in self._endpoints:
            self._remove(endpoint_id, "its row is malformed")

    def _handle_missing_row(self, endpoint_id: EndpointId) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._recovered_ms + RECOVERY_GRACE_MS:
            self._missing_since_ms.setdefault(endpoint_id, now_ms)
        else:
            self._remove(endpoint_id, "its row was removed or expired")

    def _remove(self, endpoint_id: EndpointId, reason: str) -> None:
        endpoint = self._endpoints.pop(endpoint_id, None)
        self._missing_since_ms.pop(endpoint_id, None)
        if endpoint is None:
            return
        self._gone[endpoint_id] = (endpoint, self._clock.now_ms())
        self._ready_by_service.pop(endpoint.service, None)
        self._log.event(
            "endpoint_gone", endpoint=endpoint_id, service=endpoint.service, why=reason
        )
        self._on_removed(endpoint)
