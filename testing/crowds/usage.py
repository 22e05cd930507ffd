"""Memory and descriptors of a process, as its machine counts them."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from types import TracebackType

SAMPLE_INTERVAL_S = 0.02

LISTEN_STATE = "0A"


class UsageWatch:
    """Samples a process while a ``with`` block runs.

    Parameters
    ----------
    pid : int
        The process.
    ports : set of int
        Its listening TCP ports.

    Attributes
    ----------
    max_memory_bytes : int
        Most resident memory together with what was received and not yet read.
    max_descriptors : int
        Most open descriptors.
    """

    def __init__(self, pid: int, ports: set[int]):
        self._folder = Path(f"/proc/{pid}")
        self._ports = ports
        self._task: asyncio.Task[None] | None = None
        self.max_memory_bytes = 0
        self.max_descriptors = 0

    async def __aenter__(self) -> UsageWatch:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self._task is not None
        self._task.cancel()
        if self.is_alive():
            self.sample()

    def is_alive(self) -> bool:
        """Return whether the process still runs."""
        try:
            state = (self._folder / "stat").read_text().rpartition(")")[2].split()[0]
        except (FileNotFoundError, ProcessLookupError):
            return False
        return state != "Z"

    def sample(self) -> None:
        """Measure once."""
        peak_bytes, resident_bytes = self._resident_bytes()
        self.max_memory_bytes = max(
            self.max_memory_bytes, peak_bytes, resident_bytes + self._unread_bytes()
        )
        descriptors = len(os.listdir(self._folder / "fd"))
        self.max_descriptors = max(self.max_descriptors, descriptors)

    async def _run(self) -> None:
        while self.is_alive():
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _resident_bytes(self) -> tuple[int, int]:
        """Return the resident memory at its peak and now."""
        lines = (self._folder / "status").read_text().splitlines()
        fields = dict(line.split(":", 1) for line in lines)
        peak, now = fields["VmHWM"], fields["VmRSS"]
        return int(peak.split()[0]) * 1024, int(now.split()[0]) * 1024

    def _unread_bytes(self) -> int:
        """Return what callers' connections hold in the kernel, accepted or not."""
        total_bytes = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            port = int(fields[1].rpartition(":")[2], 16)
            if port in self._ports and fields[3] != LISTEN_STATE:
                total_bytes += int(fields[4].rpartition(":")[2], 16)
        return total_bytes
