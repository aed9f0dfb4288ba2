"""Deterministic answers, which a caller can compute and compare."""

import collections.abc

import xxhash


def make_tokens(prompt: str, count: int) -> collections.abc.Iterator[str]:
    """Yield the tokens that every stand-in engine returns for a prompt."""
    seed = xxhash.xxh3_64_intdigest(prompt.encode())
    for index in range(count):
        word = xxhash.xxh3_64_hexdigest(index.to_bytes(4, "big"), seed=seed)
        yield word[:5] + " "


def hash_prompt(prompt: str) -> str:
    """Return the hash that identifies a prompt in a journal."""
    return xxhash.xxh3_128_hexdigest(prompt.encode())


def make_text(prompt: str, count: int) -> str:
    """Return the complete answer to a prompt."""
    return "".join(make_tokens(prompt, count))


def make_receipt(body: bytes) -> str:
    """Return the receipt that the stand-in service sends for a body."""
    return xxhash.xxh3_128_hexdigest(body)
