"""Supervisors: trees of tasks that are restarted when they fail."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

from .clock import Clock
from .observability.log import Log

INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 10_000
BACKOFF_RESET_MS = 30_000
"""A task that ran at least this long restarts with the initial backoff."""


class Restart(Enum):
    """When a task that ended is restarted."""

    ALWAYS = "always"
    ON_FAILURE = "on_failure"


class ChildSpec(msgspec.Struct, frozen=True):
    """One supervised task; ``run`` returns a new coroutine for each start."""

    name: str
    run: Callable[[], Awaitable[None]]
    restart: Restart = Restart.ALWAYS


class ChildStatus(msgspec.Struct):
    """Starts of a child and its last error, empty if it never failed."""

    name: str
    starts: int = 0
    last_error: str = ""


class Supervisor:
    """Runs children, each in a task, and restarts those that fail.

    Supervisors nest: the `run` of one can be a child of another. The failure of
    a child does not affect its siblings.

    Parameters
    ----------
    name : str
        Name written in each log line.
    clock, log, rng : Clock, Log, random.Random
        ``rng`` spreads the backoff.
    """

    def __init__(self, name: str, clock: Clock, log: Log, rng: random.Random):
        self._name = name
        self._clock = clock
        self._log = log
        self._rng = rng
        self._specs: list[ChildSpec] = []
        self._status_by_name: dict[str, ChildStatus] = {}

    def add(
        self,
        name: str,
        run: Callable[[], Awaitable[None]],
        restart: Restart = Restart.ALWAYS,
    ) -> None:
        """Add a child; must be called before `run`."""
        if name in self._status_by_name:
            raise ValueError(f"supervisor {self._name} has a child {name!r} already")
        self._specs.append(ChildSpec(name, run, restart))
        self._status_by_name[name] = ChildStatus(name)

    def status(self) -> list[ChildStatus]:
        """Return the status of each child."""
        return list(self._status_by_name.values())

    async def run(self) -> None:
        """Run all children until cancelled or until none is restarted any more."""
        async with asyncio.TaskGroup() as group:
            for spec in self._specs:
                group.create_task(
                    self._run_with_restarts(spec), name=f"{self._name}/{spec.name}"
                )

    async def _run_with_restarts(self, spec: ChildSpec) -> None:
        status = self._status_by_name[spec.name]
        backoff_ms = INITIAL_BACKOFF_MS
        while True:
            started_ms = self._clock.now_ms()
            status.starts += 1
            error = await self._run_once(spec)
            if not error and spec.restart is Restart.ON_FAILURE:
                return
            status.last_error = error
            ran_ms = self._clock.now_ms() - started_ms
            if ran_ms >= BACKOFF_RESET_MS:
                backoff_ms = INITIAL_BACKOFF_MS
            wait_ms = round(backoff_ms * self._rng.uniform(0.5, 1.0))
            self._log.event(
                "task_restarted",
                supervisor=self._name,
                task=spec.name,
                error=error or "returned without an error",
                ran_ms=ran_ms,
                backoff_ms=wait_ms,
                starts=status.starts,
            )
            await self._clock.sleep_ms(wait_ms)
            backoff_ms = min(backoff_ms * 2, MAX_BACKOFF_MS)

    @staticmethod
    async def _run_once(spec: ChildSpec) -> str:
        """Run the child once and return its error, or an empty string."""
        try:
            await spec.run()
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            return "CancelledError: raised by the task itself"
        except Exception as error:
            return f"{type(error).__name__}: {error}"
        return ""
