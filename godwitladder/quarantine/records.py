"""What hosts tell each other about crashes, over links and through the log."""

from dataclasses import dataclass

from godwitladder.ids import BodyDigest, TargetName
from godwitladder.membership.codec import peer_message


@peer_message
@dataclass(frozen=True)
class Crash:
    """A target was found gone while it ran a request.

    Attributes
    ----------
    report : str
        Names this report alone, since it comes over links and by the log.
    trial : bool
        Whether the request was the one suspect allowed to run.
    """

    report: str
    target: TargetName
    digest: BodyDigest
    trial: bool


@peer_message
@dataclass(frozen=True)
class Cleared:
    """A suspect has run to its end."""

    report: str
    digest: BodyDigest


@peer_message
@dataclass(frozen=True)
class Lifted:
    """An operator ends a quarantine."""

    report: str
    digest: BodyDigest
    operator: str


CrashNote = Crash | Cleared | Lifted
