"""The actor that owns a host's claims, and the two threads that access the log.

The writer appends the records queued during one batch window, then reads the
stream immediately to resolve the claims among them. The reader follows the
stream for records of other hosts. The writer reads over a connection that has
just worked, so that claims are not delayed when the reader's connection hangs.
"""

import functools
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass

import pykka

from godwitladder.claims.records import StreamRecord, encode_record
from godwitladder.claims.table import ClaimTable
from godwitladder.claims.tracker import (
    RETRY_DELAY_S,
    ClaimRequest,
    ClaimResult,
    ClaimTracker,
    is_idle,
)
from godwitladder.clients.log import CLAIM_STREAM, LogClient, LogUnavailable, Page
from godwitladder.clock import Clock
from godwitladder.ids import HostId, Incarnation, Offset
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.quarantine.records import CrashEvent
from godwitladder.scheduler.messages import Tick
from godwitladder.settings import ClaimSettings

log = component_logger("claims")

READ_POLL_TIMEOUT_S = 2.0
IDLE_CHECK_S = 0.5


@dataclass(frozen=True)
class SubmitClaim:
    """Claim a key and put the result into ``reply``."""

    request: ClaimRequest
    reply: "queue.SimpleQueue[ClaimResult]"


@dataclass(frozen=True)
class ReleaseClaim:
    """Release a claim that will never be dispatched."""

    key: bytes
    nonce: bytes


@dataclass(frozen=True)
class AppendCrashEvent:
    """Append a crash event to the stream."""

    event: CrashEvent


@dataclass(frozen=True)
class SubscribeCrashEvents:
    """Call ``callback`` with each crash event read from the stream and its log time."""

    callback: Callable[[CrashEvent, float], None]


@dataclass(frozen=True)
class TakeBatch:
    """Request the records to append now."""


@dataclass(frozen=True)
class BatchDone:
    """Report that the append in progress succeeded or failed."""

    failed: bool


@dataclass(frozen=True)
class PageRead:
    """Hand over a page that was read from the stream."""

    page: Page


@dataclass(frozen=True)
class ReadFailed:
    """Report that the log did not respond to a read."""


@dataclass(frozen=True)
class NextOffset:
    """Request the offset to read from."""


@dataclass(frozen=True)
class IsIdle:
    """Ask whether no records are queued or being appended."""


@dataclass(frozen=True)
class HasCaughtUp:
    """Ask whether the last read reached the end of the stream."""


class Claims(pykka.ThreadingActor):
    """Actor that owns the claims of one host.

    Parameters
    ----------
    host, incarnation : HostId, Incarnation
        Identity of the claiming process.
    settings : ClaimSettings
        Settings such as the claim window and the retention of the log.
    clock : Clock
        The host's clock.
    metrics : Metrics
        Counts the verdicts.
    work : threading.Event
        Set when there are records to append.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        settings: ClaimSettings,
        clock: Clock,
        metrics: Metrics,
        work: threading.Event,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.work = work
        self.tracker = ClaimTracker(host, incarnation, ClaimTable(settings.window_s))
        self.on_event: Callable[[CrashEvent, float], None] = lambda event, time: None
        self.replies: dict[bytes, queue.SimpleQueue[ClaimResult]] = {}

    def on_receive(self, message):
        """Handle ``message`` and wake the writer if there are records to append."""
        answer = self.handle(message)
        if self.tracker.outgoing:
            self.work.set()
        return answer

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message."""
        raise TypeError(f"unknown message {message!r}")

    @handle.register
    def _(self, message: SubmitClaim) -> None:
        self.replies[message.request.nonce] = message.reply
        result = self.tracker.submit(message.request, self.clock.monotonic())
        if result:
            self._reply([result])

    @handle.register
    def _(self, message: ReleaseClaim) -> None:
        self.replies.pop(message.nonce, None)
        self.tracker.release(message.key, message.nonce)

    @handle.register
    def _(self, message: AppendCrashEvent) -> None:
        self.tracker.outgoing.append(message.event)

    @handle.register
    def _(self, message: SubscribeCrashEvents) -> None:
        self.on_event = message.callback

    @handle.register
    def _(self, message: TakeBatch) -> list[StreamRecord]:
        return self.tracker.take_batch()

    @handle.register
    def _(self, message: BatchDone) -> None:
        if message.failed:
            self.tracker.append_failed(self.clock.monotonic())
        else:
            self.tracker.append_done()

    @handle.register
    def _(self, message: PageRead) -> None:
        results = self.tracker.read(message.page)
        # Process crash events before results. A page may hold the event of a
        # trial that crashed a target, followed by the claim of the next trial.
        # If the waiting thread received the result first, it would dispatch a
        # quarantined request and crash a third target.
        for event, time in self.tracker.crash_events:
            self.on_event(event, time)
        self.tracker.crash_events.clear()
        self._reply(results)

    @handle.register
    def _(self, message: ReadFailed) -> None:
        self.tracker.read_failed()

    @handle.register
    def _(self, message: NextOffset) -> Offset:
        return self.tracker.table.next

    @handle.register
    def _(self, message: IsIdle) -> bool:
        return is_idle(self.tracker)

    @handle.register
    def _(self, message: HasCaughtUp) -> bool:
        return self.tracker.caught_up

    @handle.register
    def _(self, message: Tick) -> None:
        self._reply(self.tracker.expire(self.clock.monotonic()))
        self.tracker.snapshot(self.settings.retention_s / 2)

    def _reply(self, results: list[ClaimResult]) -> None:
        for result in results:
            self.metrics.claims.inc({"verdict": result.verdict.value})
            reply = self.replies.pop(result.nonce, None)
            if reply:
                reply.put(result)


