"""Settings and catalogues: faults are named, pages and models agree."""

import pathlib
import re

import result
import testtools

from citronport import settings
from citronport.catalogue import models as catalogue_models

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "docs" / "examples"
SETTINGS = (EXAMPLES / "settings.yaml").read_text()
CATALOGUE = (EXAMPLES / "catalogue.yaml").read_text()


def find_line(text, part):
    """Return the number of the first line that holds a part."""
    lines = text.splitlines()
    return next(n for n, line in enumerate(lines, 1) if part in line)


class SettingsTest(testtools.TestCase):
    """A fault in a settings file is told by line, place and reason."""

    def check_fault(self, old, new, *parts):
        """Change the example and look for parts of the reason."""
        self.assertIn(old, SETTINGS)
        text = SETTINGS.replace(old, new, 1)
        reason = settings.parse_settings(text).unwrap_err()
        self.assertNotIn("\n", reason)
        for part in parts:
            self.assertIn(part, reason)

    def test_example_is_valid(self):
        """The example passes."""
        checked = settings.read_settings(EXAMPLES / "settings.yaml")
        self.assertEqual("entry-1", checked.unwrap().instance)

    def test_unknown_key(self):
        """A key that does not exist is named with its line."""
        line = find_line(SETTINGS, "log_level")
        self.check_fault(
            "log_level", "log_levle", f"line {line}: log_levle: unknown key"
        )

    def test_wrong_unit(self):
        """A number with a unit is not guessed at."""
        self.check_fault(
            "log_level: info",
            "trace_share: 10%",
            "trace_share: a plain number is needed, without a unit",
        )

    def test_clashing_listeners(self):
        """Two parts on one port, also by way of the unspecified address."""
        self.check_fault(
            "127.60.1.1, port: 8001",
            "0.0.0.0, port: 8000",
            "line 5: peers.port: 0.0.0.0:8000 is taken by callers",
        )

    def test_clashing_files(self):
        """Spans and decisions can not share a file."""
        self.check_fault(
            "log_level: info",
            "{trace_file: /x, event_file: /x}"[1:-1].replace(", ", "\n"),
            "event_file: trace_file names the same file",
        )

    def test_key_that_stands_twice(self):
        """YAML itself would let the later one win."""
        self.check_fault(
            "data_centre: dc-1",
            "instance: entry-2",
            "line 3: not YAML: key instance stands twice",
        )

    def test_name_that_is_no_header_value(self):
        """Names go into headers: a line break must not pass."""
        self.check_fault(
            "instance: entry-1", 'instance: "a\\nb"', "line 2: instance:"
        )

    def test_file_that_can_not_be_read(self):
        """A missing file and one that is not text give one line."""
        for path in (ROOT / "missing.yaml", ROOT):
            reason = settings.read_settings(path).unwrap_err()
            self.assertIn(str(path), reason)

    def test_page_and_model_agree(self):
        """docs/OPERATING.md lists each setting with its default."""
        page = (ROOT / "docs" / "OPERATING.md").read_text()
        part = page.partition("\n## Settings")[2].partition("\n## ")[0]
        rows = dict(
            re.findall(r"^\| `(\w+)` \|[^|]*\| ([^|]*?) \|", part, re.M)
        )
        for name, field in settings.Settings.model_fields.items():
            if field.is_required():
                expected = "needed"
            elif field.default is None:
                expected = "off"
            else:
                expected = f"`{field.default}`"
            self.assertEqual(expected, rows.pop(name, "no row"), name)
        self.assertEqual({}, rows)


class CatalogueTest(testtools.TestCase):
    """A wrong catalogue is refused whole, with the line that is wrong."""

    def check_fault(self, old, new, *parts):
        """Change the example and look for parts of the reason."""
        self.assertIn(old, CATALOGUE)
        text = CATALOGUE.replace(old, new, 1)
        reason = catalogue_models.parse_catalogue(text).unwrap_err()
        for part in parts:
            self.assertIn(part, reason)

    def test_example_is_valid(self):
        """The example passes."""
        checked = catalogue_models.parse_catalogue(CATALOGUE)
        self.assertIsInstance(checked, result.Ok)

    def test_wrong_value(self):
        """The line of the wrong value is named."""
        line = find_line(CATALOGUE, "class: 2")
        self.check_fault(
            "class: 2", "class: 9", f"line {line}: entries.1.class:"
        )

    def test_many_faults(self):
        """A fault of each of many endpoints does not fill the log."""
        wrong = "\n".join("  - {}" for _ in range(5))
        self.check_fault("endpoints:\n", f"endpoints:\n{wrong}\n", "more")

    def test_missing_value(self):
        """The line of the entry that lacks a value is named."""
        line = find_line(CATALOGUE, "- name: reviews")
        self.check_fault(
            "    class: 2\n",
            "",
            f"line {line}: entries.1.class: a value is needed",
        )

    def test_names_that_clash(self):
        """What stands twice, and what is not there, is named with a line."""
        line = find_line(CATALOGUE, "- name: reservations")
        self.check_fault(
            "- name: reservations",
            "- name: engine-1",
            f"line {line}: endpoints.1.name: engine-1 stands twice",
        )
        self.check_fault(
            "data_centre: dc-1", "data_centre: dc-9", "no data centre dc-9"
        )

    def test_endpoint_with_two_names(self):
        """Its two owners would overfeed its cold start together."""
        self.check_fault(
            "127.60.1.201", "127.60.1.101", "endpoints.1.address:"
        )

    def test_key_of_two_entries(self):
        """Which class it is served in would be left to chance."""
        hashes = re.findall("[0-9a-f]{64}", CATALOGUE)
        self.check_fault(hashes[1], hashes[0], "entries.1.key_sha256:")
