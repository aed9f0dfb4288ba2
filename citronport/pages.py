"""Decodes JSON responses with a list of items, whatever is in an item."""

import re
from typing import TypeVar

import msgspec

from citronport import inputs

_Page = TypeVar("_Page", bound=msgspec.Struct)

# A string in one piece, or a character that begins, ends or separates values.
_TOKEN = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[][{},]', re.DOTALL)


def cut_items(text: str, name: str) -> tuple[str, list[str]]:
    """Separate a response from the items in it.

    Items may be nested to any depth, and hold any escapes.

    Args:
        text: a JSON object.
        name: name of the list of items in it.

    Returns:
        The object with an empty list, and the encoded items.
    """
    depth = 0
    latest = ""
    start = begin = None
    items = []
    for match in _TOKEN.finditer(text):
        token = match.group()
        if token in "]}":
            depth -= 1
        if start is not None:
            if depth == 1 or (depth == 2 and token == ","):
                items.append(text[begin : match.start()].strip())
                begin = match.end()
            if depth == 1:
                kept = text[:start] + text[match.start() :]
                return kept, [item for item in items if item]
        elif depth == 1 and token == "[" and latest == f'"{name}"':
            start = begin = match.end()
        if token in "[{":
            depth += 1
        elif token.startswith('"') and depth == 1:
            latest = token
    return text, []


def decode(data: bytes, kind: type[_Page], name: str) -> _Page:
    """Decode a response; its items stay encoded.

    Args:
        data: a JSON object.
        kind: the struct of it; its ``items`` are of ``msgspec.Raw``.
        name: name of the list of items in the object.

    Raises:
        ValueError: it is no such object.
    """
    # Invalid bytes in one item must not make the others unreadable.
    text = data.decode(errors="replace")
    page = inputs.attempt(lambda: msgspec.json.decode(text, type=kind))
    if page.is_ok():
        return page.ok_value
    # The decoder can't skip each item: some escapes and deep nesting fail.
    kept, items = cut_items(text, name)
    return msgspec.structs.replace(
        msgspec.json.decode(kept, type=kind),
        items=tuple(msgspec.Raw(item) for item in items),
    )
