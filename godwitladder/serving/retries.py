"""Retries of a request with an idempotency key on the host of the original.

A caller whose connection broke sends its request again with the same key. If
this host has the original request, the retry waits for it and gets the same
complete response, so that the prompt is not processed twice.
"""

import json
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from godwitladder.ids import BodyDigest, KeyDigest

# Finished responses are kept for as long as a caller usually retries.
RETENTION_S = 300.0
MAX_RETAINED_BYTES = 8_388_608
EVENT_STREAM = "text/event-stream"


@dataclass
class OriginalRequest:
    """The first request with a key, and its response once there is one.

    Attributes
    ----------
    digest : BodyDigest
        Digest of the request's body.
    done : threading.Event
        Set when the response or the id of its stream is known, or when it is
        known that there will be no response.
    status, headers : str, list of tuple
        Status line and headers of the response.
    body : bytes or None
        The complete response body; None for a stream, or if the request ended
        without a response.
    request : str
        Signed request id if the response is a stream, else ``""``.
    finished_at : float
        Monotonic seconds at which the response was complete; 0 before that.
    """

    digest: BodyDigest
    done: threading.Event = field(default_factory=threading.Event)
    status: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes | None = None
    request: str = ""
    finished_at: float = 0.0

    def record_head(self, status: str, headers: list[tuple[str, str]]) -> None:
        """Record status and headers; from here on retries can join a stream."""
        self.status, self.headers = status, headers
        named = dict(headers)
        if named.get("Content-Type") == EVENT_STREAM:
            self.request = named.get("Request-Id", "")
            self.done.set()

    def record_answer(self, answer: Iterable[bytes]) -> Iterable[bytes]:
        """Record the response body unless it is a stream, and return ``answer``."""
        if isinstance(answer, list):
            self.body = b"".join(answer)
        self.done.set()
        return answer

    def outcome(self) -> str:
        """Return the outcome if the response is a problem document, else ``""``."""
        if self.body is None or "problem+json" not in dict(self.headers).get(
            "Content-Type", ""
        ):
            return ""
        return json.loads(self.body).get("outcome", "")


class JoinableRequests:
    """The original requests on this host that retries can join, by key.

    Parameters
    ----------
    now : callable
        Returns the current time in monotonic seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.originals: OrderedDict[KeyDigest, OriginalRequest] = OrderedDict()
        self.retained_bytes = 0
        self.lock = threading.Lock()

    def find_or_add(
        self, key: KeyDigest, body: BodyDigest
    ) -> tuple[OriginalRequest, bool]:
        """Return the original request with ``key``, and whether it was just added."""
        with self.lock:
            existing = self.originals.get(key)
            if existing:
                return existing, False
            original = self.originals[key] = OriginalRequest(body)
            return original, True

    def retain(self, key: KeyDigest, original: OriginalRequest) -> None:
        """Retain a finished response, within the limits on time and memory."""
        with self.lock:
            if self.originals.get(key) is not original:
                return
            original.finished_at = self.now()
            self.originals.move_to_end(key)
            self.retained_bytes += len(original.body or b"")
            self._evict()

    def discard(self, key: KeyDigest, original: OriginalRequest) -> None:
        """Remove a request, so that the next one with its key is a new original."""
        with self.lock:
            if self.originals.get(key) is original:
                self._remove(key)
        original.done.set()

    def _evict(self) -> None:
        oldest = self.now() - RETENTION_S
        for key, original in list(self.originals.items()):
            if original.finished_at and (
                original.finished_at < oldest
                or self.retained_bytes > MAX_RETAINED_BYTES
            ):
                self._remove(key)

    def _remove(self, key: KeyDigest) -> None:
        original = self.originals.pop(key)
        if original.finished_at:
            self.retained_bytes -= len(original.body or b"")
