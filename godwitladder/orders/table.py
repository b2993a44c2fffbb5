"""Grants leases of targets and slots for reads of the weight store.

Pure: a function of the orders stream, which every host replays identically.
All times are log times, so the clocks of different hosts are never compared.

Load pattern: a ticket changes many targets at once, and every host sees it in
the same second. Without leases, all hosts would send orders to each target, in
arbitrary order. Without slots, all targets would load weights at once, and the
store would reject most of the reads.

`LEASE_GUARD_S`: a holder starts no write after its lease has expired, and aborts a
write after `godwitladder.orders.issuer.SEND_TIMEOUT_S`, 2 s. A successor that waits one
second longer than that can't overlap with such a write, even if the clocks of
the host and the log drift apart by 10 % over the duration of a lease.
"""

from dataclasses import dataclass, field

from godwitladder.ids import Nonce, Offset, TargetName
from godwitladder.orders.records import Lease, OrderRecord, WeightRead

LEASE_GUARD_S = 3.0
# Grants and slots are looked up once, within seconds of their record, so only
# the latest are kept.
MAX_RECENT_GRANTS = 1000


@dataclass(frozen=True)
class GrantedLease:
    """The latest lease granted for a target; ``time`` is its log time."""

    lease: Lease
    fence: Offset
    time: float

    def available_from(self) -> float:
        """Return the log time from which another holder may get a lease."""
        return self.time + self.lease.lease_s + LEASE_GUARD_S


@dataclass
class OrderTable:
    """Leases and slots granted by the records of the stream.

    Parameters
    ----------
    weight_reads_per_s : float
        Reads of the weight store per second, for all hosts together.

    Attributes
    ----------
    next : int
        Offset of the first record not yet replayed.
    held : dict
        The latest lease granted for each target.
    fences : dict
        Fencing number of each recently requested lease, by nonce; None for a
        lease that was denied.
    slots : dict
        Delay in seconds from the record of each slot to its read, by nonce.
    next_slot_time : float
        Log time of the next free slot.
    """

    weight_reads_per_s: float
    next: Offset = Offset(0)
    held: dict[TargetName, GrantedLease] = field(default_factory=dict)
    fences: dict[Nonce, Offset | None] = field(default_factory=dict)
    slots: dict[Nonce, float] = field(default_factory=dict)
    next_slot_time: float = 0.0

    def replay(self, offset: Offset, time: float, record: OrderRecord | None) -> None:
        """Apply the record at ``offset``; None for one that can't be decoded."""
        if offset < self.next:
            return
        self.next = Offset(offset + 1)
        if isinstance(record, Lease):
            self._apply_lease(offset, time, record)
        elif isinstance(record, WeightRead):
            self._assign_slot(time, record)

    def _apply_lease(self, offset: Offset, time: float, lease: Lease) -> None:
        granted = self._is_granted(time, lease)
        if granted:
            self.held[lease.target] = GrantedLease(lease, offset, time)
        _store_recent(self.fences, lease.nonce, offset if granted else None)

    def _is_granted(self, time: float, lease: Lease) -> bool:
        held = self.held.get(lease.target)
        if held is None:
            return True
        # A host that has not seen the latest tickets would order a state that
        # a later ticket has replaced, reverting the target to an older state.
        if lease.version < held.lease.version:
            return False
        # A process sends the orders for a target from a single thread, so its
        # own earlier order has already ended.
        return held.lease.holder == lease.holder or time >= held.available_from()

    def _assign_slot(self, time: float, read: WeightRead) -> None:
        start = max(time, self.next_slot_time)
        self.next_slot_time = start + 1.0 / self.weight_reads_per_s
        _store_recent(self.slots, read.nonce, start - time)


def _store_recent(recent: dict, nonce: Nonce, value) -> None:
    recent[nonce] = value
    while len(recent) > MAX_RECENT_GRANTS:
        del recent[next(iter(recent))]
