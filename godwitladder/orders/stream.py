"""One host's view of the orders stream: append a record and see its fate."""

import secrets
import threading

from godwitladder.clients.log import (
    LogClient,
    LogNotReached,
    LogUnavailable,
    Record,
)
from godwitladder.clock import Clock
from godwitladder.findings import GodwitladderError
from godwitladder.ids import Nonce, Offset, TargetName
from godwitladder.orders.records import (
    BadRecord,
    Lease,
    OrderRecord,
    WeightRead,
    decode_record,
    encode_record,
)
from godwitladder.orders.table import OrderBook

ORDER_STREAM = "orders"
LEASE_S = 10.0
# A record whose append got no answer is looked for this many times.
READS = 3


class NotGranted(GodwitladderError):
    """The lease is another's, or the log can't tell."""


class Leased:
    """A lease as its holder knows it; ``until`` is monotonic seconds."""

    def __init__(self, fence: Offset, until: float) -> None:
        self.fence = fence
        self.until = until


class OrderStream:
    """Appends to the stream and replays it when there is something to ask.

    An idle host reads nothing.

    Parameters
    ----------
    client : LogClient
        The platform's log.
    clock : Clock
        For the holder's own view of its lease.
    holder : str
        This process: host and incarnation.
    weight_reads_per_s : float
        See `OrderBook`; the same on every host.
    """

    def __init__(
        self, client: LogClient, clock: Clock, holder: str, weight_reads_per_s: float
    ) -> None:
        self.client = client
        self.clock = clock
        self.holder = holder
        self.book = OrderBook(weight_reads_per_s)
        self.lock = threading.Lock()

    def lease(self, target: TargetName, version: int) -> Leased:
        """Return a lease of ``target``.

        Raises
        ------
        NotGranted
            Another holds it, or the log did not tell.
        """
        nonce = Nonce(secrets.token_hex(8))
        # The lease is counted from before its record was sent, the log
        # counts it from when it took the record: the holder stops first.
        asked = self.clock.monotonic()
        record = Lease(target, self.holder, nonce, version, LEASE_S)
        fence = self._ask(record, nonce, self.book.fences)
        if fence is None:
            raise NotGranted(f"another process orders {target}")
        return Leased(fence, asked + LEASE_S)

    def await_weight_slot(self) -> None:
        """Return when this host may read the weight store once.

        Raises
        ------
        NotGranted
            The log did not tell.
        """
        nonce = Nonce(secrets.token_hex(8))
        record = WeightRead(self.holder, nonce)
        self.clock.sleep(self._ask(record, nonce, self.book.slots))

    def _ask(self, record: OrderRecord, nonce: Nonce, answers: dict):
        """Append ``record`` and read the stream until its fate is known."""
        try:
            self.client.append(ORDER_STREAM, [encode_record(record)])
        except LogNotReached as error:
            raise NotGranted(str(error)) from error
        except LogUnavailable:
            pass  # It may be there; the stream tells.
        with self.lock:
            for _ in range(READS):
                self._read_to_end()
                if nonce in answers:
                    return answers[nonce]
        raise NotGranted("the record did not show up in the stream")

    def _read_to_end(self) -> None:
        following = None
        while following is None or self.book.next < following:
            try:
                page = self.client.read(ORDER_STREAM, self.book.next)
            except LogUnavailable as error:
                raise NotGranted(str(error)) from error
            for row in page.records:
                self.book.replay(row.offset, row.time, _decode(row))
            if not page.records:
                return
            following = page.next


def _decode(row: Record) -> OrderRecord | None:
    try:
        return decode_record(row.data)
    except BadRecord:
        return None
