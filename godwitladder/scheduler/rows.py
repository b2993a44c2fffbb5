"""The rows of one host's tables."""

import queue
from dataclasses import dataclass, field

from godwitladder.configuration.model import Target
from godwitladder.configuration.state import ConfigState
from godwitladder.findings import GodwitladderError
from godwitladder.ids import (
    BodyDigest,
    KeyDigest,
    RequestId,
    ServiceName,
    StreamId,
    TargetName,
    WorkspaceName,
)
from godwitladder.outcomes import TRANSITIONS, Refusal, RequestState


class IllegalTransition(GodwitladderError):
    """A request was to change into a state that its own does not allow."""


@dataclass(frozen=True)
class Dispatch:
    """Leave to write one request to one target, once."""

    request: RequestId
    stream: StreamId
    target: TargetName
    address: str


@dataclass
class RequestRow:
    """One request from its arrival to its end.

    Attributes
    ----------
    tier_rank : int
        0 matters most.
    prompt_tokens, declared_tokens, predicted_tokens, produced_tokens : int
        Length of the prompt; output declared, predicted and seen so far.
    arrived, deadline, dispatched : float
        Monotonic seconds of this host's clock.
    key : KeyDigest or None
        Digest of workspace, service and the caller's idempotency key.
    body : BodyDigest
        Digest of the body, by which a crashing request is known again.
    prefix : str
        Digest of the start of the prompt, for placement near its cache.
    decisions : queue
        Where the thread that serves the caller waits for what to do.
    """

    request: RequestId
    stream: StreamId
    workspace: WorkspaceName
    service: ServiceName
    tier_rank: int
    prompt_tokens: int
    declared_tokens: int
    arrived: float
    deadline: float
    idempotent: bool
    key: KeyDigest | None = None
    body: BodyDigest = BodyDigest("")
    prefix: str = ""
    predicted_tokens: int = 0
    produced_tokens: int = 0
    state: RequestState = RequestState.WAITING
    target: TargetName | None = None
    dispatched: float = 0.0
    decisions: "queue.SimpleQueue[Dispatch | Refusal]" = field(
        default_factory=queue.SimpleQueue, repr=False
    )

    def change(self, state: RequestState) -> None:
        """Go to ``state``, if the current one allows it."""
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransition(f"{self.request}: {self.state} to {state}")
        self.state = state


@dataclass
class TargetRow:
    """What this host knows of one target."""

    name: TargetName
    target: Target
    running: int = 0
    avoided_until: float = 0.0


@dataclass
class Tables:
    """All tables of one host."""

    config: ConfigState = field(default_factory=ConfigState)
    waiting: dict[RequestId, RequestRow] = field(default_factory=dict)
    running: dict[RequestId, RequestRow] = field(default_factory=dict)
    targets: dict[TargetName, TargetRow] = field(default_factory=dict)
    live_hosts: int = 1
    stopping: bool = False
