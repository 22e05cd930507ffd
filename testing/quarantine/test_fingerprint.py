"""Fingerprints of parts of prompts."""

from __future__ import annotations

import unittest

from _monsoonpulley.quarantine.fingerprint import Fingerprinter


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
