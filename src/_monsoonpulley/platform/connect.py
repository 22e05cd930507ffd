"""Connections to the platform by settings."""

from __future__ import annotations

import aiohttp

from ..inivalues import AdapterAddress
from ..settings import PlatformSettings

# Importing the adapters registers them.
from . import etcd_table, http_cloud, http_livelist, http_objects  # noqa: F401
from .adapters import clouds, livelists, object_stores, tables
from .bundle import Platform
from .httpapi import HttpApi


def connect_platform(
    settings: PlatformSettings, session: aiohttp.ClientSession
) -> Platform:
    """Return handles on the platform; nothing is sent yet.

    Parameters
    ----------
    settings : PlatformSettings
        Adapter and URL of each service, and the time limit of one exchange.
    session : aiohttp.ClientSession
        Carries the exchanges.

    Raises
    ------
    LookupError
        If there is no adapter of a name.
    ValueError
        If a URL is no HTTP URL.
    """

    def api(service: AdapterAddress) -> HttpApi:
        return HttpApi(session, service.url, settings.timeout_ms)

    return Platform(
        tables.get(settings.table.adapter)(api(settings.table)),
        object_stores.get(settings.objects.adapter)(api(settings.objects)),
        livelists.get(settings.livelist.adapter)(api(settings.livelist)),
        clouds.get(settings.cloud.adapter)(api(settings.cloud)),
    )
