"""Differences of two versions of a published value.

A published value is a mapping; its lists hold items that each have a name.
A difference names the items that were set and those that were dropped, so
that a change of one endpoint among thousands costs one item on each link
instead of the whole value.
"""

import dataclasses
import json
from typing import Any

import xxhash

Document = dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delta:
    """How a document became the next one.

    Attributes:
        base: version that it starts from.
        version: version that it leads to.
        fields: values that are no lists of items, by key.
        items: items that were set, by list.
        dropped: names of items that are gone, by list.
        checksum: of the document that it leads to.
    """

    base: int
    version: int
    fields: dict[str, Any]
    items: dict[str, list[dict[str, Any]]]
    dropped: dict[str, list[str]]
    checksum: int


def compute_checksum(text: str) -> int:
    """Return the checksum of a document that ``dump`` wrote."""
    return xxhash.xxh3_64_intdigest(text.encode())


def dump(document: Document) -> str:
    """Return a document as JSON, in a fixed order."""
    ordered = {
        key: sorted(value, key=_get_name) if _is_item_list(value) else value
        for key, value in document.items()
    }
    return json.dumps(ordered, sort_keys=True, separators=(",", ":"))


def make_delta(old: Document, new: Document, base: int, version: int) -> Delta:
    """Return how a document of one version became that of another."""
    items: dict[str, list[dict[str, Any]]] = {}
    dropped: dict[str, list[str]] = {}
    fields: dict[str, Any] = {}
    for key, value in new.items():
        if not _is_item_list(value):
            fields[key] = value
            continue
        before = {_get_name(item): item for item in old.get(key, ())}
        after = {_get_name(item): item for item in value}
        items[key] = [i for n, i in after.items() if before.get(n) != i]
        dropped[key] = sorted(before.keys() - after.keys())
    return Delta(
        base=base,
        version=version,
        fields=fields,
        items=items,
        dropped=dropped,
        checksum=compute_checksum(dump(new)),
    )


def apply_delta(old: Document, delta: Delta) -> tuple[Document, str] | None:
    """Return the document that a difference leads to, and its text.

    Returns:
        Both, or None if the difference does not fit: then the whole value
        has to be asked for.
    """
    new: Document = dict(delta.fields)
    for key in delta.items:
        kept = {_get_name(item): item for item in old.get(key, ())}
        for name in delta.dropped.get(key, ()):
            kept.pop(name, None)
        kept.update({_get_name(item): item for item in delta.items[key]})
        new[key] = list(kept.values())
    # Two holders of one version could still differ if the platform ever
    # published it twice; a wrong catalogue would then stay in force
    # unseen, and each later difference would carry it on.
    text = dump(new)
    if compute_checksum(text) != delta.checksum:
        return None
    return new, text


def _is_item_list(value: Any) -> bool:
    return isinstance(value, list)


def _get_name(item: dict[str, Any]) -> str:
    return item["name"]
