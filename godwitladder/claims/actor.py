"""The actor that owns a host's claims, and its two threads that use the log.

The writer appends what has gathered in one batch window and reads at once
what that append settled; the reader follows the stream for what other hosts
append. A read by the writer goes over a connection that has just worked, so a
reader whose connection went silent holds no claim up.
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
from godwitladder.quarantine.records import CrashNote
from godwitladder.scheduler.messages import Tick
from godwitladder.settings import ClaimSettings

log = component_logger("claims")

READ_WAIT_S = 2.0
IDLE_CHECK_S = 0.5


@dataclass(frozen=True)
class SubmitClaim:
    """Claim a key and put the verdict into ``reply``."""

    wanted: ClaimRequest
    reply: "queue.SimpleQueue[Settled]"


@dataclass(frozen=True)
class ReleaseClaim:
    """Free the key of a claim that never will be dispatched."""

    key: bytes
    nonce: bytes


@dataclass(frozen=True)
class Note:
    """Append a note on a crash."""

    note: CrashNote


@dataclass(frozen=True)
class SubscribeCrashEvents:
    """Call ``take`` with each note that is read and the log's time of it."""

    take: Callable[[CrashNote, float], None]


@dataclass(frozen=True)
class TakeBatch:
    """Ask for the records to append now."""


@dataclass(frozen=True)
class BatchDone:
    """The append under way was answered, or it failed."""

    failed: bool


@dataclass(frozen=True)
class PageRead:
    """A page of the stream."""

    page: Page


@dataclass(frozen=True)
class ReadFailed:
    """The log did not answer a read."""


@dataclass(frozen=True)
class NextOffset:
    """Ask for the offset to read from."""


@dataclass(frozen=True)
class IsIdle:
    """Ask whether nothing is left to append."""


@dataclass(frozen=True)
class HasCaughtUp:
    """Ask whether the stream was read to its end."""


class Claims(pykka.ThreadingActor):
    """Owns the claims of one host.

    Parameters
    ----------
    host, incarnation : HostId, Incarnation
        Who claims.
    settings : ClaimSettings
        Window and batch.
    clock : Clock
        The host's clock.
    metrics : Metrics
        Where to count.
    work : threading.Event
        Set when there is something to append.
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
        self.collector = ClaimTracker(host, incarnation, ClaimTable(settings.window_s))
        self.take_note: Callable[[CrashNote, float], None] = lambda note, time: None
        self.replies: dict[bytes, queue.SimpleQueue[ClaimResult]] = {}

    def on_receive(self, message):
        """Take ``message`` in and wake the writer if there is work."""
        answer = self.take(message)
        if self.collector.outgoing:
            self.work.set()
        return answer

    @functools.singledispatchmethod
    def take(self, message):
        """Take one message in."""
        raise TypeError(f"unknown message {message!r}")

    @take.register
    def _(self, message: SubmitClaim) -> None:
        self.replies[message.wanted.nonce] = message.reply
        settled = self.collector.want(message.wanted, self.clock.monotonic())
        if settled:
            self._reply([settled])

    @take.register
    def _(self, message: ReleaseClaim) -> None:
        self.replies.pop(message.nonce, None)
        self.collector.give_up(message.key, message.nonce)

    @take.register
    def _(self, message: Note) -> None:
        self.collector.outgoing.append(message.note)

    @take.register
    def _(self, message: SubscribeCrashEvents) -> None:
        self.take_note = message.take

    @take.register
    def _(self, message: TakeBatch) -> list[StreamRecord]:
        return self.collector.take_batch()

    @take.register
    def _(self, message: BatchDone) -> None:
        if message.failed:
            self.collector.append_failed(self.clock.monotonic())
        else:
            self.collector.append_done()

    @take.register
    def _(self, message: PageRead) -> None:
        settled = self.collector.read(message.page)
        # Notes before verdicts: a page may hold the note that a trial has
        # crashed a target, and the claim of the next trial behind it. Told of
        # the claim first, the waiting thread would dispatch a request that is
        # quarantined, and a third target would go.
        for note, time in self.collector.notes:
            self.take_note(note, time)
        self.collector.notes.clear()
        self._reply(settled)

    @take.register
    def _(self, message: ReadFailed) -> None:
        self.collector.read_failed()

    @take.register
    def _(self, message: NextOffset) -> Offset:
        return self.collector.table.next

    @take.register
    def _(self, message: IsIdle) -> bool:
        return is_idle(self.collector)

    @take.register
    def _(self, message: HasCaughtUp) -> bool:
        return self.collector.caught_up

    @take.register
    def _(self, message: Tick) -> None:
        self._reply(self.collector.expire(self.clock.monotonic()))
        self.collector.snapshot(self.settings.retention_s / 2)

    def _reply(self, settled: list[ClaimResult]) -> None:
        for row in settled:
            self.metrics.claims.inc({"verdict": row.verdict.value})
            reply = self.replies.pop(row.nonce, None)
            if reply:
                reply.put(row)


class ClaimLogThreads:
    """The threads between the actor and the log.

    Parameters
    ----------
    claims : pykka.ActorRef
        The actor of `Claims`.
    client : LogClient
        The log.
    clock : Clock
        The host's clock.
    work : threading.Event
        Set by the actor when there is something to append.
    batch_s : float
        How long to gather records for one append.
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
        """Stop after the calls in progress."""
        self.stopping.set()
        self.work.set()

    def read(self, wait_s: float) -> None:
        """Read one page and hand it over."""
        start = self.claims.ask(NextOffset())
        self.claims.tell(PageRead(self.client.read(CLAIM_STREAM, start, wait_s)))

    def append(self) -> None:
        """Append what has gathered and read what it settled."""
        batch = self.claims.ask(TakeBatch())
        if not batch:
            return
        try:
            self.client.append(CLAIM_STREAM, [encode_record(row) for row in batch])
        except LogUnavailable as error:
            log.warning("An append was not answered", extra={"error": str(error)})
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
            log.info("The writer ended with its actor")

    def _follow(self) -> None:
        wait_s = 0.0
        try:
            while not self.stopping.is_set():
                answered = self._try_read(wait_s)
                wait_s = READ_WAIT_S if answered else 0.0
                if not answered:
                    self.clock.wait(self.stopping, RETRY_DELAY_S)
        except pykka.ActorDeadError:
            log.info("The reader ended with its actor")

    def _try_read(self, wait_s: float) -> bool:
        try:
            self.read(wait_s)
        except LogUnavailable as error:
            self.claims.tell(ReadFailed())
            log.warning("A read was not answered", extra={"error": str(error)})
            return False
        return True
