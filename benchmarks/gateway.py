"""Overhead of the gateway: ``python -m benchmarks.gateway``.

One entry daemon and one stand-in engine, each in a process of its own, and a
caller in this one. Prints the time to the first byte through the daemon and
straight to the engine, and what one core of the daemon carries.
"""

from __future__ import annotations

import asyncio
import statistics
import time

import aiohttp

from .processes import CUSTOMER, Deployment, sha256

PLAN = """
[platform]
listen = 127.0.0.1:0
[endpoint engine-1]
kind = model
service = model
version = v1
zone = zone-a
listen = 127.0.0.1:0
prefill_tokens_per_s = 10000000
decode_base_ms = 0.1
max_running = 256
"""

CONFIGURATION = f"""
[service model]
kind = model
[version model v1]
[class question]
service = model
answer_within_ms = 60000
[customer bench]
credential_sha256 = {sha256(CUSTOMER)}
"""

PROMPT = "which bole goes under water gilding and how long must it dry " * 8
LATENCY_REQUESTS = 400
WARM_UP_REQUESTS = 50
LOAD_REQUESTS = 1_500
LOAD_AT_ONCE = 32
SHORT_TOKENS = 4
LONG_TOKENS = 200
LONG_REQUESTS = 60
READY_ATTEMPTS = 200


def body(model: str, tokens: int) -> dict:
    """Return a streamed request."""
    return {
        "model": model,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": PROMPT}],
    }


async def first_byte_ms(
    session: aiohttp.ClientSession, url: str, request: dict
) -> float:
    """Send a request, read it all and return the time to its first byte."""
    started = time.perf_counter()
    async with session.post(url, json=request) as response:
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {await response.text()}")
        await response.content.readany()
        took_ms = (time.perf_counter() - started) * 1000
        await response.read()
    return took_ms


async def latencies(
    session: aiohttp.ClientSession, url: str, request: dict
) -> list[float]:
    """Return times to the first byte, one request at a time."""
    for _ in range(WARM_UP_REQUESTS):
        await first_byte_ms(session, url, request)
    return [await first_byte_ms(session, url, request) for _ in range(LATENCY_REQUESTS)]


async def load(
    session: aiohttp.ClientSession, url: str, request: dict, count: int
) -> float:
    """Send ``count`` requests, a fixed number at once; return seconds."""
    left = iter(range(count))

    async def worker() -> None:
        for _ in left:
            await first_byte_ms(session, url, request)

    started = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(LOAD_AT_ONCE)))
    return time.perf_counter() - started


async def wait_for_status(session: aiohttp.ClientSession, url: str, want: int) -> None:
    """Wait until ``url`` answers with a status."""
    for _ in range(READY_ATTEMPTS):
        try:
            async with session.get(url) as response:
                if response.status == want:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.05)
    raise RuntimeError(f"{url} did not answer with status {want}")


def row(name: str, times_ms: list[float]) -> tuple[float, float]:
    """Print one line of latencies; return p50 and p99."""
    cuts = statistics.quantiles(times_ms, n=100)
    print(f"{name:<24} p50 {cuts[49]:6.2f} ms   p99 {cuts[98]:6.2f} ms")
    return cuts[49], cuts[98]


async def measure(deployment: Deployment) -> None:
    """Run all measurements and print them."""
    base = f"http://127.0.0.1:{deployment.port}"
    engine = f"http://{deployment.addresses['engine-1']}/v1/chat/completions"
    gateway = f"{base}/v1/chat/completions"
    headers = {"authorization": f"Bearer {CUSTOMER}"}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:
        await wait_for_status(session, f"{base}/healthz", 200)
        deployment.apply()
        await wait_for_status(session, f"{base}/v1/models", 200)
        direct = await latencies(session, engine, body("model", SHORT_TOKENS))
        through = await latencies(session, gateway, body("question", SHORT_TOKENS))
        direct_p50, direct_p99 = row("engine, straight", direct)
        p50, p99 = row("through the daemon", through)
        print(
            f"ratio                    p50 {p50 / direct_p50:6.2f}      "
            f"p99 {p99 / direct_p99:6.2f}"
        )
        await per_core(deployment, session, gateway)
    print(f"resident memory          {deployment.entry.resident_bytes() / 1e6:.0f} MB")


async def per_core(
    deployment: Deployment, session: aiohttp.ClientSession, gateway: str
) -> None:
    """Print requests and tokens that one core of the daemon carries."""
    for tokens, count in ((SHORT_TOKENS, LOAD_REQUESTS), (LONG_TOKENS, LONG_REQUESTS)):
        before_s = deployment.entry.cpu_s()
        took_s = await load(session, gateway, body("question", tokens), count)
        cpu_s = deployment.entry.cpu_s() - before_s
        print(
            f"{count} requests of {tokens} tokens, {LOAD_AT_ONCE} at once: "
            f"{count / took_s:.0f} requests/s, daemon's core {cpu_s / took_s:.0%}; "
            f"one core carries {count / cpu_s:.0f} requests/s, "
            f"{count * tokens / cpu_s:.0f} tokens/s"
        )


def main() -> None:
    """Measure with processes of this program."""
    with Deployment(PLAN, CONFIGURATION) as deployment:
        asyncio.run(measure(deployment))


if __name__ == "__main__":
    main()
