"""Object store adapter for plain HTTP: PUT, GET and DELETE of a path."""

from __future__ import annotations

from urllib.parse import quote

from ..errors import Failure, Reason
from .adapters import object_store_adapters
from .httpapi import HttpApi

BINARY_TYPE = "application/octet-stream"


@object_store_adapters.register("http")
class HttpObjectStore:
    """An `external.objects.ObjectStore` at one base URL."""

    def __init__(self, api: HttpApi):
        self._api = api

    async def put(self, name: str, data: bytes) -> Failure | None:
        """Store ``data``; after ``Reason.IN_DOUBT`` the call may be retried."""
        return await self._change("objects.put", "PUT", name, data, (200, 201, 204))

    async def get(self, name: str) -> bytes | Failure | None:
        """Return the bytes, or ``None`` if there are none."""
        answer = await self._api.send_read("objects.get", "GET", _path(name))
        if isinstance(answer, Failure):
            return answer
        if answer.status == 404:
            return None
        if answer.status != 200:
            return self._api.failure_from_status(
                "objects.get", answer, Reason.UNAVAILABLE
            )
        return answer.body

    async def delete(self, name: str) -> Failure | None:
        """Remove an object; removing a missing one succeeds."""
        statuses = (200, 202, 204, 404)
        return await self._change("objects.delete", "DELETE", name, None, statuses)

    async def _change(
        self,
        step: str,
        method: str,
        name: str,
        data: bytes | None,
        statuses: tuple[int, ...],
    ) -> Failure | None:
        answer = await self._api.send_change(
            step, method, _path(name), data, BINARY_TYPE
        )
        if isinstance(answer, Failure):
            return answer
        if answer.status in statuses:
            return None
        return self._api.failure_from_status(step, answer, Reason.IN_DOUBT)


def _path(name: str) -> str:
    return "/" + quote(name, safe="")
