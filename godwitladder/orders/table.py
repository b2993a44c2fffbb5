"""Grants leases of targets and slots for reads of the weight store.

Pure: a function of the orders stream, which every host replays identically.
All times are log times, so the clocks of different hosts are never compared.

Load pattern: a ticket changes many targets at once, and every host sees it in
the same second. Without leases, all hosts would send orders to each target, in
arbitrary order. Without slots, all targets would load weights at once, and the
store would reject most of the reads.

`GUARD_S`: a holder starts no write after its lease has expired, and aborts a
write after `godwitladder.orders.issuer.SEND_S`, 2 s. A successor that waits one
second longer than that can't overlap with such a write, even if the clocks of
the host and the log drift apart by 10 % over the duration of a lease.
"""

from dataclasses import dataclass, field

from godwitladder.ids import Nonce, Offset, TargetName
from godwitladder.orders.records import Lease, OrderRecord, WeightRead

GUARD_S = 3.0
# Grants and slots are looked up once, within seconds of their record, so only
# the latest are kept.
KEPT = 1000


@dataclass(frozen=True)
class Held:
    """The latest lease granted for a target; ``time`` is its log time."""

    lease: Lease
    fence: Offset
    time: float

    def free_at(self) -> float:
        """Return the log time from which another holder may get a lease."""
        return self.time + self.lease.lease_s + GUARD_S


@dataclass
class OrderBook:
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
    slot_free : float
        Log time of the next free slot.
    """

    weight_reads_per_s: float
    next: Offset = Offset(0)
    held: dict[TargetName, Held] = field(default_factory=dict)
    fences: dict[Nonce, Offset | None] = field(default_factory=dict)
    slots: dict[Nonce, float] = field(default_factory=dict)
    slot_free: float = 0.0

    def replay(self, offset: Offset, time: float, record: OrderRecord | None) -> None:
        """Apply the record at ``offset``; None for one that can't be decoded."""
        if offset < self.next:
            return
        self.next = Offset(offset + 1)
        if isinstance(record, Lease):
            self._judge_lease(offset, time, record)
        elif isinstance(record, WeightRead):
            self._give_slot(time, record)

    def _judge_lease(self, offset: Offset, time: float, lease: Lease) -> None:
        granted = self._is_granted(time, lease)
        if granted:
            self.held[lease.target] = Held(lease, offset, time)
        _keep(self.fences, lease.nonce, offset if granted else None)

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
        return held.lease.holder == lease.holder or time >= held.free_at()

    def _give_slot(self, time: float, read: WeightRead) -> None:
        start = max(time, self.slot_free)
        self.slot_free = start + 1.0 / self.weight_reads_per_s
        _keep(self.slots, read.nonce, start - time)


def _keep(rows: dict, nonce: Nonce, value) -> None:
    rows[nonce] = value
    while len(rows) > KEPT:
        del rows[next(iter(rows))]
