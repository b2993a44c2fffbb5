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
MAX_CLAIMS_PER_KEY = 16
# Maximum time by which the timestamp in a key may be ahead of the log's clock.
MAX_KEY_AHEAD_S = 3600.0
# Number of scans for expired claims per retention window. Expired claims only
# use memory, so few scans suffice.
SCANS_PER_WINDOW = 100


@dataclass(slots=True)
class HeldClaim:
    """One claim that has not been released.

    Attributes
    ----------
    offset, time : int, float
        Offset and log time of its first record.
    expires_s : float
        Log time at which it expires.
    recorded : float
        Log time of its newest record or snapshot.
    """

    nonce: bytes
    host: HostId
    incarnation: Incarnation
    body: bytes
    key_time_s: float
    offset: int
    time: float
    expires_s: float
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
    claims : dict
        Claims of each key, in order of their offsets.
    released : dict
        Log time of the release of each nonce. A release may precede its claim
        if the host released the claim while its append was still in progress.
        Without these entries the late claim would hold the key until it
        expires.
    overflowed_keys : set
        Keys with so many competing claims that some were not stored. They
        stay held.
    last_scan : float
        Log time of the last scan for expired claims.
    """

    window_s: float
    now: float = 0.0
    next: Offset = Offset(0)
    claims: dict[bytes, list[HeldClaim]] = field(default_factory=dict)
    released: dict[bytes, float] = field(default_factory=dict)
    overflowed_keys: set[bytes] = field(default_factory=set)
    last_scan: float = 0.0

    def replay(self, offset: Offset, time: float, record: ClaimRecord) -> None:
        """Apply the record at ``offset``, which must be at least `next`."""
        self.next = Offset(offset + 1)
        self.now = max(self.now, time)
        if isinstance(record, Release):
            self._release(record)
        elif isinstance(record, Snapshot):
            self._add_claim(record.claim, record.offset, record.time, time)
        elif not self.is_out_of_window(record.key_time_s):
            self._add_claim(record, offset, time, time)
        if self.now - self.last_scan > self.window_s / SCANS_PER_WINDOW:
            self._evict_expired()

    def holder(
        self, key: bytes, excluded: frozenset[bytes] | set[bytes] = frozenset()
    ) -> HeldClaim | None:
        """Return the claim that holds ``key``, ignoring the nonces in ``excluded``."""
        for held in self.claims.get(key, ()):
            if held.expires_s > self.now and held.nonce not in excluded:
                return held
        return None

    def is_out_of_window(self, key_time_s: float) -> bool:
        """Return whether the timestamp of a key is outside the window.

        An earlier claim of such a key may already have been evicted, so the
        key must be refused. Only log time is used, so that every host reaches
        the same verdict. Always False for a key without a timestamp.
        """
        if not key_time_s:
            return False
        return not -MAX_KEY_AHEAD_S <= self.now - key_time_s < self.window_s

    def due_for_snapshot(self, age_s: float, limit: int) -> list[Snapshot]:
        """Return snapshots of claims whose newest record is older than ``age_s``.

        Stops after the key at which ``limit`` is reached.
        """
        due = []
        for key, claims in self.claims.items():
            due += [
                Snapshot(_claim(key, held), held.offset, held.time)
                for held in claims
                if held.expires_s > self.now and self.now - held.recorded > age_s
            ]
            if len(due) >= limit:
                break
        return due

    def _add_claim(
        self, claim: Claim, offset: int, time: float, recorded: float
    ) -> None:
        if claim.nonce in self.released:
            return
        claims = self.claims.setdefault(claim.key, [])
        for held in claims:
            if held.nonce == claim.nonce:
                held.recorded = max(held.recorded, recorded)
                return
        if len(claims) >= MAX_CLAIMS_PER_KEY:
            # Once the stored claims are released, a claim that was not stored
            # can't be told from no claim, so this key is never freed within
            # the window.
            self.overflowed_keys.add(claim.key)
            return
        expires_s = max(time, claim.key_time_s) + self.window_s
        host = HostId(sys.intern(claim.host))
        claims.append(
            HeldClaim(
                claim.nonce,
                host,
                claim.incarnation,
                claim.body,
                claim.key_time_s,
                offset,
                time,
                expires_s,
                recorded,
            )
        )
        claims.sort(key=lambda held: held.offset)

    def _release(self, record: Release) -> None:
        self.released[record.nonce] = self.now
        if record.key in self.overflowed_keys:
            return
        claims = [
            held
            for held in self.claims.get(record.key, ())
            if held.nonce != record.nonce
        ]
        if claims:
            self.claims[record.key] = claims
        else:
            self.claims.pop(record.key, None)

    def _evict_expired(self) -> None:
        """Remove entries older than the window, which bounds the table's size."""
        self.last_scan = self.now
        for key, claims in list(self.claims.items()):
            unexpired = [held for held in claims if held.expires_s > self.now]
            if unexpired:
                self.claims[key] = unexpired
            else:
                del self.claims[key]
                self.overflowed_keys.discard(key)
        oldest = self.now - self.window_s
        self.released = {
            nonce: time for nonce, time in self.released.items() if time > oldest
        }


def _claim(key: bytes, held: HeldClaim) -> Claim:
    return Claim(
        key, held.nonce, held.host, held.incarnation, held.body, held.key_time_s
    )
