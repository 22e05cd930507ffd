"""Where a request would go, explained without any effect."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import random
import types
import unittest

from _monsoonpulley.clock import Clock
from _monsoonpulley.commandline.cli import main
from _monsoonpulley.errors import Failure
from _monsoonpulley.ids import InstanceId, ZoneId
from _monsoonpulley.ingress.counters import Counters
from _monsoonpulley.ingress.explaingates import endpoint_gates
from _monsoonpulley.ingress.placementexplainer import (
    MIN_INTERVAL_MS,
    PlacementExplainer,
)
from _monsoonpulley.ingress.service import IngressService
from _monsoonpulley.observability.log import Log
from _monsoonpulley.placement_wire import PlacementQuery
from _monsoonpulley.platform.localsettings import Address, Bounds, LocalSettings
from _monsoonpulley.platform.store import Row, Rows
from _monsoonpulley.quarantine.evidence import Entry

from .site import HOST, KEY, Site, configuration, endpoint_row, read_answer

QUERY = PlacementQuery(host=HOST, path="/app/x", customer="customer-1")

TENANT = {
    "name": "customer-1",
    "api_keys": [KEY],
    "rate_per_s": 2,
    "burst": 3,
}

MOVING_NAMES = frozenset(("clock", "log", "counters", "fingerprinter"))
"""Parts without decisions, whose state may change at any time."""


def state_of(value: object, known: dict[int, int] | None = None) -> object:
    """Return the whole state of an object as values that can be compared."""
    known = {} if known is None else known
    if value is None or isinstance(value, (str, bytes, int, float)):
        return value
    if isinstance(value, random.Random):
        return value.getstate()
    if callable(value) and not hasattr(value, "__dict__"):
        return None
    if isinstance(value, (types.FunctionType, types.MethodType, type, Log, Clock)):
        return None
    if id(value) in known:
        return known[id(value)]
    known[id(value)] = len(known)
    if isinstance(value, dict):
        return [(state_of(k, known), state_of(v, known)) for k, v in value.items()]
    if isinstance(value, (set, frozenset)):
        return sorted(map(str, value))
    if isinstance(value, (list, tuple)) or type(value).__name__ == "deque":
        return [state_of(each, known) for each in value]
    names = list(getattr(value, "__struct_fields__", ())) or list(
        getattr(value, "__dict__", ())
    )
    return [
        (name, state_of(getattr(value, name), known))
        for name in names
        if name not in MOVING_NAMES
    ]


class ExplainTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now_ms = 1_000_000
        self.clock = Clock.from_system()
        self.clock.now_ms = lambda: self.now_ms
        self.lines: list[str] = []
        address = Address("127.0.0.1", 1)
        settings = LocalSettings(
            instance=InstanceId("instance-1"),
            zone=ZoneId("zone-a"),
            caller_address=address,
            readiness_address=address,
            peer_ip="127.0.0.1",
            peer_ports=(2, 2),
            store_address=address,
            cloud_address=None,
            duties=(),
            bounds=Bounds(quota_overage=0, quota_slack=0),
            is_first_start=True,
        )
        log = Log(self.clock, self.lines.append, "instance-1", keeps_lines=False)
        self.rng = random.Random(1)
        self.service = IngressService(settings, self.clock, log, Counters(), self.rng)
        self.parts = self.service.parts
        self.explainer = PlacementExplainer("instance-1", self.parts, self.rng)
        self.version = 0
        self.configure()
        for number in (1, 2, 3):
            self.put_endpoint(f"i-{number}")

    def configure(self, **changes):
        self.version += 1
        document = configuration(self.version, **{"tenants": [TENANT], **changes})
        self.apply(self.parts.configuration.apply, "config", document)

    def put_endpoint(self, name, **changes):
        row = endpoint_row(f"127.0.0.1:{name[2:]}", **changes)
        self.apply(self.parts.directory.apply, name, row)

    def apply(self, apply, key, document):
        self.version += 1
        value = json.dumps(document).encode()
        apply(Rows((Row(key, value, self.version),), self.version), False)

    def explain(self, query=QUERY):
        explanation = self.explainer.explain(query)
        self.assertNotIsInstance(explanation, Failure)
        return explanation

    def left_out(self, gate, query=QUERY):
        (line,) = [line for line in self.explain(query).gates if line.gate == gate]
        return line.left_out


class TestDecision(ExplainTest):
    async def test_the_candidates_are_those_that_the_gates_leave(self):
        """Guards against lines that differ from what decides on a request."""
        self.put_endpoint("i-1", state="draining", sequence=2)
        explanation = self.explain()
        left_out = {e for line in explanation.gates for e in line.left_out}
        names = [each.endpoint for each in explanation.candidates]
        self.assertEqual((left_out, set(names)), ({"i-1"}, {"i-2", "i-3"}))
        self.assertEqual(explanation.endpoint, names[0])
        self.assertIsNone(explanation.rejection)
        self.assertEqual(
            (explanation.route, explanation.service, explanation.customer),
            ("r-1", "svc", "customer-1"),
        )

    async def test_each_gate_says_what_it_leaves_out(self):
        parts, now_ms = self.parts, self.now_ms
        self.assertEqual(self.left_out("pauses"), {})
        parts.pauses.record_refusal("i-1", 700, now_ms)
        parts.rate_limits.record_answer("i-2", 1.0, now_ms)
        self.assertEqual(
            self.left_out("pauses"), {"i-1": "it wants a pause, for 700 ms"}
        )
        self.assertIn("it is at its rate limit", self.left_out("rates")["i-2"])
        self.assertEqual(self.explain().endpoint, "i-3")
        row = Row("evacuate/zone-b", b"{}", self.version + 1)
        parts.evacuations.apply(Rows((row,), self.version + 1), False)
        self.put_endpoint("i-9", zone="zone-b")
        self.assertEqual(self.left_out("evacuation"), {"i-9": "zone-b is evacuated"})
        parts.links.record_lost(parts.directory.get("i-3"), now_ms)
        self.assertEqual(self.left_out("links"), {"i-3": "its link is lost"})

    async def test_regions_leave_endpoints_out(self):
        self.configure(tenants=[{**TENANT, "allowed_regions": ["north"]}])
        left_out = self.left_out("regions")
        self.assertEqual(set(left_out), {"i-1", "i-2", "i-3"})
        rejection = self.explain().rejection
        self.assertIn("no endpoint in an allowed region", rejection.reason)
        self.assertGreater(rejection.retry_after_ms, 0)

    async def test_all_endpoint_gates_have_a_line(self):
        names = [line.gate for line in self.explain().gates]
        self.assertEqual(
            names[-len(endpoint_gates.names()) :], endpoint_gates.in_order()
        )

    async def test_a_rejection_has_its_retry_time(self):
        for name in ("i-1", "i-2", "i-3"):
            self.parts.pauses.record_refusal(name, 1_000, self.now_ms)
        explanation = self.explain()
        self.assertEqual(explanation.endpoint, "")
        self.assertEqual(explanation.rejection.status, 503)
        self.assertEqual(explanation.rejection.reason, "all endpoints want a pause")
        self.assertGreaterEqual(explanation.rejection.retry_after_ms, 1_000)

    async def test_gates_before_the_endpoints_reject(self):
        unknown = self.explain(PlacementQuery(host="other.example"))
        self.assertEqual((unknown.rejection.status, unknown.route), (404, ""))
        self.assertEqual(
            self.explain(PlacementQuery(HOST, "/app/")).rejection.status, 401
        )
        while self.parts.quotas.consume("customer-1", 1, self.now_ms) is None:
            pass
        used_up = self.explain()
        self.assertEqual(used_up.rejection.status, 429)
        self.assertGreater(used_up.rejection.retry_after_ms, 0)
        self.assertEqual(used_up.gates[-1].gate, "quota")

    async def test_the_quarantine_rejects(self):
        quarantine, of_part = self.parts.quarantine, self.parts.fingerprinter.of_part
        entry = Entry(
            fingerprints=(of_part("faulty"),),
            service="svc",
            versions=("v1",),
            since_wall_ms=self.clock.wall_ms(),
            instance="instance-1",
            endpoints=("i-1", "i-2"),
        )
        quarantine.add_entry(entry, 0)
        query = PlacementQuery(
            HOST, "/app/x", customer="customer-1", prompt_prefix="faulty:9,own:1"
        )
        self.assertEqual(self.explain(query).rejection.status, 503)
        self.assertIsNone(self.explain().rejection)

    async def test_a_query_that_describes_no_request_is_an_error(self):
        for query in (
            PlacementQuery(HOST, "no-slash"),
            PlacementQuery(HOST, customer="nobody"),
        ):
            self.assertIsInstance(self.explainer.explain(query), Failure)


class TestNoEffect(ExplainTest):
    """Guards against a question that charges, counts, pauses or draws."""

    def check(self, query=QUERY):
        self.parts.directory.ready_endpoints("svc")  # Kept until a row changes.
        before = state_of(self.parts), self.rng.getstate(), len(self.lines)
        metrics = self.service.counters.render()
        for _ in range(5):
            self.explain(query)
        self.assertEqual(self.service.counters.render(), metrics)
        after = state_of(self.parts), self.rng.getstate(), len(self.lines)
        self.assertEqual(after, before)

    async def test_of_an_admitted_request(self):
        self.check()

    async def test_of_a_request_with_tokens_and_a_deadline(self):
        self.check(
            PlacementQuery(
                HOST,
                "/app/x",
                customer="customer-1",
                prompt_tokens=900,
                max_output_tokens=90,
                prompt_prefix="a:500,b:400",
                deadline_ms=900,
            )
        )

    async def test_of_rejected_requests(self):
        while self.parts.quotas.consume("customer-1", 1, self.now_ms) is None:
            pass
        self.check()
        self.check(PlacementQuery("other.example"))

    async def test_of_limited_and_paused_endpoints(self):
        self.parts.rate_limits.record_answer("i-1", 1.0, self.now_ms)
        self.parts.pauses.record_refusal("i-2", 700, self.now_ms)
        self.now_ms += 400
        self.check()

    async def test_of_cold_endpoints_after_the_process_stood_still(self):
        service = {"name": "svc", "max_connections": 9}
        cold = {"cold_start_s": 3.0, "cold_per_s": 8.8}
        self.configure(services=[{**service, **cold}])
        for number in (1, 2, 3):
            self.put_endpoint(f"i-{number}", cold_remaining_ms=2_000, sequence=3)
        self.parts.cold.record_time(self.now_ms)
        self.now_ms += 5_000
        self.check()

    async def test_state_is_compared_whole(self):
        """Guards against a comparison that sees nothing."""
        before = state_of(self.parts)
        self.parts.quotas.consume("customer-1", 1, self.now_ms)
        self.assertNotEqual(state_of(self.parts), before)
        before = state_of(self.parts)
        self.parts.rollouts._rng.random()
        self.assertNotEqual(state_of(self.parts), before)


class TestCommand(unittest.IsolatedAsyncioTestCase):
    """`monsoonpulley explain place` asks an instance over HTTP."""

    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)

        async def answer(call) -> None:
            call.answer()

        await self.site.add_endpoint(answer)
        await self.site.start(configuration())
        ip, port = self.site.service._metrics_server.address()
        self.url = f"http://{ip}:{port}"

    async def run_command(self, *arguments):
        """Return the exit code, and what the command printed."""
        await asyncio.sleep(MIN_INTERVAL_MS / 1000)
        out, err = io.StringIO(), io.StringIO()

        def run():
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
                return main(["explain", "place", *arguments, "--ingress", self.url])

        return await asyncio.to_thread(run), out.getvalue(), err.getvalue()

    async def test_text_and_json(self):
        arguments = ("--host", HOST, "--path", "/app/x", "--customer", "customer-1")
        code, text, _ = await self.run_command(*arguments)
        self.assertEqual((code, text.splitlines()[1]), (0, "goes to i-1"))
        for word in ("GATE", "leaving", "PREDICTED MS", "i-1"):
            self.assertIn(word, text)
        code, text, _ = await self.run_command(*arguments, "--json")
        explanation = json.loads(text)
        self.assertEqual((code, explanation["endpoint"]), (0, "i-1"))
        self.assertEqual(explanation["candidates"][0]["endpoint"], "i-1")
        self.assertEqual(self.site.endpoints[0].calls, [])
        self.assertEqual(self.site.log_events("request"), [])

    async def test_a_rejection_and_wrong_questions(self):
        code, text, _ = await self.run_command("--host", "other.example")
        self.assertEqual((code, "rejected with 404: no route" in text), (0, True))
        code, _, error = await self.run_command("--host", HOST, "--customer", "none")
        self.assertEqual((code, "no customer 'none'" in error), (1, True))
        code, _, _ = await self.run_command("--host", HOST, "--prompt-tokens", "many")
        self.assertEqual(code, 2)
        self.url = "http://127.0.0.1:1"
        self.assertEqual((await self.run_command("--host", HOST))[0], 3)

    async def test_metrics_are_served_beside_it(self):
        await self.run_command("--host", HOST)
        reader, writer = await asyncio.open_connection(*self.url[7:].split(":"))
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        got = await read_answer(reader)
        self.assertIn(b"monsoonpulley_instances", got.body)
        writer.close()


if __name__ == "__main__":
    unittest.main()
