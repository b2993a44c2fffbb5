"""What a target answers to a routed call, and what it means that it does not."""

from dataclasses import dataclass

import urllib3

from godwitladder.engines.wire import MayHaveRun
from godwitladder.findings import GodwitladderError


class NotRun(GodwitladderError):
    """The target says that it did not run the request."""


class StreamTruncated(GodwitladderError):
    """The rest of a stream can't be had; its answer must look broken."""

    logged = True


@dataclass(frozen=True)
class BufferedAnswer:
    """A target's answer that was read to its end."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes

    def start(self, start_response) -> list[bytes]:
        """Answer the caller with it."""
        start_response(self.status, self.headers)
        return [self.body]


def is_stream(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether an answer is a stream of events."""
    kind = response.headers.get("Content-Type", "")
    return response.status == 200 and kind.startswith("text/event-stream")


def read_whole(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the whole body of an answer.

    Raises
    ------
    MayHaveRun
        It broke off.
    """
    try:
        return response.read(decode_content=False)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise MayHaveRun(f"the answer broke: {error}") from error
