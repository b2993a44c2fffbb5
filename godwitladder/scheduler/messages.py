"""Messages to the scheduler actor."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from godwitladder.configuration.state import ConfigState
from godwitladder.ids import HostId, RequestId, TargetName, Zone
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.rows import RequestRow


@dataclass(frozen=True)
class Submit:
    """A caller's request has arrived."""

    row: RequestRow


class ReturnProof(enum.Enum):
    """Why a request that was dispatched may wait for another target."""

    NOTHING_SENT = "nothing_sent"
    TARGET_SAID = "target_said"
    IDEMPOTENT = "idempotent"


@dataclass(frozen=True)
class Returned:
    """A dispatched request waits again.

    Attributes
    ----------
    proof : ReturnProof
        Nothing was written, the target said that it ran nothing, or the
        request may run twice.
    avoid : bool
        Whether this host should leave the target alone for a moment.
    """

    request: RequestId
    proof: ReturnProof
    avoid: bool = True


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
class NoFreeThread:
    """The host has no thread left for one more request that waits."""


@dataclass(frozen=True)
class NewConfig:
    """A new configuration is in force."""

    config: ConfigState


@dataclass(frozen=True)
class HostsChanged:
    """The live hosts have changed.

    Attributes
    ----------
    hosts : tuple of HostId
        Those of this zone that are not leaving, this one among them.
    linked : dict
        Those of each other zone to which there is a link.
    able : tuple of HostId or None
        Hosts of this zone that may be allocators; None if all may.
    hubs : frozenset of HostId
        Those to which all others are linked; empty if all are linked to all.
    """

    hosts: tuple[HostId, ...]
    linked: Mapping[Zone, tuple[HostId, ...]]
    allocator_candidates: tuple[HostId, ...] | None = None
    hubs: frozenset[HostId] = frozenset()

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
    """Requests on a target, as its own lagging report says."""

    target: TargetName
    requests: int


@dataclass(frozen=True)
class Stop:
    """Take nothing new; finish what was taken."""


@dataclass(frozen=True)
class Tick:
    """Run the systems."""
