"""An instance of the ingress in its own process, before one endpoint."""

from __future__ import annotations

import asyncio
import os
import tempfile
from pathlib import Path

from _monsoonpulley.clock import Clock
from _monsoonpulley.standins.rowstore import RowStoreStandin

from ..ingress.site import (
    TIMEOUT_S,
    Answer,
    EndpointCall,
    EndpointStandin,
    configuration,
    endpoint_row,
    read_answer,
    request,
)
from ..soak.instances import (
    CALLERS_PORT,
    FIRST_PEER_PORT,
    READINESS_PORT,
    Instance,
)
from ..soak.records import Records

MEMORY_MB = 128
"""Less than the users' smallest machines have, 200 MB, so that a small crowd shows what
a larger one does there."""

FILE_DESCRIPTORS = 4_100
"""What the users' smallest machines have."""

METRICS_PORT = FIRST_PEER_PORT + 10

HANGING_PATH, LARGE_PATH = "/other/hanging", "/other/large"
"""Paths of requests that aren't answered, and whose answers are large. Their endpoint
isn't that of ordinary requests."""

SLOTS = 1_000
"""Requests that the endpoints run at once: more than a crowd sends."""

LARGE_BYTES = 4_000_000

FIRST_SUBNET = 32
"""First of the subnets of 127.0.0.0/8 for these instances, one for each process."""


async def answer(call: EndpointCall) -> None:
    """Answer as the path of the request asks."""
    path = call.request_line.split()[1]
    if path.startswith(HANGING_PATH):
        await asyncio.Event().wait()
    call.answer(body=b"x" * LARGE_BYTES if path.startswith(LARGE_PATH) else b"answer")


def two_services() -> dict:
    """Return a configuration with a service of ordinary requests and another one."""
    document = configuration(timeout_ms=20_000)
    other = {"name": "r-2", "prefix": "/other/", "service": "other"}
    document["routes"].append(document["routes"][0] | other)
    document["services"] = [
        {"name": name, "max_connections": SLOTS} for name in ("svc", "other")
    ]
    return document


class IngressDeployment:
    """One instance with lowered limits, its store and its endpoint.

    Parameters
    ----------
    file_descriptors : int
        Descriptors that it may have.

    Attributes
    ----------
    ip, port : str, int
        Where it listens for callers.
    ports : set of int
        All its listening ports.
    memory_mb : int
        Memory that it may take.
    """

    def __init__(self, file_descriptors: int = FILE_DESCRIPTORS) -> None:
        self.memory_mb = MEMORY_MB
        self.file_descriptors = file_descriptors
        self._folder = tempfile.TemporaryDirectory(prefix="crowd-")
        self._records = Records()
        self._store = RowStoreStandin(Clock.from_system())
        self._endpoint = EndpointStandin(answer)
        self._instance: Instance | None = None
        subnet = FIRST_SUBNET + os.getpid() // 250 % 32
        self.ip = f"127.{subnet}.{os.getpid() % 250}.1"
        self.port = CALLERS_PORT
        self.ports = {CALLERS_PORT, READINESS_PORT, FIRST_PEER_PORT, METRICS_PORT}

    @property
    def pid(self) -> int:
        assert self._instance is not None
        return self._instance.pid

    async def start(self) -> None:
        """Start all parts and wait until a request is answered."""
        ip, port = await self._store.listen()
        self._store.put("op", "config", two_services())
        address = await self._endpoint.listen()
        for name, service in (("i-1", "svc"), ("i-2", "other")):
            row = endpoint_row(address, service=service, slots=SLOTS)
            self._store.put("servers", name, row)
        self._instance = Instance(
            "instance-1",
            "zone-a",
            self.ip,
            Path(self._folder.name),
            {"store": f"{ip}:{port}", "cloud": f"{ip}:{port}"},
            {"grace_period_s": 5},
            {
                "memory_mb": self.memory_mb,
                "file_descriptors": self.file_descriptors,
            },
            {"zone-a": "region-a"},
            self._records,
            Clock.from_system(),
        )
        await self._instance.start()
        async with asyncio.timeout(TIMEOUT_S):
            while not await self._serves():
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop all parts."""
        if self._instance is not None:
            await self._instance.kill()
        self._endpoint.close()
        self._store.close()
        self._folder.cleanup()

    async def send_request(self, **kwargs: object) -> Answer:
        """Send a request on a new connection and read its answer."""
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(self.ip, CALLERS_PORT)
            try:
                writer.write(request(**kwargs))
                return await read_answer(reader)
            finally:
                writer.close()

    async def send_ordinary(self) -> tuple[int, bytes]:
        """Send an ordinary request; return the status and body of its answer."""
        answer = await self.send_request()
        return answer.status, answer.body

    def log_bytes(self) -> int:
        """Return the size of the instance's log."""
        return (Path(self._folder.name) / "instance-1.log").stat().st_size

    async def _serves(self) -> bool:
        try:
            return (await self.send_request()).status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
