"""The traits of a request for which it may crash targets.

These are the request as a whole, and the parts of its prompt but the last, which no
other request has. A part counts twice: as it stands in all requests, and as one
workspace sends it to one service. If a workspace names a part of others in requests
that crash targets, others clear the former, and only the latter stays quarantined.
"""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from godwitladder.ids import BodyDigest, ServiceName, TraitId, WorkspaceName

MAX_PARTS = 32
"""Number of parts that count, so that no caller fills the tables with one request."""
MAX_PLAIN_CHARS = 16
HASH_BYTES = 10


@dataclass(frozen=True)
class RequestTraits:
    """The traits of one request.

    Attributes
    ----------
    digest : BodyDigest
        Identifies the request as a whole.
    parts : tuple of TraitId
        The traits that other requests may share.
    """

    digest: BodyDigest
    parts: tuple[TraitId, ...] = ()

    @property
    def ids(self) -> tuple[TraitId, ...]:
        """All traits, first the request as a whole."""
        return (TraitId(self.digest), *self.parts)


def make_traits(
    digest: BodyDigest,
    workspace: WorkspaceName,
    service: ServiceName,
    parts: Sequence[str],
) -> RequestTraits:
    """Return the traits of a request.

    Parameters
    ----------
    parts : sequence of str
        Names of the parts of its prompt, in order.
    """
    scope = hash_text(f"{workspace}\n{service}")
    shared = dict.fromkeys(make_part_id(part) for part in parts[:-1][:MAX_PARTS])
    own = (f"{part}@{scope}" for part in shared)
    return RequestTraits(digest, tuple(TraitId(row) for row in (*shared, *own)))


def make_part_id(part: str) -> str:
    """Return the id of a part: its name, or a hash of an unusual name."""
    if len(part) <= MAX_PLAIN_CHARS and part.isalnum():
        return part
    return hash_text(part)


def hash_text(text: str) -> str:
    """Return a hash that is longer than any plain name, and shorter than a digest."""
    return hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).hexdigest()
