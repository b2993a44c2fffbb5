"""Tracks the claims of one host: the records it appends and their results.

Pure: takes events and times, and returns records to append and verdicts. The
threads that access the log are in `godwitladder.claims.actor`.

A claim is resolved when its own record is read back, never by the response to
the append. By then every record at a lower offset has been read too, so no
lower claim can appear later, and a lost response changes nothing. The verdict
is final: no clock, lease or timeout can take away a key that was won.
"""

import enum
from dataclasses import dataclass, field

from godwitladder.claims.records import (
    BadRecord,
    Claim,
    Release,
    Snapshot,
    StreamRecord,
    decode_record,
)
from godwitladder.claims.table import ClaimTable, HeldClaim
from godwitladder.clients.log import Page, Record
from godwitladder.ids import HostId, Incarnation, Offset
from godwitladder.logs import component_logger
from godwitladder.quarantine.records import CrashEvent

log = component_logger("claims")

# Delay after a failed append, also the delay that a refused caller is given.
RETRY_DELAY_S = 0.5
# Maximum number of snapshots per append, so that they don't delay later claims.
SNAPSHOT_RECORDS = 200


class Verdict(enum.Enum):
    """Outcome of a claim."""

    WON = "won"
    HELD = "held"
    REUSED = "reused"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True)
class ClaimRequest:
    """A claim whose result a request is waiting for.

    Attributes
    ----------
    due : float
        Monotonic time in seconds at which the request stops waiting.
    """

    key: bytes
    nonce: bytes
    body: bytes
    key_time_s: float
    due: float


@dataclass(frozen=True)
class ClaimResult:
    """Verdict on a claim; ``holder`` is the competing claim that holds the key."""

    nonce: bytes
    verdict: Verdict
    holder: HeldClaim | None = None


