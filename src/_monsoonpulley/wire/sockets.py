"""Socket options that make silent connections fail."""

from __future__ import annotations

import asyncio
import socket
import struct
from asyncio import Transport

UNACKNOWLEDGED_TIMEOUT_MS = 2_500
"""Time after which bytes without an acknowledgement end the connection: over a
thousand round trips between data centres, and below the shortest deadline. On Linux it
also ends a connection whose probes are unanswered, at the first one after this time."""

UNREAD_TIMEOUT_MS = 15_000
"""Time for which a peer may read nothing while bytes wait for it: that of callers' idle
connections by default. For the kernel, a peer without room for more bytes is as silent
as a lost one, even if it acknowledges each probe."""

UNREAD_CHECK_INTERVAL_MS = 500
"""Interval of checking, while writing pauses, whether the peer is lost or only reads
nothing. The kernel ends the connection after `UNACKNOWLEDGED_TIMEOUT_MS` otherwise."""

MAX_UNSENT_BYTES = 16_384
"""Bytes that wait in the kernel, and as many in the transport, before writing pauses.
With the megabytes of the kernel's own limits, it would not be known that the peer does
not read."""

PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
"""A peer that is silent for 1 s is probed. Two unanswered probes end the connection,
3 s after its last sign; a sound peer may be silent for up to 2 s."""

UNACKNOWLEDGED_COUNT_OFFSET = 24
"""Offset in ``struct tcp_info`` of Linux of the packets that were sent and not
acknowledged, a number of 32 bits."""


def enable_keepalive(transport: Transport) -> None:
    """Make the kernel end the connection once its peer stops acknowledging.

    The time-out is `UNACKNOWLEDGED_TIMEOUT_MS` for sent bytes, unless an
    `UnreadWatch` raises it; idle connections are probed.
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
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)
    transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)


class UnreadWatch:
    """Keeps the connection to a peer that reads nothing for a while.

    A peer that has acknowledged all packets, while further bytes wait, has no room for
    them. One with packets not acknowledged may be lost.

    Parameters
    ----------
    transport : Transport
        The connection, after `enable_keepalive`.
    """

    def __init__(self, transport: Transport):
        self._socket = transport.get_extra_info("socket")
        self._timer: asyncio.TimerHandle | None = None

    def on_pause(self) -> None:
        """Begin to check, as the peer has no room for further bytes or is lost."""
        if self._socket is not None and self._timer is None:
            self._schedule()

    def on_resume(self) -> None:
        """Expect acknowledgements of sent bytes again."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._set_timeout(UNACKNOWLEDGED_TIMEOUT_MS)

    def _schedule(self) -> None:
        delay_s = UNREAD_CHECK_INTERVAL_MS / 1000
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._check)

    def _check(self) -> None:
        if self._socket.fileno() < 0:
            return
        info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 256)
        (unacknowledged_count,) = struct.unpack_from(
            "I", info, UNACKNOWLEDGED_COUNT_OFFSET
        )
        self._set_timeout(
            UNACKNOWLEDGED_TIMEOUT_MS if unacknowledged_count else UNREAD_TIMEOUT_MS
        )
        self._schedule()

    def _set_timeout(self, timeout_ms: int) -> None:
        if self._socket.fileno() >= 0:
            self._socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )


def reset(transport: Transport) -> None:
    """Reset the connection, so that unsent bytes never arrive.

    `Transport.abort` only closes the socket, and the kernel keeps sending what
    the peer has not acknowledged; after a network partition, that may arrive
    seconds later.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
