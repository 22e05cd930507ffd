"""Tasks grouped by instance, so that a test can kill one instance alone."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextvars import ContextVar
from typing import Any

from starlette.types import ASGIApp, Receive, Scope, Send

_owner: ContextVar[str] = ContextVar("owner", default="")


class Processes:
    """Tasks grouped by the instance that owns them.

    The instances of a test share one loop. A task that a task creates belongs
    to the same instance.
    """

    def __init__(self) -> None:
        # Dicts, not sets: they keep the order of starts, so that kills are repeatable.
        self._tasks_by_owner: dict[str, dict[asyncio.Task, None]] = {}

    def install_task_factory(self) -> None:
        """Record the owner of each task that the running loop creates from now on."""
        asyncio.get_running_loop().set_task_factory(self._make_task)

    def start(self, owner: str, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task that belongs to the instance ``owner``."""
        token = _owner.set(owner)
        try:
            return asyncio.create_task(work, name=owner)
        finally:
            _owner.reset(token)

    def kill(self, owner: str) -> None:
        """Cancel every task of an instance."""
        for task in list(self._tasks_by_owner.pop(owner, ())):
            task.cancel()

    def wrap_application(self, owner: str, app: ASGIApp) -> ASGIApp:
        """Return an application that runs ``app`` in tasks of ``owner``.

        When the owner is killed, open calls raise `ConnectionResetError`.
        """

        async def call(scope: Scope, receive: Receive, send: Send) -> None:
            task = self.start(owner, app(scope, receive, send))
            try:
                await asyncio.wait({task})
            finally:
                task.cancel()
            if task.cancelled():
                raise ConnectionResetError(f"{owner} was killed")
            task.result()

        return call

    def _make_task(
        self,
        loop: asyncio.AbstractEventLoop,
        coro: Coroutine[Any, Any, Any],
        **options: Any,
    ) -> asyncio.Task:
        task = asyncio.Task(coro, loop=loop, **options)
        owner = _owner.get()
        if owner:
            tasks = self._tasks_by_owner.setdefault(owner, {})
            tasks[task] = None
            task.add_done_callback(lambda ended: tasks.pop(ended, None))
        return task