@dataclass
class ClaimTracker:
    """Claims of one host.

    Attributes
    ----------
    pending : dict
        Unresolved claims by nonce.
    outgoing : list
        Records to append, in order.
    in_flight : list
        Records of the append in progress. There is at most one append.
    sent : set
        Nonces of unresolved claims that may be in the log.
    unconfirmed_releases : set
        Nonces of own claims whose release has not been read back yet. The
        host knows that they never run, so it ignores them when it looks up
        the holder of a key.
    crash_events : list
        Crash events that were read, each with its log time.
    caught_up : bool
        Whether the last read reached the end of the stream.
    read_failing : bool
        Whether the last read failed.
    append_failed_until : float
        Monotonic time in seconds until which a failed append counts as an
        outage of the log.
    """

    host: HostId
    incarnation: Incarnation
    table: ClaimTable
    pending: dict[bytes, ClaimRequest] = field(default_factory=dict)
    outgoing: list[StreamRecord] = field(default_factory=list)
    in_flight: list[StreamRecord] = field(default_factory=list)
    sent: set[bytes] = field(default_factory=set)
    unconfirmed_releases: set[bytes] = field(default_factory=set)
    crash_events: list[tuple[CrashEvent, float]] = field(default_factory=list)
    caught_up: bool = False
    read_failing: bool = False
    append_failed_until: float = 0.0

    def submit(self, request: ClaimRequest, now: float) -> ClaimResult | None:
        """Claim a key, and return the result if it is already known."""
        holder = self.table.holder(request.key, self.unconfirmed_releases)
        if self.caught_up and holder:
            return _lost_result(request, holder)
        if self.is_failing(now) or request.due <= now:
            return ClaimResult(request.nonce, Verdict.UNAVAILABLE)
        self.pending[request.nonce] = request
        self.outgoing.append(
            Claim(
                request.key,
                request.nonce,
                self.host,
                self.incarnation,
                request.body,
                request.key_time_s,
            )
        )
        return None

    def is_failing(self, now: float) -> bool:
        """Return whether the log did not respond to the last read or append."""
        return self.read_failing or now < self.append_failed_until

    def release(self, key: bytes, nonce: bytes) -> None:
        """Release a claim that was not dispatched and never will be.

        The request must already be in a final state, since another host may
        run it from now on.
        """
        unsettled = self.pending.pop(nonce, None)
        never_sent = unsettled is not None and nonce not in self.sent
        self.sent.discard(nonce)
        self.outgoing = [
            record for record in self.outgoing if not _is_claim_of(record, nonce)
        ]
        if never_sent or nonce in self.unconfirmed_releases:
            return
        self.unconfirmed_releases.add(nonce)
        self.outgoing.append(Release(key, nonce))

    def take_batch(self) -> list[StreamRecord]:
        """Return the records to append now; none while an append is in progress."""
        if self.in_flight:
            return []
        self.in_flight, self.outgoing = self.outgoing, []
        self.sent |= {
            record.nonce for record in self.in_flight if isinstance(record, Claim)
        }
        return self.in_flight

    def append_done(self) -> None:
        """Record that the append in progress succeeded."""
        self.in_flight = []
        self.append_failed_until = 0.0

    def append_failed(self, now: float) -> None:
        """Requeue the records of the failed append, in their order.

        They may be in the log nevertheless. A duplicate record has no effect,
        so appending again is safe. Claims that were resolved or released in
        the meantime are left out.
        """
        retained = [
            record
            for record in self.in_flight
            if not isinstance(record, Claim) or record.nonce in self.pending
        ]
        self.outgoing = retained + self.outgoing
        self.in_flight = []
        self.append_failed_until = now + RETRY_DELAY_S

    def read_failed(self) -> None:
        """Record that the log did not respond to a read."""
        self.read_failing = True

    def read(self, page: Page) -> list[ClaimResult]:
        """Replay a page and return the results of this host's claims in it."""
        self.read_failing = False
        results = self._reset_after_gap(page.first)
        for record in page.records:
            if record.offset >= self.table.next:
                results += self._replay(record)
        self.caught_up = self.table.next >= page.next
        return results

    def expire(self, now: float) -> list[ClaimResult]:
        """Release claims whose requests stopped waiting, and return their results."""
        due = [request for request in self.pending.values() if request.due <= now]
        return [self._abandon(request) for request in due]

    def snapshot(self, age_s: float) -> None:
        """Queue snapshots of claims whose newest record is older than ``age_s``."""
        if self.caught_up and not self.in_flight and not self.outgoing:
            self.outgoing += self.table.due_for_snapshot(age_s, SNAPSHOT_RECORDS)

    def _reset_after_gap(self, first: Offset) -> list[ClaimResult]:
        """Reset the table if the log dropped records before they were read.

        The dropped records may include a claim with a lower offset than a
        pending claim of this host, so the pending claims can't be resolved.
        None of them has been dispatched yet, and all are released.
        """
        if first <= self.table.next:
            return []
        had_records = self.table.next > 0
        self.table = ClaimTable(self.table.window_s, self.table.now, first)
        if not had_records:
            return []
        log.warning(
            "Records were dropped from the log before they were read",
            extra={"first": first},
        )
        return [self._abandon(request) for request in list(self.pending.values())]

    def _replay(self, record: Record) -> list[ClaimResult]:
        try:
            decoded = decode_record(record.data)
        except BadRecord as error:
            log.warning(
                "Skipped an invalid record in the claims stream",
                extra={"error": str(error)},
            )
            self.table.next = Offset(record.offset + 1)
            return []
        if not isinstance(decoded, Claim | Release | Snapshot):
            self.table.next = Offset(record.offset + 1)
            self.crash_events.append((decoded, record.time))
            return []
        self.table.replay(record.offset, record.time, decoded)
        if isinstance(decoded, Release):
            self.unconfirmed_releases.discard(decoded.nonce)
        if not isinstance(decoded, Claim) or decoded.nonce not in self.pending:
            return []
        return [self._resolve(self.pending[decoded.nonce])]

    def _resolve(self, request: ClaimRequest) -> ClaimResult:
        holder = self.table.holder(request.key)
        if holder and holder.nonce == request.nonce:
            del self.pending[request.nonce]
            self.sent.discard(request.nonce)
            return ClaimResult(request.nonce, Verdict.WON)
        self.release(request.key, request.nonce)
        if holder is None:
            return ClaimResult(request.nonce, Verdict.EXPIRED)
        return _lost_result(request, holder)

    def _abandon(self, request: ClaimRequest) -> ClaimResult:
        self.release(request.key, request.nonce)
        return ClaimResult(request.nonce, Verdict.UNAVAILABLE)


def _lost_result(request: ClaimRequest, holder: HeldClaim) -> ClaimResult:
    if holder.body != request.body:
        return ClaimResult(request.nonce, Verdict.REUSED, holder)
    return ClaimResult(request.nonce, Verdict.HELD, holder)


def _is_claim_of(record: StreamRecord, nonce: bytes) -> bool:
    return isinstance(record, Claim) and record.nonce == nonce


def is_idle(collector: ClaimTracker) -> bool:
    """Return whether no records are queued or being appended."""
    return not collector.outgoing and not collector.in_flight
