"""An odd entry in the live list or the table costs only itself."""

from __future__ import annotations

import base64
import json
import unittest
from types import SimpleNamespace

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.external.etcd_table import EtcdTable
from _monsoonpulley.external.http_livelist import LABEL_PREFIX, HttpLiveList
from _monsoonpulley.external.httpapi import HttpAnswer, HttpApi
from _monsoonpulley.external.livelist import Member, Role
from _monsoonpulley.requests.crashguard import probe_address

DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = b"9" * 5_000


def entry(instance: str, address: str = "127.0.0.1:80", **labels: str) -> bytes:
    names = {"instance": instance, "role": "endpoint", "zone": "z", **labels}
    names = {LABEL_PREFIX + name: text for name, text in names.items()}
    return json.dumps({"targets": [address], "labels": names}).encode()


def entry_with(field: bytes, text: bytes) -> bytes:
    return entry("odd")[:-1] + b',"%s":%s}' % (field, text)


ODD_ADDRESSES = ("", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:70000")
ODD_ADDRESSES += ("127.0.0.1:" + HUGE.decode(), "127.0.0.1:\u0661", "a\0b:80")
ODD_ADDRESSES += ("a" * 70 + ":80", "127.0.0.1:80/x", "127.0.0.1", "[::1]:70000")

ODD_ENTRIES = (
    *(entry("odd", address) for address in ODD_ADDRESSES),
    *(entry_with(b"x", text) for text in (DEEP, b'"\\ud800"', b'"]},{[\\\\\\"\xff"')),
    *(entry_with(b"labels", text) for text in (b"{}", b"[]", b"7", b'{"a":[{}]}')),
    *(entry_with(b"targets", text) for text in (b"[]", HUGE, b'["\\ud800"]', b"[8]")),
    entry("odd", peer_address="ipc:///x", role="entry"),
    entry("odd", version="v" * 60_000),
    *(DEEP, HUGE, b"null", b'""', b"1e999", b"-1"),
)


def api_answering(body: bytes) -> HttpApi:
    api = HttpApi(SimpleNamespace(), "http://127.0.0.1:1")

    async def send_read(step, method, path, request_body=None):
        return HttpAnswer(200, body)

    api.send_read = send_read
    return api


class TestLiveList(unittest.IsolatedAsyncioTestCase):
    async def test_an_odd_entry_does_not_keep_the_others_from_being_listed(self):
        for odd in ODD_ENTRIES:
            with self.subTest(entry=odd[:300][-60:]):
                body = b"[%s,\n %s , %s]" % (entry("a"), odd, entry("z"))
                members = await HttpLiveList(api_answering(body)).members()
                self.assertNotIsInstance(members, Failure)
                self.assertEqual([m.instance for m in members], ["a", "z"])

    async def test_an_answer_that_is_no_list_is_a_failure_and_no_empty_list(self):
        for body in (b"", b"{}", DEEP[:-1], b"[1", b'["', b"[1,]", b"[][]", HUGE):
            with self.subTest(body=body[:20]):
                failure = await HttpLiveList(api_answering(body)).members()
                self.assertIsInstance(failure, Failure)
                self.assertIs(failure.reason, Reason.PROTOCOL)

    async def test_a_probe_of_an_odd_address_fails_by_itself(self):
        for address in ODD_ADDRESSES:
            with self.subTest(address=address[:40]):
                odd = Member("odd", Role.ENDPOINT, "z", address)
                self.assertIsInstance(await probe_address(odd), Failure)


class TestTable(unittest.IsolatedAsyncioTestCase):
    async def test_an_odd_key_does_not_keep_the_other_rows_from_being_read(self):
        keys = (b"p/a", b"p/\xff" * 60, b"p/z")
        rows = [{"key": base64.b64encode(key).decode()} for key in keys]
        body = json.dumps({"header": {"revision": "3"}, "kvs": rows}).encode()
        rows = await EtcdTable(api_answering(body)).scan("p/")
        self.assertNotIsInstance(rows, Failure)
        self.assertEqual([row.key for row in rows], ["p/a", "p/z"])
