"""Who holds which key, as a pure function of the claims stream.

The holder of a key is its claim with the lowest offset that was not released.
Claims and releases only add to two sets, so a reader that begins after the
oldest records were dropped reaches the same holder, as long as each claim
still in force has a record or a snapshot that is kept. Every rival of a
holder therefore releases its own claim, or the key would pass to it.
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

# A host that knows a key to be held appends no claim for it, so rivals come
# only from hosts that claimed at the same moment.
RIVALS_PER_KEY = 16
# How far ahead of the log's clock the time in a key may be.
AHEAD_S = 3600.0
# Expired rows cost memory only, so they are looked for this many times in a
# window.
SCANS_PER_WINDOW = 100


@dataclass(slots=True)
class Held:
    """One claim that was not released.

    Attributes
    ----------
    offset, time : int, float
        Of its first record, by the log.
    until : float
        Time by the log at which it is forgotten.
    recorded : float
        Time of its newest record or snapshot, by the log.
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
    """Every claim of the window.

    Attributes
    ----------
    window_s : float
        How long a claim is kept, by the log's time.
    now : float
        The newest time that the log put on a record.
    next : int
        Offset of the first record not yet replayed.
    rows : dict
        The claims of each key in the order of their offsets.
    released : dict
        Time of release for each nonce. A release may come before its claim,
        when the append of the claim was still under way as its host gave up;
        without these rows the late claim would hold the key for ever.
    crowded : set
        Keys with so many rivals that some are not kept; they stay held.
    """

    window_s: float
    now: float = 0.0
    next: Offset = Offset(0)
    rows: dict[bytes, list[Held]] = field(default_factory=dict)
    released: dict[bytes, float] = field(default_factory=dict)
    crowded: set[bytes] = field(default_factory=set)
    scanned: float = 0.0

    def replay(self, offset: Offset, time: float, record: ClaimRecord) -> None:
        """Take in the record at ``offset``, which must be `next` or above."""
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
        """Return the claim that holds ``key``, passing over nonces in ``without``."""
        for row in self.rows.get(key, ()):
            if row.until > self.now and row.nonce not in without:
                return row
        return None

    def is_out_of_window(self, dated: float) -> bool:
        """Return whether a key that tells its time can't be judged any more.

        A claim of that key may already be forgotten. Judged by the log's
        time alone, so that every host reaches the same verdict.
        """
        if not dated:
            return False
        return not -AHEAD_S <= self.now - dated < self.window_s

    def due_for_snapshot(self, age_s: float, limit: int) -> list[Snapshot]:
        """Return claims whose newest record is older than ``age_s``."""
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
            # A rival that is not kept can't be told from none once the others
            # are released, so this key is never freed within the window.
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
        """Drop what is older than the window, which bounds the table."""
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
