"""Commands of ``monsoonpulley COMMAND``.

Exit codes: 0 success, 1 refused or failed, 2 wrong usage or invalid file,
3 no answer from the entry instance or from the platform behind it.
"""

from __future__ import annotations

import asyncio
import getpass
import inspect
import sys
from collections.abc import Sequence
from itertools import chain
from pathlib import Path
from typing import Any, NoReturn

from cyclopts import App, CycloptsError

from ..config.difference import diff_documents
from ..config.ini import parse_base_number, parse_document
from ..errors import Failure, Reason, SettingsError
from ..observability.logsummary import summarize_lines
from ..operator_wire import (
    MAX_HISTORY_REVISIONS,
    ConflictBody,
    InvalidBody,
    RevisionBody,
)
from ..placement_wire import PlacementQuery
from ..settings.process import Settings, read_text
from .access import (
    FROM_ENVIRONMENT,
    Access,
    ExitCode,
    UsageError,
    print_answer,
    print_failure,
    run_with_client,
)
from .explanation import explain_json, explain_text, missing_text
from .operatorclient import ApplyAnswer, OperatorClient
from .output import (
    config_status_text,
    conflict_text,
    difference_text,
    history_text,
    log_summary_text,
    rollout_history_text,
    rollout_status_text,
    status_details_text,
    status_text,
)
from .placement import (
    INGRESS_FROM_ENVIRONMENT,
    IngressAccess,
    fetch_explanation,
    placement_json,
    placement_text,
)

app = App(
    name="monsoonpulley",
    help="Serve callers' requests on reclaimable machines, and operate the system.",
)
config = App(name="config", help="Check, apply and show the configuration.")
app.command(config)
rollout = App(name="rollout", help="Show how versions are rolled out or rolled back.")
app.command(rollout)
explain = App(name="explain", help="Show decisions, and where a request would go.")
app.command(explain)


@app.command
def entry(*, settings: Path) -> int:
    """Run an entry instance until it is stopped.

    Parameters
    ----------
    settings
        INI file with the settings of this process.
    """
    process_settings = Settings.from_file(settings)
    from ..entry.daemon import run_entry

    return _run_to_exit_code(run_entry(process_settings))


@app.command
def demo() -> int:
    """Run the whole system with stand-ins on this machine and check its promises."""
    from ..demo import run_demo

    return _run_to_exit_code(run_demo())


@app.command
def standin(*, plan: Path) -> int:
    """Serve stand-ins of the platform and of endpoints, for trials.

    Prints the name and address of each server, then serves until it is stopped.

    Parameters
    ----------
    plan
        INI file that lists what to serve.
    """
    from ..standins.plan import StandinPlan
    from ..standins.serve import run_standin

    return _run_to_exit_code(
        run_standin(StandinPlan.from_text(read_text(plan), str(plan)))
    )


@app.command
def logs(*files: Path, interval_s: float = 2.0) -> int:
    """Summarize log files of ingress instances by interval.

    Parameters
    ----------
    files
        Files with the instances' JSON lines; none: standard input.
    interval_s
        Length of an interval.
    """
    if interval_s <= 0:
        raise UsageError(f"--interval-s {interval_s}: expected more than 0")
    texts = (
        chain.from_iterable(read_text(file).splitlines() for file in files)
        if files
        else sys.stdin
    )
    print(log_summary_text(summarize_lines(texts, round(interval_s * 1000))))
    return ExitCode.OK


@config.command
def check(file: Path) -> int:
    """Check a configuration file without connecting to the system.

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
    exact: bool = False,
    author: str = "",
    note: str = "",
    access: Access = FROM_ENVIRONMENT,
) -> int:
    """Put a configuration file in force.

    Later changes by others are merged if they touch other sections; otherwise
    the file is refused.

    Parameters
    ----------
    file
        INI file with the whole configuration.
    expect
        Revision that the file is based on. Without it, the revision named by
        the file's own "# based on revision N" line, else the one in force.
    exact
        Refuse the file if a later revision is in force, instead of merging.
    author
        Who makes the change; your login name by default.
    note
        Why, for the history.
    """
    text = read_text(file)
    document = parse_document(text, str(file))
    author = author or getpass.getuser()
    base = parse_base_number(text) if expect is None else expect

    async def apply_with(client: OperatorClient) -> int:
        revision = await _fetch_base_revision(client, base)
        if isinstance(revision, Failure):
            return print_failure(revision)
        before = parse_document(revision.ini, f"revision {revision.number}")
        changes = diff_documents(before, document)
        print(f"against revision {revision.number}:\n{difference_text(changes)}")
        if not changes:
            return ExitCode.OK
        expected_number = revision.number if base is None else base
        answer = await client.apply(
            text,
            expected_number=expected_number,
            author=author,
            note=note,
            merge=not exact,
        )
        return _print_apply_answer(answer, expected_number)

    return run_with_client(access, apply_with)


async def _fetch_base_revision(
    client: OperatorClient, number: int | None
) -> RevisionBody | Failure:
    """Return the revision a file is based on, or the one in force if it isn't kept."""
    if number == 0:
        return RevisionBody.from_revision(None)
    revision = await client.config(number)
    if isinstance(revision, Failure) and revision.reason is Reason.NOT_FOUND:
        return await client.config()
    return revision


