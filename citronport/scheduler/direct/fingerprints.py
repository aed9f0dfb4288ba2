"""Fingerprints that identify equal content of unlike requests."""

import collections.abc
import hashlib

import xxhash

DIGEST_BYTES = 8

MAX_PARTS = 64
"""Most parts of one prompt that get a fingerprint. A head has room for a
thousand."""

_PART_MARK = "part-"


def make_fingerprint(
    workspace: str,
    method: str,
    host: str,
    target: str,
    body: bytes | bytearray,
) -> str:
    """Return a string that is equal for all repeats of a request.

    Args:
        workspace: workspace of the request; empty where no keys are used.
        method: HTTP method.
        host: host named by the caller.
        target: path and query.
        body: body of the request.
    """
    # A workspace must not be able to forge the fingerprint of another one's
    # request, hence the cryptographic hash. Collisions within a workspace
    # harm only itself, so that a fast hash is enough for long bodies.
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (workspace, method, host, target):
        data = part.encode("utf-8", "surrogateescape")
        digest.update(b"%d:%b" % (len(data), data))
    digest.update(xxhash.xxh3_128_digest(body))
    return digest.hexdigest()


def make_part_fingerprints(
    names: collections.abc.Iterable[str],
) -> tuple[str, ...]:
    """Return the fingerprints of the parts that a prompt may share.

    Args:
        names: ids of all parts, in order. The last one belongs to the request
            itself or to its session.
    """
    shared = tuple(names)[:-1][:MAX_PARTS]
    return tuple(map(make_part_fingerprint, dict.fromkeys(shared)))


def make_part_fingerprint(name: str) -> str:
    """Return the fingerprint of the part with an id."""
    data = name.encode("utf-8", "surrogateescape")
    digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES)
    return _PART_MARK + digest.hexdigest()


def is_part(fingerprint: str) -> bool:
    """Return whether this is the fingerprint of a part of a prompt."""
    return fingerprint.startswith(_PART_MARK)
