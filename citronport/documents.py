"""Strict parsing of YAML documents; errors are reported with their line."""

import collections.abc
import contextlib
import dataclasses
import json
import pathlib
from typing import Any

import result
import yaml

MAX_REPORTED_FAULTS = 10
"""Limit of the errors reported in one line; a key that is missing in 6,000
endpoints is a single error to the reader."""

NO_MAPPING = "line 1: a mapping is needed at the top level"
UNKNOWN_KEY = "unknown key"
MISSING_VALUE = "a value is needed"
NOT_A_NUMBER = "a plain number is needed, without a unit"

Location = tuple[int | str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """An invalid value in a document.

    Attributes:
        location: path of the value from the top of the document.
        message: what is wrong with it.
    """

    location: Location
    message: str


# The loader in C reads a catalogue of 0.8 MB in 1.1 s instead of 6.5 s. It is
# missing only where PyYAML was built without libyaml.
_Base: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _Loader(_Base):
    """A safe loader that rejects duplicate keys.

    By default the last value of a duplicate key is used silently: a limit
    that an operator adds above an old one would be ignored.
    """

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict:
        """Return the mapping of a node."""
        seen = set()
        for key, _ in node.value:
            if key.value in seen:
                raise yaml.constructor.ConstructorError(
                    problem=f"duplicate key {key.value}",
                    problem_mark=key.start_mark,
                )
            seen.add(key.value)
        return super().construct_mapping(node, deep=deep)


class _DuplicateKeyError(ValueError):
    """A key occurs more than once."""


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    mapping = dict(pairs)
    if len(mapping) < len(pairs):
        raise _DuplicateKeyError
    return mapping


def load(text: str) -> result.Result[Any, str]:
    """Parse a YAML text; on failure return a one-line reason."""
    # JSON is a subset of YAML, and the JSON parser takes a hundredth of the
    # time: parsing a large catalogue as YAML would block all tasks for a
    # second. If it fails, the YAML parser determines the line of the error.
    if text.startswith("{"):
        with contextlib.suppress(ValueError, RecursionError):
            return result.Ok(
                json.loads(text, object_pairs_hook=_reject_duplicate_keys)
            )
    try:
        return result.Ok(yaml.load(text, Loader=_Loader))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        prefix = f"line {mark.line + 1}: " if mark else ""
        return result.Err(f"{prefix}invalid YAML: {error.problem}")
    except (yaml.YAMLError, ValueError) as error:
        return result.Err("invalid YAML: " + " ".join(str(error).split()))
    except Exception as error:
        # Whoever writes the text chooses what its parser raises.
        return result.Err(f"invalid YAML: {type(error).__name__}")


def load_json(text: str) -> result.Result[Any, str]:
    """Parse the JSON text of a mapping; on failure return a reason."""
    try:
        document = json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, RecursionError) as error:
        return result.Err(f"invalid JSON: {type(error).__name__}")
    if not isinstance(document, dict):
        return result.Err(NO_MAPPING)
    return result.Ok(document)


def read_text(path: pathlib.Path) -> result.Result[str, str]:
    """Return the text of a file, or a one-line reason why it is unreadable."""
    try:
        return result.Ok(path.read_text())
    except OSError as error:
        return result.Err(f"{path}: {error.strerror}")
    except UnicodeDecodeError:
        return result.Err(f"{path}: not a text file")


def describe_faults(text: str, faults: collections.abc.Sequence[Fault]) -> str:
    """Return one line that lists faults with their lines and paths.

    Args:
        text: the YAML text in which they are.
        faults: the faults.
    """
    root = yaml.compose(text, Loader=_Base)
    parts = []
    for fault in faults[:MAX_REPORTED_FAULTS]:
        name = ".".join(str(step) for step in fault.location) or "(top)"
        line = _find_line(root, fault.location)
        parts.append(f"line {line}: {name}: {fault.message}")
    if len(faults) > MAX_REPORTED_FAULTS:
        parts.append(f"and {len(faults) - MAX_REPORTED_FAULTS} more")
    return "; ".join(parts)


def _find_line(node: yaml.Node | None, location: Location) -> int:
    line = 1
    for step in location:
        if node is None:
            return line
        line, node = _descend(node, step)
    return line


def _descend(node: yaml.Node, step: int | str) -> tuple[int, yaml.Node | None]:
    match node:
        case yaml.MappingNode():
            for key, value in node.value:
                if key.value == str(step):
                    return key.start_mark.line + 1, value
        case yaml.SequenceNode() if isinstance(step, int):
            child = node.value[step]
            return child.start_mark.line + 1, child
    return node.start_mark.line + 1, None
