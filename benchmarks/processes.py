"""Starts the program's processes for a measurement and ends them again."""

from __future__ import annotations

import hashlib
import os
import socket
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

CUSTOMER = "benchmark-customer-credential"
OPERATOR = "benchmark-operator-credential"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

ENTRY = """
[entry]
instance = entry-1
zone = zone-a
region = bench
http_listen = 127.0.0.1:{port}
peer_listen = 127.0.0.1:{peer_port}
[platform]
table = etcd-v3-json http://{platform}/zone-a
objects = http http://{platform}/zone-a/objects
livelist = prometheus-http-sd http://{platform}/zone-a/livelist
cloud = http http://{platform}/zone-a/cloud
[peers]
key = benchmark-key-of-32-characters-xx
[operator]
credential_sha256 = {operator}
[log]
level = {log_level}
"""


class Process:
    """A child process of a measurement."""

    def __init__(self, *arguments: str, stderr: int | None = subprocess.DEVNULL):
        command = [sys.executable, "-m", "monsoonpulley", *arguments]
        self._child = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=stderr, text=True
        )

    def lines(self, count: int) -> list[str]:
        """Return the next lines of its standard output."""
        return [self._child.stdout.readline().strip() for _ in range(count)]

    def cpu_s(self) -> float:
        """Return the processor time that it has used, in seconds."""
        fields = Path(f"/proc/{self._child.pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S

    def resident_bytes(self) -> int:
        """Return the memory that it holds."""
        pages = Path(f"/proc/{self._child.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    def end(self) -> None:
        """Kill it and wait for its end."""
        self._child.kill()
        self._child.wait()
        self._child.stdout.close()


class Deployment(ExitStack):
    """Stand-ins and one entry daemon, each in its own process.

    Parameters
    ----------
    plan : str
        INI text of what the stand-in process serves.
    configuration : str
        INI text of the configuration to apply.
    """

    def __init__(self, plan: str, configuration: str, log_level: str = "INFO"):
        super().__init__()
        folder = Path(self.enter_context(tempfile.TemporaryDirectory()))
        (folder / "plan.ini").write_text(plan)
        self.standins = self._start("standin", "--plan", str(folder / "plan.ini"))
        count = plan.count("[endpoint ") + 1
        lines = self.standins.lines(count)
        self.addresses = dict(line.split() for line in lines)
        self.port = free_port()
        settings = ENTRY.format(
            port=self.port,
            peer_port=free_port(),
            platform=self.addresses["platform"],
            operator=sha256(OPERATOR),
            log_level=log_level,
        )
        (folder / "entry.ini").write_text(settings)
        self.entry = self._start("entry", "--settings", str(folder / "entry.ini"))
        self._configuration = folder / "configuration.ini"
        self._configuration.write_text(configuration)

    def apply(self) -> None:
        """Apply the configuration; the entry daemon must answer already."""
        environment = {
            **os.environ,
            "MONSOONPULLEY_ENTRY": f"http://127.0.0.1:{self.port}",
            "MONSOONPULLEY_CREDENTIAL": OPERATOR,
        }
        command = [sys.executable, "-m", "monsoonpulley", "config", "apply"]
        subprocess.run(
            [*command, str(self._configuration)],
            env=environment,
            check=True,
            stdout=subprocess.DEVNULL,
        )

    def _start(self, *arguments: str) -> Process:
        process = Process(*arguments)
        self.callback(process.end)
        return process


def free_port() -> int:
    """Return a TCP port that was free just now."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def sha256(text: str) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
