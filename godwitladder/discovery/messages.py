"""Messages that carry the contents of the store, or are stored in it."""

from dataclasses import dataclass

from godwitladder.decisions.placing.stream_records import StreamRecord
from godwitladder.discovery.source import NO_ERA
from godwitladder.ids import Era, HostId
from godwitladder.membership.codec import peer_message


@dataclass(frozen=True)
class RawRecord:
    """A record as stored, not decoded."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True)
class RawBatch:
    """Records of one stream; a ``start`` of -1 marks a snapshot of all keys."""

    start: int
    next: int
    records: tuple[RawRecord, ...] = ()
    era: Era = NO_ERA


@dataclass(frozen=True)
class KnownState:
    """What a host has of the store.

    Attributes
    ----------
    era : int
        Era in which its offsets count.
    documents, entries : int
        Offset of the next record of each topic.
    age_s : float
        Time since the read that confirmed it, in seconds.
    """

    era: Era
    documents: int
    entries: int
    age_s: float

    def __post_init__(self) -> None:
        require_duration("age_s", self.age_s)


@peer_message
@dataclass(frozen=True)
class FeedWanted:
    """Request for a peer's state.

    Attributes
    ----------
    known : KnownState or None
        What the sender has; it is sent what it lacks, or nothing if the peer knows
        nothing newer. None for the full state.
    """

    host: HostId
    known: KnownState | None = None


@peer_message
@dataclass(frozen=True)
class FeedNews:
    """Records that one host read from the store, or its full state.

    Attributes
    ----------
    age_s : float
        Time from the start of the last read to the sending of this message, in
        seconds. It is a duration because hosts share no clock.
    version : int
        Version of the document in force at the sender; -1 from hosts that name none.
    sent_s : float or None
        Clock of the sender at the sending, in seconds; None from hosts that don't tell.
    read_s : float or None
        Duration of the read that the records are of, in seconds; None for a state that
        is told on request, and from hosts that don't tell.
    """

    host: HostId
    age_s: float
    documents: RawBatch
    entries: RawBatch
    version: int = -1
    sent_s: float | None = None
    read_s: float | None = None

    def __post_init__(self) -> None:
        # A time ahead would confirm the records until then.
        require_duration("age_s", self.age_s)
        # Hosts would wait for news for less than no time, and all read the store.
        if self.read_s is not None:
            require_duration("read_s", self.read_s)


@peer_message
@dataclass(frozen=True)
class StreamBatch:
    """Streams that one host has begun lately, as a record of the store."""

    records: tuple[StreamRecord, ...] = ()


def require_duration(name: str, seconds: float) -> None:
    """Check that a time that a peer states can have passed.

    Raises
    ------
    ValueError
        It is below zero.
    """
    if not seconds >= 0:
        raise ValueError(f"{name} is below zero: {seconds}")
