"""Requests that a leaving gateway receives when little time is left."""

import unittest

import msgspec

from _monsoonpulley.entry.lifecycle import LEAVE_GRACE_MS, RECLAIM_MARGIN_MS
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.routing.admission import Wait
from _monsoonpulley.standins.caller import Caller

from ..support import ALICE, run_world

REFUSED = (503, "not_run")

PATH = "/services/lookup/frames/3"
"""Of a class whose requests are given up after 3 s."""


def send_body_late(app, clock, delay_ms):
    """Wrap an application so that each request's body arrives late."""

    async def call(scope, receive, send):
        async def receive_late():
            await clock.sleep_ms(delay_ms)
            return await receive()

        await app(scope, receive_late, send)

    return call


class LateRequestsTest(unittest.TestCase):
    """Guards against requests that are begun so late that a stop cuts them off."""

    def check_refused(self, left_ms, wait_ms=0, body_ms=0, path=PATH, body=None):
        async def script(world):
            instance = world.entries["entry-1"].instance
            instance.leave("test", world.clock.now_ms() + left_ms)
            await world.clock.sleep_ms(wait_ms)
            app = send_body_late(instance.app, world.clock, body_ms)
            refused = await Caller(app, ALICE).post_json(path, body or {})
            self.assertEqual((refused.status, refused.headers["x-outcome"]), REFUSED)
            self.assertEqual(refused.headers["connection"], "close")
            self.assertEqual(world.events("route"), [])

        run_world(script)

    def test_a_body_that_arrives_late_is_not_begun(self):
        self.check_refused(left_ms=10_000, wait_ms=100, body_ms=LEAVE_GRACE_MS)

    def test_a_request_that_lasts_beyond_the_stop_is_not_begun(self):
        self.check_refused(left_ms=3_000, wait_ms=LEAVE_GRACE_MS - 500)

    def test_a_generation_that_lasts_beyond_the_stop_is_not_begun(self):
        body = {"model": "question", "messages": [{"role": "user", "content": "why"}]}
        self.check_refused(
            left_ms=3_000,
            wait_ms=LEAVE_GRACE_MS - 500,
            path="/v1/chat/completions",
            body=body,
        )

    def check_calls(self, expected_count, expected, left_ms, failure):
        """Check how often a request is sent whose first attempt ends 400 ms later."""
        sent_at_ms = []

        async def script(world):
            instance = world.entries["entry-1"].instance

            class FailingClient:
                async def call(self, call):
                    sent_at_ms.append(world.clock.now_ms())
                    await world.clock.sleep_ms(400)
                    return failure

            instance.service_attempts._connect = lambda endpoint: FailingClient()
            instance.leave("test", world.clock.now_ms() + left_ms)
            got = await Caller(instance.app, ALICE).post_json(PATH, {})
            self.assertEqual((got.status, got.headers["x-outcome"]), expected)

        run_world(script)
        self.assertEqual(len(sent_at_ms), expected_count)

    def test_a_retry_that_would_outlast_the_stop_is_not_sent(self):
        unsent = Failure(Reason.UNAVAILABLE, "t", "e1", "full", Delivery.REFUSED)
        left_ms = RECLAIM_MARGIN_MS + 401
        self.check_calls(1, REFUSED, left_ms, unsent)
        in_doubt = Failure(Reason.PEER_ERROR, "t", "e1", "broken", Delivery.MAYBE)
        self.check_calls(1, (504, "unknown"), left_ms, in_doubt)

    def test_a_retry_that_fits_into_the_stop_is_sent(self):
        unsent = Failure(Reason.UNAVAILABLE, "t", "e1", "full", Delivery.REFUSED)
        self.check_calls(2, REFUSED, 10_000, unsent)

    def test_a_request_that_has_waited_for_admission_is_not_begun_late(self):
        async def script(world):
            instance = world.entries["entry-1"].instance
            submit = instance.router.admission.submit

            admitted = []

            def let_wait(request, now_ms):
                admitted.append(submit(request, now_ms))
                return Wait(**msgspec.structs.asdict(admitted[0]))

            async def wait(request):
                await world.clock.sleep_ms(LEAVE_GRACE_MS + 500)
                return admitted[0]

            instance.router.admission.submit = let_wait
            instance.gate._wait_for_turn = wait
            instance.leave("test", world.clock.now_ms() + 3_900)
            got = await Caller(instance.app, ALICE).post_json(PATH, {})
            self.assertEqual((got.status, got.headers["x-outcome"]), REFUSED)
            self.assertEqual(world.events("route"), [])

        run_world(script)

    def test_a_connection_is_not_kept_for_requests_that_are_refused(self):
        self.check_refused(left_ms=60_000, wait_ms=LEAVE_GRACE_MS + 100)


if __name__ == "__main__":
    unittest.main()
