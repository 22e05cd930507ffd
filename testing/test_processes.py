"""The whole system in separate processes, as users run it."""

import http.client
import json
import unittest

from benchmarks.processes import CUSTOMER, Deployment, sha256

PLAN = """
[platform]
listen = 127.0.0.1:0
[endpoint engine-1]
kind = model
service = model
version = v1
zone = zone-a
listen = 127.0.0.1:0
[endpoint intake-1]
kind = plain
service = intake
version = v1
zone = zone-a
listen = 127.0.0.1:0
"""

CONFIGURATION = f"""
[service model]
kind = model
[version model v1]
[service intake]
kind = plain
[version intake v1]
[class question]
service = model
answer_within_ms = 5000
[class order]
service = intake
answer_within_ms = 5000
repeats = 0
[customer test]
credential_sha256 = {sha256(CUSTOMER)}
"""

QUESTION = {"model": "question", "prompt": "which bole", "max_tokens": 200}


class SeparateProcessesTest(unittest.TestCase):
    def setUp(self):
        self.deployment = self.enterContext(Deployment(PLAN, CONFIGURATION))
        self.deployment.entry.wait_for_event("instance_ready")
        self.deployment.apply()
        self.deployment.entry.wait_for_event("config_revision")

    def post(self, path, body, **headers):
        connection = http.client.HTTPConnection("127.0.0.1", self.deployment.port)
        headers = {"authorization": f"Bearer {CUSTOMER}", **headers}
        connection.request("POST", path, json.dumps(body), headers)
        return connection.getresponse()

    def test_requests_are_answered_and_a_planned_stop_interrupts_no_stream(self):
        key = {"idempotency-key": '"order-1"'}
        orders = [self.post("/services/order/orders", {}, **key) for _ in range(2)]
        self.assertEqual([order.status for order in orders], [200, 200])
        self.assertEqual(orders[1].headers["x-repeated"], "true")
        answer = self.post("/v1/completions", {**QUESTION, "stream": True})
        first = answer.readline()
        self.assertTrue(first.startswith(b"id: "), first)
        self.deployment.entry.terminate()
        rest = answer.read()
        self.assertTrue(rest.endswith(b"data: [DONE]\n\n"), rest[-200:])
        self.assertEqual(rest.count(b'"finish_reason":null'), 200)
        self.assertEqual(self.deployment.entry.wait(), 0)


class ProcessErrorsTest(unittest.TestCase):
    def test_wrong_settings_exit_with_2_and_say_why(self):
        from benchmarks.processes import Process

        process = Process("entry", "--settings", "/nonexistent.ini")
        self.assertEqual(process.wait(), 2)
        self.assertIn("/nonexistent.ini", process.read_stderr())
        process.kill()
