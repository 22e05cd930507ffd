"""Callers are answered whatever another writer or an endpoint has left."""

from __future__ import annotations

import json
import unittest

from .site import Site, configuration, endpoint_row

DEEP = "[" * 100_000 + "]" * 100_000
REQUEST_COUNT = 8


async def answer(call) -> None:
    call.answer(body=b"done")


class TestOddEntries(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        await self.renew_site()

    async def renew_site(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)

    def put_odd_rows(self):
        deep = json.dumps(endpoint_row("127.0.0.1:9"))[:-1] + f',"x":{DEEP}}}'
        self.site.store.put("servers", "a-0", deep.encode())
        for number, address in enumerate(("127.0.0.1:70000", "a\0b:9"), 1):
            self.site.store.put("servers", f"a-{number}", endpoint_row(address))

    def are_odd_rows_refused(self) -> bool:
        return self.site.service.parts.directory.refused_count == 3

    async def assert_answered(self, **kwargs):
        for number in range(REQUEST_COUNT):
            got = await self.site.send_request(f"{number:02x}", **kwargs)
            self.assertEqual((got.status, got.body), (200, b"done"))
        self.assertEqual(self.site.log_events("request_error"), [])
        self.assertFalse(any(task.done() for task in self.site._tasks))

    async def test_odd_rows_end_no_task_and_no_request(self):
        for written_first in (True, False):
            with self.subTest(written_first=written_first):
                await self.renew_site()
                if written_first:
                    self.put_odd_rows()
                await self.site.add_endpoint(answer)
                await self.site.start(configuration())
                self.put_odd_rows()
                await self.site.wait_until(self.are_odd_rows_refused)
                await self.assert_answered()

    async def test_odd_headers_of_an_endpoint_end_no_request(self):
        digits = "9" * 5_000
        headers = ("Retry-After: 1e308", f"Keep-Alive: timeout={digits}")
        headers += (f"Retry-After: Mon, 01 Jan 2024 00:00:00 +{digits[:20]}",)
        headers += tuple(
            f"{name}: {value}"
            for name in ("Server-Limit", "Server-Brittle")
            for value in ("1e308", "1e-320", "nan", digits)
        )
        for header in headers:
            with self.subTest(header=header[:60]):
                await self.renew_site()
                extra = f"Monsoonpulley-Not-Executed: 1\r\n{header}\r\n"

                async def refuse(call, extra=extra) -> None:
                    call.answer(503, b"full", extra=extra)

                for script in (refuse, answer):
                    await self.site.add_endpoint(script)
                await self.site.start(configuration(kind="unsafe"))
                await self.assert_answered()

    async def test_token_counts_of_thousands_of_digits_end_no_request(self):
        await self.site.add_endpoint(answer)
        await self.site.start(configuration())
        digits = "9" * 5_000
        await self.assert_answered(
            extra=f"Monsoonpulley-Token-Counts: {digits},{digits}\r\n"
            f"Monsoonpulley-Prompt-Prefix: ab:{digits}\r\n"
        )
