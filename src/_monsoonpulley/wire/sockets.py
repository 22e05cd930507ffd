"""Socket options that make silent connections fail."""

from __future__ import annotations

import socket
import struct
from asyncio import Transport

UNACKNOWLEDGED_TIMEOUT_MS = 2_500
"""Time after which bytes without an acknowledgement end the connection: over a
thousand round trips between data centres, and below the shortest deadline. On Linux it
also ends a connection whose probes are unanswered, at the first one after this time."""

PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
"""A peer that is silent for 1 s is probed. Two unanswered probes end the connection,
3 s after its last sign; a sound peer may be silent for up to 2 s."""


def enable_keepalive(transport: Transport) -> None:
    """Make the kernel end the connection once its peer stops acknowledging.

    The time-out is `UNACKNOWLEDGED_TIMEOUT_MS` for sent bytes; idle connections
    are probed.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


def reset(transport: Transport) -> None:
    """Reset the connection, so that unsent bytes never arrive.

    `Transport.abort` only closes the socket, and the kernel keeps sending what
    the peer has not acknowledged; after a network partition, that may arrive
    seconds later.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
