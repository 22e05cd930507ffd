"""Table, object store and endpoints with faults that a test chooses."""

from __future__ import annotations

import asyncio
import random
from enum import Enum

from _monsoonpulley.endpoints.service import Execution, Lookup, ServiceAnswer
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.external.table import Committed, Conflict, Row
from _monsoonpulley.ids import EndpointId


class Gate:
    """Blocks an instance at its next I/O while it is paused or has crashed."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()

    def close(self):
        self._open.clear()

    def open(self):
        self._open.set()

    async def pass_through(self):
        await self._open.wait()


class Fault(Enum):
    NONE = "none"
    UNAVAILABLE = "unavailable"
    ANSWER_LOST = "answer_lost"
    WRITE_LOST = "write_lost"
    DELAYED = "delayed"


class FaultyTable:
    """Table in memory; ``next_fault`` gives the fault of each commit."""

    def __init__(self, next_fault=lambda: Fault.NONE, delay_ms=lambda: 1_000):
        self.rows: dict[str, Row] = {}
        self.deletions: dict[str, int] = {}
        self.is_down = False
        self.commits = 0
        self.next_fault = next_fault
        self.delay_ms = delay_ms
        self._revision = 0

    async def read(self, key):
        await asyncio.sleep(0.001)
        return _unavailable("table.read") if self.is_down else self.rows.get(key)

    async def scan(self, prefix, *, after="", limit=500):
        await asyncio.sleep(0.001)
        if self.is_down:
            return _unavailable("table.scan")
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return tuple(self.rows[key] for key in keys[:limit])

    async def commit(self, writes):
        await asyncio.sleep(0.002)
        self.commits += 1
        fault = Fault.UNAVAILABLE if self.is_down else self.next_fault()
        if fault is Fault.UNAVAILABLE:
            return _unavailable("table.commit")
        if fault is Fault.NONE:
            return self.apply(writes)
        if fault is Fault.ANSWER_LOST:
            self.apply(writes)
        if fault is Fault.DELAYED:
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_ms() / 1000, self.apply, writes)
        return Failure(Reason.IN_DOUBT, "table.commit", "table", fault.value)

    def apply(self, writes):
        for write in writes:
            row = self.rows.get(write.key)
            if (row.revision if row else 0) != write.expected_revision:
                keys = [each.key for each in writes]
                found = {key: self.rows[key] for key in keys if key in self.rows}
                return Conflict(found)
        self._revision += 1
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                count = self.deletions.get(write.key, 0)
                self.deletions[write.key] = count + 1
            else:
                self.rows[write.key] = Row(write.key, write.value, self._revision)
        return Committed(self._revision)


class FaultyObjects:
    def __init__(self):
        self.data: dict[str, bytes] = {}
        self.is_down = False

    async def put(self, name, data):
        await asyncio.sleep(0.001)
        if self.is_down:
            return _unavailable("objects.put")
        assert self.data.get(name, data) == data, (
            "other bytes were written to an existing object"
        )
        self.data[name] = data
        return None

    async def get(self, name):
        await asyncio.sleep(0.001)
        return _unavailable("objects.get") if self.is_down else self.data.get(name)

    async def delete(self, name):
        await asyncio.sleep(0.001)
        if self.is_down:
            return _unavailable("objects.delete")
        self.data.pop(name, None)
        return None


class Gated:
    """A platform service that one instance reaches through its gate."""

    def __init__(self, service, gate):
        self._service = service
        self._gate = gate

    def __getattr__(self, name):
        method = getattr(self._service, name)

        async def call(*args, **kwargs):
            await self._gate.pass_through()
            result = await method(*args, **kwargs)
            await self._gate.pass_through()
            return result

        return call


class GatedClock:
    def __init__(self, clock, gate):
        self._clock = clock
        self._gate = gate
        self.now_ms = clock.now_ms
        self.wall_ms = clock.wall_ms

    async def sleep_ms(self, duration_ms):
        await self._clock.sleep_ms(duration_ms)
        await self._gate.pass_through()


class CallEffect(Enum):
    ANSWER = "answer"
    REFUSE = "refuse"
    NOT_SENT = "not_sent"
    RESET_BEFORE = "reset_before"
    RESET_AFTER = "reset_after"
    LATE = "late"
    SLOW = "slow"


class FaultyEndpoints:
    """Endpoints that keep the answers of their runs and call ``on_run`` for each."""

    def __init__(self, names, rng: random.Random, on_run, *, can_look_up):
        self.names = [EndpointId(name) for name in names]
        self.has_room = True
        self.can_look_up = can_look_up
        self.next_effect = lambda: CallEffect.ANSWER
        self.delay_ms = lambda: 1_000
        self.answers: dict[tuple, ServiceAnswer] = {}
        self.running_calls: set[tuple] = set()
        self._blocked_calls: set[tuple] = set()
        self._rng = rng
        self._on_run = on_run

    def choose(self, submission, tried):
        untried = [name for name in self.names if name not in tried]
        if not untried or not self.has_room:
            return Failure(Reason.NO_ENDPOINT, "routing.choose")
        return self._rng.choice(untried)

    async def send(self, submission, endpoint, attempt_id):
        await asyncio.sleep(0.001)
        effect, call_key = self.next_effect(), (endpoint, submission.request_id)
        if effect is CallEffect.NOT_SENT:
            return _send_failure(endpoint, Delivery.NOT_SENT)
        if effect is CallEffect.REFUSE or call_key in self._blocked_calls:
            return _send_failure(endpoint, Delivery.REFUSED)
        if effect is CallEffect.RESET_BEFORE:
            return _send_failure(endpoint, Delivery.MAYBE)
        if effect is CallEffect.LATE:
            late_s = self.delay_ms() / 1000
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._run_late, submission, call_key)
            return _send_failure(endpoint, Delivery.MAYBE)
        if effect is CallEffect.SLOW:
            self.running_calls.add(call_key)
            await asyncio.sleep(self.delay_ms() / 1000)
            self.running_calls.discard(call_key)
        answer = self._run(submission, call_key)
        if effect is CallEffect.RESET_AFTER:
            return _send_failure(endpoint, Delivery.MAYBE)
        return answer

    async def lookup(self, submission, endpoint):
        await asyncio.sleep(0.001)
        call_key = (endpoint, submission.request_id)
        if not self.can_look_up:
            return Lookup(Execution.UNKNOWN)
        if call_key in self.running_calls:
            return Lookup(Execution.RUNNING)
        if call_key in self.answers:
            return Lookup(Execution.RAN, self.answers[call_key])
        self._blocked_calls.add(call_key)
        return Lookup(Execution.NOT_RUN)

    def _run_late(self, submission, call_key):
        if call_key not in self._blocked_calls:
            self._run(submission, call_key)

    def _run(self, submission, call_key):
        body = b"answer to " + submission.body
        self.answers[call_key] = ServiceAnswer(200, (), body)
        self._on_run(submission)
        return self.answers[call_key]


class GatedEndpoints:
    """The dispatcher of one instance, whose sends wait at the instance's gate."""

    def __init__(self, endpoints, gate, clock):
        self.choose = endpoints.choose
        self.lookup = Gated(endpoints, gate).lookup
        self._endpoints = endpoints
        self._gate = gate
        self._clock = clock
        self._waiting_since_ms: dict[object, int] = {}

    def max_wait_ms(self) -> int:
        """Return how long the oldest checked send has waited at the gate."""
        now_ms = self._clock.now_ms()
        return max((now_ms - at for at in self._waiting_since_ms.values()), default=0)

    async def send(self, submission, endpoint, attempt_id):
        self._waiting_since_ms[attempt_id] = self._clock.now_ms()
        await self._gate.pass_through()
        del self._waiting_since_ms[attempt_id]
        result = await self._endpoints.send(submission, endpoint, attempt_id)
        await self._gate.pass_through()
        return result


def _unavailable(step):
    return Failure(Reason.UNAVAILABLE, step, "table", "simulated outage")


def _send_failure(endpoint, delivery):
    return Failure(Reason.PEER_ERROR, "endpoint.call", endpoint, delivery=delivery)
