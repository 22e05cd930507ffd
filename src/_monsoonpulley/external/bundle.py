"""Clients for all services of the platform."""

from __future__ import annotations

import msgspec

from .cloud import Cloud
from .livelist import LiveList
from .objects import ObjectStore
from .table import Table


class Platform(msgspec.Struct, frozen=True):
    """Clients for the four services of the platform."""

    table: Table
    objects: ObjectStore
    livelist: LiveList
    cloud: Cloud
