"""Shares among hosts which calls lost their answers at which targets."""

import hashlib
import threading
from collections.abc import Callable
from dataclasses import dataclass

from godwitladder.clock import Clock
from godwitladder.decisions.losses import LossTable
from godwitladder.ids import BodyDigest, TargetName
from godwitladder.logs import component_logger
from godwitladder.membership.codec import peer_message

log = component_logger("losses")


@peer_message
@dataclass(frozen=True)
class AnswerLost:
    """A target lost the answer to a call."""

    digest: BodyDigest
    target: TargetName


class LossRegistry:
    """What this host and its peers know of lost answers.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    spread : callable
        Called with each `AnswerLost` of this host: a caller may send the call
        to any host next.
    """

    def __init__(self, clock: Clock, spread: Callable[[AnswerLost], None]) -> None:
        self.clock = clock
        self.spread = spread
        self.table = LossTable()
        self.lock = threading.Lock()

    def report_loss(self, digest: BodyDigest, target: TargetName) -> None:
        """Take in a loss that this host has seen, and tell the others."""
        message = AnswerLost(digest, target)
        self.record_loss(message)
        self.spread(message)

    def record_loss(self, message: AnswerLost) -> None:
        """Take in a loss."""
        with self.lock:
            now = self.clock.monotonic()
            self.table.record_loss(message.digest, message.target, now)

    def held_s(self, digest: BodyDigest) -> float:
        """Return for how many more seconds a call is held back; 0 for not."""
        with self.lock:
            return self.table.held_s(digest, self.clock.monotonic())


def digest_call(workspace: str, path: str, body: bytes) -> BodyDigest:
    """Return what a call is known by when it comes again."""
    text = f"{workspace}\n{path}\n".encode() + body
    return BodyDigest(hashlib.blake2b(text, digest_size=12).hexdigest())
