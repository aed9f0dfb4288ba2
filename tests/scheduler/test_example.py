"""Test of the scheduler example in the documentation."""

import doctest
import pathlib

import testtools

PAGE = pathlib.Path("docs/design/decisions.md").resolve()


class ExampleTest(testtools.TestCase):
    """Runs the example of the page as a doctest."""

    def test_example(self):
        """Each line of the example gives the documented result."""
        outcome = doctest.testfile(str(PAGE), module_relative=False)
        self.assertGreater(outcome.attempted, 10)
        self.assertEqual(0, outcome.failed)
