import unittest

import aiohttp

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.explain.peeroperators import HttpPeerOperatorClient
from _monsoonpulley.operator_wire import ExplainBody
from testing.operatorserver import CREDENTIAL, OperatorServer


class HttpPeerOperatorClientTest(unittest.IsolatedAsyncioTestCase):
    async def ask(self, address, subject, credential=CREDENTIAL):
        async with aiohttp.ClientSession() as session:
            peers = HttpPeerOperatorClient(session)
            return await peers.explain("e1", address, subject, f"Bearer {credential}")

    async def test_lines_come_over_http_under_the_subject_as_named(self):
        with OperatorServer() as server:
            address = server.url.removeprefix("http://")
            body = await self.ask(address, "rollout:pool/v 2?")
        self.assertIsInstance(body, ExplainBody)
        self.assertEqual(body.subject, "rollout:pool/v 2?")
        self.assertEqual(body.lines[0].event, "routed")

    async def test_a_refused_credential_and_no_server_are_failures(self):
        with OperatorServer() as server:
            address = server.url.removeprefix("http://")
            refused = await self.ask(address, "config", "wrong")
        away = await self.ask(address, "config")
        self.assertEqual(refused.reason, Reason.UNAUTHENTICATED)
        self.assertIsInstance(away, Failure)
        self.assertEqual(away.reason, Reason.UNAVAILABLE)
