"""Access of commands to an entry instance, and their exit codes."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Annotated, TypeVar
from urllib.parse import urlsplit

from cyclopts import Parameter

from ..clock import Clock
from ..errors import Failure, Reason
from ..settings.process import read_text
from .operatorclient import OperatorClient

T = TypeVar("T")

ENTRY_VARIABLE = "MONSOONPULLEY_ENTRY"
CREDENTIAL_VARIABLE = "MONSOONPULLEY_CREDENTIAL"
NO_ANSWER_REASONS = (Reason.UNAVAILABLE, Reason.IN_DOUBT, Reason.TIMEOUT)


class ExitCode(IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3


class UsageError(Exception):
    """A command with missing or wrong arguments."""


@Parameter(name="*")
@dataclass(frozen=True)
class Access:
    """Address and credential for reaching the system."""

    entry: Annotated[str | None, Parameter(env_var=ENTRY_VARIABLE)] = None
    "Address of any entry instance, as http://IP:PORT."

    credential_file: Path | None = None
    """File with the operators' credential in its first line. Without it the
    credential is read from the environment variable MONSOONPULLEY_CREDENTIAL."""

    def create_client(self) -> OperatorClient:
        """Return a client; raise `UsageError` if an option is missing or malformed."""
        if not self.entry:
            raise UsageError(f"give --entry http://IP:PORT or set {ENTRY_VARIABLE}")
        parts = urlsplit(self.entry)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise UsageError(f"--entry {self.entry!r}: expected http://IP:PORT")
        rng = random.SystemRandom()
        credential = self._read_credential()
        return OperatorClient(self.entry, credential, Clock.from_system(), rng)

    def _read_credential(self) -> str:
        if self.credential_file is not None:
            credential = read_text(self.credential_file).partition("\n")[0].strip()
        else:
            credential = os.environ.get(CREDENTIAL_VARIABLE, "")
        if not credential:
            raise UsageError(
                f"no credential: give --credential-file or set {CREDENTIAL_VARIABLE}"
            )
        return credential


FROM_ENVIRONMENT = Access()


def print_answer(
    access: Access,
    fetch: Callable[[OperatorClient], Awaitable[T | Failure]],
    format_answer: Callable[[T], str],
) -> int:
    """Fetch an answer, print it as text and return the exit code."""

    async def fetch_and_print(client: OperatorClient) -> int:
        answer = await fetch(client)
        if isinstance(answer, Failure):
            return print_failure(answer)
        print(format_answer(answer))
        return ExitCode.OK

    return run_with_client(access, fetch_and_print)


def run_with_client(
    access: Access, command: Callable[[OperatorClient], Awaitable[int]]
) -> int:
    """Run ``command`` with a client and return its exit code."""

    async def open_and_run() -> int:
        async with access.create_client() as client:
            return await command(client)

    return asyncio.run(open_and_run())


def print_failure(failure: Failure) -> int:
    """Print a failure to standard error and return its exit code."""
    print(f"monsoonpulley: {failure}", file=sys.stderr)
    if failure.reason is Reason.IN_DOUBT:
        print(
            "The change may have been applied, or may be applied later: look for its "
            "change token in 'monsoonpulley config history'.",
            file=sys.stderr,
        )
    is_unanswered = failure.reason in NO_ANSWER_REASONS
    return ExitCode.UNREACHABLE if is_unanswered else ExitCode.FAILED
