"""A set-difference sketch (invertible Bloom filter) of catalogue items.

After D. Eppstein, M. Goodrich, J. Simons, "Set-Difference Range Queries",
arXiv:1306.3482. It is only compared with versioned deltas in size and time;
the system does not use it.
"""

import json
from typing import Any

import xxhash

HASHES = 3
CELL_BYTES = 4 + 8 + 8
"""Size of a count, a XOR of keys and a XOR of check hashes."""

CELLS_PER_DIFFERENCE = 1.7
"""With fewer than about 1.5 cells per difference, decoding fails."""


def reconcile(old: dict[str, Any], new: dict[str, Any]) -> tuple[int, int]:
    """Reconcile two documents; return bytes sent and items that differ."""
    old_items = _hash_items(old)
    new_items = _hash_items(new)
    cells = max(
        24,
        int(CELLS_PER_DIFFERENCE * len(old_items.keys() ^ new_items.keys())),
    )
    found = None
    while found is None:
        table = _make_table(old_items, cells)
        _subtract(table, new_items)
        found = _decode(table)
        cells *= 2
    items = sum(len(new_items[key]) for key in found if key in new_items)
    return cells // 2 * CELL_BYTES + 8 * len(found) + items, len(found)


def _hash_items(document: dict[str, Any]) -> dict[int, str]:
    texts = (
        json.dumps([part, item], sort_keys=True)
        for part in ("endpoints", "entries")
        for item in document[part]
    )
    return {xxhash.xxh3_64_intdigest(t.encode()): t for t in texts}


def _find_cells(key: int, cells: int) -> list[int]:
    data = key.to_bytes(8, "big")
    part = cells // HASHES
    return [
        n * part + xxhash.xxh3_64_intdigest(data, seed=n + 1) % part
        for n in range(HASHES)
    ]


def _compute_check_hash(key: int) -> int:
    return xxhash.xxh3_64_intdigest(key.to_bytes(8, "big"), seed=99)


def _make_table(items: dict[int, str], cells: int) -> list[list[int]]:
    table = [[0, 0, 0] for _ in range(cells)]
    for key in items:
        _add_to_cells(table, key, 1)
    return table


def _subtract(table: list[list[int]], items: dict[int, str]) -> None:
    for key in items:
        _add_to_cells(table, key, -1)


def _add_to_cells(table: list[list[int]], key: int, sign: int) -> None:
    check = _compute_check_hash(key)
    for place in _find_cells(key, len(table)):
        cell = table[place]
        cell[0] += sign
        cell[1] ^= key
        cell[2] ^= check


def _decode(table: list[list[int]]) -> set[int] | None:
    found: set[int] = set()
    while True:
        pure = next(
            (
                c
                for c in table
                if abs(c[0]) == 1 and c[2] == _compute_check_hash(c[1])
            ),
            None,
        )
        if pure is None:
            break
        key, sign = pure[1], pure[0]
        found.add(key)
        _add_to_cells(table, key, -sign)
    if any(cell != [0, 0, 0] for cell in table):
        return None
    return found
