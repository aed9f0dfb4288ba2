"""Tells whether two requests with different ids ask for the same."""

import hashlib

import xxhash

DIGEST_BYTES = 8


def make_fingerprint(
    workspace: str, method: str, host: str, target: str, body: bytes
) -> str:
    """Return a text that is the same for each repeat of a request.

    Args:
        workspace: whose request it is; empty where no keys are used.
        method: HTTP method.
        host: that the caller named.
        target: path and query.
        body: its body.
    """
    # No workspace may craft a request with the fingerprint of another's.
    # Within its own it may: there the fast hash of long bodies is enough.
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (workspace, method, host, target):
        data = part.encode("utf-8", "surrogateescape")
        digest.update(b"%d:%b" % (len(data), data))
    digest.update(xxhash.xxh3_128_digest(body))
    return digest.hexdigest()
