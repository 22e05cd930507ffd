import asyncio
import unittest

from _monsoonpulley.standins.plainservice import PlainFault

from ..support import ALICE, BOB, run_world

QUESTION = {"model": "question", "prompt": "how long does bole dry", "max_tokens": 4}


class BadInputTest(unittest.TestCase):
    def check(self, status, reason, path, body, headers=None, credential=ALICE):
        async def script(world):
            caller = world.caller("entry-1", credential)
            all_headers = {"content-type": "application/json", **(headers or {})}
            response = await caller.request("POST", path, body, all_headers)
            problem = response.json()
            self.assertEqual((response.status, problem["reason"]), (status, reason))
            self.assertEqual(problem["outcome"], "not_run")
            self.assertEqual(response.headers["x-outcome"], "not_run")
            self.assertEqual(problem["error"]["code"], reason)
            self.assertTrue(problem["step"])
            self.assertEqual(world.ledger.max_count(), 0)

        run_world(script)

    def test_malformed_json(self):
        self.check(400, "bad_request", "/v1/completions", b'{"model": ')

    def test_invalid_utf8(self):
        self.check(400, "bad_request", "/v1/completions", b'{"model":"\xff\xfe"}')

    def test_deeply_nested_json(self):
        body = b"[" * 100_000
        self.check(400, "bad_request", "/v1/completions", body)

    def test_missing_prompt(self):
        self.check(400, "bad_request", "/v1/completions", b'{"model":"question"}')

    def test_several_choices(self):
        body = b'{"model":"question","prompt":"x","n":2}'
        self.check(400, "bad_request", "/v1/completions", body)

    def test_unknown_class(self):
        body = b'{"model":"nothing","prompt":"x"}'
        self.check(404, "not_found", "/v1/completions", body)

    def test_class_of_a_plain_service(self):
        body = b'{"model":"booking","prompt":"x"}'
        self.check(400, "bad_request", "/v1/completions", body)

    def test_class_the_customer_may_not_use(self):
        body = b'{"model":"report","prompt":"x"}'
        self.check(403, "forbidden", "/v1/completions", body, credential=BOB)

    def test_oversized_body(self):
        body = b'{"model":"question","prompt":"%s"}' % (b"x " * 4_096)
        self.check(413, "body_too_large", "/v1/completions", body)

    def test_oversized_declared_body(self):
        headers = {"content-length": "9000000000", "idempotency-key": "k"}
        path = "/services/booking/orders"
        self.check(413, "body_too_large", path, b"x", headers)

    def test_wrong_credential(self):
        body = b'{"model":"question","prompt":"x"}'
        path = "/v1/completions"
        self.check(401, "unauthenticated", path, body, credential="wrong")
        self.check(401, "unauthenticated", path, body, credential="")

    def test_missing_key_for_a_request_that_runs_at_most_once(self):
        self.check(400, "key_missing", "/services/booking/orders", b"{}")

    def test_malformed_key(self):
        for key in ('"open', '""', "k" * 300, "k\x01"):
            headers = {"idempotency-key": key}
            path = "/services/booking/orders"
            self.check(400, "bad_request", path, b"{}", headers)

    def test_unknown_path(self):
        self.check(404, "not_found", "/v2/things", b"{}")


