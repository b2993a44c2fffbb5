"""Documents that were read and not taken, for operators to see.

A refused document changes nothing: the one in force stays, and a later valid one is
taken whatever version the refused one names. The same document is read again and again,
by the reader and from peers, so each is logged and counted once.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

from godwitladder.logs import component_logger

log = component_logger("feed")

MAX_REMEMBERED = 256


@dataclass(frozen=True)
class RefusedDocument:
    """A document that was not taken.

    Attributes
    ----------
    offset : int
        Offset of its record.
    version : int or None
        The version that it names; None if that can't be read.
    error : str
        What is wrong with it.
    """

    offset: int
    version: int | None
    error: str


class RefusedDocuments:
    """The documents that one host has refused.

    Attributes
    ----------
    newest : RefusedDocument or None
        The last one, until a later one is valid.
    digests : set of bytes
        Digests of those that were logged.
    on_refusal : callable
        Called once for each.
    """

    def __init__(self) -> None:
        self.newest: RefusedDocument | None = None
        self.digests: set[bytes] = set()
        self.on_refusal: Callable[[], None] = lambda: None

    def record(self, refused: RefusedDocument, value: bytes) -> None:
        """Record a document that is refused."""
        if self.newest is None or refused.offset >= self.newest.offset:
            self.newest = refused
        digest = hashlib.sha256(value).digest()
        if digest in self.digests:
            return
        if len(self.digests) >= MAX_REMEMBERED:
            self.digests.clear()
        self.digests.add(digest)
        log.warning("A routing document is refused", extra=vars(refused))
        self.on_refusal()

    def record_valid(self, offset: int) -> None:
        """Record that the document at ``offset`` is valid."""
        if self.newest is not None and offset > self.newest.offset:
            self.newest = None
