"""Holds back calls whose responses were lost at several targets.

A call may crash every target that runs it, while its caller retries it at any host.
Without this check it takes down the pool target by target, together with everything
else that runs there.

A single lost response does not prove a crash: connections break, and targets lose
responses. A call is therefore held back only after its response was lost at several
targets. A call that merely ran beside a crashing one hardly ever reaches that: it
would take two attempts at two targets each, with all of the responses lost.

No clock is read: the time is a parameter of each method.
"""

from dataclasses import dataclass, field

from godwitladder.ids import BodyDigest, TargetName

# Number of targets that lost the response before a call is held back.
LOSS_THRESHOLD = 3
# Callers retry for a minute or two. A corrected call has another digest.
HOLD_S = 60.0
# The newest calls are kept. An entry takes about 200 bytes.
MAX_CALLS = 5_000


@dataclass
class Loss:
    """Losses of one call's response.

    Attributes
    ----------
    at : float
        Monotonic seconds of the last loss.
    targets : set
        Targets that lost the response.
    """

    at: float
    targets: set[TargetName] = field(default_factory=set)


@dataclass
class LossTable:
    """Calls whose responses were lost, by digest."""

    losses: dict[BodyDigest, Loss] = field(default_factory=dict)

    def record_loss(self, digest: BodyDigest, target: TargetName, now: float) -> None:
        """Record that ``target`` lost the response to a call."""
        loss = self.losses.pop(digest, None)
        if loss is None or now - loss.at > HOLD_S:
            loss = Loss(now)
        loss.at = now
        loss.targets.add(target)
        self.losses[digest] = loss
        while len(self.losses) > MAX_CALLS:
            del self.losses[next(iter(self.losses))]

    def held_s(self, digest: BodyDigest, now: float) -> float:
        """Return the seconds for which a call is still held back, 0 if it is not."""
        loss = self.losses.get(digest)
        if loss is None or len(loss.targets) < LOSS_THRESHOLD:
            return 0.0
        return max(0.0, loss.at + HOLD_S - now)
