"""Who may order a target, and who may read the weight store when.

Pure: a function of the orders stream, which every host replays alike. Times
are the log's own, so no two hosts' clocks are compared.

Load pattern: a ticket changes many targets at once, and every host sees it in
the same second. Without leases all of them would order each target, in any
order; without slots all targets would load weights at once and the store
would turn most of them away.

`GUARD_S`: a holder begins no write after its lease and gives a write up
after `godwitladder.orders.issuer.SEND_S`, 2 s. A successor that waits for one
second more than that can't meet it on the way to the target, also where the
clocks of host and log differ in speed by one in ten over a lease.
"""

from dataclasses import dataclass, field

from godwitladder.ids import Nonce, Offset, TargetName
from godwitladder.orders.records import Lease, OrderRecord, WeightRead

GUARD_S = 3.0
# Grants and slots are asked for once, within seconds of their record.
KEPT = 1000


@dataclass(frozen=True)
class Held:
    """The lease last granted for a target; ``time`` is the log's."""

    lease: Lease
    fence: Offset
    time: float

    def free_at(self) -> float:
        """Return from when on another holder may have the target."""
        return self.time + self.lease.lease_s + GUARD_S


@dataclass
class OrderBook:
    """The leases and slots that the stream has granted.

    Parameters
    ----------
    weight_reads_per_s : float
        Reads of the weight store a second, for all hosts together.

    Attributes
    ----------
    fences : dict
        Fencing number for the nonce of each lease granted lately; None for
        one that was denied.
    slots : dict
        Seconds from its record to the read, for the nonce of each slot.
    """

    weight_reads_per_s: float
    next: Offset = Offset(0)
    held: dict[TargetName, Held] = field(default_factory=dict)
    fences: dict[Nonce, Offset | None] = field(default_factory=dict)
    slots: dict[Nonce, float] = field(default_factory=dict)
    slot_free: float = 0.0

    def replay(self, offset: Offset, time: float, record: OrderRecord | None) -> None:
        """Take in the record at ``offset``; None for one that can't be read."""
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
        # A host that is behind with tickets would order what a later ticket
        # has replaced, and the target would go back to an older state.
        if lease.version < held.lease.version:
            return False
        # A process orders a target from one thread, so that its own earlier
        # order has ended.
        return held.lease.holder == lease.holder or time >= held.free_at()

    def _give_slot(self, time: float, read: WeightRead) -> None:
        start = max(time, self.slot_free)
        self.slot_free = start + 1.0 / self.weight_reads_per_s
        _keep(self.slots, read.nonce, start - time)


def _keep(rows: dict, nonce: Nonce, value) -> None:
    rows[nonce] = value
    while len(rows) > KEPT:
        del rows[next(iter(rows))]
