"""Messages to the scheduler actor."""

from dataclasses import dataclass

from godwitladder.configuration.state import ConfigState
from godwitladder.ids import RequestId
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.rows import RequestRow


@dataclass(frozen=True)
class Submit:
    """A caller's request has arrived."""

    row: RequestRow


@dataclass(frozen=True)
class NothingSent:
    """The connection failed before the first byte of the request."""

    request: RequestId


@dataclass(frozen=True)
class Progress:
    """Output tokens seen so far."""

    request: RequestId
    tokens: int


@dataclass(frozen=True)
class Finished:
    """A dispatched request has ended."""

    request: RequestId
    state: RequestState
    prompt_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True)
class Withdrawn:
    """The caller of a waiting request is gone."""

    request: RequestId


@dataclass(frozen=True)
class NewConfig:
    """A new configuration is in force."""

    config: ConfigState


@dataclass(frozen=True)
class LiveHosts:
    """How many hosts of this zone are live, this one included."""

    count: int


@dataclass(frozen=True)
class Stop:
    """Take nothing new; finish what was taken."""


@dataclass(frozen=True)
class Tick:
    """Run the systems."""
