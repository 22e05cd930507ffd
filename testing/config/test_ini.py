import unittest

from hypothesis import given, settings

from _monsoonpulley.config.difference import ChangeKind, diff_documents
from _monsoonpulley.config.document import Document, Service, ServiceKind
from _monsoonpulley.config.ini import parse_document, render_document
from _monsoonpulley.errors import SettingsError
from _monsoonpulley.settings.inisections import InvalidFile
from testing.config.documents import VALID, document_of, documents

STEERING = "targets and version deadlines are the only controls"


class RoundTripTest(unittest.TestCase):
    @settings(
        max_examples=150,
        derandomize=True,
        deadline=None,
        database=None,
    )
    @given(documents())
    def test_rendered_documents_parse_to_themselves(self, document):
        self.assertEqual(parse_document(render_document(document)), document)

    def test_a_deadline_with_another_offset_is_the_same_moment(self):
        with_offset = VALID.replace("10:00:00Z", "05:00:00-05:00")
        self.assertEqual(parse_document(with_offset), parse_document(VALID))

    def test_a_name_that_is_not_valid_in_a_header_is_not_rendered(self):
        document = Document(services={"two words": Service(ServiceKind.MODEL)})
        with self.assertRaises(SettingsError):
            render_document(document)


class ProblemTest(unittest.TestCase):
    def read_problems(self, text):
        with self.assertRaises(InvalidFile) as caught:
            parse_document(text, "c.ini")
        return [str(problem) for problem in caught.exception.problems]

    def assert_problem(self, text, *parts):
        problems = self.read_problems(text)
        self.assertEqual(len(problems), 1, problems)
        for part in ("c.ini: ", *parts):
            self.assertIn(part, problems[0])

    def replace_in_valid(self, before, after):
        self.assertIn(before, VALID)
        return VALID.replace(before, after)

    def test_bounds_and_value_are_reported(self):
        text = self.replace_in_valid("= 20000", "= 0")
        parts = ["[class summaries] answer_within_ms", "'0'", "from 1 to 86400000"]
        self.assert_problem(text, *parts)

    def test_allowed_values_are_listed(self):
        text = self.replace_in_valid("kind = plain", "kind = pain")
        self.assert_problem(text, "[service records] kind", "'pain'", "model, plain")

    def test_similar_names_are_suggested(self):
        text = self.replace_in_valid("repeats = 0", "repeats = 0\nretension_s = 60")
        self.assert_problem(text, "retension_s", "did you mean 'retention_s'?")

    def test_unknown_section_kind(self):
        self.assert_problem(VALID + "[clas x]\n", "did you mean 'class'?")

    def test_section_without_its_names(self):
        self.assert_problem(VALID + "[version pool]\n", "[version SERVICE VERSION]")

    def test_missing_field(self):
        self.assert_problem(
            self.replace_in_valid("kind = plain", ""), "kind: is missing"
        )

    def test_empty_field(self):
        self.assert_problem(
            self.replace_in_valid("= 20000", "="), "has no value", "from 1 to"
        )

    def test_deadline_without_zone(self):
        text = self.replace_in_valid("10:00:00Z", "10:00:00")
        self.assert_problem(text, "[version pool v2] deadline", "with its zone")

    def test_deadline_out_of_range(self):
        text = self.replace_in_valid("2026-12-04", "1926-12-04")
        self.assert_problem(text, "[version pool v2] deadline", "2020 to 2100")

    def test_credentials_are_not_shown(self):
        text = self.replace_in_valid("ab" * 32, "my-own-password")
        problems = self.read_problems(text)
        self.assertIn("value not shown", problems[0])
        self.assertNotIn("my-own-password", "".join(problems))

    def test_two_customers_with_one_credential(self):
        text = VALID + f"[customer other]\ncredential_sha256 = {'ab' * 32}\n"
        self.assert_problem(text, "[customer other]", "'bogota'")

    def test_unknown_service_of_a_class(self):
        text = self.replace_in_valid("service = pool", "service = pol")
        self.assert_problem(text, "[class summaries] service", "did you mean 'pool'?")

    def test_unknown_class_of_a_customer(self):
        text = self.replace_in_valid("classes = uploads", "classes = upload")
        self.assert_problem(text, "[customer bogota]", "did you mean 'uploads'?")

    def test_unknown_service_of_a_version(self):
        self.assert_problem(VALID + "[version poll v9]\n", "[version poll v9]", "pool")

    def test_two_starting_versions(self):
        text = VALID + "[version pool v3]\n"
        self.assert_problem(text, "[service pool]", "2 starting versions (v1, v3)")

    def test_no_starting_version(self):
        text = self.replace_in_valid("[version records 1.2.3.4]", "")
        self.assert_problem(text, "[service records]", "0 starting versions")

    def test_two_versions_with_one_deadline(self):
        text = VALID + "[version pool v3]\ndeadline = 2026-12-04T10:00:00Z\n"
        self.assert_problem(text, "[version pool v3] deadline", "'v2'")

    def test_plain_class_must_state_its_repeats(self):
        text = self.replace_in_valid("repeats = 0", "")
        self.assert_problem(text, "[class uploads] repeats", "at most once")

    def test_model_class_can_not_be_at_most_once(self):
        text = self.replace_in_valid("= 20000", "= 20000\nrepeats = 0")
        self.assert_problem(text, "[class summaries] repeats", "plain services")

    def test_record_must_outlast_the_target(self):
        text = self.replace_in_valid("= 2000\n", "= 86400000\nretention_s = 60\n")
        self.assert_problem(text, "retention_s", "at least 86400")

    def test_weights_and_addresses_are_rejected_everywhere(self):
        for text in (
            VALID + "weight = 3\n",
            VALID + "traffic_share = 3\n",
            VALID + "extra = 10.0.0.4\n",
            VALID + "extra = http://pool.example\n",
            VALID + "[endpoint e1]\n",
            VALID + "[service 10.0.0.4]\nkind = model\n",
            self.replace_in_valid("service = pool", "service = pool:8080"),
        ):
            with self.subTest(text[-60:]):
                self.assert_problem(text, STEERING)

    def test_all_problems_are_reported_at_once(self):
        text = "stray\n[service a]\nkind=x\nkind=y\n[service a]\njunk\n[b]\n[class c]\n"
        problems = self.read_problems(text)
        for part in (
            "line 1: text before the first [section]",
            "line 4: repeated field",
            "line 5: repeated section",
            "line 6: expected 'field = value'",
            "[b]: unknown kind",
            "'x'; expected one of",
            "[class c] service: is missing",
            "[class c] answer_within_ms: is missing",
        ):
            self.assertEqual(sum(part in one for one in problems), 1, part)


class DifferenceTest(unittest.TestCase):
    def test_sections_and_fields_that_differ(self):
        changes = diff_documents(document_of(a=1, b=1), document_of(b=2, c=1))
        kinds = [(one.section, one.kind) for one in changes]
        self.assertEqual(
            kinds,
            [
                ("class a", ChangeKind.REMOVED),
                ("class b", ChangeKind.CHANGED),
                ("class c", ChangeKind.ADDED),
            ],
        )
        self.assertIn("answer_within_ms: 1 -> 2", str(changes[1]))

    def test_equal_documents_have_no_differences(self):
        self.assertEqual(diff_documents(document_of(a=1), document_of(a=1)), ())
