"""A test case in which a crowd presses on a process."""

from __future__ import annotations

import asyncio
import unittest
from typing import Protocol

from .clients import Crowd, Pieces
from .usage import UsageWatch

MB = 1_000_000

SETTLE_S = 1.0
"""Time from the last bytes of a crowd until its answers are being written."""

FEW_DESCRIPTORS = 600
"""A seventh of what the users' smallest machines have."""


class Deployment(Protocol):
    """The process under test and what it needs."""

    ip: str
    port: int
    ports: set[int]
    memory_mb: int
    file_descriptors: int

    @property
    def pid(self) -> int: ...

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    async def send_ordinary(self) -> tuple[int, bytes]:
        """Send an ordinary request; return the status and body of its answer."""
        ...


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """A process with lowered limits, and crowds that press on its ports.

    The process has to stay within its memory and descriptors, and to answer an ordinary
    request while the crowd is still there.
    """

    file_descriptors: int | None = None

    def make_deployment(self) -> Deployment:
        """Return the deployment of the test."""
        raise NotImplementedError

    async def asyncSetUp(self):
        # Tasks that note where they were created take the test's time and memory.
        asyncio.get_running_loop().set_debug(False)
        self.deployment = self.make_deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def press(
        self,
        count: int,
        pieces: Pieces,
        *,
        port: int | None = None,
        reads: bool = True,
    ) -> None:
        """Let a crowd press; check the process's bounds and an ordinary request."""
        deployment = self.deployment
        crowd = Crowd(deployment.ip, port or deployment.port, reads=reads)
        self.addCleanup(crowd.leave)
        async with UsageWatch(deployment.pid, deployment.ports) as watch:
            await crowd.press(count, pieces)
            await asyncio.sleep(SETTLE_S)
            self.assertTrue(watch.is_alive())
            status, body = await deployment.send_ordinary()
        self.assertTrue(watch.is_alive())
        self.assertLessEqual(watch.max_memory_bytes / MB, deployment.memory_mb)
        self.assertLessEqual(watch.max_descriptors, deployment.file_descriptors)
        self.assertEqual(status, 200, body)
