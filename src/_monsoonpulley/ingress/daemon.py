"""The process of an ingress instance."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
import sys
from pathlib import Path

import msgspec
from loguru import logger

from ..clock import Clock
from ..errors import SettingsError
from ..observability.log import Log
from ..observability.logwriter import LogWriter
from ..platform.localsettings import LocalSettings
from ..platform.names import CONFIG_PATH_VARIABLE
from ..supervisor import Restart, Supervisor
from .counters import Counters
from .service import IngressService

METRICS_PORT_OFFSET = 10
"""Offset of the metrics port from the first of the instance's own ports;
`deploy/system.toml` contains it too."""

EXIT_INVALID_SETTINGS = 2
"""Exit code of the command line for wrong usage or an invalid file, too."""

SETTINGS_CHECK_INTERVAL_MS = 2_000
"""Interval of reading the settings file: it may change without a signal."""


def run_ingress() -> int:
    """Run an ingress instance until SIGTERM and return its exit code."""
    path = Path(os.environ.get(CONFIG_PATH_VARIABLE, ""))
    try:
        settings = LocalSettings.from_file(path)
    except SettingsError as error:
        line = {"event": "settings_refused", "error": str(error)}
        print(msgspec.json.encode(line).decode(), flush=True)
        return EXIT_INVALID_SETTINGS
    asyncio.run(_run(path, settings))
    return 0


async def _run(path: Path, settings: LocalSettings) -> None:
    clock = Clock.from_system()
    counters = Counters()
    writer = LogWriter(
        sys.stdout.fileno(), clock.now_ms, counters.log_lines_dropped.inc
    )
    logger.remove()
    logger.add(writer.write, format="{message}", catch=False)
    log = Log(
        clock,
        lambda line: logger.info("{}", line),
        settings.instance,
        keeps_lines=False,
    )
    rng = random.Random()
    service = IngressService(settings, clock, log, counters, rng)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    reloader = SettingsReloader(path, settings, service)
    loop.add_signal_handler(signal.SIGHUP, reloader.check)
    await service.listen(settings.peer_ports[0] + METRICS_PORT_OFFSET)
    log.event(
        "started",
        pid=os.getpid(),
        zone=settings.zone,
        incarnation=service.incarnation,
        callers=f"{settings.caller_address.ip}:{settings.caller_address.port}",
    )
    supervisor = Supervisor("ingress", clock, log, rng)
    for name, run in service.supervised_tasks():
        supervisor.add(name, run, Restart.ON_FAILURE)
    supervisor.add("settings", reloader.run)
    # The objects created so far are never freed: exclude them from collections.
    gc.freeze()
    running = loop.create_task(supervisor.run())
    await stop_requested.wait()
    await stop_service(service, reloader)
    running.cancel()
    writer.flush()


async def stop_service(service: IngressService, reloader: SettingsReloader) -> None:
    """Stop within the grace period that the settings file has now."""
    reloader.check()
    await service.stop()


class SettingsReloader:
    """Applies changes of the settings file while the process runs.

    Parameters
    ----------
    path : Path
        Path of the settings file.
    settings : LocalSettings
        Settings in force.
    service : IngressService
        Applies the settings that may change while it runs.
    """

    def __init__(self, path: Path, settings: LocalSettings, service: IngressService):
        self._path = path
        self._settings = settings
        self._service = service

    async def run(self) -> None:
        """Check the file at intervals until cancelled."""
        while True:
            await self._service.clock.sleep_ms(SETTINGS_CHECK_INTERVAL_MS)
            self.check()

    def check(self) -> None:
        """Apply the file's settings if they differ from those in force."""
        log = self._service.log
        try:
            settings = LocalSettings.from_file(self._path)
        except SettingsError as error:
            log.event("reload_refused", error=str(error))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._service.reload(settings)
        log.event("reloaded", bounds=str(settings.bounds))
