"""An entry instance with the gateway in its own process, before stand-ins."""

from __future__ import annotations

import asyncio
import http.client
import json
import re
from collections.abc import Iterator

from benchmarks.processes import CUSTOMER, Deployment, sha256

MEMORY_MB = 192
"""Less than the users' smallest machines have, 200 MB, so that a small crowd shows what
a larger one does there."""

FILE_DESCRIPTORS = 4_100
"""What the users' smallest machines have."""

HANGING_MS = 60_000
"""Time after which the endpoint of the class "slow" answers: after the tests."""

PLAN = f"""
[platform]
listen = 127.0.0.1:0
[endpoint engine-1]
kind = model
service = model
version = v1
zone = zone-a
listen = 127.0.0.1:0
[endpoint intake-1]
kind = plain
service = intake
version = v1
zone = zone-a
listen = 127.0.0.1:0
[endpoint slow-1]
kind = plain
service = slow
version = v1
zone = zone-a
listen = 127.0.0.1:0
service_ms = {HANGING_MS}
"""

CONFIGURATION = f"""
[service model]
kind = model
[version model v1]
[service intake]
kind = plain
[version intake v1]
[service slow]
kind = plain
[version slow v1]
[class question]
service = model
answer_within_ms = 5000
max_body_bytes = 4194304
[class order]
service = intake
answer_within_ms = 5000
repeats = 1
max_body_bytes = 4194304
[class slow]
service = slow
answer_within_ms = {HANGING_MS}
repeats = 1
max_body_bytes = 4194304
[customer test]
credential_sha256 = {sha256(CUSTOMER)}
"""

LIMITS = """
[limits]
memory_mb = {memory_mb}
file_descriptors = {file_descriptors}
"""

TIMEOUT_S = 20

ORDINARY_PATH, HANGING_PATH = "/services/order/orders", "/services/slow/orders"
"""Paths of requests that are answered soon, and of others."""

GENERATION_PATH = "/v1/completions"

PUSH_HEADER = b"\0SP\0\0\x50\0\0"
"""What a push socket sends first."""


class GatewayDeployment:
    """One entry instance with lowered limits, its platform and its endpoints.

    Parameters
    ----------
    file_descriptors : int
        Descriptors that it may have.

    Attributes
    ----------
    ip, port, peer_port : str, int, int
        Where it listens for callers and for other instances.
    ports : set of int
        All its listening ports.
    memory_mb : int
        Memory that it may take.
    """

    def __init__(self, file_descriptors: int = FILE_DESCRIPTORS):
        self.memory_mb = MEMORY_MB
        self.file_descriptors = file_descriptors
        self._deployment: Deployment | None = None
        self.ip = "127.0.0.1"
        self.port = self.peer_port = 0
        self.ports: set[int] = set()

    @property
    def pid(self) -> int:
        assert self._deployment is not None
        return self._deployment.entry.pid

    async def start(self) -> None:
        """Start all processes and wait until the configuration is in force."""
        await asyncio.to_thread(self._start)

    async def stop(self) -> None:
        """Stop all processes."""
        if self._deployment is not None:
            self._deployment.close()

    async def send_ordinary(self) -> tuple[int, bytes]:
        """Send an ordinary request; return the status and body of its answer."""
        headers = {"authorization": f"Bearer {CUSTOMER}"}
        return await asyncio.to_thread(self._send, headers)

    async def send_raw(self, data: bytes) -> tuple[int, bytes]:
        """Send a request as it is; return the status and body of its answer."""
        reader, writer = await asyncio.open_connection(self.ip, self.port)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                writer.write(data)
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = re.search(rb"content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1])) if length else b""
                return int(head.split()[1]), body
        finally:
            writer.close()

    def _start(self) -> None:
        limits = LIMITS.format(
            memory_mb=self.memory_mb, file_descriptors=self.file_descriptors
        )
        deployment = self._deployment = Deployment(PLAN, CONFIGURATION, settings=limits)
        deployment.entry.wait_for_event("instance_ready")
        deployment.apply()
        deployment.entry.wait_for_event("config_revision")
        listening = json.loads(deployment.entry.wait_for_event("instance_listening"))
        self.port = deployment.port
        self.peer_port = int(listening["peers"].rpartition(":")[2])
        self.ports = {self.port, self.peer_port}

    def _send(self, headers: dict[str, str]) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(self.ip, self.port, timeout=TIMEOUT_S)
        try:
            connection.request("POST", ORDINARY_PATH, b"{}", headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()


def large_generation(size_bytes: int) -> bytes:
    """Return the body of a generation that has very many small values."""
    start = b'{"model":"question","prompt":"which bole","max_tokens":5,"user":['
    return start + b"{}," * ((size_bytes - len(start) - 4) // 3) + b"{}]}"


def garbage_messages(count: int, size_bytes: int) -> Iterator[bytes]:
    """Return what an instance sends to another one, without a valid key."""
    yield PUSH_HEADER
    message = size_bytes.to_bytes(8, "big") + b"x" * size_bytes
    for _ in range(count):
        yield message
