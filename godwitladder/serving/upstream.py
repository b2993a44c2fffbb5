"""Answers of targets to routed calls, and the errors in reading them."""

import itertools
from http.client import HTTPException

import urllib3

from godwitladder.engines.wire import (
    AnswerShape,
    MalformedAnswer,
    MayHaveRun,
)
from godwitladder.findings import GodwitladderError
from godwitladder.routing.calls import HeaderCodec
from godwitladder.serving.call_memory import BLOCK_BYTES
from godwitladder.serving.call_watcher import OpenCall

MIN_FINAL_STATUS = 200
MAX_QUOTED_CHARS = 64


class NotRun(GodwitladderError):
    """The target stated that it did not run the request."""


class ForeignAnswer(MayHaveRun):
    """The answer is not that of the call: the target runs, and lost the answer."""


class StreamTruncated(GodwitladderError):
    """The rest of an answer is not available; the caller must see a broken answer."""

    logged = True


def is_stream(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether a response is a stream of server-sent events."""
    kind = response.headers.get("Content-Type", "")
    return response.status == 200 and kind.startswith("text/event-stream")


def read_block(
    response: urllib3.BaseHTTPResponse, open_call: OpenCall | None = None
) -> bytes:
    """Return the bytes of a body that have arrived; block only if there are none.

    Empty at the end of the body.

    Parameters
    ----------
    open_call : OpenCall or None
        The call that the body answers. The watcher ends a call by shutting its
        connection down, which looks as if the target had closed it; an answer without
        a length would seem complete.

    Raises
    ------
    AbortedByHost
        The body ended because this host ended the call.
    MayHaveRun
        The connection broke before the end.
    """
    try:
        block = response.read1(BLOCK_BYTES, decode_content=False)
    except (urllib3.exceptions.HTTPError, HTTPException, OSError) as error:
        if open_call is not None:
            open_call.raise_if_aborted()
        raise MayHaveRun(f"the answer broke: {error}") from error
    if not block and open_call is not None:
        open_call.raise_if_aborted()
    return block


def caller_headers(
    codec: HeaderCodec, response: urllib3.BaseHTTPResponse
) -> list[tuple[str, str]]:
    """Return the headers of ``response`` for the caller.

    Raises
    ------
    MalformedAnswer
        The status is that of an interim answer, or a line breaks within the status
        line or a header; the server would fail to send it.
    """
    if response.status < MIN_FINAL_STATUS:
        text = f"{response.status} is no final status"
        raise MalformedAnswer(AnswerShape.INTERIM, 0, text)
    headers = codec.for_caller(response.headers.items())
    for text in itertools.chain([response.reason or ""], *headers):
        if "\r" in text or "\n" in text:
            detail = f"a line breaks within {text[:MAX_QUOTED_CHARS]!r}"
            raise MalformedAnswer(AnswerShape.HEAD, len(text), detail)
    return headers
