"""Bearer keys of callers and operators, held only as digests."""

import hashlib
import hmac
from collections.abc import Iterable, Mapping

BEARER = "Bearer "


def bearer_digest(environ: Mapping) -> str:
    """Return the SHA-256 of the bearer key in a WSGI request, or ``""``."""
    header = environ.get("HTTP_AUTHORIZATION", "")
    if not header.startswith(BEARER):
        return ""
    return key_digest(header[len(BEARER) :].strip())


def key_digest(key: str) -> str:
    """Return the SHA-256 of ``key`` in lower-case hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def matching_digest(digest: str, known: Iterable[str]) -> str | None:
    """Return the known digest equal to ``digest``, in constant time for each."""
    found = None
    for candidate in known:
        if hmac.compare_digest(candidate, digest):
            found = candidate
    return found
