"""Keeps documents and targets up to date with the store, and tracks their age.

One host, the reader, reads the store and broadcasts what it read; a host that has
received no news for a while reads the store itself. Each read costs money, and the
store allows a few hundred per second for all hosts together: if each host read for
itself, the number of reads would grow with the number of hosts.

A newly started host requests the full state from its peers, so that it can serve even
while the store is unavailable. Where callers may be waiting, it reads the store at the
same time; when a whole fleet starts for the first time, only if no peer answers.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from godwitladder.clock import Clock
from godwitladder.discovery.batches import (
    fits,
    keep_newest,
    raw_batch,
    read_batch,
    since,
)
from godwitladder.discovery.messages import FeedNews, FeedWanted
from godwitladder.discovery.rollout_tracker import RolloutDesk
from godwitladder.discovery.rollouts import held_back
from godwitladder.discovery.source import (
    Batch,
    Record,
    Source,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.discovery.targets import TargetTable
from godwitladder.ids import HostId, TargetName
from godwitladder.logs import component_logger
from godwitladder.routing.freshness import DocumentFreshness
from godwitladder.routing.model import RoutingDocument

log = component_logger("feed")

PERIOD_S = 0.6
"""Interval between reads. All hosts must know of a target that leaves, or of a changed
document, within 2 s: that covers one interval, the store's answer and one missed
interval."""
STEP_S = 0.1
"""Interval at which a host checks whether it should read."""
SILENCE_S = 1.0
"""Age of the state after which a host reads the store itself; allows for one missed
interval."""
TURN_S = 0.1
"""Added to `SILENCE_S` for each host that precedes this one in the reading order, so
that the hosts do not all start to read at once when the reader fails."""
TURNS = 10
"""Maximum number of preceding hosts for which that delay is added."""
UNLINKED_S = 0.4
"""Time after its start at which a host that has found no peer reads the store itself.
It is short because after a failure of all hosts no caller is served before one of
them has read."""
UNTOLD_S = 1.2
"""Time after its start at which a host that has peers, but has received nothing from
them, reads the store itself."""
ASK_S = 0.25
"""Interval between the requests of a host that has no state yet. An answer can contain
a whole document, which occupies a slow host's link while it is sent."""
LONGEST_READ_S = 1.0
"""Upper bound on the read duration that hosts allow for when they wait for news."""
LONGEST_SILENCE_S = 2.5
"""Age of the state at which any host reads the store itself, however slow the store is.
It is half the time for which keys are accepted without a new confirmation."""
UNHEARD_S = 3.0
"""Time without news after which a host outside the reading order broadcasts its own
reads: by then the store has turned away every host in the order."""
AWAY_S = 1.5
"""Time without a successful read that counts as a store outage, during which entries of
live targets may have expired."""


@dataclass(frozen=True)
class StoreView:
    """Immutable view of the state read from the store.

    Attributes
    ----------
    version : int
        Number of changes so far on this host.
    held_back : frozenset of TargetName
        Targets that receive no calls because their version is unproved.
    """

    version: int
    document: RoutingDocument
    targets: tuple
    held_back: frozenset[TargetName] = frozenset()


