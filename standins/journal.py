"""Journals of the stand-ins' events, one JSON object a line."""

import json
import pathlib
import time
from typing import Any


class Journal:
    """Appends lines to a file and flushes after each line.

    Args:
        path: the file, or None to write nothing.
        name: name of the stand-in; written into each line as "by".
    """

    def __init__(self, path: str | None, name: str) -> None:
        self._file = (
            pathlib.Path(path).open("a", buffering=1) if path else None
        )
        self._name = name

    def add(self, kind: str, **fields: Any) -> None:
        """Append a line of a kind with further fields."""
        if self._file is None:
            return
        line = {"time": time.time(), "by": self._name, "kind": kind, **fields}
        self._file.write(json.dumps(line) + "\n")


def read_lines(path: pathlib.Path) -> list[dict[str, Any]]:
    """Return the lines of a journal; skip lines that a kill cut short."""
    if not path.exists():
        return []
    lines = []
    for text in path.read_text().splitlines():
        try:
            lines.append(json.loads(text))
        except ValueError:
            continue
    return lines
