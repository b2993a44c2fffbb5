"""Actor that exchanges configuration state with peers."""

import functools

import pykka

from godwitladder.configuration.follower import ConfigFollower
from godwitladder.configuration.messages import ConfigRequest, ConfigSnapshot
from godwitladder.membership.messages import Heartbeat


class ConfigExchange(pykka.ThreadingActor):
    """Handles peers' messages about the configuration, one at a time.

    Encoding and decoding a large state is slow. A separate actor keeps that
    work off the threads that serve the peer links.

    Parameters
    ----------
    follower : ConfigFollower
        Maintains this host's copy of the configuration.
    """

    def __init__(self, follower: ConfigFollower) -> None:
        super().__init__()
        self.follower = follower

    def on_receive(self, message) -> None:
        """Handle ``message``."""
        self.handle_message(message)

    @functools.singledispatchmethod
    def handle_message(self, message) -> None:
        """Handle ``message`` according to its type."""
        raise TypeError(f"unknown message {message!r}")

    @handle_message.register
    def _(self, message: Heartbeat) -> None:
        self.follower.record_peer_offset(message.host, message.config_offset)

    @handle_message.register
    def _(self, message: ConfigRequest) -> None:
        answer = self.follower.make_snapshot()
        if answer:
            self.follower.send(message.host, answer)

    @handle_message.register
    def _(self, message: ConfigSnapshot) -> None:
        self.follower.install_state(message)
