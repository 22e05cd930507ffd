"""Detection of weights and addresses, which operators may not set."""

from __future__ import annotations

import ipaddress
import re

STEERING_MESSAGE = (
    "weights and addresses aren't accepted: per-class targets and version "
    "deadlines are the only controls"
)

STEERING_WORDS = frozenset(
    "weight weights share shares percent percentage ratio fraction traffic split "
    "canary priority address addresses addr host hosts hostname ip ips port ports "
    "url urls endpoint endpoints upstream upstreams backend backends server servers "
    "worker workers replica replicas route routes".split()
)
HOST_AND_PORT = re.compile(r"(\[[0-9a-fA-F:]+\]|[A-Za-z0-9.-]+):\d{1,5}")


def has_steering_word(name: str) -> bool:
    """Return whether a field or section name has a word for a weight or address."""
    words = re.split(r"[_\-.\s]+", name.lower())
    return not STEERING_WORDS.isdisjoint(words)


def looks_like_address(text: str) -> bool:
    """Return whether any part of a value is an IP address, ``host:port`` or URL."""
    return any(_is_address(part) for part in re.split(r"[,\s]+", text) if part)


def _is_address(part: str) -> bool:
    if "://" in part or HOST_AND_PORT.fullmatch(part):
        return True
    # Without a dot or colon it is a name or a number, not an IP address.
    if "." not in part and ":" not in part:
        return False
    try:
        ipaddress.ip_network(part, strict=False)
    except ValueError:
        return False
    return True