class Feed:
    """Keeps the newest document and the targets.

    Parameters
    ----------
    host : HostId
        This host.
    source : Source
        Interface to the store.
    clock : Clock
        The host's clock.
    freshness : DocumentFreshness
        Notified of each confirmation that the document is the newest.
    publish : callable
        Called with a new `StoreView` after each change.
    reads_at_start : bool
        Whether this host reads the store at its start without waiting for a peer.

    Attributes
    ----------
    heard_at : float
        Time at which news from another host were last applied.
    read_s : float
        Duration of the latest read, by this host or by the sender of the latest news,
        in seconds.
    unanswered : list of callable
        Replies to requests that arrived before this host had any state; called with
        the full state once there is one.
    """

    def __init__(
        self,
        host: HostId,
        source: Source,
        clock: Clock,
        freshness: DocumentFreshness,
        publish: Callable[[StoreView], None],
        reads_at_start: bool = False,
    ) -> None:
        self.host = host
        self.source = source
        self.clock = clock
        self.freshness = freshness
        self.publish = publish
        self.broadcast: Callable[[FeedNews], None] = lambda news: None
        self.send_request: Callable[[FeedWanted], bool] = lambda wanted: False
        self.reads_at_start = reads_at_start
        self.unanswered: list[Callable[[FeedNews], None]] = []
        self.started = clock.boottime()
        self.asked_at = float("-inf")
        self.linked = False
        self.hosts: tuple[HostId, ...] = (host,)
        self.table = TargetTable()
        self.newest_documents: dict[str, Record] = {}
        self.newest_entries: dict[str, Record] = {}
        self.document = RoutingDocument()
        self.desk = RolloutDesk(source)
        self.next_document = -1
        self.next_entry = -1
        self.read_at = float("-inf")
        self.heard_at = clock.boottime()
        self.read_s = 0.0
        self.answered_at = clock.boottime()
        self.reachable = False
        self.version = 0
        self.lock = threading.RLock()
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start the update loop in a thread."""
        threading.Thread(target=self.run, name="feed", daemon=True).start()

    def stop(self) -> None:
        """Stop the update loop after the read in progress."""
        self.stopping.set()

    def run(self) -> None:
        """Run the update loop until stopped."""
        while not self.stopping.is_set():
            self.step()
            self.clock.wait(self.stopping, self.pause_s())

    def pause_s(self) -> float:
        """Return the seconds until the next step.

        A host that receives news from a reader wakes up when its state becomes too
        old.
        """
        reads = not self.hosts or self.hosts[0] == self.host
        if reads or not self.knows() or self.table.missing:
            return STEP_S
        return max(STEP_S, SILENCE_S - self.freshness.age_s(self.clock.boottime()))

    def step(self) -> None:
        """Read the store if this host should, and remove expired targets and orders."""
        now = self.clock.boottime()
        if not self.knows():
            self.request_state()
        if (
            not self.awaits_peer(now)
            and now - self.read_at >= PERIOD_S
            and self.is_turn(now)
        ):
            self.read()
        with self.lock:
            now = self.clock.boottime()
            if self.table.expire(now) | self.desk.expire(now):
                self.tell()

    def awaits_peer(self, now: float) -> bool:
        """Return whether this host has no state yet and waits for a peer to send it."""
        if self.knows() or self.reads_at_start or self.is_reader():
            return False
        return now - self.started < (UNTOLD_S if self.linked else UNLINKED_S)

    def is_reader(self) -> bool:
        """Return whether this host reads the store for other hosts."""
        return len(self.hosts) > 1 and self.hosts[0] == self.host

    def knows(self) -> bool:
        """Return whether this host has any state from the store."""
        return self.next_document >= 0

    def answer_request(self, reply: Callable[[FeedNews], None]) -> None:
        """Call ``reply`` with the full state, now or once this host has any."""
        with self.lock:
            news = self.all_news()
            if news is None:
                self.unanswered.append(reply)
        if news is not None:
            reply(news)

    def answer_all(self) -> None:
        """Answer the requests that arrived before this host had any state."""
        waiting, self.unanswered = self.unanswered, []
        for reply in waiting:
            reply(self.all_news())

    def request_state(self, ask: Callable[[FeedWanted], bool] | None = None) -> None:
        """Request the full state from one peer, unless a request was sent just before.

        Each peer answers with whole documents. Requests to all peers at once made
        their answers fill the link of a newly started host for seconds.

        Parameters
        ----------
        ask : callable or None
            Sends the request to a certain peer and returns whether it was sent; None
            for any peer.
        """
        now = self.clock.boottime()
        if self.knows() or now - self.asked_at < ASK_S:
            return
        asked = (ask or self.send_request)(FeedWanted(self.host))
        if ask is None:
            self.linked = asked
        if asked:
            self.asked_at = now

    def all_news(self) -> FeedNews | None:
        """Return the full state of this host; None if it has none."""
        with self.lock:
            if not self.knows():
                return None
            documents = tuple(self.newest_documents.values())
            entries = tuple(self.newest_entries.values())
            return FeedNews(
                self.host,
                self.freshness.age_s(self.clock.boottime()),
                raw_batch(Batch(-1, self.next_document, documents)),
                raw_batch(Batch(-1, self.next_entry, entries)),
            )

    def is_turn(self, now: float) -> bool:
        """Return whether this host should read the store now."""
        if not self.hosts or self.hosts[0] == self.host or self.next_document < 0:
            return True
        return self.freshness.age_s(now) > self.patience_s()

    def patience_s(self) -> float:
        """Return the age of the state, in seconds, at which this host reads the store.

        While the store is slow, news are late although the reader works. If all hosts
        then read the store and broadcast the same records, a changed document would
        fill every link for seconds.
        """
        place = self.hosts.index(self.host) if self.host in self.hosts else TURNS
        turn_s = max(TURN_S, self.read_s) * min(place, TURNS)
        return min(SILENCE_S + 2 * self.read_s + turn_s, LONGEST_SILENCE_S)

    def read(self) -> None:
        """Read the new records and broadcast them."""
        began = self.read_at = self.clock.boottime()
        try:
            documents = self.fetch(self.source.read_documents, self.next_document)
            entries = self.fetch(self.source.read_entries, self.next_entry)
        except StoreUnavailable as error:
            self.note_lost(error)
            return
        self.finish_read(documents, entries, began)

    def finish_read(self, documents: Batch, entries: Batch, began: float) -> None:
        """Apply a read that started at ``began``, and broadcast it."""
        with self.lock:
            self.note_answer()
            news = self.news(documents, entries)
            self.take(documents, entries, began)
            self.note_duration(self.clock.boottime() - began)
        if news is not None:
            self.broadcast(replace(news, age_s=self.clock.boottime() - began))
        if self.answers_orders():
            self.desk.answer()

    def answers_orders(self) -> bool:
        """Return whether this host is the one that answers rollout orders."""
        return not self.hosts or self.hosts[0] == self.host

    def note_duration(self, seconds: float) -> None:
        """Record the duration of a read, in seconds."""
        self.read_s = min(seconds, LONGEST_READ_S)

    def fetch(self, read: Callable[[int], Batch], offset: int) -> Batch:
        """Read from ``offset``; read a snapshot if those records are gone."""
        try:
            return read(offset)
        except StoreTrimmed:
            return read(-1)

    def note_lost(self, error: StoreUnavailable) -> None:
        """Record that the store did not answer."""
        if self.reachable:
            extra = {"error": str(error), "age_s": self.age_s()}
            log.warning("Store unavailable", extra=extra)
        self.reachable = False

    def note_answer(self) -> None:
        """Record that the store answered; after an outage, delay target removals."""
        now = self.clock.boottime()
        away_s = now - self.answered_at
        self.answered_at = now
        if away_s > AWAY_S:
            self.table.store_returned(now)
        if not self.reachable:
            log.info("Store available", extra={"away_s": round(away_s, 3)})
        self.reachable = True

    def age_s(self) -> float:
        """Return the time since the state was last confirmed, in seconds."""
        return round(self.freshness.age_s(self.clock.boottime()), 3)

    def news(self, documents: Batch, entries: Batch) -> FeedNews | None:
        """Return the news to broadcast after a read, or None for none.

        It must be called before the read is applied. A host outside the reading
        order broadcasts nothing while it receives news. The first read of a newly
        started host contains whole documents: only the reader broadcasts them, since
        the document may have changed while there was no reader.
        """
        unheard_s = self.clock.boottime() - self.heard_at
        if self.host not in self.hosts and unheard_s <= UNHEARD_S:
            return None
        if self.reads_at_start and not self.knows() and not self.is_reader():
            return None
        documents = since(documents, self.next_document)
        entries = since(self.changed(entries), self.next_entry)
        return FeedNews(self.host, 0.0, raw_batch(documents), raw_batch(entries))

    def changed(self, entries: Batch) -> Batch:
        """Return ``entries`` without the heartbeats that change nothing.

        Each target writes its entry once a second; broadcasting all of these would
        make up most of the traffic between availability zones.

        A target that was removed and added again within the batch is included,
        although its entry equals the one that this host has. While this host was
        paused, another one may have read the removal alone, and would otherwise never
        learn of the target again.
        """
        if entries.whole:
            return entries
        newest = {record.key: record for record in entries.records}
        moved = {record.key for record in entries.records if self.is_news(record)}
        kept = tuple(record for key, record in newest.items() if key in moved)
        return replace(entries, records=kept)

    def is_news(self, record: Record) -> bool:
        """Return whether a record differs from the entry that this host has."""
        entry = self.source.decode_entry(record) if record.value else None
        held = self.table.entries.get(record.key)
        return entry is None or entry != held or record.key in self.table.missing

    def apply_news(self, news: FeedNews) -> None:
        """Apply what another host has read.

        News that start beyond the last record of this host leave a gap. They are
        ignored, and the host reads the store itself when its state is too old.
        """
        began = self.clock.boottime() - news.age_s
        with self.lock:
            if fits(news.documents, self.next_document) and fits(
                news.entries, self.next_entry
            ):
                self.answered_at = max(self.answered_at, began)
                self.heard_at = self.clock.boottime()
                self.note_duration(news.age_s)
                self.take(read_batch(news.documents), read_batch(news.entries), began)

    def take(self, documents: Batch, entries: Batch, began: float) -> None:
        """Apply a read that started at ``began``."""
        changed = False
        if documents.next >= self.next_document:
            self.next_document = documents.next
            keep_newest(self.newest_documents, documents)
            changed |= self.take_documents(documents)
            changed |= self.desk.take(documents, self.clock.boottime())
            self.freshness.confirm(began)
        if entries.next >= self.next_entry:
            self.next_entry = entries.next
            keep_newest(self.newest_entries, entries)
            changed |= self.take_entries(entries)
        if changed:
            self.tell()
        if self.unanswered:
            self.answer_all()

    def take_documents(self, batch: Batch) -> bool:
        """Adopt the newest document, if it is newer than the current one.

        The version must never decrease: a snapshot or a peer that lags behind must
        not restore an older document.
        """
        changed = False
        for record in batch.records:
            document = self.source.decode_document(record)
            if document is not None and document.version > self.document.version:
                extra = {
                    "version": document.version,
                    "before": self.document.version,
                    "routes": len(document.routes),
                    "quotas": {
                        name: [row.quota.rate, row.quota.burst]
                        for name, row in document.workspaces.items()
                    },
                }
                log.info("Routing document changed", extra=extra)
                self.document = document
                changed = True
        return changed

    def take_entries(self, batch: Batch) -> bool:
        """Update the targets from a batch of entries."""
        now = self.clock.boottime()
        changed = False
        for record in batch.records:
            entry = self.source.decode_entry(record) if record.value else None
            if entry is not None:
                changed |= self.table.put(entry)
            else:
                changed |= self.table.drop(record.key, now)
        if batch.whole:
            keys = {record.key for record in batch.records if record.value}
            changed |= self.table.keep_only(keys, now)
        return changed

    def tell(self) -> None:
        """Publish a new view of the current state."""
        self.version += 1
        targets = tuple(self.table.entries.values())
        unproved = held_back(self.desk.orders, targets)
        log.info(
            "Store view published",
            extra={
                "version": self.version,
                "targets": len(targets),
                "leaving": [row.name for row in targets if row.leaving],
                "held_back": sorted(unproved),
                "age_s": self.age_s(),
            },
        )
        self.publish(StoreView(self.version, self.document, targets, unproved))
