"""The actor that exchanges the configuration with other hosts."""

import functools

import pykka

from godwitladder.configuration.follower import ConfigFollower
from godwitladder.configuration.messages import ConfigRequest, ConfigSnapshot
from godwitladder.membership.messages import Heartbeat


class ConfigExchange(pykka.ThreadingActor):
    """Takes what peers say of their configuration, one message at a time.

    Packing and reading a large state takes a while; done here, it holds up
    no link.

    Parameters
    ----------
    follower : ConfigFollower
        Keeps this host's configuration.
    """

    def __init__(self, follower: ConfigFollower) -> None:
        super().__init__()
        self.follower = follower

    def on_receive(self, message) -> None:
        """Take ``message`` in."""
        self.take(message)

    @functools.singledispatchmethod
    def take(self, message) -> None:
        """Take one message in."""
        raise TypeError(f"unknown message {message!r}")

    @take.register
    def _(self, message: Heartbeat) -> None:
        self.follower.hear(message.host, message.config_offset)

    @take.register
    def _(self, message: ConfigRequest) -> None:
        answer = self.follower.answer()
        if answer:
            self.follower.send(message.host, answer)

    @take.register
    def _(self, message: ConfigSnapshot) -> None:
        self.follower.take_state(message)
