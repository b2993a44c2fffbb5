"""Messages in which hosts exchange configuration state."""

from dataclasses import dataclass

from godwitladder.ids import HostId
from godwitladder.membership.codec import peer_message


@peer_message
@dataclass(frozen=True)
class ConfigRequest:
    """Requests the state of a peer that reported a higher offset.

    ``host`` is the requesting host, to which the answer is sent.
    """

    host: HostId


@peer_message
@dataclass(frozen=True)
class ConfigSnapshot:
    """Answers a `ConfigRequest`; ``data`` is an encoded snapshot."""

    data: bytes
