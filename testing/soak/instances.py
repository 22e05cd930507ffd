"""Entry instances, each in its own process."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from _monsoonpulley.clock import Clock

from .records import Records

CALLERS_PORT, READINESS_PORT, FIRST_PEER_PORT = 8_080, 8_081, 7_600
PEER_PORTS = 40

GRACE_MS = 5_000
"""From SIGTERM to SIGKILL; longer than a stopping instance goes on listening."""

INTERPRETER_START_MS = 150
"""Time for the interpreter to reach the first line of the program. SIGHUP before that
ends any Python process, and no program can prevent it."""

SOURCE = Path(__file__).parents[2] / "src"


class Instance:
    """An entry instance in its own process.

    Parameters
    ----------
    name, zone, ip : str
        Name, zone and IP address of the machine.
    folder : Path
        For its settings file and log.
    addresses : dict
        Addresses under which the instance reaches ``store`` and ``cloud``.
    bounds, limits, regions : dict
        Values for the sections ``bounds``, ``limits`` and ``zones`` of its settings.
    records, clock : Records, Clock
        Record of unexpected exits, and the clock for start times.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        folder: Path,
        addresses: dict[str, str],
        bounds: dict[str, float],
        limits: dict[str, int],
        regions: dict[str, str],
        records: Records,
        clock: Clock,
    ):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.bounds = dict(bounds)
        self._limits = limits
        self._regions = regions
        self.incarnation = 0
        self.is_stopping = False
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._addresses = addresses
        self._records = records
        self._clock = clock
        self._process: asyncio.subprocess.Process | None = None
        self._exit_task: asyncio.Task[None] | None = None
        self._is_first_start = True
        self._started_ms = 0

    @property
    def is_running(self) -> bool:
        return self._process is not None

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self._is_first_start = False
        self.incarnation += 1
        self._started_ms = self._clock.now_ms()
        self.is_stopping = False
        environment = dict(os.environ, MONSOONPULLEY_CONFIG=str(self._settings))
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, str(SOURCE), stdout=log, stderr=log, env=environment
            )
        self._exit_task = asyncio.create_task(self._record_exit(self._process))

    def write_settings(self) -> None:
        """Write the settings file."""
        bounds = "".join(f"{name} = {value}\n" for name, value in self.bounds.items())
        limits = "".join(f"{name} = {value}\n" for name, value in self._limits.items())
        zones = "".join(f'"{z}" = "{region}"\n' for z, region in self._regions.items())
        self._settings.write_text(
            f'node_name = "{self.name}"\nzone = "{self.zone}"\n'
            f'ip_address = "{self.ip}"\n'
            f"internal_port_range = [{FIRST_PEER_PORT}, {FIRST_PEER_PORT + PEER_PORTS}]"
            f'\nregion = "{self._regions[self.zone]}"'
            f"\nfirst_start = {str(self._is_first_start).lower()}\n"
            f'[listen]\nfrontend = "{self.ip}:{CALLERS_PORT}"\n'
            f'ready = "{self.ip}:{READINESS_PORT}"\n'
            f'[platform]\naddress = "{self._addresses["store"]}"\n'
            f'[cloud]\naddress = "{self._addresses["cloud"]}"\nduties = ["usage"]\n'
            f"[bounds]\n{bounds}[limits]\n{limits}[zones]\n{zones}"
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to a running process; skip SIGHUP while it starts."""
        if self._process is None:
            return
        age_ms = self._clock.now_ms() - self._started_ms
        if number is not signal.SIGHUP or age_ms > INTERPRETER_START_MS:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        self.is_stopping = True
        if self._process is not None:
            process = self._process
            process.kill()
            await process.wait()
            self._process = None

    async def stop(self) -> None:
        """Stop the process as the platform does: SIGKILL after the grace period."""
        self.is_stopping = True
        process = self._process
        if process is None:
            return
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            async with asyncio.timeout(GRACE_MS / 1000):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        self._process = None

    async def _record_exit(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if not self.is_stopping:
            self._records.exits.append((self.name, code))
            self._process = None
