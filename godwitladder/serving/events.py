"""Splits a stream of server-sent events into complete events and reads their ids.

A target may stop in the middle of an event. Only complete events are passed on,
so that another target can resume the stream without a partial event in it.
"""

import re
from collections.abc import Callable, Iterator

import urllib3

from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.engines.wire import AnswerShape, MalformedAnswer, MayHaveRun
from godwitladder.serving.call_memory import DEFAULT_LIMITS
from godwitladder.serving.call_watcher import OpenCall
from godwitladder.serving.upstream import read_block

ID_LINE = re.compile(rb"^id: ?(.*?)\r?$", re.MULTILINE)
EVENT_LINE = re.compile(rb"^(?:id|data|event|retry):", re.MULTILINE)
EVENT_END = b"\n\n"


class EventReader:
    """Yields the complete events of a response as they arrive.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        The response, with its body unread.
    open_call : OpenCall or None
        The call that the stream answers.
    limits : AnswerLimits
        Limits the length of an event, and of what comes between two.
    hold : callable
        Returns whether so many bytes of an event may be held.

    Attributes
    ----------
    last_id : str
        Id of the last complete event.
    count : int
        Number of events since the last call of `take_count`.
    partial_event : bytearray
        Start of an event that is not complete yet.
    idle_bytes : int
        Bytes since the last event, such as comments.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        open_call: OpenCall | None = None,
        limits: AnswerLimits = DEFAULT_LIMITS,
        hold: Callable[[int], bool] = lambda count: True,
    ) -> None:
        self.response = response
        self.open_call = open_call
        self.limits = limits
        self.hold = hold
        self.last_id = ""
        self.count = 0
        self.partial_event = bytearray()
        self.idle_bytes = 0

    def take_count(self) -> int:
        """Return the number of events since the last call, and reset it."""
        count, self.count = self.count, 0
        return count

    def __iter__(self) -> Iterator[bytes]:
        """Yield blocks of complete events.

        Raises
        ------
        AbortedByHost
            This host ended the call.
        MayHaveRun
            The stream broke, ended within an event, or sent one that is too large.
        """
        while block := read_block(self.response, self.open_call):
            events = self.split(block)
            if events:
                self.count_events(events)
                yield events
        if self.partial_event:
            raise MayHaveRun("the stream ended within an event")

    def split(self, block: bytes) -> bytes:
        """Return the events that ``block`` completes, and keep the rest of it.

        Raises
        ------
        MayHaveRun
            The rest is too large, or no memory is left for it.
        """
        # An end may lie across two blocks. What is before it was searched already, and
        # a long event may come in many small blocks.
        start = max(0, len(self.partial_event) - len(EVENT_END) + 1)
        self.partial_event += block
        end = self.partial_event.rfind(EVENT_END, start) + len(EVENT_END)
        events = b""
        if end >= len(EVENT_END):
            events = bytes(self.partial_event[:end])
            del self.partial_event[:end]
        size = len(self.partial_event)
        if size > self.limits.event_bytes:
            text = f"an event of more than {self.limits.event_bytes} bytes"
            raise MalformedAnswer(AnswerShape.EVENT, size, text)
        if not self.hold(size + len(events)):
            raise MayHaveRun("no memory is left for a part of an event")
        return events

    def count_events(self, events: bytes) -> None:
        """Count ``events`` and store the id of the last one.

        Raises
        ------
        MalformedAnswer
            Too much has come since the last event.
        """
        ids = ID_LINE.findall(events)
        self.count += len(ids)
        if ids:
            self.last_id = ids[-1].decode(errors="replace")
        self.idle_bytes += len(events)
        if EVENT_LINE.search(events):
            self.idle_bytes = 0
        if self.idle_bytes > self.limits.event_bytes:
            text = f"no event in more than {self.limits.event_bytes} bytes"
            raise MalformedAnswer(AnswerShape.EVENT, self.idle_bytes, text)
