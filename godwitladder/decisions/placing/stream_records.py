"""What the store holds of streams that have begun while a service had several versions.

After the loss of all hosts it alone tells at which version a stream began. A record may
be missing, as records are written a moment after the stream has begun; none is wrong.

Pure: records are passed in.
"""

from dataclasses import dataclass, field

from godwitladder.decisions.placing.stream_origins import (
    MAX_ORIGINS,
    StreamName,
    StreamOrigin,
)
from godwitladder.ids import AttemptId, BodyDigest


@dataclass(frozen=True)
class StreamRecord:
    """A stream that one attempt has brought an event of.

    Attributes
    ----------
    goes_on : bool
        Whether an earlier attempt had brought its first event.
    """

    stream: StreamName
    origin: StreamOrigin
    goes_on: bool = False


@dataclass
class RecordedStreams:
    """The records that were read, the oldest first.

    Attributes
    ----------
    by_attempt : dict
        The record of each attempt.
    begun : dict
        Number of streams that have begun with each request, by its digest, and the
        origin of the last one.
    """

    by_attempt: dict[AttemptId, StreamRecord] = field(default_factory=dict)
    begun: dict[BodyDigest, tuple[int, StreamOrigin]] = field(default_factory=dict)

    def add(self, record: StreamRecord) -> None:
        """Add a record, unless it is known; remove the oldest of too many."""
        attempt, body = record.stream.attempt, record.stream.body
        if attempt and attempt in self.by_attempt:
            return
        self.by_attempt[attempt] = record
        if not record.goes_on:
            count, _ = self.begun.pop(body, (0, record.origin))
            self.begun[body] = count + 1, record.origin
        for table in (self.by_attempt, self.begun):
            if len(table) > MAX_ORIGINS:
                del table[next(iter(table))]

    def find(self, stream: StreamName) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is not recorded.

        A stream whose caller names no attempt is the only one of its request. Of
        several, another one might be meant, or one that is not recorded.
        """
        if stream.attempt:
            record = self.by_attempt.get(stream.attempt)
            return record.origin if record else None
        count, origin = self.begun.get(stream.body, (0, None))
        return origin if count == 1 else None
