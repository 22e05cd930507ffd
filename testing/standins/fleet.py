"""Makes engine and plain service stand-ins for tests."""

import random

from _monsoonpulley.endpoints.engine import EngineCall
from _monsoonpulley.endpoints.service import ServiceCall
from _monsoonpulley.ids import RequestId, attempt_id
from _monsoonpulley.standins.engine import EngineStandin
from _monsoonpulley.standins.engine_profile import EngineProfile
from _monsoonpulley.standins.manualloop import running_clock
from _monsoonpulley.standins.plainservice import (
    PlainServiceProfile,
    PlainServiceStandin,
)

CHAT = "/v1/chat/completions"
PLAIN = "/v1/completions"


def prompt(count, name="w"):
    return " ".join(f"{name}{i}" for i in range(count))


def engine(name="e1", computed=None, seed=1, version="v1", **profile):
    return EngineStandin(
        name,
        version,
        running_clock(),
        random.Random(seed),
        EngineProfile(**profile),
        computed,
    )


def engine_call(
    request="r1", attempt=1, words=4, max_tokens=4, path=CHAT, text=None, **fields
):
    text = prompt(words) if text is None else text
    body = {"model": "m", "max_tokens": max_tokens}
    if path == CHAT:
        body["messages"] = [{"role": "user", "content": text}]
    else:
        body["prompt"] = text
    request_id = RequestId(request)
    return EngineCall(request_id, attempt_id(request_id, attempt), path, body, **fields)


async def collect(stream):
    return [item async for item in stream]


def text_of(items):
    return "".join(item.text for item in items if hasattr(item, "text"))


def plain(name="s1", ledger=None, seed=1, version="v1", **profile):
    return PlainServiceStandin(
        name,
        version,
        running_clock(),
        random.Random(seed),
        PlainServiceProfile(**profile),
        ledger,
    )


def service_call(request="r1", attempt=1, timeout_ms=1_000, once=True, **fields):
    request_id = RequestId(request)
    values = {"method": "POST", "path": "/book", "headers": (), "body": b"{}"}
    values.update(fields)
    return ServiceCall(
        request_id,
        attempt_id(request_id, attempt),
        timeout_ms=timeout_ms,
        runs_at_most_once=once,
        **values,
    )
