"""Routed calls: what headers say of them, and what is kept while they run.

The names of headers belong to whatever platform the host runs on; an adapter
implements `HeaderCodec`.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from godwitladder.outcomes import RequestState
from godwitladder.routing.model import Route
from godwitladder.scheduler.rows import RequestRow

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt, in order; requests share parts by name."""

    name: str
    tokens: int


@dataclass(frozen=True)
class CallMetadata:
    """What a caller's headers say.

    Attributes
    ----------
    attempt : str
        Id of this attempt of the caller's; empty if none was sent.
    wait_s : float or None
        Seconds that the caller will wait.
    key : str
        The bearer key; empty if none was sent.
    output_tokens, output_hint : int
        Most output tokens, and the caller's guess of them; 0 if not sent.
    last_event : str
        Id of the last event that the caller has of a stream.
    """

    attempt: str = ""
    wait_s: float | None = None
    key: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    output_hint: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: str = ""


@dataclass(frozen=True)
class DispatchMetadata:
    """What the system tells a target with a call.

    Attributes
    ----------
    left_s : float
        Seconds after which the answer is of no use.
    last_event : str
        Where to resume a stream; empty for what the caller sent.
    """

    left_s: float
    target: str
    workspace: str = ""
    last_event: str = ""


@dataclass(frozen=True)
class AnswerMetadata:
    """What the headers of a target's answer say.

    Attributes
    ----------
    attempt : str
        Id of the request that it answers.
    signature : str
        The target's mark under its answer.
    not_run : bool
        Whether the target says that it did not run the request.
    """

    attempt: str
    signature: str
    not_run: bool


class HeaderCodec(Protocol):
    """The names under which a platform's headers carry all this."""

    def read_call(self, headers: Headers) -> CallMetadata:
        """Return what a caller's headers say."""

    def for_target(
        self, headers: Headers, send: DispatchMetadata
    ) -> list[tuple[str, str]]:
        """Return the headers to send to a target."""

    def read_answer(self, headers: Mapping[str, str]) -> AnswerMetadata:
        """Return what a target's headers say."""

    def for_caller(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers to answer a caller with."""


@dataclass(frozen=True)
class RoutedCall:
    """One caller's request on its way through a host.

    Attributes
    ----------
    row : RequestRow
        Its row in the scheduler's table.
    path : str
        Path and query as they came.
    until : float
        Monotonic time of the final answer: the route's timeout or the end of
        the caller's patience.
    event_tokens : int
        Output tokens in one event of a stream.
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
    event_tokens: int = 1
    on_end: Callable[[RequestState], None] = lambda state: None
