"""The list of tests that fail because of a known, unresolved fault."""

import pathlib

LIST = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def read_names(path: pathlib.Path = LIST) -> set[str]:
    """Return the ids of the listed tests; none if there is no list.

    An entry is one line: the id of the test, a bar and a description.
    """
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split("|")[0].strip() for line in lines if "|" in line}
