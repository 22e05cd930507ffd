"""Operators' interface on a real socket, for tests of its clients."""

from __future__ import annotations

import asyncio
import random
import threading

import msgspec
from starlette.applications import Starlette

from _monsoonpulley.clock import Clock
from _monsoonpulley.config.store import ConfigStore
from _monsoonpulley.config.watcher import ConfigWatcher
from _monsoonpulley.entry.httpserver import HttpServer
from _monsoonpulley.gateway.credentials import credential_sha256
from _monsoonpulley.gateway.operator import OperatorHandlers
from _monsoonpulley.observability.log import Log
from _monsoonpulley.operator_wire import (
    ApplyBody,
    ConfigStatusBody,
    DutyStatus,
    EndpointStatus,
    EntryStatus,
    ExplainBody,
    ExplainLine,
    RolloutsBody,
    RolloutStatus,
    RolloutStepStatus,
    StatusBody,
)
from testing.config.faketable import FakeTable, TableClient

CREDENTIAL = "operators' credential"


class FixedOverview:
    """Fixed answers of the instance behind the interface."""

    def config_status(self):
        entries = (
            EntryStatus("e1", "z1", "live", 2, "t2", 0),
            EntryStatus("e2", "z2", "live", 1, "t1", 900),
        )
        return ConfigStatusBody(2, "t2", entries)

    def status(self):
        rollouts = (RolloutStatus("pool", "v2", "ramp", 1_796_378_400_000, "3 of 10"),)
        endpoints = (
            EndpointStatus("w1", "z1", "pool", "v1", "live", 3),
            EndpointStatus("w2", "z2", "pool", "v1", "leaving", 1),
            EndpointStatus("w3", "z2", "pool", "v2", "live"),
        )
        duties = (
            DutyStatus("recovery/0", "e1", 4),
            DutyStatus("recovery/1", "e1", 2),
            DutyStatus("collection/0", "", 7),
        )
        entries = self.config_status().entries
        return StatusBody("e1", "z1", 2, entries, endpoints, rollouts, duties)

    def rollouts(self):
        step = RolloutStepStatus("canary", 0.03, 1_796_378_300_000, "its turn")
        rollout = RolloutStatus(
            "pool", "v2", "ramp", 1_796_378_400_000, "3 of 10", 0.2, 1, (step,)
        )
        return RolloutsBody("e1", (rollout,))

    def explain_local(self, subject):
        line = ExplainLine(1_796_378_400_000, "e1", "routed", {"endpoint": "w1"})
        return ExplainBody(subject, (line,))

    async def explain(self, subject, authorization):
        return self.explain_local(subject)


class OperatorServer:
    """Server of a configuration store on a fake table, in its own thread.

    ``lost_answer_count`` is the number of answers to PUT whose connection breaks
    after the change was applied; ``before_apply`` is awaited before each change.
    """

    def __init__(self) -> None:
        self.lost_answer_count = 0
        self.before_apply = None
        self.received_bodies: list[ApplyBody] = []
        self.table = FakeTable()
        clock = Clock.from_system()
        client = TableClient(self.table, clock, random.Random(1))
        self.store = ConfigStore(client, clock, random.Random(2))
        self._clock = clock
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def __enter__(self) -> OperatorServer:
        self._thread.start()
        self.run(self._start())
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.run(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    async def _start(self) -> None:
        log = Log(self._clock, lambda line: None)
        rng = random.Random(3)
        watcher = ConfigWatcher(self.store, self._clock, rng, log, lambda: True)
        handlers = OperatorHandlers(
            credential_sha256(CREDENTIAL), self.store, watcher, FixedOverview()
        )
        self._app = Starlette(routes=handlers.routes())
        self._server = HttpServer(self._serve, "127.0.0.1", 0)
        self._server_task = asyncio.ensure_future(self._server.run())
        self.url = f"http://127.0.0.1:{self._server.port}"

    async def _stop(self) -> None:
        self._server.force_exit = True
        self._server.stop()
        await self._server_task

    async def _serve(self, scope, receive, send) -> None:
        if scope["method"] != "PUT":
            await self._app(scope, receive, send)
            return
        message = await receive()
        self.received_bodies.append(
            msgspec.json.decode(message["body"], type=ApplyBody)
        )
        if self.before_apply:
            await self.before_apply()
        answer = []

        async def receive_message() -> dict:
            return message

        async def capture(part) -> None:
            answer.append(part)

        await self._app(scope, receive_message, capture)
        if self.lost_answer_count:
            self.lost_answer_count -= 1
            # An answer that ends after its headers breaks the connection.
            await send(answer[0])
            raise ConnectionResetError
        for part in answer:
            await send(part)
