"""What hosts ask each other about the configuration."""

from dataclasses import dataclass

from godwitladder.ids import HostId
from godwitladder.membership.codec import peer_message


@peer_message
@dataclass(frozen=True)
class ConfigRequest:
    """Asks for the state of a host that is said to be ahead."""

    host: HostId


@peer_message
@dataclass(frozen=True)
class ConfigSnapshot:
    """Answers a `ConfigRequest`; ``data`` is in the form of a snapshot."""

    data: bytes
