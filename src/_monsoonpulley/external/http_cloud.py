"""Cloud adapter for the JSON API of the stand-in.

``GET /notices`` and ``GET /prices`` return arrays, ``POST /instances`` takes a
`StartRequest` and returns a `StartResponse`, ``DELETE /instances/NAME`` stops
an instance. Errors have an `ErrorBody`.
"""

from __future__ import annotations

from typing import TypeVar
from urllib.parse import quote

import msgspec

from ..errors import Failure, Reason
from .adapters import cloud_adapters
from .cloud import InstanceSpec, Price, ReclaimNotice
from .httpapi import HttpAnswer, HttpApi

T = TypeVar("T")


class StartRequest(msgspec.Struct, frozen=True):
    """Order to start an instance, idempotent by its token."""

    token: str
    spec: InstanceSpec


class StartResponse(msgspec.Struct, frozen=True):
    """Name of the started instance."""

    instance: str


class ErrorBody(msgspec.Struct, frozen=True):
    """Reason and detail of a failed request."""

    reason: Reason
    detail: str = ""


@cloud_adapters.register("http")
class HttpCloud:
    """An `external.cloud.Cloud` at one base URL."""

    def __init__(self, api: HttpApi):
        self._api = api

    async def notices(self) -> tuple[ReclaimNotice, ...] | Failure:
        """Return the reclaim notices in force."""
        return await self._get("cloud.notices", "/notices", tuple[ReclaimNotice, ...])

    async def start(self, token: str, spec: InstanceSpec) -> str | Failure:
        """Start an instance and return its name; idempotent by ``token``."""
        step = "cloud.start"
        body = msgspec.json.encode(StartRequest(token, spec))
        answer = await self._api.send_change(step, "POST", "/instances", body)
        if isinstance(answer, Failure):
            return answer
        if answer.status not in (200, 201):
            return self._refusal(step, answer, Reason.IN_DOUBT)
        started = self._api.decode(step, answer.body, StartResponse, Reason.IN_DOUBT)
        return started if isinstance(started, Failure) else started.instance

    async def stop(self, instance: str) -> Failure | None:
        """Stop an instance; stopping a stopped one succeeds."""
        step = "cloud.stop"
        path = "/instances/" + quote(instance, safe="")
        answer = await self._api.send_change(step, "DELETE", path)
        if isinstance(answer, Failure):
            return answer
        if answer.status in (200, 202, 204):
            return None
        return self._refusal(step, answer, Reason.IN_DOUBT)

    async def prices(self) -> tuple[Price, ...] | Failure:
        """Return the current prices."""
        return await self._get("cloud.prices", "/prices", tuple[Price, ...])

    async def _get(self, step: str, path: str, type_: type[T]) -> T | Failure:
        answer = await self._api.send_read(step, "GET", path)
        if isinstance(answer, Failure):
            return answer
        if answer.status != 200:
            return self._refusal(step, answer, Reason.UNAVAILABLE)
        return self._api.decode(step, answer.body, type_, Reason.PROTOCOL)

    def _refusal(
        self, step: str, answer: HttpAnswer, fallback_reason: Reason
    ) -> Failure:
        """Return the failure that an error answer describes.

        The reason in the body counts for 4xx statuses only: others don't prove
        that nothing took effect.
        """
        failure = self._api.failure_from_status(step, answer, fallback_reason)
        if not 400 <= answer.status < 500:
            return failure
        error = self._api.decode(step, answer.body, ErrorBody, fallback_reason)
        if isinstance(error, Failure):
            return failure
        return self._api.failure(error.reason, step, error.detail)
