"""Answers that a caller can work out for itself and check byte for byte."""

import collections.abc

import xxhash


def make_tokens(prompt: str, count: int) -> collections.abc.Iterator[str]:
    """Yield the tokens that every stand-in engine gives for a prompt."""
    seed = xxhash.xxh3_64_intdigest(prompt.encode())
    for index in range(count):
        word = xxhash.xxh3_64_hexdigest(index.to_bytes(4, "big"), seed=seed)
        yield word[:5] + " "


def hash_prompt(prompt: str) -> str:
    """Return what a journal keeps of a prompt to tell it from others."""
    return xxhash.xxh3_128_hexdigest(prompt.encode())


def make_text(prompt: str, count: int) -> str:
    """Return the whole answer for a prompt."""
    return "".join(make_tokens(prompt, count))


def make_receipt(body: bytes) -> str:
    """Return what the stand-in service answers to a body."""
    return xxhash.xxh3_128_hexdigest(body)
