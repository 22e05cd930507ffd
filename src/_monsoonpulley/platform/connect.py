"""Connections to the platform by settings."""

from __future__ import annotations

import aiohttp
import msgspec

# Importing the adapters registers them.
from . import etcd_table, http_cloud, http_livelist, http_objects  # noqa: F401
from .adapters import clouds, livelists, object_stores, tables
from .bundle import Platform
from .httpapi import DEFAULT_TIMEOUT_MS, HttpApi


class Service(msgspec.Struct, frozen=True):
    """One service of the platform: where it is and which API it speaks."""

    url: str
    adapter: str


class PlatformSettings(msgspec.Struct, frozen=True):
    """The four services, and the time limit of one exchange."""

    table: Service
    objects: Service
    livelist: Service
    cloud: Service
    timeout_ms: int = DEFAULT_TIMEOUT_MS

    @classmethod
    def from_urls(
        cls,
        table_url: str,
        objects_url: str,
        livelist_url: str,
        cloud_url: str,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> PlatformSettings:
        """Return settings with the adapters that come with the package."""
        return cls(
            Service(table_url, "etcd-v3-json"),
            Service(objects_url, "http"),
            Service(livelist_url, "prometheus-http-sd"),
            Service(cloud_url, "http"),
            timeout_ms,
        )


def connect_platform(
    settings: PlatformSettings, session: aiohttp.ClientSession
) -> Platform:
    """Return handles on the platform; nothing is sent yet.

    Raises
    ------
    LookupError
        If there is no adapter of a name.
    ValueError
        If a URL is no HTTP URL.
    """

    def api(service: Service) -> HttpApi:
        return HttpApi(session, service.url, settings.timeout_ms)

    return Platform(
        tables.get(settings.table.adapter)(api(settings.table)),
        object_stores.get(settings.objects.adapter)(api(settings.objects)),
        livelists.get(settings.livelist.adapter)(api(settings.livelist)),
        clouds.get(settings.cloud.adapter)(api(settings.cloud)),
    )
