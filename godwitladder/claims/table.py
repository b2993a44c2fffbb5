"""Determines the holder of each key as a pure function of the claims stream.

The holder of a key is the claim with the lowest offset that has not been
released. Claims and releases only add to two sets, so a reader that starts
after the oldest records were dropped determines the same holder, as long as
the log retains a record or a snapshot of each active claim. Every competing
claim must therefore be released by its own host; otherwise the key would pass
to it once the holder is released.
"""

import sys
from dataclasses import dataclass, field

from godwitladder.claims.records import (
    Claim,
    ClaimRecord,
    Release,
    Snapshot,
)
from godwitladder.ids import HostId, Incarnation, Offset

# A host that knows a key to be held appends no claim for it, so competing
# claims come only from hosts that claimed concurrently.
RIVALS_PER_KEY = 16
# Maximum time by which the timestamp in a key may be ahead of the log's clock.
AHEAD_S = 3600.0
# Number of scans for expired claims per retention window. Expired claims only
# use memory, so few scans suffice.
SCANS_PER_WINDOW = 100


@dataclass(slots=True)
class Held:
    """One claim that has not been released.

    Attributes
    ----------
    offset, time : int, float
        Offset and log time of its first record.
    until : float
        Log time at which it expires.
    recorded : float
        Log time of its newest record or snapshot.
    """

    nonce: bytes
    host: HostId
    incarnation: Incarnation
    body: bytes
    dated: float
    offset: int
    time: float
    until: float
    recorded: float


@dataclass
class ClaimTable:
    """All claims of the retention window.

    Attributes
    ----------
    window_s : float
        How long a claim is kept, in seconds of log time.
    now : float
        The newest log time of a record.
    next : int
        Offset of the first record not yet replayed.
    rows : dict
        Claims of each key, in order of their offsets.
    released : dict
        Log time of the release of each nonce. A release may precede its claim
        if the host released the claim while its append was still in progress.
        Without these entries the late claim would hold the key until it
        expires.
    crowded : set
        Keys with so many competing claims that some were not stored. They
        stay held.
    scanned : float
        Log time of the last scan for expired claims.
    """

    window_s: float
    now: float = 0.0
    next: Offset = Offset(0)
    rows: dict[bytes, list[Held]] = field(default_factory=dict)
    released: dict[bytes, float] = field(default_factory=dict)
    crowded: set[bytes] = field(default_factory=set)
    scanned: float = 0.0

    def replay(self, offset: Offset, time: float, record: ClaimRecord) -> None:
        """Apply the record at ``offset``, which must be at least `next`."""
        self.next = Offset(offset + 1)
        self.now = max(self.now, time)
        if isinstance(record, Release):
            self._release(record)
        elif isinstance(record, Snapshot):
            self._hold(record.claim, record.offset, record.time, time)
        elif not self.is_out_of_window(record.dated):
            self._hold(record, offset, time, time)
        if self.now - self.scanned > self.window_s / SCANS_PER_WINDOW:
            self._forget()

    def holder(
        self, key: bytes, without: frozenset[bytes] | set[bytes] = frozenset()
    ) -> Held | None:
        """Return the claim that holds ``key``, ignoring the nonces in ``without``."""
        for row in self.rows.get(key, ()):
            if row.until > self.now and row.nonce not in without:
                return row
        return None

    def is_out_of_window(self, dated: float) -> bool:
        """Return whether the timestamp of a key is outside the window.

        An earlier claim of such a key may already have been evicted, so the
        key must be refused. Only log time is used, so that every host reaches
        the same verdict. Always False for a key without a timestamp.
        """
        if not dated:
            return False
        return not -AHEAD_S <= self.now - dated < self.window_s

    def due_for_snapshot(self, age_s: float, limit: int) -> list[Snapshot]:
        """Return snapshots of claims whose newest record is older than ``age_s``.

        Stops after the key at which ``limit`` is reached.
        """
        due = []
        for key, rows in self.rows.items():
            due += [
                Snapshot(_claim(key, row), row.offset, row.time)
                for row in rows
                if row.until > self.now and self.now - row.recorded > age_s
            ]
            if len(due) >= limit:
                break
        return due

    def _hold(self, claim: Claim, offset: int, time: float, recorded: float) -> None:
        if claim.nonce in self.released:
            return
        rows = self.rows.setdefault(claim.key, [])
        for row in rows:
            if row.nonce == claim.nonce:
                row.recorded = max(row.recorded, recorded)
                return
        if len(rows) >= RIVALS_PER_KEY:
            # Once the stored claims are released, a claim that was not stored
            # can't be told from no claim, so this key is never freed within
            # the window.
            self.crowded.add(claim.key)
            return
        until = max(time, claim.dated) + self.window_s
        host = HostId(sys.intern(claim.host))
        rows.append(
            Held(
                claim.nonce,
                host,
                claim.incarnation,
                claim.body,
                claim.dated,
                offset,
                time,
                until,
                recorded,
            )
        )
        rows.sort(key=lambda row: row.offset)

    def _release(self, record: Release) -> None:
        self.released[record.nonce] = self.now
        if record.key in self.crowded:
            return
        rows = [
            row for row in self.rows.get(record.key, ()) if row.nonce != record.nonce
        ]
        if rows:
            self.rows[record.key] = rows
        else:
            self.rows.pop(record.key, None)

    def _forget(self) -> None:
        """Remove entries older than the window, which bounds the table's size."""
        self.scanned = self.now
        for key, rows in list(self.rows.items()):
            kept = [row for row in rows if row.until > self.now]
            if kept:
                self.rows[key] = kept
            else:
                del self.rows[key]
                self.crowded.discard(key)
        oldest = self.now - self.window_s
        self.released = {
            nonce: time for nonce, time in self.released.items() if time > oldest
        }


def _claim(key: bytes, row: Held) -> Claim:
    return Claim(key, row.nonce, row.host, row.incarnation, row.body, row.dated)
