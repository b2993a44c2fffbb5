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
        Whether the request ran as the trial: the one suspect that was allowed
        to run.
    """

    report: str
    target: TargetName
    digest: BodyDigest
    trial: bool


@peer_message
@dataclass(frozen=True)
class Cleared:
    """A suspect request has completed."""

    report: str
    digest: BodyDigest


@peer_message
@dataclass(frozen=True)
class Lifted:
    """An operator has lifted a quarantine."""

    report: str
    digest: BodyDigest
    operator: str


CrashEvent = Crash | Cleared | Lifted
