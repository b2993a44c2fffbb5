"""Crash events, which hosts exchange over links and through the log."""

from dataclasses import dataclass

from godwitladder.decisions.quarantine import TargetProcess
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


@dataclass(frozen=True)
class KnownHistory:
    """What a host knows of a request that was part of crashes.

    Attributes
    ----------
    processes : tuple of TargetProcess
        Processes that ended under it and that no other request explains.
    age_s : float
        Seconds since the last of these crashes.
    quarantined_s : float
        Seconds for which it is still quarantined; 0 if it is not.
    retrials : int
        Number of trials since it was quarantined.
    """

    digest: BodyDigest
    processes: tuple[TargetProcess, ...]
    age_s: float
    quarantined_s: float = 0.0
    retrials: int = 0


@dataclass(frozen=True)
class KnownClearing:
    """A request that has completed, and the seconds since then."""

    digest: BodyDigest
    age_s: float


@peer_message
@dataclass(frozen=True)
class KnownCrashes:
    """All that a host knows, for a peer to which it has a new link."""

    histories: tuple[KnownHistory, ...] = ()
    cleared: tuple[KnownClearing, ...] = ()
