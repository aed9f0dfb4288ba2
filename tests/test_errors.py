"""Tests that docs/ERRORS.md lists the codes as the code defines them."""

import pathlib

import testtools

from citronport import errors

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "ERRORS.md"


INPUTS = "## Inputs that are left out"


def read_rows(text):
    """Return the cells of the table rows that start with a number."""
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in text.splitlines()
        if line.startswith("| ") and line[2].isdigit()
    ]


class ErrorsTest(testtools.TestCase):
    """docs/ERRORS.md matches errors.MEANINGS."""

    def test_page_holds_each_code(self):
        """Each row matches the definition and tells the caller what to do."""
        rows = read_rows(PAGE.read_text().partition(INPUTS)[0])
        expected = [
            [
                str(int(code)),
                code.name.lower(),
                str(errors.MEANINGS[code].status),
                str(errors.MEANINGS[code].ran),
                "yes" if errors.MEANINGS[code].may_retry else "no",
                errors.MEANINGS[code].text,
            ]
            for code in errors.Code
        ]
        self.assertEqual(expected, [row[:-1] for row in rows])
        self.assertTrue(all(row[-1] for row in rows))

    def test_page_holds_each_input_fault(self):
        """Codes of rejected inputs are distinct and have their own table."""
        rows = read_rows(PAGE.read_text().partition(INPUTS)[2])
        self.assertEqual(
            [[str(int(f)), f.name.lower()] for f in errors.InputFault],
            [row[:2] for row in rows],
        )
        numbers = {int(code) for code in errors.Code}
        self.assertFalse(numbers & {int(f) for f in errors.InputFault})

    def test_unknown_outcome_is_never_repeated(self):
        """A code for a request that may have run never permits a retry."""
        for meaning in errors.MEANINGS.values():
            if meaning.ran == errors.Ran.OUTCOME_UNKNOWN:
                self.assertFalse(meaning.may_retry)