class SubmissionTest(unittest.TestCase):
    def test_a_repeated_key_runs_once_and_gets_the_same_answer(self):
        async def script(world):
            headers = {"idempotency-key": '"order-7"'}
            path = "/services/booking/orders"
            answers = await asyncio.gather(
                *(
                    world.caller(name, ALICE).post_json(path, {"frame": 7}, headers)
                    for name in ("entry-1", "entry-2", "entry-1", "entry-2")
                )
            )
            self.assertEqual({answer.status for answer in answers}, {200})
            states = {answer.headers["x-key-state"] for answer in answers}
            self.assertEqual(states, {"closed"})
            self.assertEqual(len({answer.body for answer in answers}), 1)
            self.assertEqual(world.ledger.max_count(), 1)
            repeated = [a for a in answers if a.headers.get("x-repeated")]
            self.assertEqual(len(repeated), 3)

        run_world(script)

    def test_a_reused_key_with_another_body_is_an_error(self):
        async def script(world):
            caller = world.caller("entry-1", ALICE)
            headers = {"idempotency-key": "order-7"}
            path = "/services/booking/orders"
            await caller.post_json(path, {"frame": 7}, headers)
            for name in ("entry-1", "entry-2"):
                other = await world.caller(name, ALICE).post_json(
                    path, {"frame": 8}, headers
                )
                self.assertEqual(other.status, 422)
                self.assertEqual(other.json()["reason"], "key_reused")
            self.assertEqual(world.ledger.max_count(), 1)

        run_world(script)

    def test_a_caller_that_disconnects_finds_its_answer_later(self):
        async def script(world):
            caller = world.caller("entry-1", ALICE)
            headers = {"idempotency-key": "order-7"}
            path = "/services/booking/orders"
            sending = asyncio.create_task(caller.post_json(path, {"frame": 7}, headers))
            await world.clock.sleep_ms(8)
            sending.cancel()
            await world.clock.sleep_ms(1_000)
            answer = await world.caller("entry-2", ALICE).post_json(
                path, {"frame": 7}, headers
            )
            self.assertEqual(answer.headers["x-outcome"], "done")
            self.assertEqual(world.ledger.max_count(), 1)
            request_id = answer.headers["x-request-id"]
            state = await world.caller("entry-2", ALICE).request(
                "GET", f"/v1/requests/{request_id}"
            )
            self.assertEqual(state.json()["state"], "done")
            self.assertEqual(state.json()["answer"]["body"], answer.body.decode())
            hidden = await world.caller("entry-2", BOB).request(
                "GET", f"/v1/requests/{request_id}"
            )
            self.assertEqual(hidden.status, 404)

        run_world(script)

    def test_a_table_outage_refuses_only_requests_that_run_at_most_once(self):
        async def script(world):
            caller = world.caller("entry-1", ALICE)
            world.platform.faults.set_outage(True)
            refused = await caller.post_json(
                "/services/booking/orders", {}, {"idempotency-key": "order-7"}
            )
            self.assertEqual(refused.status, 503)
            self.assertEqual(refused.headers["x-outcome"], "not_run")
            self.assertEqual(refused.headers["x-key-state"], "open")
            self.assertIn("retry-after", refused.headers)
            found = await caller.request("GET", "/services/lookup/frames/3")
            self.assertEqual(found.status, 200)
            answered = await caller.post_json("/v1/completions", QUESTION)
            self.assertEqual(answered.status, 200)
            world.platform.faults.set_outage(False)
            await world.clock.sleep_ms(60_000)
            self.assertEqual(world.ledger.max_count(), 1, "only the lookup ran")
            self.assertEqual(
                sum(e.counters.executions.total() for e in world.engines.values()), 1
            )

        run_world(script)

    def test_a_refusal_before_the_journal_leaves_the_key_open(self):
        async def script(world):
            caller = world.caller("entry-1", ALICE)
            path, key = "/services/booking/orders", {"idempotency-key": "order-7"}
            done = await caller.post_json(path, {}, key)
            self.assertEqual(done.headers["x-key-state"], "closed")
            world.entries["entry-1"].instance.leave("test")
            await world.clock.sleep_ms(2_500)
            refused = await caller.post_json(path, {}, key)
            self.assertEqual(refused.headers["x-outcome"], "not_run")
            self.assertEqual(refused.headers["x-key-state"], "open")

        run_world(script)

    def test_a_reset_after_sending_is_unknown_and_runs_at_most_once(self):
        async def script(world):
            for service in world.services.values():
                service.inject(PlainFault.RESET, 5)
            caller = world.caller("entry-1", ALICE)
            await caller.post_json(
                "/services/booking/orders", {}, {"idempotency-key": "order-7"}
            )
            await world.clock.sleep_ms(60_000)
            self.assertLessEqual(world.ledger.max_count(), 1)

        run_world(script)


