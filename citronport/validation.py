"""Validation of YAML documents against pydantic models."""

from typing import Any
from typing import TypeVar

import pydantic
import pydantic_core
import result

from citronport import documents

Model = TypeVar("Model", bound=pydantic.BaseModel)


def make_error(location: documents.Location, message: str) -> Exception:
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
    match documents.load(text):
        case result.Err(reason):
            return result.Err(reason)
        case result.Ok(raw):
            return validate(raw, text, model)


def validate(
    raw: Any, text: str, model: type[Model]
) -> result.Result[Model, str]:
    """Validate the value that ``documents.load`` returned for a text."""
    if not isinstance(raw, dict):
        return result.Err(documents.NO_MAPPING)
    try:
        return result.Ok(model.model_validate(raw))
    except pydantic.ValidationError as error:
        faults = [_make_fault(e) for e in error.errors(include_url=False)]
        return result.Err(documents.describe_faults(text, faults))


def _make_fault(error: Any) -> documents.Fault:
    location = error.get("ctx", {}).get("place", error["loc"])
    return documents.Fault(location, _describe(error))


def _describe(error: Any) -> str:
    match error["type"]:
        case "extra_forbidden":
            return documents.UNKNOWN_KEY
        case "missing":
            return documents.MISSING_VALUE
        case "int_parsing" | "float_parsing" | "int_type" | "float_type":
            return documents.NOT_A_NUMBER
        case _:
            return error["msg"]
