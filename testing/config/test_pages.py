"""The examples are valid and the reference names every field."""

import re
import unittest
from pathlib import Path

import msgspec

from _monsoonpulley.config.document import Customer, RequestClass, Service, Version
from _monsoonpulley.config.ini import parse_document
from _monsoonpulley.external.bundle import Platform
from _monsoonpulley.external.connect import connect_platform
from _monsoonpulley.settings.process import Settings

ROOT = Path(__file__).parent.parent.parent


def documented_fields(page):
    """Return the fields of the page's tables and their defaults, by section."""
    sections = {}
    for block in (ROOT / page).read_text(encoding="utf-8").split("\n## `[")[1:]:
        title = block.split("]", 1)[0].split()[0]
        rows = re.findall(r"^\| `(\w+)` \|.*\| ([^|]*) \|$", block, re.MULTILINE)
        sections[title] = dict(rows)
    return sections


def default_text(field):
    if field.required:
        return "required"
    value = field.default
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    if isinstance(value, tuple):
        value = ", ".join(str(one) for one in value)
    value = getattr(value, "value", value)
    return "empty" if value == "" else f"`{value}`"


class PagesTest(unittest.TestCase):
    def assert_documented(self, rows, struct_type):
        fields = msgspec.structs.fields(struct_type)
        self.assertEqual(sorted(rows), sorted(field.name for field in fields))
        for field in fields:
            expected = default_text(field)
            self.assertTrue(rows[field.name].startswith(expected), field.name)

    def test_every_setting_is_documented_with_its_default(self):
        pages = documented_fields("docs/reference/settings.md")
        sections = {field.name: field for field in msgspec.structs.fields(Settings)}
        self.assertEqual(list(pages), list(sections))
        for name, section in sections.items():
            with self.subTest(name):
                self.assert_documented(pages[name], section.type)

    def test_every_field_of_the_configuration_is_documented(self):
        pages = documented_fields("docs/reference/configuration.md")
        structs = {"class": RequestClass, "customer": Customer, "service": Service}
        for name, struct_type in structs.items():
            with self.subTest(name):
                self.assert_documented(pages[name], struct_type)
        self.assertEqual(list(pages["version"]), ["deadline"])
        names = [field.name for field in msgspec.structs.fields(Version)]
        self.assertEqual(names, ["service", "version", "deadline_wall_ms"])

    def test_examples_are_valid(self):
        for name in ("aforo-comun", "gilt-workshop"):
            path = ROOT / "examples" / f"{name}.ini"
            document = parse_document(path.read_text(encoding="utf-8"), str(path))
            self.assertEqual(len(document.customers), 5)

    def test_example_settings_name_adapters_that_exist(self):
        path = ROOT / "examples" / "entry.ini"
        settings = Settings.from_file(path)
        platform = connect_platform(settings.platform, session=None)
        self.assertIsInstance(platform, Platform)

    def test_operators_page_shows_the_examples_as_they_are(self):
        page = (ROOT / "docs/operators/configuration.md").read_text(encoding="utf-8")
        for name in ("aforo-comun", "gilt-workshop"):
            text = (ROOT / "examples" / f"{name}.ini").read_text(encoding="utf-8")
            self.assertIn(f"```ini\n{text}```", page)
