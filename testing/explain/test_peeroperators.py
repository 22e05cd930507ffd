import unittest

import aiohttp

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.explain.peeroperators import HttpPeerOperatorClient
from _monsoonpulley.operator_wire import ExplainBody
from testing.operatorserver import CREDENTIAL, OperatorServer


class HttpPeerOperatorClientTest(unittest.IsolatedAsyncioTestCase):
    async def fetch_explanation(self, address, subject, credential=CREDENTIAL):
        async with aiohttp.ClientSession() as session:
            client = HttpPeerOperatorClient(session)
            return await client.explain_local(
                "e1", address, subject, f"Bearer {credential}"
            )

    async def test_lines_are_fetched_with_the_subject_quoted(self):
        with OperatorServer() as server:
            address = server.url.removeprefix("http://")
            body = await self.fetch_explanation(address, "rollout:pool/v 2?")
        self.assertIsInstance(body, ExplainBody)
        self.assertEqual(body.subject, "rollout:pool/v 2?")
        self.assertEqual(body.lines[0].event, "routed")

    async def test_a_wrong_credential_and_a_missing_server_are_failures(self):
        with OperatorServer() as server:
            address = server.url.removeprefix("http://")
            unauthenticated = await self.fetch_explanation(address, "config", "wrong")
        unreachable = await self.fetch_explanation(address, "config")
        self.assertEqual(unauthenticated.reason, Reason.UNAUTHENTICATED)
        self.assertIsInstance(unreachable, Failure)
        self.assertEqual(unreachable.reason, Reason.UNAVAILABLE)
