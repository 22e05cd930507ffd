"""Live list adapter for the format of Prometheus HTTP service discovery.

The list is a JSON array of ``{"targets": [...], "labels": {...}}``. The
properties of an instance are in labels that begin with `LABEL_PREFIX`.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from ..addresses import MAX_TEXT_CHARS, parse_address
from ..errors import MALFORMED_ERRORS, Failure, Reason
from ..ids import ServiceId, VersionId, ZoneId
from .adapters import livelist_adapters
from .httpapi import HttpApi
from .jsonlist import split_list
from .livelist import Member, MemberState, Role

LABEL_PREFIX = "__meta_platform_"
PEER_SCHEME = "tcp"
ROLES = {role.value: role for role in Role}


class TargetGroup(msgspec.Struct, frozen=True):
    """Targets with the same labels."""

    targets: tuple[str, ...]
    labels: dict[str, str] = {}


_decoder = msgspec.json.Decoder(TargetGroup)


@livelist_adapters.register("prometheus-http-sd")
class HttpLiveList:
    """An `external.livelist.LiveList` at one URL."""

    def __init__(self, api: HttpApi):
        self._api = api
        self.refused_count = 0

    async def members(self) -> tuple[Member, ...] | Failure:
        """Return the list without targets that are not instances of this system.

        Entries that can't be read, or name nothing that can be connected to, are left
        out and counted.
        """
        step = "livelist.members"
        answer = await self._api.send_read(step, "GET", "")
        if isinstance(answer, Failure):
            return answer
        if answer.status != 200:
            return self._api.failure_from_status(step, answer, Reason.UNAVAILABLE)
        entries = split_list(answer.body)
        if entries is None:
            return self._api.failure(Reason.PROTOCOL, step, "the answer is no list")
        decoded = [_decode_members(entry) for entry in entries]
        self.refused_count = sum(members is None for members in decoded)
        return tuple(member for members in decoded for member in members or ())


def target_group(member: Member) -> TargetGroup:
    """Return the entry of a member in the list."""
    values = {
        "instance": member.instance,
        "role": member.role.value,
        "zone": member.zone,
        "peer_address": member.peer_address,
        "service": member.service,
        "version": member.version,
        "machine_class": member.machine_class,
        "reclaimable": str(member.reclaimable).lower(),
        "state": member.state.value,
    }
    labels = {LABEL_PREFIX + name: value for name, value in values.items() if value}
    return TargetGroup((member.address,), labels)


def _decode_members(entry: bytes) -> list[Member] | None:
    """Return the members in an entry, None if it can't be used."""
    try:
        members = _members(_decoder.decode(entry.decode()))
    except MALFORMED_ERRORS:
        return None
    return members if all(map(_is_usable, members)) else None


def _is_usable(member: Member) -> bool:
    """Return whether connections can be made to the addresses of a member."""
    texts = (member.instance, member.zone, member.service, member.version)
    if max(map(len, texts)) > MAX_TEXT_CHARS or parse_address(member.address) is None:
        return False
    scheme, _, peer = member.peer_address.partition("://")
    return not member.peer_address or (
        scheme == PEER_SCHEME and parse_address(peer) is not None
    )


def _members(group: TargetGroup) -> list[Member]:
    def label(name: str) -> str:
        return group.labels.get(LABEL_PREFIX + name, "")

    role = ROLES.get(label("role"))
    instance, zone = label("instance"), label("zone")
    if role is None or not instance or not zone or len(group.targets) != 1:
        return []
    return [
        Member(
            instance,
            role,
            ZoneId(zone),
            group.targets[0],
            label("peer_address"),
            ServiceId(label("service")),
            VersionId(label("version")),
            label("machine_class"),
            label("reclaimable") != "false",
            _state(group.labels),
        )
    ]


def _state(labels: Mapping[str, str]) -> MemberState:
    """Return the state; an unknown one is ``LEAVING``, so it gets no new work."""
    value = labels.get(LABEL_PREFIX + "state", MemberState.LIVE.value)
    is_live = value == MemberState.LIVE.value
    return MemberState.LIVE if is_live else MemberState.LEAVING
