"""Tests of the list of known failures that CI tolerates."""

import pathlib
import tempfile

import testtools

from tests import known_failures


class KnownFailuresTest(testtools.TestCase):
    """The list of known failures."""

    def setUp(self):
        """Create a folder for the list."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "KNOWN-RED.txt"

    def test_without_list_no_failure_is_tolerated(self):
        """Without a list every failure counts."""
        self.assertEqual(set(), known_failures.read_names(self.path))

    def test_whole_names_only(self):
        """Neither a part of a name nor a line without description counts."""
        self.path.write_text(
            "Known failures.\n\n"
            "tests.test_a.ATest.test_one | script/test one | seen | issue 1\n"
            "tests.test_a.ATest.test_two\n"
        )
        self.assertEqual(
            {"tests.test_a.ATest.test_one"},
            known_failures.read_names(self.path),
        )
