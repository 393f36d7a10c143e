"""Test that errors in settings name the location and the cause."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from cardamomcroft.settings import directory
from cardamomcroft.settings import documents
from cardamomcroft.settings import instance
from cardamomcroft.settings import parsing

ACCOUNT = "teams/a/accounts/b"
EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"

plain_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ("region", "weight", "guarantee", "callers", "limits", "count")
            )
            | strategies.text(max_size=5),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)


class ParsingTest(unittest.TestCase):
    """Test single documents."""

    def _problem(self, data, path=ACCOUNT):
        checked = parsing.parse_document(path, data)
        self.assertTrue(checked.is_error())
        return "; ".join(map(str, checked.error))

    def test_unknown_key_suggests_the_closest(self):
        text = self._problem({"region": "r", "wieght": 2.0})
        self.assertIn("did you mean 'weight'?", text)
        self.assertIn(ACCOUNT, text)

    def test_wrong_type_says_what_was_found_and_expected(self):
        text = self._problem({"region": "r", "weight": "heavy"})
        self.assertIn("expected float, found 'heavy'", text)
        self.assertIn("weight", text)

    def test_nested_error_names_its_location(self):
        data = {"region": "r", "guarantee": [{"accelerators": 3, "count": 1}]}
        text = self._problem(data)
        self.assertIn("guarantee[0]", text)
        self.assertIn("power of two", text)

    def test_missing_key_is_named(self):
        self.assertIn("'region' is missing", self._problem({}))

    def test_path_without_document_is_rejected(self):
        for path in ("", "fleet", "teams/a/b/c", "x" * 500, "teams//jobs/j"):
            self.assertIn("no document", self._problem({}, path))

    def test_duplicate_key_is_rejected(self):
        checked = parsing.parse_yaml("f", "a: 1\na: 2\n")
        self.assertIn("duplicate key 'a'", str(checked.error[0]))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(plain_values)
    def test_any_input_is_a_document_or_a_problem(self, plain):
        checked = parsing.parse_document(ACCOUNT, plain)
        if checked.is_ok():
            text = parsing.to_json(checked.ok)
            self.assertEqual(checked.ok, parsing.from_json(ACCOUNT, text))
        else:
            self.assertTrue(all(map(str, checked.error)))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(strategies.text(max_size=60))
    def test_any_yaml_is_read_or_refused(self, text):
        parsing.parse_yaml("f", text)


class DirectoryTest(unittest.TestCase):
    """Test directories of declarations."""

    def test_examples_are_valid(self):
        for name in ("guild", "rehoming"):
            loaded = directory.load(EXAMPLES / name)
            self.assertTrue(loaded.is_ok(), loaded)

    def test_every_error_names_its_file(self):
        with tempfile.TemporaryDirectory() as name:
            root = pathlib.Path(name)
            (root / "teams/a/accounts").mkdir(parents=True)
            (root / "teams/a/accounts/b.yaml").write_text("region: 3\n")
            (root / "stray.yaml").write_text("{}\n")
            loaded = directory.load(root)
        files = {problem.path for problem in loaded.error}
        self.assertEqual(
            {str(root / "stray.yaml"), str(root / "teams/a/accounts/b.yaml")},
            files,
        )


class InstanceSettingsTest(unittest.TestCase):
    """Test the settings of an instance."""

    def test_lease_must_outlast_renewals(self):
        with self.assertRaisesRegex(ValueError, "three times"):
            instance.Timing(renew_period_s=5.0)

    def test_invalid_file_names_every_missing_key(self):
        with tempfile.TemporaryDirectory() as name:
            file = pathlib.Path(name) / "i.yaml"
            file.write_text("instance_id: a\nhttp_listen: nowhere\n")
            loaded = instance.load(file)
        text = "; ".join(map(str, loaded.error))
        self.assertIn("'region' is missing", text)
        self.assertIn(str(file), text)

    def test_cpu_only_worker_has_units(self):
        worker = documents.Worker("http://w", 0, 64, 256)
        self.assertEqual(documents.UNITS_PER_CPU_ONLY_WORKER, worker.units)
