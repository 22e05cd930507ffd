"""Overhead of the gateway: ``python -m benchmarks.gateway``.

One entry instance and one stand-in engine run in processes of their own; the
caller is this process. Prints the time to the first byte through the entry
instance and directly from the engine, and the capacity of one core.
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
CONCURRENT_REQUESTS = 32
SHORT_TOKENS = 4
LONG_TOKENS = 200
LONG_REQUESTS = 60
MAX_READY_POLLS = 200


def completion_request(model: str, tokens: int) -> dict:
    """Return the body of a streamed chat completion request."""
    return {
        "model": model,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": PROMPT}],
    }


async def send_request(
    session: aiohttp.ClientSession, url: str, request: dict
) -> float:
    """Send a request, read the whole answer and return the time to its first byte."""
    start_s = time.perf_counter()
    async with session.post(url, json=request) as response:
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {await response.text()}")
        await response.content.readany()
        elapsed_ms = (time.perf_counter() - start_s) * 1000
        await response.read()
    return elapsed_ms


async def measure_first_byte_ms(
    session: aiohttp.ClientSession, url: str, request: dict
) -> list[float]:
    """Send requests one at a time and return their times to the first byte."""
    for _ in range(WARM_UP_REQUESTS):
        await send_request(session, url, request)
    return [await send_request(session, url, request) for _ in range(LATENCY_REQUESTS)]


async def run_load(
    session: aiohttp.ClientSession, url: str, request: dict, request_count: int
) -> float:
    """Send requests, ``CONCURRENT_REQUESTS`` at once; return the time in seconds."""
    remaining = iter(range(request_count))

    async def send_remaining() -> None:
        for _ in remaining:
            await send_request(session, url, request)

    start_s = time.perf_counter()
    await asyncio.gather(*(send_remaining() for _ in range(CONCURRENT_REQUESTS)))
    return time.perf_counter() - start_s


async def wait_for_status(
    session: aiohttp.ClientSession, url: str, expected_status: int
) -> None:
    """Wait until ``url`` answers with the expected status.

    Raises
    ------
    RuntimeError
        If it has not done so after ``MAX_READY_POLLS`` polls.
    """
    for _ in range(MAX_READY_POLLS):
        try:
            async with session.get(url) as response:
                if response.status == expected_status:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.05)
    raise RuntimeError(f"{url} did not answer with status {expected_status}")


def print_latencies(name: str, times_ms: list[float]) -> tuple[float, float]:
    """Print a line of latencies and return p50 and p99."""
    percentiles = statistics.quantiles(times_ms, n=100)
    print(f"{name:<24} p50 {percentiles[49]:6.2f} ms   p99 {percentiles[98]:6.2f} ms")
    return percentiles[49], percentiles[98]


async def measure(deployment: Deployment) -> None:
    """Run and print all measurements."""
    base = f"http://127.0.0.1:{deployment.port}"
    engine = f"http://{deployment.addresses['engine-1']}/v1/chat/completions"
    gateway = f"{base}/v1/chat/completions"
    headers = {"authorization": f"Bearer {CUSTOMER}"}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:
        await wait_for_status(session, f"{base}/healthz", 200)
        deployment.apply()
        await wait_for_status(session, f"{base}/v1/models", 200)
        direct_ms = await measure_first_byte_ms(
            session, engine, completion_request("model", SHORT_TOKENS)
        )
        gateway_ms = await measure_first_byte_ms(
            session, gateway, completion_request("question", SHORT_TOKENS)
        )
        direct_p50, direct_p99 = print_latencies("engine, direct", direct_ms)
        p50, p99 = print_latencies("through entry instance", gateway_ms)
        print(
            f"ratio                    p50 {p50 / direct_p50:6.2f}      "
            f"p99 {p99 / direct_p99:6.2f}"
        )
        await print_core_capacity(deployment, session, gateway)
    print(f"resident memory          {deployment.entry.resident_bytes() / 1e6:.0f} MB")


async def print_core_capacity(
    deployment: Deployment, session: aiohttp.ClientSession, gateway: str
) -> None:
    """Print the requests and tokens per second that one core can carry."""
    for tokens, count in ((SHORT_TOKENS, LOAD_REQUESTS), (LONG_TOKENS, LONG_REQUESTS)):
        before_s = deployment.entry.cpu_s()
        elapsed_s = await run_load(
            session, gateway, completion_request("question", tokens), count
        )
        cpu_s = deployment.entry.cpu_s() - before_s
        print(
            f"{count} requests of {tokens} tokens, {CONCURRENT_REQUESTS} at once: "
            f"{count / elapsed_s:.0f} requests/s, "
            f"core of the entry instance {cpu_s / elapsed_s:.0%}; "
            f"one core carries {count / cpu_s:.0f} requests/s, "
            f"{count * tokens / cpu_s:.0f} tokens/s"
        )


def main() -> None:
    """Start the processes and measure."""
    with Deployment(PLAN, CONFIGURATION) as deployment:
        asyncio.run(measure(deployment))


if __name__ == "__main__":
    main()
