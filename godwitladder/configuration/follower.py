"""Keeps one host's replica up to date: reads the log, asks peers, snapshots."""

import hashlib
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from godwitladder.clients.log import CONFIG_STREAM, LogClient, LogUnavailable, Page
from godwitladder.clock import Clock
from godwitladder.configuration.ledger import AuditEntry, Ledger
from godwitladder.configuration.messages import ConfigRequest, ConfigSnapshot
from godwitladder.configuration.replica import Phase, Replica
from godwitladder.configuration.snapshots import BadSnapshot, encode_snapshot
from godwitladder.ids import HostId, Offset
from godwitladder.logs import component_logger

log = component_logger("config")

# A connection that went silent is noticed this long plus the client's timeout
# after it was last used, and a ticket must be in force within 14 s even then.
READ_WAIT_S = 3.0
RETRY_S = 0.5
# A peer is ahead for a moment after every ticket. One that stays ahead for
# two seconds read something that the log doesn't show this host.
BEHIND_S = 2.0
# A state is several hundred kilobytes. A peer whose answers lead nowhere, for
# one of another version, must not be asked for it every second.
REQUEST_PERIOD_S = 1.0
REQUEST_PERIOD_MAX_S = 60.0
# Four snapshots within the time that records are kept: three in a row may be
# missed, and the next one is still in time.
SNAPSHOTS_KEPT = 4
# Bounds the replay of a host that starts.
SNAPSHOT_RECORDS = 1000
SNAPSHOT_RETRY_S = 10.0
# Hosts come due spread over this part of the period, so that as a rule one
# writes and the others see it before their turn.
SNAPSHOT_SPREAD = 0.2


@dataclass
class Waiter:
    """Someone who waits until the records below ``offset`` are replayed."""

    offset: Offset
    replayed: threading.Event = field(default_factory=threading.Event)


