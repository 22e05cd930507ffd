"""Adapters for the platform's services, against the HTTP stand-in."""

import asyncio
import contextlib
import json
import unittest
from random import Random

import aiohttp
import msgspec

from _monsoonpulley.clock import Clock
from _monsoonpulley.errors import Failure, Reason, SettingsError
from _monsoonpulley.external.cloud import InstanceSpec, Price
from _monsoonpulley.external.connect import connect_platform
from _monsoonpulley.external.livelist import Member, MemberState, Role
from _monsoonpulley.external.table import Committed, Conflict, Row, Write
from _monsoonpulley.ids import ZoneId
from _monsoonpulley.settings.inivalues import AdapterAddress
from _monsoonpulley.standins.brokenanswers import Breakage, BrokenAnswers
from _monsoonpulley.standins.faults import FaultKind
from _monsoonpulley.standins.httpserver import run_server
from _monsoonpulley.standins.platform import PlatformStandin
from _monsoonpulley.standins.platform_http import PlatformHttp, settings_for
from _monsoonpulley.standins.table import TableStandin

TIMEOUT_MS = 2_000
INNER_TIMEOUT_MS = 500
SPEC = InstanceSpec(ZoneId("zone-a"), "large", True, "model", "v1")


def http_answer(status, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def sd_group(instance, targets, state):
    values = {"instance": instance, "role": "endpoint", "zone": "z", "state": state}
    labels = {f"__meta_platform_{name}": value for name, value in values.items()}
    return {"targets": targets, "labels": labels}


class AdapterCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.standin = PlatformStandin(Clock.from_system(), Random(1))
        self.app = BrokenAnswers(PlatformHttp(self.standin, INNER_TIMEOUT_MS).app())
        server = await stack.enter_async_context(run_server(self.app))
        self.base_url = server.url
        self.session = await stack.enter_async_context(aiohttp.ClientSession())
        self.platform = self.connect("zone-a")
        self.table = self.platform.table

    def connect(self, zone):
        settings = settings_for(self.base_url, zone, TIMEOUT_MS)
        return connect_platform(settings, self.session)

    def assert_failure(self, result, reason):
        self.assertIsInstance(result, Failure)
        self.assertIs(result.reason, reason, str(result))


class EtcdTableTest(AdapterCase):
    async def test_committed_rows_are_read_unchanged(self):
        rows = {"a": b"", "a/b": b"\0\xff", "é ?": b"x" * 5_000}
        writes = [Write(key, value, 0) for key, value in rows.items()]
        committed = await self.table.commit(writes)
        self.assertEqual(committed, Committed(self.standin.table.revision))
        for key, value in rows.items():
            row = Row(key, value, committed.revision)
            self.assertEqual(await self.table.read(key), row)
        self.assertIsNone(await self.table.read("b"))

    async def test_a_conflict_returns_the_current_rows_and_changes_nothing(self):
        first = await self.table.commit([Write("a", b"1", 0)])
        result = await self.table.commit([Write("b", b"2", 0), Write("a", None, 0)])
        self.assertEqual(result, Conflict({"a": Row("a", b"1", first.revision)}))
        self.assertEqual(list(self.standin.table.rows), ["a"])

    async def test_results_equal_those_of_an_in_memory_table(self):
        rng = Random(11)
        model = TableStandin(Clock.from_system(), rng)
        keys = ["a", "a/", "a/b", "b", "é", "éé", "\U0010ffff"]
        for _ in range(200):
            chosen_keys = rng.sample(keys, rng.randint(1, 3))
            current_rows = [model.rows.get(key) for key in chosen_keys]
            revisions = [row.revision if row else 0 for row in current_rows]
            writes = [
                Write(
                    key, rng.choice([b"", b"1", None]), rng.choice([revision] * 9 + [1])
                )
                for key, revision in zip(chosen_keys, revisions, strict=True)
            ]
            self.assertEqual(await self.table.commit(writes), model.commit(writes))
            prefix, after, limit = rng.choice(keys), rng.choice(keys), rng.randint(1, 9)
            self.assertEqual(
                await self.table.scan(prefix, after=after, limit=limit),
                model.scan(prefix, after, limit),
            )
        self.assertGreater(model.counts.conflicts, 10)

    async def test_a_row_is_deleted_at_its_revision(self):
        first = await self.table.commit([Write("a", b"1", 0)])
        result = await self.table.commit([Write("a", None, first.revision)])
        self.assertIsInstance(result, Committed)
        self.assertEqual(self.standin.table.rows, {})

    async def test_scan_pages_through_a_prefix(self):
        keys = ["é/1", "é/2", "é/3", "o", "z"]
        await self.table.commit([Write(key, b"", 0) for key in keys])
        first = await self.table.scan("é/", limit=2)
        rest = await self.table.scan("é/", after=first[-1].key, limit=2)
        self.assertEqual([row.key for row in first + rest], keys[:3])
        after_o = await self.table.scan("", after="o")
        self.assertEqual([row.key for row in after_o], ["z", *keys[:3]])
        self.assertEqual(await self.table.scan("é/", after="é0"), ())
        self.assertEqual(await self.table.scan("é/", limit=0), ())

    async def test_a_malformed_commit_is_invalid(self):
        result = await self.table.commit([Write("a", b"1", 0)] * 2)
        self.assert_failure(result, Reason.INVALID)
        self.assert_failure(
            await self.table.commit([Write("", b"", 0)]), Reason.INVALID
        )

    async def test_an_outage_is_unavailable(self):
        self.standin.faults.outage(True)
        result = await self.table.commit([Write("a", b"1", 0)])
        self.assert_failure(result, Reason.UNAVAILABLE)
        self.assert_failure(await self.table.read("a"), Reason.UNAVAILABLE)

    async def test_a_timeout_inside_the_platform_leaves_a_commit_in_doubt(self):
        self.standin.faults.next_commit(FaultKind.LOST_ANSWER)
        result = await self.table.commit([Write("a", b"1", 0)])
        self.assert_failure(result, Reason.IN_DOUBT)
        self.assertIn("a", self.standin.table.rows)

    async def test_reads_over_the_rate_limit_return_a_retry_time(self):
        self.standin.table.limit_rates(reads_per_s=0.1)
        self.assertIsNone(await self.table.read("a"))
        result = await self.table.read("a")
        self.assert_failure(result, Reason.UNAVAILABLE)
        self.assertEqual(result.retry_after_ms, 10_000)
        self.assertIsInstance(await self.table.commit([Write("a", b"", 0)]), Committed)

    async def test_broken_answers_leave_commits_in_doubt(self):
        for number, breakage in enumerate(Breakage):
            with self.subTest(breakage):
                self.app.next_answer(breakage)
                result = await self.table.commit([Write(f"k{number}", b"", 0)])
                is_redirect = breakage is Breakage.REDIRECT
                reason = Reason.PROTOCOL if is_redirect else Reason.IN_DOUBT
                self.assert_failure(result, reason)
                self.assertEqual(self.standin.table.counts.commits, number + 1)

    async def test_broken_answers_to_reads_are_never_in_doubt(self):
        reasons = {
            Breakage.GARBAGE: Reason.PROTOCOL,
            Breakage.WRONG_SHAPE: Reason.PROTOCOL,
            Breakage.REDIRECT: Reason.PROTOCOL,
        }
        for breakage in Breakage:
            with self.subTest(breakage):
                reason = reasons.get(breakage, Reason.UNAVAILABLE)
                self.app.next_answer(breakage, 2)
                self.assert_failure(await self.table.read("a"), reason)
                self.assert_failure(await self.table.scan("a"), reason)

    async def test_only_a_partitioned_zone_gets_unavailable(self):
        self.standin.network.cut("zone-a")
        write = [Write("a", b"1", 0)]
        self.assert_failure(await self.table.commit(write), Reason.UNAVAILABLE)
        other = self.connect("zone-b").table
        self.assertIsInstance(await other.commit(write), Committed)


class OtherAdaptersTest(AdapterCase):
    async def test_objects_with_any_name_and_bytes_are_stored_and_deleted(self):
        objects = self.platform.objects
        for name in ("a", "a/b c", "..", "../x?y=%2F#é"):
            with self.subTest(name):
                self.assertIsNone(await objects.get(name))
                self.assertIsNone(await objects.put(name, b"\0\xff"))
                self.assertEqual(self.standin.objects.data, {name: b"\0\xff"})
                self.assertEqual(await objects.get(name), b"\0\xff")
                self.assert_failure(await objects.put(name, b"2"), Reason.CONFLICT)
                self.assertIsNone(await objects.delete(name))
                self.assertIsNone(await objects.delete(name))

    async def test_object_store_failures_tell_whether_they_are_in_doubt(self):
        objects = self.platform.objects
        self.standin.faults.next_call("objects.put", FaultKind.LOST_ANSWER)
        self.assert_failure(await objects.put("a", b"1"), Reason.IN_DOUBT)
        self.app.next_answer(Breakage.TRUNCATED)
        self.assert_failure(await objects.get("a"), Reason.UNAVAILABLE)
        self.standin.faults.outage(True)
        self.assert_failure(await objects.get("a"), Reason.UNAVAILABLE)
        self.assert_failure(await objects.delete("a"), Reason.UNAVAILABLE)

    async def test_the_live_list_keeps_every_field(self):
        members = (
            Member("e-1", Role.ENTRY, "zone-a", "10.0.0.1:80", "tcp://10.0.0.1:7101"),
            Member(
                "w-1",
                Role.ENDPOINT,
                "zone-b",
                "10.0.0.2:80",
                "",
                "model",
                "v1",
                "large",
                False,
                MemberState.LEAVING,
            ),
        )
        self.standin.livelist.seed(members)
        self.assertEqual(await self.platform.livelist.members(), members)
        self.app.next_answer(Breakage.WRONG_SHAPE)
        failure = await self.platform.livelist.members()
        self.assert_failure(failure, Reason.PROTOCOL)

    async def test_instances_start_once_per_token_and_stop(self):
        cloud = self.platform.cloud
        self.standin.faults.next_call("cloud.start", FaultKind.LOST_ANSWER)
        self.assert_failure(await cloud.start("t", SPEC), Reason.IN_DOUBT)
        self.app.next_answer(Breakage.GARBAGE)
        self.assert_failure(await cloud.start("t", SPEC), Reason.IN_DOUBT)
        name = await cloud.start("t", SPEC)
        self.assertEqual(list(self.standin.cloud.instances), [name])
        self.assertIsNone(await cloud.stop(name))
        self.assertIsNone(await cloud.stop(name))
        self.assert_failure(await cloud.stop("i-none"), Reason.NOT_FOUND)
        self.standin.cloud.refuse_starts(True)
        self.assert_failure(await cloud.start("t2", SPEC), Reason.OVERLOADED)

    async def test_notices_and_prices_are_read_unchanged(self):
        cloud = self.platform.cloud
        self.standin.cloud.add_running("i-a", SPEC)
        self.standin.cloud.reclaim_zone("zone-a", 60_000)
        self.assertEqual(await cloud.notices(), self.standin.cloud.notices())
        self.assertEqual(len(await cloud.notices()), 1)
        price = Price("zone-a", "large", True, 300)
        self.standin.cloud.set_prices([price])
        self.assertEqual(await cloud.prices(), (price,))


class ConnectTest(unittest.TestCase):
    def test_errors_name_the_wrong_setting(self):
        settings = settings_for("http://127.0.0.1:1", "z", TIMEOUT_MS)
        unknown = msgspec.structs.replace(
            settings, table=AdapterAddress("sql", "http://a")
        )
        with self.assertRaisesRegex(SettingsError, r"table: .*sql.*etcd-v3-json"):
            connect_platform(unknown, None)
        no_url = msgspec.structs.replace(settings, cloud=AdapterAddress("http", "a:1"))
        with self.assertRaisesRegex(SettingsError, "cloud: .*a:1"):
            connect_platform(no_url, None)


class ConnectionFaultsTest(unittest.IsolatedAsyncioTestCase):
    """Faults below HTTP, from a server that sends the answers of a list."""

    async def asyncSetUp(self):
        self.answers = []
        self.requests = []
        self.tasks = []
        self.finish_event = asyncio.Event()
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.addAsyncCleanup(self.finish)
        port = self.server.sockets[0].getsockname()[1]
        self.connector = aiohttp.TCPConnector(limit=2)
        self.session = aiohttp.ClientSession(connector=self.connector)
        self.addAsyncCleanup(self.session.close)
        settings = settings_for(f"http://127.0.0.1:{port}", "z", TIMEOUT_MS)
        self.platform = connect_platform(settings, self.session)

    async def finish(self):
        self.finish_event.set()
        self.server.close()
        await asyncio.gather(*self.tasks)

    def accept(self, reader, writer):
        self.tasks.append(asyncio.ensure_future(self.handle(reader, writer)))

    async def handle(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head.split(b" ")[0].decode())
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                await reader.readexactly(length)
                answer = self.answers.pop(0) if self.answers else None
                if answer is None:
                    break
                if answer == "hang":
                    await self.finish_event.wait()
                    break
                writer.write(answer)
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()

    async def test_a_failed_connection_is_unavailable(self):
        self.server.close()
        await self.server.wait_closed()
        result = await self.platform.table.commit([Write("a", b"", 0)])
        self.assertIs(result.reason, Reason.UNAVAILABLE)

    async def test_a_reset_after_sending_leaves_a_commit_in_doubt(self):
        result = await self.platform.table.commit([Write("a", b"", 0)])
        self.assertIs(result.reason, Reason.IN_DOUBT)
        self.assertEqual(self.requests, ["POST"])

    async def test_a_timeout_leaves_a_commit_in_doubt_and_a_read_unavailable(self):
        self.answers = ["hang", "hang"]
        commit = self.platform.table.commit([Write("a", b"", 0)])
        read = self.platform.table.read("a")
        results = await asyncio.wait_for(
            asyncio.gather(commit, read), 5 * TIMEOUT_MS / 1_000
        )
        reasons = [result.reason for result in results]
        self.assertEqual(reasons, [Reason.IN_DOUBT, Reason.UNAVAILABLE])

    async def test_a_malformed_http_answer_leaves_a_commit_in_doubt(self):
        self.answers = [b"\xff\xfe nonsense\r\n\r\n"]
        result = await self.platform.table.commit([Write("a", b"", 0)])
        self.assertIs(result.reason, Reason.IN_DOUBT)

    async def test_a_timeout_while_waiting_for_a_connection_is_unavailable(self):
        self.answers = ["hang", "hang"]
        table = self.platform.table
        results = await asyncio.gather(
            *(table.commit([Write(key, b"", 0)]) for key in "abc")
        )
        reasons = [result.reason for result in results]
        # The pool decides which of the three gets no connection.
        expected = [Reason.IN_DOUBT] * 2 + [Reason.UNAVAILABLE]
        self.assertCountEqual(reasons, expected)
        self.assertEqual(len(self.requests), 2)

    async def test_a_read_answered_with_other_rows_is_a_protocol_failure(self):
        rows = b'{"header": {"revision": "5"}, "kvs": [{"key": "Yg=="}]}'
        self.answers = [http_answer(200, rows)]
        result = await self.platform.table.read("a")
        self.assertIs(result.reason, Reason.PROTOCOL)

    async def test_a_server_error_leaves_a_start_in_doubt_whatever_its_body(self):
        self.answers = [http_answer(500, b'{"reason": "unavailable"}')]
        result = await self.platform.cloud.start("t", SPEC)
        self.assertIs(result.reason, Reason.IN_DOUBT)

    async def test_foreign_targets_are_skipped_and_unknown_states_are_leaving(self):
        groups = [
            {"targets": ["10.0.0.9:9100"], "labels": {"job": "node"}},
            sd_group("two", ["10.0.0.1:80", "10.0.0.2:80"], "live"),
            sd_group("w-1", ["10.0.0.1:80"], "live"),
            sd_group("w-2", ["10.0.0.2:80"], "rebooting"),
        ]
        self.answers = [http_answer(200, json.dumps(groups).encode())]
        members = await self.platform.livelist.members()
        states = [(member.instance, member.state) for member in members]
        expected = [("w-1", MemberState.LIVE), ("w-2", MemberState.LEAVING)]
        self.assertEqual(states, expected)

    async def test_no_request_is_resent_when_a_reused_connection_breaks(self):
        ok = b"HTTP/1.1 204 No Content\r\n\r\n"
        for change in (
            lambda: self.platform.objects.put("a", b"1"),
            lambda: self.platform.objects.delete("a"),
            lambda: self.platform.cloud.stop("i"),
        ):
            self.answers = [ok]
            self.requests.clear()
            self.assertIsNone(await change())
            failure = await change()
            self.assertIs(failure.reason, Reason.IN_DOUBT)
            self.assertEqual(len(self.requests), 2)
