"""The example of driving the package works as shown."""

import doctest
import pathlib

import testtools

PAGE = pathlib.Path("docs/design/decisions.md").resolve()


class ExampleTest(testtools.TestCase):
    """Runs the page's example."""

    def test_example(self):
        """Each line gives what the page says."""
        outcome = doctest.testfile(str(PAGE), module_relative=False)
        self.assertGreater(outcome.attempted, 10)
        self.assertEqual(0, outcome.failed)
