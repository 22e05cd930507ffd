"""Which endpoints and instances a request may reach, by its allowed regions.

Overflow to other data centres, help between instances, retries and resumed streams all
choose among what this gate leaves.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..fleet.model import Configuration, Endpoint
from ..ids import RegionId, ZoneId

Regions = frozenset[RegionId]


def combine_regions(*limits: Regions | None) -> Regions | None:
    """Return the regions that all limits allow, None if there is no limit."""
    combined = None
    for limit in limits:
        if limit is not None:
            combined = limit if combined is None else combined & limit
    return combined


class RegionGate:
    """Decides by regions where requests may go.

    Parameters
    ----------
    region_by_zone : mapping
        Region of each data centre; others are in no allowed region.
    own_zone, own_region : ZoneId, RegionId
        Data centre and region of this instance, to which callers connect; the region
        is empty if it is not known.

    Attributes
    ----------
    is_in_use : bool
        Whether the configuration in force allows only some regions for some requests.
    """

    def __init__(
        self,
        region_by_zone: Mapping[ZoneId, RegionId],
        own_zone: ZoneId,
        own_region: RegionId,
    ):
        self._region_by_zone = dict(region_by_zone)
        if own_region:
            self._region_by_zone.setdefault(own_zone, own_region)
        self._own_region = own_region or self._region_by_zone.get(own_zone)
        self.is_in_use = False

    def configure(self, configuration: Configuration) -> Regions:
        """Apply a configuration; return the allowed regions without a data centre."""
        routes = [r for rs in configuration.routes_by_host.values() for r in rs]
        limited = (*routes, *configuration.customers.values())
        limits = [
            each.allowed_regions for each in limited if each.allowed_regions is not None
        ]
        self.is_in_use = bool(limits)
        named = frozenset().union(*limits)
        return named - frozenset(self._region_by_zone.values())

    def allowed_endpoints(
        self, endpoints: tuple[Endpoint, ...], allowed: Regions | None
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints in allowed regions; None allows all."""
        if allowed is None:
            return endpoints
        return tuple(e for e in endpoints if self._is_allowed(e.zone, allowed))

    def may_send_body(self, zone: ZoneId, allowed: Regions | None) -> bool:
        """Return whether an instance in a data centre may get a request's body.

        It may be in the caller's own region, which is that of this instance.
        """
        if allowed is None or self._is_allowed(zone, allowed):
            return True
        region = self._region_by_zone.get(zone)
        return region is not None and region == self._own_region

    def _is_allowed(self, zone: ZoneId, allowed: Regions) -> bool:
        return self._region_by_zone.get(zone) in allowed
