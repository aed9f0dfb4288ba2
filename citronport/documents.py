"""Strict parsing of YAML documents; errors are reported with their line."""

import contextlib
import json
from typing import Any
from typing import TypeVar

import pydantic
import pydantic_core
import result
import yaml

MAX_REPORTED_FAULTS = 10
"""Limit of the errors reported in one line; a key that is missing in 6,000
endpoints is a single error to the reader."""

Location = tuple[int | str, ...]
Model = TypeVar("Model", bound=pydantic.BaseModel)

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
        with contextlib.suppress(ValueError):
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


def make_error(location: Location, message: str) -> Exception:
    """Return the exception for an error that involves several fields.

    Args:
        location: path of the wrong value from the top of the document.
        message: description of the error.
    """
    return pydantic_core.PydanticCustomError(
        "clash", "{message}", {"message": message, "place": location}
    )


def parse(text: str, model: type[Model]) -> result.Result[Model, str]:
    """Parse and validate a YAML text.

    Args:
        text: YAML.
        model: the expected structure.

    Returns:
        The model, or one line that lists each error with its line and path.
    """
    match load(text):
        case result.Err(reason):
            return result.Err(reason)
        case result.Ok(raw):
            return validate(raw, text, model)


def validate(
    raw: Any, text: str, model: type[Model]
) -> result.Result[Model, str]:
    """Validate the value that ``load`` returned for a text; see ``parse``."""
    if not isinstance(raw, dict):
        return result.Err("line 1: a mapping is needed at the top level")
    try:
        return result.Ok(model.model_validate(raw))
    except pydantic.ValidationError as error:
        return result.Err(_describe_errors(text, error))


def _describe_errors(text: str, error: pydantic.ValidationError) -> str:
    root = yaml.compose(text, Loader=_Base)
    parts = []
    faults = error.errors(include_url=False)
    for item in faults[:MAX_REPORTED_FAULTS]:
        location = item.get("ctx", {}).get("place", item["loc"])
        name = ".".join(str(step) for step in location) or "(top)"
        line = _find_line(root, location)
        parts.append(f"line {line}: {name}: {_describe(item)}")
    if len(faults) > MAX_REPORTED_FAULTS:
        parts.append(f"and {len(faults) - MAX_REPORTED_FAULTS} more")
    return "; ".join(parts)


def _describe(item: Any) -> str:
    match item["type"]:
        case "extra_forbidden":
            return "unknown key"
        case "missing":
            return "a value is needed"
        case "int_parsing" | "float_parsing" | "int_type" | "float_type":
            return "a plain number is needed, without a unit"
        case _:
            return item["msg"]


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
