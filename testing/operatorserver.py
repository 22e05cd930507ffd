"""An operators' interface on a real socket, for tests of the command line."""

from __future__ import annotations

import asyncio
import random
import threading

import msgspec
from aiohttp import web

from _monsoonpulley.clock import Clock
from _monsoonpulley.config.document import Revision
from _monsoonpulley.config.ini import parse_document
from _monsoonpulley.config.store import ApplyConflict, ConfigStore
from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.inisections import InvalidFile
from _monsoonpulley.operator_wire import (
    ApplyBody,
    ConfigStatusBody,
    ConflictBody,
    EntryStatus,
    ExplainBody,
    ExplainLine,
    FailureBody,
    HistoryBody,
    InvalidBody,
    RevisionBody,
    RevisionSummary,
    RolloutStatus,
    StatusBody,
)
from testing.config.faketable import FakeTable, TableClient

CREDENTIAL = "operators' credential"


class OperatorServer:
    """Serves a store on a fake table from a thread of its own.

    ``lost_answers`` is how many answers to PUT are cut off after the change
    was carried out; ``before_apply`` runs before a change is.
    """

    def __init__(self) -> None:
        self.lost_answers = 0
        self.before_apply = None
        self.puts: list[ApplyBody] = []
        self.table = FakeTable()
        clock = Clock.from_system()
        client = TableClient(self.table, clock, random.Random(1))
        self.store = ConfigStore(client, clock, random.Random(2))
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def __enter__(self) -> OperatorServer:
        self._thread.start()
        self.run(self._start())
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.run(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    async def _start(self) -> None:
        app = web.Application()
        app.router.add_put("/operator/config", self._apply)
        app.router.add_get("/operator/config", self._config)
        app.router.add_get("/operator/config/history", self._history)
        app.router.add_get("/operator/config/status", self._config_status)
        app.router.add_get("/operator/status", self._status)
        app.router.add_get("/operator/explain/{request_id}", self._explain)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"

    def _answer(self, request, body, status=200):
        if request.headers["Authorization"] != f"Bearer {CREDENTIAL}":
            status = 401
            body = FailureBody(Reason.UNAUTHENTICATED, "gateway.operator")
        if isinstance(body, Failure):
            body, status = FailureBody.from_failure(body), 503
        data = msgspec.json.encode(body)
        return web.Response(body=data, status=status)

    async def _apply(self, request):
        body = msgspec.json.decode(await request.read(), type=ApplyBody)
        self.puts.append(body)
        if self.before_apply:
            await self.before_apply()
        try:
            document = parse_document(body.ini)
        except InvalidFile as error:
            return self._answer(request, InvalidBody.from_error(error), 422)
        result = await self.store.apply(
            document,
            expected_number=body.expected_number,
            author=body.author,
            note=body.note,
            change_token=body.change_token,
            merge=body.merge,
            repeated=body.repeated,
        )
        if self.lost_answers:
            self.lost_answers -= 1
            request.transport.abort()
            return web.Response()
        if isinstance(result, Revision):
            return self._answer(request, RevisionBody.from_revision(result))
        if isinstance(result, ApplyConflict):
            return self._answer(request, ConflictBody.from_conflict(result), 409)
        return self._answer(request, result)

    async def _config(self, request):
        number = request.query.get("number")
        if number is None:
            revision = await self.store.head()
        else:
            revision = await self.store.show(int(number))
            if revision is None:
                body = FailureBody(Reason.NOT_FOUND, "config.show", "", number)
                return self._answer(request, body, 404)
        if isinstance(revision, Failure):
            return self._answer(request, revision)
        return self._answer(request, RevisionBody.from_revision(revision))

    async def _history(self, request):
        revisions = await self.store.history(int(request.query["limit"]))
        summaries = tuple(RevisionSummary.from_revision(one) for one in revisions)
        return self._answer(request, HistoryBody(summaries))

    async def _config_status(self, request):
        entries = (
            EntryStatus("e1", "z1", "live", 2, "t2", 0),
            EntryStatus("e2", "z2", "live", 1, "t1", 900),
        )
        return self._answer(request, ConfigStatusBody(2, "t2", entries))

    async def _status(self, request):
        rollouts = (RolloutStatus("pool", "v2", "ramp", 1_796_378_400_000, "3 of 10"),)
        return self._answer(request, StatusBody("e1", "z1", 2, rollouts=rollouts))

    async def _explain(self, request):
        request_id = request.match_info["request_id"]
        line = ExplainLine(1_796_378_400_000, "e1", "routed", {"endpoint": "w1"})
        return self._answer(request, ExplainBody(request_id, (line,)))
