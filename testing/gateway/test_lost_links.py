"""Entry instances that lose their links to endpoints while callers reach them."""

from __future__ import annotations

import unittest

from _monsoonpulley.errors import Delivery, Failure, Reason

from ..support import ALICE, run_world

REQUEST_COUNT = 20
MIN_SHARE_OF_OTHERS = 0.95
"""Goal for requests served at instances without links, as a share of the others'."""

NOTICE_MS = 3_000
"""Time after which requests of callers have to be served again."""


class UnreachableService:
    """Client of an endpoint to which no connection can be opened."""

    async def call(self, call):
        return Failure(
            Reason.UNAVAILABLE, "service.call", "", "no link", Delivery.NOT_SENT
        )


class TestLostLinks(unittest.TestCase):
    def test_callers_of_an_instance_without_links_are_served(self):
        served = {}

        async def script(world):
            pool = world.entries["entry-1"].instance.pool
            for endpoint in ("catalogue-1", "catalogue-2"):
                pool._clients[endpoint] = UnreachableService()
            for phase in ("unnoticed", "noticed"):
                for name in ("entry-1", "entry-2"):
                    served[phase, name] = 0
                    caller = world.caller(name, ALICE)
                    for _ in range(REQUEST_COUNT):
                        path = "/services/lookup/frames/3"
                        found = await caller.request("GET", path)
                        served[phase, name] += found.status == 200
                await world.clock.sleep_ms(NOTICE_MS)

        run_world(script)
        self.assertEqual(served["noticed", "entry-2"], REQUEST_COUNT)
        self.assertGreaterEqual(
            served["noticed", "entry-1"],
            MIN_SHARE_OF_OTHERS * served["noticed", "entry-2"],
        )


if __name__ == "__main__":
    unittest.main()
