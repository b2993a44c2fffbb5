"""Appends records to the orders stream and reads back whether they were granted."""

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
from godwitladder.orders.table import OrderTable

ORDER_STREAM = "orders"
LEASE_S = 10.0
# Number of times that the stream is read to find an appended record.
MAX_READS = 3


class NotGranted(GodwitladderError):
    """A lease or slot could not be obtained.

    Another process holds the lease, the lease expired before its use, or the log
    gave no answer.
    """


class HeldLease:
    """A lease as seen by its holder.

    Parameters
    ----------
    fence : int
        Fencing number of the lease.
    expires_s : float
        Monotonic time in seconds at which the lease expires.
    """

    def __init__(self, fence: Offset, expires_s: float) -> None:
        self.fence = fence
        self.expires_s = expires_s


class OrderStream:
    """Requests leases and slots through the orders stream.

    The stream is read only after a request, so an idle host reads nothing.

    Parameters
    ----------
    client : LogClient
        Client of the platform's log.
    clock : Clock
        The host's clock, by which the holder measures its lease.
    holder : str
        Host and incarnation of this process.
    weight_reads_per_s : float
        See `OrderTable`; the same on every host.
    """

    def __init__(
        self, client: LogClient, clock: Clock, holder: str, weight_reads_per_s: float
    ) -> None:
        self.client = client
        self.clock = clock
        self.holder = holder
        self.table = OrderTable(weight_reads_per_s)
        self.lock = threading.Lock()

    def lease(self, target: TargetName, version: int) -> HeldLease:
        """Obtain a lease of ``target``.

        Raises
        ------
        NotGranted
            If the lease was denied, or the log did not respond or did not
            return the record.
        """
        nonce = Nonce(secrets.token_hex(8))
        # The holder measures the lease from before its record is sent, other
        # readers from when the log stored it, so for the holder it expires
        # first.
        requested_at = self.clock.monotonic()
        record = Lease(target, self.holder, nonce, version, LEASE_S)
        fence = self._append_and_read(record, nonce, self.table.fences)
        if fence is None:
            raise NotGranted(f"another process has the lease of {target}")
        return HeldLease(fence, requested_at + LEASE_S)

    def await_weight_slot(self) -> None:
        """Wait until this host may read the weight store once.

        Raises
        ------
        NotGranted
            If the log did not respond or did not return the record.
        """
        nonce = Nonce(secrets.token_hex(8))
        record = WeightRead(self.holder, nonce)
        self.clock.sleep(self._append_and_read(record, nonce, self.table.slots))

    def _append_and_read(self, record: OrderRecord, nonce: Nonce, answers: dict):
        """Append ``record`` and read the stream until ``answers`` has its nonce."""
        try:
            self.client.append(ORDER_STREAM, [encode_record(record)])
        except LogNotReached as error:
            raise NotGranted(str(error)) from error
        except LogUnavailable:
            pass  # It may have been stored; reading the stream shows that.
        with self.lock:
            for _ in range(MAX_READS):
                self._read_to_end()
                if nonce in answers:
                    return answers[nonce]
        raise NotGranted("the record did not appear in the stream")

    def _read_to_end(self) -> None:
        end = None
        while end is None or self.table.next < end:
            try:
                page = self.client.read(ORDER_STREAM, self.table.next)
            except LogUnavailable as error:
                raise NotGranted(str(error)) from error
            for record in page.records:
                self.table.replay(record.offset, record.time, _decode(record))
            if not page.records:
                return
            end = page.next


def _decode(record: Record) -> OrderRecord | None:
    try:
        return decode_record(record.data)
    except BadRecord:
        return None