class ConfigFollower:
    """Replays the stream in a thread of its own.

    Parameters
    ----------
    client : LogClient
        Where to read the stream.
    clock : Clock
        For pauses and for the age of snapshots.
    publish : callable
        Called with the ledger whenever it has changed, in order.
    host : HostId
        This host.
    stream : str
        Name of the stream.
    retention_s : float
        How long the log keeps records, in seconds.

    Attributes
    ----------
    send : callable
        Sends a message to a host; set before `start`.
    reachable : bool
        Whether the log answered last time.
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
        self.peers: dict[HostId, int] = {}
        self.behind_since: float | None = None
        self.requested = float("-inf")
        self.request_period_s = REQUEST_PERIOD_S
        self.asked = 0
        self.snapshot_tried = float("-inf")
        self.encoded: tuple[Offset, bytes] | None = None
        self.thread = threading.Thread(target=self.run, name="config", daemon=True)

    @property
    def ledger(self) -> Ledger:
        """The ledger in force."""
        return self.replica.ledger

    def start(self) -> None:
        """Start to follow."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the read in progress."""
        self.stopping.set()

    def run(self) -> None:
        """Follow until told to stop."""
        while not self.stopping.is_set():
            if not self.follow_once():
                self.clock.wait(self.stopping, RETRY_S)

    def follow_once(self) -> bool:
        """Read one page and replay it; return False where a pause is due."""
        cursor, ledger = self.replica.cursor(), self.ledger
        following = self.replica.phase is Phase.FOLLOWING
        wait_s = READ_WAIT_S if following and self.caught_up.is_set() else 0.0
        try:
            page = self.client.read(self.stream, cursor, wait_s)
        except LogUnavailable as error:
            with self.lock:
                if self.reachable or not self.failed:
                    log.warning("The log did not answer", extra={"error": str(error)})
                self.reachable, self.failed = False, True
                self.replica.lose_log()
            self.ask_peers()
            return False
        with self.lock:
            self.reachable = True
            # A peer's state may have come in during the read. A page from
            # before it would look like a log that lost its last records.
            if self.ledger is ledger:
                self._take_page(page)
        self.ask_peers()
        self._write_snapshot_if_due()
        return self.replica.phase is Phase.FOLLOWING or bool(page.records)

    def hear(self, host: HostId, offset: int) -> None:
        """Take in the offset that a peer has in force."""
        with self.lock:
            self.peers[host] = offset
        self.ask_peers()

    def ask_peers(self) -> None:
        """Ask a peer that is ahead for its state, each in its turn."""
        now = self.clock.monotonic()
        with self.lock:
            if not self._wants_state(max(self.peers.values(), default=-1), now):
                return
            if now - self.requested < self.request_period_s:
                return
            ahead = [row for row in self.peers if self.peers[row] >= self.ledger.next]
            if not ahead:
                return
            self.requested = now
            doubled = 2 * self.request_period_s
            self.request_period_s = min(doubled, REQUEST_PERIOD_MAX_S)
            self.asked += 1
            host = ahead[self.asked % len(ahead)]
        if not self.send(host, ConfigRequest(self.host)):
            with self.lock:
                self.peers.pop(host, None)

    def answer(self) -> ConfigSnapshot | None:
        """Return the answer to a peer's request; None while there is no state."""
        with self.lock:
            return ConfigSnapshot(self._encode()) if self.caught_up.is_set() else None

    def take_state(self, message: ConfigSnapshot) -> None:
        """Take in a peer's state."""
        with self.lock:
            try:
                taken = self.replica.take_state(message.data)
            except BadSnapshot as error:
                log.warning("A bad state from a peer", extra={"error": str(error)})
                return
            if taken:
                log.info("Took a peer's state", extra={"offset": self.ledger.next})
                self.request_period_s = REQUEST_PERIOD_S
                self._changed()

    def await_offset(self, offset: Offset, wait_s: float) -> AuditEntry | None:
        """Return the verdict at ``offset``, waiting up to ``wait_s`` for it."""
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
        """Return the verdict on content ``digest`` at ``start`` or later."""
        due = self.clock.monotonic() + wait_s
        while True:
            with self.lock:
                seen = self.ledger.next
                rows = [row for row in self.ledger.audit if row.offset >= start]
            found = [row for row in rows if row.digest == digest]
            left = due - self.clock.monotonic()
            if found or left <= 0:
                return found[0] if found else None
            self.await_offset(seen, left)

    def _take_page(self, page: Page) -> None:
        before, phase = self.ledger.next, self.replica.phase
        entries = self.replica.take_page(page)
        for entry in entries:
            log.info(
                "A ticket was judged",
                extra={"ticket": entry.number, "verdict": entry.verdict.value},
            )
        if self.replica.phase is not phase:
            self._note_phase(page)
        if self.ledger.next != before or not self.caught_up.is_set():
            self._changed()

    def _note_phase(self, page: Page) -> None:
        phase, extra = self.replica.phase, {"offset": self.ledger.next}
        if phase is Phase.FORKED:
            log.error(
                "The log lost records that are in force", extra=extra | vars(page)
            )
        elif phase is Phase.SEEKING:
            log.warning("Records expired unread, a snapshot is sought", extra=extra)
        else:
            log.info("The log is followed", extra=extra)

    def _changed(self) -> None:
        self.publish(self.ledger)
        if self.replica.caught_up:
            self.caught_up.set()
        for waiter in list(self.waiters):
            if waiter.offset <= self.ledger.next:
                waiter.replayed.set()
                self.waiters.remove(waiter)

    def _wants_state(self, offset: int, now: float) -> bool:
        if self.replica.wants_state(offset):
            return True
        if offset <= self.ledger.next or self.replica.phase is Phase.FORKED:
            self.behind_since = None
            return False
        if self.behind_since is None:
            self.behind_since = now
        return now - self.behind_since >= BEHIND_S

    def _encode(self) -> bytes:
        if self.encoded is None or self.encoded[0] != self.ledger.next:
            self.encoded = (self.ledger.next, encode_snapshot(self.ledger))
        return self.encoded[1]

    def _write_snapshot_if_due(self) -> None:
        now = self.clock.monotonic()
        with self.lock:
            if now - self.snapshot_tried < SNAPSHOT_RETRY_S or not self._due():
                return
            self.snapshot_tried = now
            data = self._encode()
        try:
            self.client.append(self.stream, [data])
        except LogUnavailable as error:
            log.warning("No snapshot was written", extra={"error": str(error)})

    def _due(self) -> bool:
        replica = self.replica
        if replica.phase is not Phase.FOLLOWING or replica.first_time is None:
            return False
        late = 1 + SNAPSHOT_SPREAD * self._turn(replica.snapshot_offset)
        if self.ledger.next - replica.snapshot_offset > SNAPSHOT_RECORDS * late:
            return True
        last = replica.snapshot_time or replica.first_time
        period = self.retention_s / SNAPSHOTS_KEPT
        return self.clock.wall() - last > period * late

    def _turn(self, offset: Offset) -> float:
        """Return a number from 0 to 1, its own for each host and snapshot."""
        digest = hashlib.sha256(f"{self.host} {offset}".encode()).digest()
        return int.from_bytes(digest[:4]) / 2**32
