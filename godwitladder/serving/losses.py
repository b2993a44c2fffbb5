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
    """Lost answers that this host and its peers have reported.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    broadcast : callable
        Called with each `AnswerLost` that this host observed. All hosts need it,
        since a caller may send the call to any host next.
    """

    def __init__(self, clock: Clock, broadcast: Callable[[AnswerLost], None]) -> None:
        self.clock = clock
        self.broadcast = broadcast
        self.table = LossTable()
        self.lock = threading.Lock()

    def report_loss(self, digest: BodyDigest, target: TargetName) -> None:
        """Record a loss that this host observed, and send it to the peers."""
        message = AnswerLost(digest, target)
        self.record_loss(message, "this host")
        self.broadcast(message)

    def record_loss(self, message: AnswerLost, observed_by: str) -> None:
        """Record a loss that this host or a peer observed."""
        with self.lock:
            now = self.clock.monotonic()
            self.table.record_loss(message.digest, message.target, now)
            targets = len(self.table.losses[message.digest].targets)
        extra = {
            "body": message.digest[:8],
            "target": message.target,
            "observed_by": observed_by,
            "targets": targets,
        }
        log.info("A lost answer was recorded", extra=extra)

    def held_s(self, digest: BodyDigest) -> float:
        """Return for how many more seconds to hold a call back; 0 if it is not held."""
        with self.lock:
            return self.table.held_s(digest, self.clock.monotonic())


def digest_call(workspace: str, path: str, body: bytes) -> BodyDigest:
    """Return the digest by which a retried call is recognized."""
    text = f"{workspace}\n{path}\n".encode() + body
    return BodyDigest(hashlib.blake2b(text, digest_size=12).hexdigest())
