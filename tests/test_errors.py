"""The table of codes in the docs and the one in the code are the same."""

import pathlib

import testtools

from citronport import errors

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "ERRORS.md"


class ErrorsTest(testtools.TestCase):
    """docs/ERRORS.md against errors.MEANINGS."""

    def test_page_holds_each_code(self):
        """Each row says what the code says, and what to do."""
        lines = PAGE.read_text().splitlines()
        rows = [
            [cell.strip() for cell in line.strip("|").split("|")]
            for line in lines
            if line.startswith("| ") and line[2].isdigit()
        ]
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

    def test_unknown_outcome_is_never_repeated(self):
        """No client is told to repeat what may have run."""
        for meaning in errors.MEANINGS.values():
            if meaning.ran == errors.Ran.OUTCOME_UNKNOWN:
                self.assertFalse(meaning.may_retry)
