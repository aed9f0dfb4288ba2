"""Fingerprints that identify repeats of a request under different ids."""

import hashlib

import xxhash

DIGEST_BYTES = 8


def make_fingerprint(
    workspace: str, method: str, host: str, target: str, body: bytes
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
