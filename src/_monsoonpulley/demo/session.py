"""The demo's session: what is sent, what happened, whether promises held."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from ..ids import EndpointId, InstanceId
from ..standins.generated_text import generate_words
from .calls import REQUEST_TIMEOUT_S, Answer, DemoCaller, Streamed
from .deployment import BENCH, DESK, DemoDeployment

REPORT_PROMPT = "condition report on the gilded frame of the harbour view " * 20
REPORT_TOKENS = 600
RECLAIM_NOTICE_MS = 5_000
NO_NEW_WORK_MS = 3_000
QUESTION_TARGET_MS = 800
QUESTIONS = (
    "which bole under water gilding",
    "how thin should the gesso be",
    "does leaf take over fresh size",
)


class Promise(msgspec.Struct, frozen=True):
    """One promise, whether it held, and what was seen."""

    text: str
    held: bool
    seen: str


class DemoSession:
    """One run of the session."""

    def __init__(self, deployment: DemoDeployment, http: aiohttp.ClientSession):
        self._deployment = deployment
        self._http = http
        self.promises: list[Promise] = []
        self._open_entries = ["entry-1", "entry-2", "entry-3"]

    async def run(self) -> None:
        """Play the session and check each promise."""
        _say("a long report is streamed through entry-1")
        begun = asyncio.Event()
        report = asyncio.create_task(
            self._bench("entry-1").stream(
                "condition-report", REPORT_PROMPT, REPORT_TOKENS, begun
            )
        )
        await begun.wait()
        victim = self._endpoint_of_last_route()
        _say(f"{victim} writes it and is reclaimed with {RECLAIM_NOTICE_MS} ms notice")
        self._deployment.standins.platform.cloud.reclaim(victim, RECLAIM_NOTICE_MS)
        answers, tags = await asyncio.gather(self._ask_questions(), self._sort())
        orders = await self._book_twice()
        _say("entry-2 is told to stop while it answers one more question")
        last = await self._stop_entry()
        await self._deployment.clock.sleep_ms(NO_NEW_WORK_MS)
        starts = self._starts_at(victim)
        _say(f"{NO_NEW_WORK_MS} ms after the notice more tags come")
        tags += await self._sort()
        late_starts = self._starts_at(victim) - starts
        streamed = await report
        self._check_report(streamed, victim)
        self._check_answers(answers, tags)
        self._check_orders(orders)
        self._check_stop(last)
        self._note(
            f"a leaving endpoint gets no new work after {NO_NEW_WORK_MS} ms",
            late_starts == 0,
            f"{late_starts} requests started at {victim}",
        )

    def _bench(self, instance: str) -> DemoCaller:
        return self._caller(instance, BENCH)

    def _caller(self, instance: str, credential: str) -> DemoCaller:
        url = self._deployment.url(InstanceId(instance))
        return DemoCaller(self._http, url, credential, self._deployment.clock)

    async def _ask_questions(self) -> list[Answer]:
        _say(f"{len(QUESTIONS)} quick questions and 6 tags come meanwhile")
        return await asyncio.gather(
            *(
                self._bench(self._any_entry(number)).ask("bench-question", text, 8)
                for number, text in enumerate(QUESTIONS)
            )
        )

    async def _sort(self) -> list[Answer]:
        return await asyncio.gather(
            *(
                self._bench(self._any_entry(number)).ask(
                    "frame-tag", f"sort frame number {number}", 2
                )
                for number in range(6)
            )
        )

    async def _book_twice(self) -> list[Answer]:
        _say("a work order is submitted at entry-2 and, doubled, at entry-3")
        return await asyncio.gather(
            *(
                self._caller(name, DESK).post(
                    "/services/work-order/orders", {"frame": 4711}, "order-4711"
                )
                for name in ("entry-2", "entry-3")
            )
        )

    async def _stop_entry(self) -> Answer:
        asking = asyncio.create_task(
            self._bench("entry-2").ask("frame-tag", "one more frame", 20)
        )
        await asyncio.sleep(0.05)
        self._open_entries.remove("entry-2")
        self._deployment.daemons[InstanceId("entry-2")].leave("demo")
        return await asking

    def _any_entry(self, number: int) -> str:
        """Return an entry instance, as a balancer would in turn."""
        return self._open_entries[number % len(self._open_entries)]

    def _starts_at(self, endpoint: EndpointId) -> int:
        engine = self._deployment.standins.engines[endpoint]
        return engine.counters.starts_while_leaving

    def _endpoint_of_last_route(self) -> EndpointId:
        for line in reversed(self._deployment.lines):
            fields = msgspec.json.decode(line)
            if fields["event"] == "route":
                return EndpointId(fields["chosen"])
        raise RuntimeError("no routing decision was logged")

    def _check_report(self, streamed: Streamed, victim: EndpointId) -> None:
        expected = " ".join(generate_words(REPORT_PROMPT.split(), REPORT_TOKENS))
        whole = streamed.done and streamed.text.strip() == expected
        once = streamed.offsets == list(range(REPORT_TOKENS))
        self._note(
            "the report is whole, each token once and in order",
            whole and once,
            f"{len(streamed.offsets)} of {REPORT_TOKENS} tokens, {victim} lost",
        )

    def _check_answers(self, answers: list[Answer], tags: list[Answer]) -> None:
        slowest_ms = max(answer.took_ms for answer in answers)
        self._note(
            f"quick questions are answered within {QUESTION_TARGET_MS} ms",
            _all_done(answers) and slowest_ms <= QUESTION_TARGET_MS,
            f"slowest {slowest_ms} ms",
        )
        statuses = sorted({tag.status for tag in tags})
        self._note("every tag is answered", _all_done(tags), f"statuses {statuses}")

    def _check_orders(self, orders: list[Answer]) -> None:
        ran = self._deployment.standins.ledger.max_count()
        same = len({order.body for order in orders}) == 1
        self._note(
            "a doubled work order runs once and both callers get its answer",
            ran == 1 and same and _all_done(orders),
            f"ran {ran} time(s)",
        )

    def _check_stop(self, last: Answer) -> None:
        daemon = self._deployment.daemons[InstanceId("entry-2")]
        self._note(
            "a planned stop cuts off no request in progress",
            last.outcome == "done",
            f"{last.outcome}; entry-2 is {daemon.instance.lifecycle.phase.value}",
        )

    def _note(self, text: str, held: bool, seen: str) -> None:
        self.promises.append(Promise(text, held, seen))


def _all_done(answers: list[Answer]) -> bool:
    return all(a.status == 200 and a.outcome == "done" for a in answers)


def _say(text: str) -> None:
    print(f"- {text}", flush=True)


async def run_demo() -> int:
    """Play the session; 0 if every promise held, else 1."""
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    print("platform, 2 engines, 1 plain service and 3 entry instances, one loop")
    async with DemoDeployment() as deployment:
        async with aiohttp.ClientSession(timeout=timeout) as http:
            session = DemoSession(deployment, http)
            await session.run()
    print()
    for promise in session.promises:
        mark = "held  " if promise.held else "BROKEN"
        print(f"{mark}  {promise.text} ({promise.seen})")
    return 0 if all(promise.held for promise in session.promises) else 1
