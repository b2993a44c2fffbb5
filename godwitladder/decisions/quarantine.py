"""Quarantines requests that crash the targets that run them.

A request may crash every target that runs it, while its caller retries it under a new
key each time. Without a quarantine it takes down the pool target by target, together
with everything else that runs there.

After a crash, every request that ran on the target is a suspect, since nothing shows
which of them was the cause. Suspects are run on trial, one at a time in the whole
system. A suspect that completes is cleared. A suspect whose target crashes during its
trial is quarantined, and the requests that were suspected together with it are
cleared. A crashing request therefore costs two targets, the first one and that of its
trial, and a request that merely ran beside it has to wait for a trial but is not
quarantined.
"""

import enum
from dataclasses import dataclass, field

from godwitladder.ids import BodyDigest, TargetName

# Hosts notice the same crash at different times. The last one does so when its
# attempts to resume a stream have failed, some seconds later.
MERGE_S = 10.0
# Callers retry for minutes. A corrected body has another digest. When the fault was
# fixed in the engine, an operator lifts the quarantine, or it expires.
HOLD_S = 600.0
MAX_SUSPECTS = 10_000


class QuarantineStatus(enum.Enum):
    """Quarantine status of a request.

    Attributes
    ----------
    CLEAR
        It may run.
    SUSPECT
        It may run only on trial.
    QUARANTINED
        It must not run.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(eq=False)
class CrashRecord:
    """One crash of one target, as reported by any number of hosts.

    Attributes
    ----------
    at : float
        Monotonic seconds of the first report.
    digests : set
        Suspects of this crash.
    cause : BodyDigest or None
        The request on trial that was found to be the cause.
    """

    target: TargetName
    at: float
    digests: set[BodyDigest] = field(default_factory=set)
    cause: BodyDigest | None = None


@dataclass
class Quarantine:
    """Suspects and quarantined requests; times are monotonic seconds.

    Attributes
    ----------
    hold_s : float
        Seconds for which a quarantine or a suspicion lasts.
    crashes : dict
        Last crash of each target.
    suspects : dict
        Crash that each suspect was part of.
    quarantined : dict
        Time at which each quarantine ends.
    """

    hold_s: float = HOLD_S
    crashes: dict[TargetName, CrashRecord] = field(default_factory=dict)
    suspects: dict[BodyDigest, CrashRecord] = field(default_factory=dict)
    quarantined: dict[BodyDigest, float] = field(default_factory=dict)

    def record_crash(
        self, target: TargetName, digest: BodyDigest, trial: bool, now: float
    ) -> None:
        """Record that ``target`` crashed while it ran ``digest``.

        Parameters
        ----------
        trial : bool
            Whether the request ran on trial.
        """
        self._remove_expired(now)
        crash = self._crash_record(target, now)
        if crash.cause:
            # A request on trial is known to have caused this crash. The others on
            # the target only ran beside it.
            return
        if trial:
            self._quarantine(digest, crash, now)
            return
        if digest in self.suspects or len(self.suspects) >= MAX_SUSPECTS:
            return
        crash.digests.add(digest)
        self.suspects[digest] = crash

    def clear(self, digest: BodyDigest) -> None:
        """Clear a suspect that has run to completion."""
        crash = self.suspects.pop(digest, None)
        if crash:
            crash.digests.discard(digest)

    def lift(self, digest: BodyDigest) -> None:
        """End a quarantine or a suspicion."""
        self.clear(digest)
        self.quarantined.pop(digest, None)

    def status(self, digest: BodyDigest, now: float) -> QuarantineStatus:
        """Return the quarantine status of ``digest``."""
        if self.quarantined.get(digest, now) > now:
            return QuarantineStatus.QUARANTINED
        crash = self.suspects.get(digest)
        if crash and now - crash.at < self.hold_s:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def _crash_record(self, target: TargetName, now: float) -> CrashRecord:
        """Return the record of the target's current crash, or create one."""
        crash = self.crashes.get(target)
        if crash is None or now - crash.at > MERGE_S:
            crash = self.crashes[target] = CrashRecord(target, now)
        return crash

    def _quarantine(self, digest: BodyDigest, crash: CrashRecord, now: float) -> None:
        """Quarantine ``digest`` and clear the other suspects of both its crashes."""
        self.quarantined[digest] = now + self.hold_s
        crash.cause = digest
        for explained in (crash, self.suspects.get(digest)):
            if explained:
                explained.cause = digest
                for suspect in explained.digests:
                    self.suspects.pop(suspect, None)
                explained.digests.clear()
        self.suspects.pop(digest, None)

    def _remove_expired(self, now: float) -> None:
        """Remove expired entries, which bounds the size of the tables."""
        self.quarantined = {
            digest: until for digest, until in self.quarantined.items() if until > now
        }
        self.suspects = {
            digest: crash
            for digest, crash in self.suspects.items()
            if now - crash.at < self.hold_s
        }
        self.crashes = {
            target: crash
            for target, crash in self.crashes.items()
            if now - crash.at < self.hold_s
        }
