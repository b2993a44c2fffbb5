"""What hosts tell each other of the store."""

from dataclasses import dataclass

from godwitladder.ids import HostId
from godwitladder.membership.codec import peer_message


@dataclass(frozen=True)
class RawRecord:
    """A record as it stands in the store."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True)
class RawBatch:
    """Records of one stream; ``start`` -1 for a snapshot of all keys."""

    start: int
    next: int
    records: tuple[RawRecord, ...] = ()


@peer_message
@dataclass(frozen=True)
class FeedWanted:
    """A host that has just started asks a peer for all that it knows."""

    host: HostId


@peer_message
@dataclass(frozen=True)
class FeedNews:
    """What one host has read in the store.

    Attributes
    ----------
    age_s : float
        Seconds since the last read began, when this was sent. A duration, since
        hosts share no clock.
    """

    host: HostId
    age_s: float
    documents: RawBatch
    entries: RawBatch
