"""Keeps a host's replica current from the log and peers, and writes snapshots."""

import hashlib
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from godwitladder.clients.log import CONFIG_STREAM, LogClient, LogUnavailable, Page
from godwitladder.clock import Clock
from godwitladder.configuration.ledger import AuditEntry, Ledger
from godwitladder.configuration.messages import ConfigRequest, ConfigSnapshot
from godwitladder.configuration.replica import Phase, Replica
from godwitladder.configuration.snapshots import InvalidSnapshot, encode_snapshot
from godwitladder.ids import HostId, Offset
from godwitladder.logs import component_logger

log = component_logger("config")

# Long-poll time of a read. A dead connection is detected this long plus the
# client's timeout after its last use, and a ticket must take effect within 14 s
# even in that case.
LONG_POLL_S = 3.0
RETRY_INTERVAL_S = 0.5
# Every ticket puts some peers ahead for a moment. A peer that stays ahead for
# longer than this has read records that the log does not return to this host.
MAX_LAG_S = 2.0
# A state takes several hundred kilobytes. The interval doubles with each request,
# so that a peer whose answers are unusable, for example one of another version,
# is not asked every second.
REQUEST_INTERVAL_S = 1.0
START_READ_INTERVAL_S = 2.0
"""Interval between reads of the log's start while it lacks what was replayed."""
MAX_REQUEST_INTERVAL_S = 60.0
# Snapshots per retention period of the log. With four, three in a row may fail
# and the next one is still written before the records expire.
SNAPSHOTS_PER_RETENTION = 4
# Limits the number of records that a starting host replays after a snapshot.
MAX_RECORDS_PER_SNAPSHOT = 1000
SNAPSHOT_RETRY_INTERVAL_S = 10.0
# Jitter, as a fraction of the snapshot period. It spreads the hosts' due times, so
# that usually one host writes and the others see its snapshot before they are due.
SNAPSHOT_JITTER = 0.2


@dataclass
class Waiter:
    """A thread's wait until all records below ``offset`` are replayed."""

    offset: Offset
    replayed: threading.Event = field(default_factory=threading.Event)


