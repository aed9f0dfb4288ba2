"""The table of codes in the docs and the one in the code are the same."""

import pathlib

import testtools

from citronport import errors

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "ERRORS.md"


INPUTS = "## Inputs that are left out"


def read_rows(text):
    """Return the cells of the rows that begin with a number."""
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in text.splitlines()
        if line.startswith("| ") and line[2].isdigit()
    ]


class ErrorsTest(testtools.TestCase):
    """docs/ERRORS.md against errors.MEANINGS."""

    def test_page_holds_each_code(self):
        """Each row says what the code says, and what to do."""
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
        """Numbers of inputs have a table of their own."""
        rows = read_rows(PAGE.read_text().partition(INPUTS)[2])
        self.assertEqual(
            [[str(int(f)), f.name.lower()] for f in errors.InputFault],
            [row[:2] for row in rows],
        )
        numbers = {int(code) for code in errors.Code}
        self.assertFalse(numbers & {int(f) for f in errors.InputFault})

    def test_unknown_outcome_is_never_repeated(self):
        """No client is told to repeat what may have run."""
        for meaning in errors.MEANINGS.values():
            if meaning.ran == errors.Ran.OUTCOME_UNKNOWN:
                self.assertFalse(meaning.may_retry)
