"""Holds back calls whose answers were lost at one target after another.

Load pattern: one call crashes each target that runs it, and its caller sends it
again, at any host. Without this it takes the pool down target by target, with
all that runs there.

A lost answer alone proves no crash: connections break, and targets lose
answers. So a call is held back only after its answer was lost at several
targets, which a bystander hardly meets: two tries at two targets each, all of
them lost.

Pure: times are handed in.

Thresholds
----------
LOSSES : targets that lost the answer before a call is held back.
HOLD_S : callers come back for a minute or two; a call that is mended has other
    bytes.
MOST_CALLS : calls remembered, the newest; a loss takes about 200 bytes.
"""

from dataclasses import dataclass, field

from godwitladder.ids import BodyDigest, TargetName

LOSSES = 3
HOLD_S = 60.0
MOST_CALLS = 5_000


@dataclass
class Loss:
    """Targets that lost a call's answer, and when the last of them did."""

    at: float
    targets: set[TargetName] = field(default_factory=set)


@dataclass
class LossTable:
    """Calls whose answers were lost, by what they consist of."""

    rows: dict[BodyDigest, Loss] = field(default_factory=dict)

    def record_loss(self, digest: BodyDigest, target: TargetName, now: float) -> None:
        """Take in that ``target`` lost the answer to a call."""
        row = self.rows.pop(digest, None)
        if row is None or now - row.at > HOLD_S:
            row = Loss(now)
        row.at = now
        row.targets.add(target)
        self.rows[digest] = row
        while len(self.rows) > MOST_CALLS:
            del self.rows[next(iter(self.rows))]

    def held_s(self, digest: BodyDigest, now: float) -> float:
        """Return for how many more seconds a call is held back; 0 for not."""
        row = self.rows.get(digest)
        if row is None or len(row.targets) < LOSSES:
            return 0.0
        return max(0.0, row.at + HOLD_S - now)
