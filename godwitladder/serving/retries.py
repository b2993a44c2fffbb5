"""Repeats of a keyed request that reach the host of the first one.

A caller whose connection broke sends its request again with the same key.
Where the first is found it is joined: the repeat gets the same whole answer
and costs no second prompt.
"""

import json
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from godwitladder.ids import BodyDigest, KeyDigest

# An answer is wanted again within the time of a caller's few tries.
RETENTION_S = 300.0
MAX_RETAINED_BYTES = 8_388_608
EVENT_STREAM = "text/event-stream"


@dataclass
class OriginalRequest:
    """The first request with a key, and its answer once there is one.

    Attributes
    ----------
    done : threading.Event
        Set when the answer is known, or the stream's id, or that there will
        be none.
    body : bytes or None
        The whole answer; None for a stream, or if the request came to
        nothing.
    request : str
        Signed request id of a stream.
    """

    digest: BodyDigest
    done: threading.Event = field(default_factory=threading.Event)
    status: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes | None = None
    request: str = ""
    ended: float = 0.0

    def record_head(self, status: str, headers: list[tuple[str, str]]) -> None:
        """Note the head of the answer; a stream can be joined from here on."""
        self.status, self.headers = status, headers
        named = dict(headers)
        if named.get("Content-Type") == EVENT_STREAM:
            self.request = named.get("Request-Id", "")
            self.done.set()

    def record_answer(self, answer: Iterable[bytes]) -> Iterable[bytes]:
        """Note the body of the answer, unless it is a stream; return it."""
        if isinstance(answer, list):
            self.body = b"".join(answer)
        self.done.set()
        return answer

    def outcome(self) -> str:
        """Return the outcome that a problem document told, or ``""``."""
        if self.body is None or "problem+json" not in dict(self.headers).get(
            "Content-Type", ""
        ):
            return ""
        return json.loads(self.body).get("outcome", "")


class JoinableRequests:
    """The first requests of this host that can be joined, by key.

    Parameters
    ----------
    now : callable
        Monotonic seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.originals: OrderedDict[KeyDigest, OriginalRequest] = OrderedDict()
        self.retained_bytes = 0
        self.lock = threading.Lock()

    def find_or_add(
        self, key: KeyDigest, body: BodyDigest
    ) -> tuple[OriginalRequest, bool]:
        """Return the first request with ``key``, and whether it is this one."""
        with self.lock:
            held = self.originals.get(key)
            if held:
                return held, False
            first = self.originals[key] = OriginalRequest(body)
            return first, True

    def retain(self, key: KeyDigest, first: OriginalRequest) -> None:
        """Keep a finished answer for a while, within bounds of memory."""
        with self.lock:
            if self.originals.get(key) is not first:
                return
            first.ended = self.now()
            self.originals.move_to_end(key)
            self.retained_bytes += len(first.body or b"")
            self._evict()

    def discard(self, key: KeyDigest, first: OriginalRequest) -> None:
        """Forget a request, so that the next with its key is a new one."""
        with self.lock:
            if self.originals.get(key) is first:
                self._remove(key)
        first.done.set()

    def _evict(self) -> None:
        oldest = self.now() - RETENTION_S
        for key, first in list(self.originals.items()):
            if first.ended and (
                first.ended < oldest or self.retained_bytes > MAX_RETAINED_BYTES
            ):
                self._remove(key)

    def _remove(self, key: KeyDigest) -> None:
        first = self.originals.pop(key)
        if first.ended:
            self.retained_bytes -= len(first.body or b"")
