"""Creation of the platform's clients from settings."""

from __future__ import annotations

from typing import Any

import aiohttp

from ..errors import SettingsError
from ..httpconnector import CheckedConnector
from ..registry import Registry
from ..settings.inivalues import AdapterAddress
from ..settings.process import PlatformSettings

# Importing the adapters registers them.
from . import etcd_table, http_cloud, http_livelist, http_objects  # noqa: F401
from .adapters import (
    cloud_adapters,
    livelist_adapters,
    object_store_adapters,
    table_adapters,
)
from .bundle import Platform
from .httpapi import HttpApi


def open_platform_session() -> aiohttp.ClientSession:
    """Return a session for all calls to the platform."""
    return aiohttp.ClientSession(connector=CheckedConnector(limit=0))


def connect_platform(
    settings: PlatformSettings, session: aiohttp.ClientSession
) -> Platform:
    """Return clients for the platform's services, without connecting yet.

    Parameters
    ----------
    settings : PlatformSettings
        Adapter and URL of each service, and the timeout of one request.
    session : aiohttp.ClientSession
        Session for all requests.

    Raises
    ------
    SettingsError
        If an adapter name is unknown, or a URL is not an HTTP URL.
    """

    def make_client(field: str, registry: Registry, service: AdapterAddress) -> Any:
        try:
            adapter = registry.get(service.adapter)
            return adapter(HttpApi(session, service.url, settings.timeout_ms))
        except (LookupError, ValueError) as error:
            raise SettingsError(f"[platform] {field}: {error}") from None

    return Platform(
        table=make_client("table", table_adapters, settings.table),
        objects=make_client("objects", object_store_adapters, settings.objects),
        livelist=make_client("livelist", livelist_adapters, settings.livelist),
        cloud=make_client("cloud", cloud_adapters, settings.cloud),
    )
