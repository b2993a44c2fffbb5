"""Which requests may run that were on a target as it crashed.

Load pattern: one request crashes each target that runs it, and its caller
sends it again, each time under a new key. Without this it takes the pool down
target by target, and everything that ran there with it.

A crash makes every request that ran on the target a suspect, since nobody can
tell which of them did it. Suspects are tried one at a time in the whole
system: one that ends well is cleared, and one whose target crashes under it
is quarantined, which clears those that were suspected beside it. So a
crashing request takes two targets, the first and the one of its trial, and a
bystander waits for a trial but is not quarantined for what another did.
"""

import enum
from dataclasses import dataclass, field

from godwitladder.ids import BodyDigest, TargetName

# Hosts notice the same crash at different times, the last of them when its
# tries to resume a stream have failed, some seconds later.
MERGE_S = 10.0
# Callers try again for minutes; a body that is mended has another digest. A
# fault that was mended in the engine is lifted by an operator, or waits.
HOLD_S = 600.0
MAX_SUSPECTS = 10_000


class QuarantineStatus(enum.Enum):
    """What may be done with a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(eq=False)
class CrashRow:
    """One crash of one target, as reported by any number of hosts."""

    target: TargetName
    at: float
    digests: set[BodyDigest] = field(default_factory=set)
    culprit: BodyDigest | None = None


@dataclass
class Quarantine:
    """Suspects and quarantined requests; times are monotonic seconds.

    Attributes
    ----------
    crashes : dict
        The last crash of each target.
    suspects : dict
        The crash that each suspect was part of.
    quarantined : dict
        When each quarantine ends.
    """

    hold_s: float = HOLD_S
    crashes: dict[TargetName, CrashRow] = field(default_factory=dict)
    suspects: dict[BodyDigest, CrashRow] = field(default_factory=dict)
    quarantined: dict[BodyDigest, float] = field(default_factory=dict)

    def record_crash(
        self, target: TargetName, digest: BodyDigest, trial: bool, now: float
    ) -> None:
        """Take in that ``target`` crashed while it ran ``digest``."""
        self._forget(now)
        row = self._crash_row(target, now)
        if row.culprit:
            # The suspect on trial explains this crash; whoever ran beside it
            # is a bystander.
            return
        if trial:
            self._convict(digest, row, now)
            return
        if digest in self.suspects or len(self.suspects) >= MAX_SUSPECTS:
            return
        row.digests.add(digest)
        self.suspects[digest] = row

    def clear(self, digest: BodyDigest) -> None:
        """Take in that a suspect has run to its end."""
        row = self.suspects.pop(digest, None)
        if row:
            row.digests.discard(digest)

    def lift(self, digest: BodyDigest) -> None:
        """End a quarantine or a suspicion."""
        self.clear(digest)
        self.quarantined.pop(digest, None)

    def status(self, digest: BodyDigest, now: float) -> QuarantineStatus:
        """Return what may be done with ``digest``."""
        if self.quarantined.get(digest, now) > now:
            return QuarantineStatus.QUARANTINED
        row = self.suspects.get(digest)
        if row and now - row.at < self.hold_s:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def _crash_row(self, target: TargetName, now: float) -> CrashRow:
        row = self.crashes.get(target)
        if row is None or now - row.at > MERGE_S:
            row = self.crashes[target] = CrashRow(target, now)
        return row

    def _convict(self, digest: BodyDigest, row: CrashRow, now: float) -> None:
        self.quarantined[digest] = now + self.hold_s
        row.culprit = digest
        for held in (row, self.suspects.get(digest)):
            if held:
                held.culprit = digest
                for bystander in held.digests:
                    self.suspects.pop(bystander, None)
                held.digests.clear()
        self.suspects.pop(digest, None)

    def _forget(self, now: float) -> None:
        """Drop what is over, which bounds the tables."""
        self.quarantined = {
            digest: until for digest, until in self.quarantined.items() if until > now
        }
        self.suspects = {
            digest: row
            for digest, row in self.suspects.items()
            if now - row.at < self.hold_s
        }
        self.crashes = {
            target: row
            for target, row in self.crashes.items()
            if now - row.at < self.hold_s
        }
