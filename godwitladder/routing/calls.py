"""Routed calls: the data in their headers, and their state while they run.

The names of headers depend on the platform that the host runs on; the platform's
adapter implements `HeaderCodec`.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from godwitladder.decisions.placing.stated_load import StatedLoad
from godwitladder.ids import TargetName
from godwitladder.outcomes import RequestState
from godwitladder.quarantine.traits import RequestTraits
from godwitladder.routing.model import Route
from godwitladder.scheduler.rows import RequestRow

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt.

    Parts with the same name have the same text in all requests.

    Attributes
    ----------
    name : str
        Identifies the text of the part.
    tokens : int
        Length of the part in tokens.
    """

    name: str
    tokens: int


@dataclass(frozen=True)
class CallMetadata:
    """Data from the headers of a caller's request.

    Attributes
    ----------
    attempt : str
        The caller's id of this attempt; empty if not sent.
    wait_s : float or None
        Seconds that the caller will wait; None if not sent.
    key : str
        Bearer key; empty if not sent.
    prompt_tokens : int
        Tokens of the prompt; 0 if not sent.
    output_tokens, output_hint : int
        Maximum of output tokens, and the caller's estimate of their number;
        0 if not sent.
    parts : tuple of PromptPart
        Parts of the prompt, in order; empty if not sent.
    last_event : str
        Id of the last event of a stream that the caller received; empty if not
        sent.
    resumes : str
        Attempt that brought the first event of that stream; empty if not sent.
    """

    attempt: str = ""
    wait_s: float | None = None
    key: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    output_hint: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: str = ""
    resumes: str = ""


def part_names(metadata: CallMetadata) -> tuple[str, ...]:
    """Return the names of the parts of a call's prompt, in order."""
    return tuple(part.name for part in metadata.parts)


@dataclass(frozen=True)
class DispatchMetadata:
    """Data that is added to the headers of a call sent to a target.

    Attributes
    ----------
    left_s : float
        Seconds until the answer is no longer useful.
    target : str
        Name of the target that the call is meant for.
    workspace : str
        Workspace of the caller; empty if the call needed no key.
    last_event : str
        Id of the event after which to resume a stream; empty to pass on the
        caller's own value.
    """

    left_s: float
    target: str
    workspace: str = ""
    last_event: str = ""


@dataclass(frozen=True)
class AnswerMetadata:
    """Data from the headers of a target's answer.

    Attributes
    ----------
    attempt : str
        Id of the attempt that it answers.
    signature : str
        The target's signature of the answer.
    not_run : bool
        Whether the target states that it did not run the request.
    rate_limit : float or None
        Total request rate that the target accepts, over all hosts, until an answer
        no longer states it; None for no limit.
    leaving : bool
        Whether the target states that it is leaving.
    retry_after_s : float or None
        Seconds after which this host may retry a target that refuses a request;
        None if not stated.
    max_refusals_per_s : float or None
        Refusals in a second beyond which the target falls over; None if it is not
        brittle.
    load : StatedLoad or None
        The target's own report of its load; None if not stated.
    """

    attempt: str
    signature: str
    not_run: bool
    rate_limit: float | None = None
    leaving: bool = False
    retry_after_s: float | None = None
    max_refusals_per_s: float | None = None
    load: StatedLoad | None = None


class HeaderCodec(Protocol):
    """Reads and writes the headers of a platform."""

    def read_call(self, headers: Headers) -> CallMetadata:
        """Return the data in a caller's headers."""

    def for_target(
        self, headers: Headers, send: DispatchMetadata
    ) -> list[tuple[str, str]]:
        """Return the headers to send to a target."""

    def for_probe(self, target: TargetName) -> Headers:
        """Return the headers of a health check that no other target may answer."""

    def read_instance(self, headers: Mapping[str, str]) -> str:
        """Return the name of the target that answers one; empty if not stated."""

    def read_answer(self, headers: Mapping[str, str]) -> AnswerMetadata:
        """Return the data in a target's headers."""

    def for_caller(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of the answer to a caller."""


@dataclass(frozen=True)
class RoutedCall:
    """One caller's request while a host serves it.

    Attributes
    ----------
    row : RequestRow
        Its row in the scheduler's table.
    path : str
        Path and query string as received.
    deadline : float
        Monotonic time in seconds by which the answer must be complete: the end
        of the route's timeout or of the caller's waiting time.
    traits : RequestTraits
        What of the request may crash targets.
    event_tokens : int
        Output tokens in one event of a stream.
    on_end : callable
        Called with the final state of the request.
    """

    row: RequestRow
    route: Route
    metadata: CallMetadata
    method: str
    path: str
    headers: Headers
    body: bytes
    workspace: str
    deadline: float
    traits: RequestTraits
    event_tokens: int = 1
    on_end: Callable[[RequestState], None] = lambda state: None
