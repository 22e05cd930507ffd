"""Play sessions on manual time and record their lines."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from _monsoonpulley.ids import InstanceId
from _monsoonpulley.registry import Registry
from _monsoonpulley.standins.caller import CallerResponse
from _monsoonpulley.standins.manualloop import run_manual
from _monsoonpulley.standins.world import Deployment, World

from .deployments import credential_of

RECORDED = Path(__file__).parent / "recorded"
MAX_WHOLE_BODY_BYTES = 400


class Session:
    """A session in progress: its world, callers and recorded lines."""

    def __init__(self, deployment: Deployment, seed: int):
        self.lines: list[str] = []
        self.world = World(deployment, seed, self.lines.append)
        self._callers: set[asyncio.Task] = set()

    def record_event(self, event: str, **fields) -> None:
        """Record an event of the session itself as a JSON line."""
        line = {"wall_ms": self.world.clock.wall_ms(), "event": event, **fields}
        self.lines.append(msgspec.json.encode(line, enc_hook=str).decode())

    async def sleep_ms(self, duration_ms: int) -> None:
        """Advance manual time."""
        await self.world.clock.sleep_ms(duration_ms)

    def post(
        self, entry: str, customer: str, path: str, body: dict, key: str = ""
    ) -> asyncio.Task[CallerResponse]:
        """Send a request of a customer and record its answer."""
        headers = {"idempotency-key": f'"{key}"'} if key else {}
        request = self._request(entry, customer, path, body, headers)
        task = asyncio.create_task(request)
        self._callers.add(task)
        return task

    def stream(
        self, entry: str, customer: str, class_id: str, prompt: str, tokens: int
    ) -> asyncio.Task[CallerResponse]:
        """Send a customer's request for a streamed chat completion."""
        message = {"role": "user", "content": prompt}
        body = {"model": class_id, "messages": [message], "max_tokens": tokens}
        body["stream"] = True
        return self.post(entry, customer, "/v1/chat/completions", body)

    def resume(
        self, entry: str, customer: str, event_id: str
    ) -> asyncio.Task[CallerResponse]:
        """Resume a customer's stream after the given event."""
        request_id = event_id.rpartition(":")[0]
        path = f"/v1/streams/{request_id}"
        headers = {"last-event-id": event_id}
        request = self._request(entry, customer, path, None, headers, "GET")
        task = asyncio.create_task(request)
        self._callers.add(task)
        return task

    async def drain(self, entry: str) -> None:
        """Drain an entry instance once it is leaving, as its process does."""
        instance = self.world.entries[InstanceId(entry)].instance
        await instance.lifecycle.wait_leaving()
        await self.world.processes.start(entry, instance.drain())

    async def wait_for_answers(self) -> None:
        """Wait until all requests are answered."""
        while pending_tasks := [task for task in self._callers if not task.done()]:
            await asyncio.wait(pending_tasks)

    def record_summary(self) -> None:
        """Record the executions and token counts at the endpoints."""
        engines = self.world.engines.values()
        self.record_event(
            "session_summary",
            most_executions_of_a_key=self.world.ledger.max_count(),
            generated_tokens=sum(e.counters.generated_tokens for e in engines),
            recomputed_tokens=sum(e.counters.recomputed_prompt_tokens for e in engines),
            answers=len(self._callers),
        )

    async def _request(
        self,
        entry: str,
        customer: str,
        path: str,
        body: dict | None,
        headers: dict,
        method: str = "POST",
    ) -> CallerResponse:
        caller = self.world.caller(InstanceId(entry), credential_of(customer))
        self.record_event("caller_sends", entry=entry, customer=customer, path=path)
        started_ms = self.world.clock.now_ms()
        if body is None:
            response = await caller.request(method, path, b"", headers)
        else:
            response = await caller.post_json(path, body, headers)
        self.record_event(
            "caller_gets",
            entry=entry,
            customer=customer,
            path=path,
            status=response.status,
            headers=response.headers,
            body=_body_text(response.body),
            complete=response.is_complete,
            took_ms=self.world.clock.now_ms() - started_ms,
        )
        return response


class SessionPlan(msgspec.Struct, frozen=True):
    """A recorded session: its deployment, seed and script."""

    name: str
    deployment: Callable[[], Deployment]
    seed: int
    script: Callable[[Session], Awaitable[None]]

    def path(self) -> Path:
        """Return the path of the recording."""
        return RECORDED / f"{self.name}.jsonl"

    def play(self) -> list[str]:
        """Play the session and return its recorded lines."""

        async def main() -> list[str]:
            session = Session(self.deployment(), self.seed)
            await session.world.start()
            try:
                await self.script(session)
                await session.wait_for_answers()
                session.record_summary()
            finally:
                await session.world.stop()
            return session.lines

        return run_manual(main())


plans: Registry[SessionPlan] = Registry("session")


def session(name: str, deployment: Callable[[], Deployment], seed: int):
    """Return a decorator that registers a script as the session ``name``."""

    def add(script: Callable[[Session], Awaitable[None]]):
        plans.register(name)(SessionPlan(name, deployment, seed, script))
        return script

    return add


def _body_text(body: bytes) -> str:
    """Return a short body in full, a long one as its size, hash and end."""
    text = body.decode(errors="replace")
    if len(body) <= MAX_WHOLE_BODY_BYTES:
        return text
    digest = hashlib.sha256(body).hexdigest()[:16]
    return f"{len(body)} bytes, sha256 {digest}, ends {text[-200:]!r}"
