"""The command line: ``monsoonpulley COMMAND``.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or invalid file,
3 no answer from the entry instance, or from the platform behind it.
"""

from __future__ import annotations

import asyncio
import getpass
import inspect
import os
import random
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any, NoReturn, TypeVar
from urllib.parse import urlsplit

from cyclopts import App, CycloptsError, Parameter

from .cli_output import (
    config_status_text,
    conflict_text,
    difference_text,
    explain_text,
    history_text,
    status_text,
)
from .clock import Clock
from .config.difference import difference
from .config.ini import base_number, parse_document
from .errors import Failure, Reason, SettingsError
from .operator_client import OperatorClient
from .operator_wire import HISTORY_MAX, ConflictBody, InvalidBody
from .settings import Settings, read_text

T = TypeVar("T")

ENTRY_VARIABLE = "MONSOONPULLEY_ENTRY"
CREDENTIAL_VARIABLE = "MONSOONPULLEY_CREDENTIAL"
NO_ANSWER = (Reason.UNAVAILABLE, Reason.IN_DOUBT, Reason.TIMEOUT)


class ExitCode(IntEnum):
    """How the command ended."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3


class UsageError(Exception):
    """The command can't be carried out as it was given."""


app = App(
    name="monsoonpulley",
    help="Serve callers' work on reclaimable machines, and see how it goes.",
)
config = App(name="config", help="Check, apply and look at the configuration.")
app.command(config)


@Parameter(name="*")
@dataclass(frozen=True)
class Access:
    """How to reach the system."""

    entry: Annotated[str | None, Parameter(env_var=ENTRY_VARIABLE)] = None
    "Any entry instance, as http://IP:PORT."

    credential_file: Path | None = None
    """File with the operators' credential in its first line. Without it the
    credential is taken from the variable MONSOONPULLEY_CREDENTIAL."""

    def client(self) -> OperatorClient:
        """Return a client, or raise `UsageError`."""
        if not self.entry:
            raise UsageError(f"give --entry http://IP:PORT or set {ENTRY_VARIABLE}")
        parts = urlsplit(self.entry)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise UsageError(f"--entry {self.entry!r}: expected http://IP:PORT")
        rng = random.SystemRandom()
        credential = self._credential()
        return OperatorClient(self.entry, credential, Clock.from_system(), rng)

    def _credential(self) -> str:
        if self.credential_file is not None:
            credential = read_text(self.credential_file).partition("\n")[0].strip()
        else:
            credential = os.environ.get(CREDENTIAL_VARIABLE, "")
        if not credential:
            raise UsageError(
                f"no credential: give --credential-file or set {CREDENTIAL_VARIABLE}"
            )
        return credential


@app.command
def entry(*, settings: Path) -> int:
    """Run an entry instance until it is told to stop.

    Parameters
    ----------
    settings
        INI file with the settings of this process.
    """
    checked = Settings.from_file(settings)
    from .daemon import run_entry

    return _finish(run_entry(checked))


@app.command
def demo() -> int:
    """Run the whole system with stand-ins on this machine and show it work."""
    from .demo import run_demo

    return _finish(run_demo())


@app.command
def standin(*, plan: Path) -> int:
    """Serve stand-ins of the platform and of endpoints, for trials.

    Prints the name and address of each server, then serves until it is told
    to stop.

    Parameters
    ----------
    plan
        INI file that lists what to serve.
    """
    from .standins.plan import StandinPlan
    from .standins.serve import run_standin

    return _finish(run_standin(StandinPlan.from_text(read_text(plan), str(plan))))


@config.command
def check(file: Path) -> int:
    """Check a configuration file, without any connection.

    Parameters
    ----------
    file
        INI file with the whole configuration.
    """
    document = parse_document(read_text(file), str(file))
    print(
        f"{file}: valid, with {len(document.services)} services, "
        f"{len(document.versions)} versions, {len(document.classes)} classes and "
        f"{len(document.customers)} customers"
    )
    return ExitCode.OK


@config.command
def apply(
    file: Path,
    *,
    expect: int | None = None,
    author: str = "",
    note: str = "",
    access: Access = Access(),
) -> int:
    """Put a configuration file in force, if no other change came first.

    Parameters
    ----------
    file
        INI file with the whole configuration.
    expect
        Revision that the file is based on. Without it, the revision named by
        the file's own "# based on revision N" line, else the one in force.
    author
        Who makes the change; your login name by default.
    note
        Why, for the history.
    """
    text = read_text(file)
    document = parse_document(text, str(file))
    author = author or getpass.getuser()
    return _ask(
        access, lambda client: _apply(client, text, document, expect, author, note)
    )


