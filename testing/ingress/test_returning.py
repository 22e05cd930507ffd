"""Endpoints of a data centre whose evacuation has ended."""

from __future__ import annotations

import unittest

from _monsoonpulley.platform.store import Row, Rows

from .site import Site, configuration


class TestReturning(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)

    async def test_endpoints_are_presumed_cold_after_an_evacuation(self):
        """Guards against a rush to endpoints that all instances see idle at once."""
        await self.site.add_endpoint(None)
        document = configuration()
        for service in document["services"]:
            service.update(cold_start_s=3.0, cold_per_s=2.0)
        await self.site.start(document)
        parts = self.site.service.parts
        endpoint = parts.directory.all()[0]
        now_ms = parts.clock.now_ms()
        self.assertFalse(parts.cold.is_cold(endpoint, now_ms))
        version = parts.configuration.current.version + 1_000_000
        key = f"evacuate/{endpoint.zone}"
        parts.evacuations.apply(Rows((Row(key, b"{}", version),), version), False)
        parts.evacuations.apply(
            Rows((Row(key, None, version + 1),), version + 1), False
        )
        self.assertTrue(parts.cold.is_cold(endpoint, parts.clock.now_ms()))
