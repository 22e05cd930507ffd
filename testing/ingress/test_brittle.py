"""Endpoints that fall over when they turn too many requests away."""

from __future__ import annotations

import asyncio
import unittest
from collections import deque

from .crashing import CrashingEndpoint
from .linked import LinkedFleet

SLOTS = 4
SERVICE_S = 0.2
MAX_REFUSED_PER_S = 5
"""An endpoint falls over when it turns more requests away in a second."""

ENDPOINT_COUNT = 4
MAX_FALLS = 2 + 0.1 * ENDPOINT_COUNT
"""The users' bound for the time in which the endpoints of a service are brittle."""

STABLE_WINDOW_S = 3.0
"""Time from the first statement after which endpoints fall over."""

CAPACITY_PER_S = ENDPOINT_COUNT * SLOTS / SERVICE_S
OVERLOAD = 1.6
MIN_SERVED_SHARE = 0.5
"""Of what the endpoints can serve; they mustn't be spared by refusing nearly all."""


class BrittleEndpoint(CrashingEndpoint):
    """An endpoint without a queue that says that it is brittle."""

    def __init__(self, script):
        super().__init__(lambda call: False)
        self.script = self._answer_brittle
        self.is_brittle = False
        self.served_count = 0
        self._running = 0
        self._refused_s: deque[float] = deque()

    async def _answer_brittle(self, call) -> None:
        extra = f"Server-Brittle: {MAX_REFUSED_PER_S}\r\n"
        if self._running >= SLOTS:
            extra += "Monsoonpulley-Not-Executed: 1\r\n"
            call.answer(503, b"", seal=None, extra=extra)
            self._record_refusal()
            return
        self._running += 1
        try:
            await asyncio.sleep(SERVICE_S)
        finally:
            self._running -= 1
        if not call.writer.is_closing():
            self.served_count += 1
            call.answer(body=b"sound", extra=extra)

    def _record_refusal(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._refused_s.append(now_s)
        while self._refused_s[0] < now_s - 1:
            self._refused_s.popleft()
        if self.is_brittle and len(self._refused_s) > MAX_REFUSED_PER_S:
            self._refused_s.clear()
            self.crash()


class TestOverload(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = LinkedFleet(4)
        self.addAsyncCleanup(self.fleet.stop)

    async def send_for(self, duration_s: float) -> None:
        count = round(duration_s * OVERLOAD * CAPACITY_PER_S)
        tasks = []
        for number in range(count):
            site = self.fleet.sites[number % len(self.fleet.sites)]
            tasks.append(asyncio.create_task(self.fleet.send(site)))
            await asyncio.sleep(1 / (OVERLOAD * CAPACITY_PER_S))
        await asyncio.gather(*tasks)

    async def test_brittle_endpoints_seldom_fall_over_under_too_many_requests(self):
        await self.fleet.start(
            None, ENDPOINT_COUNT, BrittleEndpoint, kind="unsafe", timeout_ms=1_500
        )
        await self.send_for(STABLE_WINDOW_S)
        for endpoint in self.fleet.endpoints:
            endpoint.is_brittle, endpoint.served_count = True, 0
        await self.send_for(5.0)
        falls = sum(len(each.crash_times_s) for each in self.fleet.endpoints)
        served = sum(each.served_count for each in self.fleet.endpoints)
        self.assertLessEqual(falls, MAX_FALLS)
        self.assertGreater(served, MIN_SERVED_SHARE * 5.0 * CAPACITY_PER_S)


if __name__ == "__main__":
    unittest.main()
