"""Addresses of other processes and limits of names, as in rows, lists and messages."""

from __future__ import annotations

import socket

MAX_TEXT_CHARS = 200
"""Limit of names in rows and lists: that of the platform's keys, which they become."""

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def parse_address(text: str) -> tuple[str, int] | None:
    """Return IP and port of ``IP:PORT``, None if no connection can be made to it.

    An IPv6 address may stand in brackets. Names are refused: to resolve them takes time
    and a service that may fail.
    """
    ip, _, port = text.rpartition(":")
    if ip.startswith("[") and ip.endswith("]"):
        ip = ip[1:-1]
    if len(port) > MAX_PORT_DIGITS or not (port.isascii() and port.isdigit()):
        return None
    return (ip, int(port)) if is_address(ip, int(port)) else None


def is_address(ip: str, port: int) -> bool:
    """Return whether connections and datagrams can be sent to an IP and port."""
    return is_sendable(ip, port) and is_ip(ip)


def is_sendable(ip: str, port: int) -> bool:
    """Return whether the socket library takes an address: others close a transport."""
    return 1 <= port <= MAX_PORT and ip.isascii() and "\0" not in ip


def is_ip(text: str) -> bool:
    """Return whether a text is an IPv4 or IPv6 address."""
    family = socket.AF_INET6 if ":" in text else socket.AF_INET
    try:
        socket.inet_pton(family, text)
    except (OSError, ValueError):
        return False
    return True
