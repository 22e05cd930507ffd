"""Versions that get traffic where no rollout says otherwise."""

from __future__ import annotations

from collections.abc import Callable

from ..config.document import Document
from ..ids import ServiceId, VersionId


class StartingVersions:
    """All traffic of a service goes to the version that it starts with.

    Parameters
    ----------
    document : callable
        Returns the configuration in force, ``None`` before there is one.
    """

    def __init__(self, document: Callable[[], Document | None]):
        self._document = document

    def shares(self, service: ServiceId) -> dict[VersionId, float]:
        """Return the share of traffic of each version that may get any."""
        document = self._document()
        if document is None:
            return {}
        return {
            version.version: 1.0
            for version in document.versions
            if version.service == service and version.deadline_wall_ms is None
        }
