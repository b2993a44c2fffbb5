"""Claims of one host: what it appends, and how each is settled by reading.

Pure: events and times come in, records to append and verdicts come out. The
threads that talk to the log are in `godwitladder.claims.actor`.

A claim is settled when its own record is read, never by the answer to the
append: by then every record below it was read too, so no lower claim can turn
up later, and a lost answer changes nothing. The verdict stands for good; no
clock, lease or timeout can take a key that was won.
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
from godwitladder.claims.table import ClaimTable, Held
from godwitladder.clients.log import Page, Record
from godwitladder.ids import HostId, Incarnation, Offset
from godwitladder.logs import component_logger
from godwitladder.quarantine.records import CrashNote

log = component_logger("claims")

# Pause after a failed append, and so what a refused caller is told to wait.
RETRY_DELAY_S = 0.5
# Snapshots in one append, so that they don't hold up claims behind them.
SNAPSHOT_RECORDS = 200


class Verdict(enum.Enum):
    """What became of a claim."""

    WON = "won"
    HELD = "held"
    REUSED = "reused"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True)
class ClaimRequest:
    """A claim that a request waits for.

    Attributes
    ----------
    due : float
        Monotonic seconds at which the request stops waiting for it.
    """

    key: bytes
    nonce: bytes
    body: bytes
    dated: float
    due: float


@dataclass(frozen=True)
class ClaimResult:
    """The verdict on a claim; ``holder`` is the rival that has the key."""

    nonce: bytes
    verdict: Verdict
    holder: Held | None = None


@dataclass
class ClaimTracker:
    """The claims of one host.

    Attributes
    ----------
    pending : dict
        Claims not yet settled, by nonce.
    outgoing : list
        Records to append, in order.
    in_flight : list
        Records of the append under way; at most one is.
    sent : set
        Nonces of unsettled claims that may be in the log.
    notes : list
        Notes on crashes that were read, with the log's time of each.
    given_up : set
        Own nonces whose release was not read yet. The host itself knows that
        they never run, so they don't hold a key against it.
    """

    host: HostId
    incarnation: Incarnation
    table: ClaimTable
    pending: dict[bytes, ClaimRequest] = field(default_factory=dict)
    outgoing: list[StreamRecord] = field(default_factory=list)
    in_flight: list[StreamRecord] = field(default_factory=list)
    sent: set[bytes] = field(default_factory=set)
    given_up: set[bytes] = field(default_factory=set)
    notes: list[tuple[CrashNote, float]] = field(default_factory=list)
    caught_up: bool = False
    read_failing: bool = False
    append_failed_until: float = 0.0

    def want(self, wanted: ClaimRequest, now: float) -> ClaimResult | None:
        """Claim a key; return the verdict if it is known at once."""
        holder = self.table.holder(wanted.key, self.given_up)
        if self.caught_up and holder:
            return _lost(wanted, holder)
        if self.is_failing(now) or wanted.due <= now:
            return ClaimResult(wanted.nonce, Verdict.UNAVAILABLE)
        self.pending[wanted.nonce] = wanted
        self.outgoing.append(
            Claim(
                wanted.key,
                wanted.nonce,
                self.host,
                self.incarnation,
                wanted.body,
                wanted.dated,
            )
        )
        return None

    def is_failing(self, now: float) -> bool:
        """Return whether the log did not answer when it was last asked."""
        return self.read_failing or now < self.append_failed_until

    def give_up(self, key: bytes, nonce: bytes) -> None:
        """Free the key of a claim that was not dispatched and never will be.

        The caller of this must have put the request into a final state
        before, since another host may run it from here on.
        """
        unsettled = self.pending.pop(nonce, None)
        never_sent = unsettled is not None and nonce not in self.sent
        self.sent.discard(nonce)
        self.outgoing = [row for row in self.outgoing if not _claims(row, nonce)]
        if never_sent or nonce in self.given_up:
            return
        self.given_up.add(nonce)
        self.outgoing.append(Release(key, nonce))

    def take_batch(self) -> list[StreamRecord]:
        """Return the records to append now; none while an append is under way."""
        if self.in_flight:
            return []
        self.in_flight, self.outgoing = self.outgoing, []
        self.sent |= {row.nonce for row in self.in_flight if isinstance(row, Claim)}
        return self.in_flight

    def append_done(self) -> None:
        """Note that the append under way was answered."""
        self.in_flight = []
        self.append_failed_until = 0.0

    def append_failed(self, now: float) -> None:
        """Put the records of the append under way back, in their order.

        They may be in the log all the same. A record that is there twice
        changes nothing, so appending again is safe; a claim that was settled
        or given up meanwhile is left out.
        """
        again = [
            row
            for row in self.in_flight
            if not isinstance(row, Claim) or row.nonce in self.pending
        ]
        self.outgoing = again + self.outgoing
        self.in_flight = []
        self.append_failed_until = now + RETRY_DELAY_S

    def read_failed(self) -> None:
        """Note that the log did not answer a read."""
        self.read_failing = True

    def read(self, page: Page) -> list[ClaimResult]:
        """Replay a page; return the verdicts on this host's claims in it."""
        self.read_failing = False
        settled = self._skip_gap(page.first)
        for record in page.records:
            if record.offset >= self.table.next:
                settled += self._replay(record)
        self.caught_up = self.table.next >= page.next
        return settled

    def expire(self, now: float) -> list[ClaimResult]:
        """Give up the claims that their requests no longer wait for."""
        due = [row for row in self.pending.values() if row.due <= now]
        return [self._abandon(row) for row in due]

    def snapshot(self, age_s: float) -> None:
        """Record again the claims whose newest record is older than ``age_s``."""
        if self.caught_up and not self.in_flight and not self.outgoing:
            self.outgoing += self.table.due_for_snapshot(age_s, SNAPSHOT_RECORDS)

    def _skip_gap(self, first: Offset) -> list[ClaimResult]:
        """Begin anew if records were dropped before they were read.

        A claim among them could be lower than one of ours, so ours can't be
        judged; none was dispatched yet, and all are given up.
        """
        if first <= self.table.next:
            return []
        started = self.table.next > 0
        self.table = ClaimTable(self.table.window_s, self.table.now, first)
        if not started:
            return []
        log.warning("Records were dropped unread", extra={"first": first})
        return [self._abandon(row) for row in list(self.pending.values())]

    def _replay(self, record: Record) -> list[ClaimResult]:
        try:
            row = decode_record(record.data)
        except BadRecord as error:
            log.warning("A bad record", extra={"error": str(error)})
            self.table.next = Offset(record.offset + 1)
            return []
        if not isinstance(row, Claim | Release | Snapshot):
            self.table.next = Offset(record.offset + 1)
            self.notes.append((row, record.time))
            return []
        self.table.replay(record.offset, record.time, row)
        if isinstance(row, Release):
            self.given_up.discard(row.nonce)
        if not isinstance(row, Claim) or row.nonce not in self.pending:
            return []
        return [self._settle(self.pending[row.nonce])]

    def _settle(self, wanted: ClaimRequest) -> ClaimResult:
        holder = self.table.holder(wanted.key)
        if holder and holder.nonce == wanted.nonce:
            del self.pending[wanted.nonce]
            self.sent.discard(wanted.nonce)
            return ClaimResult(wanted.nonce, Verdict.WON)
        self.give_up(wanted.key, wanted.nonce)
        if holder is None:
            return ClaimResult(wanted.nonce, Verdict.EXPIRED)
        return _lost(wanted, holder)

    def _abandon(self, wanted: ClaimRequest) -> ClaimResult:
        self.give_up(wanted.key, wanted.nonce)
        return ClaimResult(wanted.nonce, Verdict.UNAVAILABLE)


def _lost(wanted: ClaimRequest, holder: Held) -> ClaimResult:
    if holder.body != wanted.body:
        return ClaimResult(wanted.nonce, Verdict.REUSED, holder)
    return ClaimResult(wanted.nonce, Verdict.HELD, holder)


def _claims(record: StreamRecord, nonce: bytes) -> bool:
    return isinstance(record, Claim) and record.nonce == nonce


def is_idle(collector: ClaimTracker) -> bool:
    """Return whether nothing is left to append."""
    return not collector.outgoing and not collector.in_flight
