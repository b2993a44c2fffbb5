"""Splits a stream of server-sent events into complete events and reads their ids.

A target may stop in the middle of an event. Only complete events are passed on,
so that another target can resume the stream without a partial event in it.
"""

import re
from collections.abc import Iterator

import urllib3

from godwitladder.engines.wire import MayHaveRun

READ_BYTES = 65_536
MAX_EVENT_BYTES = 1_048_576
ID_LINE = re.compile(rb"^id: ?(.*?)\r?$", re.MULTILINE)
EVENT_END = b"\n\n"


class EventReader:
    """Yields the complete events of a response as they arrive.

    Attributes
    ----------
    last_id : str
        Id of the last complete event.
    count : int
        Number of events since the last call of `take_count`.
    partial_event : bytes
        Start of an event that is not complete yet.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self.response = response
        self.last_id = ""
        self.count = 0
        self.partial_event = b""

    def take_count(self) -> int:
        """Return the number of events since the last call, and reset it."""
        count, self.count = self.count, 0
        return count

    def __iter__(self) -> Iterator[bytes]:
        """Yield blocks of complete events.

        Raises
        ------
        MayHaveRun
            The stream broke, ended within an event, or sent one that is too large.
        """
        while block := self.read():
            events, end, partial_event = (self.partial_event + block).rpartition(
                EVENT_END
            )
            if len(partial_event) > MAX_EVENT_BYTES:
                raise MayHaveRun(f"an event of more than {MAX_EVENT_BYTES} bytes")
            self.partial_event = partial_event
            if end:
                self.count_events(events)
                yield events + end
        if self.partial_event:
            raise MayHaveRun("the stream ended within an event")

    def read(self) -> bytes:
        """Return the bytes that have arrived; block only if there are none."""
        try:
            return self.response.read1(READ_BYTES, decode_content=False)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise MayHaveRun(f"the stream broke: {error}") from error

    def count_events(self, events: bytes) -> None:
        """Count ``events`` and store the id of the last one."""
        ids = ID_LINE.findall(events)
        self.count += len(ids)
        if ids:
            self.last_id = ids[-1].decode(errors="replace")
