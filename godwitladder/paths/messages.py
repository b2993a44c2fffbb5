"""Messages by which a host opens a tunnel to a target through another host."""

import enum
from dataclasses import dataclass

from godwitladder.membership.codec import peer_message


class TunnelOutcome(enum.Enum):
    """What a gateway answers to a request for a tunnel."""

    OPEN = "open"
    NO_PATH = "no_path"
    UNKNOWN_TARGET = "unknown_target"
    FULL = "full"
    STOPPING = "stopping"


@peer_message
@dataclass(frozen=True)
class TunnelRequest:
    """Request for a connection to a target.

    Attributes
    ----------
    address : str
        Address of the target, ``address:port``.
    timeout_s : float
        Seconds after which the tunnel is of no use any more.
    """

    address: str
    timeout_s: float


@peer_message
@dataclass(frozen=True)
class TunnelAnswer:
    """Answer to a `TunnelRequest`; after `OPEN` only bytes of the connection follow.

    Attributes
    ----------
    lost : tuple of str
        Addresses of some targets that the gateway doesn't reach directly.
    """

    outcome: TunnelOutcome
    lost: tuple[str, ...] = ()
