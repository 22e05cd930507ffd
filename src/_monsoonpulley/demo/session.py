"""Session of the demo: sends requests and checks the system's promises."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from ..ids import EndpointId, InstanceId
from ..standins.generated_text import generate_words
from .calls import REQUEST_TIMEOUT_S, Answer, DemoCaller, StreamedAnswer
from .deployment import BENCH_CREDENTIAL, DESK_CREDENTIAL, DemoDeployment

REPORT_PROMPT = "condition report on the gilded frame of the harbour view " * 20
REPORT_TOKENS = 600
RECLAIM_NOTICE_MS = 5_000
NO_NEW_WORK_AFTER_MS = 3_000
QUESTION_TARGET_MS = 800
QUESTIONS = (
    "which bole under water gilding",
    "how thin should the gesso be",
    "does leaf take over fresh size",
)


class Promise(msgspec.Struct, frozen=True):
    """Promise of the system, whether it was kept, and what was observed."""

    text: str
    is_kept: bool
    observed: str


class DemoSession:
    """One run of the demo against a deployment."""

    def __init__(self, deployment: DemoDeployment, http: aiohttp.ClientSession):
        self._deployment = deployment
        self._http = http
        self.promises: list[Promise] = []
        self._running_entries = ["entry-1", "entry-2", "entry-3"]

    async def run(self) -> None:
        """Run the session and check each promise."""
        _print_step("a long report is streamed through entry-1")
        first_token_received = asyncio.Event()
        report = asyncio.create_task(
            self._bench_caller("entry-1").stream_chat(
                "condition-report", REPORT_PROMPT, REPORT_TOKENS, first_token_received
            )
        )
        await first_token_received.wait()
        reclaimed = self._endpoint_of_last_route()
        _print_step(
            f"{reclaimed} writes it and is reclaimed with {RECLAIM_NOTICE_MS} ms notice"
        )
        self._deployment.standins.platform.cloud.reclaim(reclaimed, RECLAIM_NOTICE_MS)
        answers, tags = await asyncio.gather(self._ask_questions(), self._send_tags())
        orders = await self._submit_order_twice()
        _print_step("entry-2 is stopped while it answers one more request")
        last_answer = await self._stop_entry()
        await self._deployment.clock.sleep_ms(NO_NEW_WORK_AFTER_MS)
        starts_before = self._starts_at(reclaimed)
        _print_step(f"{NO_NEW_WORK_AFTER_MS} ms after the notice more tags are sent")
        tags += await self._send_tags()
        late_start_count = self._starts_at(reclaimed) - starts_before
        streamed = await report
        self._check_report(streamed, reclaimed)
        self._check_answers(answers, tags)
        self._check_orders(orders)
        self._check_stop(last_answer)
        self._record_promise(
            f"a leaving endpoint gets no new work after {NO_NEW_WORK_AFTER_MS} ms",
            late_start_count == 0,
            f"{late_start_count} requests started at {reclaimed}",
        )

    def _bench_caller(self, instance: str) -> DemoCaller:
        return self._caller(instance, BENCH_CREDENTIAL)

    def _caller(self, instance: str, credential: str) -> DemoCaller:
        url = self._deployment.url(InstanceId(instance))
        return DemoCaller(self._http, url, credential, self._deployment.clock)

    async def _ask_questions(self) -> list[Answer]:
        _print_step(f"{len(QUESTIONS)} quick questions and 6 tags are sent meanwhile")
        return await asyncio.gather(
            *(
                self._bench_caller(self._entry_in_turn(number)).complete_chat(
                    "bench-question", text, 8
                )
                for number, text in enumerate(QUESTIONS)
            )
        )

    async def _send_tags(self) -> list[Answer]:
        return await asyncio.gather(
            *(
                self._bench_caller(self._entry_in_turn(number)).complete_chat(
                    "frame-tag", f"sort frame number {number}", 2
                )
                for number in range(6)
            )
        )

    async def _submit_order_twice(self) -> list[Answer]:
        _print_step("the same work order is submitted at entry-2 and at entry-3")
        return await asyncio.gather(
            *(
                self._caller(name, DESK_CREDENTIAL).post(
                    "/services/work-order/orders", {"frame": 4711}, "order-4711"
                )
                for name in ("entry-2", "entry-3")
            )
        )

    async def _stop_entry(self) -> Answer:
        request = asyncio.create_task(
            self._bench_caller("entry-2").complete_chat(
                "frame-tag", "one more frame", 20
            )
        )
        await asyncio.sleep(0.05)
        self._running_entries.remove("entry-2")
        self._deployment.entries[InstanceId("entry-2")].leave("demo")
        return await request

    def _entry_in_turn(self, number: int) -> str:
        """Return an entry instance by round robin, as a load balancer would."""
        return self._running_entries[number % len(self._running_entries)]

    def _starts_at(self, endpoint: EndpointId) -> int:
        engine = self._deployment.standins.engines[endpoint]
        return engine.counters.starts_while_leaving

    def _endpoint_of_last_route(self) -> EndpointId:
        for line in reversed(self._deployment.log_lines):
            fields = msgspec.json.decode(line)
            if fields["event"] == "route":
                return EndpointId(fields["chosen"])
        raise RuntimeError("no routing decision was logged")

    def _check_report(self, streamed: StreamedAnswer, reclaimed: EndpointId) -> None:
        expected = " ".join(generate_words(REPORT_PROMPT.split(), REPORT_TOKENS))
        is_whole = streamed.is_done and streamed.text.strip() == expected
        is_in_order = streamed.offsets == list(range(REPORT_TOKENS))
        self._record_promise(
            "the report is whole, each token once and in order",
            is_whole and is_in_order,
            f"{len(streamed.offsets)} of {REPORT_TOKENS} tokens, {reclaimed} lost",
        )

    def _check_answers(self, answers: list[Answer], tags: list[Answer]) -> None:
        slowest_ms = max(answer.elapsed_ms for answer in answers)
        self._record_promise(
            f"quick questions are answered within {QUESTION_TARGET_MS} ms",
            _all_done(answers) and slowest_ms <= QUESTION_TARGET_MS,
            f"slowest {slowest_ms} ms",
        )
        statuses = sorted({tag.status for tag in tags})
        self._record_promise(
            "every tag is answered", _all_done(tags), f"statuses {statuses}"
        )

    def _check_orders(self, orders: list[Answer]) -> None:
        execution_count = self._deployment.standins.ledger.max_count()
        is_same_answer = len({order.body for order in orders}) == 1
        self._record_promise(
            "a work order sent twice runs once and both callers get its answer",
            execution_count == 1 and is_same_answer and _all_done(orders),
            f"ran {execution_count} time(s)",
        )

    def _check_stop(self, answer: Answer) -> None:
        entry = self._deployment.entries[InstanceId("entry-2")]
        self._record_promise(
            "a planned stop cuts off no request in progress",
            answer.outcome == "done",
            f"{answer.outcome}; entry-2 is {entry.instance.lifecycle.phase.value}",
        )

    def _record_promise(self, text: str, is_kept: bool, observed: str) -> None:
        self.promises.append(Promise(text, is_kept, observed))


def _all_done(answers: list[Answer]) -> bool:
    return all(answer.status == 200 and answer.outcome == "done" for answer in answers)


def _print_step(text: str) -> None:
    print(f"- {text}", flush=True)


async def run_demo() -> int:
    """Run the demo; return 0 if every promise was kept, else 1."""
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    print("platform, 2 engines, 1 plain service and 3 entry instances, one loop")
    async with DemoDeployment() as deployment:
        async with aiohttp.ClientSession(timeout=timeout) as http:
            session = DemoSession(deployment, http)
            await session.run()
    print()
    for promise in session.promises:
        mark = "held  " if promise.is_kept else "BROKEN"
        print(f"{mark}  {promise.text} ({promise.observed})")
    return 0 if all(promise.is_kept for promise in session.promises) else 1
