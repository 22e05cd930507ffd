"""Fingerprints of parts of prompts."""

from __future__ import annotations

import unittest

from _monsoonpulley.ids import Fingerprint
from _monsoonpulley.quarantine.fingerprint import (
    Fingerprinter,
    kind_of,
    outline_in,
)


class TestFingerprints(unittest.TestCase):
    def test_equal_parts_have_equal_fingerprints_and_others_have_not(self):
        of_part = Fingerprinter(b"key").of_part
        self.assertEqual(of_part("5c1e07a2"), of_part("5c1e07a2"))
        self.assertNotEqual(of_part("5c1e07a2"), of_part("5c1e07a3"))

    def test_a_fingerprint_shows_the_part_only_to_those_who_know_the_key(self):
        part = "5c1e07a2"
        fingerprint = Fingerprinter(b"key").of_part(part)
        self.assertNotIn(part, fingerprint)
        self.assertNotEqual(fingerprint, Fingerprinter(b"other").of_part(part))

    def test_requests_of_another_body_have_other_fingerprints(self):
        fingerprinter = Fingerprinter(b"key")
        outline = fingerprinter.outline_of_request(b"POST", b"/x", body_bytes=4)
        first, second = (
            fingerprinter.of_request(outline, body) for body in (b"work", b"play")
        )
        self.assertNotEqual(first, second)
        self.assertEqual((outline_in(first), outline_in(second)), (outline, outline))

    def test_outlines_tell_apart_fields_that_are_divided_otherwise(self):
        outline = Fingerprinter(b"key").outline_of_request
        self.assertNotEqual(
            outline(b"ab", b"c", body_bytes=0), outline(b"a", b"bc", body_bytes=0)
        )

    def test_a_name_of_no_known_kind_is_told(self):
        self.assertIsNone(kind_of(Fingerprint("other-1")))
        self.assertIsNone(outline_in(Fingerprint("part-1")))
