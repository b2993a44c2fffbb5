"""Errors of dispatching a request to a target and of reading its answer."""

import enum

from godwitladder.findings import GodwitladderError


class NotSent(GodwitladderError):
    """The request was not dispatched: no byte of it was sent to the target."""


class NoConnection(NotSent):
    """No connection to the target could be established, on any way."""


class NoDescriptor(NoConnection):
    """No descriptor is left on this host, which says nothing of the target."""


class MayHaveRun(GodwitladderError):
    """The request may have reached the target, but no complete answer arrived."""


class AbortedByHost(MayHaveRun):
    """The host itself ended the answer before it was complete."""


class AnswerShape(enum.Enum):
    """Part of an answer that exceeds its limit or is not HTTP."""

    HEAD = "head"
    INTERIM = "interim"
    FRAMING = "framing"
    EVENT = "event"
    BODY = "body"


class MalformedAnswer(MayHaveRun):
    """The target sent bytes that are no answer, or more than the limits allow.

    Parameters
    ----------
    shape : AnswerShape
        The part at fault.
    size : int
        Bytes of that part that were read.
    detail : str
        What is wrong with it.
    """

    def __init__(self, shape: AnswerShape, size: int, detail: str) -> None:
        super().__init__(f"malformed {shape.value} after {size} bytes: {detail}")
        self.shape = shape
        self.size = size


class TargetRefused(GodwitladderError):
    """The target answered that it has not started the request.

    Parameters
    ----------
    status : int
        The target's HTTP status.
    text : str
        The beginning of its answer.
    cooldown_s : float
        Seconds until this host may retry; 0 if not stated.
    """

    def __init__(self, status: int, text: str, cooldown_s: float = 0.0) -> None:
        super().__init__(f"target answered {status}: {text}")
        self.status = status
        self.cooldown_s = cooldown_s
