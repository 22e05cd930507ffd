"""Callers that reuse their connections to an instance while these last."""

from __future__ import annotations

import asyncio
import random

from ..ingress.site import read_answer, request
from .instances import CALLERS_PORT
from .records import Call
from .world import CUSTOMERS, LIMITED_KEY, OPEN_KEY, World, route_timeout_ms

CONNECTIONS_PER_INSTANCE = 5
REPORTS_PER_INSTANCE = 1
"""Callers of each instance, with one connection each, and others that ask for long
streams alone."""

MEAN_PAUSE_S = 0.12
"""Mean time between an answer and the next request of a connection."""

DEADLINE_MARGIN_MS = 500
CALLER_MARGIN_MS = 1_500
"""Times from the timeout of a request's route to its caller's deadline, and until the
caller disconnects."""

KINDS = {"app": 5, "order": 5, "stream": 2, "other": 2, "feature": 2, "local": 2}
"""Kinds of requests and their relative frequency."""

LIMITED_SHARE = 0.3
DISCONNECT_SHARE = 0.02
"""Share of requests whose caller disconnects soon after sending."""


PART_CAUSE, BODY_CAUSE = "part", "body"
"""Beginnings of the causes of crashes: a part of the prompt, and the request itself."""


class Caller:
    """A caller with one keep-alive connection to one instance.

    Parameters
    ----------
    world : World
        World that the caller belongs to.
    name : str
        Unique; request ids begin with it.
    instance : str
        Name of the instance that it calls.
    rng : random.Random
        For the requests and the pauses between them.
    """

    def __init__(self, world: World, name: str, instance: str, rng: random.Random):
        self._world = world
        self._name = name
        self._instance = world.instances[instance]
        self._rng = rng
        self._number = 0
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = (
            None
        )

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))
            await self.call(self._draw_kind())

    async def call(self, kind: str, feature: int = 0, cause: str = "") -> Call | None:
        """Send a request and record its answer; return None without a connection.

        With a ``cause`` it crashes endpoints: by its body, or by a part of its prompt.
        """
        try:
            async with asyncio.timeout(1):
                reader, writer = self._connection or await self._connect()
        except (OSError, TimeoutError):
            return None
        self._connection = (reader, writer)
        call, data = self._build_request(kind, feature, cause)
        timeout_s = (route_timeout_ms(kind) + CALLER_MARGIN_MS) / 1000
        if self._rng.random() < DISCONNECT_SHARE:
            timeout_s = self._rng.uniform(0.005, 0.3)
            call.has_left = True
        try:
            async with asyncio.timeout(timeout_s):
                writer.write(data)
                await self._read(call, reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            # `call` shows the missing answer; the checks decide whether it is allowed.
            self._disconnect()
        call.ended_ms = self._world.clock.now_ms()
        return call

    async def run_reports(self) -> None:
        """Ask for one long stream right after the other until cancelled."""
        while True:
            call = await self.call("report")
            if call is None or call.status != 200:
                await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))

    def close(self) -> None:
        """Close the connection."""
        self._disconnect()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        ip = self._world.caller_ip(self._instance.name)
        return await asyncio.open_connection(ip, CALLERS_PORT)

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    def _draw_kind(self) -> str:
        return self._rng.choices(list(KINDS), list(KINDS.values()))[0]

    def _build_request(self, kind: str, feature: int, cause: str) -> tuple[Call, bytes]:
        self._number += 1
        key = LIMITED_KEY if self._rng.random() < LIMITED_SHARE else OPEN_KEY
        key = OPEN_KEY if cause or kind == "report" else key
        path = f"/{kind}/x"
        if kind == "feature":
            feature = feature or self._rng.randint(1, len(self._world.records.versions))
            path = f"/feature-{feature}/x"
        call = Call(
            id=f"{self._name}-{self._number}",
            instance=self._instance.name,
            incarnation=self._instance.incarnation,
            kind=kind,
            customer=CUSTOMERS[key],
            sent_ms=self._world.clock.now_ms(),
            body=self._rng.randbytes(self._rng.choice((0, 20, 5_000))),
            feature=feature,
            cause=cause,
        )
        if cause.startswith(BODY_CAUSE):
            call.body = cause.encode()
        self._world.records.calls[call.id] = call
        parts = [
            "cafe",
            f"{self._rng.randrange(8):x}",
            f"{self._rng.getrandbits(32):x}",
        ]
        if cause.startswith(PART_CAUSE):
            parts[1] = cause
        elif cause:
            parts[1:] = [cause, cause]
        listed = ",".join(f"{part}:50" for part in parts)
        return call, request(
            call.id,
            path=path,
            key=key,
            body=call.body,
            deadline_ms=route_timeout_ms(kind) + DEADLINE_MARGIN_MS,
            extra=f"Monsoonpulley-Prompt-Prefix: {listed}\r\n",
        )

    async def _read(self, call: Call, reader: asyncio.StreamReader) -> None:
        answer = await read_answer(reader)
        call.status = answer.status
        call.seal = answer.headers.get("monsoonpulley-response-seal", "")
        call.answered_id = answer.headers.get("monsoonpulley-request-id", "")
        call.answer = answer.body
        call.is_whole = answer.is_whole
        if "text/event-stream" in answer.headers.get("content-type", ""):
            call.events = [
                int(line[4:])
                for line in answer.body.split(b"\n")
                if line.startswith(b"id: ")
            ]
        if not answer.is_whole or answer.headers.get("connection") == "close":
            self._disconnect()
