"""Crash events, which hosts exchange over links and through the log."""

from dataclasses import dataclass

from godwitladder.decisions.health.crashes import TargetProcess
from godwitladder.ids import BodyDigest, TargetName, TraitId
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
    parts : tuple of TraitId
        The request's traits beside its digest.
    blamed : tuple of TraitId
        Traits to quarantine for a crash on trial; the digest alone if empty.
    """

    report: str
    target: TargetName
    digest: BodyDigest
    trial: bool
    generation: str = ""
    parts: tuple[TraitId, ...] = ()
    blamed: tuple[TraitId, ...] = ()


@peer_message
@dataclass(frozen=True)
class PossibleCrash:
    """The answer of a target was lost, and nothing shows yet that it runs on.

    Attributes as in `Crash`. A crash that is confirmed later is told by another event.
    """

    report: str
    target: TargetName
    digest: BodyDigest
    trial: bool
    generation: str = ""
    parts: tuple[TraitId, ...] = ()


@peer_message
@dataclass(frozen=True)
class Cleared:
    """A request that was part of crashes has completed.

    Attributes
    ----------
    traits : tuple of TraitId
        Those of its traits that are cleared; the digest alone if empty.
    age_s : float
        Seconds since it completed.
    """

    report: str
    digest: BodyDigest
    traits: tuple[TraitId, ...] = ()
    age_s: float = 0.0


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
    """A suspect is about to be sent to a target, on trial.

    Attributes
    ----------
    traits : tuple of TraitId
        Those for which it is on trial; the digest alone if empty.
    """

    report: str
    digest: BodyDigest
    target: TargetName
    traits: tuple[TraitId, ...] = ()


@peer_message
@dataclass(frozen=True)
class TrialEnded:
    """A trial has ended without a verdict; ``traits`` as in `TrialBegan`."""

    report: str
    digest: BodyDigest
    traits: tuple[TraitId, ...] = ()


CrashEvent = Crash | Cleared | Lifted
QuarantineEvent = CrashEvent | PossibleCrash | TrialBegan | TrialEnded


@dataclass(frozen=True)
class KnownHistory:
    """What a host knows of a trait that was part of crashes.

    Attributes
    ----------
    processes : tuple of TargetProcess
        Processes that ended under it and that no other trait explains.
    age_s : float
        Seconds since the last of these crashes.
    quarantined_s : float
        Seconds for which it is still quarantined; 0 if it is not.
    retrials : int
        Number of trials since it was quarantined.
    blamed : tuple of TraitId
        Traits that were quarantined in the same trial.
    unconfirmed : tuple of TargetProcess
        Processes that may have ended under it.
    """

    trait: TraitId
    processes: tuple[TargetProcess, ...]
    age_s: float
    quarantined_s: float = 0.0
    retrials: int = 0
    blamed: tuple[TraitId, ...] = ()
    unconfirmed: tuple[TargetProcess, ...] = ()


@dataclass(frozen=True)
class KnownClearing:
    """A trait of a request that has completed, and the seconds since then."""

    trait: TraitId
    age_s: float


@peer_message
@dataclass(frozen=True)
class KnownCrashes:
    """All that a host knows, for a peer to which it has a new link."""

    histories: tuple[KnownHistory, ...] = ()
    cleared: tuple[KnownClearing, ...] = ()