class ClaimLogThreads:
    """Reader and writer threads between the actor and the log.

    Parameters
    ----------
    claims : pykka.ActorRef
        The actor of class `Claims`.
    client : LogClient
        Client of the platform's log.
    clock : Clock
        The host's clock.
    work : threading.Event
        Set by the actor when there are records to append.
    batch_s : float
        Batch window: how long records are queued before an append, in seconds.
    """

    def __init__(
        self,
        claims: pykka.ActorRef,
        client: LogClient,
        clock: Clock,
        work: threading.Event,
        batch_s: float,
    ) -> None:
        self.claims = claims
        self.client = client
        self.clock = clock
        self.work = work
        self.batch_s = batch_s
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start both threads."""
        for name, run in (("claim-read", self._follow), ("claim-write", self._write)):
            threading.Thread(target=run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop both threads after their current calls."""
        self.stopping.set()
        self.work.set()

    def read(self, wait_s: float) -> None:
        """Read one page and send it to the actor.

        ``wait_s`` is how long the log waits for new records, in seconds.
        """
        start = self.claims.ask(NextOffset())
        self.claims.tell(PageRead(self.client.read(CLAIM_STREAM, start, wait_s)))

    def append(self) -> None:
        """Append the queued records, then read the stream to resolve their claims."""
        batch = self.claims.ask(TakeBatch())
        if not batch:
            return
        try:
            self.client.append(CLAIM_STREAM, [encode_record(row) for row in batch])
        except LogUnavailable as error:
            log.warning(
                "Append to the claims stream failed", extra={"error": str(error)}
            )
            self.claims.tell(BatchDone(True))
            self.clock.wait(self.stopping, RETRY_DELAY_S)
            return
        self.claims.tell(BatchDone(False))
        self._try_read(0.0)

    def _write(self) -> None:
        try:
            while not self.stopping.is_set():
                self.work.wait()
                self.work.clear()
                self.clock.wait(self.stopping, self.batch_s)
                self.append()
        except pykka.ActorDeadError:
            log.info("Writer thread stopped because its actor has stopped")

    def _follow(self) -> None:
        wait_s = 0.0
        try:
            while not self.stopping.is_set():
                answered = self._try_read(wait_s)
                wait_s = READ_POLL_TIMEOUT_S if answered else 0.0
                if not answered:
                    self.clock.wait(self.stopping, RETRY_DELAY_S)
        except pykka.ActorDeadError:
            log.info("Reader thread stopped because its actor has stopped")

    def _try_read(self, wait_s: float) -> bool:
        try:
            self.read(wait_s)
        except LogUnavailable as error:
            self.claims.tell(ReadFailed())
            log.warning("Read of the claims stream failed", extra={"error": str(error)})
            return False
        return True
