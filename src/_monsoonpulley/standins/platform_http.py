"""HTTP interface of the platform's stand-in, for the adapters and the demo.

Each zone has its own URLs, so that partitions apply to HTTP clients too:
``/ZONE/v3/kv/...``, ``/ZONE/objects/NAME``, ``/ZONE/livelist`` and
``/ZONE/cloud/...``.
"""

from __future__ import annotations

from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..errors import Failure, Reason
from ..external.bundle import Platform
from ..external.http_cloud import ErrorBody, StartRequest, StartResponse
from ..external.http_livelist import target_group
from ..ids import ZoneId
from ..settings.inivalues import AdapterAddress
from ..settings.process import PlatformSettings
from .calls import DEFAULT_TIMEOUT_MS
from .etcd_http import EtcdHttp
from .platform import PlatformStandin

STATUS_BY_REASON = {
    Reason.UNAVAILABLE: 503,
    Reason.IN_DOUBT: 504,
    Reason.NOT_FOUND: 404,
    Reason.INVALID: 400,
    Reason.CONFLICT: 409,
    Reason.KEY_REUSED: 409,
    Reason.OVERLOADED: 409,
}


class PlatformHttp:
    """HTTP handlers for one stand-in of the platform.

    Parameters
    ----------
    standin : PlatformStandin
        The platform to serve.
    timeout_ms : int
        Time after which a call without an answer gets an error status: 504 if it
        may have taken effect, else 503. On etcd's paths it is always 503.
    """

    def __init__(self, standin: PlatformStandin, timeout_ms: int = DEFAULT_TIMEOUT_MS):
        self._standin = standin
        self._timeout_ms = timeout_ms

    def app(self) -> Starlette:
        """Return the ASGI application."""
        etcd = EtcdHttp(self._connect_platform)
        return Starlette(
            routes=[
                Route("/{zone}/v3/kv/range", etcd.range, methods=["POST"]),
                Route("/{zone}/v3/kv/txn", etcd.txn, methods=["POST"]),
                Route("/{zone}/objects/{name:path}", self._put, methods=["PUT"]),
                Route("/{zone}/objects/{name:path}", self._get, methods=["GET"]),
                Route("/{zone}/objects/{name:path}", self._delete, methods=["DELETE"]),
                Route("/{zone}/livelist", self._members),
                Route("/{zone}/cloud/notices", self._notices),
                Route("/{zone}/cloud/prices", self._prices),
                Route("/{zone}/cloud/instances", self._start, methods=["POST"]),
                Route("/{zone}/cloud/instances/{name}", self._stop, methods=["DELETE"]),
            ]
        )

    def _connect_platform(self, request: Request) -> Platform:
        zone = ZoneId(request.path_params["zone"])
        return self._standin.connect("http", zone, self._timeout_ms)

    async def _put(self, request: Request) -> Response:
        data = await request.body()
        name = request.path_params["name"]
        return _empty_response(
            await self._connect_platform(request).objects.put(name, data)
        )

    async def _get(self, request: Request) -> Response:
        name = request.path_params["name"]
        data = await self._connect_platform(request).objects.get(name)
        if isinstance(data, Failure):
            return _error_response(data)
        if data is None:
            return Response(status_code=404)
        return Response(data, media_type="application/octet-stream")

    async def _delete(self, request: Request) -> Response:
        name = request.path_params["name"]
        return _empty_response(
            await self._connect_platform(request).objects.delete(name)
        )

    async def _members(self, request: Request) -> Response:
        members = await self._connect_platform(request).livelist.members()
        if isinstance(members, Failure):
            return _error_response(members)
        return _json_response([target_group(member) for member in members])

    async def _notices(self, request: Request) -> Response:
        return _json_response(await self._connect_platform(request).cloud.notices())

    async def _prices(self, request: Request) -> Response:
        return _json_response(await self._connect_platform(request).cloud.prices())

    async def _start(self, request: Request) -> Response:
        try:
            start_request = msgspec.json.decode(await request.body(), type=StartRequest)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _error_response(
                Failure(Reason.INVALID, "cloud.start", detail=str(error))
            )
        name = await self._connect_platform(request).cloud.start(
            start_request.token, start_request.spec
        )
        if isinstance(name, Failure):
            return _error_response(name)
        return _json_response(StartResponse(name))

    async def _stop(self, request: Request) -> Response:
        name = request.path_params["name"]
        return _empty_response(await self._connect_platform(request).cloud.stop(name))


def settings_for(base_url: str, zone: str, timeout_ms: int) -> PlatformSettings:
    """Return the platform settings of an instance in ``zone`` for the server."""
    zone_url = f"{base_url}/{zone}"
    return PlatformSettings(
        table=AdapterAddress("etcd-v3-json", zone_url),
        objects=AdapterAddress("http", f"{zone_url}/objects"),
        livelist=AdapterAddress("prometheus-http-sd", f"{zone_url}/livelist"),
        cloud=AdapterAddress("http", f"{zone_url}/cloud"),
        timeout_ms=timeout_ms,
    )


def _json_response(value: Any) -> Response:
    if isinstance(value, Failure):
        return _error_response(value)
    return Response(msgspec.json.encode(value), media_type="application/json")


def _empty_response(failure: Failure | None) -> Response:
    return Response(status_code=204) if failure is None else _error_response(failure)


def _error_response(failure: Failure) -> Response:
    body = msgspec.json.encode(ErrorBody(failure.reason, failure.detail))
    status = STATUS_BY_REASON.get(failure.reason, 500)
    return Response(body, status, media_type="application/json")
