"""Settings of an instance in relay mode."""

import pathlib
import tempfile

import testtools

from citronport.relay import settings

TEXT = """\
instance: "entry-1"
data_centre: "a"
callers: "10.0.0.1:8221"
readiness: "10.0.0.1:8224"
lookups: "10.0.0.1:8220"
peers: "10.0.0.1:8229"
reports: 7600
metrics: 9464
store: "10.0.0.9:8225"
seeds: "10.0.0.1:8229,10.0.0.2:8229"
bounds:
  grace_seconds: 8
  retry_ratio:
"""


class SettingsTest(testtools.TestCase):
    """Settings made by the platform's template, and common mistakes."""

    def read(self, text):
        """Read settings from a file with the given text."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.yaml"
            path.write_text(text)
            return settings.read_settings(path)

    def test_valid_settings(self):
        """Addresses are parsed; a bound without a value gets its default."""
        found = self.read(TEXT).unwrap()
        self.assertEqual("10.0.0.1:8221", str(found.callers))
        self.assertEqual(2, len(found.seeds))
        self.assertEqual(0.2, found.bounds.retry_ratio)

    def test_no_seeds(self):
        """An instance may be the only one."""
        text = TEXT.replace('"10.0.0.1:8229,10.0.0.2:8229"', "")
        self.assertEqual((), self.read(text).unwrap().seeds)

    def test_all_errors_are_reported(self):
        """Guards against a file that has to be corrected once per error."""
        text = TEXT.replace("7600", "70000").replace("8221", "eighty")
        wrong = self.read(text + "colour: red\n").unwrap_err()
        for place in ("line 3: callers", "line 7: reports", "line 14: colour"):
            self.assertIn(place, wrong)

    def test_errors_name_line_and_key(self):
        """Each error names the line and the key."""
        for wrong, place in (
            (TEXT.replace("8221", "eighty"), "line 3: callers"),
            (TEXT + "colour: red\n", "line 14: colour"),
            (TEXT.replace("7600", "70000"), "line 7: reports"),
            (TEXT.replace("7600", "7600 ms"), "line 7: reports: a plain"),
            (TEXT.replace("grace_seconds: 8", "grace_seconds: 0"), "line 12"),
            (TEXT.replace('"a"', '"a b"'), "line 2: data_centre"),
        ):
            self.assertIn(place, self.read(wrong).unwrap_err())
