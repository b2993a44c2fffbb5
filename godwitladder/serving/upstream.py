"""Answers of targets to routed calls, and the errors in reading them."""

from dataclasses import dataclass

import urllib3

from godwitladder.engines.wire import MayHaveRun
from godwitladder.findings import GodwitladderError


class NotRun(GodwitladderError):
    """The target stated that it did not run the request."""


class ForeignAnswer(MayHaveRun):
    """The answer is not that of the call: the target runs, and lost the answer."""


class StreamTruncated(GodwitladderError):
    """The rest of a stream is not available; the caller must see a broken answer."""

    logged = True


@dataclass(frozen=True)
class BufferedAnswer:
    """A target's answer that was read to its end."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes

    def start(self, start_response) -> list[bytes]:
        """Start the answer to the caller and return its body."""
        start_response(self.status, self.headers)
        return [self.body]


def is_stream(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether a response is a stream of server-sent events."""
    kind = response.headers.get("Content-Type", "")
    return response.status == 200 and kind.startswith("text/event-stream")


def read_response_body(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the complete body of a response.

    Raises
    ------
    MayHaveRun
        The connection broke before the end.
    """
    try:
        return response.read(decode_content=False)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise MayHaveRun(f"the answer broke: {error}") from error