class ConfigFollower:
    """Replays the configuration stream in its own thread.

    Parameters
    ----------
    client : LogClient
        Client of the log that holds the stream.
    clock : Clock
        Clock for waits, request intervals and the age of snapshots.
    publish : callable
        Called with the ledger after each change, in the order of the changes.
    host : HostId
        Id of this host.
    stream : str
        Name of the configuration stream.
    retention_s : float
        Retention time of records in the log, in seconds.

    Attributes
    ----------
    send : callable
        Sends a message to a host and returns whether it was sent; must be set
        before `start`.
    reachable : bool
        Whether the last read from the log succeeded.
    """

    def __init__(
        self,
        client: LogClient,
        clock: Clock,
        publish: Callable[[Ledger], None],
        host: HostId,
        stream: str = CONFIG_STREAM,
        retention_s: float = 86_400.0,
    ) -> None:
        self.client = client
        self.clock = clock
        self.publish = publish
        self.host = host
        self.stream = stream
        self.retention_s = retention_s
        self.send: Callable[[HostId, object], bool] = lambda host, message: False
        self.replica = Replica()
        self.lock = threading.RLock()
        self.stopping = threading.Event()
        self.caught_up = threading.Event()
        self.reachable = False
        self.failed = False
        self.waiters: list[Waiter] = []
        self.peer_offsets: dict[HostId, int] = {}
        self.behind_since: float | None = None
        self.last_request_time = float("-inf")
        self.request_interval_s = REQUEST_INTERVAL_S
        self.request_count = 0
        self.last_snapshot_attempt = float("-inf")
        self.start_read_at = float("-inf")
        self.cached_snapshot: tuple[Offset, bytes] | None = None
        self.thread = threading.Thread(target=self.run, name="config", daemon=True)

    @property
    def ledger(self) -> Ledger:
        """The replica's current ledger."""
        return self.replica.ledger

    def start(self) -> None:
        """Start the thread that follows the stream."""
        self.thread.start()

    def stop(self) -> None:
        """Make the thread stop after the current read."""
        self.stopping.set()

    def run(self) -> None:
        """Follow the stream until `stop` is called."""
        while not self.stopping.is_set():
            if not self.follow_once():
                self.clock.wait(self.stopping, RETRY_INTERVAL_S)

    def follow_once(self) -> bool:
        """Read and replay one page of the stream.

        Returns
        -------
        bool
            False if the caller should wait before it reads again.
        """
        cursor, ledger = self.replica.cursor(), self.ledger
        following = self.replica.phase is Phase.FOLLOWING
        wait_s = LONG_POLL_S if following and self.caught_up.is_set() else 0.0
        try:
            page = self.client.read(self.stream, cursor, wait_s)
        except LogUnavailable as error:
            with self.lock:
                if self.reachable or not self.failed:
                    log.warning(
                        "Reading the configuration log failed",
                        extra={"error": str(error)},
                    )
                self.reachable, self.failed = False, True
                self.replica.record_read_failure()
            self.request_peer_state()
            return False
        if self.replica.phase is Phase.FORKED:
            self._leave_former_log()
        with self.lock:
            self.reachable = True
            # Discard the page if a peer's state was installed during the read.
            # A page older than that state looks like a log that lost its last
            # records.
            if self.ledger is ledger:
                self._process_page(page)
        self.request_peer_state()
        self._write_snapshot_if_due()
        return self.replica.phase is Phase.FOLLOWING or bool(page.records)

    def record_peer_offset(self, host: HostId, offset: int) -> None:
        """Record the offset that a peer's state has reached."""
        with self.lock:
            self.peer_offsets[host] = offset
        self.request_peer_state()

    def request_peer_state(self) -> None:
        """Request the state of a peer that is ahead, rotating among such peers."""
        now = self.clock.monotonic()
        with self.lock:
            if not self._needs_state(max(self.peer_offsets.values(), default=-1), now):
                return
            if now - self.last_request_time < self.request_interval_s:
                return
            ahead = [
                peer
                for peer in self.peer_offsets
                if self.peer_offsets[peer] >= self.ledger.next
            ]
            if not ahead:
                return
            self.last_request_time = now
            doubled = 2 * self.request_interval_s
            self.request_interval_s = min(doubled, MAX_REQUEST_INTERVAL_S)
            self.request_count += 1
            host = ahead[self.request_count % len(ahead)]
        if not self.send(host, ConfigRequest(self.host)):
            with self.lock:
                self.peer_offsets.pop(host, None)

    def make_snapshot(self) -> ConfigSnapshot | None:
        """Return the answer to a peer's request, or None before catching up."""
        with self.lock:
            return ConfigSnapshot(self._encode()) if self.caught_up.is_set() else None

    def install_state(self, message: ConfigSnapshot) -> None:
        """Install a peer's state if it is ahead of this host's."""
        with self.lock:
            try:
                installed = self.replica.install_state(message.data)
            except InvalidSnapshot as error:
                log.warning(
                    "A peer sent an invalid configuration snapshot",
                    extra={"error": str(error)},
                )
                return
            if installed:
                log.info(
                    "Installed the configuration state of a peer",
                    extra={"offset": self.ledger.next},
                )
                self.request_interval_s = REQUEST_INTERVAL_S
                self._publish_ledger()

    def await_offset(self, offset: Offset, wait_s: float) -> AuditEntry | None:
        """Wait up to ``wait_s`` seconds for the record at ``offset`` to be replayed.

        Returns
        -------
        AuditEntry or None
            The record's audit entry; None if it was not replayed in time, has
            no entry or is no longer in the audit trail.
        """
        waiter = Waiter(Offset(offset + 1))
        with self.lock:
            if self.ledger.next <= offset:
                self.waiters.append(waiter)
            else:
                waiter.replayed.set()
        self.clock.wait(waiter.replayed, wait_s)
        with self.lock:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
            found = [row for row in self.ledger.audit if row.offset == offset]
        return found[0] if found else None

    def await_ticket(
        self, digest: str, start: Offset, wait_s: float
    ) -> AuditEntry | None:
        """Wait up to ``wait_s`` seconds for a ticket with content ``digest``.

        Returns
        -------
        AuditEntry or None
            The first audit entry with this digest at offset ``start`` or
            later; None if there was none in time.
        """
        deadline = self.clock.monotonic() + wait_s
        while True:
            with self.lock:
                next_offset = self.ledger.next
                rows = [row for row in self.ledger.audit if row.offset >= start]
            found = [row for row in rows if row.digest == digest]
            remaining_s = deadline - self.clock.monotonic()
            if found or remaining_s <= 0:
                return found[0] if found else None
            self.await_offset(next_offset, remaining_s)

    def _process_page(self, page: Page) -> None:
        before, phase = self.ledger.next, self.replica.phase
        entries = self.replica.process_page(page)
        for entry in entries:
            log.info(
                "A ticket was evaluated",
                extra={"ticket": entry.number, "verdict": entry.verdict.value},
            )
        if self.replica.phase is not phase:
            self._log_phase_change(page)
        if self.ledger.next != before or not self.caught_up.is_set():
            self._publish_ledger()

    def _leave_former_log(self) -> None:
        """Start anew if the log is another one than that which was replayed.

        A log that came back from a copy has the same first record, and its state
        stays. What another log's tickets have made must not be in force beside it.
        """
        now = self.clock.monotonic()
        if now - self.start_read_at < START_READ_INTERVAL_S:
            return
        self.start_read_at = now
        try:
            page = self.client.read(self.stream, Offset(0))
        except LogUnavailable as error:
            log.info("Could not read the log's start", extra={"error": str(error)})
            return
        with self.lock:
            first = page.records[0] if page.records else None
            if first is None or first.offset > 0:
                return
            if not self.replica.is_other_log(first):
                return
            log.warning(
                "The log is another one, and is replayed from its start",
                extra={"before": self.ledger.origin, "offset": self.ledger.next},
            )
            self.replica = Replica()
            self.peer_offsets.clear()
            self.cached_snapshot = None
            self.behind_since = None
            self._process_page(page)

    def _log_phase_change(self, page: Page) -> None:
        phase, extra = self.replica.phase, {"offset": self.ledger.next}
        if phase is Phase.FORKED:
            log.error(
                "The log no longer holds records that this host has replayed",
                extra=extra | vars(page),
            )
        elif phase is Phase.SEEKING:
            log.warning(
                "Records expired before they were read, looking for a snapshot",
                extra=extra,
            )
        else:
            log.info("Following the configuration log", extra=extra)

    def _publish_ledger(self) -> None:
        self.publish(self.ledger)
        if self.replica.caught_up:
            self.caught_up.set()
        for waiter in list(self.waiters):
            if waiter.offset <= self.ledger.next:
                waiter.replayed.set()
                self.waiters.remove(waiter)

    def _needs_state(self, offset: int, now: float) -> bool:
        if self.replica.needs_state(offset):
            return True
        if offset <= self.ledger.next or self.replica.phase is Phase.FORKED:
            self.behind_since = None
            return False
        if self.behind_since is None:
            self.behind_since = now
        return now - self.behind_since >= MAX_LAG_S

    def _encode(self) -> bytes:
        if self.cached_snapshot is None or self.cached_snapshot[0] != self.ledger.next:
            self.cached_snapshot = (self.ledger.next, encode_snapshot(self.ledger))
        return self.cached_snapshot[1]

    def _write_snapshot_if_due(self) -> None:
        now = self.clock.monotonic()
        with self.lock:
            if (
                now - self.last_snapshot_attempt < SNAPSHOT_RETRY_INTERVAL_S
                or not self._is_snapshot_due()
            ):
                return
            self.last_snapshot_attempt = now
            data = self._encode()
        try:
            self.client.append(self.stream, [data])
        except LogUnavailable as error:
            log.warning(
                "Writing a configuration snapshot failed", extra={"error": str(error)}
            )

    def _is_snapshot_due(self) -> bool:
        replica = self.replica
        if replica.phase is not Phase.FOLLOWING or replica.first_time is None:
            return False
        period_factor = 1 + SNAPSHOT_JITTER * self._jitter(replica.snapshot_offset)
        if (
            self.ledger.next - replica.snapshot_offset
            > MAX_RECORDS_PER_SNAPSHOT * period_factor
        ):
            return True
        last = replica.snapshot_time or replica.first_time
        period = self.retention_s / SNAPSHOTS_PER_RETENTION
        return self.clock.wall() - last > period * period_factor

    def _jitter(self, offset: Offset) -> float:
        """Return a jitter from 0 to 1, derived from this host's id and ``offset``."""
        digest = hashlib.sha256(f"{self.host} {offset}".encode()).digest()
        return int.from_bytes(digest[:4]) / 2**32
