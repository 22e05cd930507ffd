"""A client for the platform's services."""

from __future__ import annotations

import asyncio

import msgspec

from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from .events import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    AnswerIncomplete,
    Mailbox,
    TimerExpired,
)
from .pool import ConnectionPool

MAX_CONNECTIONS = 8
"""Enough for all calls that may wait at the same time, with room for retries."""


MAX_REPLY_BYTES = 16_777_216
"""Twice the largest object that the platform's store keeps."""


class Reply(msgspec.Struct):
    """A complete answer."""

    status: int
    fields: dict[bytes, bytes]
    body: bytes


class HttpClient:
    """Sends requests to one address and returns complete answers.

    Parameters
    ----------
    ip, port : str, int
        Address of the service.
    clock : Clock
        Measures time-outs and the idle time of connections.
    """

    def __init__(self, ip: str, port: int, clock: Clock):
        self._host = f"{ip}:{port}"
        self._clock = clock
        self._pool = ConnectionPool(ip, port, clock, MAX_CONNECTIONS)

    @property
    def peer(self) -> str:
        """Address of the service, as in failures."""
        return self._host

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout_ms: int,
    ) -> Reply | Failure:
        """Send one request and return its complete answer.

        Parameters
        ----------
        method, target : str
            Method and target of the request line.
        body : bytes
            Body of the request, sent with its length.
        headers : tuple of pairs
            Headers other than ``Host`` and ``Content-Length``.
        timeout_ms : int
            Time from the call to the end of the answer. Nothing is sent after it,
            even if connecting took longer or the process stood still.

        Returns
        -------
        Reply or Failure
            A failure's ``delivery`` says whether the call may have arrived.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        connection = await self._pool.acquire()
        if isinstance(connection, Failure):
            return connection
        remaining_ms = deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            self._pool.release(connection)
            return self._failure(
                Reason.TIMEOUT,
                f"connecting used up the time-out of {timeout_ms} ms",
                Delivery.NOT_SENT,
            )
        mailbox = Mailbox()
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self._host}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        connection.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body, mailbox)
        timer = asyncio.get_running_loop().call_later(
            remaining_ms / 1000, mailbox.put, None, TimerExpired("call")
        )
        try:
            result = await self._collect(mailbox)
        except BaseException:
            connection.abort()
            raise
        finally:
            timer.cancel()
            self._pool.release(connection)
        return result

    def close(self) -> None:
        """Abort all connections."""
        self._pool.abort_all()

    async def _collect(self, mailbox: Mailbox) -> Reply | Failure:
        head: AnswerHead | None = None
        body_chunks: list[bytes] = []
        body_bytes = 0
        while True:
            _, event = await mailbox.get()
            if isinstance(event, AnswerHead):
                head = event
            elif isinstance(event, AnswerData):
                body_bytes += len(event.data)
                if body_bytes > MAX_REPLY_BYTES:
                    detail = f"the answer has over {MAX_REPLY_BYTES} bytes"
                    return self._failure(Reason.PROTOCOL, detail)
                body_chunks.append(event.data)
            elif isinstance(event, AnswerEnd) and head is not None:
                return Reply(head.status, head.fields, b"".join(body_chunks))
            elif isinstance(event, AnswerIncomplete):
                return self._failure(Reason.IN_DOUBT, event.detail)
            elif isinstance(event, TimerExpired):
                return self._failure(
                    Reason.TIMEOUT, "no complete answer before the time-out"
                )

    def _failure(
        self, reason: Reason, detail: str, delivery: Delivery = Delivery.MAYBE
    ) -> Failure:
        return Failure(reason, "http.call", self._host, detail, delivery)
