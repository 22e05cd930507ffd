"""Choice of the instance that sends on a request which this one can't."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

from ..ids import InstanceId, ServiceId
from .members import Member, Members

MIN_LINKS_RATIO = 2
"""A helper has lost at most one link for so many that this instance has lost. Links to
endpoints that have ended are lost to all, but not all notice it at once."""

SAMPLE_COUNT = 2
"""The less busy one of so many candidates helps, so that help is spread although all
instances choose by the same digests."""


def find_helpers(
    members: Members,
    service: ServiceId,
    own_lost_count: int,
    configuration_version: int,
    tried_ids: Collection[InstanceId] = (),
    may_help: Callable[[Member], bool] = lambda member: True,
) -> list[Member]:
    """Return the instances that presumably reach more endpoints of a service.

    Parameters
    ----------
    members : Members
        The other instances.
    service : ServiceId
        The service.
    own_lost_count : int
        Endpoints of the service that this instance can't reach.
    configuration_version : int
        Version in force here; an instance with an older one might answer by it.
    tried_ids : collection of InstanceId
        Instances to leave out.
    may_help : callable
        Returns whether an instance may get the request at all.
    """
    return [
        member
        for member in members.all()
        if member.instance not in tried_ids
        and members.is_reachable(member)
        and not member.is_leaving
        and member.lost_links.get(service, 0) * MIN_LINKS_RATIO <= own_lost_count
        and member.configuration >= configuration_version
        and may_help(member)
    ]


def choose_helper(helpers: list[Member], rng: random.Random) -> Member:
    """Return one of the helpers, of which there is at least one."""
    sample = rng.sample(helpers, min(SAMPLE_COUNT, len(helpers)))
    return min(sample, key=lambda member: member.in_progress)
