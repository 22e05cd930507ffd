"""Endpoints that crash under some requests and are back soon."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .site import EndpointCall, EndpointStandin, Site, configuration, endpoint_row

DOWN_S = 1.0
"""Time from a crash until the endpoint listens again."""

SERVICE_S = 0.02
"""Time from a request's arrival to the start of its answer."""


class CrashingEndpoint(EndpointStandin):
    """Crashes as soon as it begins to answer a request that ``is_faulty``.

    Attributes
    ----------
    crash_times_s, faulty_times_s : list of float
        Times on the loop's clock of its crashes and of the arrivals of such requests.
    """

    def __init__(self, is_faulty: Callable[[EndpointCall], bool]):
        super().__init__(self._answer)
        self._is_faulty = is_faulty
        self._writers: set[asyncio.StreamWriter] = set()
        self._address = ("127.0.0.1", 0)
        self._restarts: set[asyncio.Task] = set()
        self.crash_times_s: list[float] = []
        self.faulty_times_s: list[float] = []

    async def listen(self) -> str:
        address = await super().listen()
        self._address = self._server.sockets[0].getsockname()
        return address

    def close(self) -> None:
        for task in self._restarts:
            task.cancel()
        super().close()

    def crash(self) -> None:
        """Stop listening, reset all connections and start again later."""
        self.crash_times_s.append(asyncio.get_running_loop().time())
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._restarts.add(asyncio.create_task(self._restart()))

    async def _restart(self) -> None:
        await asyncio.sleep(DOWN_S)
        self._server = await asyncio.start_server(self._serve, *self._address)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _answer(self, call: EndpointCall) -> None:
        if self._is_faulty(call):
            self.faulty_times_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(SERVICE_S)
        if self._is_faulty(call):
            self.crash_under(call)
        elif not call.writer.is_closing():
            self.answer_soundly(call)

    def crash_under(self, call: EndpointCall) -> None:
        self.crash()

    def answer_soundly(self, call: EndpointCall) -> None:
        call.answer(body=b"sound")


class CrashingStream(CrashingEndpoint):
    """An endpoint that answers with event streams."""

    def answer_soundly(self, call: EndpointCall) -> None:
        call.start_stream()
        for number in (1, 2, 3):
            call.write_event(number)
        call.writer.write(b"0\r\n\r\n")


class CrashingUnframedStream(CrashingStream):
    """An endpoint whose streams end with their connection, crashing after an event."""

    def answer_soundly(self, call: EndpointCall) -> None:
        self._start(call)
        for number in (1, 2, 3):
            call.writer.write(b"id: %d\ndata: piece\n\n" % number)
        call.writer.close()

    def crash_under(self, call: EndpointCall) -> None:
        self._start(call)
        call.writer.write(b"id: 1\ndata: piece\n\n")
        call.writer.close()
        self._writers.discard(call.writer)
        self.crash()

    @staticmethod
    def _start(call: EndpointCall) -> None:
        call.writer.write(
            b"HTTP/1.1 200 OK\r\n"
            + f"Monsoonpulley-Request-Id: {call.request_id}\r\n".encode()
            + b"Monsoonpulley-Response-Seal: seal-1\r\n"
            + b"Content-Type: text/event-stream\r\n\r\n"
        )


class LateCrashingStream(CrashingStream):
    """An endpoint that crashes a second after the first event of a stream."""

    EVENT_S = 0.1
    CRASH_AFTER_S = 1.0

    def crash_under(self, call: EndpointCall) -> None:
        self._restarts.add(asyncio.create_task(self._crash_late(call)))

    async def _crash_late(self, call: EndpointCall) -> None:
        call.start_stream()
        for number in range(round(self.CRASH_AFTER_S / self.EVENT_S)):
            call.write_event(number + 1)
            await asyncio.sleep(self.EVENT_S)
        if not call.writer.is_closing():
            self.crash()


class CrashPlay:
    """Faulty and sound requests at a steady rate, and what becomes of them.

    Parameters
    ----------
    site : Site
        The instance that gets the requests.
    endpoint_type : type
        `CrashingEndpoint` or a subclass.
    is_faulty : callable
        Returns whether a call crashes its endpoint.
    """

    ENDPOINT_COUNT = 6
    FAULTY_PER_S = 10
    SOUND_PER_S = 20

    def __init__(
        self,
        site: Site,
        endpoint_type: type[CrashingEndpoint],
        is_faulty: Callable[[EndpointCall], bool],
    ):
        self.site = site
        self.sound_begun: list[tuple[float, bool]] = []
        self.faulty_statuses: list[int] = []
        self._endpoint_type = endpoint_type
        self._is_faulty = is_faulty

    async def start(self, kind: str, **changes: object) -> None:
        """Start the endpoints and the instance."""
        for number in range(self.ENDPOINT_COUNT):
            endpoint = self._endpoint_type(self._is_faulty)
            address = await endpoint.listen()
            self.site.endpoints.append(endpoint)
            self.site.store.put("servers", f"i-{number}", endpoint_row(address))
        await self.site.start(configuration(kind=kind, **changes))

    async def run(
        self,
        duration_s: float,
        faulty: Callable[[int], dict],
        sound: Callable[[int], dict],
    ) -> None:
        """Send requests for a time; the functions return the arguments of each."""
        async with asyncio.TaskGroup() as group:
            group.create_task(
                self._send(duration_s, self.FAULTY_PER_S, "f", faulty, group)
            )
            group.create_task(
                self._send(duration_s, self.SOUND_PER_S, "s", sound, group)
            )

    async def _send(self, duration_s, per_s, name, arguments, group) -> None:
        for number in range(round(duration_s * per_s)):
            group.create_task(self._call(f"{name}{number}", arguments(number)))
            await asyncio.sleep(1 / per_s)

    async def _call(self, request_id: str, arguments: dict) -> None:
        sent_s = asyncio.get_running_loop().time()
        got = await self.site.send_request(request_id, **arguments)
        if request_id.startswith("f"):
            self.faulty_statuses.append(got.status)
        else:
            self.sound_begun.append((sent_s, got.status == 200))

    def crash_time_s(self, number: int) -> float:
        """Return the time of the n-th crash, counted from 1."""
        times_s = [t for e in self.site.endpoints for t in e.crash_times_s]
        return sorted(times_s)[number - 1]

    def faulty_arrivals_after(self, time_s: float) -> int:
        """Return how many faulty requests reached endpoints after a time."""
        times_s = [t for e in self.site.endpoints for t in e.faulty_times_s]
        return sum(t > time_s for t in times_s)

    def sound_share_after(self, time_s: float) -> float:
        """Return the share of sound requests sent after a time that were answered."""
        begun = [
            was_answered for sent_s, was_answered in self.sound_begun if sent_s > time_s
        ]
        return sum(begun) / len(begun)
