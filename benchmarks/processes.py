"""Starts and stops processes of the program for benchmarks and tests."""

from __future__ import annotations

import hashlib
import json
import os
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

CUSTOMER = "benchmark-customer-credential"
OPERATOR = "benchmark-operator-credential"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
EVENT_POLL_INTERVAL_S = 0.02
MAX_EVENT_POLLS = 3_000
EXIT_TIMEOUT_S = 60

ENTRY = """
[entry]
instance = entry-1
zone = zone-a
region = bench
http_listen = 127.0.0.1:0
peer_listen = 127.0.0.1:0
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
    """A child process of a benchmark or a test.

    Its standard error, which has its log, goes to a temporary file.
    """

    def __init__(self, *arguments: str):
        command = [sys.executable, "-m", "monsoonpulley", *arguments]
        self._stderr = tempfile.TemporaryFile("w+")
        self._child = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=self._stderr, text=True
        )

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._child.pid

    def read_lines(self, count: int) -> list[str]:
        """Return the next ``count`` lines of its standard output."""
        return [self._child.stdout.readline().strip() for _ in range(count)]

    def read_stderr(self) -> str:
        """Return everything written to standard error so far."""
        self._stderr.seek(0)
        return self._stderr.read()

    def wait_for_event(self, event: str) -> str:
        """Wait until the log has an event, and return its line.

        Raises
        ------
        RuntimeError
            If the process ends first, or the event is not logged in time.
        """
        for _ in range(MAX_EVENT_POLLS):
            for line in self.read_stderr().splitlines():
                if f'"event":"{event}"' in line:
                    return line
            if self._child.poll() is not None:
                break
            time.sleep(EVENT_POLL_INTERVAL_S)
        raise RuntimeError(
            f"event {event!r} was not logged: {self.read_stderr()[-2_000:]}"
        )

    def terminate(self) -> None:
        """Send SIGTERM."""
        self._child.terminate()

    def wait(self) -> int:
        """Wait for the process to end and return its exit code."""
        return self._child.wait(EXIT_TIMEOUT_S)

    def cpu_s(self) -> float:
        """Return the processor time used, in seconds."""
        fields = Path(f"/proc/{self._child.pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes."""
        pages = Path(f"/proc/{self._child.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    def kill(self) -> None:
        """Kill the process if it still runs, wait for its end and close its files."""
        self._child.kill()
        self._child.wait()
        self._child.stdout.close()
        self._stderr.close()


class Deployment(ExitStack):
    """Stand-ins in one process, and an entry instance in another.

    Parameters
    ----------
    plan : str
        INI text of the stand-ins to run.
    configuration : str
        INI text of the configuration that `apply` applies.
    log_level : str
        Log level of the entry instance.
    settings : str
        INI text of further sections of its settings.
    """

    def __init__(
        self,
        plan: str,
        configuration: str,
        log_level: str = "INFO",
        settings: str = "",
    ):
        super().__init__()
        folder = Path(self.enter_context(tempfile.TemporaryDirectory()))
        (folder / "plan.ini").write_text(plan)
        self.standins = self._start("standin", "--plan", str(folder / "plan.ini"))
        count = plan.count("[endpoint ") + 1
        lines = self.standins.read_lines(count)
        self.addresses = dict(line.split() for line in lines)
        entry = ENTRY.format(
            platform=self.addresses["platform"],
            operator=sha256(OPERATOR),
            log_level=log_level,
        )
        (folder / "entry.ini").write_text(entry + settings)
        self.entry = self._start("entry", "--settings", str(folder / "entry.ini"))
        listening = self.entry.wait_for_event("instance_listening")
        self.port = int(json.loads(listening)["http"].rpartition(":")[2])
        self._configuration = folder / "configuration.ini"
        self._configuration.write_text(configuration)

    def apply(self) -> None:
        """Apply the configuration; the entry instance must already answer."""
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
        self.callback(process.kill)
        return process


def sha256(text: str) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
