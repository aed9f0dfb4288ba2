"""The list of tests that fail for a fault that is known and still open."""

import pathlib

LIST = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def read_names(path: pathlib.Path = LIST) -> set[str]:
    """Return the ids of the listed tests; none without a list.

    An entry is one line: the test's id, then its story behind a bar.
    """
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split("|")[0].strip() for line in lines if "|" in line}