class IdempotentCallTest(unittest.TestCase):
    def test_requests_go_to_another_endpoint_after_a_crash(self):
        async def script(world):
            world.services["catalogue-1"].crash()
            caller = world.caller("entry-1", ALICE)
            for _ in range(3):
                response = await caller.request("GET", "/services/lookup/frames/3")
                self.assertEqual(response.status, 200)
                self.assertEqual(response.json()["endpoint"], "catalogue-2")

        run_world(script)

    def test_path_and_query_reach_the_endpoint_unchanged(self):
        async def script(world):
            caller = world.caller("entry-1", ALICE)
            path = "/services/lookup/frames/a%2Fb?tone=dark%20red&x=1"
            response = await caller.request("GET", path)
            self.assertEqual(
                response.json()["path"], "/frames/a%2Fb?tone=dark%20red&x=1"
            )

        run_world(script)


class GenerationTest(unittest.TestCase):
    def test_a_stream_continues_on_another_engine_after_a_crash(self):
        async def script(world):
            caller = world.caller("entry-1", ALICE)
            body = {**QUESTION, "model": "report", "max_tokens": 30, "stream": True}
            whole = await caller.post_json("/v1/completions", {**body, "stream": False})
            first_part = asyncio.Event()
            streaming = asyncio.create_task(
                caller.post_json(
                    "/v1/completions", body, on_chunk=lambda _: first_part.set()
                )
            )
            await first_part.wait()
            await world.clock.sleep_ms(50)
            world.engines[world.last_event("route")["chosen"]].crash()
            response = await streaming
            self.assertEqual(_text(response.body), whole.json()["choices"][0]["text"])
            self.assertEqual(world.last_event("request_ended")["attempts"], 2)
            ids = _event_offsets(response.body)
            self.assertEqual(ids, list(range(30)))
            self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"))

        run_world(script)

    def test_a_caller_that_disconnects_frees_its_engine(self):
        async def script(world):
            caller = world.caller("entry-1", ALICE)
            body = {**QUESTION, "model": "report", "max_tokens": 500, "stream": True}
            leave = asyncio.Event()
            parts = []
            streaming = asyncio.create_task(
                caller.post_json(
                    "/v1/completions", body, on_chunk=parts.append, disconnect=leave
                )
            )
            await world.clock.sleep_ms(200)
            self.assertTrue(parts)
            leave.set()
            await streaming
            await world.clock.sleep_ms(100)
            generated = sum(e.counters.generated_tokens for e in world.engines.values())
            self.assertLess(generated, 60)
            entry = world.entries["entry-1"].instance
            self.assertEqual(entry.lifecycle.in_progress_count, 0)

        run_world(script)

    def test_without_any_engine_a_request_fails_at_once_as_not_run(self):
        async def script(world):
            for engine in world.engines.values():
                engine.crash()
            started_ms = world.clock.now_ms()
            caller = world.caller("entry-1", ALICE)
            response = await caller.post_json("/v1/completions", QUESTION)
            self.assertEqual(response.headers["x-outcome"], "not_run")
            self.assertEqual(response.status, 503)
            self.assertLess(world.clock.now_ms() - started_ms, 1_000)

        run_world(script)


def _event_offsets(body):
    lines = body.decode().splitlines()
    return [int(line.rpartition(":")[2]) for line in lines if line.startswith("id: ")]


def _text(body):
    import json

    texts = []
    for line in body.decode().splitlines():
        if line.startswith("data: {"):
            chunk = json.loads(line[6:])
            texts += [choice.get("text", "") for choice in chunk["choices"]]
    return "".join(texts)
