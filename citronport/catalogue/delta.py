"""Deltas between two versions of a published value.

A published value is a mapping whose lists hold named items. A delta holds
the items that were added or changed and the names of those that were
removed, so that a change of one endpoint among thousands sends one item over
each link instead of the complete value.
"""

import dataclasses
import json
from typing import Any

import xxhash

Document = dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delta:
    """Changes between two versions of a document.

    Attributes:
        base: version that the delta applies to.
        version: version that it produces.
        fields: all values that are not lists of items, by key.
        items: items that were added or changed, by key of their list.
        dropped: names of removed items, by key of their list.
        checksum: checksum of the resulting document.
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
    """Return a document as JSON in canonical order."""
    ordered = {
        key: sorted(value, key=_get_name) if _is_item_list(value) else value
        for key, value in document.items()
    }
    return json.dumps(ordered, sort_keys=True, separators=(",", ":"))


def make_delta(old: Document, new: Document, base: int, version: int) -> Delta:
    """Return the delta between two versions of a document."""
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
    """Apply a delta to a document.

    Returns:
        The resulting document and its JSON text, or None if the checksum
        does not match; the complete value must then be requested.
    """
    new: Document = dict(delta.fields)
    for key in delta.items:
        kept = {_get_name(item): item for item in old.get(key, ())}
        for name in delta.dropped.get(key, ()):
            kept.pop(name, None)
        kept.update({_get_name(item): item for item in delta.items[key]})
        new[key] = list(kept.values())
    # If the platform ever published two values under one version, instances
    # could hold different documents of the same version. Without this
    # check a wrong catalogue would stay in force unnoticed, and each later
    # delta would be applied on top of it.
    text = dump(new)
    if compute_checksum(text) != delta.checksum:
        return None
    return new, text


def _is_item_list(value: Any) -> bool:
    return isinstance(value, list)


def _get_name(item: dict[str, Any]) -> str:
    return item["name"]
