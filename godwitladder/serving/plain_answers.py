"""Answers of targets that are no streams: held until complete, or passed on in part.

A small answer is held until it is complete, so that another target may be asked if it
breaks. A larger one is passed on as it arrives, headers first; if it breaks then, the
caller sees a broken answer.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING

import urllib3

from godwitladder.engines.wire import AnswerShape, MalformedAnswer, MayHaveRun
from godwitladder.logs import component_logger
from godwitladder.outcomes import RequestState
from godwitladder.serving.call_memory import BLOCK_BYTES
from godwitladder.serving.upstream import StreamTruncated, caller_headers, read_block

if TYPE_CHECKING:
    from godwitladder.serving.proxying import ProxiedCall

log = component_logger("passing")


class PlainAnswer:
    """The answer of one target to a routed call.

    Raises
    ------
    MalformedAnswer
        Its headers can't be passed on.

    Attributes
    ----------
    held : bytearray
        The body so far, until it is passed on.
    size : int
        Bytes of the body that were read.
    complete : bool
        Whether the body was read to its end.
    kept : int
        Bytes that are held of an earlier answer to the call.
    is_closed : bool
        Whether the end of the call is reported by others, or was.
    """

    def __init__(
        self, proxied_call: "ProxiedCall", response: urllib3.BaseHTTPResponse
    ) -> None:
        self.proxied_call = proxied_call
        self.response = response
        self.limits = proxied_call.proxy.memory.limits
        self.headers = caller_headers(proxied_call.proxy.header_codec, response)
        self.length = response.length_remaining
        self.kept = len(proxied_call.error_answer or b"")
        self.held = bytearray()
        self.size = 0
        self.complete = False
        self.is_closed = False

    def read(self) -> None:
        """Read the body to its end, or as much of it as may be held.

        Raises
        ------
        MayHaveRun
            The answer broke, is too large, or the host ended the call.
        """
        if self.length is not None and self.length > self.limits.body_bytes:
            text = f"a body of {self.length} bytes is announced"
            raise MalformedAnswer(AnswerShape.BODY, 0, text)
        while self.may_hold():
            block = self.read_block()
            if not block:
                self.complete = True
                return
            self.held += block

    def may_hold(self) -> bool:
        """Return whether one more block may be held."""
        if len(self.held) > self.limits.held_bytes:
            return False
        return self.proxied_call.share.hold(self.kept + len(self.held))

    def read_block(self) -> bytes:
        """Return the next block of the body; empty at its end.

        Raises
        ------
        MayHaveRun
            The answer broke, is too large, or the host ended the call.
        """
        block = read_block(self.response, self.proxied_call.open_call)
        self.size += len(block)
        self.proxied_call.evidence.record_sign()
        if self.size > self.limits.body_bytes:
            text = f"more than {self.limits.body_bytes} bytes in a body"
            raise MalformedAnswer(AnswerShape.BODY, self.size, text)
        return block

    def start(self, start_response) -> "PlainAnswer":
        """Send the status and headers to the caller."""
        length = len(self.held) if self.complete else self.length
        if length is not None:
            self.headers.append(("Content-Length", str(length)))
        status = f"{self.response.status} {self.response.reason or ''}"
        start_response(status, self.headers)
        return self

    def __len__(self) -> int:
        """Return the number of bytes held."""
        return len(self.held)

    def finish(self) -> None:
        """Report the end of a call whose answer was read completely."""
        self.proxied_call.counts.record_status(self.response.status)
        if self.response.status < 400:
            # A target may turn a request down before it works on it.
            self.proxied_call.evidence.record_completion()
        self.is_closed = True
        self.proxied_call.finish(RequestState.COMPLETED)

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body.

        Raises
        ------
        StreamTruncated
            It broke while it was passed on.
        """
        yield from self.take_held()
        if self.complete:
            return
        try:
            while block := self.read_block():
                yield block
                self.proxied_call.proxy.pace.keep(len(block))
        except MayHaveRun as error:
            self.record_loss(error)
            raise StreamTruncated(str(error)) from error
        self.complete = True
        self.finish()

    def take_held(self) -> Iterator[bytes]:
        """Yield what is held: at once, or in blocks where memory is short."""
        share = self.proxied_call.share
        held, self.held = self.held, bytearray()
        size = len(held) if share.hold(2 * len(held)) else BLOCK_BYTES
        # A body may be empty, and a step of `range` must not be 0.
        for start in range(0, len(held), max(1, size)):
            yield bytes(held[start : start + size])
        share.hold(0)

    def record_loss(self, error: MayHaveRun) -> None:
        """Log and record that the answer broke while it was passed on."""
        extra = self.proxied_call.log.fields() | {
            "error": str(error),
            "bytes": self.size,
        }
        log.info("An answer broke", extra=extra)
        self.proxied_call.record_loss(error)

    def close(self) -> None:
        """End the call; the server calls this on every exit path."""
        if not self.is_closed:
            self.is_closed = True
            self.proxied_call.finish(RequestState.FAILED)
