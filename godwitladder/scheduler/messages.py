"""Messages to the scheduler actor and the allocator actor."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.configuration.state import ConfigState
from godwitladder.ids import HostId, RequestId, TargetName, Zone
from godwitladder.membership.messages import Peer
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.rows import RequestRow


@dataclass(frozen=True)
class Submit:
    """A request of a caller has arrived."""

    row: RequestRow


class ReturnProof(enum.Enum):
    """Why a dispatched request may be queued again.

    Attributes
    ----------
    NOTHING_SENT
        Nothing was sent to the target.
    TARGET_SAID
        The target stated that it did not run the request.
    IDEMPOTENT
        The request is idempotent and may run twice.
    """

    NOTHING_SENT = "nothing_sent"
    TARGET_SAID = "target_said"
    IDEMPOTENT = "idempotent"


@dataclass(frozen=True)
class Returned:
    """A dispatched request is to be queued again.

    Attributes
    ----------
    proof : ReturnProof
        Why this can't lead to an unwanted second run.
    avoid : bool
        Whether this host should avoid the target for a while.
    unreached : bool
        Whether there was no connection to the target.
    """

    request: RequestId
    proof: ReturnProof
    avoid: bool = True
    unreached: bool = False


@dataclass(frozen=True)
class TargetLost:
    """A target has lost an answer, and nothing shows that it runs on."""

    target: TargetName


@dataclass(frozen=True)
class NothingSent:
    """The connection failed before the first byte of the request."""

    request: RequestId


@dataclass(frozen=True)
class Progress:
    """A dispatched request has produced more output.

    Attributes
    ----------
    tokens : int
        Number of output tokens so far.
    """

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
class RateLimitStated:
    """A target's answer states a rate limit, or no longer states one.

    Attributes
    ----------
    generation : str
        Generation of the target to which the request was dispatched.
    requests_per_s : float
        Total request rate that it accepts, over all hosts; infinite for no limit.
    """

    target: TargetName
    generation: str
    requests_per_s: float


@dataclass(frozen=True)
class LeavingStated:
    """A target's answer states that the target is leaving.

    Attributes
    ----------
    generation : str
        Generation of the target to which the request was dispatched.
    """

    target: TargetName
    generation: str


@dataclass(frozen=True)
class BrittlenessStated:
    """A target's answer states that it falls over when it refuses too many requests.

    Attributes
    ----------
    generation : str
        Generation of the target to which the request was dispatched.
    max_refusals_per_s : float
        Refusals in a second beyond which it falls over.
    refused : bool
        Whether the answer is a refusal.
    """

    target: TargetName
    generation: str
    max_refusals_per_s: float
    refused: bool


@dataclass(frozen=True)
class CooldownStated:
    """A target has refused a request and stated when this host may retry.

    Attributes
    ----------
    generation : str
        Generation of the target to which the request was dispatched.
    cooldown_s : float
        Seconds until then, counted from its answer.
    """

    target: TargetName
    generation: str
    cooldown_s: float


@dataclass(frozen=True)
class SlowdownStated:
    """A target's answer states how long work takes there at this moment.

    Attributes
    ----------
    generation : str
        Generation of the target to which the request was dispatched.
    slowdown : float
        Multiple of the usual time.
    stated_at : float
        Time of the answer, on the clock of this host.
    """

    target: TargetName
    generation: str
    slowdown: float
    stated_at: float


@dataclass(frozen=True)
class Withdrawn:
    """The caller of a waiting request has disconnected."""

    request: RequestId


@dataclass(frozen=True)
class NoFreeThread:
    """The host has no free thread for another waiting request."""


@dataclass(frozen=True)
class NewConfig:
    """A new configuration is in force."""

    config: ConfigState


@dataclass(frozen=True)
class HostsChanged:
    """The live hosts or the links to them have changed.

    Attributes
    ----------
    hosts : tuple of HostId
        Live hosts of this zone that are not leaving, including this one.
    linked : dict
        Live hosts of each other zone to which this host has a link.
    allocator_candidates : tuple of HostId or None
        Hosts of this zone that may be allocators; None if all may.
    hubs : frozenset of HostId
        Hosts to which all others are linked; empty in a full mesh.
    peers : tuple of Peer
        Other live hosts that may be gateways of tunnels.
    """

    hosts: tuple[HostId, ...]
    linked: Mapping[Zone, tuple[HostId, ...]]
    allocator_candidates: tuple[HostId, ...] | None = None
    hubs: frozenset[HostId] = frozenset()
    peers: tuple[Peer, ...] = field(default=(), compare=False)

    @property
    def allocators(self) -> tuple[HostId, ...]:
        """Hosts of this zone that may be allocators."""
        return (
            self.hosts
            if self.allocator_candidates is None
            else self.allocator_candidates
        )


@dataclass(frozen=True)
class TargetsLeaving:
    """Addresses that the platform's list shows as leaving."""

    addresses: frozenset[str]


@dataclass(frozen=True)
class TargetLoad:
    """Number of requests on a target, from its own delayed load report."""

    target: TargetName
    requests: int


@dataclass(frozen=True)
class Stop:
    """Refuse new requests, and finish those that were accepted."""


@dataclass(frozen=True)
class Tick:
    """Run what is due at regular intervals."""
