"""YAML texts that people edit: read strictly, faults named by line."""

import contextlib
import json
from typing import Any
from typing import TypeVar

import pydantic
import pydantic_core
import result
import yaml

MAX_REPORTED_FAULTS = 10
"""Faults told in one line; a missing key in 6,000 endpoints is one fault
to the reader."""

Location = tuple[int | str, ...]
Model = TypeVar("Model", bound=pydantic.BaseModel)

# The loader written in C reads a catalogue of 0.8 MB in 1.1 s instead of 6.5
# s; it is missing only where PyYAML was built without libyaml.
_Base: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _Loader(_Base):
    """A safe loader that refuses a key that stands twice.

    YAML lets the later one win without a word: an operator who writes a
    limit above an old one would see it ignored.
    """

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict:
        """Return the mapping of a node."""
        seen = set()
        for key, _ in node.value:
            if key.value in seen:
                raise yaml.constructor.ConstructorError(
                    problem=f"key {key.value} stands twice",
                    problem_mark=key.start_mark,
                )
            seen.add(key.value)
        return super().construct_mapping(node, deep=deep)


class _DuplicateKeyError(ValueError):
    """A key stands twice."""


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    taken = dict(pairs)
    if len(taken) < len(pairs):
        raise _DuplicateKeyError
    return taken


def load(text: str) -> result.Result[Any, str]:
    """Return what a YAML text holds, or one line that says why not."""
    # JSON is YAML, and its reader takes a hundredth of the time: a large
    # catalogue read as YAML would hold up all tasks for a second. Where it
    # finds fault, the other reader tells the line.
    if text.startswith("{"):
        with contextlib.suppress(ValueError):
            return result.Ok(
                json.loads(text, object_pairs_hook=_reject_duplicate_keys)
            )
    try:
        return result.Ok(yaml.load(text, Loader=_Loader))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        place = f"line {mark.line + 1}: " if mark else ""
        return result.Err(f"{place}not YAML: {error.problem}")
    except (yaml.YAMLError, ValueError) as error:
        return result.Err("not YAML: " + " ".join(str(error).split()))


def make_error(location: Location, message: str) -> Exception:
    """Return the error to raise for a fault that spans several fields.

    Args:
        location: path of the wrong value from the top of the document.
        message: what is wrong with it.
    """
    return pydantic_core.PydanticCustomError(
        "clash", "{message}", {"message": message, "place": location}
    )


def parse(text: str, model: type[Model]) -> result.Result[Model, str]:
    """Check a YAML text whole.

    Args:
        text: YAML.
        model: what it has to hold.

    Returns:
        The model, or one line that names each fault by line and place.
    """
    match load(text):
        case result.Err(reason):
            return result.Err(reason)
        case result.Ok(raw):
            return validate(raw, text, model)


def validate(
    raw: Any, text: str, model: type[Model]
) -> result.Result[Model, str]:
    """Check what ``load`` made of a text; see ``check``."""
    if not isinstance(raw, dict):
        return result.Err("line 1: a mapping is needed at the top")
    try:
        return result.Ok(model.model_validate(raw))
    except pydantic.ValidationError as error:
        return result.Err(_describe_errors(text, error))


def _describe_errors(text: str, error: pydantic.ValidationError) -> str:
    root = yaml.compose(text, Loader=_Base)
    parts = []
    faults = error.errors(include_url=False)
    for item in faults[:MAX_REPORTED_FAULTS]:
        place = item.get("ctx", {}).get("place", item["loc"])
        name = ".".join(str(step) for step in place) or "(top)"
        line = _find_line(root, place)
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
