"""What an instance does first after it stood still for a while."""

from __future__ import annotations

import socket
import unittest

from _monsoonpulley.sharing.digest import Digest, encode_message
from _monsoonpulley.sharing.members import MAX_SILENCE_MS

from .site import Site, configuration

PEERS = ("peer-1", "peer-2", "peer-3")


async def answer(call) -> None:
    call.answer(body=b"whole answer")


class TestStandstill(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)
        await self.site.add_endpoint(answer)
        await self.site.start(configuration())
        self.service = self.site.service
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.socket.close)
        self.sequence = 0

    def send_digests(self) -> None:
        self.sequence += 1
        address = self.service.digest_exchange._socket.getsockname()
        for name in PEERS:
            digest = Digest(
                name,
                1,
                self.sequence,
                "127.0.0.1",
                9,
                zone="zone-a",
                loads={"i-1": (2, 0, 0)},
            )
            self.socket.sendto(encode_message(digest), address)

    def stand_still(self, for_ms: int) -> None:
        """Move the process's clock on without a turn of the event loop."""
        now_ms = self.site.clock.now_ms
        self.site.clock.now_ms = lambda: now_ms() + for_ms

    # As it woke, it took the others for silent, dropped their load and estimates, and
    # took on itself what one instance does for all: trials of quarantined requests.
    async def test_the_others_stay_reachable_if_their_digests_arrived_meanwhile(self):
        self.send_digests()
        reachable = self.service.parts.members.reachable_ids
        await self.site.wait_until(lambda: self.service.parts.members.all())
        self.service.tick()
        self.assertEqual(self.service.parts.members.reachable_ids, set(PEERS))
        self.assertFalse(reachable)
        self.stand_still(MAX_SILENCE_MS + 100)
        self.send_digests()
        self.service.tick()
        self.assertEqual(self.service.parts.members.reachable_ids, set(PEERS))
        self.assertFalse(self.site.log_events("dependency_lost"))
        self.assertTrue(self.site.log_events("process_stood_still"))

    async def test_instances_that_fell_silent_are_taken_for_silent(self):
        self.send_digests()
        await self.site.wait_until(lambda: self.service.parts.members.all())
        self.service.tick()
        self.stand_still(MAX_SILENCE_MS + 100)
        self.service.tick()
        self.assertFalse(self.service.parts.members.reachable_ids)


if __name__ == "__main__":
    unittest.main()
