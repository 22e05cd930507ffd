"""The loop of the duties after a standstill of its process."""

from __future__ import annotations

import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.control.leases import Hold
from _monsoonpulley.duties.controlloop import ControlLoop
from _monsoonpulley.observability.log import Log


class Lease:
    """A lease that this instance holds."""

    def __init__(self):
        self.is_acting = False

    def hold(self):
        return Hold(1, lambda *_: True)


class Messages:
    """Messages of other instances: those that arrived, and those that were read."""

    def __init__(self):
        self.arrived = 0
        self.read = 0

    def receive_waiting(self):
        self.read = self.arrived


class Duty:
    """Notes how many messages it knows; more arrive while its call waits."""

    def __init__(self, messages: Messages):
        self._messages = messages
        self.known: list[tuple[int, int]] = []

    def observe_era(self):
        return

    async def step(self, hold):
        self.known.append((self._messages.read, self._messages.arrived))
        self._messages.arrived += 1


class StoppingClock(ManualClock):
    async def sleep_ms(self, duration_ms):
        raise StopAsyncIteration


class TestControlLoop(unittest.IsolatedAsyncioTestCase):
    async def test_each_duty_knows_what_arrived_before_it(self):
        # As the process woke, endpoints were ordered by what it knew before.
        messages = Messages()
        messages.arrived = 5
        rollout, usage, capacity = (Duty(messages) for _ in range(3))
        clock = StoppingClock(1_000)
        log = Log(clock, lambda line: None)
        loop = ControlLoop(
            Lease(),
            usage,
            capacity,
            rollout,
            clock,
            log,
            messages.receive_waiting,
        )
        with self.assertRaises((StopAsyncIteration, RuntimeError)):
            await loop.run()
        for duty in (rollout, capacity):
            for read, arrived in duty.known:
                self.assertEqual(read, arrived)
        self.assertEqual(capacity.known, [(7, 7)])


if __name__ == "__main__":
    unittest.main()