async def _apply(
    client: OperatorClient,
    text: str,
    document: Any,
    expect: int | None,
    author: str,
    note: str,
) -> int:
    current = await client.config()
    if isinstance(current, Failure):
        return _failed(current)
    base = base_number(text) if expect is None else expect
    expected_number = current.number if base is None else base
    in_force = parse_document(current.ini, f"revision {current.number}")
    changes = difference(in_force, document)
    print(f"against revision {current.number}:\n{difference_text(changes)}")
    if not changes and expected_number == current.number:
        return ExitCode.OK
    answer = await client.apply(
        text, expected_number=expected_number, author=author, note=note
    )
    if isinstance(answer, ConflictBody):
        print(conflict_text(answer), file=sys.stderr)
        return ExitCode.FAILED
    if isinstance(answer, InvalidBody):
        print("\n".join(str(one) for one in answer.problems), file=sys.stderr)
        return ExitCode.USAGE
    if isinstance(answer, Failure):
        return _failed(answer)
    print(f"applied as revision {answer.number}, change token {answer.change_token}")
    return ExitCode.OK


@config.command
def show(number: int | None = None, *, access: Access = Access()) -> int:
    """Print the configuration in force, or a kept revision, as INI.

    Parameters
    ----------
    number
        Which revision.
    """
    return _print(access, lambda client: client.config(number), lambda one: one.ini)


@config.command
def history(*, limit: int = 20, access: Access = Access()) -> int:
    """List the last revisions, newest first.

    Parameters
    ----------
    limit
        How many, from 1 to 500.
    """
    if not 1 <= limit <= HISTORY_MAX:
        raise UsageError(f"--limit {limit}: expected 1 to {HISTORY_MAX}")
    return _print(access, lambda client: client.history(limit), history_text)


@config.command(name="status")
def config_status(*, access: Access = Access()) -> int:
    """Say in which entry instances the newest revision is in force."""
    return _print(access, lambda client: client.config_status(), config_status_text)


@app.command
def status(*, access: Access = Access()) -> int:
    """Show instances, endpoints, versions on their way and control duties."""
    return _print(access, lambda client: client.status(), status_text)


@app.command
def explain(request_id: str, *, access: Access = Access()) -> int:
    """Show what was decided about a request, and from what.

    Parameters
    ----------
    request_id
        As named in the answer to the caller.
    """
    return _print(access, lambda client: client.explain(request_id), explain_text)


def _print(
    access: Access,
    ask: Callable[[OperatorClient], Awaitable[T | Failure]],
    text: Callable[[T], str],
) -> int:
    async def print_answer(client: OperatorClient) -> int:
        answer = await ask(client)
        if isinstance(answer, Failure):
            return _failed(answer)
        print(text(answer))
        return ExitCode.OK

    return _ask(access, print_answer)


def _ask(access: Access, ask: Callable[[OperatorClient], Awaitable[int]]) -> int:
    async def with_client() -> int:
        async with access.client() as client:
            return await ask(client)

    return asyncio.run(with_client())


def _failed(failure: Failure) -> int:
    print(f"monsoonpulley: {failure}", file=sys.stderr)
    if failure.reason is Reason.IN_DOUBT:
        print(
            "The change may have been applied or may still be: look for its change "
            "token in 'monsoonpulley config history'.",
            file=sys.stderr,
        )
    no_answer = failure.reason in NO_ANSWER
    return ExitCode.UNREACHABLE if no_answer else ExitCode.FAILED


def _finish(result: Any) -> int:
    """Return the exit code of a long-running command, started if it is async."""
    if inspect.iscoroutine(result):
        result = asyncio.run(result)
    return int(result or ExitCode.OK)


def main(arguments: Sequence[str]) -> int:
    """Carry out one command and return its exit code."""
    try:
        command, bound, _ = app.parse_args(
            list(arguments), print_error=False, exit_on_error=False
        )
        return int(command(*bound.args, **bound.kwargs) or ExitCode.OK)
    except SettingsError as error:
        print(error, file=sys.stderr)
    except UsageError as error:
        print(f"monsoonpulley: {error}", file=sys.stderr)
    except CycloptsError as error:
        print(f"monsoonpulley: {error}", file=sys.stderr)
        print("Try 'monsoonpulley --help'.", file=sys.stderr)
    return ExitCode.USAGE


def run() -> NoReturn:
    """Carry out the command of this process and exit."""
    try:
        sys.exit(main(sys.argv[1:]))
    except KeyboardInterrupt:
        sys.exit(130)
