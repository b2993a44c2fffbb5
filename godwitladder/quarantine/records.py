"""Crash events, which hosts exchange over links and through the log."""

from dataclasses import dataclass

from godwitladder.ids import BodyDigest, TargetName
from godwitladder.membership.codec import peer_message


@peer_message
@dataclass(frozen=True)
class Crash:
    """A target's process ended while it ran a request.

    Attributes
    ----------
    report : str
        Unique id of this event. It arrives both over links and through the
        log, and duplicates are recognized by this id.
    trial : bool
        Whether the request ran on trial.
    generation : str
        Generation of the target's process; empty if it is not known.
    """

    report: str
    target: TargetName
    digest: BodyDigest
    trial: bool
    generation: str = ""


@peer_message
@dataclass(frozen=True)
class Cleared:
    """A request that was part of crashes has completed."""

    report: str
    digest: BodyDigest


@peer_message
@dataclass(frozen=True)
class Lifted:
    """An operator has lifted a quarantine."""

    report: str
    digest: BodyDigest
    operator: str


@peer_message
@dataclass(frozen=True)
class TrialBegan:
    """A suspect is about to be sent to a target, on trial."""

    report: str
    digest: BodyDigest
    target: TargetName


@peer_message
@dataclass(frozen=True)
class TrialEnded:
    """A trial has ended without a verdict."""

    report: str
    digest: BodyDigest


CrashEvent = Crash | Cleared | Lifted
QuarantineEvent = CrashEvent | TrialBegan | TrialEnded
