"""Authentication by bearer keys, of which hosts only store digests."""

import hashlib
import hmac
from collections.abc import Iterable, Mapping

BEARER = "Bearer "


def bearer_digest(environ: Mapping) -> str:
    """Return the digest of a WSGI request's bearer key, or ``""`` if it has none."""
    header = environ.get("HTTP_AUTHORIZATION", "")
    if not header.startswith(BEARER):
        return ""
    return key_digest(header[len(BEARER) :].strip())


def key_digest(key: str) -> str:
    """Return the SHA-256 digest of ``key`` in lower-case hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def matching_digest(digest: str, known: Iterable[str]) -> str | None:
    """Return the known digest equal to ``digest``, or None.

    Each comparison takes constant time.
    """
    found = None
    for candidate in known:
        if hmac.compare_digest(candidate, digest):
            found = candidate
    return found
