"""Writes to the store at which version streams begin, and reads it after a loss.

Hosts tell each other where streams begin, and all that know of one may be lost
together. While a service has targets of several versions, each host therefore writes
the streams that it has begun to the store as well, a few times a second; nothing waits
for that. While all targets have one version nothing is written. The records are read
when a stream is taken up that no host knows.
"""

import threading
from collections import deque
from collections.abc import Callable

from godwitladder.clock import Clock
from godwitladder.decisions.placing.stream_origins import StreamName, StreamOrigin
from godwitladder.decisions.placing.stream_records import RecordedStreams, StreamRecord
from godwitladder.discovery.messages import StreamBatch
from godwitladder.discovery.source import Source, StoreTrimmed, StoreUnavailable
from godwitladder.discovery.write_timing import write_interval_s
from godwitladder.ids import ServiceName
from godwitladder.logs import component_logger
from godwitladder.membership.codec import InvalidMessage, decode, encode
from godwitladder.process.loops import Turns

log = component_logger("streams")

KEPT_S = 20.0
"""Time for which streams that began at an only version are kept. They are written if
another version comes meanwhile, and last for some seconds."""
MAX_KEPT = 5_000
MAX_BATCH = 400
"""Streams in one write, each below 600 bytes; the store takes 256 KiB at most."""
MAX_RECORD_BYTES = 262_144
"""What hosts write in one record is shorter, also before it is compressed."""
READ_INTERVAL_S = 1.0
RETRY_S = 3.0
"""Time after a read that failed before the next one: calls wait for a read, and a store
that is silent takes a second to fail."""
MAX_LOGGED_CHARS = 200
MAX_READS = 32
"""Reads in a row, of a megabyte each."""


class StreamRecorder:
    """Writes and reads the records of streams.

    Parameters
    ----------
    source : Source
        The store.
    clock : Clock
        The host's clock.
    has_versions : callable
        Returns whether a service has had several versions of late.
    count_hosts : callable
        Returns the number of live hosts.

    Attributes
    ----------
    kept : deque of (float, StreamRecord)
        Streams that began while their service had one version, with their times.
    pending : deque of StreamRecord
        Streams to write.
    recorded : RecordedStreams
        What was read.
    next_offset : int
        Offset of the next read.
    reads_at : float
        Monotonic time in seconds from which the store may be read again.
    """

    def __init__(
        self,
        source: Source,
        clock: Clock,
        has_versions: Callable[[ServiceName], bool],
        count_hosts: Callable[[], int] = lambda: 1,
    ) -> None:
        self.source = source
        self.clock = clock
        self.has_versions = has_versions
        self.count_hosts = count_hosts
        self.kept: deque[tuple[float, StreamRecord]] = deque(maxlen=MAX_KEPT)
        self.pending: deque[StreamRecord] = deque(maxlen=MAX_KEPT)
        self.recorded = RecordedStreams()
        self.next_offset = 0
        self.reads_at = float("-inf")
        self.is_failing = False
        self.lock = threading.Lock()
        self.read_lock = threading.Lock()
        self.stopping = threading.Event()
        self.turns = Turns("streams", clock)

    def start(self) -> None:
        """Start to write in a thread."""
        threading.Thread(target=self.run, name="streams", daemon=True).start()

    def stop(self) -> None:
        """Stop after the write in progress."""
        self.stopping.set()

    def run(self) -> None:
        """Write until stopped, and once more."""
        self.turns.loop(self.stopping, self.write_in_turn)
        self.turns.run(self.write)

    def write_in_turn(self) -> float:
        """Write once, and return the seconds until the next write."""
        self.write()
        return self.interval_s()

    def interval_s(self) -> float:
        """Return the seconds between two writes of this host."""
        return write_interval_s(self.count_hosts())

    def record(self, record: StreamRecord) -> None:
        """Record a stream, to be written if its service has several versions."""
        now = self.clock.monotonic()
        with self.lock:
            self.kept.append((now, record))

    def write(self) -> None:
        """Write what has to be written, a limited part of it at once."""
        with self.lock:
            self.choose_pending()
            count = min(MAX_BATCH, len(self.pending))
            batch = tuple(self.pending.popleft() for _ in range(count))
        if not batch:
            return
        try:
            self.source.append_streams(encode(StreamBatch(batch)))
        except StoreUnavailable as error:
            with self.lock:
                # Of too many, the oldest are lost.
                room = MAX_KEPT - len(self.pending)
                self.pending.extendleft(reversed(batch[-room:] if room else ()))
            self.log_failure(str(error))
        else:
            self.is_failing = False

    def choose_pending(self) -> None:
        """Move streams of services with several versions to those to write."""
        oldest = self.clock.monotonic() - KEPT_S
        kept = [row for row in self.kept if row[0] >= oldest]
        services = {record.origin.service for _, record in kept}
        mixed = {service for service in services if self.has_versions(service)}
        self.kept.clear()
        for at, record in kept:
            if record.origin.service in mixed:
                self.pending.append(record)
            else:
                self.kept.append((at, record))

    def log_failure(self, error: str) -> None:
        """Log that streams can't be recorded, once until they can be again."""
        if not self.is_failing:
            extra = {"error": error, "pending": len(self.pending)}
            log.warning("Streams can't be recorded in the store", extra=extra)
        self.is_failing = True

    def find(self, stream: StreamName) -> StreamOrigin | None:
        """Return the recorded origin of a stream, read at most once a second."""
        with self.read_lock:
            if self.clock.monotonic() >= self.reads_at:
                is_read = self.turns.run(self.read, otherwise=False)
                pause_s = READ_INTERVAL_S if is_read else RETRY_S
                self.reads_at = self.clock.monotonic() + pause_s
            return self.recorded.find(stream)

    def read(self) -> bool:
        """Read the records since the last read; return whether that worked."""
        before = len(self.recorded.by_attempt)
        try:
            for _ in range(MAX_READS):
                if self.read_part():
                    break
        except StoreUnavailable as error:
            log.info("Recorded streams can't be read", extra={"error": str(error)})
            return False
        extra = {"new": len(self.recorded.by_attempt) - before}
        log.info("Recorded streams were read", extra=extra)
        return True

    def read_part(self) -> bool:
        """Read some records, and return whether there are no more.

        Raises
        ------
        StoreUnavailable
            The store did not answer.
        """
        try:
            batch = self.source.read_streams(self.next_offset)
        except StoreTrimmed as error:
            # The oldest have expired, or the store came back from a copy.
            self.next_offset = error.first_offset
            return False
        # Before the records: one that can't be added would else be read for ever.
        self.next_offset = batch.next
        for record in batch.records:
            self.turns.run(self.add, record.value)
        return batch.is_whole

    def add(self, data: bytes) -> None:
        """Add the streams of one record; any other program may have written it."""
        try:
            batch = decode(data, MAX_RECORD_BYTES)
        except InvalidMessage as error:
            extra = {"error": str(error)[:MAX_LOGGED_CHARS]}
            log.info("A record of streams is invalid", extra=extra)
            return
        if isinstance(batch, StreamBatch):
            for record in batch.records:
                self.recorded.add(record)