def _print_apply_answer(answer: ApplyAnswer, expected_number: int) -> int:
    if isinstance(answer, ConflictBody):
        print(conflict_text(answer), file=sys.stderr)
        return ExitCode.FAILED
    if isinstance(answer, InvalidBody):
        print("\n".join(str(problem) for problem in answer.problems), file=sys.stderr)
        return ExitCode.USAGE
    if isinstance(answer, Failure):
        return print_failure(answer)
    merged = ""
    if answer.number > expected_number + 1:
        merged = f", merged with the changes since revision {expected_number}"
    print(f"applied as revision {answer.number}{merged}")
    print(f"change token {answer.change_token}")
    return ExitCode.OK


@config.command
def show(number: int | None = None, *, access: Access = FROM_ENVIRONMENT) -> int:
    """Print the configuration in force, or a kept revision, as INI.

    Parameters
    ----------
    number
        Which revision.
    """
    return print_answer(
        access, lambda client: client.config(number), lambda revision: revision.ini
    )


@config.command
def history(*, limit: int = 20, access: Access = FROM_ENVIRONMENT) -> int:
    """List the last revisions, newest first.

    Parameters
    ----------
    limit
        How many, from 1 to 500.
    """
    if not 1 <= limit <= MAX_HISTORY_REVISIONS:
        raise UsageError(f"--limit {limit}: expected 1 to {MAX_HISTORY_REVISIONS}")
    return print_answer(access, lambda client: client.history(limit), history_text)


@config.command(name="status")
def config_status(*, access: Access = FROM_ENVIRONMENT) -> int:
    """Show in which entry instances the newest revision is in force."""
    return print_answer(
        access, lambda client: client.config_status(), config_status_text
    )


@app.command
def status(*, details: bool = False, access: Access = FROM_ENVIRONMENT) -> int:
    """Show instances, endpoints by version, and versions being rolled out.

    Parameters
    ----------
    details
        Show each endpoint and each control duty.
    """
    text = status_details_text if details else status_text
    return print_answer(access, lambda client: client.status(), text)


@rollout.command(name="status")
def rollout_status(*, access: Access = FROM_ENVIRONMENT) -> int:
    """Show the state of each version with a deadline, and the reason."""
    return print_answer(access, lambda client: client.rollouts(), rollout_status_text)


@rollout.command(name="history")
def rollout_history(*, access: Access = FROM_ENVIRONMENT) -> int:
    """List the state changes of each version, oldest first."""
    return print_answer(access, lambda client: client.rollouts(), rollout_history_text)


@explain.default
def explain_subject(
    subject: str, *, json: bool = False, access: Access = FROM_ENVIRONMENT
) -> int:
    """Show the decisions about a subject, with their rules and inputs.

    All entry instances are asked; standard error names those that do not answer.

    Parameters
    ----------
    subject
        A request's id, as named in the answer to the caller;
        rollout:SERVICE/VERSION; instance:NAME, also for endpoints; duty:NAME;
        or config.
    json
        Print the log lines as they are.
    """

    async def explain_with(client: OperatorClient) -> int:
        answer = await client.explain(subject)
        if isinstance(answer, Failure):
            return print_failure(answer)
        print(explain_json(answer) if json else explain_text(answer))
        if answer.missing:
            print(missing_text(answer), file=sys.stderr)
        return ExitCode.OK

    return run_with_client(access, explain_with)


@explain.command
def place(
    *,
    host: str,
    path: str = "/",
    method: str = "POST",
    customer: str = "",
    prompt_tokens: int | None = None,
    max_output_tokens: int | None = None,
    prompt_prefix: str = "",
    length_hint: int | None = None,
    deadline_ms: int | None = None,
    body: Path | None = None,
    json: bool = False,
    access: IngressAccess = INGRESS_FROM_ENVIRONMENT,
) -> int:
    """Show where a request would go now and why, without sending it.

    The instance that is asked decides as on a real request. It charges no quota and
    counts nothing.

    Parameters
    ----------
    host
        Host header of the request.
    path
        Its path and query.
    method
        Its method.
    customer
        Name of the customer whose key it has; without it, it has none.
    prompt_tokens
        Tokens of the prompt.
    max_output_tokens
        Largest number of tokens to generate.
    prompt_prefix
        Parts of the prompt, as ID:TOKENS,ID:TOKENS.
    length_hint
        The caller's estimate of the tokens to generate.
    deadline_ms
        How long the caller waits.
    body
        File with the body, which matters only to the quarantine.
    json
        Print the explanation as JSON.
    """
    query = PlacementQuery(
        host=host,
        path=path,
        method=method,
        customer=customer,
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        prompt_prefix=prompt_prefix,
        length_hint=length_hint,
        deadline_ms=deadline_ms,
        body=_read_body(body),
    )
    explanation = asyncio.run(fetch_explanation(access.url(), query))
    if isinstance(explanation, Failure):
        return print_failure(explanation)
    print(placement_json(explanation) if json else placement_text(explanation))
    return ExitCode.OK


def _read_body(file: Path | None) -> bytes:
    if file is None:
        return b""
    try:
        return file.read_bytes()
    except OSError as error:
        raise UsageError(f"--body {file}: can't be read: {error.strerror}") from error


def _run_to_exit_code(result: Any) -> int:
    """Return a command's exit code; run the command first if it is a coroutine."""
    if inspect.iscoroutine(result):
        result = asyncio.run(result)
    return int(result or ExitCode.OK)


def main(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code."""
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
    """Run the command given to this process and exit."""
    try:
        sys.exit(main(sys.argv[1:]))
    except KeyboardInterrupt:
        sys.exit(130)
