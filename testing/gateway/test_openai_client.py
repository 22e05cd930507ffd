"""Run the published OpenAI client against an entry instance on a real socket."""

import asyncio
import unittest
from unittest import mock

import openai

from _monsoonpulley.demo.deployment import BENCH_CREDENTIAL, DemoDeployment
from _monsoonpulley.requests import generation


class OpenAIClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(DemoDeployment())
        self.client = self.make_client(BENCH_CREDENTIAL)

    def make_client(self, credential):
        client = openai.AsyncOpenAI(
            base_url=self.deployment.url("entry-1") + "/v1",
            api_key=credential,
            max_retries=0,
        )
        self.addAsyncCleanup(client.close)
        return client

    async def test_models_completions_streams_and_errors(self):
        await self.check_models()
        whole = await self.check_whole_chat()
        await self.check_streamed_chat(whole)
        await self.check_completions()
        await self.check_errors()

    async def check_models(self):
        models = await self.client.models.list()
        self.assertIn("bench-question", [model.id for model in models.data])

    async def check_whole_chat(self):
        answer = await self.client.chat.completions.create(
            model="bench-question", messages=_messages(), max_tokens=6
        )
        self.assertEqual(answer.choices[0].finish_reason, "length")
        self.assertEqual(answer.usage.completion_tokens, 6)
        self.assertEqual(answer.choices[0].message.role, "assistant")
        return answer.choices[0].message.content

    async def check_streamed_chat(self, whole):
        stream = await self.client.chat.completions.create(
            model="bench-question",
            messages=_messages(),
            max_tokens=6,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = [chunk async for chunk in stream]
        texts = [c.delta.content or "" for chunk in chunks for c in chunk.choices]
        self.assertEqual("".join(texts), whole)
        self.assertEqual(chunks[-1].usage.completion_tokens, 6)
        self.assertEqual(len({chunk.id for chunk in chunks}), 1)

    async def check_completions(self):
        answer = await self.client.completions.create(
            model="frame-tag", prompt="sort this frame", max_tokens=2
        )
        self.assertEqual(len(answer.choices[0].text.split()), 2)
        stream = await self.client.completions.create(
            model="frame-tag", prompt="sort this frame", max_tokens=2, stream=True
        )
        texts = [c.text async for chunk in stream for c in chunk.choices]
        self.assertEqual("".join(texts), answer.choices[0].text)

    async def check_errors(self):
        with self.assertRaises(openai.NotFoundError) as caught:
            await self.client.completions.create(model="nothing", prompt="x")
        self.assertEqual(caught.exception.code, "not_found")
        with self.assertRaises(openai.BadRequestError):
            await self.client.chat.completions.create(model="frame-tag", messages=[])
        with self.assertRaises(openai.AuthenticationError):
            await self.make_client("wrong").models.list()

    async def test_a_stream_that_no_engine_continues_ends_with_an_error(self):
        stream = await self.client.chat.completions.create(
            model="condition-report", messages=_messages(), max_tokens=4000, stream=True
        )
        chunks = aiter(stream)
        await anext(chunks)
        with mock.patch.object(generation, "MAX_ENGINE_WAIT_MS", 0):
            for engine in self.deployment.standins.engines.values():
                engine.crash()
            with self.assertRaises(openai.APIError):
                async for chunk in chunks:
                    self.assertIsNone(chunk.choices[0].finish_reason)

    async def test_a_caller_that_disconnects_frees_its_engine(self):
        stream = await self.client.chat.completions.create(
            model="condition-report", messages=_messages(), max_tokens=4000, stream=True
        )
        await anext(aiter(stream))
        await stream.close()
        lifecycle = self.deployment.entries["entry-1"].instance.lifecycle
        async with asyncio.timeout(10):
            await lifecycle.wait_no_requests()
        generated = sum(
            engine.counters.generated_tokens
            for engine in self.deployment.standins.engines.values()
        )
        self.assertLess(generated, 4_000)


def _messages():
    return [{"role": "user", "content": "which bole under water gilding"}]
