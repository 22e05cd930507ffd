"""Registries of adapters by the name of the API that each uses.

Each entry makes an adapter from an `HttpApi`.
"""

from __future__ import annotations

from collections.abc import Callable

from ..registry import Registry
from .cloud import Cloud
from .httpapi import HttpApi
from .livelist import LiveList
from .objects import ObjectStore
from .table import Table

table_adapters: Registry[Callable[[HttpApi], Table]] = Registry("table adapter")
object_store_adapters: Registry[Callable[[HttpApi], ObjectStore]] = Registry(
    "object store adapter"
)
livelist_adapters: Registry[Callable[[HttpApi], LiveList]] = Registry(
    "live list adapter"
)
cloud_adapters: Registry[Callable[[HttpApi], Cloud]] = Registry("cloud adapter")
